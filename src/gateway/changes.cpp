#include "gateway/changes.h"

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

constexpr std::array<std::string_view, 5> OutcomeNames = {"accepted", "superseded", "not_running",
                                                          "refused", "unknown"};

} // namespace

ChangeRunner::ChangeRunner(ChangeDependencies Deps, ServiceRouter &Router)
    : Deps(std::move(Deps)), Router(Router) {
  this->Router.OnTargetAdded = [this](const TargetPool &P) {
    if (this->Change)
      this->perform(this->Change->onTargetRegistered(
          {.Id = P.entry().Id, .Primary = P.isPrimary(), .Leaving = P.entry().Leaving},
          this->Deps.InLoop.now()));
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
  if (D && Now >= this->EarliestNextChange)
    this->begin(*D);
}

void ChangeRunner::begin(const promotion::Diagnosis &D) {
  Instant Now = this->Deps.InLoop.now();
  std::vector<promotion::Member> Members;
  TargetPool *Primary = this->Router.primary();
  Term Newest = this->Router.newestTerm();
  for (const auto &[Id, P] : this->Router.pools()) {
    Members.push_back({.Id = Id,
                       .Primary = P.get() == Primary,
                       .Leaving = P->entry().Leaving,
                       .Preferred = Primary && P->entry().Centre == Primary->entry().Centre});
    Newest = std::max(Newest, P->newestTerm());
  }
  LogEvent(LogLevel::Warn, "primary_change_begun")
      .kv("service", this->Router.name().Value)
      .kv("cause", D.Cause)
      .kv("primary", Primary ? Primary->entry().Id.Value : std::string("none"))
      .kv("targets", Members.size())
      .kv("group_size", this->Deps.GroupSize(this->Router.name()))
      .kv("term", Newest.Value);
  this->Deps.Counters.add("primary_changes_begun");
  this->ChangeTrigger = D.Kind;
  ++this->Generation;
  this->Change = std::make_unique<promotion::PrimaryChange>(
      promotion::PrimaryChange::Options{.AcknowledgedCopies =
                                            this->Router.limits().AcknowledgedCopies,
                                        .GroupSize = this->Deps.GroupSize(this->Router.name()),
                                        .NewestTerm = Newest,
                                        .Kind = D.Kind,
                                        .PrimarySilent = D.PrimarySilent},
      std::move(Members), Now);
  this->perform(this->Change->start(Now));
}

void ChangeRunner::perform(const std::vector<Action> &Actions) {
  uint64_t ChangeGeneration = this->Generation;
  for (const Action &A : Actions) {
    switch (A.Kind) {
    case ActionKind::Claim:
      this->Deps.Claims.claim(this->Router.name().Value, this->Deps.StoreNowMs(),
                              [this, ChangeGeneration](const ClaimResult &R) {
                                LogEvent(LogLevel::Info, "primary_claim")
                                    .kv("service", this->Router.name().Value)
                                    .kv("granted", R.Outcome == promotion::ClaimOutcome::Granted)
                                    .kv("token", R.Token.Value)
                                    .kv("taken_over", R.TakenOver)
                                    .kv("detail", R.Detail);
                                if (ChangeGeneration == this->Generation && this->Change)
                                  this->perform(this->Change->onClaim(R, this->Deps.InLoop.now()));
                              });
      break;
    case ActionKind::Promote:
      LogEvent(LogLevel::Warn, "promote_ordered")
          .kv("service", this->Router.name().Value)
          .kv("target", A.Target.Value)
          .kv("token", A.Token.Value);
      this->Deps.Promotions.promote(
          this->Router.name(), A.Target, this->Deps.Self, A.Token,
          [this, ChangeGeneration](PromoteOutcome R, const std::string &Detail) {
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
      break;
    case ActionKind::Pause:
    case ActionKind::Status:
      this->sendCommand(A);
      break;
    case ActionKind::Adopt:
      this->Router.onPrimaryReported(A.Target, A.InTerm);
      break;
    case ActionKind::Finish:
      this->finish(A.Outcome);
      return;
    }
  }
}

void ChangeRunner::sendCommand(const Action &A) {
  TargetPool *P = this->Router.pool(A.Target);
  if (!P)
    return;
  bool Pause = A.Kind == ActionKind::Pause;
  TargetRequest Request{.Command = Pause ? TargetCommand::Pause : TargetCommand::Status,
                        .PauseTerm = A.InTerm};
  P->command(
      std::move(Request), this->Deps.InLoop.now() + CommandTimeout,
      [this, Id = A.Target, ChangeGeneration = this->Generation, Pause](const Answer *Reply) {
        std::optional<TargetStatus> Row;
        if (Reply)
          Row = this->Deps.Protocol.parseStatus(*Reply);
        LogEvent(LogLevel::Info, Pause ? "pause_answered" : "status_answered")
            .kv("service", this->Router.name().Value)
            .kv("target", Id.Value)
            .kv("answered", Reply != nullptr)
            .kv("primary", Row && Row->Primary)
            .kv("term", Row ? Row->CurrentTerm.Value : 0)
            .kv("held", Row ? Row->PauseTerm.Value : 0)
            .kv("received", Row ? Row->Received.Position : 0);
        if (ChangeGeneration == this->Generation && this->Change)
          this->perform(this->Change->onStatus(Id, Row, this->Deps.InLoop.now()));
      });
}

void ChangeRunner::finish(std::string_view Outcome) {
  LogEvent(LogLevel::Warn, "primary_change_ended")
      .kv("service", this->Router.name().Value)
      .kv("outcome", Outcome);
  bool Changed = Outcome == "changed" || Outcome == "already_changed";
  this->Deps.Counters.add(Changed ? "primary_changes_done" : "primary_changes_given_up");
  this->EarliestNextChange =
      this->Deps.InLoop.now() + (Changed ? PauseAfterChange : PauseAfterFailure);
  ++this->Generation;
  // finish() is called while the state machine's actions are carried out, so the state machine is
  // destroyed in a later task of the loop.
  std::shared_ptr<promotion::PrimaryChange> Finished = std::move(this->Change);
  this->Deps.InLoop.at(this->Deps.InLoop.now(), [Finished] {});
}

} // namespace toucan::gateway
