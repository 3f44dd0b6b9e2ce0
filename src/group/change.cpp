// The part of Monitor that decides when to change the primary and carries out the change.
#include "group/monitor.h"

#include <algorithm>
#include <utility>

namespace toucan::group {

namespace {

constexpr absl::Duration AcceptTimeout = absl::Milliseconds(300); // limit of one call
constexpr absl::Duration AcceptLimit = absl::Seconds(1);          // limit of the accept phase
constexpr absl::Duration PromoteTimeout = absl::Seconds(3); // the server applies its log first
constexpr absl::Duration FollowTimeout = absl::Seconds(1);
constexpr absl::Duration FollowInterval = absl::Milliseconds(300);
constexpr absl::Duration BackoffBase = absl::Milliseconds(200); // doubles with each failure
constexpr int BackoffDoublings = 4;
constexpr absl::Duration ObserverBudget = absl::Milliseconds(400);
// Pause after an observer reached the primary, and the jitter added to it. Together with
// ObserverBudget they stay below HintValidity, so that the next answer arrives before the hint
// expires.
constexpr absl::Duration ObserverPause = absl::Seconds(1);
constexpr absl::Duration ObserverJitter = absl::Milliseconds(500);
constexpr absl::Duration HintValidity = absl::Seconds(2);
constexpr size_t ObserversAsked = 2;
// Delay before a new term is started for a minority that has accepted a later term.
constexpr absl::Duration TermAheadDelay = absl::Seconds(2);
// Maximum age of the data of a server that may replace a leaving primary.
constexpr absl::Duration CaughtUpAge = absl::Seconds(1);
// Pause between two changes of primary because of leaving targets.
constexpr absl::Duration LeavingPause = absl::Seconds(2);

// How long a leaving primary is kept. RequestsWait applies while the pool reports transactions
// or running requests there. ReportWait gives the pool time for its first report of them.
constexpr absl::Duration RequestsWait = absl::Seconds(5);
constexpr absl::Duration ReportWait = absl::Milliseconds(100);

// Causes of a change of primary.
constexpr std::string_view CauseRefused = "refused";
constexpr std::string_view CauseUnreachable = "unreachable";
constexpr std::string_view CauseNoPrimary = "no_primary";
constexpr std::string_view CauseLeaving = "leaving";
constexpr std::string_view CauseTermAhead = "term_ahead";

// Why requests are no longer sent to an observer.
constexpr std::string_view EndReached = "reached";
constexpr std::string_view EndChanged = "primary_changed";
constexpr std::string_view EndExpired = "expired";
constexpr std::string_view EndObserverGone = "observer_gone";
constexpr std::string_view EndNotOwner = "not_owner";

} // namespace

void Monitor::step(Step What, Term InTerm, const TargetId &Server, std::string_view Cause,
                   absl::Duration Elapsed, InstanceId Observer) {
  this->Out.push_back(StepAction{.What = What,
                                 .InTerm = InTerm,
                                 .Server = Server,
                                 .Cause = Cause,
                                 .Elapsed = Elapsed,
                                 .Observer = std::move(Observer)});
}

// Decides whether a change of primary is due.
void Monitor::considerChange(Instant Now) {
  if (!this->Config.Owner || this->Change || this->Servers.empty())
    return;
  std::optional<size_t> P = this->primary();
  if (P && !this->suspect(this->Servers[*P])) {
    this->Question.reset();
    if (Now >= this->NextAttemptAt)
      this->considerHealthy(*P, Now);
    return;
  }
  if (Now < this->NextAttemptAt || !this->reachableMajority())
    return;
  if (P)
    this->confirmSuspicion(*P, this->Servers[*P].Row->Accepted, Now);
  else
    this->considerMissing(Now);
}

// Records whether the current primary is leaving, and since when.
void Monitor::noteLeaving(Instant Now) {
  std::optional<size_t> P = this->primary();
  bool Leaving = P && this->Servers[*P].Def.Leaving;
  TargetId Id = Leaving ? this->Servers[*P].Def.Id : TargetId();
  if (Id == this->LeavingPrimary)
    return;
  this->LeavingPrimary = Id;
  this->LeavingSince = Leaving ? Now : absl::InfinitePast();
}

Instant Monitor::leavingDeadline() const {
  return this->LeavingSince + (this->Use == PrimaryUse::None ? ReportWait : RequestsWait);
}

// Decides whether a leaving primary is still kept for its open transactions and requests.
bool Monitor::awaitsRequests(Instant Now) const {
  return !this->LeavingPrimary.Value.empty() && Now < this->leavingDeadline();
}

// Decides whether to replace a primary that answers. It is replaced only when it is leaving, or
// when a minority has accepted a later term. That minority would otherwise stay fenced.
void Monitor::considerHealthy(size_t Primary, Instant Now) {
  const Server &P = this->Servers[Primary];
  bool Ahead = std::any_of(this->Servers.begin(), this->Servers.end(), [&](const Server &S) {
    return this->reachable(S) && S.Row->Accepted > P.Row->Accepted;
  });
  if (Ahead && Now >= this->TermSeenAt + TermAheadDelay) {
    this->startAttempt(CauseTermAhead, std::vector<bool>(this->Servers.size(), true), Now);
    return;
  }
  if (!P.Def.Leaving || Ahead || this->awaitsRequests(Now))
    return;
  std::vector<bool> Staying(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    Staying[I] = !S.Def.Leaving && this->reachable(S) && this->follows(S, Primary) &&
                 Now - S.CurrentAt <= CaughtUpAge;
  }
  size_t Count = std::count(Staying.begin(), Staying.end(), true);
  if (Count < majorityOf(this->Servers.size()))
    return;
  // The old primary gets no accept call. Its term ends when a majority, all of them other servers,
  // accepts the new term.
  this->startAttempt(CauseLeaving, std::move(Staying), Now);
}

// Decides what to do when no primary is known. If replicas still follow a suspect server, that
// server may be a working primary that only this daemon cannot reach, so observers are asked first.
void Monitor::considerMissing(Instant Now) {
  bool AllKnown = std::all_of(this->Servers.begin(), this->Servers.end(),
                              [this](const Server &S) { return S.Row || this->suspect(S); });
  if (!AllKnown)
    return;
  Term Highest = this->highestTerm();
  for (const Server &S : this->Servers) {
    if (!this->reachable(S) || S.Row->Is != Role::Replica || S.Row->Accepted != Highest)
      continue;
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      const Server &Followed = this->Servers[I];
      if (S.Row->Following == addressOf(Followed.Def.Host, Followed.Def.Port) &&
          this->suspect(Followed)) {
        this->confirmSuspicion(I, Highest, Now);
        return;
      }
    }
  }
  // Another proposer may be about to promote a server. It gets time for that before this daemon
  // starts a higher term.
  if (Highest == Term() || Now >= this->TakeoverAt)
    this->startAttempt(CauseNoPrimary, std::vector<bool>(this->Servers.size(), true), Now);
}

// Asks observers once whether they reach a suspect primary. Starts an attempt when all of them have
// denied it or the time for their answers has passed.
void Monitor::confirmSuspicion(size_t Target, Term InTerm, Instant Now) {
  const Server &S = this->Servers[Target];
  std::string_view Cause = S.Refused ? CauseRefused : CauseUnreachable;
  if (this->Question && (this->Question->Target != Target || this->Question->InTerm != InTerm))
    this->Question.reset();
  if (!this->Question) {
    this->step(Step::Suspected, InTerm, S.Def.Id, Cause, absl::ZeroDuration());
    this->Question = Asking{.Target = Target,
                            .InTerm = InTerm,
                            .Cause = Cause,
                            .Pending = {},
                            .Deadline = Now + ObserverBudget,
                            .Reached = std::nullopt};
    this->askObservers();
  }
  if (this->settleQuestion(Now))
    return;
  if (!this->Question->Pending.empty() && Now < this->Question->Deadline)
    return;
  this->Question.reset();
  this->startAttempt(Cause, std::vector<bool>(this->Servers.size(), true), Now);
}

// Asks the observer of the current hint, if there is one, and randomly chosen other instances.
void Monitor::askObservers() {
  std::vector<InstanceId> Peers = this->Config.Peers;
  std::shuffle(Peers.begin(), Peers.end(), this->Random);
  if (this->Reached)
    std::stable_partition(Peers.begin(), Peers.end(),
                          [this](const InstanceId &Id) { return Id == this->Reached->By.Id; });
  Peers.resize(std::min(Peers.size(), ObserversAsked));
  for (const InstanceId &Peer : Peers) {
    uint64_t Id = this->NextId++;
    this->Question->Pending.emplace_back(Id, Peer);
    this->Out.push_back(AskPeerAction{.Peer = Peer,
                                      .ProbeId = Id,
                                      .Target = this->Servers[this->Question->Target].Def.Id,
                                      .Budget = ObserverBudget});
  }
}

Actions Monitor::onPeerProbe(uint64_t ProbeId, bool Reachable, Term Accepted, Instant Now) {
  if (!this->Question)
    return this->advance(Now);
  auto &Pending = this->Question->Pending;
  auto It = std::find_if(Pending.begin(), Pending.end(),
                         [&](const auto &Asked) { return Asked.first == ProbeId; });
  if (It == Pending.end())
    return this->advance(Now);
  InstanceId Peer = It->second;
  Pending.erase(It);
  bool Named = this->Reached && this->Reached->By.Id == Peer;
  if (Reachable && Accepted == this->Question->InTerm && (Named || !this->Question->Reached))
    this->Question->Reached = Peer;
  this->settleQuestion(Now);
  return this->advance(Now);
}

// Ends the query and keeps the primary when an observer reaches it. Waits for the answer of the
// current hint's observer first, so that requests do not move between observers that both reach the
// primary. Returns whether the query has ended.
bool Monitor::settleQuestion(Instant Now) {
  const Asking &Q = *this->Question;
  if (!Q.Reached)
    return false;
  bool NamedPending =
      this->Reached && std::any_of(Q.Pending.begin(), Q.Pending.end(), [this](const auto &Asked) {
        return Asked.second == this->Reached->By.Id;
      });
  if (NamedPending && Now < Q.Deadline)
    return false;
  this->keepPrimary(*Q.Reached, Now);
  return true;
}

// Keeps a primary that an observer reaches. Requests that need the primary are sent to the
// observer.
void Monitor::keepPrimary(InstanceId ReachedBy, Instant Now) {
  const Asking &Q = *this->Question;
  const TargetId &Id = this->Servers[Q.Target].Def.Id;
  this->step(Step::Kept, Q.InTerm, Id, Q.Cause, absl::ZeroDuration(), ReachedBy);
  bool Same = this->Reached && this->Reached->By.Id == ReachedBy && this->Reached->Primary == Id &&
              this->Reached->InTerm == Q.InTerm;
  if (!Same)
    this->step(Step::Redirected, Q.InTerm, Id, Q.Cause, absl::ZeroDuration(), ReachedBy);
  this->Reached = Hint{.By = {.Id = std::move(ReachedBy), .Until = Now + HintValidity},
                       .Primary = Id,
                       .InTerm = Q.InTerm};
  this->Question.reset();
  std::uniform_real_distribution<double> Jitter(0.0, 1.0);
  this->NextAttemptAt = Now + ObserverPause + ObserverJitter * Jitter(this->Random);
}

// Returns why the hint is no longer valid, or an empty text while it is. A daemon that has never
// reached the primary knows the primary's term from the replicas only.
std::string_view Monitor::hintEnd(Instant Now) const {
  const Hint &H = *this->Reached;
  if (!this->Config.Owner)
    return EndNotOwner;
  const Server *S = this->find(H.Primary);
  std::optional<size_t> P = this->primary();
  bool Same =
      P ? this->Servers[*P].Def.Id == H.Primary && this->Servers[*P].Row->Accepted == H.InTerm
        : this->highestTerm() == H.InTerm;
  if (!S || !Same || this->Change)
    return EndChanged;
  if (!this->suspect(*S))
    return EndReached;
  if (Now >= H.By.Until)
    return EndExpired;
  bool Alive = std::find(this->Config.Peers.begin(), this->Config.Peers.end(), H.By.Id) !=
               this->Config.Peers.end();
  return Alive ? "" : EndObserverGone;
}

// Removes a hint that is no longer valid.
void Monitor::reviewHint(Instant Now) {
  if (!this->Reached)
    return;
  std::string_view Cause = this->hintEnd(Now);
  if (Cause.empty())
    return;
  this->step(Step::RedirectEnded, this->Reached->InTerm, this->Reached->Primary, Cause,
             absl::ZeroDuration(), this->Reached->By.Id);
  this->Reached.reset();
}

// Starts an attempt with a new term, higher than any that this daemon has seen or used.
void Monitor::startAttempt(std::string_view Cause, std::vector<bool> Asked, Instant Now) {
  Term T(std::max(this->TermSeen, this->LastAttempted).Value + 1);
  this->LastAttempted = T;
  PerServer<bool> Avoid;
  for (Server &S : this->Servers) {
    Avoid.push_back(S.Def.Leaving);
    S.lane(Lane::Control).NextAt = Now;
  }
  this->Change = Running{.Try = Attempt(T, this->Options.Proposer, std::move(Avoid)),
                         .Asked = std::move(Asked),
                         .Cause = Cause,
                         .Started = Now,
                         .Deadline = Now + AcceptLimit};
  this->step(Step::Started, T, TargetId(), Cause, absl::ZeroDuration());
}

// Sends the calls of the attempt's current phase, and ends the attempt when it is done.
void Monitor::driveAttempt(Instant Now) {
  if (!this->Change)
    return;
  Attempt &Try = this->Change->Try;
  if (Try.phase() == Attempt::Phase::Accepting) {
    Try.onTerm(this->TermSeen);
    if (Now >= this->Change->Deadline)
      Try.abandon();
  }
  // The chosen server no longer answers. Whether it was promoted is known when it answers again.
  if (Try.phase() == Attempt::Phase::Promoting && this->suspect(this->Servers[Try.chosen()]))
    Try.abandon();
  switch (Try.phase()) {
  case Attempt::Phase::Accepting:
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      const Outstanding &L = this->Servers[I].lane(Lane::Control);
      if (this->Change->Asked[I] && !Try.answered(I) && L.Id == 0 && Now >= L.NextAt)
        this->call(I, Lane::Control,
                   {.Kind = CallKind::Accept,
                    .InTerm = Try.term(),
                    .Proposer = Try.proposer(),
                    .Timeout = AcceptTimeout},
                   Now);
    }
    return;
  case Attempt::Phase::Promoting:
    if (this->Change->PromoteSent || this->Servers[Try.chosen()].lane(Lane::Control).Id != 0)
      return;
    this->Change->PromoteSent = true;
    this->step(Step::Fenced, Try.term(), this->Servers[Try.chosen()].Def.Id, this->Change->Cause,
               Now - this->Change->Started);
    this->call(Try.chosen(), Lane::Control,
               {.Kind = CallKind::Promote,
                .InTerm = Try.term(),
                .Proposer = Try.proposer(),
                .Timeout = PromoteTimeout},
               Now);
    return;
  case Attempt::Phase::Promoted:
    this->onPromoted(Now);
    return;
  case Attempt::Phase::Abandoned:
    this->abandonAttempt(Now);
    return;
  }
}

void Monitor::onPromoted(Instant Now) {
  const Running &R = *this->Change;
  const TargetId &Id = this->Servers[R.Try.chosen()].Def.Id;
  this->step(Step::Promoted, R.Try.term(), Id, R.Cause, Now - R.Started);
  this->Finishing =
      Settling{.InTerm = R.Try.term(), .Primary = Id, .Cause = R.Cause, .Started = R.Started};
  this->Failures = 0;
  this->NextAttemptAt = R.Cause == CauseLeaving ? Now + LeavingPause : Now;
  for (Server &S : this->Servers)
    S.lane(Lane::Control).NextAt = Now;
  this->Change.reset();
}

// Ends an attempt that is not known to have promoted a server, and delays the next one. No state of
// the attempt is kept: the next decision depends only on what the servers report.
void Monitor::abandonAttempt(Instant Now) {
  this->step(Step::Abandoned, this->Change->Try.term(), TargetId(), this->Change->Cause,
             Now - this->Change->Started);
  this->Change.reset();
  int Doublings = std::min(this->Failures++, BackoffDoublings);
  this->NextAttemptAt = Now + this->jittered(BackoffBase * (1 << Doublings));
}

// Calls each server that does not follow the primary to follow it. Such a server was not chosen in
// a change, is an old primary that has returned, or follows another server. Also reports a change
// as finished when a majority follows the new primary.
void Monitor::repair(Instant Now) {
  std::optional<size_t> P = this->primary();
  if (!this->Config.Owner || this->Change || !P)
    return;
  const Server &Primary = this->Servers[*P];
  Term T = Primary.Row->Accepted;
  size_t InTerm = 1;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    Server &S = this->Servers[I];
    if (I == *P)
      continue;
    if (this->follows(S, *P)) {
      ++InTerm;
      continue;
    }
    Outstanding &L = S.lane(Lane::Control);
    if (!this->reachable(S) || this->suspect(Primary) || S.Row->Accepted > T || L.Id != 0 ||
        Now < L.NextAt)
      continue;
    L.NextAt = Now + FollowInterval;
    this->call(I, Lane::Control,
               {.Kind = CallKind::Follow,
                .InTerm = T,
                .Host = Primary.Def.Host,
                .Port = Primary.Def.Port,
                .Timeout = FollowTimeout},
               Now);
  }
  if (!this->Finishing)
    return;
  if (this->Finishing->InTerm != T) {
    this->Finishing.reset();
  } else if (InTerm >= majorityOf(this->Servers.size())) {
    this->step(Step::Finished, T, this->Finishing->Primary, this->Finishing->Cause,
               Now - this->Finishing->Started);
    this->Finishing.reset();
  }
}

} // namespace toucan::group
