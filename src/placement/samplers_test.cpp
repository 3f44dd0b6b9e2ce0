#include "placement/placement.h"

#include <doctest/doctest.h>

#include <set>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

std::vector<SamplerCandidate> dataCentre() {
  std::vector<SamplerCandidate> Out;
  Out.reserve(20);
  for (int I = 0; I < 20; ++I)
    Out.push_back({.Id = InstanceId("i" + std::to_string(I)), .MilliCores = I < 2 ? 500U : 84U});
  return Out;
}

std::string service(int I) { return "service-" + std::to_string(I); }

Samplers viewOf(const SamplerCandidate &Own, const std::vector<SamplerCandidate> &All) {
  Samplers S(Own);
  S.setCandidates(All);
  return S;
}

} // namespace

// Guards against several instances that sample the same service.
TEST_CASE("samplers: all instances of a data centre choose the same one, by CPU time") {
  std::vector<SamplerCandidate> All = dataCentre();
  int Large = 0;
  for (int N = 0; N < 1000; ++N) {
    InstanceId Chosen = viewOf(All[0], All).samplerOf(service(N), at(0));
    for (const SamplerCandidate &C : All)
      REQUIRE(viewOf(C, All).samplerOf(service(N), at(0)) == Chosen);
    Large += Chosen == All[0].Id || Chosen == All[1].Id ? 1 : 0;
  }
  // The two large instances have 1,000 of 2,512 milli-cores.
  CHECK(Large > 330);
  CHECK(Large < 470);
}

// Guards against samplers that all change when one instance leaves.
TEST_CASE("samplers: the loss of an instance moves only its own services") {
  std::vector<SamplerCandidate> All = dataCentre();
  Samplers S = viewOf(All[0], All);
  std::map<int, InstanceId> Before;
  for (int N = 0; N < 200; ++N)
    Before[N] = S.samplerOf(service(N), at(0));
  InstanceId Lost = All[1].Id;
  CHECK(S.onUnanswered(Lost, at(0)) == absl::Seconds(2));
  int Moved = 0;
  for (int N = 0; N < 200; ++N) {
    const InstanceId &Now = S.samplerOf(service(N), at(100));
    CHECK(Now != Lost);
    Moved += Now != Before[N] ? 1 : 0;
    CHECK((Before[N] == Lost || Now == Before[N]));
    CHECK(S.samplerOf(service(N), at(2000)) == Before[N]);
  }
  CHECK(Moved > 0);
  // A crashed instance is asked less and less often, at least every 30 s.
  for (int Expected : {4, 8, 16, 30, 30})
    CHECK(S.onUnanswered(Lost, at(2000)) == absl::Seconds(Expected));
  S.onAnswered(Lost);
  CHECK(S.onUnanswered(Lost, at(2000)) == absl::Seconds(2));
}

TEST_CASE("samplers: without other instances, an instance is its own sampler") {
  Samplers S({.Id = InstanceId("me")});
  CHECK(S.samplerOf("s", at(0)) == InstanceId("me"));
}

// Guards against an instance without reads of its own that does not sample for the others, and one
// that samples although another one does.
TEST_CASE("samplers: a sample is due for own reads, or because another instance asked") {
  SampleTimes T{.Newest = at(0), .NewestOwn = at(0), .BoundedRead = at(0)};
  CHECK_FALSE(ownSampleDue(T, false, at(399)));
  CHECK(ownSampleDue(T, false, at(400)));
  CHECK_FALSE(ownSampleDue(T, true, at(400)));
  T.Sent = at(300);
  CHECK_FALSE(ownSampleDue(T, false, at(450)));
  CHECK_FALSE(ownSampleDue(T, false, at(3001)));
  T = {.Asked = at(0)};
  CHECK(ownSampleDue(T, true, at(100)));
  // A sample received from another instance does not replace the own one that is asked for.
  T = {.Newest = at(1000), .NewestOwn = at(600), .Asked = at(900)};
  CHECK(ownSampleDue(T, true, at(1000)));
  T.NewestOwn = at(900);
  CHECK_FALSE(ownSampleDue(T, true, at(1000)));
  CHECK_FALSE(ownSampleDue(T, true, at(4000)));
}

// Guards against a floor from a former primary, and from an instance that knows too few targets.
TEST_CASE("samplers: a sample of an older term or of weaker evidence is not used") {
  SharedSample S{.At = {.InTerm = Term(3), .Position = 7}, .CoversUntil = at(0), .Witnesses = 1};
  CHECK(usable(S, Term(3), 1));
  CHECK(usable(S, Term(2), 0));
  CHECK_FALSE(usable(S, Term(4), 1));
  CHECK_FALSE(usable(S, Term(3), 2));
}
