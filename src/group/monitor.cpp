#include "group/monitor.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucan::group {

namespace {

constexpr absl::Duration WaitLimit = absl::Seconds(1); // of one group_wait inside the server
constexpr absl::Duration WaitAnswerTime = absl::Milliseconds(500); // for its answer to arrive
constexpr absl::Duration RetryDelay = absl::Milliseconds(50);      // after a failed call

// Each replica of a settled group is probed once for this many probes of the primary. Reads that
// allow an age of 1 s must be able to use the replicas. With a latency of 20 ms one way, the age of
// a replica reaches 0.64 s with 2 and 0.94 s with 3.
constexpr int PrimaryProbesPerReplicaProbe = 2;
// Time from a probe of the primary to the probes of its replicas. Replication between regions takes
// 20 ms, so the replicas have by then received what the primary reported.
constexpr absl::Duration ReplicaProbeDelay = absl::Milliseconds(50);

bool sameServers(const std::vector<MonitoredServer> &A, const std::vector<MonitoredServer> &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](const auto &X, const auto &Y) {
    return X.Id == Y.Id && X.Host == Y.Host && X.Port == Y.Port;
  });
}

bool sameState(const GroupState &A, const GroupState &B) {
  auto Same = [](const ServerState &X, const ServerState &Y) {
    return X.Id == Y.Id && X.Reachable == Y.Reachable && X.CurrentRole == Y.CurrentRole &&
           X.Accepted == Y.Accepted && X.Received == Y.Received && X.Applied == Y.Applied &&
           X.ObservedAt == Y.ObservedAt && X.CaughtUpAt == Y.CaughtUpAt;
  };
  return A.CurrentTerm == B.CurrentTerm && A.Primary == B.Primary &&
         A.PrimaryIsDraining == B.PrimaryIsDraining && A.RedirectTo == B.RedirectTo &&
         std::equal(A.Servers.begin(), A.Servers.end(), B.Servers.begin(), B.Servers.end(), Same);
}

} // namespace

Monitor::Monitor(MonitorOptions Options)
    : Options(std::move(Options)), Random(this->Options.Seed) {}

// Replaces the configuration. A new set of servers ends a running attempt, because the majority of
// the old set is no longer valid.
Actions Monitor::configure(MonitorConfig NewConfig, Instant Now) {
  this->Published.Database = NewConfig.Database;
  bool Same = sameServers(this->Config.Servers, NewConfig.Servers);
  this->Config = std::move(NewConfig);
  if (this->ActiveAttempt &&
      (!Same || (!this->Config.IsOwner && !this->ActiveAttempt->PromoteSent)))
    this->abandonAttempt(Now);
  if (!this->Config.IsOwner)
    this->PendingQuery.reset();
  if (Same) {
    for (size_t I = 0; I < this->Servers.size(); ++I)
      this->Servers[I].Definition = this->Config.Servers[I];
    return this->advance(Now);
  }
  this->PendingQuery.reset();
  std::vector<Server> Old = std::exchange(this->Servers, {});
  for (const MonitoredServer &Definition : this->Config.Servers) {
    auto It = std::find_if(Old.begin(), Old.end(), [&](const Server &S) {
      return S.Definition.Id == Definition.Id && S.Definition.Host == Definition.Host &&
             S.Definition.Port == Definition.Port;
    });
    this->Servers.push_back(It == Old.end() ? Server{} : std::move(*It));
    this->Servers.back().Definition = Definition;
  }
  this->WriteConfirmer.resize(this->Servers.size());
  this->ReadVerifier.resize(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I)
    if (this->Servers[I].Row)
      this->WriteConfirmer.onRow(I, *this->Servers[I].Row);
  return this->advance(Now);
}

Actions Monitor::onAnswer(const TargetId &Id, Lane OnLane, uint64_t CallId, const Answer &Got,
                          Instant Now) {
  if (!this->awaitsAnswer(Id, OnLane, CallId))
    return this->advance(Now);
  size_t Index = this->find(Id) - this->Servers.data();
  LaneState FinishedCall = this->Servers[Index].lane(OnLane);
  this->Servers[Index].lane(OnLane).Id = 0;
  if (Got.Row)
    this->onRow(Index, OnLane, FinishedCall, *Got.Row, Now);
  else
    this->onFailure(Index, OnLane, FinishedCall, Got.Failure, Now);
  return this->advance(Now);
}

Actions Monitor::onConnectionLost(const TargetId &Id, Instant Now) {
  if (const Server *S = this->find(Id)) {
    LaneState &L = this->Servers[S - this->Servers.data()].lane(Lane::Probe);
    L.NextAt = std::min(L.NextAt, Now);
  }
  return this->advance(Now);
}

Actions Monitor::confirm(uint64_t Ticket, LogPosition At, Instant Deadline, Instant Now) {
  this->WriteConfirmer.add(Ticket, At, Deadline);
  return this->advance(Now);
}

Actions Monitor::verify(uint64_t Ticket, Instant Deadline, Instant Now) {
  this->ReadVerifier.add(Ticket, Deadline);
  return this->advance(Now);
}

Actions Monitor::setPrimaryUse(PrimaryUse NewUse, Instant Now) {
  this->CurrentUse = NewUse;
  return this->advance(Now);
}

Actions Monitor::onTimer(Instant Now) { return this->advance(Now); }

bool Monitor::awaitsAnswer(const TargetId &Id, Lane OnLane, uint64_t CallId) const {
  const Server *S = this->find(Id);
  return S && S->lane(OnLane).Id == CallId;
}

const Monitor::Server *Monitor::find(const TargetId &Id) const {
  auto It = std::find_if(this->Servers.begin(), this->Servers.end(),
                         [&](const Server &S) { return S.Definition.Id == Id; });
  return It == this->Servers.end() ? nullptr : &*It;
}

bool Monitor::isSuspect(const Server &S) const {
  return S.RefusedConnection || S.FailedProbes >= this->Options.ProbesToSuspect;
}

// Decides whether a majority answered its last probe. A server whose last probe failed does not
// count, even before it is suspect. Otherwise a daemon that has just lost its connection to the
// majority would fence the minority that it still reaches.
bool Monitor::hasReachableMajority() const {
  size_t Count = std::count_if(this->Servers.begin(), this->Servers.end(), [](const Server &S) {
    return S.Row && S.FailedProbes == 0 && !S.RefusedConnection;
  });
  return Count >= majorityOf(this->Servers.size());
}

Term Monitor::highestTerm() const {
  Term Highest;
  for (const Server &S : this->Servers)
    if (S.Row)
      Highest = std::max(Highest, S.Row->Accepted);
  return Highest;
}

std::optional<size_t> Monitor::primaryIndex() const {
  std::optional<size_t> Best;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const std::optional<Status> &Row = this->Servers[I].Row;
    if (Row && Row->ServerRole == Role::Primary &&
        (!Best || Row->Accepted > this->Servers[*Best].Row->Accepted))
      Best = I;
  }
  if (!Best)
    return std::nullopt;
  Term T = this->Servers[*Best].Row->Accepted;
  size_t Left = std::count_if(this->Servers.begin(), this->Servers.end(),
                              [&](const Server &S) { return S.Row && S.Row->Accepted > T; });
  return Left < majorityOf(this->Servers.size()) ? Best : std::nullopt;
}

bool Monitor::follows(const Server &S, size_t Primary) const {
  const Server &P = this->Servers[Primary];
  return S.Row && S.Row->ServerRole == Role::Replica && S.Row->Accepted == P.Row->Accepted &&
         S.Row->Following == formatAddress(P.Definition.Host, P.Definition.Port);
}

// Returns a random duration between Base and twice Base, uniformly distributed.
absl::Duration Monitor::jittered(absl::Duration Base) {
  std::uniform_real_distribution<double> Spread(1.0, 2.0);
  return Base * Spread(this->Random);
}

Actions Monitor::advance(Instant Now) {
  this->LastAdvanceAt = Now;
  Term Highest = this->highestTerm();
  if (Highest > this->HighestTermSeen) {
    this->HighestTermSeen = Highest;
    this->HighestTermSeenAt = Now;
    this->TakeoverAt = Now + this->jittered(this->Options.ProbeInterval);
  }
  this->trackLeavingPrimary(Now);
  this->considerChange(Now);
  this->advanceAttempt(Now);
  this->removeInvalidHint(Now);
  this->sendFollowCalls(Now);
  this->startProbes(Now);
  this->startWaits(Now);
  this->completeTickets(Now);
  this->updateFreshness();
  this->publish(Now);
  return std::exchange(this->PendingActions, {});
}

void Monitor::startCall(size_t Index, Lane OnLane, Call Request, Instant Now) {
  Server &S = this->Servers[Index];
  LaneState &L = S.lane(OnLane);
  assert(L.Id == 0);
  L.Id = this->NextId++;
  L.Kind = Request.Kind;
  L.InTerm = Request.InTerm;
  L.StartedAt = Now;
  L.Probe = OnLane == Lane::Probe ? this->ReadVerifier.beginProbe() : 0;
  this->PendingActions.push_back(CallAction{
      .Server = S.Definition.Id, .OnLane = OnLane, .Id = L.Id, .Request = std::move(Request)});
}

void Monitor::onRow(size_t Index, Lane OnLane, const LaneState &FinishedCall, const Status &Row,
                    Instant Now) {
  Server &S = this->Servers[Index];
  S.FailedProbes = 0;
  S.RefusedConnection = false;
  this->WriteConfirmer.onRow(Index, Row);
  if (OnLane == Lane::Probe) {
    this->ReadVerifier.onRow(Index, FinishedCall.Probe, Row);
    S.lane(OnLane).NextAt =
        FinishedCall.StartedAt + this->Options.ProbeInterval * (PrimaryProbesPerReplicaProbe + 1);
    std::optional<size_t> P = this->primaryIndex();
    uint64_t PrimaryReceived = P ? this->Servers[*P].Row->Received : 0;
    S.LacksEntries = Row.Applied < std::max(Row.Received, PrimaryReceived);
  }
  // The server is about to apply the entries that it has received. The short probe interval shows
  // soon when the session that wrote them can read them there.
  if (OnLane == Lane::Wait && Row.Applied < Row.Received)
    S.LacksEntries = true;
  // A server may answer before it has reached the position. The delay avoids a tight loop of calls.
  if (OnLane == Lane::Wait && !Row.CallAccepted)
    S.lane(OnLane).NextAt = Now + RetryDelay;
  // A probe that began before the last control call ended may report the state before that call, so
  // its row is not stored.
  if (OnLane == Lane::Control || FinishedCall.StartedAt >= S.ControlAt) {
    S.Row = Row;
    S.RowAt = std::max(S.RowAt, FinishedCall.StartedAt);
  }
  if (OnLane != Lane::Control)
    return;
  S.ControlAt = Now;
  if (!this->ActiveAttempt || FinishedCall.InTerm != this->ActiveAttempt->Machine.term())
    return;
  if (FinishedCall.Kind == CallKind::Accept)
    this->ActiveAttempt->Machine.onAccept(Index, Row);
  else if (FinishedCall.Kind == CallKind::Promote)
    this->ActiveAttempt->Machine.onPromote(Row);
}

void Monitor::onFailure(size_t Index, Lane OnLane, const LaneState &FinishedCall,
                        CallFailure Failure, Instant Now) {
  Server &S = this->Servers[Index];
  S.lane(OnLane).NextAt = Now + RetryDelay;
  if (OnLane == Lane::Probe) {
    ++S.FailedProbes;
    S.RefusedConnection = Failure == CallFailure::Refused;
    if (Failure != CallFailure::Lost)
      S.lane(OnLane).NextAt =
          std::max(Now + RetryDelay, FinishedCall.StartedAt + this->Options.ProbeInterval);
  }
  // It is unknown whether the promotion took effect. Later probes show it.
  if (OnLane == Lane::Control && FinishedCall.Kind == CallKind::Promote && this->ActiveAttempt &&
      FinishedCall.InTerm == this->ActiveAttempt->Machine.term())
    this->ActiveAttempt->Machine.abandon();
}

// Returns the primary of a settled group, in which every server answers and follows the primary and
// no change of primary is under way or due.
std::optional<size_t> Monitor::settledPrimaryIndex() const {
  std::optional<size_t> P = this->primaryIndex();
  if (!P || this->ActiveAttempt || this->ChangeToFinish || this->PendingQuery ||
      !this->LeavingPrimary.Value.empty())
    return std::nullopt;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    if (!S.Row || S.FailedProbes != 0 || S.RefusedConnection || (I != *P && !this->follows(S, *P)))
      return std::nullopt;
  }
  return P;
}

// Sets the time of the next probe of each server that answers. The first failed probe of any server
// ends the longer interval of the others. So it is known whether a majority is reachable by the
// time that the primary is suspect.
void Monitor::planProbes() {
  std::optional<size_t> P = this->settledPrimaryIndex();
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    Server &S = this->Servers[I];
    LaneState &L = S.lane(Lane::Probe);
    if (L.Id != 0 || S.FailedProbes != 0)
      continue;
    Instant Next = L.StartedAt + this->Options.ProbeInterval;
    if (P && I != *P && !S.LacksEntries) {
      // The probe follows the last probe of the primary that starts before it is due.
      Instant Sample = this->Servers[*P].RowAt;
      Instant Due = L.StartedAt + this->Options.ProbeInterval * PrimaryProbesPerReplicaProbe;
      if (Sample + this->Options.ProbeInterval <= Due)
        continue;
      Next = Sample + ReplicaProbeDelay;
    }
    L.NextAt = std::min(L.NextAt, Next);
  }
}

void Monitor::startProbes(Instant Now) {
  this->planProbes();
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const LaneState &L = this->Servers[I].lane(Lane::Probe);
    bool Healthy = this->Servers[I].FailedProbes == 0;
    bool Due = Now >= L.NextAt || (Healthy && this->ReadVerifier.needsAnswerFrom(I));
    if (L.Id == 0 && Due)
      this->startCall(I, Lane::Probe,
                      {.Kind = CallKind::Status, .Timeout = this->Options.ProbeTimeout}, Now);
  }
}

// Starts the calls that wait for replication. One call for each server covers all waiting writes,
// because its answer reports the position that the server has reached.
void Monitor::startWaits(Instant Now) {
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    const LaneState &L = S.lane(Lane::Wait);
    if (L.Id != 0 || Now < L.NextAt || !S.Row || S.Row->ServerRole == Role::Primary)
      continue;
    if (std::optional<LogPosition> At = this->WriteConfirmer.lowestUnconfirmed(I))
      this->startCall(I, Lane::Wait,
                      {.Kind = CallKind::Wait,
                       .InTerm = At->InTerm,
                       .Position = At->Position,
                       .WaitLimit = WaitLimit,
                       .Timeout = WaitLimit + WaitAnswerTime},
                      Now);
  }
}

void Monitor::completeTickets(Instant Now) {
  for (const Confirmer::Completion &E : this->WriteConfirmer.takeCompleted(Now))
    this->PendingActions.push_back(ConfirmedAction{.Ticket = E.Ticket, .Result = E.Result});
  for (const Verifier::Completion &E : this->ReadVerifier.takeCompleted(Now))
    this->PendingActions.push_back(VerifiedAction{.Ticket = E.Ticket, .At = E.At});
}

// Updates the moment up to which each server has all data of the primary. It is never later than
// the last moment at which a majority was known to be in the term, because another primary may have
// newer data after that.
void Monitor::updateFreshness() {
  std::optional<size_t> P = this->primaryIndex();
  Term T = P ? this->Servers[*P].Row->Accepted : Term();
  if (T != this->PrimaryHistory.term()) {
    this->PrimaryHistory.reset(T);
    for (Server &S : this->Servers)
      S.CaughtUpAt = absl::InfinitePast();
  }
  if (!P)
    return;
  this->PrimaryHistory.addSample(this->Servers[*P].RowAt, this->Servers[*P].Row->Received);
  std::vector<Instant> InTerm;
  for (const Server &S : this->Servers)
    if (S.Row && S.Row->Accepted == T)
      InTerm.push_back(S.RowAt);
  if (InTerm.size() < majorityOf(this->Servers.size()))
    return;
  std::sort(InTerm.rbegin(), InTerm.rend());
  Instant Verified = InTerm[majorityOf(this->Servers.size()) - 1];
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    Server &S = this->Servers[I];
    if (!S.Row || S.Row->Accepted != T || (I != *P && S.Row->ServerRole != Role::Replica))
      continue;
    Instant CoveredUntil =
        I == *P ? S.RowAt
                : this->PrimaryHistory.currentAt(std::min(S.Row->Applied, S.Row->Received));
    S.CaughtUpAt = std::max(S.CaughtUpAt, std::min(CoveredUntil, Verified));
  }
}

// Publishes a new state if anything has changed. While an attempt of this daemon runs, no server is
// published as primary.
void Monitor::publish(Instant Now) {
  GroupState New;
  New.Database = this->Config.Database;
  std::optional<size_t> P = this->primaryIndex();
  New.CurrentTerm = P ? this->Servers[*P].Row->Accepted : this->Published.CurrentTerm;
  if (P && !this->ActiveAttempt)
    New.Primary = this->Servers[*P].Definition.Id;
  New.PrimaryIsDraining = New.Primary && this->CurrentUse == PrimaryUse::Transactions &&
                          this->waitsForOpenRequests(Now);
  if (this->CurrentHint)
    New.RedirectTo = this->CurrentHint->ReachingObserver;
  for (const Server &S : this->Servers) {
    ServerState &State = New.Servers.emplace_back();
    State.Id = S.Definition.Id;
    State.Reachable = this->isReachable(S);
    State.ObservedAt = S.RowAt;
    State.CaughtUpAt = S.CaughtUpAt;
    if (!S.Row)
      continue;
    State.CurrentRole = S.Row->ServerRole;
    State.Accepted = S.Row->Accepted;
    State.Received = S.Row->Received;
    State.Applied = S.Row->Applied;
  }
  if (sameState(New, this->Published))
    return;
  this->Published = std::move(New);
  this->PendingActions.push_back(ChangedAction{});
}

// Returns the next moment at which there is something to do. Moments up to the last call of
// advance() are left out, because that call has handled them.
Instant Monitor::nextTimer() const {
  Instant Next = absl::InfiniteFuture();
  auto Consider = [&](Instant At) {
    if (At > this->LastAdvanceAt)
      Next = std::min(Next, At);
  };
  for (const Server &S : this->Servers)
    for (const LaneState &L : S.Lanes)
      if (L.Id == 0)
        Consider(L.NextAt);
  Consider(this->WriteConfirmer.nextDeadline());
  Consider(this->ReadVerifier.nextDeadline());
  Consider(this->NextAttemptAt);
  Consider(this->TakeoverAt);
  Consider(this->leavingDeadline());
  if (this->PendingQuery)
    Consider(this->PendingQuery->Deadline);
  if (this->CurrentHint)
    Consider(this->CurrentHint->ReachingObserver.ValidUntil);
  if (this->ActiveAttempt)
    Consider(this->ActiveAttempt->Deadline);
  return Next;
}

} // namespace toucan::group
