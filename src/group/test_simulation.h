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

inline TargetId serverId(size_t I) { return TargetId("s" + std::to_string(I)); }

struct Simulation {
  struct Daemon {
    Monitor GroupMonitor;
    std::set<size_t> UnreachableServers; // servers that this daemon cannot reach
    std::vector<StepAction> Steps;
    std::map<uint64_t, ConfirmResult> Confirmed;
    std::map<uint64_t, std::optional<LogPosition>> Verified;
    std::vector<CallAction> Calls;
  };

  Instant Now = absl::UnixEpoch() + absl::Seconds(1000);
  std::vector<TestServer> Servers;
  std::set<size_t> StoppedServers;      // stopped servers: connections are refused
  std::set<size_t> FrozenServers;       // servers that do not answer
  std::set<size_t> UnreplicatedServers; // servers that receive no log entries
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::multimap<Instant, std::function<void()>> Events;
  std::function<absl::Duration()> OneWayDelay = [] { return Latency; }; // in one direction
  uint64_t AnswerLossPercent = 0; // percentage of calls that take effect but whose answer is lost
  std::mt19937_64 Random{1};
  // Result of a probe by another instance: whether the server is reachable, and its term. Peers do
  // not answer if the function is not set or returns no value.
  std::function<std::optional<std::pair<bool, Term>>(const AskPeerAction &)> PeerProbeResult;

  explicit Simulation(size_t Count) : Servers(Count) {}

  MonitorConfig config(bool Owner, std::vector<InstanceId> Peers = {}) const {
    MonitorConfig C;
    C.Database = DatabaseName("orders");
    for (size_t I = 0; I < this->Servers.size(); ++I)
      C.Servers.push_back({.Id = serverId(I), .Host = "10.0.0." + std::to_string(I), .Port = 5432});
    C.IsOwner = Owner;
    C.Peers = std::move(Peers);
    return C;
  }

  Daemon &addDaemon(const MonitorConfig &C) {
    std::string Name = "d" + std::to_string(this->Daemons.size());
    this->Daemons.push_back(std::make_unique<Daemon>(
        Daemon{.GroupMonitor = Monitor({.Proposer = Name, .Seed = this->Daemons.size() + 1})}));
    Daemon &D = *this->Daemons.back();
    this->perform(D, D.GroupMonitor.configure(C, this->Now));
    return D;
  }

  void perform(Daemon &D, const Actions &List) {
    for (const Action &A : List) {
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
    this->Events.emplace(At, [this, &D, C, Got] {
      this->perform(D, D.GroupMonitor.onAnswer(C.Server, C.OnLane, C.Id, Got, this->Now));
    });
  }

  // Sends a call to a server. The faults that apply on arrival decide its result.
  void call(Daemon &D, const CallAction &C) {
    D.Calls.push_back(C);
    size_t I = std::stoul(C.Server.Value.substr(1));
    if (this->StoppedServers.contains(I) && !D.UnreachableServers.contains(I)) {
      this->answer(D, C, this->Now + this->OneWayDelay(),
                   {.Row = {}, .Failure = CallFailure::Refused});
      return;
    }
    Instant TimeoutAt = this->Now + C.Request.Timeout;
    this->Events.emplace(this->Now + this->OneWayDelay(), [this, &D, C, I, TimeoutAt] {
      if (this->FrozenServers.contains(I) || D.UnreachableServers.contains(I))
        this->answer(D, C, TimeoutAt, {.Row = {}, .Failure = CallFailure::Timeout});
      else if (this->StoppedServers.contains(I))
        this->answer(D, C, this->Now, {.Row = {}, .Failure = CallFailure::Lost});
      else if (C.Request.Kind == CallKind::Wait)
        this->wait(D, C, I, this->Now + C.Request.WaitLimit);
      else
        this->reply(D, C, TimeoutAt, this->Servers[I].serve(C.Request));
    });
  }

  // Sends the answer of a call that has taken effect. The answer may be lost.
  void reply(Daemon &D, const CallAction &C, Instant TimeoutAt, const Status &Row) {
    if (this->Random() % 100 < this->AnswerLossPercent)
      this->answer(D, C, TimeoutAt, {.Row = {}, .Failure = CallFailure::Timeout});
    else
      this->answer(D, C, this->Now + this->OneWayDelay(), {.Row = Row});
  }

  // Serves a Wait call: answers once the position is reached, the term is over or the wait limit
  // has passed.
  void wait(Daemon &D, const CallAction &C, size_t I, Instant Until) {
    Status Row = this->Servers[I].serve(C.Request);
    if (Row.CallAccepted || Row.Accepted > C.Request.InTerm || this->Now >= Until)
      this->answer(D, C, this->Now + Latency, {.Row = Row});
    else
      this->Events.emplace(this->Now + Latency,
                           [this, &D, C, I, Until] { this->wait(D, C, I, Until); });
  }

  void askPeer(Daemon &D, const AskPeerAction &P) {
    if (!this->PeerProbeResult)
      return;
    if (auto Got = this->PeerProbeResult(P))
      this->Events.emplace(this->Now + Latency, [this, &D, P, Got] {
        this->perform(D, D.GroupMonitor.onPeerProbe(P.ProbeId, Got->first, Got->second, this->Now));
      });
  }

  // Copies the log of each primary to the replicas that follow it, except those with a fault.
  void replicate() {
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      TestServer &S = this->Servers[I];
      if (S.CurrentRole != Role::Replica || this->UnreplicatedServers.contains(I) ||
          this->FrozenServers.contains(I) || this->StoppedServers.contains(I))
        continue;
      size_t P = std::stoul(S.Following.substr(7));
      if (this->Servers[P].CurrentRole != Role::Primary ||
          this->Servers[P].Accepted != S.Accepted || this->FrozenServers.contains(P) ||
          this->StoppedServers.contains(P))
        continue;
      while (S.receive(this->Servers[P].Log)) {
      }
      S.Applied = S.Matched;
    }
  }

  // Advances the clock in steps of 1 ms.
  void run(absl::Duration Period) {
    Instant Until = this->Now + Period;
    while (this->Now < Until) {
      this->Now += absl::Milliseconds(1);
      while (!this->Events.empty() && this->Events.begin()->first <= this->Now) {
        auto Fn = std::move(this->Events.begin()->second);
        this->Events.erase(this->Events.begin());
        Fn();
      }
      for (auto &D : this->Daemons)
        if (D->GroupMonitor.nextTimer() <= this->Now)
          this->perform(*D, D->GroupMonitor.onTimer(this->Now));
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
