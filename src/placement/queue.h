// Order and bounds of the statements that wait for a connection to a service's targets.
#ifndef TOUCAN_PLACEMENT_QUEUE_H
#define TOUCAN_PLACEMENT_QUEUE_H

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace toucan::placement {

using WaitingId = StrongId<struct WaitingTag, uint64_t>;

struct WaitingStatement {
  WaitingId Id;
  int Priority = 0; // 0 is the most urgent
  Instant Arrived;
  Instant ObjectiveAt; // an answer after this moment is late
  Instant StartBefore; // rejected then: an answer could not come in time
  bool NeedsPrimary = false;
  bool Transaction = false; // holds a connection for many statements and the pauses between them
};

// Statements of one service that wait. Order: those that can still meet their objective, then by
// priority, then single statements before transactions, then by arrival. Load patterns: a crest
// longer than the queue can absorb, where plain arrival order would serve only statements that are
// late already; and a primary with one connection an instance, which a transaction holds ten times
// longer than a single statement.
class WaitQueue {
public:
  void add(const WaitingStatement &W);
  void remove(WaitingId Id);
  // Visits statements in order until Visit returns false; Visit may remove the one it was given.
  void visit(Instant Now, const std::function<bool(const WaitingStatement &)> &Visit);
  // Takes out the statements whose StartBefore has passed.
  std::vector<WaitingStatement> takeExpired(Instant Now);
  Instant nextExpiry() const;
  size_t size() const { return this->All.size(); }

private:
  std::vector<WaitingStatement> All; // by arrival
};

// What is known when a statement arrives.
struct QueueLoad {
  size_t WaitingSingles = 0;          // single statements waiting for the same targets
  size_t WaitingTransactions = 0;     // transactions that wait as well
  uint32_t Connections = 1;           // that serve them
  uint32_t HeldByTransactions = 0;    // of these, held by transactions
  absl::Duration SingleHoldTime;      // average time that a single statement holds a connection
  absl::Duration TransactionHoldTime; // average time that a transaction holds one
  // When the service will have a primary again; infinite past if it has one, infinite future if
  // that is not known.
  Instant PrimaryExpectedAt = absl::InfinitePast();
};

// Time until the statement starts by present speed. Transactions wait for all, single statements
// only for each other and for a connection that transactions hold. Load pattern: a primary reached
// over one connection, behind which transactions queue; with one average for both kinds, half of
// those that were admitted waited until their limit.
absl::Duration expectedWait(const WaitingStatement &W, const QueueLoad &Load);

enum class Admission : uint8_t { Wait, RejectBusy, RejectNoPrimary };

// Rejects a statement that cannot start before its limit by present speed, at once rather than at
// the limit: the caller may return elsewhere.
Admission admit(const WaitingStatement &W, const QueueLoad &Load, Instant Now);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_QUEUE_H
