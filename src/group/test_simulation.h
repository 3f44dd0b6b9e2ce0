// Simulation of servers and monitors with a virtual clock, for tests.
#ifndef TOUCAN_GROUP_TEST_SIMULATION_H
#define TOUCAN_GROUP_TEST_SIMULATION_H

#include "group/monitor.h"
#include "group/test_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucan::group {

constexpr absl::Duration Latency = absl::Milliseconds(1);

inline TargetId idOf(size_t I) { return TargetId("s" + std::to_string(I)); }

struct Simulation {
  struct Daemon {
    Monitor Machine;
    std::set<size_t> Cut; // servers that this daemon cannot reach
    std::vector<StepAction> Steps;
    std::map<uint64_t, ConfirmResult> Confirmed;
    std::map<uint64_t, std::optional<LogPosition>> Verified;
    std::vector<CallAction> Calls;
  };

  Instant Now = absl::UnixEpoch() + absl::Seconds(1000);
  std::vector<TestServer> Servers;
  std::set<size_t> Refusing; // stopped servers: connections are refused
  std::set<size_t> Frozen;   // servers that do not answer
  std::set<size_t> Held;     // servers that receive no log entries
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::multimap<Instant, std::function<void()>> Queue;
  std::function<absl::Duration()> Delay = [] { return Latency; }; // in one direction
  uint64_t Lose = 0; // percentage of calls that take effect but whose answer is lost
  std::mt19937_64 Random{1};
  // Result of a probe by another instance: whether the server is reachable, and its term. Peers do
  // not answer if the function is not set or returns no value.
  std::function<std::optional<std::pair<bool, Term>>(const AskPeerAction &)> Peer;

  explicit Simulation(size_t Count) : Servers(Count) {}

  MonitorConfig config(bool Owner, std::vector<InstanceId> Peers = {}) const {
    MonitorConfig C;
    C.Database = DatabaseName("orders");
    for (size_t I = 0; I < this->Servers.size(); ++I)
      C.Servers.push_back({.Id = idOf(I), .Host = "10.0.0." + std::to_string(I), .Port = 5432});
    C.Owner = Owner;
    C.Peers = std::move(Peers);
    return C;
  }

  Daemon &add(const MonitorConfig &C) {
    std::string Name = "d" + std::to_string(this->Daemons.size());
    this->Daemons.push_back(std::make_unique<Daemon>(
        Daemon{.Machine = Monitor({.Proposer = Name, .Seed = this->Daemons.size() + 1})}));
    Daemon &D = *this->Daemons.back();
    this->perform(D, D.Machine.configure(C, this->Now));
    return D;
  }

  void perform(Daemon &D, const Actions &Todo) {
    for (const Action &A : Todo) {
      if (const auto *C = std::get_if<CallAction>(&A))
        this->call(D, *C);
      else if (const auto *P = std::get_if<AskPeerAction>(&A))
        this->askPeer(D, *P);
      else if (const auto *S = std::get_if<StepAction>(&A))
        D.Steps.push_back(*S);
      else if (const auto *E = std::get_if<ConfirmedAction>(&A))
        D.Confirmed[E->Ticket] = E->Result;
      else if (const auto *V = std::get_if<VerifiedAction>(&A))
        D.Verified[V->Ticket] = V->At;
    }
  }

  // Delivers the result of a call to the monitor at the given time.
  void answer(Daemon &D, const CallAction &C, Instant At, const Answer &Got) {
    this->Queue.emplace(At, [this, &D, C, Got] {
      this->perform(D, D.Machine.onAnswer(C.Server, C.On, C.Id, Got, this->Now));
    });
  }

  // Sends a call to a server. The faults that apply on arrival decide its result.
  void call(Daemon &D, const CallAction &C) {
    D.Calls.push_back(C);
    size_t I = std::stoul(C.Server.Value.substr(1));
    if (this->Refusing.contains(I) && !D.Cut.contains(I)) {
      this->answer(D, C, this->Now + this->Delay(), {.Row = {}, .Failure = CallFailure::Refused});
      return;
    }
    Instant TimesOut = this->Now + C.What.Timeout;
    this->Queue.emplace(this->Now + this->Delay(), [this, &D, C, I, TimesOut] {
      if (this->Frozen.contains(I) || D.Cut.contains(I))
        this->answer(D, C, TimesOut, {.Row = {}, .Failure = CallFailure::Timeout});
      else if (this->Refusing.contains(I))
        this->answer(D, C, this->Now, {.Row = {}, .Failure = CallFailure::Lost});
      else if (C.What.Kind == CallKind::Wait)
        this->wait(D, C, I, this->Now + C.What.WaitLimit);
      else
        this->reply(D, C, TimesOut, this->Servers[I].serve(C.What));
    });
  }

  // Sends the answer of a call that has taken effect. The answer may be lost.
  void reply(Daemon &D, const CallAction &C, Instant TimesOut, const Status &Row) {
    if (this->Random() % 100 < this->Lose)
      this->answer(D, C, TimesOut, {.Row = {}, .Failure = CallFailure::Timeout});
    else
      this->answer(D, C, this->Now + this->Delay(), {.Row = Row});
  }

  // Serves a Wait call: answers once the position is reached, the term is over or the wait limit
  // has passed.
  void wait(Daemon &D, const CallAction &C, size_t I, Instant Until) {
    Status Row = this->Servers[I].serve(C.What);
    if (Row.CallAccepted || Row.Accepted > C.What.InTerm || this->Now >= Until)
      this->answer(D, C, this->Now + Latency, {.Row = Row});
    else
      this->Queue.emplace(this->Now + Latency,
                          [this, &D, C, I, Until] { this->wait(D, C, I, Until); });
  }

  void askPeer(Daemon &D, const AskPeerAction &P) {
    if (!this->Peer)
      return;
    if (auto Got = this->Peer(P))
      this->Queue.emplace(this->Now + Latency, [this, &D, P, Got] {
        this->perform(D, D.Machine.onPeerProbe(P.ProbeId, Got->first, Got->second, this->Now));
      });
  }

  // Copies the log of each primary to the replicas that follow it, except those with a fault.
  void replicate() {
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      TestServer &S = this->Servers[I];
      if (S.Is != Role::Replica || this->Held.contains(I) || this->Frozen.contains(I) ||
          this->Refusing.contains(I))
        continue;
      size_t P = std::stoul(S.Following.substr(7));
      if (this->Servers[P].Is != Role::Primary || this->Servers[P].Accepted != S.Accepted ||
          this->Frozen.contains(P) || this->Refusing.contains(P))
        continue;
      while (S.receive(this->Servers[P].Log)) {
      }
      S.Applied = S.Matched;
    }
  }

  // Advances the clock in steps of 1 ms.
  void run(absl::Duration For) {
    Instant Until = this->Now + For;
    while (this->Now < Until) {
      this->Now += absl::Milliseconds(1);
      while (!this->Queue.empty() && this->Queue.begin()->first <= this->Now) {
        auto Fn = std::move(this->Queue.begin()->second);
        this->Queue.erase(this->Queue.begin());
        Fn();
      }
      for (auto &D : this->Daemons)
        if (D->Machine.nextTimer() <= this->Now)
          this->perform(*D, D->Machine.onTimer(this->Now));
      this->replicate();
    }
  }

  // Appends a write to the log of server I and returns its position.
  LogPosition write(size_t I, int Id) {
    TestServer &S = this->Servers[I];
    S.append(Id);
    S.Applied = S.Log.size();
    return {.InTerm = Term(S.Accepted), .Position = S.Log.size()};
  }
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_SIMULATION_H
