// Routes: which service serves a database, under which consistency rule and limits.
#ifndef TOUCAN_CATALOG_ROUTES_H
#define TOUCAN_CATALOG_ROUTES_H

#include "base/base.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <memory>
#include <string>

namespace toucan::catalog {

using ServiceName = StrongId<struct ServiceTag, std::string>;

enum class Consistency : uint8_t {
  Primary,        // reads see every acknowledged commit
  BoundedAge,     // reads may lack commits acknowledged within the last MaxAge
  ReadYourWrites, // as BoundedAge, and every commit of the same session
};

struct Route {
  std::string Name;
  DatabaseName Database;
  ServiceName Service;
  Consistency ReadConsistency = Consistency::Primary;
  absl::Duration MaxAge;           // BoundedAge and ReadYourWrites
  absl::Duration StatementTimeout; // of one statement
  absl::Duration LatencyObjective; // aimed-at time of a whole operation
  int Priority = 0;                // 0 is the most urgent
};

struct ServiceLimits {
  uint32_t MaxConnections = 0;     // at one target, from all instances
  uint32_t AcknowledgedCopies = 0; // replicas that hold a commit before it is acknowledged
};

// One version of the configuration.
struct Configuration {
  RulesVersion Version;
  absl::flat_hash_map<DatabaseName, Route> Routes;
  absl::flat_hash_map<ServiceName, ServiceLimits> Services;
  absl::Duration TransactionIdleLimit;

  const Route *route(const DatabaseName &Name) const;
};

// The configuration in force. Versions never go back within the life of a process.
class RouteTable {
public:
  // Puts a version in force; false if the present one is as new.
  bool apply(Configuration New);
  bool hasConfiguration() const { return this->Current != nullptr; }
  const Configuration &current() const { return *this->Current; }

private:
  std::shared_ptr<const Configuration> Current;
};

} // namespace toucan::catalog

#endif // TOUCAN_CATALOG_ROUTES_H
