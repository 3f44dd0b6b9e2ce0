#include "placement/fair.h"

#include <algorithm>
#include <cmath>

namespace toucan::placement {

namespace {

// Lowest weight, so that no account is kept from all service.
constexpr int MaxPriorityStep = 4;
// Accounts whose virtual time is not ahead of the present one need no entry; they are dropped when
// there are more entries than this.
constexpr size_t MaxEntries = 1024;

} // namespace

double shareWeight(int Priority) {
  return std::ldexp(1.0, -std::clamp(Priority, 0, MaxPriorityStep));
}

void FairShare::onGranted(const AccountName &Account, double CostMs, double Weight) {
  double &Time = this->VirtualTimes[Account];
  double Start = std::max(Time, this->Present);
  Time = Start + CostMs / Weight;
  this->Present = Start;
  if (this->VirtualTimes.size() > MaxEntries)
    absl::erase_if(this->VirtualTimes,
                   [this](const auto &Entry) { return Entry.second <= this->Present; });
}

double FairShare::dueIn(const AccountName &Account) const {
  auto It = this->VirtualTimes.find(Account);
  return It == this->VirtualTimes.end() ? 0 : std::max(0.0, It->second - this->Present);
}

size_t waitingAhead(const std::map<AccountName, AccountQueue> &Waiting, const AccountName &Account,
                    double Weight) {
  auto Own = Waiting.find(Account);
  size_t OwnCount = Own == Waiting.end() ? 0 : Own->second.Count;
  size_t Ahead = OwnCount;
  for (const auto &[Other, Queue] : Waiting) {
    if (Other == Account)
      continue;
    double Share = static_cast<double>(OwnCount) * Queue.Weight / Weight;
    Ahead += std::min(Queue.Count, static_cast<size_t>(Share) + 1);
  }
  return Ahead;
}

} // namespace toucan::placement
