#include "promotion/change.h"

#include <algorithm>
#include <utility>

namespace toucan::promotion {

namespace {

// A survey ends after this time even if a replica has not answered; two round trips between
// regions.
constexpr absl::Duration SurveyTimeout = absl::Milliseconds(200);
// The promoted target is asked this often whether it leads.
constexpr absl::Duration SettlePollInterval = absl::Milliseconds(150);
// An order goes out only under a claim younger than this: the rest of its hold covers the time
// until the order takes effect.
constexpr absl::Duration MaxClaimAge = absl::Milliseconds(1200);
constexpr absl::Duration ClaimTimeout = absl::Seconds(2);
// An unanswered or busy target is asked again after this time.
constexpr absl::Duration QueryRetryDelay = absl::Milliseconds(120);
// The successor's position is read again after this time while it catches up.
constexpr absl::Duration CatchUpPollInterval = absl::Milliseconds(40);
constexpr absl::Duration PromoteTimeout = absl::Milliseconds(1500);
constexpr absl::Duration PromoteRetryDelay = absl::Milliseconds(100);
// Longest time that the platform takes to make a target lead, doubled.
constexpr absl::Duration SettleTimeout = absl::Milliseconds(3000);
// A promoted target usually leads after this time.
constexpr absl::Duration ExpectedPromotionTime = absl::Milliseconds(1000);
// Without acknowledged copies no set of answers proves that nothing is lost; the change waits this
// long for the targets that answer.
constexpr absl::Duration MinAnswerWait = absl::Milliseconds(400);
// The whole change; another instance may try after that.
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

// Picks the target that goes on receiving while a leaving primary serves.
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

// Before anything is changed, all targets are asked. A replica may lead already, as the directory
// may be late, and a pause under an old term would only stop replication. A lost primary may answer
// again.
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
  // An order for the present primary changes nothing, but makes the platform refuse lower tokens.
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

// Asks every target whose answer is missing or out of date.
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
  if (CanAdopt && Status->Primary && !S.Info.Primary && Status->Current >= this->Opts.NewestTerm)
    return this->adoptPrimary(Id, Status->Current);
  if (this->CurrentPhase == Phase::Surveying && S.Info.Primary) {
    bool Serves = Status->Primary && Status->Current >= this->Opts.NewestTerm;
    return Serves && this->Opts.PrimarySilent ? this->finish("primary_answers")
                                              : std::vector<Action>();
  }
  if (this->CurrentPhase == Phase::Surveying) {
    this->Opts.NewestTerm = std::max(this->Opts.NewestTerm, Status->Current);
    S.Surveyed = true;
    bool AllSurveyed = std::all_of(this->Members.begin(), this->Members.end(), [](const auto &M) {
      return M.second.Info.Primary || M.second.Surveyed;
    });
    return AllSurveyed ? this->requestClaim(Now) : std::vector<Action>();
  }
  if (this->CurrentPhase != Phase::Collecting)
    return {};
  if (Status->Current > this->Opts.NewestTerm) {
    // Pauses of an older term do not hold.
    this->Opts.NewestTerm = Status->Current;
    for (auto &[Other, T] : this->Members) {
      T.Paused = false;
      T.NextQueryAt = Now;
    }
  }
  if (S.Info.Primary) {
    // The first position after the pauses is enough: later commits need the successor's receipt.
    if (!this->PrimaryPosition && this->unknownReplicas() == 0)
      this->PrimaryPosition = Status->Received;
  }
  S.Received = Status->Received;
  S.Paused = Status->Held > this->Opts.NewestTerm && this->mustPause(S);
  return this->collectPositions(Now);
}

std::optional<LogPosition> PrimaryChange::highestPausedPosition() const {
  std::optional<LogPosition> Out;
  for (const auto &[Id, S] : this->Members)
    if (S.Paused && (!Out || *S.Received > *Out))
      Out = S.Received;
  return Out;
}

// Replicas, registered or not, that may still receive and acknowledge commits without this change
// knowing their position.
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

// The target that provably holds every acknowledged commit, if there is one yet. A commit is
// acknowledged by AcknowledgedCopies replicas; while fewer are unknown, a known one holds it.
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
  // The claim must keep others off until the order has taken effect.
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
    // The order may still be carried out; the next one carries a higher token.
    return this->requestClaim(Now);
  }
  return {};
}

// Asks the promoted target whether it leads, since the directory may be late. The others are paused
// again: one that has started again since then would receive and acknowledge commits of the old
// primary until the promotion takes effect. After that the order has no effect, as its term is not
// above the new one.
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

// After the order it is too late to wait for the new target, but pausing it still keeps it from
// acknowledging what the candidate lacks.
std::vector<Action> PrimaryChange::onTargetRegistered(const Member &M, Instant Now) {
  if (this->CurrentPhase == Phase::Finished || M.Primary ||
      (this->Primary && M.Id == *this->Primary))
    return {};
  // A target that started again under its id has lost its pause and all that it told.
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
