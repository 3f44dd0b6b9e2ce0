#include "placement/queue.h"

#include <algorithm>
#include <tuple>

namespace toucan::placement {

void WaitQueue::add(const WaitingStatement &W) {
  auto After = std::upper_bound(
      this->All.begin(), this->All.end(), W,
      [](const WaitingStatement &A, const WaitingStatement &B) { return A.Arrived < B.Arrived; });
  this->All.insert(After, W);
}

void WaitQueue::remove(WaitingId Id) {
  std::erase_if(this->All, [&](const WaitingStatement &W) { return W.Id == Id; });
}

void WaitQueue::visit(Instant Now, const std::function<bool(const WaitingStatement &)> &Visit) {
  // Visit may change the queue, so a copy is traversed.
  std::vector<WaitingStatement> Order = this->All;
  std::stable_sort(Order.begin(), Order.end(),
                   [Now](const WaitingStatement &A, const WaitingStatement &B) {
                     return std::tuple(Now >= A.ObjectiveAt, A.Priority, A.Transaction) <
                            std::tuple(Now >= B.ObjectiveAt, B.Priority, B.Transaction);
                   });
  for (const WaitingStatement &W : Order)
    if (!Visit(W))
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

Admission admit(const WaitingStatement &W, const QueueLoad &Load, Instant Now) {
  if (W.NeedsPrimary && Load.PrimaryExpectedAt != absl::InfiniteFuture() &&
      Load.PrimaryExpectedAt > W.StartBefore)
    return Admission::RejectNoPrimary;
  if (Now + expectedWait(W, Load) > W.StartBefore)
    return Admission::RejectBusy;
  return Admission::Wait;
}

} // namespace toucan::placement
