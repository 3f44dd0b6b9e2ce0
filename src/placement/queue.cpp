#include "placement/queue.h"

#include <algorithm>
#include <tuple>

namespace toucan::placement {

void WaitQueue::add(const Waiting &W) {
  auto After =
      std::upper_bound(this->All.begin(), this->All.end(), W,
                       [](const Waiting &A, const Waiting &B) { return A.Arrived < B.Arrived; });
  this->All.insert(After, W);
}

void WaitQueue::remove(WaitingId Id) {
  std::erase_if(this->All, [&](const Waiting &W) { return W.Id == Id; });
}

void WaitQueue::visit(Instant Now, const std::function<bool(const Waiting &)> &Visit) {
  // Visit may change the queue, so it works on a copy.
  std::vector<Waiting> Order = this->All;
  std::stable_sort(Order.begin(), Order.end(), [Now](const Waiting &A, const Waiting &B) {
    return std::tuple(Now >= A.ObjectiveAt, A.Priority, A.Transaction) <
           std::tuple(Now >= B.ObjectiveAt, B.Priority, B.Transaction);
  });
  for (const Waiting &W : Order)
    if (!Visit(W))
      return;
}

std::vector<Waiting> WaitQueue::takeExpired(Instant Now) {
  std::vector<Waiting> Out;
  std::erase_if(this->All, [&](const Waiting &W) {
    if (Now < W.StartBefore)
      return false;
    Out.push_back(W);
    return true;
  });
  return Out;
}

Instant WaitQueue::nextExpiry() const {
  Instant Next = absl::InfiniteFuture();
  for (const Waiting &W : this->All)
    Next = std::min(Next, W.StartBefore);
  return Next;
}

absl::Duration expectedWait(const Waiting &W, const QueueLoad &Load) {
  absl::Duration Work = Load.SingleHeld * static_cast<double>(Load.Singles);
  if (W.Transaction)
    Work += Load.TransactionHeld * static_cast<double>(Load.Transactions);
  uint32_t Connections = std::max(1U, Load.Connections);
  absl::Duration Wait = Work / Connections;
  // With all connections in transactions, the first one to end has half of its time left, shared
  // over so many of them.
  if (Load.Pinned >= Connections)
    Wait += Load.TransactionHeld / 2 / Connections;
  return Wait;
}

Admission admit(const Waiting &W, const QueueLoad &Load, Instant Now) {
  if (W.NeedsPrimary && Load.PrimaryAt != absl::InfiniteFuture() && Load.PrimaryAt > W.StartBefore)
    return Admission::RejectNoPrimary;
  if (Now + expectedWait(W, Load) > W.StartBefore)
    return Admission::RejectBusy;
  return Admission::Wait;
}

} // namespace toucan::placement
