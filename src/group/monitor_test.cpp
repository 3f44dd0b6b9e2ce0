#include "group/test_simulation.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::group;

namespace {

constexpr size_t NoServer = 99;

size_t primaryOf(const Simulation::Daemon &D) {
  const std::optional<TargetId> &P = D.Machine.state().Primary;
  return P ? std::stoul(P->Value.substr(1)) : NoServer;
}

size_t count(const Simulation::Daemon &D, Step S) {
  return std::count_if(D.Steps.begin(), D.Steps.end(),
                       [S](const StepAction &A) { return A.Kind == S; });
}

size_t probesOf(const Simulation::Daemon &D, size_t I) {
  return std::count_if(D.Calls.begin(), D.Calls.end(), [I](const CallAction &C) {
    return C.Server == idOf(I) && C.OnLane == Lane::Probe;
  });
}

const ServerState &serverOf(const Simulation::Daemon &D, size_t I) {
  return D.Machine.state().Servers[I];
}

const InstanceId Peer1("p1");
const InstanceId Peer2("p2");

} // namespace

// Guards against a new group that never gets a primary, or gets more than one.
TEST_CASE("the owner establishes the first term of a new group") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  Simulation::Daemon &Reader = S.add(S.config(false));
  S.run(absl::Milliseconds(700));
  CHECK(primaryOf(D) == 0);
  CHECK(primaryOf(Reader) == 0);
  CHECK(D.Machine.state().Current == Term(1));
  CHECK(count(D, Step::Finished) == 1);
  CHECK(count(Reader, Step::Started) == 0);
  CHECK(S.Servers[1].Is == Role::Replica);
  CHECK(S.Servers[2].Matched == 1);
}

TEST_CASE("a stopped primary is replaced within a second") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Refusing.insert(0);
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 1);
  CHECK(D.Machine.state().Current == Term(2));
  CHECK(S.Servers[2].Following == "10.0.0.1:5432");
  CHECK(D.Steps.back().Kind == Step::Finished);
  CHECK(D.Steps.back().Cause == "refused");
}

// Guards against a primary that keeps its connections open and does not answer.
TEST_CASE("a frozen primary is suspected after three probes and replaced") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Frozen.insert(0);
  S.run(absl::Milliseconds(800));
  CHECK(count(D, Step::Suspected) == 0);
  CHECK(primaryOf(D) == 0);
  S.run(absl::Milliseconds(600));
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "unreachable");
}

// Guards against a change of primary because of a broken path between one daemon and the primary.
TEST_CASE("the primary stays while a second observer reaches it in its term") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true, {Peer1, Peer2}));
  size_t Asked = 0;
  S.Peer = [&](const AskPeerAction &) {
    ++Asked;
    return std::make_pair(true, Term(1));
  };
  S.run(absl::Seconds(1));
  D.Cut.insert(0);
  S.run(absl::Seconds(6));
  CHECK(count(D, Step::Started) == 1); // of the first term
  CHECK(count(D, Step::PrimaryKept) >= 2);
  CHECK(Asked <= 14); // two observers at most once a second
  CHECK(primaryOf(D) == 0);
  CHECK_FALSE(serverOf(D, 0).Reachable);
  D.Cut.clear();
  S.run(absl::Seconds(1));
  CHECK(serverOf(D, 0).Reachable);
  CHECK(S.Servers[0].Accepted == 1);
}

namespace {

// A group of which the owner has lost the primary, with two observers that reach it.
struct CutOff {
  Simulation S{3};
  Simulation::Daemon &D = S.add(S.config(true, {Peer1, Peer2}));
  std::map<InstanceId, bool> Reaches = {{Peer1, true}, {Peer2, true}};

  CutOff() {
    S.Peer = [this](const AskPeerAction &A) {
      bool Reached = this->Reaches[A.Peer];
      return std::make_pair(Reached, Reached ? Term(1) : Term());
    };
    S.run(absl::Seconds(1));
    D.Cut.insert(0);
    S.run(absl::Milliseconds(1500));
  }
  const std::optional<Observer> &hint() const { return D.Machine.state().ReachedBy; }
  std::string_view endCause() const {
    return D.Steps.back().Kind == Step::RedirectEnded ? D.Steps.back().Cause : "";
  }
};

} // namespace

// Guards against writes that wait at an owner that cannot serve them, and against a hint that ends
// while an observer still reaches the primary, or moves between observers that both do.
TEST_CASE("the owner names one observer for as long as it reaches the primary") {
  CutOff C;
  REQUIRE(C.hint());
  InstanceId First = C.hint()->Id;
  for (int I = 0; I < 1000; ++I) {
    C.S.run(absl::Milliseconds(10));
    REQUIRE(C.hint());
    CHECK(C.hint()->Id == First);
    CHECK(C.hint()->Until > C.S.Now);
    CHECK(C.hint()->Until <= C.S.Now + absl::Seconds(2));
  }
  CHECK(count(C.D, Step::Redirected) == 1);
  CHECK(count(C.D, Step::Started) == 1); // of the first term
}

// Guards against requests that are sent away from an owner that can serve them.
TEST_CASE("the hint ends when the owner reaches the primary again") {
  CutOff C;
  REQUIRE(C.hint());
  C.D.Cut.clear();
  C.S.run(absl::Milliseconds(400));
  CHECK_FALSE(C.hint());
  CHECK(C.endCause() == "reached");
}

TEST_CASE("the hint expires when no observer answers any more") {
  CutOff C;
  REQUIRE(C.hint());
  Instant Until = C.hint()->Until;
  // Without a majority no observer is asked and no change starts.
  C.D.Cut.insert(1);
  C.S.run(Until - C.S.Now - absl::Milliseconds(1));
  REQUIRE(C.hint());
  CHECK(C.hint()->Until == Until);
  C.S.run(absl::Milliseconds(2));
  CHECK_FALSE(C.hint());
  CHECK(C.endCause() == "expired");
}

// Guards against a hint to an observer of an earlier term.
TEST_CASE("the hint ends when the primary changes") {
  CutOff C;
  REQUIRE(C.hint());
  SUBCASE("by another proposer") {
    for (size_t I : {1, 2})
      C.S.Servers[I].accept(9, "other");
    C.S.Servers[2].promote(9, "other");
    C.S.Servers[1].follow(9, "10.0.0.2:5432");
    C.S.run(absl::Milliseconds(700));
    CHECK(primaryOf(C.D) == 2);
  }
  SUBCASE("by the owner, when the observers do not reach it either") {
    C.Reaches = {{Peer1, false}, {Peer2, false}};
    C.S.run(absl::Seconds(2));
    CHECK(primaryOf(C.D) == 1);
  }
  CHECK_FALSE(C.hint());
}

// Guards against requests that are sent to an instance that has died or left.
TEST_CASE("the hint ends with its observer and passes to another one") {
  CutOff C;
  REQUIRE(C.hint());
  InstanceId First = C.hint()->Id;
  InstanceId Other = First == Peer1 ? Peer2 : Peer1;
  SUBCASE("that left the members") {
    C.S.perform(C.D, C.D.Machine.configure(C.S.config(true, {Other}), C.S.Now));
    CHECK_FALSE(C.hint());
    CHECK(C.endCause() == "observer_gone");
    C.S.run(absl::Seconds(2));
  }
  SUBCASE("that lost the primary itself") {
    C.Reaches[First] = false;
    C.S.run(absl::Seconds(2));
  }
  REQUIRE(C.hint());
  CHECK(C.hint()->Id == Other);
  CHECK(primaryOf(C.D) == 0);
}

TEST_CASE("only the owner gives a hint") {
  CutOff C;
  REQUIRE(C.hint());
  C.S.perform(C.D, C.D.Machine.configure(C.S.config(false, {Peer1, Peer2}), C.S.Now));
  CHECK_FALSE(C.hint());
}

// Guards against an owner that has never reached the primary and keeps the requests.
TEST_CASE("a new owner that cannot reach the primary names an observer") {
  Simulation S(3);
  S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Peer = [](const AskPeerAction &) { return std::make_pair(true, Term(1)); };
  Simulation::Daemon &D = S.add(S.config(false, {Peer1}));
  D.Cut.insert(0);
  S.perform(D, D.Machine.configure(S.config(true, {Peer1}), S.Now));
  S.run(absl::Seconds(2));
  REQUIRE(D.Machine.state().ReachedBy);
  CHECK(D.Machine.state().ReachedBy->Id == Peer1);
  CHECK(count(D, Step::Started) == 0);
}

// Guards against a failover that waits for an observer for good, or takes an answer of another
// term as proof that the primary serves.
TEST_CASE("an observer that is silent, negative or in another term does not stop the change") {
  using Reach = std::optional<std::pair<bool, Term>>;
  for (const Reach &Answer :
       {Reach(), Reach(std::make_pair(false, Term())), Reach(std::make_pair(true, Term(7)))}) {
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true, {Peer1}));
    S.run(absl::Seconds(1));
    S.Peer = [&](const AskPeerAction &) { return Answer; };
    S.Refusing.insert(0);
    S.run(absl::Seconds(1));
    CHECK(primaryOf(D) == 1);
  }
}

// Guards against an old primary that stays primary or fenced, or keeps unacknowledged writes.
TEST_CASE("an old primary that returns follows and loses its unacknowledged suffix") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Held = {1, 2};
  S.write(0, 1);
  S.Frozen.insert(0);
  S.run(absl::Seconds(2));
  S.Held.clear();
  CHECK(primaryOf(D) == 1);
  CHECK(S.Servers[0].Is == Role::Primary); // it has not heard of the new term
  S.write(1, 2);
  S.Frozen.clear();
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 1);
  CHECK(S.Servers[0].Is == Role::Replica);
  CHECK(S.Servers[0].Matched == S.Servers[1].Log.size());
  CHECK(S.Servers[0].Log[1].InTerm == 2);
}

TEST_CASE("a server that follows another one is told to follow the primary") {
  Simulation S(3);
  S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Servers[2].follow(1, "10.0.0.1:5432");
  S.run(absl::Seconds(1));
  CHECK(S.Servers[2].Following == "10.0.0.0:5432");
}

// Guards against promotion without a majority: the owner sees one server of three only.
TEST_CASE("no change of primary without a majority") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  D.Cut = {0, 1};
  S.run(absl::Seconds(5));
  CHECK(count(D, Step::Started) == 1);
  CHECK(S.Servers[2].Accepted == 1);
}

// Guards against two owners that overtake each other's terms for ever.
TEST_CASE("two owners settle on one primary") {
  for (uint64_t Round = 0; Round < 20; ++Round) {
    Simulation S(3);
    S.Now += absl::Milliseconds(Round);
    Simulation::Daemon &A = S.add(S.config(true));
    S.run(absl::Milliseconds(Round % 4));
    Simulation::Daemon &B = S.add(S.config(true));
    S.run(absl::Seconds(2));
    REQUIRE(primaryOf(A) != NoServer);
    CHECK(primaryOf(A) == primaryOf(B));
    size_t Old = primaryOf(A);
    S.Refusing.insert(Old);
    S.run(absl::Seconds(3));
    REQUIRE(primaryOf(A) != NoServer);
    CHECK(primaryOf(A) != Old);
    CHECK(primaryOf(A) == primaryOf(B));
    CHECK(A.Machine.state().Current == B.Machine.state().Current);
  }
}

// Guards against a daemon that insists on a primary it promoted after another one was promoted.
TEST_CASE("a proposer that learns of a higher term follows what the servers say") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  for (size_t I : {1, 2})
    S.Servers[I].accept(9, "other");
  S.Servers[2].promote(9, "other");
  S.Servers[1].follow(9, "10.0.0.2:5432");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 2);
  CHECK(D.Machine.state().Current == Term(9));
  CHECK(S.Servers[0].Following == "10.0.0.2:5432");
  CHECK(count(D, Step::Started) == 1);
}

// Guards against a server that stays fenced for good after a proposer died in its first call.
TEST_CASE("a minority in a later term is taken in by a new term") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Servers[2].accept(5, "other");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0); // the other proposer may still go on
  S.run(absl::Seconds(3));
  CHECK(D.Machine.state().Current == Term(6));
  CHECK(S.Servers[2].Is == Role::Replica);
}

// Guards against a leaving primary that stays, and against a change before others have caught up.
TEST_CASE("a leaving primary is replaced once the others have caught up") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Held = {1, 2};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  MonitorConfig C = S.config(true);
  C.Servers[0].IsLeaving = true;
  S.perform(D, D.Machine.configure(C, S.Now));
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 0);
  S.Held.clear();
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "leaving");
  CHECK(S.Servers[1].Log.size() == 3); // term start, write, term start
  CHECK(S.Servers[0].Is == Role::Replica);
  S.run(absl::Seconds(5));
  CHECK(D.Machine.state().Current == Term(2));
}

// Guards against a watcher that changes anything: only the owner may.
// Guards against a transaction that is rolled back by a change that could have waited, and against
// a transaction that keeps a leaving primary in its place.
TEST_CASE("a leaving primary keeps its transactions for a while") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  MonitorConfig Leaving = S.config(true);
  Leaving.Servers[0].IsLeaving = true;
  S.perform(D, D.Machine.configure(Leaving, S.Now));
  S.perform(D, D.Machine.usePrimary(PrimaryUse::Transactions, S.Now));
  CHECK(D.Machine.state().AwaitsTransactions);
  SUBCASE("until they have ended") {
    S.run(absl::Seconds(4));
    CHECK(primaryOf(D) == 0);
    S.perform(D, D.Machine.usePrimary(PrimaryUse::Requests, S.Now));
    CHECK_FALSE(D.Machine.state().AwaitsTransactions);
    S.run(absl::Milliseconds(500));
    CHECK(primaryOf(D) == 0);
    S.perform(D, D.Machine.usePrimary(PrimaryUse::None, S.Now));
    S.run(absl::Seconds(1));
  }
  SUBCASE("for 5 s at most") {
    S.run(absl::Milliseconds(4500));
    CHECK(primaryOf(D) == 0);
    S.run(absl::Milliseconds(1500));
  }
  CHECK_FALSE(D.Machine.state().AwaitsTransactions);
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "leaving");
}

TEST_CASE("a daemon that does not own the database only reads") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(false));
  S.run(absl::Seconds(2));
  S.Servers[0].accept(1, "x");
  S.Servers[0].promote(1, "x");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0);
  S.Refusing.insert(0);
  S.run(absl::Seconds(2));
  for (const CallAction &C : D.Calls)
    CHECK(C.Request.Kind == CallKind::Status);
}

// Guards against more than one waiting call for each replica, and against a confirmation that
// comes before a replica has the write.
TEST_CASE("writes are confirmed by one waiting call for each replica") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Held = {1, 2};
  Instant Deadline = S.Now + absl::Seconds(3);
  for (uint64_t I = 1; I <= 10; ++I)
    S.perform(D, D.Machine.confirm(I, S.write(0, static_cast<int>(I)), Deadline, S.Now));
  S.run(absl::Milliseconds(100));
  CHECK(D.Confirmed.empty());
  size_t Waits = std::count_if(D.Calls.begin(), D.Calls.end(), [](const CallAction &C) {
    return C.Request.Kind == CallKind::Wait;
  });
  CHECK(Waits == 2);
  S.Held = {2};
  S.run(absl::Milliseconds(20));
  CHECK(D.Confirmed.size() == 10);
  CHECK(D.Confirmed[10] == ConfirmResult::Confirmed);
}

// Guards against a write that is reported as confirmed after its primary was replaced.
TEST_CASE("a write that no replica has ends with the term") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  S.Held = {1, 2};
  S.perform(D, D.Machine.confirm(1, S.write(0, 1), S.Now + absl::Seconds(9), S.Now));
  S.Refusing.insert(0);
  S.run(absl::Seconds(2));
  REQUIRE(D.Confirmed.contains(1));
  CHECK(D.Confirmed[1] == ConfirmResult::TermChanged);
}

// Guards against a verified read that waits for the next regular probe, and against one that a
// primary without a majority answers.
TEST_CASE("verify returns the primary's position within a round trip") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Milliseconds(1050));
  LogPosition At = S.write(0, 1);
  S.perform(D, D.Machine.verify(1, S.Now + absl::Seconds(1), S.Now));
  S.run(absl::Milliseconds(10));
  REQUIRE(D.Verified.contains(1));
  CHECK((D.Verified[1] == At));
  D.Cut = {1, 2};
  S.perform(D, D.Machine.verify(2, S.Now + absl::Seconds(1), S.Now));
  S.run(absl::Seconds(2));
  REQUIRE(D.Verified.contains(2));
  CHECK_FALSE(D.Verified[2].has_value());
}

// Guards against an age that is too low: for a replica that lags, and for a whole side of a
// partition that no longer knows whether there is a newer primary.
TEST_CASE("the age of a replica grows while it lags or no majority is in the term") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(1));
  CHECK(S.Now - serverOf(D, 1).CurrentAt < absl::Milliseconds(700));
  Instant Lagging = S.Now;
  S.Held = {1};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  CHECK(serverOf(D, 1).CurrentAt <= Lagging);
  CHECK(S.Now - serverOf(D, 2).CurrentAt < absl::Milliseconds(700));
  S.Held.clear();
  S.run(absl::Seconds(1));
  CHECK(S.Now - serverOf(D, 1).CurrentAt < absl::Milliseconds(700));
  Instant Alone = S.Now;
  D.Cut = {1, 2};
  S.run(absl::Seconds(3));
  CHECK(serverOf(D, 0).CurrentAt <= Alone);
}

// Guards against a configuration change that loses waiting requests or a known primary.
TEST_CASE("another set of servers keeps the primary and the waiting writes") {
  Simulation S(4);
  MonitorConfig C = S.config(true);
  C.Servers.pop_back();
  Simulation::Daemon &D = S.add(C);
  S.run(absl::Seconds(1));
  S.Held = {1, 2, 3};
  S.perform(D, D.Machine.confirm(1, S.write(0, 1), S.Now + absl::Seconds(9), S.Now));
  S.perform(D, D.Machine.configure(S.config(true), S.Now));
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0);
  CHECK(S.Servers[3].Is == Role::Replica);
  S.Held = {2, 3};
  S.run(absl::Seconds(1));
  CHECK(D.Confirmed.empty()); // two of four
  S.Held = {3};
  S.run(absl::Seconds(1));
  CHECK(D.Confirmed[1] == ConfirmResult::Confirmed);
}

// Guards against probes that cost more than the budget of 19 KB/s for 20 servers.
TEST_CASE("replicas of a settled group are probed each 600 ms, the primary each 300 ms") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(2));
  D.Calls.clear();
  S.run(absl::Seconds(9));
  CHECK(probesOf(D, 0) >= 28);
  for (size_t I : {1, 2}) {
    CHECK(probesOf(D, I) >= 14);
    CHECK(probesOf(D, I) <= 16);
  }
}

// Guards against replicas that a read with max_age=1s may not use: idle, under writes, and with a
// replication that lags.
TEST_CASE("replicas of a settled group stay younger than one second") {
  for (absl::Duration OneWay : {absl::Milliseconds(1), absl::Milliseconds(20)}) {
    for (int WriteEvery : {0, 5, 100, 450}) {
      CAPTURE(WriteEvery);
      Simulation S(3);
      S.Delay = [&] { return OneWay; };
      Simulation::Daemon &D = S.add(S.config(true));
      S.run(absl::Seconds(3));
      absl::Duration Oldest;
      for (int Ms = 1; Ms <= 10'000; ++Ms) {
        // Replica 1 gets each write 40 ms late.
        S.Held = Ms % 40 == 0 ? std::set<size_t>{} : std::set<size_t>{1};
        if (WriteEvery != 0 && Ms % WriteEvery == 0)
          S.perform(D, D.Machine.confirm(Ms, S.write(0, Ms), S.Now + absl::Seconds(5), S.Now));
        S.run(absl::Milliseconds(1));
        for (size_t I : {1, 2})
          Oldest = std::max(Oldest, S.Now - serverOf(D, I).CurrentAt);
      }
      MESSAGE("one way " << absl::ToInt64Milliseconds(OneWay) << " ms, a write each " << WriteEvery
                         << " ms: oldest " << absl::ToInt64Milliseconds(Oldest) << " ms");
      CHECK(Oldest < absl::Milliseconds(800)); // leaves 200 ms for late answers
    }
  }
}

// Guards against reads of a session that go to the primary because the position of a replica that
// has its write is not known yet.
TEST_CASE("the position of a replica is known soon after a write") {
  for (int WriteEvery : {50, 2000}) {
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true));
    S.run(absl::Seconds(3));
    int Covered = 0;
    int Total = 0;
    LogPosition Last;
    for (int Ms = 1; Ms <= 20'000; ++Ms) {
      if (Ms % WriteEvery == 0) {
        Last = S.write(0, Ms);
        S.perform(D, D.Machine.confirm(Ms, Last, S.Now + absl::Seconds(5), S.Now));
      }
      S.run(absl::Milliseconds(1));
      for (size_t I : {1, 2}) {
        ++Total;
        Covered += serverOf(D, I).Applied >= Last.Position ? 1 : 0;
      }
    }
    MESSAGE("a write each " << WriteEvery << " ms: known for " << 100.0 * Covered / Total
                            << " % of the time");
    CHECK(Covered > Total * 85 / 100);
  }
}

// Guards against a replica that lags by more than the pause between its probes and its age: it is
// probed as often as the primary until it has caught up.
TEST_CASE("a replica that lags is probed each 300 ms until it has caught up") {
  Simulation S(3);
  Simulation::Daemon &D = S.add(S.config(true));
  S.run(absl::Seconds(2));
  S.Held = {1};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  D.Calls.clear();
  S.run(absl::Seconds(3));
  CHECK(probesOf(D, 1) >= 9);
  CHECK(probesOf(D, 2) <= 6);
  S.Held.clear();
  S.run(absl::Milliseconds(350));
  CHECK(S.Now - serverOf(D, 1).CurrentAt < absl::Milliseconds(700));
  D.Calls.clear();
  S.run(absl::Seconds(3));
  CHECK(probesOf(D, 1) <= 6);
}

// Guards against a change that an owner starts after it was cut off from a majority: the last
// answers of replicas that are probed less often must not count as reachable.
TEST_CASE("an owner that loses the primary and a replica at once fences nothing") {
  for (int Phase = 0; Phase < 1000; Phase += 50) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    D.Cut = {0, 1};
    S.run(absl::Seconds(4));
    CHECK(count(D, Step::Started) == 1); // of the first term
    CHECK(S.Servers[2].Accepted == 1);
  }
}

// Guards against a failed replica that gets reads for longer, and against one that stays without
// reads or without a primary to follow after it has returned.
TEST_CASE("a replica that returns is reachable and follows within half a second") {
  for (int Phase = 0; Phase < 1000; Phase += 100) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.Refusing.insert(1);
    S.run(absl::Seconds(1));
    CHECK_FALSE(serverOf(D, 1).Reachable);
    D.Calls.clear();
    S.run(absl::Seconds(3));
    CHECK(probesOf(D, 1) >= 9);
    S.Refusing.clear();
    S.Servers[1].follow(1, "10.0.0.2:5432"); // it follows another server after its start
    S.run(absl::Milliseconds(500));
    CHECK(serverOf(D, 1).Reachable);
    CHECK(S.Servers[1].Following == "10.0.0.0:5432");
    CHECK(S.Now - serverOf(D, 1).CurrentAt < absl::Milliseconds(700));
  }
}

// Guards against a slower detection because the replicas are probed less often: the majority is
// known by the time that the primary is suspect, whatever the phase of the probes.
TEST_CASE("a frozen primary is replaced within 1300 ms in each phase of the probes") {
  absl::Duration Longest;
  for (int Phase = 0; Phase < 1000; Phase += 10) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.Frozen.insert(0);
    Instant Since = S.Now;
    while (S.Now - Since < absl::Seconds(3) && primaryOf(D) != 1)
      S.run(absl::Milliseconds(1));
    Longest = std::max(Longest, S.Now - Since);
  }
  MESSAGE("longest " << absl::ToInt64Milliseconds(Longest) << " ms");
  CHECK(Longest <= absl::Milliseconds(1300));
}

// Guards against reads of the writer's session that stay at the primary: a replica that had
// received but not applied a write when it confirmed it is asked again after the short interval.
TEST_CASE("a replica that applies a confirmed write late is known to have it within 350 ms") {
  for (int Phase = 0; Phase < 600; Phase += 50) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.add(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.Held = {1};
    LogPosition At = S.write(0, 1);
    S.perform(D, D.Machine.confirm(1, At, S.Now + absl::Seconds(5), S.Now));
    S.run(absl::Milliseconds(5));
    REQUIRE(S.Servers[1].receive(S.Servers[0].Log));
    S.run(absl::Milliseconds(40));
    S.Servers[1].Applied = S.Servers[1].Matched;
    S.run(absl::Milliseconds(350));
    CHECK(serverOf(D, 1).Applied == At.Position);
  }
}
