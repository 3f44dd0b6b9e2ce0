// How many connections an instance opens to one target, out of a limit that all instances share.
#ifndef TOUCAN_PLACEMENT_CONNECTIONS_H
#define TOUCAN_PLACEMENT_CONNECTIONS_H

#include "base/base.h"

#include <cstdint>

namespace toucan::placement {

// Share of one instance: the target's limit, less a reserve for control connections, split evenly
// over the instances alive; at least one.
uint32_t connectionShare(uint32_t Limit, size_t Instances);

// Connections to one target that this instance may hold open. Its share is its own. While
// statements wait it borrows one more of what others leave unused: many instances have shares of
// one, which a single transaction holds for its whole length. Load pattern: a crest at many
// instances whose shares are one connection. At a primary, which all instances need, it borrows by
// lot, so that about as many borrow at a time as the shares leave: with 46 connections for 35
// instances, a third of them that hold two leave others without any. A target that refuses a
// connection shows that nothing is left, or that the shares are not in force yet, as after
// instances were killed or added.
class ConnectionLimit {
public:
  // No borrowing before BorrowFrom: after a start all instances need their shares at once. Seed
  // tells instances and targets apart.
  ConnectionLimit(Instant BorrowFrom, uint64_t Seed) : BorrowFrom(BorrowFrom), Seed(Seed) {}
  // Limit: of the target, for all instances.
  void setLimit(uint32_t Limit, size_t Instances);
  // The target refused a connection.
  void onRefused(Instant Now);
  // The target became the primary: every instance needs its share there now, and nothing is
  // borrowed until all have had time to connect. Load pattern: a replica is promoted at a crest;
  // the instances near it hold two connections each, and others get none for seconds.
  void onPromoted(Instant Now);
  // The target does not lead any more.
  void onDemoted() { this->Contended = false; }
  // Connections that may be kept open.
  uint32_t share() const { return this->Share; }
  // Connections that may be in opening at the same time. After a refusal they are tried one by one:
  // the connections of machines that lost power stay counted at the target for seconds.
  uint32_t maxOpening(Instant Now) const;
  // Connections that may be open while statements wait for one. Resting: connections that rest in
  // transactions whose callers send nothing; they are replaced within a bound, or one such caller
  // would keep the service from all others of the instance. Load pattern: callers that begin a
  // transaction, write and go silent.
  uint32_t maxWithBorrowing(Instant Now, uint32_t IdleInTransaction = 0) const;

private:
  bool selectedToBorrow(Instant Now) const;

  Instant BorrowFrom;
  uint64_t Seed;
  uint32_t Share = 1;
  double UnsharedPerInstance = 0; // part of the instances that may borrow at the same time
  bool Contended = false;         // by all instances, as a primary is
  Instant SerialOpenUntil = absl::InfinitePast();
};

// No borrowing for this time after the start of the process.
inline constexpr absl::Duration BorrowDelay = absl::Seconds(6);
// A connection rests in a transaction when its caller has sent nothing for this time; longer than
// the usual pause between two statements.
inline constexpr absl::Duration IdleInTransactionAfter = absl::Milliseconds(150);
// Nor for this time after a target became the primary.
inline constexpr absl::Duration PromotedBorrowDelay = absl::Seconds(5);
// Of several connections that are idle, one is closed when all of them have been idle for this
// time: connections that nobody needs would be counted for seconds after a loss of power.
inline constexpr absl::Duration SurplusIdleLimit = absl::Seconds(2);
// A connection over the share, or to a target that is not in regular use, is given back when it has
// been idle for this time.
inline constexpr absl::Duration SpareIdleLimit = absl::Milliseconds(500);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_CONNECTIONS_H
