// Which target of a service is the primary, in which term, and since when that is known.
#include "gateway/router.h"

#include <algorithm>

namespace toucan::gateway {

placement::Lead confirmedLead(const SentRequest &Sent, const Answer &Reply) {
  Term OfLog = Reply.Position ? Reply.Position->InTerm : Term();
  return {.Leader = Sent.To.Leader, .InTerm = std::max(Sent.To.InTerm, OfLog)};
}

// Returns the target with the newest term if several claim to be the primary. This happens when an
// old primary has not yet learned of a change.
TargetPool *ServiceRouter::primary() {
  TargetPool *Best = nullptr;
  for (auto &[Id, P] : this->Pools)
    if (P->isPrimary() && (!Best || P->lead().InTerm > Best->lead().InTerm))
      Best = P.get();
  return Best;
}

void ServiceRouter::updatePrimary() {
  this->updateRegularUse();
  TargetPool *P = this->primary();
  if (!P) {
    if (this->KnownPrimary)
      this->PrimaryUnknownSince = this->InLoop.now();
    this->KnownPrimary.reset();
    return;
  }
  if (this->KnownPrimary == P->entry().Id)
    return;
  this->KnownPrimary = P->entry().Id;
  // Failures from before the target became the primary must not count against it as a primary.
  P->resetFailureDetection();
  this->PrimaryExpected = absl::InfiniteFuture();
  LogEvent(LogLevel::Info, "primary_known")
      .kv("service", this->Name.Value)
      .kv("target", P->entry().Id.Value)
      .kv("term", P->lead().InTerm.Value);
  if (this->OnPrimaryChanged)
    this->OnPrimaryChanged(*this->KnownPrimary);
}

promotion::PrimaryHealth ServiceRouter::primaryHealth() const {
  promotion::PrimaryHealth Out;
  Out.PrimaryUnknownSince = this->PrimaryUnknownSince;
  if (!this->KnownPrimary)
    return Out;
  const TargetPool &P = *this->Pools.at(*this->KnownPrimary);
  Out = P.health();
  Out.PrimaryKnown = true;
  auto Leaving = this->LeavingSince.find(*this->KnownPrimary);
  if (Leaving != this->LeavingSince.end())
    Out.LeavingSince = Leaving->second;
  return Out;
}

void ServiceRouter::onPrimaryConfirmed(TargetPool &Pool, const Answer &Reply,
                                       const SentRequest &Sent) {
  if (!Reply.Position)
    return;
  placement::Lead By = confirmedLead(Sent, Reply);
  // It may lead the newest term without a commit of that term yet; its status tells.
  if (this->Lead.superseded(By.InTerm)) {
    this->Prover.askLeader(Pool);
    return;
  }
  this->noteTermStart({.InTerm = By.InTerm, .At = *Reply.Position});
  this->noteCovered(this->Lead.onPrimary(By, *Reply.Position, Sent.At));
  this->onPrimaryAnswer(Pool, By.InTerm);
}

void ServiceRouter::onCommitAcknowledged(TargetPool &Pool, const Answer &Reply,
                                         const SentRequest &Sent) {
  if (!Reply.Position)
    return;
  placement::Lead By = confirmedLead(Sent, Reply);
  if (this->Lead.superseded(By.InTerm))
    return;
  this->noteTermStart({.InTerm = By.InTerm, .At = *Reply.Position});
  this->noteCovered(this->Lead.onCommit(By, *Reply.Position, Sent.At));
  this->onPrimaryAnswer(Pool, By.InTerm);
}

// The first position seen of a term is the lowest one known.
void ServiceRouter::noteTermStart(const promotion::TermStart &New) {
  if (!this->Start || New.InTerm > this->Start->InTerm)
    this->Start = New;
}

void ServiceRouter::onCommitTold(LogPosition At) {
  if (At >= this->LastTold.At)
    this->LastTold = {.At = At, .ToldAt = this->InLoop.now()};
}

// A commit of which a caller was told must be in the log of the primary of the new term. The line
// tells up to which one this instance did, and when; promote_decided tells what the promoted target
// had received.
void ServiceRouter::noteTerm(Term InTerm, const TargetId &Leader) {
  if (InTerm <= this->NewestTerm)
    return;
  if (this->NewestTerm.Value > 0)
    LogEvent(LogLevel::Warn, "lead_replaced")
        .kv("service", this->Name.Value)
        .kv("target", Leader.Value)
        .kv("term", InTerm.Value)
        .kv("former_term", this->NewestTerm.Value)
        .kv("told_term", this->LastTold.At.InTerm.Value)
        .kv("told_position", this->LastTold.At.Position)
        .kv("told_ms_ago",
            this->LastTold.ToldAt == absl::InfinitePast()
                ? -1
                : absl::ToInt64Milliseconds(this->InLoop.now() - this->LastTold.ToldAt));
  this->NewestTerm = InTerm;
}

void ServiceRouter::onPrimaryAnswer(TargetPool &Pool, Term InTerm) {
  this->noteTerm(InTerm, Pool.entry().Id);
  if (!Pool.isPrimary()) {
    Pool.setIsPrimary(true);
    this->updatePrimary();
  }
}

void ServiceRouter::onTargetStatus(const TargetId &Id, const TargetStatus &Status, Instant SentAt) {
  if (!Status.Primary) {
    if (TargetPool *P = this->pool(Id))
      this->Commits.onPosition(Id, Status.Received, SentAt, P->processSince());
    this->noteCovered(this->Lead.onWitness(Id, Status.CurrentTerm, SentAt));
    if (TargetPool *P = this->pool(Id); P && P->isPrimary())
      this->demote(*P);
    return;
  }
  bool Superseded = this->Lead.superseded(Status.CurrentTerm);
  if (!Superseded) {
    this->noteTermStart({.InTerm = Status.CurrentTerm, .At = Status.Received});
    this->onPrimaryReported(Id, Status.CurrentTerm);
  } else if (TargetPool *P = this->pool(Id)) {
    this->onPrimarySuperseded(*P);
  }
}

void ServiceRouter::onPrimaryReported(const TargetId &Id, Term InTerm) {
  TargetPool *P = this->pool(Id);
  if (!P)
    return;
  this->noteTerm(InTerm, Id);
  P->raiseLeadTerm(InTerm);
  // A target of an older term that still claims to be the primary has been replaced.
  for (auto &[Other, Pool] : this->Pools)
    if (Other != Id && Pool->lead().InTerm < InTerm)
      Pool->setIsPrimary(false);
  P->setIsPrimary(true);
  this->updatePrimary();
  this->dispatch();
}

void ServiceRouter::onPrimaryDenied(TargetPool &Pool) { this->demote(Pool); }

void ServiceRouter::onPrimarySuperseded(TargetPool &Pool) {
  this->demote(Pool);
  this->Prover.askAll(this->InLoop.now());
}

// The target is not the primary any more, by its own answer or because a later term has begun.
void ServiceRouter::demote(TargetPool &Pool) {
  if (Pool.isPrimary())
    LogEvent(LogLevel::Info, "lead_denied")
        .kv("service", this->Name.Value)
        .kv("target", Pool.entry().Id.Value)
        .kv("term", Pool.lead().InTerm.Value)
        .kv("newest_term", this->Lead.newestTerm().Value);
  Pool.setIsPrimary(false);
  this->updatePrimary();
}

} // namespace toucan::gateway
