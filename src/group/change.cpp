// The part of Monitor that decides when to change the primary and carries out the change.
#include "group/monitor.h"

#include <algorithm>
#include <utility>

namespace toucan::group {

namespace {

constexpr absl::Duration AcceptTimeout = absl::Milliseconds(300); // limit of one call
constexpr absl::Duration AcceptPhaseLimit = absl::Seconds(1);     // limit of the accept phase
constexpr absl::Duration PromoteTimeout = absl::Seconds(3); // the server applies its log first
constexpr absl::Duration FollowTimeout = absl::Seconds(1);
constexpr absl::Duration FollowInterval = absl::Milliseconds(300);
constexpr absl::Duration BackoffBase = absl::Milliseconds(200); // doubles with each failure
constexpr int MaxBackoffDoublings = 4;
constexpr absl::Duration ObserverBudget = absl::Milliseconds(400);
// Pause after an observer reached the primary, and the jitter added to it. Together with
// ObserverBudget they stay below HintValidity, so that the next answer arrives before the hint
// expires.
constexpr absl::Duration ObserverPause = absl::Seconds(1);
constexpr absl::Duration ObserverJitter = absl::Milliseconds(500);
constexpr absl::Duration HintValidity = absl::Seconds(2);
constexpr size_t MaxObservers = 2;
// Delay before a new term is started for a minority that has accepted a later term.
constexpr absl::Duration TermAheadDelay = absl::Seconds(2);
// Maximum age of the data of a server that may replace a leaving primary.
constexpr absl::Duration CaughtUpAge = absl::Seconds(1);
// Pause between two changes of primary because of leaving targets.
constexpr absl::Duration LeavingPause = absl::Seconds(2);

// How long a leaving primary is kept. OpenRequestsWait applies while the pool reports transactions
// or running requests there. FirstReportWait gives the pool time for its first report of them.
constexpr absl::Duration OpenRequestsWait = absl::Seconds(5);
constexpr absl::Duration FirstReportWait = absl::Milliseconds(100);

// Causes of a change of primary.
constexpr std::string_view CauseRefused = "refused";
constexpr std::string_view CauseUnreachable = "unreachable";
constexpr std::string_view CauseNoPrimary = "no_primary";
constexpr std::string_view CauseLeaving = "leaving";
constexpr std::string_view CauseTermAhead = "term_ahead";

// Why requests are no longer sent to an observer.
constexpr std::string_view RedirectEndReached = "reached";
constexpr std::string_view RedirectEndChanged = "primary_changed";
constexpr std::string_view RedirectEndExpired = "expired";
constexpr std::string_view RedirectEndObserverGone = "observer_gone";
constexpr std::string_view RedirectEndNotOwner = "not_owner";

} // namespace

void Monitor::reportStep(Step Kind, Term InTerm, const TargetId &Server, std::string_view Cause,
                         absl::Duration Elapsed, InstanceId Observer) {
  this->PendingActions.push_back(StepAction{.Kind = Kind,
                                            .InTerm = InTerm,
                                            .Server = Server,
                                            .Cause = Cause,
                                            .Elapsed = Elapsed,
                                            .Observer = std::move(Observer)});
}

// Decides whether a change of primary is due.
void Monitor::considerChange(Instant Now) {
  if (!this->Config.IsOwner || this->ActiveAttempt || this->Servers.empty())
    return;
  std::optional<size_t> P = this->primaryIndex();
  if (P && !this->isSuspect(this->Servers[*P])) {
    this->PendingQuery.reset();
    if (Now >= this->NextAttemptAt)
      this->considerAnsweringPrimary(*P, Now);
    return;
  }
  if (Now < this->NextAttemptAt || !this->hasReachableMajority())
    return;
  if (P)
    this->confirmSuspicion(*P, this->Servers[*P].Row->Accepted, Now);
  else
    this->considerMissingPrimary(Now);
}

// Records whether the current primary is leaving, and since when.
void Monitor::trackLeavingPrimary(Instant Now) {
  std::optional<size_t> P = this->primaryIndex();
  bool Leaving = P && this->Servers[*P].Definition.IsLeaving;
  TargetId Id = Leaving ? this->Servers[*P].Definition.Id : TargetId();
  if (Id == this->LeavingPrimary)
    return;
  this->LeavingPrimary = Id;
  this->LeavingSince = Leaving ? Now : absl::InfinitePast();
}

Instant Monitor::leavingDeadline() const {
  return this->LeavingSince +
         (this->CurrentUse == PrimaryUse::None ? FirstReportWait : OpenRequestsWait);
}

// Decides whether a leaving primary is still kept for its open transactions and requests.
bool Monitor::waitsForOpenRequests(Instant Now) const {
  return !this->LeavingPrimary.Value.empty() && Now < this->leavingDeadline();
}

// Decides whether to replace a primary that answers. It is replaced only when it is leaving, or
// when a minority has accepted a later term. That minority would otherwise stay fenced.
void Monitor::considerAnsweringPrimary(size_t Primary, Instant Now) {
  const Server &P = this->Servers[Primary];
  bool MinorityAhead =
      std::any_of(this->Servers.begin(), this->Servers.end(), [&](const Server &S) {
        return this->isReachable(S) && S.Row->Accepted > P.Row->Accepted;
      });
  if (MinorityAhead && Now >= this->HighestTermSeenAt + TermAheadDelay) {
    this->startAttempt(CauseTermAhead, std::vector<bool>(this->Servers.size(), true), Now);
    return;
  }
  if (!P.Definition.IsLeaving || MinorityAhead || this->waitsForOpenRequests(Now))
    return;
  std::vector<bool> Successors(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &S = this->Servers[I];
    Successors[I] = !S.Definition.IsLeaving && this->isReachable(S) && this->follows(S, Primary) &&
                    Now - S.CaughtUpAt <= CaughtUpAge;
  }
  size_t Count = std::count(Successors.begin(), Successors.end(), true);
  if (Count < majorityOf(this->Servers.size()))
    return;
  // The old primary gets no accept call. Its term ends when a majority, all of them other servers,
  // accepts the new term.
  this->startAttempt(CauseLeaving, std::move(Successors), Now);
}

// Decides what to do when no primary is known. If replicas still follow a suspect server, that
// server may be a working primary that only this daemon cannot reach, so observers are asked first.
void Monitor::considerMissingPrimary(Instant Now) {
  bool AllKnown = std::all_of(this->Servers.begin(), this->Servers.end(),
                              [this](const Server &S) { return S.Row || this->isSuspect(S); });
  if (!AllKnown)
    return;
  Term Highest = this->highestTerm();
  for (const Server &S : this->Servers) {
    if (!this->isReachable(S) || S.Row->ServerRole != Role::Replica || S.Row->Accepted != Highest)
      continue;
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      const Server &Followed = this->Servers[I];
      if (S.Row->Following == formatAddress(Followed.Definition.Host, Followed.Definition.Port) &&
          this->isSuspect(Followed)) {
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
  std::string_view Cause = S.RefusedConnection ? CauseRefused : CauseUnreachable;
  if (this->PendingQuery &&
      (this->PendingQuery->Target != Target || this->PendingQuery->InTerm != InTerm))
    this->PendingQuery.reset();
  if (!this->PendingQuery) {
    this->reportStep(Step::Suspected, InTerm, S.Definition.Id, Cause, absl::ZeroDuration());
    this->PendingQuery = ObserverQuery{.Target = Target,
                                       .InTerm = InTerm,
                                       .Cause = Cause,
                                       .Pending = {},
                                       .Deadline = Now + ObserverBudget,
                                       .ReachedBy = std::nullopt};
    this->askObservers();
  }
  if (this->keepPrimaryIfReached(Now))
    return;
  if (!this->PendingQuery->Pending.empty() && Now < this->PendingQuery->Deadline)
    return;
  this->PendingQuery.reset();
  this->startAttempt(Cause, std::vector<bool>(this->Servers.size(), true), Now);
}

// Asks the observer of the current hint, if there is one, and randomly chosen other instances.
void Monitor::askObservers() {
  std::vector<InstanceId> Peers = this->Config.Peers;
  std::shuffle(Peers.begin(), Peers.end(), this->Random);
  if (this->CurrentHint)
    std::stable_partition(Peers.begin(), Peers.end(), [this](const InstanceId &Id) {
      return Id == this->CurrentHint->ReachingObserver.Id;
    });
  Peers.resize(std::min(Peers.size(), MaxObservers));
  for (const InstanceId &Peer : Peers) {
    uint64_t Id = this->NextId++;
    this->PendingQuery->Pending.emplace_back(Id, Peer);
    this->PendingActions.push_back(
        AskPeerAction{.Peer = Peer,
                      .ProbeId = Id,
                      .Target = this->Servers[this->PendingQuery->Target].Definition.Id,
                      .Budget = ObserverBudget});
  }
}

Actions Monitor::onPeerProbe(uint64_t ProbeId, bool Reachable, Term Accepted, Instant Now) {
  if (!this->PendingQuery)
    return this->advance(Now);
  auto &Pending = this->PendingQuery->Pending;
  auto It = std::find_if(Pending.begin(), Pending.end(),
                         [&](const auto &Probe) { return Probe.first == ProbeId; });
  if (It == Pending.end())
    return this->advance(Now);
  InstanceId Peer = It->second;
  Pending.erase(It);
  bool FromHintObserver = this->CurrentHint && this->CurrentHint->ReachingObserver.Id == Peer;
  if (Reachable && Accepted == this->PendingQuery->InTerm &&
      (FromHintObserver || !this->PendingQuery->ReachedBy))
    this->PendingQuery->ReachedBy = Peer;
  this->keepPrimaryIfReached(Now);
  return this->advance(Now);
}

// Ends the query and keeps the primary when an observer reaches it. Waits for the answer of the
// current hint's observer first, so that requests do not move between observers that both reach the
// primary. Returns whether the query has ended.
bool Monitor::keepPrimaryIfReached(Instant Now) {
  const ObserverQuery &Q = *this->PendingQuery;
  if (!Q.ReachedBy)
    return false;
  bool HintObserverPending =
      this->CurrentHint &&
      std::any_of(Q.Pending.begin(), Q.Pending.end(), [this](const auto &Probe) {
        return Probe.second == this->CurrentHint->ReachingObserver.Id;
      });
  if (HintObserverPending && Now < Q.Deadline)
    return false;
  this->keepPrimary(*Q.ReachedBy, Now);
  return true;
}

// Keeps a primary that an observer reaches. Requests that need the primary are sent to the
// observer.
void Monitor::keepPrimary(InstanceId ReachedBy, Instant Now) {
  const ObserverQuery &Q = *this->PendingQuery;
  const TargetId &Id = this->Servers[Q.Target].Definition.Id;
  this->reportStep(Step::PrimaryKept, Q.InTerm, Id, Q.Cause, absl::ZeroDuration(), ReachedBy);
  bool Same = this->CurrentHint && this->CurrentHint->ReachingObserver.Id == ReachedBy &&
              this->CurrentHint->Primary == Id && this->CurrentHint->InTerm == Q.InTerm;
  if (!Same)
    this->reportStep(Step::Redirected, Q.InTerm, Id, Q.Cause, absl::ZeroDuration(), ReachedBy);
  this->CurrentHint = RedirectHint{
      .ReachingObserver = {.Id = std::move(ReachedBy), .ValidUntil = Now + HintValidity},
      .Primary = Id,
      .InTerm = Q.InTerm};
  this->PendingQuery.reset();
  std::uniform_real_distribution<double> Jitter(0.0, 1.0);
  this->NextAttemptAt = Now + ObserverPause + ObserverJitter * Jitter(this->Random);
}

// Returns why the hint is no longer valid, or an empty text while it is. A daemon that has never
// reached the primary knows the primary's term from the replicas only.
std::string_view Monitor::hintEndCause(Instant Now) const {
  const RedirectHint &H = *this->CurrentHint;
  if (!this->Config.IsOwner)
    return RedirectEndNotOwner;
  const Server *S = this->find(H.Primary);
  std::optional<size_t> P = this->primaryIndex();
  bool Same = P ? this->Servers[*P].Definition.Id == H.Primary &&
                      this->Servers[*P].Row->Accepted == H.InTerm
                : this->highestTerm() == H.InTerm;
  if (!S || !Same || this->ActiveAttempt)
    return RedirectEndChanged;
  if (!this->isSuspect(*S))
    return RedirectEndReached;
  if (Now >= H.ReachingObserver.ValidUntil)
    return RedirectEndExpired;
  bool Alive = std::find(this->Config.Peers.begin(), this->Config.Peers.end(),
                         H.ReachingObserver.Id) != this->Config.Peers.end();
  return Alive ? "" : RedirectEndObserverGone;
}

// Removes a hint that is no longer valid.
void Monitor::removeInvalidHint(Instant Now) {
  if (!this->CurrentHint)
    return;
  std::string_view Cause = this->hintEndCause(Now);
  if (Cause.empty())
    return;
  this->reportStep(Step::RedirectEnded, this->CurrentHint->InTerm, this->CurrentHint->Primary,
                   Cause, absl::ZeroDuration(), this->CurrentHint->ReachingObserver.Id);
  this->CurrentHint.reset();
}

// Starts an attempt with a new term, higher than any that this daemon has seen or used.
void Monitor::startAttempt(std::string_view Cause, std::vector<bool> Participants, Instant Now) {
  Term T(std::max(this->HighestTermSeen, this->LastAttempted).Value + 1);
  this->LastAttempted = T;
  PerServer<bool> Avoid;
  for (Server &S : this->Servers) {
    Avoid.push_back(S.Definition.IsLeaving);
    S.lane(Lane::Control).NextAt = Now;
  }
  this->ActiveAttempt =
      AttemptProgress{.Machine = Attempt(T, this->Options.Proposer, std::move(Avoid)),
                      .Participants = std::move(Participants),
                      .Cause = Cause,
                      .Started = Now,
                      .Deadline = Now + AcceptPhaseLimit};
  this->reportStep(Step::Started, T, TargetId(), Cause, absl::ZeroDuration());
}

// Sends the calls of the attempt's current phase, and ends the attempt when it is done.
void Monitor::advanceAttempt(Instant Now) {
  if (!this->ActiveAttempt)
    return;
  Attempt &Machine = this->ActiveAttempt->Machine;
  if (Machine.phase() == Attempt::Phase::Accepting) {
    Machine.onTermSeen(this->HighestTermSeen);
    if (Now >= this->ActiveAttempt->Deadline)
      Machine.abandon();
  }
  // The chosen server no longer answers. Whether it was promoted is known when it answers again.
  if (Machine.phase() == Attempt::Phase::Promoting &&
      this->isSuspect(this->Servers[Machine.chosen()]))
    Machine.abandon();
  switch (Machine.phase()) {
  case Attempt::Phase::Accepting:
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      const LaneState &L = this->Servers[I].lane(Lane::Control);
      if (this->ActiveAttempt->Participants[I] && !Machine.answered(I) && L.Id == 0 &&
          Now >= L.NextAt)
        this->startCall(I, Lane::Control,
                        {.Kind = CallKind::Accept,
                         .InTerm = Machine.term(),
                         .Proposer = Machine.proposer(),
                         .Timeout = AcceptTimeout},
                        Now);
    }
    return;
  case Attempt::Phase::Promoting:
    if (this->ActiveAttempt->PromoteSent ||
        this->Servers[Machine.chosen()].lane(Lane::Control).Id != 0)
      return;
    this->ActiveAttempt->PromoteSent = true;
    this->reportStep(Step::Fenced, Machine.term(), this->Servers[Machine.chosen()].Definition.Id,
                     this->ActiveAttempt->Cause, Now - this->ActiveAttempt->Started);
    this->startCall(Machine.chosen(), Lane::Control,
                    {.Kind = CallKind::Promote,
                     .InTerm = Machine.term(),
                     .Proposer = Machine.proposer(),
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
  const AttemptProgress &R = *this->ActiveAttempt;
  const TargetId &Id = this->Servers[R.Machine.chosen()].Definition.Id;
  this->reportStep(Step::Promoted, R.Machine.term(), Id, R.Cause, Now - R.Started);
  this->ChangeToFinish = UnfinishedChange{
      .InTerm = R.Machine.term(), .Primary = Id, .Cause = R.Cause, .Started = R.Started};
  this->ConsecutiveFailures = 0;
  this->NextAttemptAt = R.Cause == CauseLeaving ? Now + LeavingPause : Now;
  for (Server &S : this->Servers)
    S.lane(Lane::Control).NextAt = Now;
  this->ActiveAttempt.reset();
}

// Ends an attempt that is not known to have promoted a server, and delays the next one. No state of
// the attempt is kept: the next decision depends only on what the servers report.
void Monitor::abandonAttempt(Instant Now) {
  this->reportStep(Step::Abandoned, this->ActiveAttempt->Machine.term(), TargetId(),
                   this->ActiveAttempt->Cause, Now - this->ActiveAttempt->Started);
  this->ActiveAttempt.reset();
  int Doublings = std::min(this->ConsecutiveFailures++, MaxBackoffDoublings);
  this->NextAttemptAt = Now + this->jittered(BackoffBase * (1 << Doublings));
}

// Calls each server that does not follow the primary to follow it. Such a server was not chosen in
// a change, is an old primary that has returned, or follows another server. Also reports a change
// as finished when a majority follows the new primary.
void Monitor::sendFollowCalls(Instant Now) {
  std::optional<size_t> P = this->primaryIndex();
  if (!this->Config.IsOwner || this->ActiveAttempt || !P)
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
    LaneState &L = S.lane(Lane::Control);
    if (!this->isReachable(S) || this->isSuspect(Primary) || S.Row->Accepted > T || L.Id != 0 ||
        Now < L.NextAt)
      continue;
    L.NextAt = Now + FollowInterval;
    this->startCall(I, Lane::Control,
                    {.Kind = CallKind::Follow,
                     .InTerm = T,
                     .Host = Primary.Definition.Host,
                     .Port = Primary.Definition.Port,
                     .Timeout = FollowTimeout},
                    Now);
  }
  if (!this->ChangeToFinish)
    return;
  if (this->ChangeToFinish->InTerm != T) {
    this->ChangeToFinish.reset();
  } else if (InTerm >= majorityOf(this->Servers.size())) {
    this->reportStep(Step::Finished, T, this->ChangeToFinish->Primary, this->ChangeToFinish->Cause,
                     Now - this->ChangeToFinish->Started);
    this->ChangeToFinish.reset();
  }
}

} // namespace toucan::group
