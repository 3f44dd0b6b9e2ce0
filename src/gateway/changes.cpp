#include "gateway/changes.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace toucan::gateway {

using promotion::Action;
using promotion::ActionKind;
using promotion::ChangeKind;
using promotion::ClaimResult;
using promotion::PromoteOutcome;

namespace {

// A command that takes a slot at the target may wait behind a statement. This is longer than nearly
// all statements take.
constexpr absl::Duration CommandTimeout = absl::Milliseconds(500);
// Pause after a change that failed, before the primary is diagnosed again.
constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(300);
// Pause after a successful change, in which the new primary stabilises.
constexpr absl::Duration PauseAfterChange = absl::Milliseconds(1500);

constexpr absl::Duration SpreadPerInstance = absl::Milliseconds(8);
constexpr absl::Duration SpreadMax = absl::Milliseconds(400);
// Pause after another instance was found to change the primary, and the time after which such a
// finding no longer counts: the other change may have been given up.
constexpr absl::Duration PauseAfterYield = absl::Milliseconds(700);
constexpr absl::Duration YieldValidity = absl::Seconds(4);

struct CommandRow {
  ActionKind Kind;
  TargetCommand Command;
  std::string_view Event; // log line of the answer
};

constexpr std::array<CommandRow, 3> Commands = {{
    {ActionKind::Status, TargetCommand::Status, "status_answered"},
    {ActionKind::Pause, TargetCommand::Pause, "pause_answered"},
    {ActionKind::StepDown, TargetCommand::StepDown, "step_down_answered"},
}};

const CommandRow &commandRow(ActionKind Kind) {
  return *std::find_if(Commands.begin(), Commands.end(),
                       [Kind](const CommandRow &Row) { return Row.Kind == Kind; });
}

constexpr std::array<std::string_view, 5> OutcomeNames = {"accepted", "superseded", "not_running",
                                                          "refused", "unknown"};

} // namespace

absl::Duration spreadDelay(const InstanceId &Self, const catalog::ServiceName &Service,
                           size_t Instances) {
  absl::Duration Spread = std::min(SpreadPerInstance * static_cast<double>(Instances), SpreadMax);
  size_t Hash = absl::Hash<std::pair<std::string, std::string>>()({Self.Value, Service.Value});
  constexpr size_t Resolution = 1024;
  return Spread * (static_cast<double>(Hash % Resolution) / Resolution);
}

ChangeRunner::ChangeRunner(ChangeDependencies Deps, ServiceRouter &Router)
    : Deps(std::move(Deps)), Router(Router) {
  this->Router.OnTargetAdded = [this](const TargetPool &P) {
    if (this->Change)
      this->perform(this->Change->onTargetRegistered(
          {.Id = P.entry().Id, .Primary = P.isPrimary(), .Leaving = P.entry().Leaving},
          this->Deps.InLoop.now()));
  };
  this->Router.OnTargetRemoved = [this](const TargetId &Id) {
    if (this->Change)
      this->perform(this->Change->onTargetRemoved(Id, this->Deps.InLoop.now()));
  };
  this->Router.OnPrimaryChanged = [this](const TargetId &Id) {
    if (this->Change)
      this->perform(this->Change->onPrimaryObserved(Id, this->Deps.InLoop.now()));
  };
}

void ChangeRunner::onStall() {
  this->Router.resetFailureDetection();
  this->EarliestNextChange =
      std::max(this->EarliestNextChange, this->Deps.InLoop.now() + PauseAfterFailure);
}

void ChangeRunner::tick() {
  Instant Now = this->Deps.InLoop.now();
  promotion::PrimaryHealth Health = this->Router.primaryHealth();
  std::optional<promotion::Diagnosis> D = promotion::diagnose(Health, Now);
  if (this->Change) {
    // A leaving primary that fails before the change has a candidate needs the procedure for a lost
    // primary.
    if (D && D->Kind == ChangeKind::Failover && this->ChangeTrigger == ChangeKind::Switchover &&
        !this->Change->candidate()) {
      this->finish("primary_lost_meanwhile");
      this->begin(*D);
      return;
    }
    if (Now >= this->Change->nextDeadline())
      this->perform(this->Change->onTimer(Now));
    return;
  }
  if (!D) {
    this->BeginAt = absl::InfiniteFuture();
    return;
  }
  // Load pattern: a lost primary that all instances notice in the same tenth of a second.
  if (this->BeginAt == absl::InfiniteFuture())
    this->BeginAt =
        Now + spreadDelay(this->Deps.Self, this->Router.name(), this->Deps.InstanceCount());
  if (Now >= std::max(this->BeginAt, this->EarliestNextChange))
    this->begin(*D);
}

void ChangeRunner::begin(const promotion::Diagnosis &D) {
  Instant Now = this->Deps.InLoop.now();
  std::vector<promotion::Member> Members;
  TargetPool *Primary = this->Router.primary();
  Term Newest = std::max(this->Router.newestTerm(), this->Router.lead().newestTerm());
  for (const auto &[Id, P] : this->Router.pools()) {
    Members.push_back({.Id = Id,
                       .Primary = P.get() == Primary,
                       .Leaving = P->entry().Leaving,
                       .Preferred = Primary && P->entry().Centre == Primary->entry().Centre});
    Newest = std::max(Newest, P->lead().InTerm);
  }
  LogEvent(LogLevel::Warn, "primary_change_begun")
      .kv("service", this->Router.name().Value)
      .kv("cause", D.Cause)
      .kv("primary", Primary ? Primary->entry().Id.Value : std::string("none"))
      .kv("targets", Members.size())
      .kv("group_size", this->Router.group().size())
      .kv("members", roster::describe(this->Router.group().named()))
      .kv("term", Newest.Value);
  this->Deps.Counters.add("primary_changes_begun");
  this->ChangeTrigger = D.Kind;
  ++this->Generation;
  this->Change = std::make_unique<promotion::PrimaryChange>(
      promotion::PrimaryChange::Options{.AcknowledgedCopies =
                                            this->Router.limits().AcknowledgedCopies,
                                        .Group = this->Router.group(),
                                        .NewestTerm = Newest,
                                        .Kind = D.Kind,
                                        .PrimarySilent = D.PrimarySilent,
                                        .TokensChecked = this->Deps.TokensChecked,
                                        .YieldToOthers = Now - this->YieldedAt > YieldValidity,
                                        .Start = this->Router.termStart()},
      std::move(Members), Now);
  this->perform(this->Change->start(Now));
}

void ChangeRunner::perform(const std::vector<Action> &Actions) {
  for (const Action &A : Actions) {
    switch (A.Kind) {
    case ActionKind::Claim:
      this->takeClaim();
      break;
    case ActionKind::Record:
      this->recordOrder(A);
      break;
    case ActionKind::Promote:
      this->promote(A);
      break;
    case ActionKind::Pause:
    case ActionKind::Status:
    case ActionKind::StepDown:
      this->sendCommand(A);
      break;
    case ActionKind::Observe:
      this->observe(A);
      break;
    case ActionKind::Fence:
      this->fence(A);
      break;
    case ActionKind::Adopt:
      if (this->Change->newTermStart())
        this->Router.noteTermStart(*this->Change->newTermStart());
      this->Router.onPrimaryReported(A.Target, A.InTerm);
      break;
    case ActionKind::Finish:
      this->finish(A.Outcome);
      return;
    }
  }
}

void ChangeRunner::takeClaim() {
  this->Deps.Claims.claim(this->Router.name().Value, this->Deps.StoreNowMs(),
                          [this, ChangeGeneration = this->Generation](const ClaimResult &R) {
                            LogEvent(LogLevel::Info, "primary_claim")
                                .kv("service", this->Router.name().Value)
                                .kv("granted", R.Outcome == promotion::ClaimOutcome::Granted)
                                .kv("token", R.Token.Value)
                                .kv("orders", R.Orders.size())
                                .kv("detail", R.Detail);
                            if (ChangeGeneration != this->Generation || !this->Change)
                              return;
                            this->HasClaim = R.Outcome == promotion::ClaimOutcome::Granted;
                            if (!this->HasClaim) {
                              this->perform(this->Change->onClaim(R, this->Deps.InLoop.now()));
                              return;
                            }
                            this->Router.noteMembers(R.Members, this->Deps.InLoop.now());
                            this->readTargets(R);
                          });
}

// The change takes into account all targets that are listed while it holds the claim. Other
// instances rely on that, see placement::CommitEvidence.
void ChangeRunner::readTargets(const ClaimResult &R) {
  this->Deps.ReadTargets([this, R, ChangeGeneration = this->Generation](bool Read) {
    if (ChangeGeneration != this->Generation || !this->Change)
      return;
    ClaimResult Result = R;
    Result.Members = this->Router.resolveMembers(R.Members);
    if (!Read)
      Result = {.Outcome = promotion::ClaimOutcome::StoreFailed, .Detail = "targets not read"};
    this->perform(this->Change->onClaim(Result, this->Deps.InLoop.now()));
  });
}

void ChangeRunner::endClaim() {
  if (!std::exchange(this->HasClaim, false))
    return;
  this->Deps.Claims.end(this->Router.name().Value, this->Deps.StoreNowMs(),
                        this->Change->newTermStart() ? this->Change->newTermStart()
                                                     : this->Router.termStart(),
                        [Service = this->Router.name()](const ClaimResult &R) {
                          if (R.Outcome != promotion::ClaimOutcome::Granted)
                            LogEvent(LogLevel::Info, "primary_claim_not_ended")
                                .kv("service", Service.Value)
                                .kv("detail", R.Detail);
                        });
}

void ChangeRunner::recordOrder(const Action &A) {
  TargetPool *P = this->Router.pool(A.Target);
  if (!P)
    return;
  LogEvent(LogLevel::Warn, "promote_decided")
      .kv("service", this->Router.name().Value)
      .kv("target", A.Target.Value)
      .kv("above_term", A.InTerm.Value)
      .kv("group_size", this->Router.group().size())
      .kv("members", this->Change->describeMembers());
  this->Deps.Claims.recordOrder(
      this->Router.name().Value, this->Deps.StoreNowMs(),
      {.Target = A.Target, .AboveTerm = A.InTerm, .Start = A.Start}, P->entry().Address, A.Void,
      [this, Target = A.Target, ChangeGeneration = this->Generation](const ClaimResult &R) {
        LogEvent(LogLevel::Info, "promote_recorded")
            .kv("service", this->Router.name().Value)
            .kv("target", Target.Value)
            .kv("recorded", R.Outcome == promotion::ClaimOutcome::Granted)
            .kv("token", R.Token.Value)
            .kv("detail", R.Detail);
        if (ChangeGeneration == this->Generation && this->Change)
          this->perform(this->Change->onRecord(R, this->Deps.InLoop.now()));
      });
}

void ChangeRunner::promote(const Action &A) {
  LogEvent(LogLevel::Warn, "promote_ordered")
      .kv("service", this->Router.name().Value)
      .kv("target", A.Target.Value)
      .kv("token", A.Token.Value);
  this->Deps.Promotions.promote(
      this->Router.name(), A.Target, this->Deps.Self, A.Token,
      [this, ChangeGeneration = this->Generation](PromoteOutcome R, const std::string &Detail) {
        LogEvent(LogLevel::Warn, "promote_answered")
            .kv("service", this->Router.name().Value)
            .kv("outcome", OutcomeNames[static_cast<size_t>(R)])
            .kv("detail", Detail);
        if (ChangeGeneration != this->Generation || !this->Change)
          return;
        std::vector<Action> Next = this->Change->onPromote(R, this->Deps.InLoop.now());
        this->Router.setPrimaryExpected(this->Change->expectedAt());
        this->perform(Next);
      });
}

void ChangeRunner::sendCommand(const Action &A) {
  TargetPool *P = this->Router.pool(A.Target);
  if (!P)
    return;
  const CommandRow &Row = commandRow(A.Kind);
  P->command({.Command = Row.Command, .InTerm = A.InTerm}, this->Deps.InLoop.now() + CommandTimeout,
             [this, Id = A.Target, ChangeGeneration = this->Generation, &Row](const Answer *Reply) {
               std::optional<TargetStatus> Status;
               if (Reply)
                 Status = this->Deps.Protocol.parseStatus(*Reply);
               LogEvent(LogLevel::Info, Row.Event)
                   .kv("service", this->Router.name().Value)
                   .kv("target", Id.Value)
                   .kv("answered", Reply != nullptr)
                   .kv("primary", Status && Status->Primary)
                   .kv("term", Status ? Status->CurrentTerm.Value : 0)
                   .kv("held", Status ? Status->PauseTerm.Value : 0)
                   .kv("received_term", Status ? Status->Received.InTerm.Value : 0)
                   .kv("received", Status ? Status->Received.Position : 0);
               if (ChangeGeneration == this->Generation && this->Change)
                 this->perform(this->Change->onStatus(Id, Status, this->Deps.InLoop.now()));
             });
}

void ChangeRunner::observe(const Action &A) {
  this->Deps.Observers.observe(
      {.Service = this->Router.name(), .Target = A.Target},
      this->Deps.InLoop.now() + CommandTimeout,
      [this, Id = A.Target, ChangeGeneration = this->Generation](const promotion::Observation &O) {
        LogEvent(LogLevel::Info, "primary_observed")
            .kv("service", this->Router.name().Value)
            .kv("target", Id.Value)
            .kv("reached", O.Reached)
            .kv("primary", O.Status && O.Status->Primary)
            .kv("term", O.Status ? O.Status->CurrentTerm.Value : 0);
        if (ChangeGeneration == this->Generation && this->Change)
          this->perform(this->Change->onObserved(O, this->Deps.InLoop.now()));
      });
}

void ChangeRunner::fence(const Action &A) {
  this->Deps.Observers.stepDown(
      {.Service = this->Router.name(), .Target = A.Target}, A.InTerm,
      this->Deps.InLoop.now() + CommandTimeout,
      [this, Id = A.Target, ChangeGeneration = this->Generation](const promotion::Observation &O) {
        LogEvent(LogLevel::Warn, "primary_fenced")
            .kv("service", this->Router.name().Value)
            .kv("target", Id.Value)
            .kv("stepped_down", O.Status && !O.Status->Primary)
            .kv("reached", O.Reached)
            .kv("received", O.Status ? O.Status->Received.Position : 0);
        if (ChangeGeneration == this->Generation && this->Change)
          this->perform(this->Change->onFenced(O, this->Deps.InLoop.now()));
      });
}

void ChangeRunner::finish(std::string_view Outcome) {
  LogEvent(LogLevel::Warn, "primary_change_ended")
      .kv("service", this->Router.name().Value)
      .kv("outcome", Outcome);
  bool Changed = Outcome == "changed" || Outcome == "already_changed";
  this->Deps.Counters.add(Changed ? "primary_changes_done" : "primary_changes_given_up");
  bool Yielded = Outcome == "change_in_progress" || Outcome == "claim_held";
  Instant Now = this->Deps.InLoop.now();
  if (Yielded)
    this->YieldedAt = Now;
  this->EarliestNextChange = Now + (Changed   ? PauseAfterChange
                                    : Yielded ? PauseAfterYield
                                              : PauseAfterFailure);
  this->BeginAt = absl::InfiniteFuture();
  ++this->Generation;
  this->endClaim();
  // finish() is called while the state machine's actions are carried out, so the state machine is
  // destroyed in a later task of the loop.
  std::shared_ptr<promotion::PrimaryChange> Finished = std::move(this->Change);
  this->Deps.InLoop.at(this->Deps.InLoop.now(), [Finished] {});
}

} // namespace toucan::gateway
