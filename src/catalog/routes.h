// Routes: the service that serves a database, and the consistency and limits that apply.
#ifndef TOUCAN_CATALOG_ROUTES_H
#define TOUCAN_CATALOG_ROUTES_H

#include "accounts/accounts.h"
#include "base/base.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <memory>
#include <string>

namespace toucan::catalog {

using ServiceName = StrongId<struct ServiceTag, std::string>;

enum class Consistency : uint8_t {
  Primary,        // reads see all acknowledged commits
  BoundedAge,     // reads may lack commits acknowledged within the last MaxAge
  ReadYourWrites, // as BoundedAge, but reads see all commits of the same session
};

struct Route {
  std::string Name;
  DatabaseName Database;
  ServiceName Service;
  Consistency ReadConsistency = Consistency::Primary;
  absl::Duration MaxAge;           // for BoundedAge and ReadYourWrites
  absl::Duration StatementTimeout; // time limit of one statement
  absl::Duration LatencyObjective; // target latency of a whole operation
  int Priority = 0;                // 0 is the most urgent
  bool KeyRequired = false;        // callers must give the key of an account
};

struct ServiceLimits {
  uint32_t MaxConnections = 0;     // to one target, from all instances together
  uint32_t AcknowledgedCopies = 0; // replicas that must hold a commit before it is acknowledged
};

// One version of the configuration.
struct Configuration {
  RulesVersion Version;
  absl::flat_hash_map<DatabaseName, Route> Routes;
  absl::flat_hash_map<ServiceName, ServiceLimits> Services;
  absl::Duration TransactionIdleLimit;
  accounts::Directory Accounts;

  const Route *route(const DatabaseName &Name) const;
};

// The current configuration. Its version never decreases during the life of the process.
class RouteTable {
public:
  // Makes New the current configuration; returns false if its version is not newer than the current
  // one.
  bool apply(Configuration New);
  bool hasConfiguration() const { return this->Current != nullptr; }
  const Configuration &current() const { return *this->Current; }

private:
  std::shared_ptr<const Configuration> Current;
};

} // namespace toucan::catalog

#endif // TOUCAN_CATALOG_ROUTES_H
