#include "pool/dispatch.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace toucan;
using namespace toucan::pool;
using rules::TargetState;
using rules::WorkClass;

namespace {

const TargetId P("p");
const TargetId R1("r1");
const TargetId R2("r2");
const Instant T0 = absl::FromUnixSeconds(1000);

DispatchRequest request(uint64_t Id, std::string Key = "a") {
  return {.Id = PoolRequestId(Id),
          .FairnessKey = std::move(Key),
          .Arrived = T0,
          .Deadline = T0 + absl::Seconds(10)};
}

DispatchRequest longRequest(uint64_t Id) {
  DispatchRequest R = request(Id);
  R.Class = WorkClass::Long;
  return R;
}

DispatchRequest readRequest(uint64_t Id, uint64_t Floor) {
  DispatchRequest R = request(Id);
  R.ReplicaAllowed = true;
  R.MaxAge = absl::Seconds(30);
  R.Floor = {Term(1), Floor};
  return R;
}

// A group of three servers with three slots each; both replicas have applied position 10.
struct Fixture {
  explicit Fixture(size_t QueueLimit = 1000, QueueOrder Order = QueueOrder::ByClassAndCaller)
      : D({.QueueLimit = QueueLimit, .FloorWait = absl::Milliseconds(50), .Order = Order}) {
    this->Group.Targets = {{.Id = P}, {.Id = R1}, {.Id = R2}};
    this->Group.SlotsPerTarget = 3;
    this->Group.ConnectionsPerTarget = 5;
    this->State = {.CurrentTerm = Term(1), .Primary = P};
    for (const TargetId &Id : {P, R1, R2})
      this->State.Servers.push_back(
          {.Id = Id,
           .Reachable = true,
           .CurrentRole = Id == P ? group::Role::Primary : group::Role::Replica,
           .Accepted = Term(1),
           .Applied = 10,
           .CaughtUpAt = T0});
    this->update();
  }
  void update() {
    this->D.setGroup(this->Group);
    this->D.setState(&this->State);
  }
  // Opens all connections that the dispatcher asks for and returns the started requests with their
  // targets.
  std::vector<std::pair<uint64_t, TargetId>> started(Instant Now = T0) {
    std::vector<std::pair<uint64_t, TargetId>> Out;
    for (bool More = true; More;) {
      More = false;
      for (const Action &A : this->D.next(Now)) {
        if (A.Kind == ActionKind::Open)
          this->D.connected(A.Target);
        if (A.Kind == ActionKind::Start)
          Out.emplace_back(A.Request.Value, A.Target);
        if (A.Kind == ActionKind::Refuse)
          this->Refused.emplace_back(A.Request.Value, A.Why);
        More = true;
      }
    }
    return Out;
  }
  void end(const TargetId &At, WorkClass Class = WorkClass::Short) {
    this->D.ended(At, Class, absl::Milliseconds(10));
    this->D.released(At);
  }

  member::Group Group;
  group::GroupState State;
  Dispatcher D;
  std::vector<std::pair<uint64_t, Reason>> Refused;
};

std::vector<uint64_t> ids(const std::vector<std::pair<uint64_t, TargetId>> &Started) {
  std::vector<uint64_t> Out(Started.size());
  std::transform(Started.begin(), Started.end(), Out.begin(),
                 [](const auto &Pair) { return Pair.first; });
  return Out;
}

} // namespace

// Guards against starvation: one caller with many requests delays all others.
TEST_CASE("the queue serves fairness keys in round robin") {
  FairQueue Q;
  for (uint64_t Id : {1, 2, 3})
    Q.push(request(Id, "busy"));
  Q.push(request(4, "quiet"));
  Q.push(request(5, "gone"));
  CHECK(Q.remove(PoolRequestId(5)));
  std::vector<uint64_t> Order;
  while (auto R = Q.take([](const DispatchRequest &) { return true; }, 9))
    Order.push_back(R->Id.Value);
  CHECK(Order == std::vector<uint64_t>{1, 4, 2, 3});
  CHECK(Q.empty());
}

// Guards against short requests that wait because long requests hold every slot.
TEST_CASE("long requests never take the last slot") {
  Fixture F;
  for (uint64_t Id : {1, 2, 3})
    CHECK(!F.D.admit(longRequest(Id), T0));
  CHECK(ids(F.started()) == std::vector<uint64_t>{1, 2});
  CHECK(!F.D.admit(request(4), T0));
  CHECK(ids(F.started()) == std::vector<uint64_t>{4});
  CHECK(!F.D.admit(request(5), T0));
  CHECK(F.started().empty());
  F.end(P, WorkClass::Long);
  CHECK(ids(F.started()) == std::vector<uint64_t>{5});
}

// Guards against long requests that take the slots that the current short load needs.
TEST_CASE("long requests leave the slots that recent short requests used") {
  Fixture F;
  Instant Now = T0;
  uint64_t Id = 0;
  CHECK(!F.D.admit(request(++Id), T0));
  CHECK(!F.D.admit(request(++Id), T0));
  CHECK(F.started(Now).size() == 2);
  Now += absl::Seconds(10);
  CHECK(F.started(Now).empty());
  F.end(P);
  F.end(P);
  for (int I = 0; I < 3; ++I) {
    DispatchRequest R = longRequest(++Id);
    R.Deadline = Now + absl::Seconds(1000);
    CHECK(!F.D.admit(R, Now));
  }
  CHECK(F.started(Now).size() == 1);
  CHECK(F.started(Now + absl::Seconds(120)).size() == 1);
}

// Guards against requests that wait only to time out, and against refusals without a retry hint.
TEST_CASE("admission refuses requests that cannot start before their deadline") {
  Fixture F(100);
  uint64_t Id = 0;
  while (Id < 50)
    CHECK(!F.D.admit(request(++Id), T0));
  DispatchRequest ShortDeadline = request(++Id);
  ShortDeadline.Deadline = T0 + absl::Milliseconds(1);
  auto Refused = F.D.admit(ShortDeadline, T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueDeadline);
  CHECK(Refused->RetryAfter > absl::ZeroDuration());
  while (Id < 101)
    CHECK(!F.D.admit(request(++Id), T0));
  Refused = F.D.admit(request(++Id), T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueFull);
}

// Guards against refused callers that all retry together at a queue that has run empty meanwhile,
// and against hints that keep growing because of callers that never retry.
TEST_CASE("retry hints of a full queue are spaced at the service rate") {
  Fixture F(100);
  uint64_t Id = 0;
  auto Refuse = [&](int Times) {
    std::optional<Refusal> Last;
    for (int I = 0; I < Times; ++I)
      Last = F.D.admit(request(++Id), T0);
    REQUIRE(Last);
    CHECK(Last->Why == Reason::QueueFull);
    return Last->RetryAfter;
  };
  for (int I = 0; I < 100; ++I)
    CHECK(!F.D.admit(request(++Id), T0));
  CHECK(Refuse(1) <= absl::Milliseconds(30));
  // Three slots and an initial estimate of 2 ms per request: 1.5 retries per millisecond.
  absl::Duration Last = Refuse(2999);
  CHECK(Last >= absl::Milliseconds(1900));
  CHECK(Last <= absl::Seconds(3));
  CHECK(Refuse(100'000) <= absl::Seconds(45));
  for (uint64_t Waiting = 1; Waiting <= 60; ++Waiting)
    CHECK(F.D.remove(PoolRequestId(Waiting)));
  for (int I = 0; I < 60; ++I)
    CHECK(!F.D.admit(request(++Id), T0));
  CHECK(Refuse(1) <= absl::Milliseconds(30));
}

// Guards against requests that are refused too early, or never, during a change of primary.
TEST_CASE("requests wait for a primary until their deadline") {
  Fixture F;
  F.State.Primary.reset();
  F.update();
  CHECK(!F.D.admit(request(1), T0));
  CHECK(F.started().empty());
  CHECK(F.D.wakeAt(T0) == T0 + absl::Seconds(10));
  SUBCASE("a new primary is known before the deadline") {
    F.State.Primary = R1;
    F.State.CurrentTerm = Term(2);
    for (group::ServerState &S : F.State.Servers)
      S.Accepted = Term(2);
    F.update();
    CHECK(F.started() == std::vector<std::pair<uint64_t, TargetId>>{{1, R1}});
  }
  SUBCASE("no primary until the deadline") {
    CHECK(F.started(T0 + absl::Seconds(10)).empty());
    CHECK(F.Refused == std::vector<std::pair<uint64_t, Reason>>{{1, Reason::NoPrimary}});
    CHECK(F.D.queued() == 0);
  }
}

// Guards against reads of data that is older than allowed or behind the floor of the session.
TEST_CASE("a read goes to a replica within its floor and age, else to the primary") {
  Fixture F;
  group::ServerState &First = F.State.Servers[1];
  group::ServerState &Second = F.State.Servers[2];
  Instant Now = T0;
  TargetId Expected = R2;
  SUBCASE("position") { First.Applied = 9; }
  SUBCASE("age") { First.CaughtUpAt = T0 - absl::Seconds(31); }
  SUBCASE("unknown age") { First.CaughtUpAt = absl::InfinitePast(); }
  SUBCASE("unreachable") { First.Reachable = false; }
  SUBCASE("old term") { First.Accepted = Term(0); }
  SUBCASE("fenced") { First.CurrentRole = group::Role::Fenced; }
  SUBCASE("leaving") { F.Group.Targets[1].Status = TargetState::Leaving; }
  SUBCASE("joining") { F.Group.Targets[1].Status = TargetState::Joining; }
  SUBCASE("not listed") { F.Group.Targets.erase(F.Group.Targets.begin() + 1); }
  SUBCASE("no suitable replica") {
    First.Reachable = false;
    Second.CaughtUpAt = absl::InfinitePast();
    Expected = P;
  }
  SUBCASE("all behind until FloorWait has elapsed") {
    First.Applied = Second.Applied = 9;
    Now = T0 + absl::Milliseconds(50);
    Expected = P;
  }
  F.update();
  CHECK(!F.D.admit(readRequest(1, 10), T0));
  CHECK(F.started(Now) == std::vector<std::pair<uint64_t, TargetId>>{{1, Expected}});
}

// Guards against replicas that stay idle while another one is full.
TEST_CASE("reads are balanced over the replicas and spill to a primary with free slots") {
  Fixture F;
  for (uint64_t Id = 1; Id <= 10; ++Id)
    CHECK(!F.D.admit(readRequest(Id, 0), T0));
  std::map<TargetId, int> Load;
  for (const auto &[Id, At] : F.started())
    ++Load[At];
  CHECK(Load == std::map<TargetId, int>{{P, 2}, {R1, 3}, {R2, 3}});
}

// Guards against long reads that take the slots of the primary from short requests although a
// replica will have a free slot once it finishes another long read.
TEST_CASE("long reads wait for a replica and do not spill to the primary") {
  Fixture F;
  for (uint64_t Id = 1; Id <= 10; ++Id) {
    DispatchRequest R = readRequest(Id, 0);
    R.Class = WorkClass::Long;
    CHECK(!F.D.admit(R, T0));
  }
  std::map<TargetId, int> Load;
  for (const auto &[Id, At] : F.started())
    ++Load[At];
  CHECK(Load == std::map<TargetId, int>{{R1, 2}, {R2, 2}});
}

// Guards against reads that go to the primary although a replica is about to catch up.
TEST_CASE("a read waits for a replica that is behind its floor") {
  Fixture F;
  CHECK(!F.D.admit(readRequest(1, 12), T0));
  CHECK(F.started().empty());
  CHECK(F.D.wakeAt(T0) == T0 + absl::Milliseconds(50));
  F.D.observe(R2, {Term(1), 12});
  CHECK(F.started() == std::vector<std::pair<uint64_t, TargetId>>{{1, R2}});
}

// Guards against new work on a leaving target, outside its open transactions.
TEST_CASE("a leaving target gets only requests of its open transactions") {
  Fixture F;
  CHECK(!F.D.admit(request(1), T0));
  CHECK(F.started().size() == 1);
  F.D.ended(P, WorkClass::Short, std::nullopt);
  F.Group.Targets[0].Status = TargetState::Leaving;
  F.update();
  CHECK(!F.D.admit(request(2), T0));
  DispatchRequest InTransaction = request(3);
  InTransaction.Pinned = P;
  CHECK(!F.D.admit(InTransaction, T0));
  CHECK(ids(F.started()) == std::vector<uint64_t>{3});
}

// Guards against a deadlock: all slots are held by requests that wait for a lock of the
// transaction.
TEST_CASE("a request of an open transaction does not wait for a slot") {
  Fixture F;
  for (uint64_t Id : {1, 2, 3, 4})
    CHECK(!F.D.admit(request(Id), T0));
  CHECK(F.started().size() == 3);
  DispatchRequest InTransaction = request(5);
  InTransaction.Pinned = P;
  CHECK(!F.D.admit(InTransaction, T0));
  CHECK(ids(F.started()) == std::vector<uint64_t>{5});
}

// Guards against bursts of connection attempts, more connections than the server allows, and a busy
// loop while a target is unreachable.
TEST_CASE("connections are opened one at a time, within the limit, with backoff after a failure") {
  Fixture F;
  for (uint64_t Id = 1; Id <= 3; ++Id)
    CHECK(!F.D.admit(request(Id), T0));
  std::vector<Action> First = F.D.next(T0);
  REQUIRE(First.size() == 1);
  CHECK(First[0].Kind == ActionKind::Open);
  CHECK(F.D.next(T0).empty());
  F.D.connectFailed(P, T0);
  CHECK(F.D.next(T0).empty());
  Instant Again = F.D.wakeAt(T0);
  CHECK(Again > T0);
  CHECK(Again < T0 + absl::Seconds(1));
  CHECK(F.D.next(Again).size() == 1);
  CHECK(F.D.wakeAt(Again) == T0 + absl::Seconds(10));
  F.D.connected(P);
  F.started();
  CHECK(F.D.load(P).Executing == 3);
  CHECK(F.D.load(P).Connections <= 5);
}

// Guards against a FIFO baseline that separates classes or callers, so that comparisons with it
// show no difference.
TEST_CASE("by arrival: one queue without classes, round robin or a reserved slot") {
  Fixture F(1000, QueueOrder::ByArrival);
  F.D.admit(longRequest(1), T0);
  F.D.admit(longRequest(2), T0);
  F.D.admit(longRequest(3), T0);
  for (uint64_t Id : {4, 5})
    F.D.admit(request(Id, "busy"), T0);
  F.D.admit(longRequest(6), T0);
  F.D.admit(request(7, "quiet"), T0);
  CHECK(ids(F.started()) == std::vector<uint64_t>{1, 2, 3});
  for (int I = 0; I < 3; ++I)
    F.end(P, WorkClass::Long);
  CHECK(ids(F.started()) == std::vector<uint64_t>{4, 5, 6});
  F.end(P);
  CHECK(ids(F.started()) == std::vector<uint64_t>{7});
}

// Guards against a FIFO baseline with a separate queue for each kind of target.
TEST_CASE("by arrival: a request that cannot start blocks later ones for any target") {
  Fixture F(1000, QueueOrder::ByArrival);
  for (uint64_t Id : {1, 2, 3, 4})
    F.D.admit(request(Id), T0);
  F.D.admit(readRequest(5, 10), T0);
  CHECK(ids(F.started()) == std::vector<uint64_t>{1, 2, 3});
  CHECK(F.D.queued() == 2);
  F.end(P);
  auto Started = F.started();
  CHECK(ids(Started) == std::vector<uint64_t>{4, 5});
  REQUIRE(Started.size() == 2);
  CHECK(Started[1].second != P);
}

// Guards against a FIFO baseline that violates the floor of a session or never uses the replicas.
TEST_CASE(
    "by arrival: a read goes to a replica that has reached its floor, or at once to the primary") {
  Fixture F(1000, QueueOrder::ByArrival);
  F.D.admit(readRequest(1, 10), T0);
  auto Current = F.started();
  REQUIRE(Current.size() == 1);
  CHECK(Current[0].second != P);
  F.D.admit(readRequest(2, 11), T0);
  CHECK(F.started() == std::vector<std::pair<uint64_t, TargetId>>{{2, P}});
}

// Guards against a requeued request that loses its place, and against a wrong count per class.
TEST_CASE("by arrival: a requeued request starts first, and one queue limit applies") {
  Fixture F(2, QueueOrder::ByArrival);
  F.D.admit(longRequest(1), T0);
  CHECK(ids(F.started()) == std::vector<uint64_t>{1});
  F.D.closed(P, false);
  F.D.ended(P, WorkClass::Long, std::nullopt);
  F.D.admit(request(2, "b"), T0);
  F.D.requeue(longRequest(1));
  auto Refused = F.D.admit(request(3, "c"), T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueFull);
  CHECK(ids(F.started()) == std::vector<uint64_t>{1, 2});
}

// Guards against requests that wait for a primary that only another instance reaches, and against
// refusal of reads that a replica can still serve.
TEST_CASE("requests that wait for a primary that only another instance reaches are refused") {
  Fixture F;
  F.State.Servers[0].Reachable = false;
  F.update();
  F.D.admit(request(1), T0);
  F.D.admit(readRequest(2, 11), T0); // no replica has reached its floor
  F.D.admit(readRequest(3, 5), T0);
  CHECK(F.started().size() == 1);
  CHECK(F.Refused.empty());
  F.State.RedirectTo = group::Observer{.Id = InstanceId("c"), .ValidUntil = T0 + absl::Seconds(2)};
  F.update();
  F.started();
  using Refusals = std::vector<std::pair<uint64_t, Reason>>;
  CHECK(F.Refused == Refusals{{1, Reason::PrimaryNotReached}});
  F.started(T0 + absl::Milliseconds(60));
  CHECK(F.Refused == Refusals{{1, Reason::PrimaryNotReached}, {2, Reason::PrimaryNotReached}});
  CHECK(F.D.queued() == 0);
  // Once the report of the other instance has expired, requests wait for the primary again.
  F.D.admit(request(4), T0 + absl::Seconds(2));
  F.started(T0 + absl::Seconds(2));
  CHECK(F.Refused.size() == 2);
  CHECK(F.D.queued() == 1);
}
