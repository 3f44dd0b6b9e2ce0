// What the pool needs to know of a database group and may ask of it.
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
  Role Is = Role::Unknown;
  Term Accepted;         // highest term the server has accepted
  uint64_t Received = 0; // last position in its log
  uint64_t Applied = 0;  // last position visible to reads
  Instant AsOf;          // when the state was read
  // Latest moment at which the server is known to have had everything of the primary; a read here
  // is at most now - CurrentAt old. InfinitePast when not known.
  Instant CurrentAt = absl::InfinitePast();
};

// Another instance that reaches the primary while this one, the owner, does not.
struct Observer {
  InstanceId Id;
  Instant Until; // the hint is valid before this moment
  friend bool operator==(const Observer &, const Observer &) = default;
};

struct GroupState {
  DatabaseName Database;
  Term Current;                    // term of the primary
  std::optional<TargetId> Primary; // empty while no primary is confirmed
  // The primary is leaving, but transactions that are open on it may finish first. Until then it
  // takes other requests, but no new transactions.
  bool AwaitsTransactions = false;
  // Requests that need the primary are sent to this instance. Set only while the primary is not
  // reachable.
  std::optional<Observer> ReachedBy;
  std::vector<ServerState> Servers;
};

// What the requests of a pool do at the primary. Matters when the primary leaves.
enum class PrimaryUse : uint8_t {
  None,
  Requests,     // requests outside transactions run there
  Transactions, // transactions are open there
};

enum class ConfirmResult : uint8_t { Confirmed, TermChanged, Deadline };

// Implemented by GroupService; tests of the pool use a fake. All calls and callbacks happen in the
// pool loop; callbacks may run before the call returns.
class Watcher {
public:
  virtual ~Watcher() = default;

  // Goes on watching a database that this instance does not own, because requests for it come here
  // while the instances disagree on its owner; or ends that.
  virtual void keep(const DatabaseName &, bool) {}

  // Tells what the pool's requests do at the primary of a database. Called on each change while the
  // primary is leaving.
  virtual void usePrimary(const DatabaseName &, PrimaryUse) {}

  // Null when the database is not watched. Valid until the next event.
  virtual const GroupState *state(const DatabaseName &Database) const = 0;

  // Calls back once a majority of the group's servers has the position in the same term.
  virtual void confirm(const DatabaseName &Database, LogPosition At, Instant Deadline,
                       std::function<void(ConfirmResult)> Then) = 0;

  // Reads the primary's position and checks with a majority, by probes begun after the call, that
  // its term is current. Calls back with the position, or empty at the deadline or on failure.
  virtual void verify(const DatabaseName &Database, Instant Deadline,
                      std::function<void(std::optional<LogPosition>)> Then) = 0;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_WATCHER_H
