// Requests for rate tokens of one instance, answered by hand.
#include "gateway/rate_limits.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::gateway;
using ratelimit::Limit;

namespace {

const AccountName Acme("acme");

// An instance without partitions. The store does not answer.
class Asker : public RateEnvironment, public store::RowStore {
public:
  Instant now() const override { return this->Now; }
  TimerId at(Instant Deadline, std::function<void()> Task) override {
    TimerId Id(this->NextTimer++);
    this->Timers[{Deadline, Id}] = std::move(Task);
    return Id;
  }
  void cancel(TimerId Id) override {
    std::erase_if(this->Timers, [&](const auto &T) { return T.first.second == Id; });
  }
  const InstanceId &self() const override { return this->Id; }
  uint64_t incarnation() const override { return 1000; }
  const std::vector<InstanceId> &peers() const override { return this->Peers; }
  bool send(const InstanceId &To, proto::Envelope Message) override {
    if (Message.has_rate_request())
      this->Requests.emplace_back(To, Message.rate_request());
    return true;
  }
  void readAll(const std::string &, std::function<void(store::ReadResult)>) override {}
  void write(const std::string &, const std::string &, store::RowVersion, const std::string &,
             std::function<void(store::WriteResult)>) override {}
  void overwrite(const std::string &, const std::string &, const std::string &,
                 std::function<void(store::WriteResult)>) override {}

  void advance(absl::Duration Time) {
    Instant End = this->Now + Time;
    while (!this->Timers.empty() && this->Timers.begin()->first.first <= End) {
      auto Node = this->Timers.extract(this->Timers.begin());
      this->Now = std::max(this->Now, Node.key().first);
      Node.mapped()();
    }
    this->Now = End;
  }
  void announce(uint32_t Partition, const std::string &Holder) {
    proto::Envelope Message;
    proto::RateHolder &H = *Message.mutable_rate_holder();
    H.set_partition(Partition);
    H.set_version(1);
    H.set_valid_us(9000000);
    this->Limits.onMessage(InstanceId(Holder), Message);
  }
  // A holder of its own for each partition.
  void announceAll() {
    for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P)
      this->announce(P, "holder-" + std::to_string(P));
  }
  void setLimit(const Limit &L) { this->Limits.setLimits({{Acme, L}}); }
  void admit(int Count = 1) {
    for (int I = 0; I < Count; ++I)
      this->Limits.admit(Acme, this->Now + absl::Seconds(10), [this](const Admission &A) {
        ++(A.Admitted ? this->Admitted : this->Refused);
      });
  }
  // Answers a request as a holder that applies HolderLimit.
  void answer(size_t Request, uint32_t Tokens, absl::Duration Next, const Limit &HolderLimit) {
    const auto &[To, R] = this->Requests.at(Request);
    proto::Envelope Message;
    proto::RateGrant &G = *Message.mutable_rate_grant();
    G.set_request_id(R.request_id());
    G.set_partition(R.partition());
    G.set_holder(true);
    G.set_tokens(Tokens);
    G.set_valid_us(static_cast<uint64_t>(
        absl::ToInt64Microseconds(ratelimit::toleratedLifetime(HolderLimit, {}))));
    G.set_next_token_us(static_cast<uint64_t>(absl::ToInt64Microseconds(Next)));
    this->Limits.onMessage(InstanceId(To), Message);
  }
  void answerLast(uint32_t Tokens, absl::Duration Next, const Limit &HolderLimit) {
    this->answer(this->Requests.size() - 1, Tokens, Next, HolderLimit);
  }

  Instant Now = absl::FromUnixSeconds(1000000);
  InstanceId Id{"asker"};
  std::vector<InstanceId> Peers;
  std::map<std::pair<Instant, TimerId>, std::function<void()>> Timers;
  uint64_t NextTimer = 1;
  std::vector<std::pair<InstanceId, proto::RateRequest>> Requests;
  int Admitted = 0;
  int Refused = 0;
  Metrics Counters;
  RateLimits Limits{*this, *this, this->Counters, {}};
};

constexpr Limit Low = {.PerSecond = 10, .Burst = 10};
constexpr Limit High = {.PerSecond = 1000, .Burst = 4000};

} // namespace

// Guards against an account that is refused for up to 10 minutes at an instance that applied a new
// or raised limit before the holders did: they report that no token is expected.
TEST_CASE("a holder without the new limit is asked again when it can have a token") {
  Asker A;
  A.setLimit(Low);
  A.announceAll();
  A.admit();
  for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P)
    A.answerLast(0, absl::Minutes(10), {});
  CHECK(A.Refused == 1);
  // A partition of this limit has a token after 0.4 s at the latest.
  A.advance(absl::Milliseconds(400));
  size_t Asked = A.Requests.size();
  A.admit();
  REQUIRE(A.Requests.size() == Asked + 1);
  A.answerLast(1, absl::ZeroDuration(), Low);
  CHECK(A.Admitted == 1);
}

// Guards against tokens of a higher limit that arrive after the limit was lowered.
TEST_CASE("tokens that were requested under a higher limit are not used") {
  Asker A;
  A.setLimit(High);
  A.announceAll();
  A.admit(100);
  A.answerLast(1, absl::ZeroDuration(), High);
  REQUIRE(A.Admitted == 1);
  REQUIRE(A.Requests.back().second.tokens() >= 99);
  SUBCASE("the limit is lowered") {
    A.setLimit(Low);
    A.answerLast(99, absl::ZeroDuration(), High);
    CHECK(A.Admitted == 1);
    // Its answer says nothing about tokens of the new limit.
    for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P) {
      CHECK(A.Refused == 0);
      A.answerLast(0, absl::Milliseconds(100), Low);
    }
    CHECK(A.Refused == 99);
  }
  SUBCASE("the account vanishes and returns with a lower limit") {
    size_t Request = A.Requests.size() - 1;
    A.Limits.setLimits({});
    CHECK(A.Admitted == 100); // without a limit
    A.setLimit(Low);
    A.answer(Request, 99, absl::ZeroDuration(), High);
    A.announceAll();
    A.admit(30);
    CHECK(A.Admitted == 100);
  }
}

// Guards against tokens that are kept from a holder which has not applied the lower limit yet, and
// used after it has.
TEST_CASE("a holder with another limit grants tokens for waiting operations only") {
  Asker A;
  A.setLimit(Low);
  A.announceAll();
  A.admit(40);
  A.answerLast(1, absl::ZeroDuration(), Low);
  A.answerLast(39, absl::ZeroDuration(), Low);
  REQUIRE(A.Admitted == 40);
  size_t Ahead = A.Requests.size();
  REQUIRE(A.Requests.back().second.tokens() > 5);
  A.answerLast(A.Requests.back().second.tokens(), absl::ZeroDuration(), High);
  CHECK(A.Requests.size() == Ahead); // nothing more is requested ahead
  A.admit();
  CHECK(A.Admitted == 40);
  REQUIRE(A.Requests.size() == Ahead + 1);
  A.answerLast(1, absl::ZeroDuration(), High);
  CHECK(A.Admitted == 41);
}

// Guards against a partition that is passed over for up to 2 s although its holder has answered
// about another one.
TEST_CASE("a holder that answers again is asked for all of its partitions") {
  Asker A;
  A.setLimit(Low);
  A.announce(0, "holder");
  A.announce(1, "holder");
  A.admit();
  A.advance(absl::Milliseconds(300));
  CHECK(A.Refused == 1);
  A.answer(0, 0, absl::Seconds(1), Low);
  A.admit();
  REQUIRE(A.Requests.size() == 2);
  CHECK(A.Requests[1].second.partition() == 1);
}

// Guards against an operation that is refused before the holder that has a token was asked, because
// the time-out of a request and its late answer counted as those of two holders.
TEST_CASE("a late answer does not count for another holder") {
  Asker A;
  A.setLimit(Low);
  A.announceAll();
  A.admit();
  A.advance(absl::Milliseconds(300));
  REQUIRE(A.Requests.size() == 2);
  A.answer(0, 0, absl::Seconds(1), Low);
  A.answer(1, 0, absl::Seconds(1), Low);
  A.answer(2, 0, absl::Seconds(1), Low);
  REQUIRE(A.Requests.size() == 4);
  A.answer(3, 1, absl::ZeroDuration(), Low);
  CHECK(A.Admitted == 1);
  CHECK(A.Refused == 0);
}
