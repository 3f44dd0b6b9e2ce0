#include "promotion/change.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace toucan::promotion {

namespace {

// Two round trips between regions. The survey ends then even if a replica has not answered.
constexpr absl::Duration SurveyTimeout = absl::Milliseconds(200);
// The survey is repeated for longer when the believed primary turns out to have been replaced: the
// present one may only be slow to answer.
constexpr absl::Duration ResurveyTimeout = absl::Milliseconds(700);
// Interval of the queries whether the promoted target is primary.
constexpr absl::Duration SettlePollInterval = absl::Milliseconds(150);
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
// Time to ask other instances for the primary: connecting to them and back takes up to four round
// trips between regions, and the primary may be slow to answer them.
constexpr absl::Duration ObserveTimeout = absl::Milliseconds(400);
// Time after the step-down in which a replica must prove able to replace the primary. One round
// trip between regions and a retry of a pause.
constexpr absl::Duration RestoreDelay = absl::Milliseconds(600);
// Limit for the primary to step down once an instance reaches it. Its slots may all be taken.
constexpr absl::Duration FenceTimeout = absl::Milliseconds(1500);
constexpr absl::Duration FenceRetryDelay = absl::Milliseconds(50);
constexpr size_t MaxDescribedMembers = 12;
// No commit precedes this term. Targets that started without a log are in term 0.
const Term FirstTerm(1);
// Limit for the whole change; another instance may try afterwards.
constexpr absl::Duration ChangeTimeout = absl::Seconds(12);

} // namespace

PrimaryChange::PrimaryChange(Options Opts, std::vector<Member> Targets, Instant Now)
    : Opts(std::move(Opts)), Deadline(Now), GiveUpAt(Now + ChangeTimeout), StartedAt(Now) {
  for (Member &M : Targets) {
    if (M.Primary)
      this->Primary = this->Believed = M.Id;
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
    if (S.Info.Primary || S.Info.Leaving || !this->Opts.Group.counts(Id))
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
  return this->survey(Now + SurveyTimeout);
}

std::vector<Action> PrimaryChange::survey(Instant Until) {
  this->CurrentPhase = Phase::Surveying;
  this->Deadline = Until;
  std::vector<Action> Out;
  for (auto &[Id, S] : this->Members) {
    S.Surveyed = false;
    Out.push_back({.Kind = ActionKind::Status, .Target = Id});
  }
  return Out;
}

// Decides whether the change goes on once the survey has ended.
std::vector<Action> PrimaryChange::afterSurvey(Instant Now) {
  if (this->OthersActive && this->Opts.YieldToOthers)
    return this->finish("change_in_progress");
  return this->requestClaim(Now);
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
  this->setOrders(R, Now);
  if (R.Start && (!this->Opts.Start || R.Start->InTerm > this->Opts.Start->InTerm))
    this->Opts.Start = R.Start;
  if (!this->setMembers(R.Members))
    return this->finish("no_successor");
  this->CurrentPhase = Phase::Collecting;
  if (R.Start && R.Start->InTerm > this->Opts.NewestTerm) {
    this->beginTerm(R.Start->InTerm, Now);
    if (this->Primary)
      return this->forgetPrimary(Now);
  }
  // An order that was executed meanwhile has ended earlier pauses.
  this->beginTerm(this->Opts.NewestTerm, Now);
  return this->collectPositions(Now);
}

// Takes over the members that the claim's row names, if it names any. Returns false if a switchover
// has no successor among them.
bool PrimaryChange::setMembers(const roster::Members &Named) {
  if (!Named.empty() || !this->Opts.Group.known())
    this->Opts.Group = roster::Roster(this->Opts.Group.size(), Named);
  if (this->Successor && !this->Opts.Group.counts(*this->Successor)) {
    this->Successor.reset();
    this->chooseSuccessor();
  }
  return this->Opts.Kind != ChangeKind::Switchover || this->Successor;
}

void PrimaryChange::setOrders(const ClaimResult &R, Instant Now) {
  this->Orders.clear();
  for (const RecordedOrder &O : R.Orders)
    if (std::find(this->Void.begin(), this->Void.end(), O) == this->Void.end())
      this->Orders.push_back(
          {.Order = O,
           .ExpiresAt = Now + absl::Milliseconds(O.RecordedAtMs + MaxOrderDelayMs - R.StoreNowMs)});
}

bool PrimaryChange::mayStillRun(const PendingOrder &O, Instant Now) const {
  std::vector<RecordedOrder> Unexpired;
  for (const PendingOrder &X : this->Orders)
    if (Now < X.ExpiresAt)
      Unexpired.push_back(X.Order);
  return Now < O.ExpiresAt && !allExecuted(Unexpired, this->Opts.NewestTerm);
}

// Returns the target to promote when Safe is known to hold every acknowledged commit, in view of
// the orders that can still be executed; nothing if they must expire first. The target of such an
// order is preferred, because the order has no effect once that target is primary.
std::optional<TargetId> PrimaryChange::reconcile(const TargetId &Safe, Instant Now) {
  std::optional<TargetId> Ordered;
  Instant Expiry = absl::InfinitePast();
  bool Conflict = false;
  for (const PendingOrder &O : this->Orders) {
    if (!this->mayStillRun(O, Now))
      continue;
    Conflict = Conflict || (Ordered && *Ordered != O.Order.Target);
    Ordered = O.Order.Target;
    Expiry = std::max(Expiry, O.ExpiresAt);
  }
  if (!Ordered)
    return Safe;
  if (!Conflict && this->isSafe(*Ordered, Now))
    return Ordered;
  if (this->Opts.TokensChecked)
    return Safe; // its token makes the platform refuse the earlier orders
  this->BlockedUntil = Expiry;
  return std::nullopt;
}

bool PrimaryChange::mustPause(const MemberState &S) const {
  return !S.Info.Primary && (!this->Successor || S.Info.Id != *this->Successor);
}

// Whether the positions cannot be read yet, because the primary may have to step down first.
bool PrimaryChange::fencePending() const {
  return this->Fence != FenceState::Fenced && this->Fence != FenceState::Unreached;
}

// Decides what to do about a primary that may still be alive. A primary that an instance reaches is
// left alone if too few replicas answer this instance: it could then not be replaced.
std::vector<Action> PrimaryChange::fencePrimary(Instant Now) {
  if (!this->Primary || this->Opts.Kind != ChangeKind::Failover)
    this->Fence = FenceState::Unreached;
  if (this->Fence == FenceState::Unasked) {
    this->Fence = FenceState::Observing;
    this->FenceDeadline = this->Deadline = Now + ObserveTimeout;
    return {{.Kind = ActionKind::Observe, .Target = *this->Primary}};
  }
  if (this->Fence == FenceState::Observing && Now >= this->FenceDeadline)
    this->Fence = FenceState::Unreached;
  if (!this->fencePending())
    return {};
  if (this->Fence != FenceState::Observing && Now >= this->FenceDeadline)
    return this->finish("primary_not_fenced");
  this->Deadline = this->FenceDeadline;
  if (this->Fence != FenceState::Reached)
    return {};
  bool Replaceable =
      this->replicasWithout(&MemberState::Surveyed) < this->Opts.AcknowledgedCopies &&
      std::any_of(this->Members.begin(), this->Members.end(), [this](const auto &M) {
        return !M.second.Info.Primary && M.second.Surveyed && this->caughtUp(M.second);
      });
  // Replicas that an abandoned change left paused receive nothing before the next term, which the
  // same primary may lead.
  if (this->Opts.AcknowledgedCopies > 0 && !Replaceable && !this->OthersActive)
    return this->finish("primary_serves_others");
  if (Now < this->NextFenceAt) {
    this->Deadline = std::min(this->Deadline, this->NextFenceAt);
    return {};
  }
  this->Fence = FenceState::Fencing;
  return {{.Kind = ActionKind::Fence,
           .Target = *this->Primary,
           .InTerm = Term(this->Opts.NewestTerm.Value + 1)}};
}

// Promotes the candidate if it is safe; otherwise queries the targets whose answers are missing or
// outdated.
std::vector<Action> PrimaryChange::collectPositions(Instant Now) {
  if (this->fencePending()) {
    std::vector<Action> Out = this->fencePrimary(Now);
    if (this->CurrentPhase != Phase::Collecting || this->fencePending())
      return Out;
  }
  // The order that was waited for may have been executed and have ended the pauses.
  if (this->BlockedUntil != absl::InfinitePast() && Now >= this->BlockedUntil) {
    this->BlockedUntil = absl::InfinitePast();
    this->beginTerm(this->Opts.NewestTerm, Now);
  }
  std::vector<Action> Out = this->promoteIfSafe(Now);
  if (!Out.empty() || this->CurrentPhase != Phase::Collecting)
    return Out;
  this->Deadline =
      this->BlockedUntil > Now ? std::min(this->GiveUpAt, this->BlockedUntil) : this->GiveUpAt;
  if (this->RestoreAt > Now)
    this->Deadline = std::min(this->Deadline, this->RestoreAt);
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
  if (It == this->Members.end() || !Status || this->CurrentPhase == Phase::Finished)
    return {};
  MemberState &S = It->second;
  // A promotion was ordered and raises the term. Whoever leads an older one, such as a primary that
  // crashed and is back under another id, acknowledges commits that the candidate does not receive.
  // A leaving primary serves on: its successor receives them.
  bool ServesUntilReplaced =
      this->Opts.Kind == ChangeKind::Switchover && this->Primary && Id == *this->Primary;
  if (Status->Primary && this->ordered() && Status->CurrentTerm <= this->Opts.NewestTerm &&
      Id != this->Candidate && !ServesUntilReplaced)
    return {{.Kind = ActionKind::StepDown,
             .Target = Id,
             .InTerm = Term(this->Opts.NewestTerm.Value + 1)}};
  // A target that leads the newest term is the primary. The believed primary itself is only that
  // until a newer term is seen.
  if (Status->Primary && Status->CurrentTerm >= this->Opts.NewestTerm) {
    if (!S.Info.Primary || (this->ordered() && Id == this->Candidate))
      return this->adoptPrimary(Id, *Status);
    if (Status->CurrentTerm > this->Opts.NewestTerm)
      this->beginTerm(Status->CurrentTerm, Now);
    if (this->CurrentPhase == Phase::Surveying && this->Opts.PrimarySilent)
      return this->finish("primary_answers");
  } else if (Status->Primary) {
    // It was replaced and does not know.
    std::vector<Action> Out = S.Info.Primary ? this->forgetPrimary(Now) : std::vector<Action>();
    Out.push_back({.Kind = ActionKind::StepDown, .Target = Id, .InTerm = this->Opts.NewestTerm});
    return Out;
  } else if (Status->CurrentTerm > this->Opts.NewestTerm && !this->ordered()) {
    this->beginTerm(Status->CurrentTerm, Now);
    if (this->Primary)
      return this->forgetPrimary(Now);
  }
  if (this->CurrentPhase == Phase::Surveying)
    return this->onSurveyed(S, *Status, Now);
  if (this->CurrentPhase == Phase::Collecting)
    return this->onCollected(S, *Status, Now);
  return {};
}

std::vector<Action> PrimaryChange::onObserved(const Observation &O, Instant Now) {
  if (this->CurrentPhase != Phase::Collecting || this->Fence != FenceState::Observing)
    return {};
  if (!O.Reached) {
    this->Fence = FenceState::Unreached;
    return this->collectPositions(Now);
  }
  this->FenceDeadline = Now + FenceTimeout;
  return this->onFenced(O, Now);
}

// A primary that has stepped down acknowledges nothing more. One of a newer term than expected has
// not stepped down.
std::vector<Action> PrimaryChange::onFenced(const Observation &O, Instant Now) {
  bool Waiting = this->Fence == FenceState::Fencing || this->Fence == FenceState::Observing;
  if (this->CurrentPhase != Phase::Collecting || !Waiting)
    return {};
  if (O.Status && O.Status->Primary)
    this->LedTerm = std::max(this->LedTerm, O.Status->CurrentTerm);
  this->NextFenceAt = this->Fence == FenceState::Fencing ? Now + FenceRetryDelay : Now;
  this->Fence = FenceState::Reached;
  if (O.Status && O.Status->CurrentTerm > this->Opts.NewestTerm) {
    this->beginTerm(O.Status->CurrentTerm, Now);
    if (!O.Status->Primary)
      return this->forgetPrimary(Now);
  }
  if (O.Status && !O.Status->Primary) {
    this->Fence = FenceState::Fenced;
    // A replica that was only believed to lead may lack commits of the newest term.
    if (this->LedTerm == this->Opts.NewestTerm) {
      this->FinalPosition = O.Status->Received;
      this->RestoreAt = Now + RestoreDelay;
    }
    // Positions that were read while it led may be outdated.
    this->beginTerm(this->Opts.NewestTerm, Now);
  }
  return this->collectPositions(Now);
}

// Whether a promote order was sent; the terms of the targets then change because of it.
bool PrimaryChange::ordered() const {
  return this->CurrentPhase == Phase::Promoting || this->CurrentPhase == Phase::Settling;
}

// Takes note of the newest term. Pauses under an older term have no effect, and all positions must
// be read again.
void PrimaryChange::beginTerm(Term Newest, Instant Now) {
  this->Opts.NewestTerm = Newest;
  for (auto &[Id, S] : this->Members) {
    S.Paused = false;
    S.NextQueryAt = Now;
  }
  this->PrimaryPosition.reset();
}

// The believed primary was replaced, so that nothing is known about the present one. The survey is
// repeated to find it; if it does not answer, the change goes on as that of a lost primary.
std::vector<Action> PrimaryChange::forgetPrimary(Instant Now) {
  this->Members.at(*this->Primary).Info.Primary = false;
  this->Primary.reset();
  this->FinalPosition.reset();
  this->RestoreAt = absl::InfiniteFuture();
  this->Fence = FenceState::Unasked;
  this->Successor.reset();
  this->Opts.Kind = ChangeKind::Failover;
  this->Opts.PrimarySilent = false;
  return this->ordered() ? std::vector<Action>() : this->survey(Now + ResurveyTimeout);
}

std::vector<Action> PrimaryChange::onSurveyed(MemberState &S, const TargetStatus &Status,
                                              Instant Now) {
  S.Surveyed = true;
  S.Received = Status.Received;
  this->OthersActive = this->OthersActive || Status.PauseTerm > Status.CurrentTerm;
  bool AllSurveyed = std::all_of(this->Members.begin(), this->Members.end(), [](const auto &M) {
    return M.second.Info.Primary || M.second.Surveyed;
  });
  return AllSurveyed ? this->afterSurvey(Now) : std::vector<Action>();
}

std::vector<Action> PrimaryChange::onCollected(MemberState &S, const TargetStatus &Status,
                                               Instant Now) {
  // The first position of the primary after the pauses suffices: later commits are acknowledged
  // only once the successor has received them.
  if (S.Info.Primary && !this->PrimaryPosition && this->unknownReplicas() == 0)
    this->PrimaryPosition = Status.Received;
  S.Received = Status.Received;
  S.Paused = Status.PauseTerm > this->Opts.NewestTerm && this->mustPause(S);
  return this->collectPositions(Now);
}

std::optional<LogPosition> PrimaryChange::highestPausedPosition() const {
  std::optional<LogPosition> Out;
  for (const auto &[Id, S] : this->Members)
    if (S.Paused && (!Out || *S.Received > *Out))
      Out = S.Received;
  return Out;
}

// Number of replicas, listed or not, whose log position is unknown because they are not paused and
// can still acknowledge commits.
uint32_t PrimaryChange::unknownReplicas() const {
  return this->replicasWithout(&MemberState::Paused);
}

// Number of replicas without Trait, other than the successor. Every listed target but the primary
// is one, and so is every member that is not listed: a listed target that is no member does not
// stand for it. If no listed target is known to be the primary, one of the members that are not
// listed may be, so that no listed one is exempt.
uint32_t PrimaryChange::replicasWithout(bool MemberState::*Trait) const {
  uint32_t Present = 0;
  uint32_t Without = 0;
  for (const auto &[Id, S] : this->Members) {
    if (S.Info.Primary || Id == this->Successor)
      continue;
    Present += this->Opts.Group.counts(Id) ? 1 : 0;
    Without += S.*Trait ? 0 : 1;
  }
  uint32_t Others = this->Successor ? 2 : 1; // the primary and the successor
  uint32_t Expected = this->Opts.Group.count() > Others ? this->Opts.Group.count() - Others : 0;
  return Without + (Expected > Present ? Expected - Present : 0);
}

// A commit is acknowledged by AcknowledgedCopies replicas. If fewer replicas than that are unknown,
// at least one known replica holds it.
// Once the primary has stepped down, every paused replica must have the start of the term: one
// without it may have joined in the place of a replica that held a commit.
bool PrimaryChange::enoughKnown(Instant Now) const {
  uint32_t Unknown = this->unknownReplicas();
  if (this->FinalPosition && this->Opts.AcknowledgedCopies > 0 &&
      std::any_of(this->Members.begin(), this->Members.end(), [this](const auto &M) {
        return !M.second.Info.Primary && M.second.Paused && !this->caughtUp(M.second);
      }))
    return false;
  if (this->Opts.AcknowledgedCopies > 0)
    return Unknown < this->Opts.AcknowledgedCopies;
  return Unknown == 0 || Now >= this->StartedAt + MinAnswerWait;
}

// Whether the target has the commits of all terms before the newest one. The primary of the newest
// term has them; a replica that received nothing from it may lack those that only the servers held
// which confirmed them to the former primary, and which led or left since.
bool PrimaryChange::caughtUp(const MemberState &S) const {
  if (!S.Received)
    return false;
  std::optional<LogPosition> Start = this->termStart();
  return S.Received->InTerm >= this->Opts.NewestTerm || (Start && *S.Received >= *Start);
}

// A position at or after the start of the newest term; empty if none is known. If nobody has seen
// its primary lead, the recorded orders tell where it can have begun.
std::optional<LogPosition> PrimaryChange::termStart() const {
  if (this->Opts.Start && this->Opts.Start->InTerm == this->Opts.NewestTerm)
    return this->Opts.Start->At;
  std::vector<RecordedOrder> Recorded;
  for (const PendingOrder &O : this->Orders)
    Recorded.push_back(O.Order);
  bool InOrder = allExecuted(Recorded, this->Opts.NewestTerm);
  std::optional<LogPosition> Latest;
  for (const PendingOrder &O : this->Orders) {
    uint64_t Next = O.Order.AboveTerm.Value + 1;
    if (InOrder ? Next != this->Opts.NewestTerm.Value : Next > this->Opts.NewestTerm.Value)
      continue;
    if (!O.Order.Start)
      return std::nullopt;
    Latest = std::max(Latest, O.Order.Start);
  }
  return Latest;
}

// Whether the primary, which has stepped down, is promoted again: it holds all that it
// acknowledged, and no replica was found in time that does.
bool PrimaryChange::mayRestore(const TargetId &Id, Instant Now) const {
  return this->FinalPosition && this->Primary && Id == *this->Primary && Now >= this->RestoreAt;
}

// Whether the target provably holds every acknowledged commit.
bool PrimaryChange::isSafe(const TargetId &Id, Instant Now) const {
  auto It = this->Members.find(Id);
  if (It == this->Members.end())
    return false;
  const MemberState &S = It->second;
  if (this->mayRestore(Id, Now))
    return true;
  if (this->FinalPosition && S.Paused && *S.Received >= *this->FinalPosition)
    return true;
  if (!this->enoughKnown(Now))
    return false;
  std::optional<LogPosition> Highest = this->highestPausedPosition();
  if (!this->Successor)
    return S.Paused && *S.Received >= *Highest &&
           (this->Opts.AcknowledgedCopies == 0 || this->Opts.NewestTerm <= FirstTerm ||
            this->caughtUp(S));
  return Id == *this->Successor && S.Received && (!Highest || *S.Received >= *Highest) &&
         (this->Opts.AcknowledgedCopies == 0 ||
          (this->PrimaryPosition && *S.Received >= *this->PrimaryPosition));
}

// Returns the best of the targets that are safe to promote, if there is one yet.
std::optional<TargetId> PrimaryChange::safeCandidate(Instant Now) const {
  std::optional<TargetId> Best;
  for (const auto &[Id, S] : this->Members) {
    if (!this->isSafe(Id, Now))
      continue;
    const MemberState *B = Best ? &this->Members.at(*Best) : nullptr;
    auto Rank = [](const MemberState &M) {
      return std::tuple(!M.Info.Primary, !M.Info.Leaving, M.Info.Preferred);
    };
    if (!B || Rank(S) > Rank(*B))
      Best = Id;
  }
  return Best;
}

// Records the order for a safe candidate. It is sent once it is recorded.
std::vector<Action> PrimaryChange::promoteIfSafe(Instant Now) {
  std::optional<TargetId> Safe = this->safeCandidate(Now);
  if (Safe)
    Safe = this->reconcile(*Safe, Now);
  if (!Safe)
    return {};
  this->Candidate = Safe;
  this->CurrentPhase = Phase::Recording;
  this->Deadline = Now + ClaimTimeout;
  return {{.Kind = ActionKind::Record,
           .Target = *Safe,
           .InTerm = this->Opts.NewestTerm,
           .Void = this->Void,
           .Start = this->Successor                ? std::nullopt
                    : this->mayRestore(*Safe, Now) ? this->FinalPosition
                                                   : this->Members.at(*Safe).Received}};
}

std::vector<Action> PrimaryChange::onRecord(const ClaimResult &R, Instant Now) {
  if (this->CurrentPhase != Phase::Recording)
    return {};
  if (R.Outcome == ClaimOutcome::HeldByOther)
    return this->finish("claim_lost");
  if (R.Outcome != ClaimOutcome::Granted)
    return this->requestClaim(Now);
  this->setOrders(R, Now);
  this->Token = R.Token;
  // A replica may have restarted, and so lost its pause, while the order was being recorded. The
  // order was not sent then.
  if (!this->isSafe(*this->Candidate, Now)) {
    this->voidOrder();
    this->CurrentPhase = Phase::Collecting;
    return this->collectPositions(Now);
  }
  this->CurrentPhase = Phase::Promoting;
  this->Deadline = Now + PromoteTimeout;
  return {{.Kind = ActionKind::Promote, .Target = *this->Candidate, .Token = this->Token}};
}

// The order recorded last will not be executed.
void PrimaryChange::voidOrder() {
  if (this->Orders.empty())
    return;
  this->Void.push_back(this->Orders.back().Order);
  this->Orders.pop_back();
}

std::vector<Action> PrimaryChange::onPromote(PromoteOutcome R, Instant Now) {
  if (this->CurrentPhase != Phase::Promoting)
    return {};
  switch (R) {
  case PromoteOutcome::Accepted:
    this->CurrentPhase = Phase::Settling;
    this->ExpectedAt = Now + ExpectedPromotionTime;
    this->SettleDeadline = Now + SettleTimeout;
    this->Deadline = Now + SettlePollInterval;
    return this->stepDownLost();
  case PromoteOutcome::Superseded:
    return this->finish("superseded");
  case PromoteOutcome::NotRunning:
    this->voidOrder();
    this->removeMember(*this->Candidate);
    // The survey must show again that enough replicas answer, and the primary that it does not
    // lead.
    this->Fence = FenceState::Unasked;
    this->Candidate.reset();
    this->Successor.reset();
    this->chooseSuccessor();
    // Positions that were read for the former successor say nothing about the next one.
    this->beginTerm(this->Opts.NewestTerm, Now);
    return this->start(Now);
  case PromoteOutcome::Refused:
    this->voidOrder();
    this->CurrentPhase = Phase::Collecting;
    this->Deadline = Now + PromoteRetryDelay;
    return {};
  case PromoteOutcome::Unknown:
    // The order may still be executed. It is repeated under a new token.
    return this->requestClaim(Now);
  }
  return {};
}

// A lost primary that is still alive would go on with the replicas that it reaches. In a switchover
// it serves until the promotion takes effect.
std::vector<Action> PrimaryChange::stepDownLost() const {
  if (!this->Primary || this->Opts.Kind != ChangeKind::Failover || this->Candidate == this->Primary)
    return {};
  return {{.Kind = ActionKind::StepDown,
           .Target = *this->Primary,
           .InTerm = Term(this->Opts.NewestTerm.Value + 1)}};
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
  for (Action &A : this->stepDownLost())
    Out.push_back(std::move(A));
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
  if (this->CurrentPhase == Phase::Finished || (this->Primary && M.Id == *this->Primary))
    return {};
  if (M.Primary)
    return this->ordered() ? this->onPrimaryObserved(M.Id, Now) : std::vector<Action>();
  // A target that restarts under the same id has lost its pause; its reported state is void.
  this->Members.insert_or_assign(M.Id, MemberState{.Info = M});
  if (this->CurrentPhase == Phase::Collecting)
    return this->collectPositions(Now);
  // While an order is being recorded, the new state of the target is found by onRecord().
  bool PromotionOrdered =
      this->CurrentPhase == Phase::Promoting || this->CurrentPhase == Phase::Settling;
  if (PromotionOrdered && M.Id != *this->Candidate)
    return {{.Kind = ActionKind::Pause,
             .Target = M.Id,
             .InTerm = Term(this->Opts.NewestTerm.Value + 1)}};
  return {};
}

// The target may be the primary that stepped down and was to be promoted again.
void PrimaryChange::removeMember(const TargetId &Id) {
  this->Members.erase(Id);
  if (this->Primary != Id)
    return;
  this->Primary.reset();
  this->FinalPosition.reset();
  this->RestoreAt = absl::InfiniteFuture();
  this->Fence = FenceState::Unreached;
}

// A target that is gone does not answer any more. If it is a member it still counts, as missing.
std::vector<Action> PrimaryChange::onTargetRemoved(const TargetId &Id, Instant Now) {
  if (this->CurrentPhase == Phase::Finished || !this->Members.contains(Id))
    return {};
  bool WasCandidate = this->Candidate == Id;
  this->removeMember(Id);
  if (this->Successor == Id) {
    this->Successor.reset();
    this->chooseSuccessor();
    this->PrimaryPosition.reset();
    if (!this->Successor)
      this->Opts.Kind = ChangeKind::Failover;
  }
  if (WasCandidate)
    this->Candidate.reset();
  // Orders for it can still be executed; the claim's row lists them.
  if (WasCandidate && this->CurrentPhase != Phase::Collecting)
    return this->requestClaim(Now);
  return this->CurrentPhase == Phase::Collecting ? this->collectPositions(Now)
                                                 : std::vector<Action>();
}

std::vector<Action> PrimaryChange::onPrimaryObserved(const TargetId &Id, Instant Now) {
  if (this->CurrentPhase == Phase::Finished || (this->Primary && Id == *this->Primary))
    return {};
  if (!this->ordered())
    return this->finish("already_changed");
  // Its status tells which term it leads, and where the term begins.
  this->Members.try_emplace(Id, MemberState{.Info = {.Id = Id}, .NextQueryAt = Now});
  return {{.Kind = ActionKind::Status, .Target = Id}};
}

// Ends the change because Id leads InTerm. The primary that it replaced, if known, steps down: it
// may not know that it was replaced.
std::vector<Action> PrimaryChange::adoptPrimary(const TargetId &Id, const TargetStatus &Status) {
  Term InTerm = Status.CurrentTerm;
  this->NewTermStart = TermStart{.InTerm = InTerm, .At = Status.Received};
  bool IsCandidate = this->Candidate && Id == *this->Candidate;
  std::vector<Action> Out{{.Kind = ActionKind::Adopt, .Target = Id, .InTerm = InTerm}};
  if (this->Believed && *this->Believed != Id)
    Out.push_back({.Kind = ActionKind::StepDown, .Target = *this->Believed, .InTerm = InTerm});
  Out.push_back(this->finish(IsCandidate ? "changed" : "already_changed").front());
  return Out;
}

std::vector<Action> PrimaryChange::onTimer(Instant Now) {
  if (this->CurrentPhase == Phase::Finished || Now < this->Deadline)
    return {};
  if (Now >= this->GiveUpAt)
    return this->finish("timeout");
  switch (this->CurrentPhase) {
  case Phase::Surveying:
    return this->afterSurvey(Now);
  case Phase::Claiming:
  case Phase::Recording:
  case Phase::Promoting:
    return this->requestClaim(Now);
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

// Bounded, since a list may hold any number of entries.
std::string PrimaryChange::describeMembers() const {
  std::string Out;
  size_t Left = MaxDescribedMembers;
  for (const auto &[Id, S] : this->Members) {
    if (Left-- == 0)
      return Out + ",...";
    absl::StrAppend(&Out, Out.empty() ? "" : ",", Id.Value, ":",
                    S.Info.Primary ? "primary" : (S.Paused ? "paused" : "open"),
                    S.Info.Leaving ? ":leaving:" : ":");
    if (S.Received)
      absl::StrAppend(&Out, S.Received->InTerm.Value, ".", S.Received->Position);
    else
      absl::StrAppend(&Out, "-");
  }
  for (const auto &[Id, Address] : this->Opts.Group.named())
    if (!this->Members.contains(Id))
      absl::StrAppend(&Out, Out.empty() ? "" : ",", Id.Value, ":missing");
  return Out;
}

void PrimaryChange::appendState(std::string &Out, Instant Now, absl::Duration Resolution) const {
  auto Left = [Now, Resolution](Instant T) -> int64_t {
    return T == absl::InfiniteFuture() ? -1 : (std::max(T, Now) - Now) / Resolution;
  };
  auto Name = [](const std::optional<TargetId> &Id) { return Id ? Id->Value : std::string("-"); };
  absl::StrAppend(
      &Out, static_cast<int>(this->CurrentPhase), " ", static_cast<int>(this->Opts.Kind), " ",
      this->Opts.NewestTerm.Value, " ", this->Opts.PrimarySilent, " ", this->Token.Value, " ",
      Left(this->Deadline), " ", Left(this->GiveUpAt), " ", Left(this->SettleDeadline), " ",
      Left(this->BlockedUntil), " ", static_cast<int>(this->Fence), " ", Left(this->FenceDeadline),
      " ", Left(this->NextFenceAt), " ", this->OthersActive, " ", Name(this->Successor), " ",
      Name(this->Candidate), " ", Name(this->Primary), " ", Name(this->Believed));
  auto Position = [&Out](const std::optional<LogPosition> &P) {
    if (P)
      absl::StrAppend(&Out, " ", P->InTerm.Value, ".", P->Position);
  };
  Position(this->PrimaryPosition);
  for (const auto &[Id, S] : this->Members) {
    absl::StrAppend(&Out, "|", Id.Value, S.Info.Primary, S.Info.Leaving, S.Paused, S.Surveyed, " ",
                    Left(S.NextQueryAt));
    Position(S.Received);
  }
  for (const PendingOrder &O : this->Orders)
    absl::StrAppend(&Out, ">", O.Order.Target.Value, O.Order.AboveTerm.Value, " ",
                    Left(O.ExpiresAt));
  for (const RecordedOrder &O : this->Void)
    absl::StrAppend(&Out, "<", O.Target.Value, O.AboveTerm.Value, " ", O.RecordedAtMs);
}

} // namespace toucan::promotion
