#include "placement/queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace toucan::placement {

namespace {

// Cost of a waiting statement in the order of the accounts, whose real cost is known only when it
// is granted.
constexpr double TypicalHoldMs = 20;
// A connection held for less than this still costs its account a turn.
constexpr double MinHoldMs = 1;

} // namespace

void WaitQueue::add(const WaitingStatement &W) {
  auto After = std::upper_bound(
      this->All.begin(), this->All.end(), W,
      [](const WaitingStatement &A, const WaitingStatement &B) { return A.Arrived < B.Arrived; });
  this->All.insert(After, W);
}

void WaitQueue::remove(WaitingId Id) {
  std::erase_if(this->All, [&](const WaitingStatement &W) { return W.Id == Id; });
}

void WaitQueue::grant(const WaitingStatement &W, absl::Duration Hold) {
  this->shares(W).onGranted(W.Account, std::max(MinHoldMs, absl::ToDoubleMilliseconds(Hold)),
                            W.Weight);
}

void WaitQueue::visit(Instant Now, const std::function<bool(const WaitingStatement &)> &Visit) {
  // Visit may change the queue, so a copy is traversed.
  std::vector<WaitingStatement> Order = this->All;
  std::stable_sort(Order.begin(), Order.end(),
                   [Now](const WaitingStatement &A, const WaitingStatement &B) {
                     return std::tuple(Now >= A.ObjectiveAt, A.Priority, A.Transaction) <
                            std::tuple(Now >= B.ObjectiveAt, B.Priority, B.Transaction);
                   });
  std::vector<const WaitingStatement *> Ordered = this->byShare(Order, Now);
  for (const WaitingStatement *W : Ordered)
    if (!Visit(*W))
      return;
}

// Sorts statements, which are ordered by all other rules, by the turns of their accounts too.
std::vector<const WaitingStatement *> WaitQueue::byShare(const std::vector<WaitingStatement> &Order,
                                                         Instant Now) {
  std::vector<const WaitingStatement *> Out;
  Out.reserve(Order.size());
  for (const WaitingStatement &W : Order)
    Out.push_back(&W);
  // Statements of one account keep the order, whether they need the primary or not.
  if (std::all_of(Order.begin(), Order.end(),
                  [&](const WaitingStatement &W) { return W.Account == Order.front().Account; }))
    return Out;
  struct Due {
    bool Late;
    int Priority;
    double In;
    const WaitingStatement *W;
  };
  std::vector<Due> ByShare;
  ByShare.reserve(Order.size());
  // Virtual time of the statements of the same account and kind that are served before.
  absl::flat_hash_map<std::pair<AccountName, bool>, double> Ahead;
  for (const WaitingStatement &W : Order) {
    double &Before = Ahead[{W.Account, W.NeedsPrimary}];
    ByShare.push_back({.Late = Now >= W.ObjectiveAt,
                       .Priority = W.Priority,
                       .In = this->shares(W).dueIn(W.Account) + Before,
                       .W = &W});
    Before += TypicalHoldMs / W.Weight;
  }
  std::stable_sort(ByShare.begin(), ByShare.end(), [](const Due &A, const Due &B) {
    return std::tuple(A.Late, A.Priority, A.In) < std::tuple(B.Late, B.Priority, B.In);
  });
  for (size_t I = 0; I < Out.size(); ++I)
    Out[I] = ByShare[I].W;
  return Out;
}

std::vector<WaitingStatement> WaitQueue::takeExpired(Instant Now) {
  std::vector<WaitingStatement> Out;
  std::erase_if(this->All, [&](const WaitingStatement &W) {
    if (Now < W.StartBefore)
      return false;
    Out.push_back(W);
    return true;
  });
  return Out;
}

Instant WaitQueue::nextExpiry() const {
  Instant Next = absl::InfiniteFuture();
  for (const WaitingStatement &W : this->All)
    Next = std::min(Next, W.StartBefore);
  return Next;
}

absl::Duration expectedWait(const WaitingStatement &W, const QueueLoad &Load) {
  absl::Duration Work = Load.SingleHoldTime * static_cast<double>(Load.WaitingSingles);
  if (W.Transaction)
    Work += Load.TransactionHoldTime * static_cast<double>(Load.WaitingTransactions);
  uint32_t Connections = std::max(1U, Load.Connections);
  absl::Duration Wait = Load.ConnectionDelay + Work / Connections;
  // If transactions hold all connections, each is assumed to have half of its time left, and the
  // expected time until the first one ends is that divided by the number of connections.
  if (Load.HeldByTransactions >= Connections)
    Wait += Load.TransactionHoldTime / 2 / Connections;
  return Wait;
}

// A statement keeps at least half of its time for waiting, also at a target that was slow lately.
Instant latestStart(Instant Now, Instant AnswerBy, absl::Duration Hold) {
  return AnswerBy - std::clamp(Hold, absl::ZeroDuration(),
                               std::max(absl::ZeroDuration(), (AnswerBy - Now) / 2));
}

Admission admit(const WaitingStatement &W, const QueueLoad &Load, Instant Now) {
  if (W.NeedsPrimary && Load.PrimaryExpectedAt != absl::InfiniteFuture() &&
      Load.PrimaryExpectedAt > W.StartBefore)
    return Admission::RejectNoPrimary;
  if (Now + expectedWait(W, Load) > W.StartBefore)
    return Admission::RejectBusy;
  return Admission::Wait;
}

} // namespace toucan::placement
