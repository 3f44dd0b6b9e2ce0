#include "placement/queue.h"

#include <algorithm>
#include <tuple>

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
  this->Shares.onGranted(W.Account, std::max(MinHoldMs, absl::ToDoubleMilliseconds(Hold)),
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
  // Within an account the due times follow the order above, which is therefore the result where
  // there is one account only.
  struct Due {
    bool Late;
    int Priority;
    double At;
    const WaitingStatement *W;
  };
  std::vector<Due> ByShare;
  ByShare.reserve(Order.size());
  absl::flat_hash_map<AccountName, size_t> Seen;
  for (const WaitingStatement &W : Order)
    ByShare.push_back(
        {.Late = Now >= W.ObjectiveAt,
         .Priority = W.Priority,
         .At = this->Shares.dueAt(W.Account, Seen[W.Account]++, TypicalHoldMs, W.Weight),
         .W = &W});
  std::stable_sort(ByShare.begin(), ByShare.end(), [](const Due &A, const Due &B) {
    return std::tuple(A.Late, A.Priority, A.At) < std::tuple(B.Late, B.Priority, B.At);
  });
  for (const Due &D : ByShare)
    if (!Visit(*D.W))
      return;
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
