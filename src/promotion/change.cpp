#include "promotion/change.h"

#include <algorithm>
#include <utility>

namespace toucan::promotion {

namespace {

// Two round trips between regions. The survey ends then even if a replica has not answered.
constexpr absl::Duration SurveyTimeout = absl::Milliseconds(200);
// Interval of the queries whether the promoted target is primary.
constexpr absl::Duration SettlePollInterval = absl::Milliseconds(150);
// A promote order is sent only under a claim younger than this. The rest of ClaimHoldMs covers the
// time until the order takes effect.
constexpr absl::Duration MaxClaimAge = absl::Milliseconds(1200);
constexpr absl::Duration ClaimTimeout = absl::Seconds(2);
// Delay before a target that was busy or did not answer is asked again to pause.
constexpr absl::Duration QueryRetryDelay = absl::Milliseconds(120);
// Interval of position queries to the successor and the leaving primary while the successor catches
// up.
constexpr absl::Duration CatchUpPollInterval = absl::Milliseconds(40);
constexpr absl::Duration PromoteTimeout = absl::Milliseconds(1500);
constexpr absl::Duration PromoteRetryDelay = absl::Milliseconds(100);
// Twice the longest time that the platform needs to make a target primary.
constexpr absl::Duration SettleTimeout = absl::Milliseconds(3000);
// Usual time from an accepted promote order until the target is primary.
constexpr absl::Duration ExpectedPromotionTime = absl::Milliseconds(1000);
// With AcknowledgedCopies == 0, no set of answers proves that nothing is lost. The change then
// waits this long for answers and decides on those that arrived.
constexpr absl::Duration MinAnswerWait = absl::Milliseconds(400);
// Limit for the whole change; another instance may try afterwards.
constexpr absl::Duration ChangeTimeout = absl::Seconds(12);

} // namespace

PrimaryChange::PrimaryChange(Options Opts, std::vector<Member> Targets, Instant Now)
    : Opts(Opts), Deadline(Now), GiveUpAt(Now + ChangeTimeout), StartedAt(Now) {
  for (Member &M : Targets) {
    if (M.Primary)
      this->Primary = M.Id;
    TargetId Id = M.Id;
    this->Members.emplace(std::move(Id), MemberState{.Info = std::move(M)});
  }
  this->chooseSuccessor();
}

// Selects the target that keeps receiving during a switchover.
void PrimaryChange::chooseSuccessor() {
  if (this->Opts.Kind != ChangeKind::Switchover)
    return;
  for (const auto &[Id, S] : this->Members) {
    if (S.Info.Primary || S.Info.Leaving)
      continue;
    if (!this->Successor || (S.Info.Preferred && !this->Members[*this->Successor].Info.Preferred))
      this->Successor = Id;
  }
}

// Surveys all targets before it changes anything. A replica may already be primary because the
// directory lags; a pause under an old term would then only stop replication. An unresponsive
// primary may answer again.
std::vector<Action> PrimaryChange::start(Instant Now) {
  if (this->Opts.Kind == ChangeKind::Switchover && !this->Successor)
    return this->finish("no_successor");
  this->CurrentPhase = Phase::Surveying;
  this->Deadline = Now + SurveyTimeout;
  std::vector<Action> Out;
  for (auto &[Id, S] : this->Members) {
    S.Surveyed = false;
    Out.push_back({.Kind = ActionKind::Status, .Target = Id});
  }
  return Out;
}

std::vector<Action> PrimaryChange::requestClaim(Instant Now) {
  this->CurrentPhase = Phase::Claiming;
  this->Deadline = Now + ClaimTimeout;
  return {{.Kind = ActionKind::Claim}};
}

std::vector<Action> PrimaryChange::onClaim(const ClaimResult &R, Instant Now) {
  if (this->CurrentPhase != Phase::Claiming)
    return {};
  if (R.Outcome != ClaimOutcome::Granted)
    return this->finish(R.Outcome == ClaimOutcome::HeldByOther ? "claim_held" : "claim_failed");
  this->Token = R.Token;
  this->ClaimedAt = Now;
  if (!R.TakenOver || !this->Primary)
    return this->beginCollecting(Now);
  // Promoting the current primary changes nothing, but makes the platform reject lower tokens.
  this->CurrentPhase = Phase::Fencing;
  this->Deadline = Now + PromoteTimeout;
  return {{.Kind = ActionKind::Promote, .Target = *this->Primary, .Token = this->Token}};
}

std::vector<Action> PrimaryChange::beginCollecting(Instant Now) {
  this->CurrentPhase = Phase::Collecting;
  for (auto &[Id, S] : this->Members)
    S.NextQueryAt = Now;
  return this->collectPositions(Now);
}

bool PrimaryChange::mustPause(const MemberState &S) const {
  return !S.Info.Primary && (!this->Successor || S.Info.Id != *this->Successor);
}

// Promotes the candidate if it is safe; otherwise queries the targets whose answers are missing or
// outdated.
std::vector<Action> PrimaryChange::collectPositions(Instant Now) {
  std::vector<Action> Out = this->promoteIfSafe(Now);
  if (!Out.empty() || this->CurrentPhase != Phase::Collecting)
    return Out;
  this->Deadline = this->GiveUpAt;
  for (auto &[Id, S] : this->Members) {
    bool Pause = this->mustPause(S);
    if ((Pause && S.Paused) || (S.Info.Primary && this->Opts.Kind == ChangeKind::Failover))
      continue;
    if (S.NextQueryAt <= Now) {
      Out.push_back({.Kind = Pause ? ActionKind::Pause : ActionKind::Status,
                     .Target = Id,
                     .InTerm = Term(this->Opts.NewestTerm.Value + 1)});
      S.NextQueryAt = Now + (Pause ? QueryRetryDelay : CatchUpPollInterval);
    }
    this->Deadline = std::min(this->Deadline, S.NextQueryAt);
  }
  return Out;
}

std::vector<Action> PrimaryChange::onStatus(const TargetId &Id,
                                            const std::optional<TargetStatus> &Status,
                                            Instant Now) {
  auto It = this->Members.find(Id);
  if (It == this->Members.end() || !Status)
    return {};
  MemberState &S = It->second;
  bool CanAdopt = this->CurrentPhase == Phase::Surveying ||
                  this->CurrentPhase == Phase::Collecting || this->CurrentPhase == Phase::Settling;
  if (CanAdopt && Status->Primary && !S.Info.Primary &&
      Status->CurrentTerm >= this->Opts.NewestTerm)
    return this->adoptPrimary(Id, Status->CurrentTerm);
  if (this->CurrentPhase == Phase::Surveying && S.Info.Primary) {
    bool Serves = Status->Primary && Status->CurrentTerm >= this->Opts.NewestTerm;
    return Serves && this->Opts.PrimarySilent ? this->finish("primary_answers")
                                              : std::vector<Action>();
  }
  if (this->CurrentPhase == Phase::Surveying) {
    this->Opts.NewestTerm = std::max(this->Opts.NewestTerm, Status->CurrentTerm);
    S.Surveyed = true;
    bool AllSurveyed = std::all_of(this->Members.begin(), this->Members.end(), [](const auto &M) {
      return M.second.Info.Primary || M.second.Surveyed;
    });
    return AllSurveyed ? this->requestClaim(Now) : std::vector<Action>();
  }
  if (this->CurrentPhase != Phase::Collecting)
    return {};
  if (Status->CurrentTerm > this->Opts.NewestTerm) {
    // Pauses under an older term have no effect.
    this->Opts.NewestTerm = Status->CurrentTerm;
    for (auto &[Other, T] : this->Members) {
      T.Paused = false;
      T.NextQueryAt = Now;
    }
  }
  if (S.Info.Primary) {
    // The first position after the pauses suffices: later commits are acknowledged only once the
    // successor has received them.
    if (!this->PrimaryPosition && this->unknownReplicas() == 0)
      this->PrimaryPosition = Status->Received;
  }
  S.Received = Status->Received;
  S.Paused = Status->PauseTerm > this->Opts.NewestTerm && this->mustPause(S);
  return this->collectPositions(Now);
}

std::optional<LogPosition> PrimaryChange::highestPausedPosition() const {
  std::optional<LogPosition> Out;
  for (const auto &[Id, S] : this->Members)
    if (S.Paused && (!Out || *S.Received > *Out))
      Out = S.Received;
  return Out;
}

// Number of replicas, registered or not, whose log position is unknown because they are not paused
// and can still acknowledge commits.
uint32_t PrimaryChange::unknownReplicas() const {
  uint32_t PausedCount = 0;
  uint32_t UnpausedCount = 0;
  for (const auto &[Id, S] : this->Members)
    if (this->mustPause(S))
      S.Paused ? ++PausedCount : ++UnpausedCount;
  uint32_t ExemptCount = this->Successor ? 2 : 1; // the primary and the successor are not paused
  uint32_t ExpectedPaused =
      this->Opts.GroupSize > ExemptCount ? this->Opts.GroupSize - ExemptCount : 0;
  return std::max(UnpausedCount, ExpectedPaused > PausedCount ? ExpectedPaused - PausedCount : 0);
}

// Returns a target that provably holds every acknowledged commit, if there is one yet. A commit is
// acknowledged by AcknowledgedCopies replicas. If fewer replicas than that are unknown, at least
// one known replica holds it.
std::optional<TargetId> PrimaryChange::safeCandidate(Instant Now) const {
  uint32_t Unknown = this->unknownReplicas();
  if (this->Opts.AcknowledgedCopies > 0 ? Unknown >= this->Opts.AcknowledgedCopies
                                        : Unknown > 0 && Now < this->StartedAt + MinAnswerWait)
    return std::nullopt;
  std::optional<LogPosition> Highest = this->highestPausedPosition();
  if (this->Successor) {
    const MemberState &S = this->Members.at(*this->Successor);
    if (!S.Received || (Highest && *S.Received < *Highest))
      return std::nullopt;
    if (this->Opts.AcknowledgedCopies > 0 &&
        (!this->PrimaryPosition || *S.Received < *this->PrimaryPosition))
      return std::nullopt;
    return this->Successor;
  }
  std::optional<TargetId> Best;
  for (const auto &[Id, S] : this->Members) {
    if (!S.Paused || *S.Received < *Highest)
      continue;
    const MemberState *B = Best ? &this->Members.at(*Best) : nullptr;
    if (!B || std::pair(!S.Info.Leaving, S.Info.Preferred) >
                  std::pair(!B->Info.Leaving, B->Info.Preferred))
      Best = Id;
  }
  return Best;
}

std::vector<Action> PrimaryChange::promoteIfSafe(Instant Now) {
  std::optional<TargetId> Safe = this->safeCandidate(Now);
  if (!Safe)
    return {};
  // The claim must exclude other instances until the order has taken effect.
  if (Now - this->ClaimedAt > MaxClaimAge)
    return this->requestClaim(Now);
  this->Candidate = Safe;
  this->CurrentPhase = Phase::Promoting;
  this->Deadline = Now + PromoteTimeout;
  return {{.Kind = ActionKind::Promote, .Target = *Safe, .Token = this->Token}};
}

std::vector<Action> PrimaryChange::onPromote(PromoteOutcome R, Instant Now) {
  if (this->CurrentPhase == Phase::Fencing) {
    if (R == PromoteOutcome::Superseded)
      return this->finish("superseded");
    if (R == PromoteOutcome::Refused) {
      this->Deadline = Now + PromoteRetryDelay;
      return {};
    }
    return R == PromoteOutcome::Unknown ? this->requestClaim(Now) : this->beginCollecting(Now);
  }
  if (this->CurrentPhase != Phase::Promoting)
    return {};
  switch (R) {
  case PromoteOutcome::Accepted:
    this->CurrentPhase = Phase::Settling;
    this->ExpectedAt = Now + ExpectedPromotionTime;
    this->SettleDeadline = Now + SettleTimeout;
    this->Deadline = Now + SettlePollInterval;
    return {};
  case PromoteOutcome::Superseded:
    return this->finish("superseded");
  case PromoteOutcome::NotRunning:
    this->Members.erase(*this->Candidate);
    this->Candidate.reset();
    this->Successor.reset();
    this->chooseSuccessor();
    return this->start(Now);
  case PromoteOutcome::Refused:
    this->CurrentPhase = Phase::Collecting;
    this->Deadline = Now + PromoteRetryDelay;
    return {};
  case PromoteOutcome::Unknown:
    // The order may still be executed; the next one has a higher token.
    return this->requestClaim(Now);
  }
  return {};
}

// Queries whether the promoted target is primary, since the directory may lag. Also pauses the
// other replicas again: one that restarted has lost its pause and would acknowledge commits of the
// old primary until the promotion takes effect. Afterwards such a pause has no effect, because its
// term is not above the new term.
std::vector<Action> PrimaryChange::pollCandidate(Instant Now) {
  if (Now >= this->SettleDeadline)
    return this->requestClaim(Now);
  this->Deadline = Now + SettlePollInterval;
  std::vector<Action> Out{{.Kind = ActionKind::Status, .Target = *this->Candidate}};
  for (const auto &[Id, S] : this->Members)
    if (!S.Info.Primary && Id != *this->Candidate)
      Out.push_back({.Kind = ActionKind::Pause,
                     .Target = Id,
                     .InTerm = Term(this->Opts.NewestTerm.Value + 1)});
  return Out;
}

// Once the promotion is ordered, the change can no longer wait for the position of the new target.
// Pausing it still keeps it from acknowledging commits that the candidate lacks.
std::vector<Action> PrimaryChange::onTargetRegistered(const Member &M, Instant Now) {
  if (this->CurrentPhase == Phase::Finished || M.Primary ||
      (this->Primary && M.Id == *this->Primary))
    return {};
  // A target that restarts under the same id has lost its pause; its reported state is void.
  this->Members.insert_or_assign(M.Id, MemberState{.Info = M});
  if (this->CurrentPhase == Phase::Collecting)
    return this->collectPositions(Now);
  bool PromotionOrdered =
      this->CurrentPhase == Phase::Promoting || this->CurrentPhase == Phase::Settling;
  if (PromotionOrdered && M.Id != *this->Candidate)
    return {{.Kind = ActionKind::Pause,
             .Target = M.Id,
             .InTerm = Term(this->Opts.NewestTerm.Value + 1)}};
  return {};
}

std::vector<Action> PrimaryChange::onPrimaryObserved(const TargetId &Id, Instant Now) {
  (void)Now;
  if (this->CurrentPhase == Phase::Finished || (this->Primary && Id == *this->Primary))
    return {};
  bool IsCandidate = this->Candidate && Id == *this->Candidate;
  return this->finish(IsCandidate ? "changed" : "already_changed");
}

std::vector<Action> PrimaryChange::adoptPrimary(const TargetId &Id, Term InTerm) {
  bool IsCandidate = this->Candidate && Id == *this->Candidate;
  std::vector<Action> Out = this->finish(IsCandidate ? "changed" : "already_changed");
  Out.insert(Out.begin(), {.Kind = ActionKind::Adopt, .Target = Id, .InTerm = InTerm});
  return Out;
}

std::vector<Action> PrimaryChange::onTimer(Instant Now) {
  if (this->CurrentPhase == Phase::Finished || Now < this->Deadline)
    return {};
  if (Now >= this->GiveUpAt)
    return this->finish("timeout");
  switch (this->CurrentPhase) {
  case Phase::Surveying:
  case Phase::Claiming:
  case Phase::Promoting:
    return this->requestClaim(Now);
  case Phase::Fencing:
    this->Deadline = Now + PromoteTimeout;
    return {{.Kind = ActionKind::Promote, .Target = *this->Primary, .Token = this->Token}};
  case Phase::Settling:
    return this->pollCandidate(Now);
  case Phase::Collecting:
    return this->collectPositions(Now);
  case Phase::Finished:
    break;
  }
  return {};
}

std::vector<Action> PrimaryChange::finish(std::string_view Outcome) {
  this->CurrentPhase = Phase::Finished;
  this->Deadline = absl::InfiniteFuture();
  return {{.Kind = ActionKind::Finish, .Outcome = Outcome}};
}

} // namespace toucan::promotion
