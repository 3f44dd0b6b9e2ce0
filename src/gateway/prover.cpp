#include "gateway/prover.h"
#include "gateway/router.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace toucan::gateway {

namespace {

// A target answers within a round trip between regions, unless all its slots are taken.
constexpr absl::Duration InquiryTimeout = absl::Milliseconds(400);
// Other targets are asked as well when an answer takes longer than this.
constexpr absl::Duration AskAllDelay = absl::Milliseconds(90);
// A target that did not answer, or refused as busy, is asked only if no other is left.
constexpr absl::Duration FailurePause = absl::Seconds(1);

// Interval of the queries for the term of a primary. A query takes a slot of the target.
constexpr absl::Duration LeaderAskInterval = absl::Milliseconds(50);

constexpr std::array<std::string_view, 3> ProofNames = {"proven", "superseded", "unproven"};

} // namespace

std::string_view leadProofName(LeadProof P) { return ProofNames[static_cast<size_t>(P)]; }

// Returns the possible witnesses: members of the group first, of these the ones that are likely to
// answer soonest.
std::vector<TargetPool *> LeadProver::candidates() const {
  Instant Now = this->InLoop.now();
  std::vector<std::pair<std::tuple<bool, bool, bool, placement::Distance>, TargetPool *>> Ranked;
  for (const auto &[Id, P] : this->Router.pools()) {
    if (P.get() == this->Router.primary() || P->retired() || P->isUnresponsive())
      continue;
    auto It = this->Inquiries.find(Id);
    bool Failed = It != this->Inquiries.end() && Now < It->second.FailedUntil;
    Ranked.emplace_back(std::tuple(!this->Router.group().counts(Id),
                                   Failed || P->health().FailedConnections > 0, !P->hasQueryLink(),
                                   this->Router.distanceTo(*P)),
                        P.get());
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<TargetPool *> Out;
  Out.reserve(Ranked.size());
  for (const auto &[Rank, P] : Ranked)
    Out.push_back(P);
  return Out;
}

bool LeadProver::enoughWitnesses() const {
  uint32_t Needed = this->Router.lead().witnessesNeeded();
  const roster::Roster &Group = this->Router.group();
  std::vector<TargetPool *> All = this->candidates();
  // While the members are not known, any of them may be one.
  auto Members = std::count_if(All.begin(), All.end(), [&Group](const TargetPool *P) {
    return !Group.known() || Group.counts(P->entry().Id);
  });
  return static_cast<uint32_t>(Members) >= Needed;
}

void LeadProver::ask(Instant Since) {
  uint32_t Needed = this->Router.lead().witnessesNeeded();
  for (TargetPool *P : this->candidates()) {
    if (Needed == 0)
      return;
    this->askTarget(*P, Since);
    --Needed;
  }
}

void LeadProver::askAll(Instant Since) {
  for (TargetPool *P : this->candidates())
    this->askTarget(*P, Since);
}

void LeadProver::askReplicas(size_t Count) {
  for (TargetPool *P : this->candidates()) {
    if (Count == 0)
      return;
    if (P->entry().Leaving)
      continue;
    --Count;
    if (!this->Inquiries[P->entry().Id].InFlight)
      this->askTarget(*P, monotonicNow());
  }
}

void LeadProver::askTarget(TargetPool &Pool, Instant Since) {
  TargetId Id = Pool.entry().Id;
  Inquiry &I = this->Inquiries[Id];
  if (I.SentAt >= Since)
    return;
  if (I.InFlight) {
    I.Repeat = true;
    return;
  }
  // The loop's time is older than the arrival of the read that is to be proved.
  Instant Now = monotonicNow();
  I = {.InFlight = true, .SentAt = Now, .FailedUntil = I.FailedUntil};
  this->Counters.add("lead_inquiries");
  Pool.query({.Command = TargetCommand::Status}, this->InLoop.now() + InquiryTimeout,
             [this, Id](const Answer *Reply) { this->onAnswer(Id, Reply); });
}

void LeadProver::onAnswer(const TargetId &Id, const Answer *Reply) {
  Instant Now = this->InLoop.now();
  Inquiry &I = this->Inquiries[Id];
  I.InFlight = false;
  bool Repeat = std::exchange(I.Repeat, false);
  std::optional<TargetStatus> Status;
  if (Reply)
    Status = this->Protocol.parseStatus(*Reply);
  I.FailedUntil = Status ? absl::InfinitePast() : Now + FailurePause;
  if (Status)
    this->Router.onTargetStatus(Id, *Status, I.SentAt);
  else
    this->Counters.add("lead_inquiries_failed");
  // Asks at once elsewhere if this target gave no answer.
  if (!Status && !this->Pending.empty())
    for (TargetPool *P : this->candidates())
      if (P->entry().Id != Id)
        this->askTarget(*P, this->Pending.back().Since);
  if (Repeat && Status)
    if (TargetPool *P = this->Router.pool(Id))
      this->askTarget(*P, monotonicNow());
  this->settle();
}

std::optional<LeadProof> LeadProver::decide(const PendingProof &P, Instant Now) const {
  if (this->Router.lead().witnessedAt(P.By) >= P.Since)
    return LeadProof::Proven;
  if (Now >= P.Deadline)
    return LeadProof::Unproven;
  if (!this->Router.lead().superseded(P.By.InTerm) || this->leaderToAsk(P))
    return std::nullopt;
  return LeadProof::Superseded;
}

// Returns the primary of a proof if a later term was seen that the same target may lead; its status
// then decides.
TargetPool *LeadProver::leaderToAsk(const PendingProof &P) const {
  if (!this->Router.lead().superseded(P.By.InTerm))
    return nullptr;
  TargetPool *Pool = this->Router.pool(P.By.Leader);
  return Pool && Pool->isPrimary() && Pool->lead().InTerm <= P.By.InTerm ? Pool : nullptr;
}

void LeadProver::askLeader(TargetPool &Pool) {
  const Inquiry &Last = this->Inquiries[Pool.entry().Id];
  Instant Now = monotonicNow();
  if (!Last.InFlight && Now >= Last.SentAt + LeaderAskInterval)
    this->askTarget(Pool, Now);
}

void LeadProver::prove(const placement::Lead &L, Instant Since, Instant Deadline, Handler Done) {
  Instant Now = this->InLoop.now();
  PendingProof P{.By = L,
                 .Since = Since,
                 .Deadline = Deadline,
                 .AskAllAt = Now + AskAllDelay,
                 .Done = std::move(Done)};
  if (std::optional<LeadProof> Result = this->decide(P, Now)) {
    P.Done(*Result);
    return;
  }
  TargetPool *Leader = this->leaderToAsk(P);
  this->Pending.push_back(std::move(P));
  if (Leader)
    this->askLeader(*Leader);
  this->ask(Since);
}

// A query that fails at once calls settle() again, so that no target is asked and no handler called
// while the pending proofs are visited.
void LeadProver::settle() {
  Instant Now = this->InLoop.now();
  std::vector<std::pair<Handler, LeadProof>> Decided;
  std::set<TargetPool *> Leaders;
  std::erase_if(this->Pending, [&](PendingProof &P) {
    std::optional<LeadProof> Result = this->decide(P, Now);
    if (Result)
      Decided.emplace_back(std::move(P.Done), *Result);
    else if (TargetPool *Leader = this->leaderToAsk(P))
      Leaders.insert(Leader);
    return Result.has_value();
  });
  for (TargetPool *Leader : Leaders)
    this->askLeader(*Leader);
  for (auto &[Done, Result] : Decided)
    Done(Result);
}

void LeadProver::tick() {
  Instant Now = this->InLoop.now();
  bool Missing = this->Router.primary() && this->Router.lead().witnessesNeeded() > 0 &&
                 this->candidates().empty();
  this->WitnessesMissingSince =
      Missing ? std::min(this->WitnessesMissingSince, Now) : absl::InfiniteFuture();
  // The log of a new primary does not tell its term before the first commit.
  if (TargetPool *P = this->Router.primary(); P && !P->leadTermKnown() && P->hasQueryLink())
    this->askLeader(*P);
  Instant Latest = absl::InfinitePast();
  for (PendingProof &P : this->Pending) {
    if (Now < P.AskAllAt)
      continue;
    P.AskAllAt = absl::InfiniteFuture();
    Latest = std::max(Latest, P.Since);
  }
  if (Latest != absl::InfinitePast())
    this->askAll(Latest);
  this->settle();
}

} // namespace toucan::gateway
