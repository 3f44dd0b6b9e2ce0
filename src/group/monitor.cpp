#include "group/monitor.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucan::group {

namespace {

constexpr absl::Duration WaitLimit = absl::Seconds(1);        // of one group_wait inside the server
constexpr absl::Duration WaitGrace = absl::Milliseconds(500); // for its answer to arrive
constexpr absl::Duration RetryDelay = absl::Milliseconds(50); // after a failed call

// Each replica of a settled group is probed once for this many probes of the primary. Reads that
// allow an age of 1 s must be able to use the replicas. With a latency of 20 ms one way, the age of
// a replica reaches 0.64 s with 2 and 0.94 s with 3.
constexpr int ReplicaProbeEvery = 2;
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
    return X.Id == Y.Id && X.Reachable == Y.Reachable && X.Is == Y.Is && X.Accepted == Y.Accepted &&
           X.Received == Y.Received && X.Applied == Y.Applied && X.AsOf == Y.AsOf &&
           X.CurrentAt == Y.CurrentAt;
  };
  return A.Current == B.Current && A.Primary == B.Primary &&
         A.AwaitsTransactions == B.AwaitsTransactions && A.ReachedBy == B.ReachedBy &&
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
  if (this->Change && (!Same || (!this->Config.Owner && !this->Change->PromoteSent)))
    this->abandonAttempt(Now);
  if (!this->Config.Owner)
    this->Question.reset();
  if (Same) {
    for (size_t I = 0; I < this->Servers.size(); ++I)
      this->Servers[I].Def = this->Config.Servers[I];
    return this->advance(Now);
  }
  this->Question.reset();
  std::vector<Server> Old = std::exchange(this->Servers, {});
  for (const MonitoredServer &Def : this->Config.Servers) {
    auto It = std::find_if(Old.begin(), Old.end(), [&](const Server &S) {
      return S.Def.Id == Def.Id && S.Def.Host == Def.Host && S.Def.Port == Def.Port;
    });
    this->Servers.push_back(It == Old.end() ? Server{} : std::move(*It));
    this->Servers.back().Def = Def;
  }
  this->Writes.resize(this->Servers.size());
  this->Reads.resize(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I)
    if (this->Servers[I].Row)
      this->Writes.onRow(I, *this->Servers[I].Row);
  return this->advance(Now);
}

Actions Monitor::onAnswer(const TargetId &Id, Lane On, uint64_t CallId, const Answer &Got,
                          Instant Now) {
  if (!this->awaits(Id, On, CallId))
    return this->advance(Now);
  size_t Index = this->find(Id) - this->Servers.data();
  Outstanding Asked = this->Servers[Index].lane(On);
  this->Servers[Index].lane(On).Id = 0;
  if (Got.Row)
    this->onRow(Index, On, Asked, *Got.Row, Now);
  else
    this->onFailure(Index, On, Asked, Got.Failure, Now);
  return this->advance(Now);
}

Actions Monitor::onConnectionLost(const TargetId &Id, Instant Now) {
  if (const Server *S = this->find(Id)) {
    Outstanding &L = this->Servers[S - this->Servers.data()].lane(Lane::Probe);
    L.NextAt = std::min(L.NextAt, Now);
  }
  return this->advance(Now);
}

Actions Monitor::confirm(uint64_t Ticket, LogPosition At, Instant Deadline, Instant Now) {
  this->Writes.add(Ticket, At, Deadline);
  return this->advance(Now);
}

Actions Monitor::verify(uint64_t Ticket, Instant Deadline, Instant Now) {
  this->Reads.add(Ticket, Deadline);
  return this->advance(Now);
}

Actions Monitor::usePrimary(PrimaryUse NewUse, Instant Now) {
  this->Use = NewUse;
  return this->advance(Now);
}

Actions Monitor::onTimer(Instant Now) { return this->advance(Now); }

bool Monitor::awaits(const TargetId &Id, Lane On, uint64_t CallId) const {
  const Server *S = this->find(Id);
  return S && S->lane(On).Id == CallId;
}

const Monitor::Server *Monitor::find(const TargetId &Id) const {
  auto It = std::find_if(this->Servers.begin(), this->Servers.end(),
                         [&](const Server &S) { return S.Def.Id == Id; });
  return It == this->Servers.end() ? nullptr : &*It;
}

bool Monitor::suspect(const Server &S) const {
  return S.Refused || S.Misses >= this->Options.ProbesToSuspect;
}

// Decides whether a majority answered its last probe. A server whose last probe failed does not
// count, even before it is suspect. Otherwise a daemon that has just lost its connection to the
// majority would fence the minority that it still reaches.
bool Monitor::reachableMajority() const {
  size_t Count = std::count_if(this->Servers.begin(), this->Servers.end(), [](const Server &S) {
    return S.Row && S.Misses == 0 && !S.Refused;
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

std::optional<size_t> Monitor::primary() const {
  std::optional<size_t> Best;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const std::optional<Status> &Row = this->Servers[I].Row;
    if (Row && Row->Is == Role::Primary &&
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
  return S.Row && S.Row->Is == Role::Replica && S.Row->Accepted == P.Row->Accepted &&
         S.Row->Following == addressOf(P.Def.Host, P.Def.Port);
}

// Returns a random duration between Base and twice Base, uniformly distributed.
absl::Duration Monitor::jittered(absl::Duration Base) {
  std::uniform_real_distribution<double> Spread(1.0, 2.0);
  return Base * Spread(this->Random);
}

Actions Monitor::advance(Instant Now) {
  this->LastNow = Now;
  Term Highest = this->highestTerm();
  if (Highest > this->TermSeen) {
    this->TermSeen = Highest;
    this->TermSeenAt = Now;
    this->TakeoverAt = Now + this->jittered(this->Options.ProbeInterval);
  }
  this->noteLeaving(Now);
  this->considerChange(Now);
  this->driveAttempt(Now);
  this->reviewHint(Now);
  this->repair(Now);
  this->startProbes(Now);
  this->startWaits(Now);
  this->endTickets(Now);
  this->updateFreshness();
  this->publish(Now);
  return std::exchange(this->Out, {});
}

void Monitor::call(size_t Index, Lane On, Call What, Instant Now) {
  Server &S = this->Servers[Index];
  Outstanding &L = S.lane(On);
  assert(L.Id == 0);
  L.Id = this->NextId++;
  L.Kind = What.Kind;
  L.InTerm = What.InTerm;
  L.AskedAt = Now;
  L.Probe = On == Lane::Probe ? this->Reads.beginProbe() : 0;
  this->Out.push_back(
      CallAction{.Server = S.Def.Id, .On = On, .Id = L.Id, .What = std::move(What)});
}

void Monitor::onRow(size_t Index, Lane On, const Outstanding &Asked, const Status &Row,
                    Instant Now) {
  Server &S = this->Servers[Index];
  S.Misses = 0;
  S.Refused = false;
  this->Writes.onRow(Index, Row);
  if (On == Lane::Probe) {
    this->Reads.onRow(Index, Asked.Probe, Row);
    S.lane(On).NextAt = Asked.AskedAt + this->Options.ProbeInterval * (ReplicaProbeEvery + 1);
    std::optional<size_t> P = this->primary();
    uint64_t Known = P ? this->Servers[*P].Row->Received : 0;
    S.Behind = Row.Applied < std::max(Row.Received, Known);
  }
  // The server is about to apply the entries that it has received. The short probe interval shows
  // soon when the session that wrote them can read them there.
  if (On == Lane::Wait && Row.Applied < Row.Received)
    S.Behind = true;
  // A server may answer before it has reached the position. The delay avoids a tight loop of calls.
  if (On == Lane::Wait && !Row.CallAccepted)
    S.lane(On).NextAt = Now + RetryDelay;
  // A probe that began before the last control call ended may report the state before that call, so
  // its row is not stored.
  if (On == Lane::Control || Asked.AskedAt >= S.ControlAt) {
    S.Row = Row;
    S.RowAt = std::max(S.RowAt, Asked.AskedAt);
  }
  if (On != Lane::Control)
    return;
  S.ControlAt = Now;
  if (!this->Change || Asked.InTerm != this->Change->Try.term())
    return;
  if (Asked.Kind == CallKind::Accept)
    this->Change->Try.onAccept(Index, Row);
  else if (Asked.Kind == CallKind::Promote)
    this->Change->Try.onPromote(Row);
}

void Monitor::onFailure(size_t Index, Lane On, const Outstanding &Asked, CallFailure Failure,
                        Instant Now) {
  Server &S = this->Servers[Index];
  S.lane(On).NextAt = Now + RetryDelay;
  if (On == Lane::Probe) {
    ++S.Misses;
    S.Refused = Failure == CallFailure::Refused;
    if (Failure != CallFailure::Lost)
      S.lane(On).NextAt = std::max(Now + RetryDelay, Asked.AskedAt + this->Options.ProbeInterval);
  }
  // It is unknown whether the promotion took effect. Later probes show it.
  if (On == Lane::Control && Asked.Kind == CallKind::Promote && this->Change &&
      Asked.InTerm == this->Change->Try.term())
    this->Change->Try.abandon();
}

// Returns the primary of a settled group, in which every server answers and follows the primary and
// no change of primary is under way or due.
std::optional<size_t> Monitor::settledPrimary() const {
  std::optional<size_t> P = this->primary();
  if (!P || this->Change || this->Finishing || this->Question ||
      !this->LeavingPrimary.Value.empty())
    return std::nullopt;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    if (!S.Row || S.Misses != 0 || S.Refused || (I != *P && !this->follows(S, *P)))
      return std::nullopt;
  }
  return P;
}

// Sets the time of the next probe of each server that answers. The first failed probe of any server
// ends the longer interval of the others. So it is known whether a majority is reachable by the
// time that the primary is suspect.
void Monitor::planProbes() {
  std::optional<size_t> P = this->settledPrimary();
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    Server &S = this->Servers[I];
    Outstanding &L = S.lane(Lane::Probe);
    if (L.Id != 0 || S.Misses != 0)
      continue;
    Instant Next = L.AskedAt + this->Options.ProbeInterval;
    if (P && I != *P && !S.Behind) {
      // The probe follows the last probe of the primary that starts before it is due.
      Instant Sample = this->Servers[*P].RowAt;
      Instant Due = L.AskedAt + this->Options.ProbeInterval * ReplicaProbeEvery;
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
    const Outstanding &L = this->Servers[I].lane(Lane::Probe);
    bool Healthy = this->Servers[I].Misses == 0;
    bool Due = Now >= L.NextAt || (Healthy && this->Reads.wants(I));
    if (L.Id == 0 && Due)
      this->call(I, Lane::Probe, {.Kind = CallKind::Status, .Timeout = this->Options.ProbeTimeout},
                 Now);
  }
}

// Starts the calls that wait for replication. One call for each server covers all waiting writes,
// because its answer reports the position that the server has reached.
void Monitor::startWaits(Instant Now) {
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    const Outstanding &L = S.lane(Lane::Wait);
    if (L.Id != 0 || Now < L.NextAt || !S.Row || S.Row->Is == Role::Primary)
      continue;
    if (std::optional<LogPosition> At = this->Writes.wanted(I))
      this->call(I, Lane::Wait,
                 {.Kind = CallKind::Wait,
                  .InTerm = At->InTerm,
                  .Position = At->Position,
                  .WaitLimit = WaitLimit,
                  .Timeout = WaitLimit + WaitGrace},
                 Now);
  }
}

void Monitor::endTickets(Instant Now) {
  for (const Confirmer::Ended &E : this->Writes.takeEnded(Now))
    this->Out.push_back(ConfirmedAction{.Ticket = E.Ticket, .Result = E.Result});
  for (const Verifier::Ended &E : this->Reads.takeEnded(Now))
    this->Out.push_back(VerifiedAction{.Ticket = E.Ticket, .At = E.At});
}

// Updates the moment up to which each server has all data of the primary. It is never later than
// the last moment at which a majority was known to be in the term, because another primary may have
// newer data after that.
void Monitor::updateFreshness() {
  std::optional<size_t> P = this->primary();
  Term T = P ? this->Servers[*P].Row->Accepted : Term();
  if (T != this->History.term()) {
    this->History.reset(T);
    for (Server &S : this->Servers)
      S.CurrentAt = absl::InfinitePast();
  }
  if (!P)
    return;
  this->History.sample(this->Servers[*P].RowAt, this->Servers[*P].Row->Received);
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
    if (!S.Row || S.Row->Accepted != T || (I != *P && S.Row->Is != Role::Replica))
      continue;
    Instant Had =
        I == *P ? S.RowAt : this->History.currentAt(std::min(S.Row->Applied, S.Row->Received));
    S.CurrentAt = std::max(S.CurrentAt, std::min(Had, Verified));
  }
}

// Publishes a new state if anything has changed. While an attempt of this daemon runs, no server is
// published as primary.
void Monitor::publish(Instant Now) {
  GroupState New;
  New.Database = this->Config.Database;
  std::optional<size_t> P = this->primary();
  New.Current = P ? this->Servers[*P].Row->Accepted : this->Published.Current;
  if (P && !this->Change)
    New.Primary = this->Servers[*P].Def.Id;
  New.AwaitsTransactions =
      New.Primary && this->Use == PrimaryUse::Transactions && this->awaitsRequests(Now);
  if (this->Reached)
    New.ReachedBy = this->Reached->By;
  for (const Server &S : this->Servers) {
    ServerState &State = New.Servers.emplace_back();
    State.Id = S.Def.Id;
    State.Reachable = this->reachable(S);
    State.AsOf = S.RowAt;
    State.CurrentAt = S.CurrentAt;
    if (!S.Row)
      continue;
    State.Is = S.Row->Is;
    State.Accepted = S.Row->Accepted;
    State.Received = S.Row->Received;
    State.Applied = S.Row->Applied;
  }
  if (sameState(New, this->Published))
    return;
  this->Published = std::move(New);
  this->Out.push_back(ChangedAction{});
}

// Returns the next moment at which there is something to do. Moments up to the last call of
// advance() are left out, because that call has handled them.
Instant Monitor::nextTimer() const {
  Instant Next = absl::InfiniteFuture();
  auto Consider = [&](Instant At) {
    if (At > this->LastNow)
      Next = std::min(Next, At);
  };
  for (const Server &S : this->Servers)
    for (const Outstanding &L : S.Lanes)
      if (L.Id == 0)
        Consider(L.NextAt);
  Consider(this->Writes.nextDeadline());
  Consider(this->Reads.nextDeadline());
  Consider(this->NextAttemptAt);
  Consider(this->TakeoverAt);
  Consider(this->leavingDeadline());
  if (this->Question)
    Consider(this->Question->Deadline);
  if (this->Reached)
    Consider(this->Reached->By.Until);
  if (this->Change)
    Consider(this->Change->Deadline);
  return Next;
}

} // namespace toucan::group
