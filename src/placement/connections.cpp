#include "placement/connections.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <tuple>

namespace toucan::placement {

namespace {

// Connections at each target that are reserved for control commands and for instances that have
// just started and are not counted yet.
constexpr uint32_t ControlReserve = 2;
// Connections that one instance may borrow at a target.
constexpr uint32_t BorrowCount = 1;
// Most connections idle in a transaction that are replaced at a target.
constexpr uint32_t MaxIdleReplacements = 3;
// Time after a refusal in which nothing is borrowed and connections are opened one at a time. A
// target drops the connections of a lost machine within 3 s.
constexpr absl::Duration RefusalBackoff = absl::Seconds(3);

// The instances that may borrow are selected anew in each interval, which spans a few transactions
// of usual length.
constexpr absl::Duration BorrowSelectionInterval = absl::Seconds(2);

} // namespace

uint32_t connectionShare(uint32_t Limit, size_t Instances) {
  uint32_t Shared = Limit > ControlReserve ? Limit - ControlReserve : 1;
  return std::max<uint32_t>(1, Shared / static_cast<uint32_t>(std::max<size_t>(1, Instances)));
}

void ConnectionLimit::setLimit(uint32_t Limit, size_t Instances) {
  this->Share = connectionShare(Limit, Instances);
  double Allocated = static_cast<double>(Instances) * this->Share + ControlReserve;
  double Rest = std::max(0.0, static_cast<double>(Limit) - Allocated);
  this->UnsharedPerInstance = Rest / static_cast<double>(std::max<size_t>(1, Instances));
}

// Returns true if the pseudo-random selection permits this instance to borrow in the current
// interval.
bool ConnectionLimit::selectedToBorrow(Instant Now) const {
  int64_t Interval = absl::ToUnixMillis(Now) / absl::ToInt64Milliseconds(BorrowSelectionInterval);
  size_t Hash = absl::Hash<std::tuple<uint64_t, int64_t>>()({this->Seed, Interval});
  constexpr size_t Resolution = 1024;
  return static_cast<double>(Hash % Resolution) < this->UnsharedPerInstance * Resolution;
}

void ConnectionLimit::onRefused(Instant Now) {
  this->SerialOpenUntil = Now + RefusalBackoff;
  this->BorrowFrom = std::max(this->BorrowFrom, Now + RefusalBackoff);
}

void ConnectionLimit::onPromoted(Instant Now) {
  this->Contended = true;
  this->BorrowFrom = std::max(this->BorrowFrom, Now + PromotedBorrowDelay);
}

uint32_t ConnectionLimit::maxOpening(Instant Now) const {
  return Now < this->SerialOpenUntil ? 1 : this->Share;
}

uint32_t ConnectionLimit::maxWithBorrowing(Instant Now, uint32_t IdleInTransaction) const {
  uint32_t Replaced = this->Share + std::min(IdleInTransaction, MaxIdleReplacements);
  if (Now < this->BorrowFrom || (this->Contended && !this->selectedToBorrow(Now)))
    return Replaced;
  return Replaced + BorrowCount;
}

} // namespace toucan::placement
