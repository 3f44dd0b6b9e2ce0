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
    Done({.Done = true});
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
TEST_CASE("claims: a refused instance waits until the claim expires, and then reports a takeover") {
  SingleRowStore Rows;
  Claimer First(Rows, InstanceId("first")), Second(Rows, InstanceId("second"));
  ClaimResult Mine = takeClaim(First, 10000);
  CHECK(Mine.Outcome == ClaimOutcome::Granted);
  CHECK_FALSE(Mine.TakenOver);
  CHECK(takeClaim(Second, 10100).Outcome == ClaimOutcome::HeldByOther);
  int Writes = Rows.Writes;
  Rows.NowMs = 10400;
  CHECK(takeClaim(Second, 10400).Outcome == ClaimOutcome::HeldByOther);
  CHECK(Rows.Writes == Writes);
  Rows.NowMs = 10000 + ClaimHoldMs;
  ClaimResult Taken = takeClaim(Second, Rows.NowMs);
  CHECK(Taken.Outcome == ClaimOutcome::Granted);
  CHECK(Taken.TakenOver);
  CHECK(Taken.Token > Mine.Token);
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
}
