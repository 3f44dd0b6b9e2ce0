#include "pool/runtime.h"

#include <algorithm>

namespace toucan::pool {

using rules::WorkClass;

namespace {

// Two limits, so that a statement near one of them does not change its class with each run.
constexpr absl::Duration LongAbove = absl::Milliseconds(500);
constexpr absl::Duration ShortBelow = absl::Milliseconds(250);
// Weight of the newest run, and the most that one run counts. Together they make a statement of a
// few milliseconds long after three slow runs, not after one, and a statement of hours short again
// after five short runs.
constexpr double NewestWeight = 0.25;
constexpr absl::Duration MaxCounted = absl::Seconds(1);

} // namespace

RunTimes::Entries::iterator RunTimes::use(uint64_t Fingerprint) {
  auto It = this->ByFingerprint.find(Fingerprint);
  if (It == this->ByFingerprint.end())
    return this->ByUse.end();
  this->ByUse.splice(this->ByUse.begin(), this->ByUse, It->second);
  return It->second;
}

WorkClass RunTimes::classOf(uint64_t Fingerprint) {
  auto It = this->use(Fingerprint);
  return It == this->ByUse.end() ? WorkClass::Short : It->Class;
}

void RunTimes::record(uint64_t Fingerprint, absl::Duration RunTime, RunEnd End) {
  if (Fingerprint == 0)
    return;
  RunTime = std::min(RunTime, MaxCounted);
  auto It = this->use(Fingerprint);
  if (It == this->ByUse.end()) {
    if (this->ByUse.size() >= this->Capacity) {
      this->ByFingerprint.erase(this->ByUse.back().Fingerprint);
      this->ByUse.pop_back();
    }
    this->ByUse.push_front({.Fingerprint = Fingerprint, .Estimate = RunTime});
    It = this->ByUse.begin();
    this->ByFingerprint[Fingerprint] = It;
  } else if (End == RunEnd::Answered || RunTime > It->Estimate) {
    It->Estimate += (RunTime - It->Estimate) * NewestWeight;
  }
  if (It->Estimate > LongAbove)
    It->Class = WorkClass::Long;
  else if (It->Estimate < ShortBelow)
    It->Class = WorkClass::Short;
}

} // namespace toucan::pool
