// Servers and monitors on one simulated clock, for tests.
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
    std::set<size_t> Cut; // servers that it cannot reach
    std::vector<StepAction> Steps;
    std::map<uint64_t, ConfirmResult> Confirmed;
    std::map<uint64_t, std::optional<LogPosition>> Verified;
    std::vector<CallAction> Calls;
  };

  Instant Now = absl::UnixEpoch() + absl::Seconds(1000);
  std::vector<TestServer> Servers;
  std::set<size_t> Refusing; // stopped: connections are refused
  std::set<size_t> Frozen;   // no answer
  std::set<size_t> Held;     // replication to this server stands still
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::multimap<Instant, std::function<void()>> Queue;
  std::function<absl::Duration()> Delay = [] { return Latency; }; // one way
  uint64_t Lose = 0; // percentage of answers that are lost after the call took effect
  std::mt19937_64 Random{1};
  // How peers answer; empty: silent.
  std::function<std::optional<std::pair<bool, Term>>(const AskPeerAction &)> Peer;

  explicit Simulation(size_t Count) : Servers(Count) {}

  MonitorConfig config(bool Owner, std::vector<InstanceId> Peers = {}) const {
    MonitorConfig C;
    C.Database = DatabaseName("orders");
    for (size_t I = 0; I < this->Servers.size(); ++I)
      C.Servers.push_back({.Id = idOf(I), .Host = "10.0.0." + std::to_string(I), .Port = 5432});
    C.IsOwner = Owner;
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

  void answer(Daemon &D, const CallAction &C, Instant At, const Answer &Got) {
    this->Queue.emplace(At, [this, &D, C, Got] {
      this->perform(D, D.Machine.onAnswer(C.Server, C.OnLane, C.Id, Got, this->Now));
    });
  }

  void call(Daemon &D, const CallAction &C) {
    D.Calls.push_back(C);
    size_t I = std::stoul(C.Server.Value.substr(1));
    if (this->Refusing.contains(I) && !D.Cut.contains(I)) {
      this->answer(D, C, this->Now + this->Delay(), {.Row = {}, .Failure = CallFailure::Refused});
      return;
    }
    Instant TimesOut = this->Now + C.Request.Timeout;
    this->Queue.emplace(this->Now + this->Delay(), [this, &D, C, I, TimesOut] {
      if (this->Frozen.contains(I) || D.Cut.contains(I))
        this->answer(D, C, TimesOut, {.Row = {}, .Failure = CallFailure::Timeout});
      else if (this->Refusing.contains(I))
        this->answer(D, C, this->Now, {.Row = {}, .Failure = CallFailure::Lost});
      else if (C.Request.Kind == CallKind::Wait)
        this->wait(D, C, I, this->Now + C.Request.WaitLimit);
      else
        this->reply(D, C, TimesOut, this->Servers[I].serve(C.Request));
    });
  }

  // The call has taken effect; its answer may be lost.
  void reply(Daemon &D, const CallAction &C, Instant TimesOut, const Status &Row) {
    if (this->Random() % 100 < this->Lose)
      this->answer(D, C, TimesOut, {.Row = {}, .Failure = CallFailure::Timeout});
    else
      this->answer(D, C, this->Now + this->Delay(), {.Row = Row});
  }

  void wait(Daemon &D, const CallAction &C, size_t I, Instant Until) {
    Status Row = this->Servers[I].serve(C.Request);
    if (Row.CallAccepted || Row.Accepted > C.Request.InTerm || this->Now >= Until)
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

  // Runs in steps of a millisecond.
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

  // Appends a write at the primary and returns its position.
  LogPosition write(size_t I, int Id) {
    TestServer &S = this->Servers[I];
    S.append(Id);
    S.Applied = S.Log.size();
    return {.InTerm = Term(S.Accepted), .Position = S.Log.size()};
  }
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_SIMULATION_H
