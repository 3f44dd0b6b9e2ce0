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

double FairShare::dueAt(const AccountName &Account, size_t N, double CostMs, double Weight) const {
  auto It = this->VirtualTimes.find(Account);
  double Start =
      It == this->VirtualTimes.end() ? this->Present : std::max(It->second, this->Present);
  return Start + static_cast<double>(N) * CostMs / Weight;
}

size_t waitingAhead(const std::map<AccountName, size_t> &Waiting, const AccountName &Account) {
  auto Own = Waiting.find(Account);
  size_t OwnCount = Own == Waiting.end() ? 0 : Own->second;
  size_t Ahead = OwnCount;
  for (const auto &[Other, Count] : Waiting)
    if (Other != Account)
      Ahead += std::min(Count, OwnCount + 1);
  return Ahead;
}

} // namespace toucan::placement
