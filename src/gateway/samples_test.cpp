// Tests of the shared samples: many instances in one process, with clocks that differ, and a
// network that delays and loses messages.
#include "gateway/samples.h"

#include "placement/placement.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace toucan;
using namespace toucan::gateway;
using placement::SharedSample;

namespace {

constexpr int TickMs = 50;
// Round trip to a primary in another region, and one tick.
constexpr int SampleTripMs = 50;
// Age bound of the reads of the deployments.
constexpr absl::Duration ReadAge = absl::Milliseconds(1500);

// The primary's log has one commit in each millisecond of the world's time, so that the position is
// the time. An instance's clock is ahead of that time by Offset.
struct FakeSource : SampleSource {
  absl::Duration Offset;
  bool Shares = true;
  bool Elsewhere = false;
  Term Known = Term(1); // newest term known to the instance
  Term Leads = Term(1); // term of the log that it samples
  uint32_t Witnesses = 1;
  placement::SampleTimes Times;
  placement::PositionHistory Positions;
  std::optional<SharedSample> Own;
  int Sampled = 0;
  int Taken = 0;
  std::optional<Instant> Answers; // when the primary answers the present request

  Instant local(int Ms) const { return absl::UnixEpoch() + absl::Milliseconds(Ms) + this->Offset; }
  bool sharesSamples() const override { return this->Shares; }
  placement::SampleTimes sampleTimes() const override { return this->Times; }
  std::optional<SharedSample> ownSample() const override { return this->Own; }
  void onSampleAsked(Instant Now) override { this->Times.Asked = Now; }
  void setSampledElsewhere(bool E) override { this->Elsewhere = E; }
  bool onSharedSample(const SharedSample &S) override {
    // The position must cover all commits before CoversUntil.
    Instant Covered = this->local(static_cast<int>(S.At.Position));
    CHECK(S.CoversUntil <= Covered);
    if (!placement::usable(S, this->Known, this->Witnesses))
      return false;
    ++this->Taken;
    this->add(S);
    return true;
  }
  void add(const SharedSample &S) {
    this->Positions.addSample(S.At, S.CoversUntil);
    this->Times.Newest = this->Positions.newestSampleTime();
  }
  void tick(int Ms) {
    Instant Now = this->local(Ms);
    if (this->Answers && *this->Answers <= Now) {
      this->Answers.reset();
      int SentMs = static_cast<int>(
          absl::ToInt64Milliseconds(this->Times.Sent - this->Offset - absl::UnixEpoch()));
      this->Own =
          SharedSample{.At = {.InTerm = this->Leads, .Position = static_cast<uint64_t>(SentMs)},
                       .CoversUntil = this->Times.Sent,
                       .Witnesses = this->Witnesses};
      this->Times.NewestOwn = this->Own->CoversUntil;
      this->add(*this->Own);
    }
    if (!placement::ownSampleDue(this->Times, this->Elsewhere, Now))
      return;
    this->Times.Sent = Now;
    this->Answers = Now + absl::Milliseconds(SampleTripMs);
    ++this->Sampled;
  }
};

struct Instance {
  InstanceId Id;
  InstanceAddress Address;
  Metrics Counters;
  std::map<catalog::ServiceName, std::unique_ptr<FakeSource>> Services;
  std::unique_ptr<SharedSamples> Samples;
  bool Dead = false;
  bool Reads = true; // has callers that read
  int PhaseMs = 0;
};

struct World {
  int Ms = 0;
  std::vector<std::unique_ptr<Instance>> Instances;
  struct Message {
    InstanceId From, To;
    proto::Envelope Body;
  };
  std::multimap<int, Message> InFlight;
  // Transit time of a message in milliseconds; -1: lost.
  std::function<int(const Message &)> Transit = [](const Message &) { return 1; };

  World(int Count, int Centres, int ServiceCount, bool Shares = true) {
    std::map<InstanceId, InstanceAddress> Alive;
    for (int I = 0; I < Count; ++I) {
      auto New = std::make_unique<Instance>();
      Instance &In = *New;
      In.Id = InstanceId("i" + std::to_string(I));
      In.PhaseMs = I * 7 % TickMs;
      In.Address = {.Endpoint = "10.0.0.1:1",
                    .Centre = DataCentre("c" + std::to_string(I % Centres)),
                    .MilliCores = I < 2 * Centres ? 500U : 84U};
      for (int S = 0; S < ServiceCount; ++S) {
        auto Source = std::make_unique<FakeSource>();
        Source->Offset = absl::Seconds(1000 * I);
        Source->Shares = Shares;
        In.Services[catalog::ServiceName("s" + std::to_string(S))] = std::move(Source);
      }
      Alive[In.Id] = In.Address;
      In.Samples = std::make_unique<SharedSamples>(
          In.Counters,
          SharedSamples::Options{.Self = In.Id,
                                 .Centre = In.Address.Centre,
                                 .MilliCores = In.Address.MilliCores,
                                 .FirstRequest = static_cast<uint64_t>(I) * 1000000},
          [this, &In](const InstanceId &To, proto::Envelope Body) {
            Message M{.From = In.Id, .To = To, .Body = std::move(Body)};
            if (int Delay = this->Transit(M); Delay >= 0)
              this->InFlight.emplace(this->Ms + Delay, std::move(M));
            return true;
          },
          [&In](const catalog::ServiceName &Name) -> SampleSource * {
            auto It = In.Services.find(Name);
            return It == In.Services.end() ? nullptr : It->second.get();
          });
      this->Instances.push_back(std::move(New));
    }
    for (auto &In : this->Instances)
      In->Samples->setInstances(Alive);
  }

  Instance &find(const InstanceId &Id) {
    for (auto &In : this->Instances)
      if (In->Id == Id)
        return *In;
    throw std::out_of_range(Id.Value);
  }
  static Instant now(const Instance &In, int Ms) { return In.Services.begin()->second->local(Ms); }

  void deliver(const Message &M) {
    Instance &To = this->find(M.To);
    if (To.Dead)
      return;
    if (M.Body.has_sample_request())
      To.Samples->onRequest(M.From, M.Body.sample_request(), now(To, this->Ms));
    else
      To.Samples->onReply(M.From, M.Body.sample_reply(), now(To, this->Ms));
  }

  void run(
      int UntilMs, const std::function<void(Instance &)> &Check = [](Instance &) {}) {
    for (; this->Ms < UntilMs; ++this->Ms) {
      while (!this->InFlight.empty() && this->InFlight.begin()->first <= this->Ms) {
        Message M = std::move(this->InFlight.begin()->second);
        this->InFlight.erase(this->InFlight.begin());
        this->deliver(M);
      }
      for (auto &In : this->Instances) {
        if (In->Dead || this->Ms % TickMs != In->PhaseMs)
          continue;
        SharedSamples::Sources All;
        for (auto &[Name, S] : In->Services) {
          if (In->Reads)
            S->Times.BoundedRead = S->local(this->Ms);
          All.emplace_back(Name, S.get());
        }
        In->Samples->tick(All, now(*In, this->Ms));
        for (auto &[Name, S] : In->Services)
          S->tick(this->Ms);
        Check(*In);
      }
    }
  }

  int sampled() const {
    int Sum = 0;
    for (const auto &In : this->Instances)
      for (const auto &[Name, S] : In->Services)
        Sum += S->Sampled;
    return Sum;
  }
  // The instance that takes the samples of a data centre.
  Instance &sampler(const catalog::ServiceName &Service, const DataCentre &Centre) {
    std::vector<placement::SamplerCandidate> Near;
    for (const auto &In : this->Instances)
      if (In->Address.Centre == Centre)
        Near.push_back({.Id = In->Id, .MilliCores = In->Address.MilliCores});
    placement::Samplers Choice(Near[0]);
    Choice.setCandidates(Near);
    return this->find(Choice.samplerOf(Service.Value, absl::UnixEpoch()));
  }
};

const catalog::ServiceName S0("s0");

// A read of bounded age has a floor that at least one caught-up replica reaches.
void checkFloor(Instance &In, int Ms) {
  for (auto &[Name, S] : In.Services) {
    std::optional<LogPosition> Floor = S->Positions.floor(S->local(Ms), ReadAge);
    REQUIRE(Floor);
    // Commits older than the bound lie at or before the floor; the margin of 30 ms is included.
    CHECK(Floor->Position + 1500 >= static_cast<uint64_t>(Ms));
  }
}

} // namespace

// Guards against queries that grow with the product of instances and services: 122 instances sent
// 101,729 queries of their own in 34 s. A sample is three queries.
TEST_CASE("shared samples: one instance of a data centre samples each service for all") {
  constexpr int Seconds = 10;
  World Before(122, 6, 8, /*Shares=*/false);
  Before.run(Seconds * 1000);
  CHECK(Before.sampled() > 122 * 8 * 2 * Seconds);
  World After(122, 6, 8);
  After.run(1000);
  int Started = After.sampled();
  auto Check = [&](Instance &In) { checkFloor(In, After.Ms); };
  After.run(1000 + Seconds * 1000, Check);
  // Each data centre samples each service at most every 400 ms, and once more within the window.
  CHECK(After.sampled() - Started <= 6 * 8 * (Seconds * 5 / 2 + 1));
  uint64_t Asked = 0;
  for (const auto &In : After.Instances)
    Asked += In->Counters.value("shared_samples_asked");
  // One request covers all services of a sampler: at most one in 200 ms to each of 8 samplers.
  CHECK(Asked <= 122 * 8 * 5 * (Seconds + 1));
  MESSAGE("samples in " << Seconds << " s: before " << Before.sampled() << ", after "
                        << After.sampled() - Started << "; requests " << Asked);
}

// Guards against a sampler that stops because its own callers do not read.
TEST_CASE("shared samples: a sampler without reads of its own samples for the others") {
  World W(4, 1, 1);
  Instance &Sampler = W.sampler(S0, DataCentre("c0"));
  Sampler.Reads = false;
  W.run(1000);
  int Own = Sampler.Services[S0]->Sampled;
  int All = W.sampled();
  W.run(5000, [&](Instance &In) {
    if (&In != &Sampler)
      checkFloor(In, W.Ms);
  });
  CHECK(Sampler.Services[S0]->Sampled > Own);
  CHECK(W.sampled() - All == Sampler.Services[S0]->Sampled - Own);
}

// Guards against reads without a floor where one sampler has more services than it can be asked for
// in time: 512 in each request, at most every 200 ms.
TEST_CASE("shared samples: services that do not fit into the requests are sampled here") {
  World W(2, 1, 8000);
  W.run(1000);
  W.run(3000, [&](Instance &In) { checkFloor(In, W.Ms); });
}

// Guards against reads without a floor after a sampler crashed, and against instances that wait for
// it in each interval.
TEST_CASE("shared samples: a sampler that dies is replaced within an interval") {
  World W(20, 1, 8);
  W.run(2000);
  Instance &Lost = W.sampler(S0, DataCentre("c0"));
  Lost.Dead = true;
  W.run(3000, [&](Instance &In) { checkFloor(In, W.Ms); });
  int Replaced = W.sampled();
  W.run(4000, [&](Instance &In) { checkFloor(In, W.Ms); });
  // Less than all of the 20 instances would take for the services of the lost one alone.
  CHECK(W.sampled() - Replaced <= 8 * 5);
  for (auto &In : W.Instances) {
    if (In.get() == &Lost)
      continue;
    CHECK(In->Counters.value("shared_samplers_lost") == 1);
    CHECK(In->Counters.value("shared_samples_fallbacks") > 0);
  }
}

// Guards against a late answer whose age is counted from its arrival.
TEST_CASE("shared samples: a sampler that freezes answers late, and no floor moves ahead") {
  World W(6, 1, 1);
  W.run(2000);
  InstanceId Frozen = W.sampler(S0, DataCentre("c0")).Id;
  W.Transit = [&](const World::Message &M) { return M.From == Frozen ? 3000 : 1; };
  W.run(10000, [&](Instance &In) { checkFloor(In, W.Ms); });
  for (auto &In : W.Instances)
    if (In->Id != Frozen)
      CHECK(In->Counters.value("shared_samplers_lost") >= 1);
}

// Guards against a link that fails between two instances only and costs the others their sampler.
TEST_CASE("shared samples: an instance that is cut off from the sampler samples itself") {
  World W(6, 1, 1);
  Instance &Sampler = W.sampler(S0, DataCentre("c0"));
  Instance &Cut = *W.Instances[W.Instances[0].get() == &Sampler ? 1 : 0];
  W.run(2000);
  for (auto &In : W.Instances)
    In->Services[S0]->Sampled = 0;
  W.Transit = [&](const World::Message &M) { return M.From == Cut.Id || M.To == Cut.Id ? -1 : 1; };
  W.run(6000, [&](Instance &In) { checkFloor(In, W.Ms); });
  CHECK(Cut.Services[S0]->Sampled > 0);
  for (auto &In : W.Instances)
    if (In.get() != &Cut && In.get() != &Sampler)
      CHECK(In->Services[S0]->Sampled == 0);
}

// Guards against a floor that the log of the new primary does not contain.
TEST_CASE("shared samples: an answer with an older term is not used") {
  World W(3, 1, 1);
  Instance &Sampler = W.sampler(S0, DataCentre("c0"));
  W.run(1000);
  for (auto &In : W.Instances) {
    FakeSource &S = *In->Services[S0];
    S.Taken = 0;
    if (In.get() != &Sampler)
      S.Known = S.Leads = Term(2);
  }
  W.run(4000, [&](Instance &In) { checkFloor(In, W.Ms); });
  for (auto &In : W.Instances) {
    if (In.get() == &Sampler)
      continue;
    CHECK(In->Services[S0]->Taken == 0);
    CHECK(In->Services[S0]->Sampled > 0);
    CHECK(In->Counters.value("shared_samples_refused") > 0);
  }
}

// Guards against a floor beyond what was covered: the request and the answer take seconds.
TEST_CASE("shared samples: time on the way only makes a sample older") {
  for (int Seconds : {1, 2, 4}) {
    World W(6, 1, 2);
    W.Transit = [&](const World::Message &M) {
      return M.Body.has_sample_request() ? Seconds * 500 + 1 : Seconds * 500;
    };
    W.run(1000);
    W.run(12000, [&](Instance &In) { checkFloor(In, W.Ms); });
  }
}

// Guards against an answer that is matched with a request which was sent after it.
TEST_CASE("shared samples: answers to unknown requests and from other instances are ignored") {
  World W(3, 1, 1);
  Instance &Sampler = W.sampler(S0, DataCentre("c0"));
  Instance &Asking = *W.Instances[W.Instances[0].get() == &Sampler ? 1 : 0];
  std::optional<proto::SampleRequest> Sent;
  W.Transit = [&](const World::Message &M) {
    if (M.From == Asking.Id && M.Body.has_sample_request())
      Sent = M.Body.sample_request();
    return -1;
  };
  W.run(60);
  REQUIRE(Sent);
  proto::SampleReply Reply;
  Reply.set_request_id(Sent->request_id());
  proto::SampleReply::Sample &S = *Reply.add_samples();
  S.set_service("s0");
  S.mutable_position()->set_term(1);
  S.mutable_position()->set_position(100000);
  S.set_witnesses(1);
  FakeSource &Source = *Asking.Services[S0];
  Instant Now = World::now(Asking, W.Ms);
  Asking.Samples->onReply(InstanceId("other"), Reply, Now);
  CHECK(Source.Taken == 0);
  Reply.set_request_id(Sent->request_id() + 1);
  Asking.Samples->onReply(Sampler.Id, Reply, Now);
  CHECK(Source.Taken == 0);
  Reply.set_request_id(Sent->request_id());
  S.set_age_us(~0ULL);
  Asking.Samples->onReply(Sampler.Id, Reply, Now);
  CHECK(Source.Taken == 0);
  S.set_age_us(0);
  Asking.Samples->onReply(Sampler.Id, Reply, Now); // answered already
  CHECK(Source.Taken == 0);
}
