#include "pool/runtime.h"

#include <algorithm>

namespace toucan::pool {

using rules::WorkClass;

namespace {

// Hysteresis: a statement whose run time is near a threshold does not change its class on each run.
constexpr absl::Duration LongThreshold = absl::Milliseconds(500);
constexpr absl::Duration ShortThreshold = absl::Milliseconds(250);
// Weight of the newest run in the moving average, and the cap on the run time of one run. With
// both, a statement of a few milliseconds becomes long after three slow runs rather than one, and a
// statement of hours becomes short again after five short runs.
constexpr double NewestRunWeight = 0.25;
constexpr absl::Duration MaxCountedRunTime = absl::Seconds(1);

} // namespace

RunTimeEstimator::Entries::iterator RunTimeEstimator::touch(uint64_t Fingerprint) {
  auto It = this->ByFingerprint.find(Fingerprint);
  if (It == this->ByFingerprint.end())
    return this->LruList.end();
  this->LruList.splice(this->LruList.begin(), this->LruList, It->second);
  return It->second;
}

WorkClass RunTimeEstimator::classOf(uint64_t Fingerprint) {
  auto It = this->touch(Fingerprint);
  return It == this->LruList.end() ? WorkClass::Short : It->Class;
}

void RunTimeEstimator::record(uint64_t Fingerprint, absl::Duration RunTime, RunEnd End) {
  if (Fingerprint == 0)
    return;
  RunTime = std::min(RunTime, MaxCountedRunTime);
  auto It = this->touch(Fingerprint);
  if (It == this->LruList.end()) {
    if (this->LruList.size() >= this->Capacity) {
      this->ByFingerprint.erase(this->LruList.back().Fingerprint);
      this->LruList.pop_back();
    }
    this->LruList.push_front({.Fingerprint = Fingerprint, .Estimate = RunTime});
    It = this->LruList.begin();
    this->ByFingerprint[Fingerprint] = It;
  } else if (End == RunEnd::Completed || RunTime > It->Estimate) {
    It->Estimate += (RunTime - It->Estimate) * NewestRunWeight;
  }
  if (It->Estimate > LongThreshold)
    It->Class = WorkClass::Long;
  else if (It->Estimate < ShortThreshold)
    It->Class = WorkClass::Short;
}

} // namespace toucan::pool
