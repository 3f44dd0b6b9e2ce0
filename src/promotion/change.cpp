#include "promotion/change.h"

#include <algorithm>
#include <utility>

namespace toucan::promotion {

namespace {

// A survey ends after this time even if a replica has not answered; two round trips between
// regions.
constexpr absl::Duration SurveyTime = absl::Milliseconds(200);
// The promoted target is asked this often whether it leads.
constexpr absl::Duration SettlePoll = absl::Milliseconds(150);
// An order goes out only under a claim younger than this: the rest of its hold covers the time
// until the order takes effect.
constexpr absl::Duration ClaimFresh = absl::Milliseconds(1200);
constexpr absl::Duration ClaimTimeout = absl::Seconds(2);
// An unanswered or busy target is asked again after this time.
constexpr absl::Duration AskAgain = absl::Milliseconds(120);
// The successor's position is read again after this time while it catches up.
constexpr absl::Duration CatchUpPoll = absl::Milliseconds(40);
constexpr absl::Duration PromoteTimeout = absl::Milliseconds(1500);
constexpr absl::Duration PromoteRetry = absl::Milliseconds(100);
// Longest time that the platform takes to make a target lead, doubled.
constexpr absl::Duration SettleTimeout = absl::Milliseconds(3000);
// A promoted target usually leads after this time.
constexpr absl::Duration PromoteTime = absl::Milliseconds(1000);
// Without acknowledged copies no set of answers proves that nothing is lost; the change waits this
// long for the targets that answer.
constexpr absl::Duration AnswersWait = absl::Milliseconds(400);
// The whole change; another instance may try after that.
constexpr absl::Duration ChangeTimeout = absl::Seconds(12);

} // namespace

PrimaryChange::PrimaryChange(Options Given, std::vector<Member> List, Instant Now)
    : Given(Given), Deadline(Now), GiveUpAt(Now + ChangeTimeout), Began(Now) {
  for (Member &M : List) {
    if (M.Primary)
      this->Primary = M.Id;
    TargetId Id = M.Id;
    this->Members.emplace(std::move(Id), Seen{.Is = std::move(M)});
  }
  this->chooseSuccessor();
}

// Picks the target that goes on receiving while a leaving primary serves.
void PrimaryChange::chooseSuccessor() {
  if (this->Given.Why != Trigger::Leaving)
    return;
  for (const auto &[Id, S] : this->Members) {
    if (S.Is.Primary || S.Is.Leaving)
      continue;
    if (!this->Successor || (S.Is.Near && !this->Members[*this->Successor].Is.Near))
      this->Successor = Id;
  }
}

// Before anything is changed, all targets are asked. A replica may lead already, as the directory
// may be late, and a pause under an old term would only stop replication. A lost primary may answer
// again.
std::vector<Action> PrimaryChange::start(Instant Now) {
  if (this->Given.Why == Trigger::Leaving && !this->Successor)
    return this->finish("no_successor");
  this->At = Phase::Surveying;
  this->Deadline = Now + SurveyTime;
  std::vector<Action> Out;
  for (auto &[Id, S] : this->Members) {
    S.Surveyed = false;
    Out.push_back({.Kind = ActionKind::Status, .Target = Id});
  }
  return Out;
}

std::vector<Action> PrimaryChange::claim(Instant Now) {
  this->At = Phase::Claiming;
  this->Deadline = Now + ClaimTimeout;
  return {{.Kind = ActionKind::Claim}};
}

std::vector<Action> PrimaryChange::onClaim(const ClaimResult &R, Instant Now) {
  if (this->At != Phase::Claiming)
    return {};
  if (R.Is != ClaimOutcome::Granted)
    return this->finish(R.Is == ClaimOutcome::HeldByOther ? "claim_held" : "claim_failed");
  this->Token = R.Token;
  this->ClaimedAt = Now;
  if (!R.TakenOver || !this->Primary)
    return this->beginCollecting(Now);
  // An order for the present primary changes nothing, but makes the platform refuse lower tokens.
  this->At = Phase::Fencing;
  this->Deadline = Now + PromoteTimeout;
  return {{.Kind = ActionKind::Promote, .Target = *this->Primary, .Token = this->Token}};
}

std::vector<Action> PrimaryChange::beginCollecting(Instant Now) {
  this->At = Phase::Collecting;
  for (auto &[Id, S] : this->Members)
    S.AskAgainAt = Now;
  return this->collect(Now);
}

bool PrimaryChange::pausedFirst(const Seen &S) const {
  return !S.Is.Primary && (!this->Successor || S.Is.Id != *this->Successor);
}

// Asks every target whose answer is missing or out of date.
std::vector<Action> PrimaryChange::collect(Instant Now) {
  std::vector<Action> Out = this->decide(Now);
  if (!Out.empty() || this->At != Phase::Collecting)
    return Out;
  this->Deadline = this->GiveUpAt;
  for (auto &[Id, S] : this->Members) {
    bool Pause = this->pausedFirst(S);
    if ((Pause && S.Paused) || (S.Is.Primary && this->Given.Why == Trigger::Lost))
      continue;
    if (S.AskAgainAt <= Now) {
      Out.push_back({.Kind = Pause ? ActionKind::Pause : ActionKind::Status,
                     .Target = Id,
                     .InTerm = Term(this->Given.Newest.Value + 1)});
      S.AskAgainAt = Now + (Pause ? AskAgain : CatchUpPoll);
    }
    this->Deadline = std::min(this->Deadline, S.AskAgainAt);
  }
  return Out;
}

std::vector<Action> PrimaryChange::onStatus(const TargetId &Id,
                                            const std::optional<TargetStatus> &Row, Instant Now) {
  auto It = this->Members.find(Id);
  if (It == this->Members.end() || !Row)
    return {};
  Seen &S = It->second;
  bool Decides =
      this->At == Phase::Surveying || this->At == Phase::Collecting || this->At == Phase::Settling;
  if (Decides && Row->Primary && !S.Is.Primary && Row->CurrentTerm >= this->Given.Newest)
    return this->adopt(Id, Row->CurrentTerm);
  if (this->At == Phase::Surveying && S.Is.Primary) {
    bool Serves = Row->Primary && Row->CurrentTerm >= this->Given.Newest;
    return Serves && this->Given.PrimarySilent ? this->finish("primary_answers")
                                               : std::vector<Action>();
  }
  if (this->At == Phase::Surveying) {
    this->Given.Newest = std::max(this->Given.Newest, Row->CurrentTerm);
    S.Surveyed = true;
    bool All = std::all_of(this->Members.begin(), this->Members.end(),
                           [](const auto &M) { return M.second.Is.Primary || M.second.Surveyed; });
    return All ? this->claim(Now) : std::vector<Action>();
  }
  if (this->At != Phase::Collecting)
    return {};
  if (Row->CurrentTerm > this->Given.Newest) {
    // Pauses of an older term do not hold.
    this->Given.Newest = Row->CurrentTerm;
    for (auto &[Other, T] : this->Members) {
      T.Paused = false;
      T.AskAgainAt = Now;
    }
  }
  if (S.Is.Primary) {
    // The first position after the pauses is enough: later commits need the successor's receipt.
    if (!this->PrimaryHeld && this->unknownReplicas() == 0)
      this->PrimaryHeld = Row->Received;
  }
  S.Received = Row->Received;
  S.Paused = Row->PauseTerm > this->Given.Newest && this->pausedFirst(S);
  return this->collect(Now);
}

std::optional<LogPosition> PrimaryChange::highestPaused() const {
  std::optional<LogPosition> Out;
  for (const auto &[Id, S] : this->Members)
    if (S.Paused && (!Out || *S.Received > *Out))
      Out = S.Received;
  return Out;
}

// Replicas, registered or not, that may still receive and acknowledge commits without this change
// knowing their position.
uint32_t PrimaryChange::unknownReplicas() const {
  uint32_t Known = 0;
  uint32_t Unpaused = 0;
  for (const auto &[Id, S] : this->Members)
    if (this->pausedFirst(S))
      S.Paused ? ++Known : ++Unpaused;
  uint32_t Others = this->Successor ? 2 : 1; // the primary and the successor are not paused
  uint32_t Expected = this->Given.GroupSize > Others ? this->Given.GroupSize - Others : 0;
  return std::max(Unpaused, Expected > Known ? Expected - Known : 0);
}

// The target that provably holds every acknowledged commit, if there is one yet. A commit is
// acknowledged by AcknowledgedCopies replicas; while fewer are unknown, a known one holds it.
std::optional<TargetId> PrimaryChange::safeCandidate(Instant Now) const {
  uint32_t Unknown = this->unknownReplicas();
  if (this->Given.AcknowledgedCopies > 0 ? Unknown >= this->Given.AcknowledgedCopies
                                         : Unknown > 0 && Now < this->Began + AnswersWait)
    return std::nullopt;
  std::optional<LogPosition> Highest = this->highestPaused();
  if (this->Successor) {
    const Seen &S = this->Members.at(*this->Successor);
    if (!S.Received || (Highest && *S.Received < *Highest))
      return std::nullopt;
    if (this->Given.AcknowledgedCopies > 0 &&
        (!this->PrimaryHeld || *S.Received < *this->PrimaryHeld))
      return std::nullopt;
    return this->Successor;
  }
  std::optional<TargetId> Best;
  for (const auto &[Id, S] : this->Members) {
    if (!S.Paused || *S.Received < *Highest)
      continue;
    const Seen *B = Best ? &this->Members.at(*Best) : nullptr;
    if (!B || std::pair(!S.Is.Leaving, S.Is.Near) > std::pair(!B->Is.Leaving, B->Is.Near))
      Best = Id;
  }
  return Best;
}

std::vector<Action> PrimaryChange::decide(Instant Now) {
  std::optional<TargetId> Safe = this->safeCandidate(Now);
  if (!Safe)
    return {};
  // The claim must keep others off until the order has taken effect.
  if (Now - this->ClaimedAt > ClaimFresh)
    return this->claim(Now);
  this->Candidate = Safe;
  this->At = Phase::Promoting;
  this->Deadline = Now + PromoteTimeout;
  return {{.Kind = ActionKind::Promote, .Target = *Safe, .Token = this->Token}};
}

std::vector<Action> PrimaryChange::onPromote(PromoteOutcome R, Instant Now) {
  if (this->At == Phase::Fencing) {
    if (R == PromoteOutcome::Superseded)
      return this->finish("superseded");
    if (R == PromoteOutcome::Refused) {
      this->Deadline = Now + PromoteRetry;
      return {};
    }
    return R == PromoteOutcome::Unknown ? this->claim(Now) : this->beginCollecting(Now);
  }
  if (this->At != Phase::Promoting)
    return {};
  switch (R) {
  case PromoteOutcome::Accepted:
    this->At = Phase::Settling;
    this->Expected = Now + PromoteTime;
    this->PhaseEnd = Now + SettleTimeout;
    this->Deadline = Now + SettlePoll;
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
    this->At = Phase::Collecting;
    this->Deadline = Now + PromoteRetry;
    return {};
  case PromoteOutcome::Unknown:
    // The order may still be carried out; the next one carries a higher token.
    return this->claim(Now);
  }
  return {};
}

// Asks the promoted target whether it leads, since the directory may be late. The others are paused
// again: one that has started again since then would receive and acknowledge commits of the old
// primary until the promotion takes effect. After that the order has no effect, as its term is not
// above the new one.
std::vector<Action> PrimaryChange::settle(Instant Now) {
  if (Now >= this->PhaseEnd)
    return this->claim(Now);
  this->Deadline = Now + SettlePoll;
  std::vector<Action> Out{{.Kind = ActionKind::Status, .Target = *this->Candidate}};
  for (const auto &[Id, S] : this->Members)
    if (!S.Is.Primary && Id != *this->Candidate)
      Out.push_back(
          {.Kind = ActionKind::Pause, .Target = Id, .InTerm = Term(this->Given.Newest.Value + 1)});
  return Out;
}

// After the order it is too late to wait for the new target, but pausing it still keeps it from
// acknowledging what the candidate lacks.
std::vector<Action> PrimaryChange::onMember(const Member &M, Instant Now) {
  if (this->At == Phase::Finished || M.Primary || (this->Primary && M.Id == *this->Primary))
    return {};
  // A target that started again under its id has lost its pause and all that it told.
  this->Members.insert_or_assign(M.Id, Seen{.Is = M});
  if (this->At == Phase::Collecting)
    return this->collect(Now);
  bool Ordered = this->At == Phase::Promoting || this->At == Phase::Settling;
  if (Ordered && M.Id != *this->Candidate)
    return {
        {.Kind = ActionKind::Pause, .Target = M.Id, .InTerm = Term(this->Given.Newest.Value + 1)}};
  return {};
}

std::vector<Action> PrimaryChange::onPrimary(const TargetId &Id, Instant Now) {
  (void)Now;
  if (this->At == Phase::Finished || (this->Primary && Id == *this->Primary))
    return {};
  bool Ours = this->Candidate && Id == *this->Candidate;
  return this->finish(Ours ? "changed" : "already_changed");
}

std::vector<Action> PrimaryChange::adopt(const TargetId &Id, Term InTerm) {
  bool Ours = this->Candidate && Id == *this->Candidate;
  std::vector<Action> Out = this->finish(Ours ? "changed" : "already_changed");
  Out.insert(Out.begin(), {.Kind = ActionKind::Adopt, .Target = Id, .InTerm = InTerm});
  return Out;
}

std::vector<Action> PrimaryChange::onTimer(Instant Now) {
  if (this->At == Phase::Finished || Now < this->Deadline)
    return {};
  if (Now >= this->GiveUpAt)
    return this->finish("timeout");
  switch (this->At) {
  case Phase::Surveying:
  case Phase::Claiming:
  case Phase::Promoting:
    return this->claim(Now);
  case Phase::Fencing:
    this->Deadline = Now + PromoteTimeout;
    return {{.Kind = ActionKind::Promote, .Target = *this->Primary, .Token = this->Token}};
  case Phase::Settling:
    return this->settle(Now);
  case Phase::Collecting:
    return this->collect(Now);
  case Phase::Finished:
    break;
  }
  return {};
}

std::vector<Action> PrimaryChange::finish(std::string_view Outcome) {
  this->At = Phase::Finished;
  this->Deadline = absl::InfiniteFuture();
  return {{.Kind = ActionKind::Finish, .Outcome = Outcome}};
}

} // namespace toucan::promotion
