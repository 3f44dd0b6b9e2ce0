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

Ticket ticket(uint64_t Id, std::string Key = "a") {
  return {.Id = TicketId(Id),
          .FairnessKey = std::move(Key),
          .Arrived = T0,
          .Deadline = T0 + absl::Seconds(10)};
}

Ticket longTicket(uint64_t Id) {
  Ticket T = ticket(Id);
  T.Class = WorkClass::Long;
  return T;
}

Ticket readTicket(uint64_t Id, uint64_t Floor) {
  Ticket T = ticket(Id);
  T.ReplicaAllowed = true;
  T.MaxAge = absl::Seconds(30);
  T.Floor = {Term(1), Floor};
  return T;
}

// A group of three servers with three slots; both replicas have applied position 10.
struct Bench {
  explicit Bench(size_t QueueLimit = 1000, QueueOrder Order = QueueOrder::ByClassAndCaller)
      : D({.QueueLimit = QueueLimit, .FloorWait = absl::Milliseconds(50), .Order = Order}) {
    this->Group.Targets = {{.Id = P}, {.Id = R1}, {.Id = R2}};
    this->Group.SlotsPerTarget = 3;
    this->Group.ConnectionsPerTarget = 5;
    this->State = {.Current = Term(1), .Primary = P};
    for (const TargetId &Id : {P, R1, R2})
      this->State.Servers.push_back({.Id = Id,
                                     .Reachable = true,
                                     .Is = Id == P ? group::Role::Primary : group::Role::Replica,
                                     .Accepted = Term(1),
                                     .Applied = 10,
                                     .CurrentAt = T0});
    this->update();
  }
  void update() {
    this->D.setGroup(this->Group);
    this->D.setState(&this->State);
  }
  // Opens enough connections everywhere and returns the requests started since the last call, with
  // their targets.
  std::vector<std::pair<uint64_t, TargetId>> started(Instant Now = T0) {
    std::vector<std::pair<uint64_t, TargetId>> Out;
    for (bool More = true; More;) {
      More = false;
      for (const Action &A : this->D.next(Now)) {
        if (A.Kind == ActionKind::Open)
          this->D.connected(A.At);
        if (A.Kind == ActionKind::Start)
          Out.emplace_back(A.Request.Value, A.At);
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

// Guards against one caller with many requests that delays all others.
TEST_CASE("keys are served in round robin") {
  FairQueue Q;
  for (uint64_t Id : {1, 2, 3})
    Q.push(ticket(Id, "busy"));
  Q.push(ticket(4, "quiet"));
  Q.push(ticket(5, "gone"));
  CHECK(Q.remove(TicketId(5)));
  std::vector<uint64_t> Order;
  while (auto T = Q.take([](const Ticket &) { return true; }, 9))
    Order.push_back(T->Id.Value);
  CHECK(Order == std::vector<uint64_t>{1, 4, 2, 3});
  CHECK(Q.empty());
}

// Guards against short work that waits for a slot held by long work.
TEST_CASE("long work never takes the last slot") {
  Bench B;
  for (uint64_t Id : {1, 2, 3})
    CHECK(!B.D.admit(longTicket(Id), T0));
  CHECK(ids(B.started()) == std::vector<uint64_t>{1, 2});
  CHECK(!B.D.admit(ticket(4), T0));
  CHECK(ids(B.started()) == std::vector<uint64_t>{4});
  CHECK(!B.D.admit(ticket(5), T0));
  CHECK(B.started().empty());
  B.end(P, WorkClass::Long);
  CHECK(ids(B.started()) == std::vector<uint64_t>{5});
}

// Guards against long work that takes the slots which the present short work needs.
TEST_CASE("long work leaves slots to the short work of the last seconds") {
  Bench B;
  Instant Now = T0;
  uint64_t Id = 0;
  CHECK(!B.D.admit(ticket(++Id), T0));
  CHECK(!B.D.admit(ticket(++Id), T0));
  CHECK(B.started(Now).size() == 2);
  Now += absl::Seconds(10);
  CHECK(B.started(Now).empty());
  B.end(P);
  B.end(P);
  for (int I = 0; I < 3; ++I) {
    Ticket T = longTicket(++Id);
    T.Deadline = Now + absl::Seconds(1000);
    CHECK(!B.D.admit(T, Now));
  }
  CHECK(B.started(Now).size() == 1);
  CHECK(B.started(Now + absl::Seconds(120)).size() == 1);
}

// Guards against requests that wait in vain, and against refusals without a hint.
TEST_CASE("admission refuses what cannot start in time") {
  Bench B(100);
  uint64_t Id = 0;
  while (Id < 50)
    CHECK(!B.D.admit(ticket(++Id), T0));
  Ticket Hurried = ticket(++Id);
  Hurried.Deadline = T0 + absl::Milliseconds(1);
  auto Refused = B.D.admit(Hurried, T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueDeadline);
  CHECK(Refused->RetryAfter > absl::ZeroDuration());
  while (Id < 101)
    CHECK(!B.D.admit(ticket(++Id), T0));
  Refused = B.D.admit(ticket(++Id), T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueFull);
}

// Guards against refused callers that all return together, to a queue that has run empty meanwhile,
// and against ever longer hints for callers that do not return.
TEST_CASE("refused callers are told to return at the rate of service") {
  Bench B(100);
  uint64_t Id = 0;
  auto Refuse = [&](int Times) {
    std::optional<Refusal> Last;
    for (int I = 0; I < Times; ++I)
      Last = B.D.admit(ticket(++Id), T0);
    REQUIRE(Last);
    CHECK(Last->Why == Reason::QueueFull);
    return Last->RetryAfter;
  };
  for (int I = 0; I < 100; ++I)
    CHECK(!B.D.admit(ticket(++Id), T0));
  CHECK(Refuse(1) <= absl::Milliseconds(30));
  // Three slots and 2 ms for each request before any has ended: 1.5 returns in a millisecond.
  absl::Duration Last = Refuse(2999);
  CHECK(Last >= absl::Milliseconds(1900));
  CHECK(Last <= absl::Seconds(3));
  CHECK(Refuse(100'000) <= absl::Seconds(45));
  for (uint64_t Waiting = 1; Waiting <= 60; ++Waiting)
    CHECK(B.D.remove(TicketId(Waiting)));
  for (int I = 0; I < 60; ++I)
    CHECK(!B.D.admit(ticket(++Id), T0));
  CHECK(Refuse(1) <= absl::Milliseconds(30));
}

// Guards against requests that are refused too early during a change of primary, or never.
TEST_CASE("requests wait for a primary until their deadline") {
  Bench B;
  B.State.Primary.reset();
  B.update();
  CHECK(!B.D.admit(ticket(1), T0));
  CHECK(B.started().empty());
  CHECK(B.D.wakeAt(T0) == T0 + absl::Seconds(10));
  SUBCASE("which comes") {
    B.State.Primary = R1;
    B.State.Current = Term(2);
    for (group::ServerState &S : B.State.Servers)
      S.Accepted = Term(2);
    B.update();
    CHECK(B.started() == std::vector<std::pair<uint64_t, TargetId>>{{1, R1}});
  }
  SUBCASE("which does not come") {
    CHECK(B.started(T0 + absl::Seconds(10)).empty());
    CHECK(B.Refused == std::vector<std::pair<uint64_t, Reason>>{{1, Reason::NoPrimary}});
    CHECK(B.D.queued() == 0);
  }
}

// Guards against reads of a state that is too old or before the floor of the session.
TEST_CASE("choice of the target of a read") {
  Bench B;
  group::ServerState &First = B.State.Servers[1];
  group::ServerState &Second = B.State.Servers[2];
  Instant Now = T0;
  TargetId Want = R2;
  SUBCASE("position") { First.Applied = 9; }
  SUBCASE("age") { First.CurrentAt = T0 - absl::Seconds(31); }
  SUBCASE("unknown age") { First.CurrentAt = absl::InfinitePast(); }
  SUBCASE("unreachable") { First.Reachable = false; }
  SUBCASE("old term") { First.Accepted = Term(0); }
  SUBCASE("fenced") { First.Is = group::Role::Fenced; }
  SUBCASE("leaving") { B.Group.Targets[1].Status = TargetState::Leaving; }
  SUBCASE("joining") { B.Group.Targets[1].Status = TargetState::Joining; }
  SUBCASE("not listed") { B.Group.Targets.erase(B.Group.Targets.begin() + 1); }
  SUBCASE("none suits") {
    First.Reachable = false;
    Second.CurrentAt = absl::InfinitePast();
    Want = P;
  }
  SUBCASE("all behind for long") {
    First.Applied = Second.Applied = 9;
    Now = T0 + absl::Milliseconds(50);
    Want = P;
  }
  B.update();
  CHECK(!B.D.admit(readTicket(1, 10), T0));
  CHECK(B.started(Now) == std::vector<std::pair<uint64_t, TargetId>>{{1, Want}});
}

// Guards against replicas that idle beside a full one.
TEST_CASE("reads are spread over replicas and spill to a primary with room") {
  Bench B;
  for (uint64_t Id = 1; Id <= 10; ++Id)
    CHECK(!B.D.admit(readTicket(Id, 0), T0));
  std::map<TargetId, int> Load;
  for (const auto &[Id, At] : B.started())
    ++Load[At];
  CHECK(Load == std::map<TargetId, int>{{P, 2}, {R1, 3}, {R2, 3}});
}

// Guards against long reads that take the primary's slots from short requests while the replicas
// only have to finish other long reads.
TEST_CASE("long reads wait for a replica and do not spill to the primary") {
  Bench B;
  for (uint64_t Id = 1; Id <= 10; ++Id) {
    Ticket T = readTicket(Id, 0);
    T.Class = WorkClass::Long;
    CHECK(!B.D.admit(T, T0));
  }
  std::map<TargetId, int> Load;
  for (const auto &[Id, At] : B.started())
    ++Load[At];
  CHECK(Load == std::map<TargetId, int>{{R1, 2}, {R2, 2}});
}

// Guards against a read that goes to the primary although a replica is about to catch up.
TEST_CASE("a replica that is behind is waited for") {
  Bench B;
  CHECK(!B.D.admit(readTicket(1, 12), T0));
  CHECK(B.started().empty());
  CHECK(B.D.wakeAt(T0) == T0 + absl::Milliseconds(50));
  B.D.observe(R2, {Term(1), 12});
  CHECK(B.started() == std::vector<std::pair<uint64_t, TargetId>>{{1, R2}});
}

// Guards against work on a target that leaves, except in its open transactions.
TEST_CASE("a leaving target finishes its transactions only") {
  Bench B;
  CHECK(!B.D.admit(ticket(1), T0));
  CHECK(B.started().size() == 1);
  B.D.ended(P, WorkClass::Short, std::nullopt);
  B.Group.Targets[0].Status = TargetState::Leaving;
  B.update();
  CHECK(!B.D.admit(ticket(2), T0));
  Ticket InTransaction = ticket(3);
  InTransaction.Pinned = P;
  CHECK(!B.D.admit(InTransaction, T0));
  CHECK(ids(B.started()) == std::vector<uint64_t>{3});
}

// Guards against a deadlock: all slots held by requests that wait for a lock of the transaction.
TEST_CASE("a request of an open transaction does not wait for a slot") {
  Bench B;
  for (uint64_t Id : {1, 2, 3, 4})
    CHECK(!B.D.admit(ticket(Id), T0));
  CHECK(B.started().size() == 3);
  Ticket InTransaction = ticket(5);
  InTransaction.Pinned = P;
  CHECK(!B.D.admit(InTransaction, T0));
  CHECK(ids(B.started()) == std::vector<uint64_t>{5});
}

// Guards against a storm of connection attempts, more connections than the server allows, and a
// loop that spins while a target cannot be reached.
TEST_CASE("connections are opened one at a time, within the limit, with a pause after a failure") {
  Bench B;
  for (uint64_t Id = 1; Id <= 3; ++Id)
    CHECK(!B.D.admit(ticket(Id), T0));
  std::vector<Action> First = B.D.next(T0);
  REQUIRE(First.size() == 1);
  CHECK(First[0].Kind == ActionKind::Open);
  CHECK(B.D.next(T0).empty());
  B.D.connectFailed(P, T0);
  CHECK(B.D.next(T0).empty());
  Instant Again = B.D.wakeAt(T0);
  CHECK(Again > T0);
  CHECK(Again < T0 + absl::Seconds(1));
  CHECK(B.D.next(Again).size() == 1);
  CHECK(B.D.wakeAt(Again) == T0 + absl::Seconds(10));
  B.D.connected(P);
  B.started();
  CHECK(B.D.load(P).Executing == 3);
  CHECK(B.D.load(P).Connections <= 5);
}

// Guards against a baseline that has classes, or turns between callers, and so measures no
// difference.
TEST_CASE("by arrival: one queue without classes, callers in turn or a reserved slot") {
  Bench B(1000, QueueOrder::ByArrival);
  B.D.admit(longTicket(1), T0);
  B.D.admit(longTicket(2), T0);
  B.D.admit(longTicket(3), T0);
  for (uint64_t Id : {4, 5})
    B.D.admit(ticket(Id, "busy"), T0);
  B.D.admit(longTicket(6), T0);
  B.D.admit(ticket(7, "quiet"), T0);
  CHECK(ids(B.started()) == std::vector<uint64_t>{1, 2, 3});
  for (int I = 0; I < 3; ++I)
    B.end(P, WorkClass::Long);
  CHECK(ids(B.started()) == std::vector<uint64_t>{4, 5, 6});
  B.end(P);
  CHECK(ids(B.started()) == std::vector<uint64_t>{7});
}

// Guards against a FIFO that is one queue for each kind of target.
TEST_CASE("by arrival: a request that cannot start keeps later ones waiting, whatever target") {
  Bench B(1000, QueueOrder::ByArrival);
  for (uint64_t Id : {1, 2, 3, 4})
    B.D.admit(ticket(Id), T0);
  B.D.admit(readTicket(5, 10), T0);
  CHECK(ids(B.started()) == std::vector<uint64_t>{1, 2, 3});
  CHECK(B.D.queued() == 2);
  B.end(P);
  auto Started = B.started();
  CHECK(ids(Started) == std::vector<uint64_t>{4, 5});
  REQUIRE(Started.size() == 2);
  CHECK(Started[1].second != P);
}

// Guards against a baseline that breaks the session guarantee, or never uses the replicas.
TEST_CASE("by arrival: a read goes to a replica that has its floor, or at once to the primary") {
  Bench B(1000, QueueOrder::ByArrival);
  B.D.admit(readTicket(1, 10), T0);
  auto Current = B.started();
  REQUIRE(Current.size() == 1);
  CHECK(Current[0].second != P);
  B.D.admit(readTicket(2, 11), T0);
  CHECK(B.started() == std::vector<std::pair<uint64_t, TargetId>>{{2, P}});
}

// Guards against a request that did not run and loses its place, or the count of its class.
TEST_CASE("by arrival: a request that is put back starts first, and the queue has one limit") {
  Bench B(2, QueueOrder::ByArrival);
  B.D.admit(longTicket(1), T0);
  CHECK(ids(B.started()) == std::vector<uint64_t>{1});
  B.D.closed(P, false);
  B.D.ended(P, WorkClass::Long, std::nullopt);
  B.D.admit(ticket(2, "b"), T0);
  B.D.requeue(longTicket(1));
  auto Refused = B.D.admit(ticket(3, "c"), T0);
  REQUIRE(Refused);
  CHECK(Refused->Why == Reason::QueueFull);
  CHECK(ids(B.started()) == std::vector<uint64_t>{1, 2});
}

// Guards against requests that wait for a primary which only another instance reaches, and against
// reads sent away that a replica here may serve.
TEST_CASE("what waits for a primary that another instance reaches is refused") {
  Bench B;
  B.State.Servers[0].Reachable = false;
  B.update();
  B.D.admit(ticket(1), T0);
  B.D.admit(readTicket(2, 11), T0); // no replica has reached its floor
  B.D.admit(readTicket(3, 5), T0);
  CHECK(B.started().size() == 1);
  CHECK(B.Refused.empty());
  B.State.ReachedBy = group::Observer{.Id = InstanceId("c"), .Until = T0 + absl::Seconds(2)};
  B.update();
  B.started();
  using Refusals = std::vector<std::pair<uint64_t, Reason>>;
  CHECK(B.Refused == Refusals{{1, Reason::PrimaryNotReached}});
  B.started(T0 + absl::Milliseconds(60));
  CHECK(B.Refused == Refusals{{1, Reason::PrimaryNotReached}, {2, Reason::PrimaryNotReached}});
  CHECK(B.D.queued() == 0);
  // After the hint the request waits for the primary again.
  B.D.admit(ticket(4), T0 + absl::Seconds(2));
  B.started(T0 + absl::Seconds(2));
  CHECK(B.Refused.size() == 2);
  CHECK(B.D.queued() == 1);
}
