#include "ratelimit/ratelimit.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace toucan;
using namespace toucan::ratelimit;

namespace {

const Instant Start = absl::FromUnixSeconds(1000);
const AccountName Account("a");

Instant at(double Seconds) { return Start + absl::Seconds(Seconds); }

// Tokens that a bucket grants when it is asked for one in each step.
uint32_t takenOver(TokenBucket &B, double Seconds, double Step) {
  uint32_t Out = 0;
  for (int I = 1; I * Step <= Seconds; ++I)
    Out += B.take(1, at(I * Step));
  return Out;
}

} // namespace

// Guards against fractions of a token that are lost or counted twice when a bucket is asked often.
TEST_CASE("bucket: fractions of tiny rates add up") {
  TokenBucket B(0.1, 1.25, 0, Start);
  CHECK(takenOver(B, 100, 0.05) == 10);
  CHECK(B.take(5, at(1000)) == 1);
  CHECK(B.untilNext(at(1000)) == absl::Seconds(7.5));
}

// Guards against a division by zero, and against tokens of an account with rate 0.
TEST_CASE("bucket: rate 0 never grants") {
  Partition P({{Account, {.PerSecond = 0, .Burst = 50}}}, 1, Start);
  Partition::Taken T = P.take(Account, 1, at(1e6));
  CHECK(T.Tokens == 0);
  CHECK(T.Next == absl::InfiniteDuration());
  CHECK(tokenLifetime({.PerSecond = 0, .Burst = 50}, {}) == absl::ZeroDuration());
}

// Guards against overflow of token counts and durations.
TEST_CASE("bucket: huge rates are finite") {
  Limit Huge{.PerSecond = 1e15, .Burst = 1e15};
  Partition P({{Account, Huge}}, 1, Start);
  CHECK(P.take(Account, 4000000000U, at(10)).Tokens == 4000000000U);
  CHECK(tokenLifetime(Huge, {}) > absl::Milliseconds(300));
  CHECK(tokenLifetime(Huge, {}) <= MaxTokenLifetime);
  CHECK(tokensWanted(1e12, absl::Seconds(5), 1) == 1000000);
}

// Guards against a clock reading that is older than the last one, as two instants of one round are.
TEST_CASE("bucket: an earlier time changes nothing") {
  TokenBucket B(1, 5, 0, Start);
  CHECK(B.take(1, at(1)) == 1);
  CHECK(B.take(1, at(0.5)) == 0);
  CHECK(B.take(1, at(1.9)) == 0);
  CHECK(B.take(1, at(2)) == 1);
}

// Guards against a lowered limit whose old tokens are still granted.
TEST_CASE("partition: a lower limit reduces the bucket at once") {
  Partition P({{Account, {.PerSecond = 400, .Burst = 400}}}, 0, Start);
  P.setLimits({{Account, {.PerSecond = 4, .Burst = 4}}}, at(10));
  CHECK(P.take(Account, 1000, at(10)).Tokens == 2);
  P.setLimits({{Account, {.PerSecond = 400, .Burst = 400}}}, at(10));
  CHECK(P.take(Account, 1000, at(10)).Tokens == 0);
}

// Guards against an account that regains its burst by vanishing from the configuration for a
// moment.
TEST_CASE("partition: an account that returns starts with an empty bucket") {
  Partition P({{Account, {.PerSecond = 4, .Burst = 40}}}, 1, Start);
  CHECK(P.take(Account, 100, Start).Tokens == 1);
  CHECK(P.take(Account, 100, at(100)).Tokens == 11);
  P.setLimits({}, at(100));
  CHECK(P.take(Account, 1, at(100)).Tokens == 0);
  P.setLimits({{Account, {.PerSecond = 4, .Burst = 40}}}, at(100));
  CHECK(P.take(Account, 100, at(100)).Tokens == 0);
}

// Guards against tokens that are used after their expiry, or twice.
TEST_CASE("allowance: tokens expire and are used once") {
  Allowance A;
  A.add(2, at(5));
  A.add(1, at(3));
  CHECK(A.held(Start) == 3);
  CHECK(A.take(at(1)));
  CHECK(A.held(at(3)) == 2);
  CHECK(A.take(at(4)));
  CHECK_FALSE(A.take(at(5)));
  A.add(3, at(9));
  A.clear();
  CHECK_FALSE(A.take(at(6)));
}

// Guards against a lifetime with which the tokens granted before a window exceed the tolerance.
TEST_CASE("the tolerance covers the tokens that are kept") {
  for (double Rate : {0.01, 0.4, 1.0, 7.0, 60.0, 1000.0, 1e6})
    for (double Burst : {1.0, 10.0, 1000.0})
      for (const Bounds &B : {Bounds{}, Bounds{.Window = absl::Seconds(1)},
                              Bounds{.Window = absl::Seconds(60), .Overage = 0.2, .Slack = 40}}) {
        double Tolerance = B.Overage * (Rate * absl::ToDoubleSeconds(B.Window) + Burst) + B.Slack;
        double Kept = Rate * absl::ToDoubleSeconds(tokenLifetime({Rate, Burst}, B));
        // The extra token of each bucket, and the first token of each partition.
        CHECK(Kept + 2 * PartitionCount <= Tolerance + 1e-6);
      }
}

// Guards against tokens requested for a demand that has ended.
TEST_CASE("demand: is learned and forgotten") {
  Demand D;
  CHECK(D.perSecond(Start) == 0);
  for (int I = 0; I < 200; ++I)
    D.onOperation(at(I * 0.05));
  CHECK(D.perSecond(at(10)) > 17);
  CHECK(D.perSecond(at(10)) < 23);
  CHECK(D.perSecond(at(25)) < 0.1);
  CHECK(tokensWanted(0.3, absl::Seconds(5), 0) == 1);
  CHECK(tokensWanted(0.3, absl::Seconds(5), 4) == 4);
  CHECK(tokensWanted(20, absl::Seconds(1), 4) == 10);
}

// Guards against odd rows of another writer that are taken for a lease.
TEST_CASE("lease: rows are encoded and odd ones refused") {
  LeaseRow Row{
      .Holder = InstanceId("i"), .Incarnation = 7, .ExpiresMs = 12, .State = RowState::Held};
  auto Decoded = decodeLease(encodeLease(Row));
  REQUIRE(Decoded);
  CHECK(Decoded->Holder == Row.Holder);
  CHECK(Decoded->Incarnation == 7);
  CHECK(Decoded->ExpiresMs == 12);
  CHECK(Decoded->State == RowState::Held);
  for (const char *Odd : {"", " ", "i", "i 7 12", "i 7 12 odd", " 7 12 held", "i -7 12 held",
                          "i 7 x held", "i 7 12 held ", "{\"a\":1}"})
    CHECK_FALSE(decodeLease(Odd));
}

// Guards against all instances claiming a partition at the same moment, and against one instance
// that claims all partitions first.
TEST_CASE("lease: instances have different ranks for a partition") {
  std::vector<InstanceId> All;
  All.reserve(30);
  for (int I = 0; I < 30; ++I)
    All.emplace_back("node-" + std::to_string(I));
  std::vector<InstanceId> First;
  for (uint32_t P = 0; P < PartitionCount; ++P) {
    std::vector<bool> Seen(All.size());
    for (const InstanceId &Self : All) {
      std::vector<InstanceId> Others;
      for (const InstanceId &Other : All)
        if (!(Other == Self))
          Others.push_back(Other);
      size_t Rank = claimRank(Self, Others, P);
      CHECK_FALSE(Seen.at(Rank));
      Seen.at(Rank) = true;
      if (Rank == 0)
        First.push_back(Self);
    }
  }
  CHECK(std::set<InstanceId>(First.begin(), First.end()).size() > 1);
}

// Guards against a change of the hash: instances of different versions would try in different
// orders, and claim the same partition at the same time.
TEST_CASE("the order of the claims is the same in every version") {
  std::vector<InstanceId> All;
  All.reserve(8);
  for (int I = 0; I < 8; ++I)
    All.emplace_back("proxy-" + std::to_string(I));
  std::vector<std::string> Expected{"41256307", "61235407", "02514673", "61420573"};
  for (uint32_t P = 0; P < PartitionCount; ++P) {
    std::string Order(All.size(), '?');
    for (const InstanceId &Self : All) {
      std::vector<InstanceId> Others;
      for (const InstanceId &Other : All)
        if (!(Other == Self))
          Others.push_back(Other);
      Order.at(claimRank(Self, Others, P)) = Self.Value.back();
    }
    CHECK(Order == Expected.at(P));
  }
}

namespace {

// A row that one instance writes; the store's clock is that of the test.
struct OneRow {
  store::Row Row;
  uint64_t Version = 0;

  store::WriteResult execute(const LeaseWrite &W, Instant Now) {
    store::WriteResult R{.StoreMs = ms(Now)};
    if (W.Expected == this->Row.Version) {
      this->Row = {.Key = "0", .Value = W.Value, .Version = store::RowVersion(++this->Version)};
      R.Outcome = store::WriteOutcome::Done;
      R.Version = this->Row.Version;
    } else {
      R.Outcome = store::WriteOutcome::Conflict;
      R.Found = this->Row;
    }
    return R;
  }
  static int64_t ms(Instant T) { return absl::ToUnixMillis(T); }
  LeaseState::Change claim(LeaseState &L, Instant Now) {
    auto W = L.claim(this->Row, ms(Now), Now, Now);
    return W ? L.onWritten(W->Number, this->execute(*W, Now), Now) : LeaseState::Change::None;
  }
  LeaseState::Change renew(LeaseState &L, Instant Now) {
    auto W = L.renewal(Now);
    return W ? L.onWritten(W->Number, this->execute(*W, Now), Now) : LeaseState::Change::None;
  }
};

using Change = LeaseState::Change;

} // namespace

// Guards against a claimant that grants tokens while a lease of which its row says nothing is
// valid.
TEST_CASE("lease: a claimant waits for a lease, or for the answers of all others") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  CHECK(R.claim(A, at(0)) == Change::Claimed);
  CHECK(R.renew(A, at(3)) == Change::None);
  CHECK(R.renew(A, at(6)) == Change::None);
  CHECK_FALSE(A.grants(at(6)));
  CHECK(R.renew(A, at(9)) == Change::None);
  CHECK(R.renew(A, at(9.9)) == Change::None);
  CHECK(R.renew(A, at(10)) == Change::Held);
  CHECK(A.grants(at(19.9)));
  CHECK_FALSE(A.grants(at(20)));
  OneRow R2;
  LeaseState B(InstanceId("b"), 1);
  CHECK(R2.claim(B, at(0)) == Change::Claimed);
  CHECK(B.onAllDenied(at(0.1)) == Change::Held);
  CHECK(B.grants(at(0.1)));
}

// Guards against a claim that ends its wait although another holder is heard.
TEST_CASE("lease: an announcement of another holder prolongs the wait") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  R.claim(A, at(0));
  for (int I = 1; I < 10; ++I)
    R.renew(A, at(I));
  A.onAnnouncement(at(9));
  for (double S = 9; S < 19; S += 0.5)
    CHECK(R.renew(A, at(S)) == Change::None);
  CHECK(R.renew(A, at(19)) == Change::Held);
}

// Guards against a partition that nobody holds for 20 s after its holder restarts.
TEST_CASE("lease: a restarted instance takes over its own row at once") {
  OneRow R;
  LeaseState Former(InstanceId("a"), 1);
  R.claim(Former, at(0));
  Former.onAllDenied(at(0));
  R.renew(Former, at(0.1));
  LeaseState Restarted(InstanceId("a"), 2);
  CHECK(R.claim(Restarted, at(2)) == Change::Held);
  CHECK(Restarted.initialTokens() == 0);
  // A claim that had not begun to grant tokens is no reason to do so.
  OneRow R2;
  LeaseState Claimed(InstanceId("a"), 1);
  R2.claim(Claimed, at(0));
  LeaseState Next(InstanceId("a"), 2);
  CHECK(R2.claim(Next, at(2)) == Change::Claimed);
  // An expired row may have been claimed by others since.
  LeaseState Late(InstanceId("a"), 3);
  CHECK(R.claim(Late, at(13)) == Change::Claimed);
}

// Guards against a lease that ends although its renewal was executed, and one that is kept although
// the row names another holder.
TEST_CASE("lease: a lost answer, and a row of another holder") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  R.claim(A, at(0));
  A.onAllDenied(at(0));
  auto W = A.renewal(at(3));
  REQUIRE(W);
  R.execute(*W, at(3));
  A.onWritten(W->Number, {.Outcome = store::WriteOutcome::Unknown}, at(4.5));
  CHECK(A.grants(at(9.9)));
  CHECK(R.renew(A, at(5)) == Change::None); // finds its own write
  CHECK(A.leaseEnd() == at(10));
  CHECK(R.renew(A, at(5)) == Change::None);
  CHECK(A.leaseEnd() == at(15));
  LeaseState B(InstanceId("b"), 1);
  CHECK(R.claim(B, at(14)) == Change::None); // not expired
  CHECK(R.claim(B, at(15)) == Change::Claimed);
  CHECK(R.renew(A, at(16)) == Change::Lost);
  CHECK_FALSE(A.grants(at(16)));
}

// Guards against a partition that is lost with each unavailability of the store of 9 s.
TEST_CASE("lease: is resumed after the store was unavailable") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  R.claim(A, at(0));
  A.onAllDenied(at(0));
  CHECK(A.expire(at(12)) == Change::None);
  CHECK_FALSE(A.grants(at(12)));
  CHECK(R.renew(A, at(12)) == Change::None);
  CHECK(A.grants(at(12)));
  CHECK(A.expire(at(30)) == Change::Lost);
  // After it answered another instance that it does not hold the partition, it resumes nothing.
  LeaseState B(InstanceId("b"), 1);
  OneRow R2;
  R2.claim(B, at(0));
  B.onAllDenied(at(0));
  CHECK(B.onQuery(at(5)));
  CHECK_FALSE(B.onQuery(at(10)));
  CHECK_FALSE(B.renewal(at(11)));
}

// Guards against a renewal that hides that the store went back.
TEST_CASE("lease: a version that is not higher ends the lease") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  R.claim(A, at(0));
  A.onAllDenied(at(0));
  auto W = A.renewal(at(3));
  REQUIRE(W);
  CHECK(A.onWritten(W->Number,
                    {.Outcome = store::WriteOutcome::Done, .Version = store::RowVersion(1)},
                    at(3)) == Change::Lost);
}

// Guards against a partition that nobody claims while a drained instance's lease would have lasted.
TEST_CASE("lease: a released partition can be claimed at once") {
  OneRow R;
  LeaseState A(InstanceId("a"), 1);
  R.claim(A, at(0));
  A.onAllDenied(at(0));
  auto W = A.release(at(1));
  REQUIRE(W);
  R.execute(*W, at(1));
  CHECK_FALSE(A.grants(at(1)));
  LeaseState B(InstanceId("b"), 1);
  CHECK(R.claim(B, at(1)) == Change::Claimed);
  CHECK(B.initialTokens() == 0);
  CHECK_FALSE(A.release(at(2)));
}
