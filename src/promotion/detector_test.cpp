#include "promotion/promotion.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::promotion;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

} // namespace

TEST_CASE("a primary that answers stays, however slow single statements are") {
  PrimaryHealth S{.PrimaryKnown = true, .LastAnswer = at(1000), .SilentSince = at(900)};
  CHECK_FALSE(diagnose(S, at(5000)));
}

TEST_CASE("a silent primary is lost after the limit") {
  PrimaryHealth S{.PrimaryKnown = true, .LastAnswer = at(900), .SilentSince = at(1000)};
  CHECK_FALSE(diagnose(S, at(1500)));
  REQUIRE(diagnose(S, at(1800)));
  CHECK(diagnose(S, at(1800))->Kind == ChangeKind::Failover);
}

TEST_CASE("refused connections: one proves nothing, two over some time do") {
  PrimaryHealth S{.PrimaryKnown = true,
                  .LastAnswer = at(900),
                  .UnreachableSince = at(1000),
                  .FailedConnections = 1};
  CHECK_FALSE(diagnose(S, at(2000)));
  S.FailedConnections = 2;
  CHECK_FALSE(diagnose(S, at(1100)));
  CHECK(diagnose(S, at(1300))->Cause == "unreachable");
}

// A primary whose replicas do not receive answers reads and acknowledges nothing.
TEST_CASE("writes that are given up while reads are answered") {
  PrimaryHealth S{.PrimaryKnown = true,
                  .LastAnswer = at(5000),
                  .WritesStalledSince = at(1000),
                  .WritesGivenUp = 3};
  CHECK(diagnose(S, at(5000))->Cause == "writes_stalled");
}

TEST_CASE("a leaving primary is handed over, a leaving one that is dead is replaced") {
  PrimaryHealth S{.PrimaryKnown = true, .LeavingSince = at(1000), .LastAnswer = at(1000)};
  // Its replacement may be receiving already and not be registered yet.
  CHECK_FALSE(diagnose(S, at(2000)));
  CHECK(diagnose(S, at(2500))->Kind == ChangeKind::Switchover);
  S.SilentSince = at(1100);
  CHECK(diagnose(S, at(2500))->Kind == ChangeKind::Failover);
}

TEST_CASE("a service without a primary waits for the directory before it is given one") {
  PrimaryHealth S{.PrimaryKnown = false, .PrimaryUnknownSince = at(1000)};
  CHECK_FALSE(diagnose(S, at(2000)));
  CHECK(diagnose(S, at(3000))->Cause == "no_primary");
}

namespace {

// Keeps one row and answers at once.
class SingleRowStore : public store::RowStore {
public:
  void readAll(const std::string &, std::function<void(store::ReadResult)> Done) override {
    Done({.Done = true});
  }
  void write(const std::string &, const std::string &Key, store::RowVersion Expected,
             const std::string &Value, std::function<void(store::WriteResult)> Done) override {
    ++this->Writes;
    if (this->Row.Version != Expected) {
      Done({.Is = store::Written::Conflict, .Found = this->Row, .StoreMs = this->NowMs});
      return;
    }
    this->Row = {
        .Key = Key, .Value = Value, .Version = store::RowVersion(this->Row.Version.Value + 5)};
    Done({.Is = store::Written::Done, .Version = this->Row.Version, .StoreMs = this->NowMs});
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

// The mix of seed 806692799986 lost two commits: an instance that had been refused once took the
// claim with the version learned from the refusal, 0.4 s after its holder.
TEST_CASE("claims: a refused instance waits for the hold to end, and then knows of late orders") {
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

TEST_CASE("claims: another instance's holds for a while, an own or unreadable one never") {
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
