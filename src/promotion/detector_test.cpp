#include "promotion/promotion.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::promotion;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

} // namespace

TEST_CASE("a primary that answers is kept, however slow single statements are") {
  PrimaryHealth S{.PrimaryKnown = true, .LastAnswer = at(1000), .UnansweredSince = at(900)};
  CHECK_FALSE(diagnose(S, at(5000)));
}

TEST_CASE("a silent primary causes a failover after the timeout") {
  PrimaryHealth S{.PrimaryKnown = true, .LastAnswer = at(900), .UnansweredSince = at(1000)};
  CHECK_FALSE(diagnose(S, at(1500)));
  REQUIRE(diagnose(S, at(1800)));
  CHECK(diagnose(S, at(1800))->Kind == ChangeKind::Failover);
}

TEST_CASE("failed connections: one is ignored, two over the minimum time cause a failover") {
  PrimaryHealth S{.PrimaryKnown = true,
                  .LastAnswer = at(900),
                  .UnreachableSince = at(1000),
                  .FailedConnections = 1};
  CHECK_FALSE(diagnose(S, at(2000)));
  S.FailedConnections = 2;
  CHECK_FALSE(diagnose(S, at(1100)));
  CHECK(diagnose(S, at(1300))->Cause == "unreachable");
}

// A primary whose replicas do not receive still answers reads, but cannot acknowledge writes.
TEST_CASE("abandoned writes while reads are answered cause a failover") {
  PrimaryHealth S{.PrimaryKnown = true,
                  .LastAnswer = at(5000),
                  .WritesStalledSince = at(1000),
                  .WritesTimedOut = 3};
  CHECK(diagnose(S, at(5000))->Cause == "writes_stalled");
}

TEST_CASE("a leaving primary causes a switchover, a leaving one that is silent a failover") {
  PrimaryHealth S{.PrimaryKnown = true, .LeavingSince = at(1000), .LastAnswer = at(1000)};
  // The replacement may already receive without being registered yet.
  CHECK_FALSE(diagnose(S, at(2000)));
  CHECK(diagnose(S, at(2500))->Kind == ChangeKind::Switchover);
  S.UnansweredSince = at(1100);
  CHECK(diagnose(S, at(2500))->Kind == ChangeKind::Failover);
}

TEST_CASE("a service without a known primary fails over after the delay of the directory") {
  PrimaryHealth S{.PrimaryKnown = false, .PrimaryUnknownSince = at(1000)};
  CHECK_FALSE(diagnose(S, at(2000)));
  CHECK(diagnose(S, at(3000))->Cause == "no_primary");
}

namespace {

// A store with one row that answers synchronously.
class SingleRowStore : public store::RowStore {
public:
  void readAll(const std::string &, std::function<void(store::ReadResult)> Done) override {
    Done({.Done = true, .Rows = {this->Row}, .StoreMs = this->NowMs});
  }
  void write(const std::string &, const std::string &Key, store::RowVersion Expected,
             const std::string &Value, std::function<void(store::WriteResult)> Done) override {
    ++this->Writes;
    if (this->Row.Version != Expected) {
      Done({.Outcome = store::WriteOutcome::Conflict, .Found = this->Row, .StoreMs = this->NowMs});
      return;
    }
    this->Row = {
        .Key = Key, .Value = Value, .Version = store::RowVersion(this->Row.Version.Value + 5)};
    Done({.Outcome = store::WriteOutcome::Done,
          .Version = this->Row.Version,
          .StoreMs = this->NowMs});
  }
  void overwrite(const std::string &, const std::string &, const std::string &,
                 std::function<void(store::WriteResult)>) override {}
  store::Row Row;
  int64_t NowMs = 10000;
  int Writes = 0;
};

ClaimResult takeClaim(Claimer &C, int64_t NowMs) {
  ClaimResult Out;
  C.claim("s", NowMs, [&](const ClaimResult &R) { Out = R; });
  return Out;
}

} // namespace

// Guards against a refused instance that takes the claim at once with the row version learned from
// the refusal. It did so 0.4 s after the holder, and two commits were lost (fault mix of seed
// 806692799986).
TEST_CASE("claims: a refused instance waits until the claim expires, and then learns the orders") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  ClaimResult Mine = takeClaim(First, 10000);
  CHECK(Mine.Outcome == ClaimOutcome::Granted);
  CHECK(Mine.Orders.empty());
  ClaimResult Recorded;
  First.recordOrder("s", 10050, {.Target = TargetId("a"), .AboveTerm = Term(3)}, "10.0.0.1:5", {},
                    [&](const ClaimResult &R) { Recorded = R; });
  REQUIRE(Recorded.Outcome == ClaimOutcome::Granted);
  CHECK(Recorded.Token > Mine.Token);
  CHECK(takeClaim(Second, 10100).Outcome == ClaimOutcome::HeldByOther);
  int Writes = Rows.Writes;
  Rows.NowMs = 10400;
  CHECK(takeClaim(Second, 10400).Outcome == ClaimOutcome::HeldByOther);
  CHECK(Rows.Writes == Writes);
  Rows.NowMs = 10050 + ClaimHoldMs;
  ClaimResult Taken = takeClaim(Second, Rows.NowMs);
  CHECK(Taken.Outcome == ClaimOutcome::Granted);
  REQUIRE(Taken.Orders.size() == 1);
  CHECK(Taken.Orders[0] ==
        RecordedOrder{.Target = TargetId("a"), .AboveTerm = Term(3), .RecordedAtMs = 10050});
  CHECK(Taken.Token > Recorded.Token);
}

// Guards against an order that is sent by an instance whose claim was taken over meanwhile.
TEST_CASE("claims: an order is recorded only while no other instance has written the row") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  takeClaim(First, 10000);
  Rows.NowMs = 10000 + ClaimHoldMs;
  takeClaim(Second, Rows.NowMs); // learns the row
  REQUIRE(takeClaim(Second, Rows.NowMs).Outcome == ClaimOutcome::Granted);
  ClaimResult R;
  First.recordOrder("s", Rows.NowMs, {.Target = TargetId("a")}, "10.0.0.1:5", {},
                    [&](const ClaimResult &Result) { R = Result; });
  CHECK(R.Outcome == ClaimOutcome::HeldByOther);
  CHECK(R.Detail == "second");
}

TEST_CASE("claims: orders that were answered or are too old are dropped from the row") {
  SingleRowStore Rows;
  Claimer C(Rows, InstanceId("first"));
  ClaimResult Last = takeClaim(C, 10000);
  auto Record = [&](const char *Target, int64_t AtMs, const std::vector<RecordedOrder> &Void) {
    C.recordOrder("s", AtMs, {.Target = TargetId(Target), .AboveTerm = Term(1)}, "10.0.0.1:5", Void,
                  [&](const ClaimResult &R) { Last = R; });
  };
  Record("a", 10100, {});
  REQUIRE(Last.Orders.size() == 1);
  Record("b", 10200, Last.Orders);
  REQUIRE(Last.Orders.size() == 1);
  CHECK(Last.Orders[0].Target == TargetId("b"));
  Record("c", 10200 + MaxOrderDelayMs, {});
  REQUIRE(Last.Orders.size() == 1);
  CHECK(Last.Orders[0].Target == TargetId("c"));
}

TEST_CASE("claims: a foreign claim blocks until it expires, an own or unreadable one never") {
  std::optional<ClaimRow> Row =
      decodeClaim(encodeClaim({.Holder = InstanceId("x 1"), .TakenAtMs = 50}));
  REQUIRE(Row);
  CHECK(Row->Holder == InstanceId("x 1"));
  CHECK(Row->TakenAtMs == 50);
  CHECK_FALSE(canTakeClaim(Row, InstanceId("y"), 51));
  CHECK(canTakeClaim(Row, InstanceId("x 1"), 51));
  CHECK(canTakeClaim(Row, InstanceId("y"), 50 + ClaimHoldMs));
  CHECK(canTakeClaim(decodeClaim("garbage"), InstanceId("y"), 51));
  RecordedOrder Order{.Target = TargetId("i 1"),
                      .AboveTerm = Term(7),
                      .RecordedAtMs = 60,
                      .Start = LogPosition{.InTerm = Term(6), .Position = 118}};
  Row = decodeClaim(
      encodeClaim({.Holder = InstanceId("x 1"), .TakenAtMs = 50, .Orders = {Order, Order}}));
  REQUIRE(Row);
  CHECK(Row->Holder == InstanceId("x 1"));
  CHECK(Row->Orders == std::vector<RecordedOrder>{Order, Order});
  CHECK_FALSE(decodeClaim("50 x\n60 -1 a"));
  CHECK_FALSE(decodeClaim("50 x\n60 1"));
}

namespace {

ClaimState stateAfter(int64_t Ms, bool Ended, const std::vector<RecordedOrder> &Orders,
                      const KnownLead &Lead) {
  return claimState({.Holder = InstanceId("x"), .TakenAtMs = 0, .Ended = Ended, .Orders = Orders},
                    Lead, Ms);
}

} // namespace

// Guards against taking a service for settled while a change or a late order can still replace its
// primary: a replica that joined meanwhile would count although nobody paused it.
TEST_CASE("claims: a service is settled once its change has ended and no order can take effect") {
  const RecordedOrder ForA{.Target = TargetId("a"), .AboveTerm = Term(1)};
  const RecordedOrder ForB{.Target = TargetId("b"), .AboveTerm = Term(1)};
  const KnownLead Before{.NewestTerm = Term(1), .Leader = TargetId("p")};
  const KnownLead After{.NewestTerm = Term(2), .Leader = TargetId("a")};
  CHECK(stateAfter(100, true, {}, Before) == ClaimState::Settled);
  CHECK(stateAfter(100, false, {}, Before) == ClaimState::Changing);
  CHECK(stateAfter(ClaimHoldMs, false, {}, Before) == ClaimState::Abandoned);
  CHECK(stateAfter(ClaimHoldMs, true, {ForA}, Before) == ClaimState::Changing);
  CHECK(stateAfter(ClaimHoldMs, true, {ForA}, After) == ClaimState::Settled);
  CHECK(stateAfter(ClaimHoldMs, true, {ForA, ForA}, After) == ClaimState::Settled);
  CHECK(stateAfter(ClaimHoldMs, true, {ForA, ForB}, After) == ClaimState::Changing);
  CHECK(stateAfter(MaxOrderDelayMs, true, {ForA, ForB}, After) == ClaimState::Settled);
}

// Guards against an order of an instance that was suspended during its change, recorded after
// others took the service for settled.
TEST_CASE("claims: the holder of a claim that another instance ended records no order") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  takeClaim(First, 10000);
  std::optional<ClaimTable> Found;
  Second.readAll([&](const std::optional<ClaimTable> &Table) { Found = Table; });
  REQUIRE(Found);
  ClaimResult R;
  auto Keep = [&](const ClaimResult &Result) { R = Result; };
  Second.endAbandoned("s", Found->Claims.begin()->second, 10000 + ClaimHoldMs, Keep);
  CHECK(R.Outcome == ClaimOutcome::Granted);
  First.recordOrder("s", 10000 + ClaimHoldMs, {.Target = TargetId("a")}, "10.0.0.1:5", {}, Keep);
  CHECK(R.Outcome == ClaimOutcome::HeldByOther);
}

// Guards against members that are named from a list which a change of primary does not know.
TEST_CASE(
    "claims: members are named only if the row is as it was read, and later claims keep them") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  const roster::Members Group = {{TargetId("a"), "10.0.0.1:5"}, {TargetId("b c"), "10.0.0.2:5"}};
  ClaimResult R;
  auto Keep = [&](const ClaimResult &Result) { R = Result; };
  First.setMembers("s", {}, Group, 10000, Keep);
  CHECK(R.Outcome == ClaimOutcome::Granted);
  std::optional<ClaimTable> Found;
  First.readAll([&](const std::optional<ClaimTable> &Table) { Found = Table; });
  REQUIRE(Found);
  // The row that names members excludes nobody from the claim.
  ClaimResult Claimed = takeClaim(Second, 10000);
  CHECK(Claimed.Outcome == ClaimOutcome::Granted);
  CHECK(Claimed.Members == Group);
  First.setMembers("s", Found->Claims.begin()->second, {}, 10100, Keep);
  CHECK(R.Outcome != ClaimOutcome::Granted);
  Second.recordOrder("s", 10100, {.Target = TargetId("a")}, "10.0.0.1:5", {}, Keep);
  CHECK(R.Members == Group);
  // A target that is promoted becomes a member with the record of the order.
  Second.recordOrder("s", 10150, {.Target = TargetId("n")}, "10.0.0.3:5", {}, Keep);
  roster::Members Larger = Group;
  Larger[TargetId("n")] = "10.0.0.3:5";
  CHECK(R.Members == Larger);
  Second.end("s", 10200, std::nullopt, Keep);
  CHECK(takeClaim(Second, 10300).Members == Larger);
}

TEST_CASE("claims: an ended claim blocks others until it expires, and is marked in the row") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  takeClaim(First, 10000);
  ClaimResult R;
  const TermStart Start{.InTerm = Term(4), .At = {.InTerm = Term(3), .Position = 362}};
  First.end("s", 10100, Start, [&](const ClaimResult &Result) { R = Result; });
  CHECK(R.Outcome == ClaimOutcome::Granted);
  std::optional<ClaimRow> Row = decodeClaim(Rows.Row.Value);
  REQUIRE(Row);
  CHECK(Row->Ended);
  CHECK(Row->Holder == InstanceId("first"));
  CHECK(Row->TakenAtMs == 10000);
  CHECK(takeClaim(Second, 10200).Outcome == ClaimOutcome::HeldByOther);
  ClaimResult Again = takeClaim(First, 10200);
  CHECK(Again.Outcome == ClaimOutcome::Granted);
  CHECK(Again.Start == Start);
  Row = decodeClaim(Rows.Row.Value);
  REQUIRE(Row);
  CHECK_FALSE(Row->Ended);
  CHECK(Row->Start == Start);
}
