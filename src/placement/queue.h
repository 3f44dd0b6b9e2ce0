// Ordering and admission of the statements that wait for a connection to a service's targets.
#ifndef TOUCAN_PLACEMENT_QUEUE_H
#define TOUCAN_PLACEMENT_QUEUE_H

#include "placement/fair.h"

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
  Instant ObjectiveAt; // a statement that starts later misses its latency objective
  Instant StartBefore; // rejected at this time: an answer could no longer arrive in time
  bool NeedsPrimary = false;
  bool Transaction = false; // holds a connection for several statements and the pauses between them
  AccountName Account = defaultAccount();
  double Weight = 1; // share of the account among the accounts that wait
};

// Waiting statements of one service. Statements that can still meet their objective come first,
// then the order is by priority, by fair share among the client accounts, single statements before
// transactions, and time of arrival. Load patterns: a load peak longer than the queue can absorb,
// where plain arrival order would serve only statements that are already late; and a primary with
// one connection per instance, which a transaction holds ten times longer than a single statement;
// and one account that floods, see FairShare.
class WaitQueue {
public:
  void add(const WaitingStatement &W);
  void remove(WaitingId Id);
  // The statement gets a connection, which it is expected to hold for Hold.
  void grant(const WaitingStatement &W, absl::Duration Hold);
  // Visits statements in order until Visit returns false. Visit may remove the statement that it is
  // given.
  void visit(Instant Now, const std::function<bool(const WaitingStatement &)> &Visit);
  // Removes and returns the statements whose StartBefore has passed.
  std::vector<WaitingStatement> takeExpired(Instant Now);
  Instant nextExpiry() const;
  size_t size() const { return this->All.size(); }

private:
  std::vector<const WaitingStatement *> byShare(const std::vector<WaitingStatement> &Order,
                                                Instant Now);
  FairShare &shares(const WaitingStatement &W) {
    return W.NeedsPrimary ? this->PrimaryShares : this->ReadShares;
  }

  std::vector<WaitingStatement> All; // ordered by Arrived
  // Apart, because the virtual time of reads that replicas serve would otherwise pass that of all
  // statements which wait for the primary. Load pattern: an account that reads much at replicas,
  // and another one that floods the primary, where the turns of all accounts were lost.
  FairShare PrimaryShares;
  FairShare ReadShares;
};

// Load of the targets that may serve a statement, as of its arrival.
struct QueueLoad {
  size_t WaitingSingles = 0;          // single statements waiting for the same targets
  size_t WaitingTransactions = 0;     // transactions waiting for the same targets
  uint32_t Connections = 1;           // connections to these targets
  uint32_t HeldByTransactions = 0;    // number of Connections held by transactions
  absl::Duration SingleHoldTime;      // average time that a single statement holds a connection
  absl::Duration TransactionHoldTime; // average time that a transaction holds one
  absl::Duration ConnectionDelay;     // time until a first connection is open
  // Time when the service is expected to have a primary again; infinite past if it has one,
  // infinite future if the time is not known.
  Instant PrimaryExpectedAt = absl::InfinitePast();
};

// Estimates the time until the statement starts at the current throughput. Transactions wait for
// all other statements; single statements wait only for each other and for a connection held by a
// transaction. Load pattern: a primary reached over one connection, for which transactions queue.
// With one average for both kinds, half of the admitted statements waited until their limit.
absl::Duration expectedWait(const WaitingStatement &W, const QueueLoad &Load);

// Latest time at which a statement can start and be answered by AnswerBy, if it holds a connection
// for Hold. Load pattern: a queue as long as the objective, where each statement that is just in
// time to start is answered late, and the next one too.
Instant latestStart(Instant Now, Instant AnswerBy, absl::Duration Hold);

enum class Admission : uint8_t { Wait, RejectBusy, RejectNoPrimary };

// Decides whether a statement may wait. A statement that cannot start by StartBefore at the current
// throughput is rejected at once, so that its caller can retry elsewhere earlier.
Admission admit(const WaitingStatement &W, const QueueLoad &Load, Instant Now);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_QUEUE_H
