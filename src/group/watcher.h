// The interface through which the pool reads the state of a database group and sends requests to
// its monitor.
#ifndef TOUCAN_GROUP_WATCHER_H
#define TOUCAN_GROUP_WATCHER_H

#include "base/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace toucan::group {

enum class Role : uint8_t { Unknown, Primary, Replica, Fenced };

// Last known state of one server.
struct ServerState {
  TargetId Id;
  bool Reachable = false;
  Role CurrentRole = Role::Unknown;
  Term Accepted;         // highest term the server has accepted
  uint64_t Received = 0; // last position in its log
  uint64_t Applied = 0;  // last position visible to reads
  Instant ObservedAt;    // time of the probe that read this state
  // Latest time at which the server is known to have applied all entries of the primary's log. A
  // read on this server is stale by at most now - CaughtUpAt. InfinitePast if unknown.
  Instant CaughtUpAt = absl::InfinitePast();
};

// Another instance that reaches the primary while this instance, the owner of the database, does
// not.
struct Observer {
  InstanceId Id;
  Instant ValidUntil;
  friend bool operator==(const Observer &, const Observer &) = default;
};

struct GroupState {
  DatabaseName Database;
  Term CurrentTerm;                // term of the primary
  std::optional<TargetId> Primary; // empty while no primary is confirmed
  // The primary is being removed, and transactions that are open on it may still finish. Meanwhile
  // it takes other requests, but no new transactions.
  bool PrimaryIsDraining = false;
  // Requests that need the primary are forwarded to this instance. Set only while the primary is
  // unreachable from here.
  std::optional<Observer> RedirectTo;
  std::vector<ServerState> Servers;
};

// How the pool uses the primary at present. A primary that is being removed stays for a limited
// time, so that its requests and transactions can finish.
enum class PrimaryUse : uint8_t {
  None,
  Requests,     // requests outside transactions are running
  Transactions, // transactions are open
};

enum class ConfirmResult : uint8_t { Confirmed, TermChanged, DeadlineExceeded };

// Implemented by GroupService, and by a fake in the tests of the pool. All calls and callbacks run
// in the pool's event loop. A callback may run before the call returns.
class Watcher {
public:
  virtual ~Watcher() = default;

  // Sets whether requests for a database are open in this instance. A database in use is monitored
  // even if this instance does not own it: requests arrive here while the instances disagree on the
  // owner.
  virtual void setInUse(const DatabaseName &, bool) {}

  // Reports how the pool uses the primary of a database. Called on each change while the primary is
  // being removed.
  virtual void setPrimaryUse(const DatabaseName &, PrimaryUse) {}

  // Returns null if the database is not monitored. The pointer is valid until the next event.
  virtual const GroupState *state(const DatabaseName &Database) const = 0;

  // Calls back with Confirmed once a majority of the group's servers holds the log position in its
  // term, or with the reason for failure.
  virtual void confirm(const DatabaseName &Database, LogPosition At, Instant Deadline,
                       std::function<void(ConfirmResult)> Then) = 0;

  // Reads the primary's log position and checks that its term is current. The check takes answers
  // of a majority to probes that started after the call. Calls back with the position, or with no
  // value at the deadline or on failure.
  virtual void verify(const DatabaseName &Database, Instant Deadline,
                      std::function<void(std::optional<LogPosition>)> Then) = 0;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_WATCHER_H
