// Number of connections that an instance may open to one target, out of a limit shared by all
// instances.
#ifndef TOUCAN_PLACEMENT_CONNECTIONS_H
#define TOUCAN_PLACEMENT_CONNECTIONS_H

#include "base/base.h"
#include "placement/choose.h"

#include <cstdint>
#include <set>
#include <span>

namespace toucan::placement {

// Returns the share of one instance: the target's limit, less a reserve for control connections,
// divided evenly among the live instances; at least one.
uint32_t connectionShare(uint32_t Limit, size_t Instances);

// True if a target accepts fewer connections than there are live instances, less the reserve for
// control connections. Each instance then keeps at most one idle connection to it, and most keep
// none.
bool connectionsScarce(uint32_t Limit, size_t Instances);

// Number of instances that retain an idle connection to a target whose connections are scarce. The
// rest of the limit, at least a third of it, serves connections that are opened for waiting
// statements, and control connections.
uint32_t retainedConnections(uint32_t Limit);

// A live instance, as a candidate for retaining an idle connection to a target.
struct RetentionCandidate {
  InstanceId Id;
  Distance DistanceToTarget = Distance::OtherRegion;
  uint32_t MilliCores = 0; // 0: not known
};

// Returns the Count instances that retain an idle connection to Target: the nearest first, those of
// equal distance by rendezvous hashing weighted with their CPU time. All instances with the same
// list get the same result without a message. If an instance leaves, only its place is taken by
// another one.
std::set<InstanceId> retainingInstances(const TargetId &Target,
                                        std::span<const RetentionCandidate> Live, uint32_t Count);

// Delay of the next connection after a target refused one because it accepts no more. Grows
// exponentially, with jitter from a seed so that refused instances do not ask again at the same
// time. Load pattern: 122 instances that each want a connection to a target which accepts 73; with
// fixed delays the targets refused 65,839 connections in 34 s.
class RefusalBackoff {
public:
  explicit RefusalBackoff(uint64_t Seed) : Seed(Seed) {}
  // Returns the delay until the next attempt.
  absl::Duration onRefused();
  void onOpened() { this->Refusals = 0; }

private:
  uint64_t Seed;
  uint64_t Attempts = 0; // over the lifetime; varies the jitter
  uint32_t Refusals = 0; // without an opened connection in between
};

// Average time in which a target opens a connection. It returns to an assumed value, which is two
// round trips and the session set-up at the target, while no connection is opened: a long time
// would otherwise refuse all statements that need a connection, and would then never be measured
// again.
class ConnectTime {
public:
  void onOpened(absl::Duration Elapsed, Instant Now);
  absl::Duration average(Distance To, Instant Now) const;

private:
  double AverageMs = 0;
  uint64_t Count = 0;
  Instant LastOpened;
};

// Limits the connections to one target that this instance may hold open. The share is reserved for
// the instance. While statements wait, the instance may borrow one more connection that others
// leave unused: with many instances the share is one connection, which a single transaction holds
// for its whole duration. Load pattern: a load peak at many instances whose shares are one
// connection.
// All instances need the primary. There, a pseudo-random selection permits about as many instances
// to borrow at a time as connections remain after the shares. With 46 connections for 35 instances,
// if a third of the instances hold two, others get none. A target refuses a connection if no
// connection is left, or if the shares are not in effect yet, as after instances were killed or
// added.
class ConnectionLimit {
public:
  // No borrowing before BorrowFrom: after a start all instances need their shares at once. Seed
  // must differ between instances and between targets.
  ConnectionLimit(Instant BorrowFrom, uint64_t Seed) : BorrowFrom(BorrowFrom), Seed(Seed) {}
  // Limit is the connection limit of the target for all instances together.
  void setLimit(uint32_t Limit, size_t Instances);
  // Whether this instance retains an idle connection while connections are scarce.
  void setRetains(bool Retains) { this->Retains = Retains; }
  bool scarce() const { return this->Scarce; }
  // Number of connections that stay open while they are idle: the share, or while connections are
  // scarce one or none.
  uint32_t keptOpen() const;
  // Time after which an idle connection above keptOpen() is closed.
  absl::Duration spareIdleLimit(Instant Now) const;
  void onRefused(Instant Now);
  // The target became the primary. Every instance now needs its share there, so nothing is borrowed
  // until all have had time to connect. Load pattern: a replica is promoted at a load peak; the
  // instances near it hold two connections each, and others get none for seconds.
  void onPromoted(Instant Now);
  // The target is no longer the primary.
  void onDemoted() { this->Contended = false; }
  // Number of connections reserved for this instance.
  uint32_t share() const { return this->Share; }
  // Number of connections that may be in the process of opening at the same time. After a refusal
  // they are opened one at a time: the target still counts the connections of machines that lost
  // power for seconds.
  uint32_t maxOpening(Instant Now) const;
  // Number of connections that may be open while statements wait for one. IdleInTransaction is the
  // number of connections held by transactions whose callers send nothing. A bounded number of them
  // is replaced by further connections; otherwise one such caller would block all other callers of
  // the instance. Load pattern: callers that begin a transaction, write and go silent.
  uint32_t maxWithBorrowing(Instant Now, uint32_t IdleInTransaction = 0) const;

private:
  bool selectedToBorrow(Instant Now) const;

  Instant BorrowFrom;
  uint64_t Seed;
  uint32_t Share = 1;
  bool Scarce = false;
  bool Retains = false;
  double UnsharedPerInstance = 0; // share of the instances that may borrow at a time
  bool Contended = false;         // true at the primary, which all instances need
  Instant SerialOpenUntil = absl::InfinitePast();
};

// Time after the start of the process without borrowing.
inline constexpr absl::Duration BorrowDelay = absl::Seconds(6);
// A connection counts as idle in a transaction when its caller has sent nothing for this time,
// which is longer than the usual pause between two statements.
inline constexpr absl::Duration IdleInTransactionAfter = absl::Milliseconds(150);
// Time after a target became the primary without borrowing there.
inline constexpr absl::Duration PromotedBorrowDelay = absl::Seconds(5);
// If several connections are idle, one is closed when all of them have been idle for this time.
// Otherwise the target would count connections that nobody needs for seconds after this machine
// loses power.
inline constexpr absl::Duration SurplusIdleLimit = absl::Seconds(2);
// A connection above the share, or to a target that is not in regular use, is closed when it has
// been idle for this time.
inline constexpr absl::Duration SpareIdleLimit = absl::Milliseconds(500);
// The same while connections are scarce. Longer than the usual pause between two statements of a
// caller, so that the second one does not pay for another connection.
inline constexpr absl::Duration OnDemandIdleLimit = absl::Milliseconds(150);
// Longest mean delay between two attempts at a target that refuses connections. Connections of a
// lost machine become free after 3 s, and a statement waits for a second at most.
inline constexpr absl::Duration RefusalBackoffMax = absl::Milliseconds(1600);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_CONNECTIONS_H
