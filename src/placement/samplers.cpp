#include "placement/samplers.h"
#include "placement/rendezvous.h"

#include <algorithm>

namespace toucan::placement {

namespace {

constexpr absl::Duration FirstPause = absl::Seconds(2);
// Half the time for which the store's rows show a crashed instance as alive.
constexpr absl::Duration LongestPause = absl::Seconds(30);
// Weight of an instance whose CPU time is not known, as of a small instance.
constexpr uint32_t UnknownMilliCores = 100;

double rank(std::string_view Service, const SamplerCandidate &C) {
  return rendezvousRank(Service, C.Id.Value, C.MilliCores > 0 ? C.MilliCores : UnknownMilliCores);
}

} // namespace

bool ownSampleDue(const SampleTimes &T, bool SampledElsewhere, Instant Now) {
  if (Now - T.Sent < SampleMaxAge / 2)
    return false;
  bool ForOthers = Now - T.Asked <= BoundedReadWindow && Now - T.NewestOwn >= SampleMaxAge;
  return ForOthers || (!SampledElsewhere && sharedSampleDue(T, Now));
}

bool sharedSampleDue(const SampleTimes &T, Instant Now) {
  return Now - T.BoundedRead <= BoundedReadWindow && Now - T.Newest >= SampleMaxAge;
}

bool usable(const SharedSample &Sample, Term Newest, uint32_t WitnessesNeeded) {
  return Sample.At.InTerm >= Newest && Sample.Witnesses >= WitnessesNeeded;
}

void Samplers::setCandidates(std::vector<SamplerCandidate> Alive) {
  std::erase_if(Alive, [&](const SamplerCandidate &C) { return C.Id == this->Own.Id; });
  this->Candidates = std::move(Alive);
  std::erase_if(this->Losses, [&](const auto &L) {
    return std::none_of(this->Candidates.begin(), this->Candidates.end(),
                        [&](const SamplerCandidate &C) { return C.Id == L.first; });
  });
}

const InstanceId &Samplers::samplerOf(std::string_view Service, Instant Now) const {
  const SamplerCandidate *Best = &this->Own;
  double BestRank = rank(Service, this->Own);
  for (const SamplerCandidate &C : this->Candidates) {
    auto Lost = this->Losses.find(C.Id);
    if (Lost != this->Losses.end() && Now < Lost->second.Until)
      continue;
    double R = rank(Service, C);
    if (R < BestRank || (R == BestRank && C.Id < Best->Id)) {
      Best = &C;
      BestRank = R;
    }
  }
  return Best->Id;
}

absl::Duration Samplers::onUnanswered(const InstanceId &Id, Instant Now) {
  auto [It, New] = this->Losses.try_emplace(Id, Loss{.Pause = FirstPause});
  if (!New)
    It->second.Pause = std::min(It->second.Pause * 2, LongestPause);
  It->second.Until = Now + It->second.Pause;
  return It->second.Pause;
}

} // namespace toucan::placement
