#include "placement/connections.h"
#include "placement/rendezvous.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

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
constexpr absl::Duration RefusalPause = absl::Seconds(3);

// The instances that may borrow are selected anew in each interval, which spans a few transactions
// of usual length.
constexpr absl::Duration BorrowSelectionInterval = absl::Seconds(2);

// Least share of the connections at a target that no instance retains while they are scarce.
constexpr uint32_t ScarceReserveDivisor = 3;
// CPU time assumed for an instance whose row does not state it: that of a small instance.
constexpr uint32_t AssumedMilliCores = 100;
// First mean delay after a refused connection; doubled with each further refusal.
constexpr absl::Duration RefusalBackoffMin = absl::Milliseconds(100);
// Connections that may be opened at the same time while they are scarce, and most connections of
// one instance to one target. The second one serves other callers during a transaction.
constexpr uint32_t ScarceOpening = 2;

// Weight of one sample in the average time of opening a connection.
constexpr double ConnectTimeWeight = 0.2;
constexpr absl::Duration ConnectTimeHalfLife = absl::Seconds(3);
// 12 ms of a slot for the session, and two round trips of 3 or 40 ms.
constexpr absl::Duration AssumedNearConnectTime = absl::Milliseconds(20);
constexpr absl::Duration AssumedFarConnectTime = absl::Milliseconds(95);

} // namespace

bool connectionsScarce(uint32_t Limit, size_t Instances) {
  return Limit < Instances + ControlReserve;
}

uint32_t retainedConnections(uint32_t Limit) {
  uint32_t Reserve = (Limit + ScarceReserveDivisor - 1) / ScarceReserveDivisor;
  return Limit - std::min(Limit, std::max(Reserve, ControlReserve));
}

std::set<InstanceId> retainingInstances(const TargetId &Target,
                                        std::span<const RetentionCandidate> Live, uint32_t Count) {
  struct Ranked {
    Distance To;
    double Score; // lowest first
    const InstanceId *Id;
  };
  std::vector<Ranked> All;
  All.reserve(Live.size());
  for (const RetentionCandidate &C : Live) {
    double Weight = C.MilliCores > 0 ? C.MilliCores : AssumedMilliCores;
    double Score = rendezvousRank(Target.Value, C.Id.Value, Weight);
    All.push_back({.To = C.DistanceToTarget, .Score = Score, .Id = &C.Id});
  }
  std::sort(All.begin(), All.end(), [](const Ranked &A, const Ranked &B) {
    return std::tie(A.To, A.Score, *A.Id) < std::tie(B.To, B.Score, *B.Id);
  });
  std::set<InstanceId> Out;
  for (size_t I = 0; I < std::min<size_t>(Count, All.size()); ++I)
    Out.insert(*All[I].Id);
  return Out;
}

void ConnectTime::onOpened(absl::Duration Elapsed, Instant Now) {
  double Weight = std::max(ConnectTimeWeight, 1.0 / static_cast<double>(++this->Count));
  this->AverageMs += Weight * (absl::ToDoubleMilliseconds(Elapsed) - this->AverageMs);
  this->LastOpened = Now;
}

absl::Duration ConnectTime::average(Distance To, Instant Now) const {
  absl::Duration Assumed =
      To == Distance::OtherRegion ? AssumedFarConnectTime : AssumedNearConnectTime;
  if (this->Count == 0)
    return Assumed;
  double Decay = std::exp2(-absl::FDivDuration(Now - this->LastOpened, ConnectTimeHalfLife));
  return absl::Milliseconds(this->AverageMs) * Decay + Assumed * (1 - Decay);
}

absl::Duration RefusalBackoff::onRefused() {
  absl::Duration Mean = RefusalBackoffMin;
  for (uint32_t I = 0; I < this->Refusals && Mean < RefusalBackoffMax; ++I)
    Mean *= 2;
  ++this->Refusals;
  // Between half and one and a half of the mean.
  double Jitter = 0.5 + unitInterval(mixBits(this->Seed ^ mixBits(++this->Attempts)));
  return std::min(Mean, RefusalBackoffMax) * Jitter;
}

uint32_t connectionShare(uint32_t Limit, size_t Instances) {
  uint32_t Shared = Limit > ControlReserve ? Limit - ControlReserve : 1;
  return std::max<uint32_t>(1, Shared / static_cast<uint32_t>(std::max<size_t>(1, Instances)));
}

void ConnectionLimit::setLimit(uint32_t Limit, size_t Instances) {
  this->Share = connectionShare(Limit, Instances);
  this->Scarce = connectionsScarce(Limit, Instances);
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
  this->SerialOpenUntil = Now + RefusalPause;
  this->BorrowFrom = std::max(this->BorrowFrom, Now + RefusalPause);
}

void ConnectionLimit::onPromoted(Instant Now) {
  this->Contended = true;
  this->BorrowFrom = std::max(this->BorrowFrom, Now + PromotedBorrowDelay);
}

uint32_t ConnectionLimit::keptOpen() const {
  if (this->Scarce)
    return this->Retains ? 1 : 0;
  return this->Share;
}

// After a refusal, other instances wait for the connections that this one does not use.
absl::Duration ConnectionLimit::spareIdleLimit(Instant Now) const {
  if (!this->Scarce)
    return SpareIdleLimit;
  return Now < this->SerialOpenUntil ? absl::ZeroDuration() : OnDemandIdleLimit;
}

uint32_t ConnectionLimit::maxOpening(Instant Now) const {
  if (Now < this->SerialOpenUntil)
    return 1;
  return this->Scarce ? ScarceOpening : this->Share;
}

uint32_t ConnectionLimit::maxWithBorrowing(Instant Now, uint32_t IdleInTransaction) const {
  uint32_t Replaced = this->Share + std::min(IdleInTransaction, MaxIdleReplacements);
  // Scarce connections are open only while statements need them, so that no selection is needed.
  bool Selected = !this->Contended || this->Scarce || this->selectedToBorrow(Now);
  if (Now < this->BorrowFrom || !Selected)
    return Replaced;
  return Replaced + BorrowCount;
}

} // namespace toucan::placement
