#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }
LogPosition pos(uint64_t N, uint64_t T = 1) { return {.InTerm = Term(T), .Position = N}; }

} // namespace

// A read of bounded age must not run on a log that lacks a commit older than the bound.
TEST_CASE("freshness: the oldest sample that is young enough") {
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

// A day with two promotions: positions of the old term that the change of primary had rolled back
// were asked of every target again and again, 52,000 times in 7 s.
TEST_CASE("freshness: positions of an older term give way to the start of the new one") {
  PositionHistory H;
  H.addSample(pos(30, 1), at(1000));
  H.addSample(pos(25, 2), at(1200));
  H.addSample(pos(28, 2), at(1400));
  CHECK(H.floor(at(1500), absl::Seconds(1)) == pos(25, 2));
  CHECK(H.clampToCurrentTerm(pos(31, 1)) == pos(25, 2));
  CHECK(H.clampToCurrentTerm(pos(27, 2)) == pos(27, 2));
  H.addSample(pos(40, 1), at(1500)); // a former primary
  CHECK(H.floor(at(2500), absl::Seconds(1)) == std::nullopt);
}

TEST_CASE("freshness: many samples stay bounded and keep their order") {
  PositionHistory H;
  for (int Ms = 0; Ms < 60000; ++Ms)
    H.addSample(pos(static_cast<uint64_t>(Ms)), at(Ms));
  std::optional<LogPosition> Floor = H.floor(at(60000), absl::Seconds(1));
  REQUIRE(Floor);
  CHECK(Floor->Position >= 59000);
  CHECK(Floor->Position < 59100);
}

// Load: the crest of a wave in one zone.
TEST_CASE("placement: reads stay near until the near replica's queue outgrows the distance") {
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

// Load: a server that turns slow while its health check stays good.
TEST_CASE("placement: a slow and a failing target are avoided, and tried again later") {
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

// Load: several instances see the same best target.
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

// Load: a crest longer than the queue absorbs. In arrival order only late statements would run.
TEST_CASE("queue: statements that can be in time go first, then priority, then arrival") {
  WaitQueue Q;
  auto Add = [&](uint64_t Id, int Priority, int Arrived, int Objective) {
    Q.add({.Id = WaitingId(Id),
           .Priority = Priority,
           .Arrived = at(Arrived),
           .ObjectiveAt = at(Objective),
           .StartBefore = at(5000)});
  };
  Add(1, 1, 0, 100); // late already
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

// Load: a primary with one connection an instance and a crest of transactions and single
// statements.
// Load: a primary reached over one connection, which a transaction holds for ten times as long as a
// single statement. With the order by arrival, or with transactions first once they had waited half
// of their time, single statements were refused at every crest.
TEST_CASE("queue: single statements pass transactions for as long as those wait") {
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

TEST_CASE("queue: statements past their limit are taken out") {
  WaitQueue Q;
  Q.add({.Id = WaitingId(1), .StartBefore = at(100)});
  Q.add({.Id = WaitingId(2), .StartBefore = at(300)});
  CHECK(Q.nextExpiry() == at(100));
  CHECK(Q.takeExpired(at(200)).size() == 1);
  CHECK(Q.size() == 1);
}

TEST_CASE("admission: what cannot start in time is rejected at once") {
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

// Load: one connection to the primary, transactions of 500 ms and statements of 50 ms. One average
// for both refused statements that could start soon and admitted transactions that could not.
TEST_CASE("admission: transactions that wait do not keep single statements out") {
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

// The two kinds of holders have averages of their own.
TEST_CASE("placement: a transaction's hold does not count as that of a statement") {
  TargetStatistics R;
  CHECK(R.averageHoldTime(true, Distance::OtherRegion, at(0)) >
        R.averageHoldTime(false, Distance::OtherRegion, at(0)));
  R.onConnectionHeld(absl::Milliseconds(600), true);
  R.onConnectionHeld(absl::Milliseconds(40), false);
  CHECK(R.averageHoldTime(true, Distance::OtherRegion, at(0)) == absl::Milliseconds(600));
  CHECK(R.averageHoldTime(false, Distance::OtherRegion, at(0)) == absl::Milliseconds(40));
}

TEST_CASE("connections: shares leave a reserve, and a refusal stops growth for a while") {
  CHECK(connectionShare(23, 4) == 5);
  CHECK(connectionShare(30, 4) == 7);
  CHECK(connectionShare(46, 36) == 1);
  CHECK(connectionShare(2, 10) == 1);
  ConnectionLimit L(at(0), 1);
  L.setLimit(23, 4);
  CHECK(L.share() == 5);
  CHECK(L.maxOpening(at(0)) == 5);
  // Load: all instances lost power and their connections are still counted at the target. Giving up
  // a part of the share for a second left instances with one connection while others had seven.
  L.onRefused(at(100));
  CHECK(L.share() == 5);
  CHECK(L.maxOpening(at(200)) == 1);
  CHECK(L.maxWithBorrowing(at(200)) == 5);
  CHECK(L.maxOpening(at(3200)) == 5);
}

// Load: many instances, whose shares are one connection, and a crest at all of them. Borrowing a
// quarter of the limit each, or from the start, ended in 22,000 refused connections a day.
TEST_CASE("connections: an instance borrows one more while nothing is refused") {
  ConnectionLimit L(at(6000), 1);
  L.setLimit(46, 36);
  CHECK(L.share() == 1);
  CHECK(L.maxWithBorrowing(at(0)) == 1);
  CHECK(L.maxWithBorrowing(at(6000)) == 2);
  L.onRefused(at(7000));
  CHECK(L.maxWithBorrowing(at(9500)) == 1);
  CHECK(L.maxWithBorrowing(at(10000)) == 2);
}

// Load: a replica near some instances is promoted at a crest. Instances that had borrowed there
// kept their second connection, and the new primary refused connections of others for 8 s.
TEST_CASE("connections: nothing is borrowed at a target that has just been promoted") {
  ConnectionLimit L(at(0), 1);
  L.setLimit(12, 2); // five each, two left
  CHECK(L.maxWithBorrowing(at(10000)) == 6);
  L.onPromoted(at(10000));
  CHECK(L.maxWithBorrowing(at(14900)) == 5);
  L.onDemoted();
  CHECK(L.maxWithBorrowing(at(15100)) == 6);
}

// Load: a crest at a primary with 46 connections for 35 instances. With a second connection at a
// third of them none is left for the others.
TEST_CASE("connections: instances borrow at a primary by lot, about as many as the shares leave") {
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
  // Each has its turn.
  CHECK(std::all_of(Borrowed.begin(), Borrowed.end(), [](bool B) { return B; }));
}

// Load: callers that begin a transaction, write and go silent, on instances with one connection.
TEST_CASE("connections: a connection that rests in a transaction is replaced, within a bound") {
  ConnectionLimit L(at(0), 1);
  L.setLimit(46, 36);
  L.onPromoted(at(0));
  CHECK(L.maxWithBorrowing(at(1000)) == 1);
  CHECK(L.maxWithBorrowing(at(1000), 1) == 2);
  CHECK(L.maxWithBorrowing(at(1000), 40) == 4);
}

// Load: all replicas of a service fall seconds behind; asking each in turn takes slots and time.
TEST_CASE("placement: a replica's lag is learned and reads that it cannot serve yet pass it over") {
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
  // A day with lagging replicas: replicas that had lagged got no read for the rest of the day,
  // since only answers to reads tell that they have caught up.
  CHECK(R.likelyHasPosition(pos(49), at(5000 + 1500), &H));
}
