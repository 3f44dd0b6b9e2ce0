// Replays of loads with one controller for each instance. A data centre is a queue with the slots
// of its replicas; its wait follows from the utilisation and the backlog.
#include "placement/spill.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>

using namespace toucan;
using namespace toucan::placement;

namespace {

constexpr double ServiceMs = 19;
constexpr uint32_t Slots = 4;
constexpr double CapacityPerSecond = Slots * 1000.0 / ServiceMs;
constexpr absl::Duration Objective = absl::Milliseconds(800);
constexpr int StepMs = 50;

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }
DataCentre centre(int I) { return DataCentre("c" + std::to_string(I)); }
SpillSettings settings(double Price = 0) {
  return {.CentrePrice = Price,
          .RegionPrice = Price,
          .MaxShare = 0.8,
          .MinStay = absl::Milliseconds(1500)};
}

struct Replay {
  int Centres = 2;
  int InstancesPerCentre = 20;
  bool On = true;
  SpillSettings Rules = settings();
  // Reads per second of all instances of a data centre.
  std::function<double(int Centre, int Ms)> Load;
  std::function<double(int Centre, int Ms)> CapacityShare = [](int, int) { return 1.0; };
  std::function<double(int From, int To, int Ms)> ExtraMs = [](int, int, int) { return 0.0; };
  std::function<double(int Centre, int Ms)> Failures = [](int, int) { return 0.0; };
  std::function<absl::Duration(int Centre, int Ms)> Lag = [](int, int) {
    return absl::Milliseconds(20);
  };

  // Results.
  double Reads = 0;
  double Late = 0;
  double LateHere = 0;   // of the reads that stayed in their data centre
  double Sent = 0;       // reads that left their data centre
  double MostRemote = 0; // largest rate of reads that arrived from others, by data centre
  double MostArrived = 0;
  int Changes = 0;
  int MostChangesInSecond = 0;
  std::map<int, double> SentAt; // by millisecond
  int FirstSentMs = -1;
  int FirstLateMs = -1;

  struct Member {
    SpillController Control;
    std::vector<double> AverageMs;
    std::vector<double> Answers;
    std::vector<double> Shares;
  };

  static double tripMs(int From, int To) { return From == To ? 0.4 : 2.8; }

  void run(int UntilMs) {
    std::vector<std::vector<Member>> All(static_cast<size_t>(this->Centres));
    for (int C = 0; C < this->Centres; ++C)
      for (int I = 0; I < this->InstancesPerCentre; ++I) {
        Member M{.Control = SpillController(this->Rules)};
        M.Answers.assign(static_cast<size_t>(this->Centres), 0);
        M.Shares.assign(static_cast<size_t>(this->Centres), 0);
        for (int To = 0; To < this->Centres; ++To)
          M.AverageMs.push_back(ServiceMs + tripMs(C, To));
        All[static_cast<size_t>(C)].push_back(std::move(M));
      }
    std::vector<double> Backlog(static_cast<size_t>(this->Centres), 0);
    std::vector<double> WaitMs(static_cast<size_t>(this->Centres), 0);
    std::map<std::pair<int, int>, std::vector<int>> ChangedAt; // instance to times
    for (int Ms = 0; Ms < UntilMs; Ms += StepMs) {
      std::vector<double> Arrived(static_cast<size_t>(this->Centres), 0);
      std::vector<double> Remote(static_cast<size_t>(this->Centres), 0);
      for (int C = 0; C < this->Centres; ++C) {
        double Rate = this->Load(C, Ms) / this->InstancesPerCentre;
        for (int I = 0; I < this->InstancesPerCentre; ++I) {
          Member &M = All[static_cast<size_t>(C)][static_cast<size_t>(I)];
          if (this->On)
            M.Control.decide(this->inputs(C, M, Rate, Ms), at(Ms));
          double Stay = 1;
          for (int To = 0; To < this->Centres; ++To) {
            double Share = this->On ? M.Control.share(centre(To)) : 0;
            if (Share != M.Shares[static_cast<size_t>(To)]) {
              M.Shares[static_cast<size_t>(To)] = Share;
              std::vector<int> &Times = ChangedAt[{C, I * this->Centres + To}];
              Times.push_back(Ms);
              ++this->Changes;
              int Recent = static_cast<int>(
                  std::count_if(Times.begin(), Times.end(), [Ms](int T) { return T > Ms - 1000; }));
              this->MostChangesInSecond = std::max(this->MostChangesInSecond, Recent);
            }
            Stay -= Share;
            this->answer(C, To, M, Rate * Share, Ms, Arrived, Remote, WaitMs);
          }
          this->answer(C, C, M, Rate * Stay, Ms, Arrived, Remote, WaitMs);
        }
      }
      for (int C = 0; C < this->Centres; ++C) {
        auto I = static_cast<size_t>(C);
        double Capacity = CapacityPerSecond * this->CapacityShare(C, Ms);
        Backlog[I] = std::max(0.0, Backlog[I] + (Arrived[I] - Capacity) * StepMs / 1000);
        double U = std::min(Arrived[I] / Capacity, 0.97);
        double Steady =
            std::pow(U, std::sqrt(2.0 * (Slots + 1)) - 1) / (Slots * (1 - U)) * ServiceMs;
        WaitMs[I] = std::max(Steady, Backlog[I] / Capacity * 1000);
        this->MostRemote = std::max(this->MostRemote, Remote[I]);
        if (Remote[I] > 0)
          this->MostArrived = std::max(this->MostArrived, Arrived[I]);
        this->Sent += Remote[I] * StepMs / 1000;
        this->SentAt[Ms] += Remote[I];
      }
      if (this->FirstSentMs < 0 && this->Sent > 0)
        this->FirstSentMs = Ms;
    }
  }

  SpillInputs inputs(int C, const Member &M, double Rate, int Ms) const {
    SpillInputs In{.Arrivals = Rate,
                   .BytesPerRead = 1000,
                   .Senders = static_cast<size_t>((this->Centres - 1) * this->InstancesPerCentre),
                   .Objective = Objective,
                   .Wait = absl::ZeroDuration(),
                   .Slack = Objective,
                   .AllowedLag = absl::Milliseconds(750)};
    for (int To = 0; To < this->Centres; ++To) {
      SideLoad Side{.To = To == C ? Distance::SameCentre : Distance::SameRegion,
                    .Slots = Slots,
                    .Response = absl::Milliseconds(M.AverageMs[static_cast<size_t>(To)]),
                    .Answers = static_cast<uint64_t>(M.Answers[static_cast<size_t>(To)]),
                    .Lag = this->Lag(To, Ms),
                    .FailureShare = this->Failures(To, Ms)};
      if (To == C)
        In.Here = Side;
      else
        In.There[centre(To)] = Side;
    }
    return In;
  }

  // Rate reads per second of an instance are answered by To.
  void answer(int From, int To, Member &M, double Rate, int Ms, std::vector<double> &Arrived,
              std::vector<double> &Remote, const std::vector<double> &WaitMs) {
    auto T = static_cast<size_t>(To);
    double Count = Rate * StepMs / 1000;
    double TookMs = ServiceMs + WaitMs[T] + tripMs(From, To) + this->ExtraMs(From, To, Ms);
    Arrived[T] += Rate;
    if (From != To)
      Remote[T] += Rate;
    M.Answers[T] += Count;
    M.AverageMs[T] += (1 - std::pow(0.9, Count)) * (TookMs - M.AverageMs[T]);
    this->Reads += Count;
    if (Count > 0 && TookMs > absl::ToDoubleMilliseconds(Objective)) {
      this->Late += Count;
      if (From == To)
        this->LateHere += Count;
      if (this->FirstLateMs < 0)
        this->FirstLateMs = Ms;
    }
  }
};

// A wave in the first data centre only: from 60 % to 150 % of its capacity with a period of 15 s.
double waveInFirst(int Centre, int Ms) {
  double Wave = 1.05 - 0.45 * std::cos(Ms / 15000.0 * 2 * M_PI);
  return CapacityPerSecond * (Centre == 0 ? Wave : 0.3);
}

} // namespace

TEST_CASE("spill: a wave in one data centre is served by the neighbour") {
  Replay Off{.On = false, .Load = waveInFirst};
  Off.run(45000);
  Replay On{.Load = waveInFirst};
  On.run(45000);
  MESSAGE("late off " << Off.Late / Off.Reads << ", on " << On.Late / On.Reads << ", sent "
                      << On.Sent / On.Reads << ", changes " << On.Changes);
  CHECK(Off.Late / Off.Reads > 0.2);
  CHECK(On.Late / On.Reads < 0.02);
  CHECK(On.MostArrived < CapacityPerSecond);
  // Starts before the first read misses its objective.
  REQUIRE(On.FirstSentMs >= 0);
  CHECK((On.FirstLateMs < 0 || On.FirstSentMs < On.FirstLateMs));
  CHECK(On.MostChangesInSecond <= 2);
}

// Guards against two overloaded data centres that exchange reads, which costs money and helps
// neither.
TEST_CASE("spill: with all data centres in one wave nothing is exchanged") {
  auto Load = [](int, int Ms) {
    return CapacityPerSecond * (1.2 - 0.4 * std::cos(Ms / 15000.0 * 2 * M_PI));
  };
  Replay On{.Centres = 3, .Load = Load};
  On.run(45000);
  MESSAGE("sent " << On.Sent / On.Reads);
  CHECK(On.Sent / On.Reads < 0.01);
}

TEST_CASE("spill: a lost target sends reads away, and they return gradually") {
  auto Load = [](int Centre, int) { return CapacityPerSecond * (Centre == 0 ? 0.7 : 0.3); };
  // Half of the targets of the first data centre are lost for 20 s.
  auto Capacity = [](int Centre, int Ms) {
    return Centre == 0 && Ms >= 5000 && Ms < 25000 ? 0.5 : 1.0;
  };
  Replay Off{.On = false, .Load = Load, .CapacityShare = Capacity};
  Off.run(40000);
  Replay On{.Load = Load, .CapacityShare = Capacity};
  On.run(40000);
  MESSAGE("late off " << Off.Late / Off.Reads << ", on " << On.Late / On.Reads);
  CHECK(Off.Late / Off.Reads > 0.2);
  CHECK(On.Late / On.Reads < 0.02);
  CHECK(On.SentAt[4950] == 0);
  CHECK(On.SentAt[24950] > 0);
  CHECK(On.SentAt[39950] == 0);
  // At most a quarter of the arrivals returns within half a second.
  for (int Ms = 25500; Ms < 40000; Ms += StepMs)
    CHECK(On.SentAt[Ms - 500] - On.SentAt[Ms] < 0.25 * 0.7 * CapacityPerSecond);
}

// The answers of the second data centre take 900 ms; it reaches the first one as usual.
TEST_CASE("spill: a link that is slow in one direction gets no reads but the first ones") {
  auto Slow = [](int From, int To, int) { return From == 0 && To == 1 ? 900.0 : 0.0; };
  Replay On{.Load = waveInFirst, .ExtraMs = Slow};
  On.run(45000);
  MESSAGE("sent " << On.Sent / On.Reads);
  CHECK(On.Sent / On.Reads < 0.02);
  Replay Other{.Centres = 3, .Load = waveInFirst, .ExtraMs = Slow};
  Other.run(45000);
  // A third data centre still relieves the first one.
  Replay Off{.Centres = 3, .On = false, .Load = waveInFirst};
  Off.run(45000);
  MESSAGE("late off " << Off.Late / Off.Reads << ", on " << Other.Late / Other.Reads);
  CHECK(Other.Late < Off.Late / 2);
}

// Section 9 of docs/design/hard-load.md: reads are sent away before the first one misses its
// objective. The excess of the first data centre is 0.5 of its capacity at most, and the third one
// takes 0.5 until it has a utilisation of 0.8, so that no read has to be late here. Those that are
// sent over the slow link before its answers are known are not counted.
TEST_CASE("spill: no read that stays is late while a third data centre has room") {
  auto Slow = [](int From, int To, int) { return From == 0 && To == 1 ? 900.0 : 0.0; };
  Replay On{.Centres = 3, .Load = waveInFirst};
  On.run(45000);
  Replay OnSlow{.Centres = 3, .Load = waveInFirst, .ExtraMs = Slow};
  OnSlow.run(45000);
  MESSAGE("late here " << On.LateHere / On.Reads << ", with a slow link "
                       << OnSlow.LateHere / OnSlow.Reads);
  CHECK(On.LateHere == 0);
  CHECK(OnSlow.LateHere == 0);
}

// Guards against a data centre without room that is chosen in each decision because it is expected
// to answer in time, and keeps the reads from another one that has room.
TEST_CASE("spill: a data centre without room does not keep reads from another one") {
  SpillInputs In{.Arrivals = 10,
                 .Objective = Objective,
                 .Wait = absl::ZeroDuration(),
                 .Slack = Objective,
                 .AllowedLag = absl::Seconds(1),
                 .Here = {.Slots = 4, .Response = absl::Milliseconds(40)}};
  SideLoad Idle{.To = Distance::SameRegion, .Slots = 4, .Response = absl::Milliseconds(22)};
  In.There[centre(1)] = Idle;
  In.There[centre(2)] = Idle;
  SpillController C(settings());
  CHECK(C.decide(In, at(0)).empty());
  In.Here.Response = absl::Milliseconds(600);
  // Five times its response without load, and still below a quarter of the objective.
  In.There[centre(1)].Response = absl::Milliseconds(110);
  C.decide(In, at(600));
  CHECK(C.share(centre(1)) == 0);
  CHECK(C.share(centre(2)) > 0);
}

namespace {

// Inputs of an instance whose reads are late here; both other data centres are idle.
SpillInputs lateHere() {
  SpillInputs In{.Arrivals = 100,
                 .BytesPerRead = 1000,
                 .Objective = Objective,
                 .Wait = absl::ZeroDuration(),
                 .Slack = Objective,
                 .AllowedLag = absl::Seconds(1),
                 .Here = {.Slots = 4, .Response = Objective}};
  In.There[centre(1)] = {
      .To = Distance::OtherRegion, .Slots = 4, .Response = absl::Milliseconds(60)};
  In.There[centre(2)] = {
      .To = Distance::SameRegion, .Slots = 4, .Response = absl::Milliseconds(22)};
  return In;
}

} // namespace

// Guards against prices that are applied to the wrong distance.
TEST_CASE("spill: each distance has its own price") {
  constexpr double TooHigh = 2000; // a read of 1,000 bytes costs two answers in time
  SpillSettings Rules = settings();
  Rules.RegionPrice = TooHigh;
  SpillController Near(Rules);
  Near.decide(lateHere(), at(0));
  CHECK(Near.share(centre(1)) == 0);
  CHECK(Near.share(centre(2)) > 0);
  Rules = settings();
  Rules.CentrePrice = TooHigh;
  SpillController Far(Rules);
  Far.decide(lateHere(), at(0));
  CHECK(Far.share(centre(1)) > 0);
  CHECK(Far.share(centre(2)) == 0);
}

// Guards against shares above the configured one and against reads that return too early.
TEST_CASE("spill: the largest share and the least stay are kept") {
  SpillSettings Rules = settings();
  Rules.MaxShare = 0.3;
  SpillController C(Rules);
  SpillInputs In = lateHere();
  // The response without load is learned first.
  In.Here.Response = absl::Milliseconds(20);
  C.decide(In, at(0));
  In.Here.Response = Objective;
  int Ms = 500;
  for (; Ms < 10000; Ms += 500) {
    for (auto &[To, Side] : In.There)
      Side.Answers += 10;
    C.decide(In, at(Ms));
    CHECK(C.share(centre(1)) + C.share(centre(2)) <= Rules.MaxShare + 1e-9);
  }
  double Most = C.share(centre(1)) + C.share(centre(2));
  CHECK(Most > 0.2);
  // Answers are fast here from now on. The last raise is at least MinStay ago, so reads return.
  In.Here.Response = absl::Milliseconds(20);
  C.decide(In, at(Ms));
  CHECK(C.share(centre(1)) + C.share(centre(2)) < Most);
  // A share that was raised just now stays.
  SpillController Fresh(Rules);
  In.Here.Response = Objective;
  Fresh.decide(In, at(0));
  double Raised = Fresh.share(centre(1)) + Fresh.share(centre(2));
  CHECK(Raised > 0);
  In.Here.Response = absl::Milliseconds(20);
  for (int At : {500, 1000}) {
    Fresh.decide(In, at(At));
    CHECK(Fresh.share(centre(1)) + Fresh.share(centre(2)) == Raised);
  }
  Fresh.decide(In, at(1500));
  CHECK(Fresh.share(centre(1)) + Fresh.share(centre(2)) < Raised);
}

TEST_CASE("spill: a failing or lagging data centre gets no reads") {
  Replay Failing{.Load = waveInFirst, .Failures = [](int C, int Ms) {
                   return C == 1 && Ms >= 7000 && Ms < 14000 ? 0.5 : 0.0;
                 }};
  Failing.run(30000);
  CHECK(Failing.SentAt[6950] > 0);
  for (int Ms = 7500; Ms < 14000; Ms += StepMs)
    CHECK(Failing.SentAt[Ms] == 0);
  CHECK(Failing.Sent > 0);
  Replay Lagging{.Load = waveInFirst,
                 .Lag = [](int C, int) { return absl::Milliseconds(C == 1 ? 900 : 20); }};
  Lagging.run(30000);
  CHECK(Lagging.Sent == 0);
}

// Guards against instances that all move at once: 300 of them add less than the receiving side has
// left, and do not overload it.
TEST_CASE("spill: 300 instances that decide at once do not overload the receiving side") {
  for (int Centres : {2, 6}) {
    auto Load = [](int Centre, int Ms) {
      return CapacityPerSecond * (Centre == 0 && Ms >= 1000 ? 2.5 : 0.4);
    };
    Replay On{.Centres = Centres, .InstancesPerCentre = 300 / Centres, .Load = Load};
    On.run(20000);
    Replay Off{.Centres = Centres, .InstancesPerCentre = 300 / Centres, .On = false, .Load = Load};
    Off.run(20000);
    MESSAGE(Centres << " centres: arrived " << On.MostArrived / CapacityPerSecond << ", late off "
                    << Off.Late / Off.Reads << ", on " << On.Late / On.Reads);
    CHECK(On.MostArrived < CapacityPerSecond);
    CHECK(On.Sent > 0);
    CHECK(On.MostChangesInSecond <= 2);
    CHECK(On.Late < Off.Late);
  }
}

TEST_CASE("spill: the price of the bytes is compared with the answers that are in time") {
  Replay Free{.Rules = settings(0), .Load = waveInFirst};
  Free.run(30000);
  CHECK(Free.Sent > 0);
  // A read of 1,000 bytes costs more than an answer in time is worth.
  Replay Dear{.Rules = settings(2000), .Load = waveInFirst};
  Dear.run(30000);
  CHECK(Dear.Sent == 0);
  // It costs a tenth of an answer.
  Replay Cheap{.Rules = settings(100), .Load = waveInFirst};
  Cheap.run(30000);
  CHECK(Cheap.Sent > 0);
  CHECK(Cheap.FirstSentMs >= Free.FirstSentMs);
}

// Guards against reads that wait here until their objective while another data centre is idle.
TEST_CASE("spill: waiting reads whose time runs out send reads away") {
  SpillInputs In{.Arrivals = 10,
                 .Objective = Objective,
                 .Wait = absl::ZeroDuration(),
                 .Slack = Objective,
                 .AllowedLag = absl::Seconds(1),
                 .Here = {.Slots = 4, .Response = absl::Milliseconds(40)}};
  In.There[centre(1)] = {
      .To = Distance::SameRegion, .Slots = 4, .Response = absl::Milliseconds(22)};
  SpillController C(settings());
  CHECK(C.decide(In, at(0)).empty());
  CHECK_FALSE(C.choose(0));
  In.Slack = absl::Milliseconds(50);
  std::vector<SpillChange> Changes = C.decide(In, at(600));
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Share > 0);
  CHECK(Changes[0].Share <= 0.25);
  CHECK(C.choose(0) == centre(1));
  CHECK_FALSE(C.choose(0.9));
  // Unreachable: nothing is sent there from the next decision on.
  In.There.clear();
  Changes = C.decide(In, at(1200));
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Share == 0);
  CHECK_FALSE(C.choose(0));
}
