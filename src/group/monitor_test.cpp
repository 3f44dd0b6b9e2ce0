// Tests of Monitor against simulated servers on a simulated clock.
#include "group/test_simulation.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::group;

namespace {

constexpr size_t NoServer = 99;

size_t primaryOf(const Simulation::Daemon &D) {
  const std::optional<TargetId> &P = D.GroupMonitor.state().Primary;
  return P ? std::stoul(P->Value.substr(1)) : NoServer;
}

size_t count(const Simulation::Daemon &D, Step S) {
  return std::count_if(D.Steps.begin(), D.Steps.end(),
                       [S](const StepAction &A) { return A.Kind == S; });
}

size_t probesOf(const Simulation::Daemon &D, size_t I) {
  return std::count_if(D.Calls.begin(), D.Calls.end(), [I](const CallAction &C) {
    return C.Server == serverId(I) && C.OnLane == Lane::Probe;
  });
}

const ServerState &serverOf(const Simulation::Daemon &D, size_t I) {
  return D.GroupMonitor.state().Servers[I];
}

const InstanceId Peer1("p1");
const InstanceId Peer2("p2");

} // namespace

// Guards against a new group that gets no primary, or more than one.
TEST_CASE("the owner establishes the first term of a new group") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  Simulation::Daemon &Reader = S.addDaemon(S.config(false));
  S.run(absl::Milliseconds(700));
  CHECK(primaryOf(D) == 0);
  CHECK(primaryOf(Reader) == 0);
  CHECK(D.GroupMonitor.state().CurrentTerm == Term(1));
  CHECK(count(D, Step::Finished) == 1);
  CHECK(count(Reader, Step::Started) == 0);
  CHECK(S.Servers[1].CurrentRole == Role::Replica);
  CHECK(S.Servers[2].Matched == 1);
}

TEST_CASE("a stopped primary is replaced within a second") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.StoppedServers.insert(0);
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 1);
  CHECK(D.GroupMonitor.state().CurrentTerm == Term(2));
  CHECK(S.Servers[2].Following == "10.0.0.1:5432");
  CHECK(D.Steps.back().Kind == Step::Finished);
  CHECK(D.Steps.back().Cause == "refused");
}

// Guards against a missed failure of a primary that keeps its connections open but does not answer.
TEST_CASE("a frozen primary is suspected after three probes and replaced") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.FrozenServers.insert(0);
  S.run(absl::Milliseconds(800));
  CHECK(count(D, Step::Suspected) == 0);
  CHECK(primaryOf(D) == 0);
  S.run(absl::Milliseconds(600));
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "unreachable");
}

// Guards against a change of primary when only the network path between one daemon and the primary
// has failed.
TEST_CASE("the primary is kept while an observer reaches it in its term") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true, {Peer1, Peer2}));
  size_t Asked = 0;
  S.PeerProbeResult = [&](const AskPeerAction &) {
    ++Asked;
    return std::make_pair(true, Term(1));
  };
  S.run(absl::Seconds(1));
  D.UnreachableServers.insert(0);
  S.run(absl::Seconds(6));
  CHECK(count(D, Step::Started) == 1); // the attempt of the first term
  CHECK(count(D, Step::PrimaryKept) >= 2);
  CHECK(Asked <= 14); // at most two observers once a second
  CHECK(primaryOf(D) == 0);
  CHECK_FALSE(serverOf(D, 0).Reachable);
  D.UnreachableServers.clear();
  S.run(absl::Seconds(1));
  CHECK(serverOf(D, 0).Reachable);
  CHECK(S.Servers[0].Accepted == 1);
}

namespace {

// A group whose owner cannot reach the primary, and two observers that can.
struct CutOff {
  Simulation S{3};
  Simulation::Daemon &D = S.addDaemon(S.config(true, {Peer1, Peer2}));
  std::map<InstanceId, bool> Reaches = {{Peer1, true}, {Peer2, true}};

  CutOff() {
    S.PeerProbeResult = [this](const AskPeerAction &A) {
      bool Reached = this->Reaches[A.Peer];
      return std::make_pair(Reached, Reached ? Term(1) : Term());
    };
    S.run(absl::Seconds(1));
    D.UnreachableServers.insert(0);
    S.run(absl::Milliseconds(1500));
  }
  const std::optional<Observer> &hint() const { return D.GroupMonitor.state().RedirectTo; }
  std::string_view endCause() const {
    return D.Steps.back().Kind == Step::RedirectEnded ? D.Steps.back().Cause : "";
  }
};

} // namespace

// Guards against writes that wait at an owner that cannot serve them. Also guards against a hint
// that ends while its observer still reaches the primary, or that moves between two observers that
// both reach it.
TEST_CASE("the hint names the same observer as long as that observer reaches the primary") {
  CutOff C;
  REQUIRE(C.hint());
  InstanceId First = C.hint()->Id;
  for (int I = 0; I < 1000; ++I) {
    C.S.run(absl::Milliseconds(10));
    REQUIRE(C.hint());
    CHECK(C.hint()->Id == First);
    CHECK(C.hint()->ValidUntil > C.S.Now);
    CHECK(C.hint()->ValidUntil <= C.S.Now + absl::Seconds(2));
  }
  CHECK(count(C.D, Step::Redirected) == 1);
  CHECK(count(C.D, Step::Started) == 1); // the attempt of the first term
}

// Guards against redirecting requests away from an owner that can serve them.
TEST_CASE("the hint ends when the owner reaches the primary again") {
  CutOff C;
  REQUIRE(C.hint());
  C.D.UnreachableServers.clear();
  C.S.run(absl::Milliseconds(400));
  CHECK_FALSE(C.hint());
  CHECK(C.endCause() == "reached");
}

TEST_CASE("the hint expires when no observer confirms it again") {
  CutOff C;
  REQUIRE(C.hint());
  Instant Until = C.hint()->ValidUntil;
  // Without a reachable majority no observer is asked and no change starts.
  C.D.UnreachableServers.insert(1);
  C.S.run(Until - C.S.Now - absl::Milliseconds(1));
  REQUIRE(C.hint());
  CHECK(C.hint()->ValidUntil == Until);
  C.S.run(absl::Milliseconds(2));
  CHECK_FALSE(C.hint());
  CHECK(C.endCause() == "expired");
}

// Guards against a hint to an observer of an earlier term.
TEST_CASE("the hint ends when the primary changes") {
  CutOff C;
  REQUIRE(C.hint());
  SUBCASE("another proposer promotes a server") {
    for (size_t I : {1, 2})
      C.S.Servers[I].accept(9, "other");
    C.S.Servers[2].promote(9, "other");
    C.S.Servers[1].follow(9, "10.0.0.2:5432");
    C.S.run(absl::Milliseconds(700));
    CHECK(primaryOf(C.D) == 2);
  }
  SUBCASE("the owner promotes a server because the observers cannot reach the primary either") {
    C.Reaches = {{Peer1, false}, {Peer2, false}};
    C.S.run(absl::Seconds(2));
    CHECK(primaryOf(C.D) == 1);
  }
  CHECK_FALSE(C.hint());
}

// Guards against redirecting requests to an instance that has failed or left.
TEST_CASE("the hint names another observer when its observer is no longer usable") {
  CutOff C;
  REQUIRE(C.hint());
  InstanceId First = C.hint()->Id;
  InstanceId Other = First == Peer1 ? Peer2 : Peer1;
  SUBCASE("the observer left the membership") {
    C.S.perform(C.D, C.D.GroupMonitor.configure(C.S.config(true, {Other}), C.S.Now));
    CHECK_FALSE(C.hint());
    CHECK(C.endCause() == "observer_gone");
    C.S.run(absl::Seconds(2));
  }
  SUBCASE("the observer can no longer reach the primary") {
    C.Reaches[First] = false;
    C.S.run(absl::Seconds(2));
  }
  REQUIRE(C.hint());
  CHECK(C.hint()->Id == Other);
  CHECK(primaryOf(C.D) == 0);
}

TEST_CASE("only the owner publishes a hint") {
  CutOff C;
  REQUIRE(C.hint());
  C.S.perform(C.D, C.D.GroupMonitor.configure(C.S.config(false, {Peer1, Peer2}), C.S.Now));
  CHECK_FALSE(C.hint());
}

// Guards against an owner that keeps the requests although it has never reached the primary.
TEST_CASE("a new owner that cannot reach the primary publishes a hint") {
  Simulation S(3);
  S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.PeerProbeResult = [](const AskPeerAction &) { return std::make_pair(true, Term(1)); };
  Simulation::Daemon &D = S.addDaemon(S.config(false, {Peer1}));
  D.UnreachableServers.insert(0);
  S.perform(D, D.GroupMonitor.configure(S.config(true, {Peer1}), S.Now));
  S.run(absl::Seconds(2));
  REQUIRE(D.GroupMonitor.state().RedirectTo);
  CHECK(D.GroupMonitor.state().RedirectTo->Id == Peer1);
  CHECK(count(D, Step::Started) == 0);
}

// Guards against a failover that waits for an observer's answer for ever. Also guards against
// taking an answer of another term as proof that the primary works.
TEST_CASE("a change starts unless an observer reaches the primary in its term") {
  using Reach = std::optional<std::pair<bool, Term>>;
  for (const Reach &Answer :
       {Reach(), Reach(std::make_pair(false, Term())), Reach(std::make_pair(true, Term(7)))}) {
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true, {Peer1}));
    S.run(absl::Seconds(1));
    S.PeerProbeResult = [&](const AskPeerAction &) { return Answer; };
    S.StoppedServers.insert(0);
    S.run(absl::Seconds(1));
    CHECK(primaryOf(D) == 1);
  }
}

// Guards against an old primary that remains primary or fenced after its return, or that keeps
// unacknowledged writes.
TEST_CASE("an old primary that returns follows the new one and drops its unacknowledged writes") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.UnreplicatedServers = {1, 2};
  S.write(0, 1);
  S.FrozenServers.insert(0);
  S.run(absl::Seconds(2));
  S.UnreplicatedServers.clear();
  CHECK(primaryOf(D) == 1);
  CHECK(S.Servers[0].CurrentRole == Role::Primary); // it does not know of the new term yet
  S.write(1, 2);
  S.FrozenServers.clear();
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 1);
  CHECK(S.Servers[0].CurrentRole == Role::Replica);
  CHECK(S.Servers[0].Matched == S.Servers[1].Log.size());
  CHECK(S.Servers[0].Log[1].InTerm == 2);
}

TEST_CASE("a server that follows another server is called to follow the primary") {
  Simulation S(3);
  S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.Servers[2].follow(1, "10.0.0.1:5432");
  S.run(absl::Seconds(1));
  CHECK(S.Servers[2].Following == "10.0.0.0:5432");
}

// Guards against promotion without a majority. The owner reaches only one server of three.
TEST_CASE("no change of primary without a majority") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  D.UnreachableServers = {0, 1};
  S.run(absl::Seconds(5));
  CHECK(count(D, Step::Started) == 1);
  CHECK(S.Servers[2].Accepted == 1);
}

// Guards against two owners that start higher and higher terms for ever and never settle.
TEST_CASE("two instances that both act as owner agree on one primary") {
  for (uint64_t Round = 0; Round < 20; ++Round) {
    Simulation S(3);
    S.Now += absl::Milliseconds(Round);
    Simulation::Daemon &A = S.addDaemon(S.config(true));
    S.run(absl::Milliseconds(Round % 4));
    Simulation::Daemon &B = S.addDaemon(S.config(true));
    S.run(absl::Seconds(2));
    REQUIRE(primaryOf(A) != NoServer);
    CHECK(primaryOf(A) == primaryOf(B));
    size_t Old = primaryOf(A);
    S.StoppedServers.insert(Old);
    S.run(absl::Seconds(3));
    REQUIRE(primaryOf(A) != NoServer);
    CHECK(primaryOf(A) != Old);
    CHECK(primaryOf(A) == primaryOf(B));
    CHECK(A.GroupMonitor.state().CurrentTerm == B.GroupMonitor.state().CurrentTerm);
  }
}

// Guards against a daemon that holds on to the primary that it promoted after another proposer has
// promoted a server.
TEST_CASE("a proposer accepts the primary of a higher term") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  for (size_t I : {1, 2})
    S.Servers[I].accept(9, "other");
  S.Servers[2].promote(9, "other");
  S.Servers[1].follow(9, "10.0.0.2:5432");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 2);
  CHECK(D.GroupMonitor.state().CurrentTerm == Term(9));
  CHECK(S.Servers[0].Following == "10.0.0.2:5432");
  CHECK(count(D, Step::Started) == 1);
}

// Guards against a server that remains fenced for ever. This happens when a proposer fails after
// its first accept call.
TEST_CASE("a minority in a later term rejoins the group through a new term") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.Servers[2].accept(5, "other");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0); // the other proposer may still complete its attempt
  S.run(absl::Seconds(3));
  CHECK(D.GroupMonitor.state().CurrentTerm == Term(6));
  CHECK(S.Servers[2].CurrentRole == Role::Replica);
}

// Guards against a leaving primary that is never replaced. Also guards against a change before the
// other servers have caught up.
TEST_CASE("a leaving primary is replaced once the others have caught up") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.UnreplicatedServers = {1, 2};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  MonitorConfig C = S.config(true);
  C.Servers[0].IsLeaving = true;
  S.perform(D, D.GroupMonitor.configure(C, S.Now));
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 0);
  S.UnreplicatedServers.clear();
  S.run(absl::Seconds(2));
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "leaving");
  CHECK(S.Servers[1].Log.size() == 3); // term start, write, term start
  CHECK(S.Servers[0].CurrentRole == Role::Replica);
  S.run(absl::Seconds(5));
  CHECK(D.GroupMonitor.state().CurrentTerm == Term(2));
}

// Guards against a change of primary that rolls back a transaction although it could have waited.
// Also guards against a transaction that prevents the replacement of a leaving primary.
TEST_CASE("a leaving primary is kept for its open transactions for a limited time") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  MonitorConfig Leaving = S.config(true);
  Leaving.Servers[0].IsLeaving = true;
  S.perform(D, D.GroupMonitor.configure(Leaving, S.Now));
  S.perform(D, D.GroupMonitor.setPrimaryUse(PrimaryUse::Transactions, S.Now));
  CHECK(D.GroupMonitor.state().PrimaryIsDraining);
  SUBCASE("it is replaced when they have ended") {
    S.run(absl::Seconds(4));
    CHECK(primaryOf(D) == 0);
    S.perform(D, D.GroupMonitor.setPrimaryUse(PrimaryUse::Requests, S.Now));
    CHECK_FALSE(D.GroupMonitor.state().PrimaryIsDraining);
    S.run(absl::Milliseconds(500));
    CHECK(primaryOf(D) == 0);
    S.perform(D, D.GroupMonitor.setPrimaryUse(PrimaryUse::None, S.Now));
    S.run(absl::Seconds(1));
  }
  SUBCASE("it is replaced after 5 s at the latest") {
    S.run(absl::Milliseconds(4500));
    CHECK(primaryOf(D) == 0);
    S.run(absl::Milliseconds(1500));
  }
  CHECK_FALSE(D.GroupMonitor.state().PrimaryIsDraining);
  CHECK(primaryOf(D) == 1);
  CHECK(D.Steps.back().Cause == "leaving");
}

// Guards against a daemon that changes a group without owning its database.
TEST_CASE("a daemon that does not own the database sends only status calls") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(false));
  S.run(absl::Seconds(2));
  S.Servers[0].accept(1, "x");
  S.Servers[0].promote(1, "x");
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0);
  S.StoppedServers.insert(0);
  S.run(absl::Seconds(2));
  for (const CallAction &C : D.Calls)
    CHECK(C.Request.Kind == CallKind::Status);
}

// Guards against more than one waiting call for each replica. Also guards against confirming a
// write before a replica has it.
TEST_CASE("writes are confirmed by one waiting call for each replica") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.UnreplicatedServers = {1, 2};
  Instant Deadline = S.Now + absl::Seconds(3);
  for (uint64_t I = 1; I <= 10; ++I)
    S.perform(D, D.GroupMonitor.confirm(I, S.write(0, static_cast<int>(I)), Deadline, S.Now));
  S.run(absl::Milliseconds(100));
  CHECK(D.Confirmed.empty());
  size_t Waits = std::count_if(D.Calls.begin(), D.Calls.end(), [](const CallAction &C) {
    return C.Request.Kind == CallKind::Wait;
  });
  CHECK(Waits == 2);
  S.UnreplicatedServers = {2};
  S.run(absl::Milliseconds(20));
  CHECK(D.Confirmed.size() == 10);
  CHECK(D.Confirmed[10] == ConfirmResult::Confirmed);
}

// Guards against reporting a write as confirmed after its primary was replaced.
TEST_CASE("a write that no replica has ends with TermChanged when the primary is replaced") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  S.UnreplicatedServers = {1, 2};
  S.perform(D, D.GroupMonitor.confirm(1, S.write(0, 1), S.Now + absl::Seconds(9), S.Now));
  S.StoppedServers.insert(0);
  S.run(absl::Seconds(2));
  REQUIRE(D.Confirmed.contains(1));
  CHECK(D.Confirmed[1] == ConfirmResult::TermChanged);
}

// Guards against a verified read that waits for the next regular probe. Also guards against a
// verified read that is served by a primary without a majority.
TEST_CASE("verify returns the primary's position within a round trip") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Milliseconds(1050));
  LogPosition At = S.write(0, 1);
  S.perform(D, D.GroupMonitor.verify(1, S.Now + absl::Seconds(1), S.Now));
  S.run(absl::Milliseconds(10));
  REQUIRE(D.Verified.contains(1));
  CHECK((D.Verified[1] == At));
  D.UnreachableServers = {1, 2};
  S.perform(D, D.GroupMonitor.verify(2, S.Now + absl::Seconds(1), S.Now));
  S.run(absl::Seconds(2));
  REQUIRE(D.Verified.contains(2));
  CHECK_FALSE(D.Verified[2].has_value());
}

// Guards against an age that is too low. One case is a replica that lags. The other is the side of
// a network partition that cannot know whether there is a newer primary.
TEST_CASE("the age of a replica grows while it lags or no majority confirms the term") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(1));
  CHECK(S.Now - serverOf(D, 1).CaughtUpAt < absl::Milliseconds(700));
  Instant Lagging = S.Now;
  S.UnreplicatedServers = {1};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  CHECK(serverOf(D, 1).CaughtUpAt <= Lagging);
  CHECK(S.Now - serverOf(D, 2).CaughtUpAt < absl::Milliseconds(700));
  S.UnreplicatedServers.clear();
  S.run(absl::Seconds(1));
  CHECK(S.Now - serverOf(D, 1).CaughtUpAt < absl::Milliseconds(700));
  Instant Alone = S.Now;
  D.UnreachableServers = {1, 2};
  S.run(absl::Seconds(3));
  CHECK(serverOf(D, 0).CaughtUpAt <= Alone);
}

// Guards against a configuration change that loses waiting requests or a known primary.
TEST_CASE("a new set of servers keeps the primary and the waiting writes") {
  Simulation S(4);
  MonitorConfig C = S.config(true);
  C.Servers.pop_back();
  Simulation::Daemon &D = S.addDaemon(C);
  S.run(absl::Seconds(1));
  S.UnreplicatedServers = {1, 2, 3};
  S.perform(D, D.GroupMonitor.confirm(1, S.write(0, 1), S.Now + absl::Seconds(9), S.Now));
  S.perform(D, D.GroupMonitor.configure(S.config(true), S.Now));
  S.run(absl::Seconds(1));
  CHECK(primaryOf(D) == 0);
  CHECK(S.Servers[3].CurrentRole == Role::Replica);
  S.UnreplicatedServers = {2, 3};
  S.run(absl::Seconds(1));
  CHECK(D.Confirmed.empty()); // two of four servers have the write
  S.UnreplicatedServers = {3};
  S.run(absl::Seconds(1));
  CHECK(D.Confirmed[1] == ConfirmResult::Confirmed);
}

// Guards against probe traffic above the budget of 19 KB/s for 20 servers.
TEST_CASE("replicas of a settled group are probed each 600 ms, the primary each 300 ms") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(2));
  D.Calls.clear();
  S.run(absl::Seconds(9));
  CHECK(probesOf(D, 0) >= 28);
  for (size_t I : {1, 2}) {
    CHECK(probesOf(D, I) >= 14);
    CHECK(probesOf(D, I) <= 16);
  }
}

// Guards against replicas whose age is too high for a read with max_age=1s. Covers a group without
// writes, with writes and with a replica that lags.
TEST_CASE("replicas of a settled group stay younger than one second") {
  for (absl::Duration OneWay : {absl::Milliseconds(1), absl::Milliseconds(20)}) {
    for (int WriteEvery : {0, 5, 100, 450}) {
      CAPTURE(WriteEvery);
      Simulation S(3);
      S.OneWayDelay = [&] { return OneWay; };
      Simulation::Daemon &D = S.addDaemon(S.config(true));
      S.run(absl::Seconds(3));
      absl::Duration Oldest;
      for (int Ms = 1; Ms <= 10'000; ++Ms) {
        // Replica 1 receives entries only every 40 ms.
        S.UnreplicatedServers = Ms % 40 == 0 ? std::set<size_t>{} : std::set<size_t>{1};
        if (WriteEvery != 0 && Ms % WriteEvery == 0)
          S.perform(D, D.GroupMonitor.confirm(Ms, S.write(0, Ms), S.Now + absl::Seconds(5), S.Now));
        S.run(absl::Milliseconds(1));
        for (size_t I : {1, 2})
          Oldest = std::max(Oldest, S.Now - serverOf(D, I).CaughtUpAt);
      }
      MESSAGE("one way " << absl::ToInt64Milliseconds(OneWay) << " ms, a write each " << WriteEvery
                         << " ms: oldest " << absl::ToInt64Milliseconds(Oldest) << " ms");
      CHECK(Oldest < absl::Milliseconds(800)); // keeps a margin of 200 ms for late answers
    }
  }
}

// Guards against reads of a session that are sent to the primary although a replica already has the
// session's write. This happens when the monitor does not know the replica's position yet.
TEST_CASE("the position of a replica is known soon after a write") {
  for (int WriteEvery : {50, 2000}) {
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true));
    S.run(absl::Seconds(3));
    int Covered = 0;
    int Total = 0;
    LogPosition Last;
    for (int Ms = 1; Ms <= 20'000; ++Ms) {
      if (Ms % WriteEvery == 0) {
        Last = S.write(0, Ms);
        S.perform(D, D.GroupMonitor.confirm(Ms, Last, S.Now + absl::Seconds(5), S.Now));
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

// Guards against a reported age that stays high after a replica has caught up, because its next
// probe is late. A replica that lags is probed as often as the primary until it has caught up.
TEST_CASE("a replica that lags is probed each 300 ms until it has caught up") {
  Simulation S(3);
  Simulation::Daemon &D = S.addDaemon(S.config(true));
  S.run(absl::Seconds(2));
  S.UnreplicatedServers = {1};
  S.write(0, 1);
  S.run(absl::Seconds(2));
  D.Calls.clear();
  S.run(absl::Seconds(3));
  CHECK(probesOf(D, 1) >= 9);
  CHECK(probesOf(D, 2) <= 6);
  S.UnreplicatedServers.clear();
  S.run(absl::Milliseconds(350));
  CHECK(S.Now - serverOf(D, 1).CaughtUpAt < absl::Milliseconds(700));
  D.Calls.clear();
  S.run(absl::Seconds(3));
  CHECK(probesOf(D, 1) <= 6);
}

// Guards against a change that an owner starts after it has lost its connection to a majority.
// Replicas are probed less often, and their old answers must not make them count as reachable.
TEST_CASE("an owner that loses the primary and a replica at the same time fences no server") {
  for (int Phase = 0; Phase < 1000; Phase += 50) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    D.UnreachableServers = {0, 1};
    S.run(absl::Seconds(4));
    CHECK(count(D, Step::Started) == 1); // the attempt of the first term
    CHECK(S.Servers[2].Accepted == 1);
  }
}

// Guards against a failed replica that remains published as reachable. Also guards against a
// replica that has returned but is not published as reachable or does not follow the primary.
TEST_CASE("a replica that returns is reachable and follows the primary within half a second") {
  for (int Phase = 0; Phase < 1000; Phase += 100) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.StoppedServers.insert(1);
    S.run(absl::Seconds(1));
    CHECK_FALSE(serverOf(D, 1).Reachable);
    D.Calls.clear();
    S.run(absl::Seconds(3));
    CHECK(probesOf(D, 1) >= 9);
    S.StoppedServers.clear();
    S.Servers[1].follow(1, "10.0.0.2:5432"); // it follows another server after its start
    S.run(absl::Milliseconds(500));
    CHECK(serverOf(D, 1).Reachable);
    CHECK(S.Servers[1].Following == "10.0.0.0:5432");
    CHECK(S.Now - serverOf(D, 1).CaughtUpAt < absl::Milliseconds(700));
  }
}

// Guards against slower detection of a failed primary because replicas are probed less often. In
// every phase of the probes, the majority must be known by the time that the primary is suspect.
TEST_CASE("a frozen primary is replaced within 1300 ms in every phase of the probes") {
  absl::Duration Longest;
  for (int Phase = 0; Phase < 1000; Phase += 10) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.FrozenServers.insert(0);
    Instant Since = S.Now;
    while (S.Now - Since < absl::Seconds(3) && primaryOf(D) != 1)
      S.run(absl::Milliseconds(1));
    Longest = std::max(Longest, S.Now - Since);
  }
  MESSAGE("longest " << absl::ToInt64Milliseconds(Longest) << " ms");
  CHECK(Longest <= absl::Milliseconds(1300));
}

// Guards against reads of the writer's session that are sent to the primary for too long. A replica
// may confirm a write that it has received but not applied. It is then probed again after the short
// interval.
TEST_CASE("a confirmed write that a replica applies late is published within 350 ms") {
  for (int Phase = 0; Phase < 600; Phase += 50) {
    CAPTURE(Phase);
    Simulation S(3);
    Simulation::Daemon &D = S.addDaemon(S.config(true));
    S.run(absl::Seconds(2) + absl::Milliseconds(Phase));
    S.UnreplicatedServers = {1};
    LogPosition At = S.write(0, 1);
    S.perform(D, D.GroupMonitor.confirm(1, At, S.Now + absl::Seconds(5), S.Now));
    S.run(absl::Milliseconds(5));
    REQUIRE(S.Servers[1].receive(S.Servers[0].Log));
    S.run(absl::Milliseconds(40));
    S.Servers[1].Applied = S.Servers[1].Matched;
    S.run(absl::Milliseconds(350));
    CHECK(serverOf(D, 1).Applied == At.Position);
  }
}
