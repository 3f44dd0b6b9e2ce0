// Decides which instance of a data centre samples the position of a service's primary, and when an
// instance takes a sample itself.
#ifndef TOUCAN_PLACEMENT_SAMPLERS_H
#define TOUCAN_PLACEMENT_SAMPLERS_H

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace toucan::placement {

// The primary's position is sampled when the newest sample is older than this and reads of bounded
// age arrive. Well below the shortest useful age bound.
inline constexpr absl::Duration SampleMaxAge = absl::Milliseconds(400);
// Sampling continues for this time after the last read of bounded age, or the last request of
// another instance.
inline constexpr absl::Duration BoundedReadWindow = absl::Seconds(3);
// A sampler that has not answered after this time is replaced by the asking instance itself. Covers
// a round trip within a data centre and two iterations of a busy event loop.
inline constexpr absl::Duration SampleAnswerTimeout = absl::Milliseconds(100);
// An instance takes its own samples when the newest one of a sampler is older than this: one that
// is almost SampleMaxAge old when it is sent, and waits as long for the next request.
inline constexpr absl::Duration SharedSampleMaxAge = absl::Milliseconds(800);
// Samples of other instances serve reads with this age bound or a greater one. A sampler that fails
// leaves the newest sample SharedSampleMaxAge old, and the own one needs up to 400 ms: time-out,
// two ticks, a sample across regions.
inline constexpr absl::Duration ShortestSharedBound = absl::Milliseconds(1200);

// Times that decide whether a sample is due.
struct SampleTimes {
  Instant Newest = absl::InfinitePast();      // covered by the newest sample, own or shared
  Instant NewestOwn = absl::InfinitePast();   // covered by the newest sample of this instance
  Instant Sent = absl::InfinitePast();        // last request of this instance to the primary
  Instant BoundedRead = absl::InfinitePast(); // last read of bounded age of this instance
  Instant Asked = absl::InfinitePast();       // last request of another instance
};

// Whether this instance takes a sample now. SampledElsewhere: its own reads use the samples of
// another instance.
bool ownSampleDue(const SampleTimes &Times, bool SampledElsewhere, Instant Now);

// Whether a sample from another instance is to be requested for the reads of this one.
bool sharedSampleDue(const SampleTimes &Times, Instant Now);

// A position that covers every commit acknowledged before CoversUntil, by the evidence of another
// instance that the primary led, see LeadEvidence.
struct SharedSample {
  LogPosition At;
  Instant CoversUntil;
  uint32_t Witnesses = 0; // that the rule of the instance which took the sample requires
};

// Whether a sample of another instance may be used. Newest is the newest term known here. A
// position of an older term may be one that the change of primary rolled back, which no target
// reaches any more. An instance that takes the group for smaller than it is requires fewer
// witnesses, and its evidence does not hold here.
bool usable(const SharedSample &Sample, Term Newest, uint32_t WitnessesNeeded);

// A live instance of the data centre.
struct SamplerCandidate {
  InstanceId Id;
  uint32_t MilliCores = 0; // CPU time that it may use; 0: not known
};

// Chooses the sampler of each service by rendezvous hashing, weighted by CPU time. Instances with
// the same view choose the same sampler without a message, and a change of one instance moves only
// the services of that instance. Different views only cause additional samples.
class Samplers {
public:
  // Own: this instance, which is always a candidate.
  explicit Samplers(SamplerCandidate Own) : Own(std::move(Own)) {}
  void setCandidates(std::vector<SamplerCandidate> Alive);
  const InstanceId &samplerOf(std::string_view Service, Instant Now) const;

  void onAnswered(const InstanceId &Id) { this->Losses.erase(Id); }
  // Excludes an instance that did not answer; returns for how long. The time doubles with each loss
  // until an answer, because the rows in the store show a crashed instance as alive for a minute.
  absl::Duration onUnanswered(const InstanceId &Id, Instant Now);

private:
  struct Loss {
    absl::Duration Pause;
    Instant Until;
  };

  SamplerCandidate Own;
  std::vector<SamplerCandidate> Candidates; // without Own
  std::map<InstanceId, Loss> Losses;
};

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_SAMPLERS_H
