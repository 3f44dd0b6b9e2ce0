// Replays of load at targets whose connections are scarce.
#include "placement/placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

// Instances of three regions with two data centres each, a seventh of them large.
std::vector<RetentionCandidate> liveInstances(size_t Count, int TargetCentre) {
  std::vector<RetentionCandidate> Out;
  for (size_t I = 0; I < Count; ++I) {
    int Centre = static_cast<int>(I % 6);
    Distance To = Centre == TargetCentre           ? Distance::SameCentre
                  : Centre / 2 == TargetCentre / 2 ? Distance::SameRegion
                                                   : Distance::OtherRegion;
    Out.push_back({.Id = InstanceId("instance-" + std::to_string(I)),
                   .DistanceToTarget = To,
                   .MilliCores = I % 7 == 0 ? 500U : 84U});
  }
  return Out;
}

std::set<InstanceId> retainingAt(const std::vector<RetentionCandidate> &Live, uint32_t Limit,
                                 const char *Target = "target-1") {
  return retainingInstances(TargetId(Target), Live, retainedConnections(Limit));
}

// One target and the instances that open connections to it. An operation waits until its instance
// has an idle connection, holds it, and gives it back; it fails if it has not started in time.
struct TargetReplay {
  struct Instance {
    ConnectionLimit Limit;
    RefusalBackoff Backoff;
    absl::Duration ConnectTime;
    Instant RetryAt = absl::InfinitePast();
    std::vector<Instant> OpeningUntil;
    std::vector<Instant> HeldUntil;
    std::vector<Instant> IdleSince;
    std::vector<Instant> Waiting; // times of arrival
    size_t open() const {
      return this->OpeningUntil.size() + this->HeldUntil.size() + this->IdleSince.size();
    }
  };
  static constexpr int StepMs = 2;
  static constexpr absl::Duration StartLimit = absl::Milliseconds(510); // 0.85 x 600 ms

  uint32_t Limit;
  bool BacksOff;
  std::vector<Instance> All;
  std::mt19937_64 Random{7};
  size_t Operations = 0;
  size_t Late = 0;
  size_t Refused = 0;
  size_t MostOpen = 0;

  // Shares: the number of instances for which the limits are computed.
  TargetReplay(size_t Count, uint32_t Limit, size_t Shares, bool BacksOff)
      : Limit(Limit), BacksOff(BacksOff) {
    std::vector<RetentionCandidate> Live = liveInstances(Count, 0);
    std::set<InstanceId> Retaining = retainingAt(Live, Limit);
    for (size_t I = 0; I < Count; ++I) {
      ConnectionLimit L(at(0), I);
      L.setLimit(Limit, Shares);
      L.setRetains(Retaining.contains(Live[I].Id));
      bool Far = Live[I].DistanceToTarget == Distance::OtherRegion;
      this->All.push_back({.Limit = L,
                           .Backoff = RefusalBackoff(I),
                           .ConnectTime = absl::Milliseconds(Far ? 92 : 16)});
    }
  }

  size_t openAtTarget() const {
    size_t Open = 0;
    for (const Instance &I : this->All)
      Open += I.open();
    return Open;
  }

  bool tryOpen(Instance &I, Instant Now) {
    if (Now < I.RetryAt || I.open() >= I.Limit.maxWithBorrowing(Now) ||
        I.OpeningUntil.size() >= I.Limit.maxOpening(Now))
      return false;
    if (this->openAtTarget() >= this->Limit) {
      ++this->Refused;
      I.Limit.onRefused(Now);
      I.RetryAt = Now + (this->BacksOff ? I.Backoff.onRefused() : absl::Milliseconds(400));
      return false;
    }
    I.OpeningUntil.push_back(Now + I.ConnectTime);
    return true;
  }

  // PerSecond: operations per second over all instances; 45 % of them are transactions.
  void run(int FromMs, int ToMs, double PerSecond) {
    std::uniform_real_distribution<double> Uniform(0, 1);
    for (int Ms = FromMs; Ms < ToMs; Ms += StepMs) {
      Instant Now = at(Ms);
      if (Uniform(this->Random) < PerSecond * StepMs / 1000) {
        ++this->Operations;
        this->All[this->Random() % this->All.size()].Waiting.push_back(Now);
      }
      for (Instance &I : this->All)
        this->step(I, Now, Uniform(this->Random));
      this->MostOpen = std::max(this->MostOpen, this->openAtTarget());
    }
  }

  void step(Instance &I, Instant Now, double Choice) {
    size_t Opened = std::erase_if(I.OpeningUntil, [&](Instant T) { return T <= Now; });
    size_t Returned = std::erase_if(I.HeldUntil, [&](Instant T) { return T <= Now; });
    if (Opened > 0)
      I.Backoff.onOpened();
    I.IdleSince.insert(I.IdleSince.end(), Opened + Returned, Now);
    this->Late += std::erase_if(I.Waiting, [&](Instant T) { return Now >= T + StartLimit; });
    while (!I.Waiting.empty() && !I.IdleSince.empty()) {
      I.Waiting.erase(I.Waiting.begin());
      I.IdleSince.pop_back();
      bool Far = I.ConnectTime > absl::Milliseconds(50);
      int HoldMs = Choice < 0.45 ? (Far ? 300 : 120) : (Far ? 60 : 10);
      I.HeldUntil.push_back(Now + absl::Milliseconds(HoldMs));
    }
    if (I.Waiting.size() > I.OpeningUntil.size() ||
        (I.IdleSince.empty() && I.OpeningUntil.empty() && I.open() < I.Limit.keptOpen()))
      this->tryOpen(I, Now);
    if (I.open() > I.Limit.keptOpen() && !I.IdleSince.empty() &&
        Now - I.IdleSince.front() >= I.Limit.spareIdleLimit(Now))
      I.IdleSince.erase(I.IdleSince.begin());
  }
};

} // namespace

TEST_CASE("retention: it is in force only for fewer connections than instances") {
  CHECK(connectionsScarce(73, 122));
  CHECK(connectionsScarce(46, 45));
  CHECK_FALSE(connectionsScarce(46, 44));
  CHECK_FALSE(connectionsScarce(70, 30));
  ConnectionLimit L(at(0), 1);
  L.setLimit(46, 35);
  CHECK(L.keptOpen() == L.share());
  CHECK(L.spareIdleLimit(at(0)) == SpareIdleLimit);
  L.setLimit(73, 122);
  CHECK(L.keptOpen() == 0);
  L.setRetains(true);
  CHECK(L.keptOpen() == 1);
  CHECK(L.spareIdleLimit(at(0)) == OnDemandIdleLimit);
  L.onRefused(at(0));
  CHECK(L.spareIdleLimit(at(1)) == absl::ZeroDuration());
}

// Guards against more idle connections than the target accepts, and against no room for statements.
TEST_CASE("retention: at least a third of the connections stays free of idle ones") {
  for (uint32_t Limit : {1U, 2U, 3U, 22U, 73U, 130U}) {
    CHECK(retainedConnections(Limit) * 3 <= Limit * 2);
    for (size_t Count : {size_t{122}, size_t{300}})
      CHECK(retainingAt(liveInstances(Count, 0), Limit).size() ==
            std::min<size_t>(Count, retainedConnections(Limit)));
  }
  CHECK(retainedConnections(73) == 48);
}

// Guards against a wave of closed and opened connections whenever an instance leaves or joins.
TEST_CASE("retention: the loss of an instance changes only its own place") {
  for (size_t Count : {size_t{122}, size_t{300}}) {
    std::vector<RetentionCandidate> Live = liveInstances(Count, 2);
    std::set<InstanceId> Before = retainingAt(Live, 73);
    for (size_t Lost = 0; Lost < Count; Lost += 7) {
      std::vector<RetentionCandidate> Rest = Live;
      Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Lost));
      std::set<InstanceId> After = retainingAt(Rest, 73);
      std::vector<InstanceId> Gone;
      std::set_difference(Before.begin(), Before.end(), After.begin(), After.end(),
                          std::back_inserter(Gone));
      if (Before.contains(Live[Lost].Id)) {
        CHECK(Gone == std::vector{Live[Lost].Id});
      } else {
        CHECK(Gone.empty());
      }
    }
  }
}

// Guards against a result that depends on the order in which the store lists the instances.
TEST_CASE("retention: near and large instances come first, and targets get different sets") {
  std::vector<RetentionCandidate> Live = liveInstances(300, 0);
  std::set<InstanceId> Chosen =
      retainingAt(Live, 90); // 60 connections, 100 instances in the region
  std::vector<RetentionCandidate> Reversed(Live.rbegin(), Live.rend());
  CHECK(retainingAt(Reversed, 90) == Chosen);
  size_t Large = 0;
  size_t LargeInRegion = 0;
  size_t SmallChosen = 0;
  for (const RetentionCandidate &C : Live) {
    bool In = Chosen.contains(C.Id);
    if (C.DistanceToTarget == Distance::SameCentre)
      CHECK(In);
    if (C.DistanceToTarget == Distance::OtherRegion)
      CHECK_FALSE(In);
    if (C.DistanceToTarget != Distance::SameRegion)
      continue;
    if (C.MilliCores == 500) {
      ++LargeInRegion;
      Large += In ? 1 : 0;
    } else {
      SmallChosen += In ? 1 : 0;
    }
  }
  CHECK(SmallChosen + Large == 10);
  CHECK(Large * (50 - LargeInRegion) >
        SmallChosen * LargeInRegion); // a larger share of the large ones
  CHECK(retainingAt(Live, 90, "target-2") != Chosen);
}

// Guards against instances that ask a refusing target again and again, all at the same time.
TEST_CASE(
    "connections: the delay after refusals grows, varies and ends with an opened connection") {
  RefusalBackoff A(1);
  RefusalBackoff B(2);
  absl::Duration Total;
  bool Differ = false;
  for (int I = 0; I < 8; ++I) {
    absl::Duration Delay = A.onRefused();
    Differ = Differ || Delay != B.onRefused();
    CHECK(Delay >= absl::Milliseconds(50));
    CHECK(Delay <= RefusalBackoffMax * 1.5);
    Total += Delay;
  }
  CHECK(Differ);
  CHECK(Total > absl::Seconds(3));
  A.onOpened();
  CHECK(A.onRefused() <= absl::Milliseconds(150));
}

// Load pattern: 122 instances and a primary of 73 connections, 51 operations per second with a
// burst of 2.5 times. With an idle connection of each instance, 49 of them never got one: their
// statements ended as started_late.
TEST_CASE("retention: replay of 122 instances at a primary with 73 connections") {
  auto Replay = [](size_t Shares, bool BacksOff) {
    TargetReplay R(122, 73, Shares, BacksOff);
    R.run(0, 20000, 51);
    R.run(20000, 25000, 51 * 2.5);
    R.run(25000, 40000, 51);
    return R;
  };
  TargetReplay Scarce = Replay(122, true);
  CHECK(Scarce.MostOpen <= 73);
  CHECK(static_cast<double>(Scarce.Late) < 0.01 * static_cast<double>(Scarce.Operations));
  CHECK(static_cast<double>(Scarce.Refused) < 0.1 * static_cast<double>(Scarce.Operations));
  MESSAGE("late " << Scarce.Late << ", refused " << Scarce.Refused << " of " << Scarce.Operations);
  TargetReplay Shared = Replay(71, false);
  CHECK(static_cast<double>(Shared.Late) > 0.1 * static_cast<double>(Shared.Operations));
  MESSAGE("late " << Shared.Late << ", refused " << Shared.Refused << " of " << Shared.Operations);
}

// Load pattern: a busy near replica without an idle connection of the account, and another replica
// of the region with one. The time of opening a connection was taken for one response time.
TEST_CASE("placement: a read prefers an idle connection to opening one that takes long") {
  TargetStatistics Near, Other;
  std::vector<Candidate> All = {{.Id = TargetId("near"),
                                 .Statistics = &Near,
                                 .DistanceToTarget = Distance::SameCentre,
                                 .MayOpenConnection = true},
                                {.Id = TargetId("other"),
                                 .Statistics = &Other,
                                 .DistanceToTarget = Distance::OtherRegion,
                                 .Idle = 1}};
  CHECK(chooseForRead(All, {}, at(0), 0) == 0);
  All[0].ConnectTime = absl::Milliseconds(20);
  CHECK(chooseForRead(All, {}, at(0), 0) == 0);
  All[0].ConnectTime = absl::Milliseconds(300);
  CHECK(chooseForRead(All, {}, at(0), 0) == 1);
}

// Load pattern: a target that refuses all connections. Statements were admitted to wait for it
// until their limit.
TEST_CASE("admission: the time until a connection is open counts as waiting time") {
  WaitingStatement W{.Arrived = at(0), .StartBefore = at(500), .NeedsPrimary = true};
  QueueLoad Load{.Connections = 1, .SingleHoldTime = absl::Milliseconds(50)};
  Load.ConnectionDelay = absl::Milliseconds(95);
  CHECK(admit(W, Load, at(0)) == Admission::Wait);
  Load.ConnectionDelay = absl::Milliseconds(800);
  CHECK(admit(W, Load, at(0)) == Admission::RejectBusy);
}

// Guards against a lock-in: a target that opened one connection slowly would get no statement that
// needs a connection, and the time would never be measured again.
TEST_CASE("connections: the time of opening one is learned and forgotten") {
  ConnectTime T;
  CHECK(T.average(Distance::OtherRegion, at(0)) > T.average(Distance::SameRegion, at(0)));
  T.onOpened(absl::Milliseconds(900), at(0));
  CHECK(T.average(Distance::SameCentre, at(0)) == absl::Milliseconds(900));
  CHECK(T.average(Distance::SameCentre, at(30000)) < absl::Milliseconds(30));
}
