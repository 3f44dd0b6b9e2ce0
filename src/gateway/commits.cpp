#include "gateway/commits.h"
#include "gateway/router.h"
#include "gateway/session_limits.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

// One question answers all commits that arrive in this time, and answers to reads may come first.
constexpr absl::Duration FirstAskDelay = absl::Milliseconds(4);
// Interval of the questions while a replica lacks a commit.
constexpr absl::Duration AskInterval = absl::Milliseconds(25);
// All replicas are asked when a proof takes longer than this.
constexpr absl::Duration AskAllDelay = absl::Milliseconds(60);

} // namespace

CommitProver::Decision CommitProver::decide(const PendingCommit &P, Instant Now) const {
  // Whether the primary of a later term received it is not known.
  if (this->Router.lead().superseded(P.At.InTerm))
    return Decision::Unproven;
  if (this->Evidence.covers(P.Leader, P.At))
    return Decision::Proven;
  return Now >= P.Deadline ? Decision::Unproven : Decision::Open;
}

void CommitProver::prove(const TargetId &Leader, LogPosition Commit, Instant Deadline,
                         Handler Done) {
  Instant Now = this->InLoop.now();
  PendingCommit P{.Leader = Leader,
                  .At = Commit,
                  .Deadline = Deadline,
                  .AskAllAt = Now + AskAllDelay,
                  .StalledAt = Now + BlockedWriteThreshold,
                  .Done = std::move(Done)};
  if (!this->Evidence.needed() || this->Evidence.covers(Leader, Commit)) {
    P.Done(true);
    return;
  }
  this->Pending.push_back(std::move(P));
  this->scheduleAsk(Now + FirstAskDelay);
}

void CommitProver::scheduleAsk(Instant At) {
  if (!std::exchange(this->AskScheduled, true))
    this->InLoop.at(At, [this] { this->ask(); });
}

// Asks the nearest replicas, and all of them for commits that have waited long.
void CommitProver::ask() {
  this->AskScheduled = false;
  Instant Now = this->InLoop.now();
  if (this->Pending.empty())
    return;
  bool All = std::any_of(this->Pending.begin(), this->Pending.end(),
                         [Now](const PendingCommit &P) { return Now >= P.AskAllAt; });
  this->Router.prover().askReplicas(All ? this->Router.pools().size()
                                        : this->Router.limits().AcknowledgedCopies);
  this->scheduleAsk(Now + AskInterval);
}

bool CommitProver::awaitsSettled() const {
  return std::any_of(this->Pending.begin(), this->Pending.end(), [&](const PendingCommit &P) {
    return this->Evidence.awaitsSettled(P.Leader, P.At);
  });
}

void CommitProver::onSettled(Instant Asked, Instant Answered, Term InTerm) {
  this->Evidence.onSettled(Asked, Answered, InTerm);
  if (!this->Pending.empty())
    this->scheduleAsk(this->InLoop.now());
}

// The answer that gives the position is still being processed, so the proofs are ended in a later
// task of the loop.
void CommitProver::onPosition(const TargetId &Id, LogPosition At, Instant SentAt, Instant Since) {
  this->Evidence.onPosition(Id, At, SentAt, Since);
  if (this->Pending.empty() || std::exchange(this->SettleScheduled, true))
    return;
  this->InLoop.at(this->InLoop.now(), [this] {
    this->SettleScheduled = false;
    this->settle();
  });
}

// Handlers may add commits, so that none is called while the pending ones are visited.
void CommitProver::settle() {
  Instant Now = this->InLoop.now();
  std::vector<std::pair<Handler, bool>> Decided;
  std::erase_if(this->Pending, [&](PendingCommit &P) {
    Decision D = this->decide(P, Now);
    if (D != Decision::Open)
      Decided.emplace_back(std::move(P.Done), D == Decision::Proven);
    return D != Decision::Open;
  });
  for (auto &[Done, Proven] : Decided)
    Done(Proven);
  if (this->OnAwaitsSettled && this->awaitsSettled())
    this->OnAwaitsSettled();
}

// A primary whose commits no replica receives needs a change, as one whose writes stall. One that
// waits for the end of another change does not.
void CommitProver::noteStalled(Instant Now) {
  for (PendingCommit &P : this->Pending) {
    if (Now < P.StalledAt || this->Evidence.awaitsSettled(P.Leader, P.At))
      continue;
    P.StalledAt = absl::InfiniteFuture();
    if (TargetPool *Pool = this->Router.pool(P.Leader))
      Pool->onWriteTimedOut();
  }
}

void CommitProver::tick() {
  if (this->Pending.empty())
    return;
  Instant Now = this->InLoop.now();
  this->noteStalled(Now);
  this->scheduleAsk(Now);
  this->settle();
}

} // namespace toucan::gateway
