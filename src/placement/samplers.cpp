#include "placement/samplers.h"

#include <algorithm>
#include <cmath>

namespace toucan::placement {

namespace {

constexpr absl::Duration FirstPause = absl::Seconds(2);
// Half the time for which the store's rows show a crashed instance as alive.
constexpr absl::Duration LongestPause = absl::Seconds(30);
// Weight of an instance whose CPU time is not known, as of a small instance.
constexpr uint32_t UnknownMilliCores = 100;

// FNV-1a with a final mix (splitmix64). All instances must compute the same value, which the seeded
// hash of absl does not give.
uint64_t stableHash(std::string_view Service, std::string_view Instance) {
  uint64_t H = 0xcbf29ce484222325U;
  auto Add = [&H](unsigned char C) { H = (H ^ C) * 0x100000001b3U; };
  for (char C : Service)
    Add(static_cast<unsigned char>(C));
  Add(0);
  for (char C : Instance)
    Add(static_cast<unsigned char>(C));
  H = (H ^ (H >> 30)) * 0xbf58476d1ce4e5b9U;
  H = (H ^ (H >> 27)) * 0x94d049bb133111ebU;
  return H ^ (H >> 31);
}

// The candidate with the lowest value is chosen: an exponential variable with the weight as rate,
// so that each is chosen in proportion to its weight.
double rank(std::string_view Service, const SamplerCandidate &C) {
  constexpr double Scale = 1.0 / (1ULL << 53);
  double Uniform =
      (static_cast<double>(stableHash(Service, C.Id.Value) >> 11) + 0.5) * Scale; // in (0, 1)
  return -std::log(Uniform) / (C.MilliCores > 0 ? C.MilliCores : UnknownMilliCores);
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
