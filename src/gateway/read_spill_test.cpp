#include "gateway/read_spill.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::gateway;
using placement::Candidate;
using placement::Distance;
using placement::TargetStatistics;

namespace {

constexpr absl::Duration Objective = absl::Milliseconds(800);

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

// A replica at home, one in the neighbouring data centre and the primary in another region.
struct Service {
  Metrics Counters;
  TargetStatistics Home, Near, Far;
  std::vector<ReadTarget> Targets;
  std::vector<Candidate> All;
  ReadSpill Spill;

  explicit Service(placement::SpillSettings Rules)
      : Spill(Counters, DataCentre("north-1"), catalog::ServiceName("s"), Rules) {
    this->add("north-1", Distance::SameCentre, false, this->Home);
    this->add("north-2", Distance::SameRegion, false, this->Near);
    this->add("south-1", Distance::OtherRegion, true, this->Far);
  }
  void add(const char *Centre, Distance To, bool Primary, const TargetStatistics &S) {
    this->Targets.push_back({.Centre = DataCentre(Centre),
                             .To = To,
                             .Primary = Primary,
                             .Slots = 4,
                             .OpenLinks = 1,
                             .HoldTime = absl::Milliseconds(20),
                             .Statistics = &S});
    this->All.push_back({.Id = TargetId(Centre),
                         .Statistics = &S,
                         .Primary = Primary,
                         .DistanceToTarget = To,
                         .Slots = 4,
                         .Idle = 1});
  }
  // Ten reads in half a second, answered after Took at home; Count of them still wait.
  void interval(int Ms, absl::Duration Took, size_t Count) {
    for (int I = 0; I < 10; ++I) {
      this->Spill.onArrival(Objective, absl::Milliseconds(1500));
      this->Home.onAnswer(Took, at(Ms));
    }
    if (this->Spill.due(at(Ms)))
      this->Spill.tick(this->Targets, {.Count = Count, .FirstObjective = at(Ms) + Objective}, 10,
                       at(Ms));
  }
  double share() const { return this->Spill.controller().share(DataCentre("north-2")); }
};

placement::SpillSettings rules(double Price = 0, double MaxShare = 0.5) {
  return {.CentrePrice = Price,
          .RegionPrice = Price,
          .MaxShare = MaxShare,
          .MinStay = absl::Milliseconds(500)};
}

} // namespace

// Guards against reads that leave the data centre although its replicas answer in time.
TEST_CASE("read spill: reads stay at home until their answers threaten to be late") {
  Service S(rules());
  for (int Ms = 0; Ms < 3000; Ms += 500)
    S.interval(Ms, absl::Milliseconds(20), 0);
  CHECK(S.share() == 0);
  CHECK(S.Spill.restrict(S.Targets, 0, S.All));
  CHECK_FALSE(S.All[0].Excluded);
  CHECK(S.All[1].Excluded);
  CHECK(S.All[2].Excluded);
  CHECK(placement::chooseForRead(S.All, {}, at(3000), 0.5) == 0);
  for (int Ms = 3000; Ms < 6000; Ms += 500)
    S.interval(Ms, absl::Milliseconds(500), 0);
  CHECK(S.share() > 0);
  CHECK(S.share() <= 0.5);
  // A low draw is sent to the replica of the neighbour, never to the primary.
  CHECK(S.Spill.restrict(S.Targets, 0, S.All));
  CHECK(S.All[0].Excluded);
  CHECK_FALSE(S.All[1].Excluded);
  CHECK(S.All[2].Excluded);
  S.Spill.restrict(S.Targets, 0.99, S.All);
  CHECK_FALSE(S.All[0].Excluded);
}

// Guards against a queue in front of the connections that nobody counts: the targets themselves
// answer at once.
TEST_CASE("read spill: reads that wait for a connection count") {
  Service S(rules());
  for (int Ms = 0; Ms < 3000; Ms += 500)
    S.interval(Ms, absl::Milliseconds(20), 30);
  CHECK(S.share() > 0);
}

TEST_CASE("read spill: a price above the worth of an answer keeps all reads at home") {
  Service S(rules(1000));
  S.Spill.onAnswer(DataCentre("north-2"), 2000);
  for (int Ms = 0; Ms < 3000; Ms += 500)
    S.interval(Ms, absl::Milliseconds(500), 30);
  CHECK(S.share() == 0);
  CHECK(S.Counters.value("spill_bytes_north_1_to_north_2") == 2000);
  S.Spill.onGrant(DataCentre("north-2"));
  CHECK(S.Counters.value("spill_reads_north_1_to_north_2") == 1);
}

// Guards against reads without any target: a service without a replica nearby has its home at the
// nearest one.
TEST_CASE("read spill: without a replica in the data centre the nearest one is the home") {
  Service S(rules());
  S.Targets.erase(S.Targets.begin());
  S.All.erase(S.All.begin());
  S.Spill.restrict(S.Targets, 0, S.All);
  CHECK_FALSE(S.All[0].Excluded);
  CHECK(S.All[1].Excluded);
  // Only the primary is left.
  S.Targets.erase(S.Targets.begin());
  S.All.erase(S.All.begin());
  S.All[0].Excluded = true;
  CHECK_FALSE(S.Spill.restrict(S.Targets, 0, S.All));
  CHECK_FALSE(S.All[0].Excluded);
}
