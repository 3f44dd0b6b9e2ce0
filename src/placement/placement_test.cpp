#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }
LogPosition pos(uint64_t N, uint64_t T = 1) { return {.InTerm = Term(T), .Position = N}; }

} // namespace

// A read with a bound on staleness must not run on a log that lacks a commit older than the bound.
TEST_CASE("freshness: the floor is the oldest sample within the maximum age") {
  PositionHistory H;
  CHECK_FALSE(H.floor(at(0), absl::Seconds(1)));
  H.addSample(pos(10), at(1000));
  H.addSample(pos(20), at(1500));
  H.addSample(pos(30), at(2000));
  CHECK(H.floor(at(1900), absl::Seconds(1)) == pos(10));
  CHECK(H.floor(at(2400), absl::Seconds(1)) == pos(20));
  CHECK(H.floor(at(2900), absl::Seconds(1)) == pos(30));
  CHECK_FALSE(H.floor(at(3100), absl::Seconds(1)));
}

TEST_CASE("freshness: an answer to an earlier request does not replace a later sample") {
  PositionHistory H;
  H.addSample(pos(20), at(1500));
  H.addSample(pos(10), at(1400));
  CHECK(H.floor(at(1500), absl::Seconds(1)) == pos(20));
  CHECK(H.newestSampleTime() == at(1500));
}

// After two promotions, reads required positions of the old term that the change of primary had
// rolled back. No target could reach them, and the reads were retried 52,000 times in 7 s.
TEST_CASE("freshness: positions of an older term are replaced by the start of the new term") {
  PositionHistory H;
  H.addSample(pos(30, 1), at(1000));
  H.addSample(pos(25, 2), at(1200));
  H.addSample(pos(28, 2), at(1400));
  CHECK(H.floor(at(1500), absl::Seconds(1)) == pos(25, 2));
  CHECK(H.clampToCurrentTerm(pos(31, 1)) == pos(25, 2));
  CHECK(H.clampToCurrentTerm(pos(27, 2)) == pos(27, 2));
  H.addSample(pos(40, 1), at(1500)); // reported by a former primary
  CHECK(H.floor(at(2500), absl::Seconds(1)) == std::nullopt);
}

TEST_CASE("freshness: the floor stays accurate over many samples") {
  PositionHistory H;
  for (int Ms = 0; Ms < 60000; ++Ms)
    H.addSample(pos(static_cast<uint64_t>(Ms)), at(Ms));
  std::optional<LogPosition> Floor = H.floor(at(60000), absl::Seconds(1));
  REQUIRE(Floor);
  CHECK(Floor->Position >= 59000);
  CHECK(Floor->Position < 59100);
}

// Load pattern: a load peak in one data centre.
TEST_CASE("placement: reads go to the near replica until its queue costs more than the distance") {
  TargetStatistics Near, Far;
  std::vector<Candidate> All = {{.Id = TargetId("near"),
                                 .Statistics = &Near,
                                 .DistanceToTarget = Distance::SameCentre,
                                 .Slots = 2,
                                 .Idle = 1},
                                {.Id = TargetId("far"),
                                 .Statistics = &Far,
                                 .DistanceToTarget = Distance::OtherRegion,
                                 .Slots = 2,
                                 .Idle = 1}};
  CHECK(chooseForRead(All, {}, at(0), 0.5) == 0);
  All[0].Running = 14;
  CHECK(chooseForRead(All, {}, at(0), 0.5) == 1);
}

// Load pattern: a server becomes slow while its health check still succeeds.
TEST_CASE(
    "placement: slow and failing targets are avoided, and their statistics recover over time") {
  TargetStatistics Good, Bad;
  for (int I = 0; I < 50; ++I)
    Bad.onAnswer(absl::Milliseconds(400), at(I * 10));
  std::vector<Candidate> All = {{.Id = TargetId("bad"), .Statistics = &Bad, .Idle = 1},
                                {.Id = TargetId("good"), .Statistics = &Good, .Idle = 1}};
  CHECK(chooseForRead(All, {}, at(500), 0.9) == 1);
  CHECK(Bad.averageResponse(Distance::SameCentre, at(60000)) < absl::Milliseconds(20));
  TargetStatistics Failing;
  for (int I = 0; I < 8; ++I)
    Failing.onFailure(at(I * 10));
  CHECK(Failing.failureShare(at(100)) > 0.5);
  CHECK(Failing.failureShare(at(30000)) < 0.01);
  All[0].Statistics = &Failing;
  CHECK(chooseForRead(All, {}, at(100), 0.9) == 1);
}

TEST_CASE("placement: a replica that refused a position is not asked for it again at once") {
  TargetStatistics R;
  R.onPosition(pos(5), at(0), nullptr);
  R.onPositionRefused(pos(9), at(0));
  CHECK_FALSE(R.likelyHasPosition(pos(9), at(10), nullptr));
  CHECK(R.likelyHasPosition(pos(8), at(10), nullptr));
  CHECK(R.likelyHasPosition(pos(9), at(200), nullptr));
  R.onPosition(pos(9), at(20), nullptr);
  CHECK(R.likelyHasPosition(pos(9), at(20), nullptr));
}

// Load pattern: several instances rate the same target as the best one.
TEST_CASE("placement: equal targets share the reads of different instances") {
  TargetStatistics A, B;
  std::vector<Candidate> All = {{.Id = TargetId("a"), .Statistics = &A, .Idle = 1},
                                {.Id = TargetId("b"), .Statistics = &B, .Idle = 1}};
  int First = 0;
  for (int I = 0; I < 100; ++I)
    First += chooseForRead(All, {}, at(0), I / 100.0) == 0 ? 1 : 0;
  CHECK(First > 20);
  CHECK(First < 80);
}

// Load pattern: a load peak longer than the queue can absorb. In arrival order only statements that
// are already late would run.
TEST_CASE(
    "queue: statements that can meet their objective go first, then by priority and arrival") {
  WaitQueue Q;
  auto Add = [&](uint64_t Id, int Priority, int Arrived, int Objective) {
    Q.add({.Id = WaitingId(Id),
           .Priority = Priority,
           .Arrived = at(Arrived),
           .ObjectiveAt = at(Objective),
           .StartBefore = at(5000)});
  };
  Add(1, 1, 0, 100); // already late
  Add(2, 2, 10, 1000);
  Add(3, 1, 20, 1000);
  Add(4, 2, 5, 1000);
  std::vector<uint64_t> Order;
  Q.visit(at(200), [&](const WaitingStatement &W) {
    Order.push_back(W.Id.Value);
    return true;
  });
  CHECK(Order == std::vector<uint64_t>{3, 4, 2, 1});
}

// Load pattern: a load peak of transactions and single statements at a primary with one connection
// per instance, which a transaction holds ten times longer than a single statement. Single
// statements were rejected at every load peak when the order was by arrival, and when transactions
// went first after half of their permitted wait.
TEST_CASE("queue: single statements go before transactions, however long those have waited") {
  WaitQueue Q;
  Q.add({.Id = WaitingId(1),
         .Arrived = at(0),
         .ObjectiveAt = at(1000),
         .StartBefore = at(600),
         .Transaction = true});
  Q.add({.Id = WaitingId(2), .Arrived = at(10), .ObjectiveAt = at(1000), .StartBefore = at(600)});
  auto First = [&](int Ms) {
    uint64_t Id = 0;
    Q.visit(at(Ms), [&](const WaitingStatement &W) {
      Id = W.Id.Value;
      return false;
    });
    return Id;
  };
  CHECK(First(100) == 2);
  CHECK(First(350) == 2);
  CHECK(First(599) == 2);
}

TEST_CASE("queue: statements past their start limit are removed") {
  WaitQueue Q;
  Q.add({.Id = WaitingId(1), .StartBefore = at(100)});
  Q.add({.Id = WaitingId(2), .StartBefore = at(300)});
  CHECK(Q.nextExpiry() == at(100));
  CHECK(Q.takeExpired(at(200)).size() == 1);
  CHECK(Q.size() == 1);
}

TEST_CASE("admission: statements that cannot start in time are rejected at once") {
  WaitingStatement W{.Arrived = at(0), .StartBefore = at(500), .NeedsPrimary = true};
  QueueLoad Load{.WaitingSingles = 10, .Connections = 2, .SingleHoldTime = absl::Milliseconds(50)};
  CHECK(admit(W, Load, at(0)) == Admission::Wait);
  Load.WaitingSingles = 100;
  CHECK(admit(W, Load, at(0)) == Admission::RejectBusy);
  Load.WaitingSingles = 0;
  Load.PrimaryExpectedAt = at(900);
  CHECK(admit(W, Load, at(0)) == Admission::RejectNoPrimary);
  Load.PrimaryExpectedAt = at(300);
  CHECK(admit(W, Load, at(0)) == Admission::Wait);
}

// Load pattern: one connection to the primary, transactions of 500 ms, single statements of 50 ms.
// One average hold time for both kinds rejected statements that could start soon and admitted
// transactions that could not.
TEST_CASE("admission: waiting transactions do not cause rejection of single statements") {
  QueueLoad Load{.WaitingSingles = 2,
                 .WaitingTransactions = 2,
                 .Connections = 1,
                 .HeldByTransactions = 1,
                 .SingleHoldTime = absl::Milliseconds(50),
                 .TransactionHoldTime = absl::Milliseconds(500)};
  WaitingStatement Single{.Arrived = at(0), .StartBefore = at(680)};
  CHECK(expectedWait(Single, Load) == absl::Milliseconds(350));
  CHECK(admit(Single, Load, at(0)) == Admission::Wait);
  WaitingStatement Whole{.Arrived = at(0), .StartBefore = at(680), .Transaction = true};
  CHECK(expectedWait(Whole, Load) == absl::Milliseconds(1350));
  CHECK(admit(Whole, Load, at(0)) == Admission::RejectBusy);
  Load.WaitingTransactions = 0;
  Load.HeldByTransactions = 0;
  CHECK(admit(Whole, Load, at(0)) == Admission::Wait);
}

// Single statements and transactions have separate average hold times.
TEST_CASE("placement: hold times of transactions and single statements are averaged separately") {
  TargetStatistics R;
  CHECK(R.averageHoldTime(true, Distance::OtherRegion, at(0)) >
        R.averageHoldTime(false, Distance::OtherRegion, at(0)));
  R.onConnectionHeld(absl::Milliseconds(600), true);
  R.onConnectionHeld(absl::Milliseconds(40), false);
  CHECK(R.averageHoldTime(true, Distance::OtherRegion, at(0)) == absl::Milliseconds(600));
  CHECK(R.averageHoldTime(false, Distance::OtherRegion, at(0)) == absl::Milliseconds(40));
}

TEST_CASE("connections: shares leave a reserve, and a refusal suspends borrowing") {
  CHECK(connectionShare(23, 4) == 5);
  CHECK(connectionShare(30, 4) == 7);
  CHECK(connectionShare(46, 36) == 1);
  CHECK(connectionShare(2, 10) == 1);
  ConnectionLimit L(at(0), 1);
  L.setLimit(23, 4);
  CHECK(L.share() == 5);
  CHECK(L.maxOpening(at(0)) == 5);
  // Load pattern: all instances lost power and the target still counts their connections. When a
  // refusal reduced the share for a second, some instances were left with one connection while
  // others had seven.
  L.onRefused(at(100));
  CHECK(L.share() == 5);
  CHECK(L.maxOpening(at(200)) == 1);
  CHECK(L.maxWithBorrowing(at(200)) == 5);
  CHECK(L.maxOpening(at(3200)) == 5);
}

// Load pattern: a load peak at many instances whose shares are one connection. Borrowing a quarter
// of the limit per instance, or borrowing right after the start, led to 22,000 refused
// connections.
TEST_CASE("connections: an instance borrows one connection while no connection is refused") {
  ConnectionLimit L(at(6000), 1);
  L.setLimit(46, 36);
  CHECK(L.share() == 1);
  CHECK(L.maxWithBorrowing(at(0)) == 1);
  CHECK(L.maxWithBorrowing(at(6000)) == 2);
  L.onRefused(at(7000));
  CHECK(L.maxWithBorrowing(at(9500)) == 1);
  CHECK(L.maxWithBorrowing(at(10000)) == 2);
}

// Load pattern: a replica near some instances is promoted at a load peak. Instances that had
// borrowed there kept their second connection, and the new primary refused connections of others
// for 8 s.
TEST_CASE("connections: nothing is borrowed at a newly promoted target") {
  ConnectionLimit L(at(0), 1);
  L.setLimit(12, 2); // shares of five, two connections in reserve
  CHECK(L.maxWithBorrowing(at(10000)) == 6);
  L.onPromoted(at(10000));
  CHECK(L.maxWithBorrowing(at(14900)) == 5);
  L.onDemoted();
  CHECK(L.maxWithBorrowing(at(15100)) == 6);
}

// Load pattern: a load peak at a primary with 46 connections for 35 instances. If a third of the
// instances hold a second connection, none is left for others.
TEST_CASE(
    "connections: pseudo-random selection limits borrowing at a primary to what the shares leave") {
  constexpr size_t Instances = 35;
  constexpr uint32_t Limit = 46;
  std::vector<ConnectionLimit> All;
  for (uint64_t Seed = 0; Seed < Instances; ++Seed) {
    All.emplace_back(at(0), Seed);
    All.back().setLimit(Limit, Instances);
    All.back().onPromoted(at(0));
  }
  uint32_t Total = 0;
  constexpr int Intervals = 200;
  std::vector<bool> Borrowed(Instances);
  for (int I = 0; I < Intervals; ++I)
    for (size_t N = 0; N < Instances; ++N) {
      uint32_t Open = All[N].maxWithBorrowing(at(10000 + I * 2000));
      Total += Open;
      if (Open > 1)
        Borrowed[N] = true;
    }
  CHECK(Total / Intervals <= Limit - 1);
  CHECK(Total / Intervals >= Limit - 5);
  // Every instance is selected at some time.
  CHECK(std::all_of(Borrowed.begin(), Borrowed.end(), [](bool B) { return B; }));
}

// Load pattern: callers that begin a transaction, write and go silent, on instances with a share of
// one connection.
TEST_CASE("connections: connections idle in a transaction are replaced, within a bound") {
  ConnectionLimit L(at(0), 1);
  L.setLimit(46, 36);
  L.onPromoted(at(0));
  CHECK(L.maxWithBorrowing(at(1000)) == 1);
  CHECK(L.maxWithBorrowing(at(1000), 1) == 2);
  CHECK(L.maxWithBorrowing(at(1000), 40) == 4);
}

// Load pattern: all replicas of a service lag by seconds. Sending a read to each in turn takes
// slots and time.
TEST_CASE("placement: a replica gets no reads that its estimated lag prevents it from serving") {
  PositionHistory H;
  for (int Ms = 0; Ms <= 5000; Ms += 100)
    H.addSample(pos(static_cast<uint64_t>(Ms / 100)), at(Ms));
  CHECK(H.reachedAt(pos(10)) == at(1000));
  CHECK(H.reachedAt(pos(99)) == absl::InfiniteFuture());
  TargetStatistics R;
  R.onPosition(pos(20), at(5000), &H);
  CHECK(R.lag(at(5000)) > absl::Milliseconds(2500));
  CHECK_FALSE(R.likelyHasPosition(pos(49), at(5000), &H));
  CHECK(R.likelyHasPosition(pos(19), at(5000), &H));
  CHECK(R.likelyHasPosition(pos(40), at(4000 + 5000), &H));
  // Only answers to reads show that a replica has caught up. Without the decay of the lag, replicas
  // that had lagged once got no reads from then on.
  CHECK(R.likelyHasPosition(pos(49), at(5000 + 1500), &H));
}
