// Number of connections that an instance may open to one target, out of a limit shared by all
// instances.
#ifndef TOUCAN_PLACEMENT_CONNECTIONS_H
#define TOUCAN_PLACEMENT_CONNECTIONS_H

#include "base/base.h"

#include <cstdint>

namespace toucan::placement {

// Returns the share of one instance: the target's limit, less a reserve for control connections,
// divided evenly among the live instances; at least one.
uint32_t connectionShare(uint32_t Limit, size_t Instances);

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

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_CONNECTIONS_H
