#include "gateway/router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace toucan::gateway {

using placement::Admission;
using placement::Candidate;
using placement::WaitingId;

namespace {

constexpr absl::Duration SampleTimeout = absl::Milliseconds(500);

constexpr std::array<std::string_view, 5> RejectionNames = {
    "queue_full", "no_primary", "no_witness", "started_late", "no_connection"};

} // namespace

placement::Lead confirmedLead(const SentRequest &Sent, const Answer &Reply) {
  Term OfLog = Reply.Position ? Reply.Position->InTerm : Term();
  return {.Leader = Sent.To.Leader, .InTerm = std::max(Sent.To.InTerm, OfLog)};
}

std::string_view rejectionName(Rejection R) { return RejectionNames[static_cast<size_t>(R)]; }

placement::Distance InstanceLocation::distanceTo(const DataCentre &Other) const {
  return this->distance(this->Centre, Other);
}

placement::Distance InstanceLocation::distance(const DataCentre &From,
                                               const DataCentre &Other) const {
  if (Other == From)
    return placement::Distance::SameCentre;
  auto Mine = this->Regions.find(From);
  auto Theirs = this->Regions.find(Other);
  bool SameRegion = Mine != this->Regions.end() && Theirs != this->Regions.end() &&
                    Mine->second == Theirs->second;
  return SameRegion ? placement::Distance::SameRegion : placement::Distance::OtherRegion;
}

ServiceRouter::ServiceRouter(Loop &InLoop, Codec &Protocol, Metrics &Counters,
                             const InstanceLocation &OwnLocation, catalog::ServiceName Name,
                             uint64_t Seed)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), OwnLocation(OwnLocation),
      Name(std::move(Name)), Prover(InLoop, Protocol, Counters, *this), Commits(InLoop, *this),
      Random(Seed), PrimaryUnknownSince(InLoop.now()) {}

placement::Distance ServiceRouter::distanceTo(const TargetPool &Pool) const {
  return this->OwnLocation.distanceTo(Pool.entry().Centre);
}

void ServiceRouter::setLimits(const catalog::ServiceLimits &New, size_t Count) {
  this->Limits = New;
  this->Instances = Count;
  for (auto &[Id, P] : this->Pools)
    P->setLimit(New.MaxConnections, Count);
  this->Commits.evidence().setCopies(New.AcknowledgedCopies);
  this->updateGroup();
  this->updateRetained();
}

void ServiceRouter::setInstances(const InstanceId &Self,
                                 const std::map<InstanceId, InstanceAddress> &Alive) {
  this->Self = Self;
  this->Alive = Alive;
  // The first read of the rows precedes the row of this instance.
  this->Alive.try_emplace(Self, InstanceAddress{.Centre = this->OwnLocation.Centre});
  this->updateRetained();
}

// Each instance decides for itself from the list of live instances. Different lists change only how
// many instances retain a connection.
void ServiceRouter::updateRetained() {
  if (!this->connectionsScarce())
    return;
  uint32_t Count = placement::retainedConnections(this->Limits.MaxConnections);
  for (auto &[Id, P] : this->Pools) {
    std::vector<placement::RetentionCandidate> Candidates;
    Candidates.reserve(this->Alive.size());
    for (const auto &[Instance, Address] : this->Alive)
      Candidates.push_back(
          {.Id = Instance,
           .DistanceToTarget = this->OwnLocation.distance(Address.Centre, P->entry().Centre),
           .MilliCores = Address.MilliCores});
    P->setRetains(placement::retainingInstances(Id, Candidates, Count).contains(this->Self));
  }
}

bool ServiceRouter::connectionsScarce() const {
  return placement::connectionsScarce(this->Limits.MaxConnections, this->Instances);
}

size_t ServiceRouter::retainedTargets() const {
  if (!this->connectionsScarce())
    return 0;
  return static_cast<size_t>(std::count_if(this->Pools.begin(), this->Pools.end(),
                                           [](const auto &P) { return P.second->retains(); }));
}

void ServiceRouter::setGroupSize(uint32_t Size) {
  this->GroupSize = Size;
  this->updateGroup();
}

// A target that leaves and its replacement are both members of the group for a while.
void ServiceRouter::updateGroup() {
  this->Lead.setGroup(std::max(this->GroupSize, static_cast<uint32_t>(this->Pools.size())),
                      this->Limits.AcknowledgedCopies);
}

void ServiceRouter::addTarget(const catalog::TargetEntry &Entry) {
  auto Pool = std::make_unique<TargetPool>(this->InLoop, this->Protocol, this->Counters, *this,
                                           Entry, this->Random());
  Pool->setLimit(this->Limits.MaxConnections, this->Instances);
  Pool->setPositions(&this->Positions);
  TargetPool &Added = *Pool;
  this->Pools[Entry.Id] = std::move(Pool);
  this->updateGroup();
  this->updateRetained();
  this->changeTarget(Entry);
  if (this->OnTargetAdded)
    this->OnTargetAdded(Added);
}

void ServiceRouter::changeTarget(const catalog::TargetEntry &Entry) {
  auto It = this->Pools.find(Entry.Id);
  if (It == this->Pools.end())
    return;
  It->second->update(Entry);
  if (!Entry.Leaving)
    this->LeavingSince.erase(Entry.Id);
  else
    this->LeavingSince.try_emplace(Entry.Id, this->InLoop.now());
  this->updatePrimary();
  It->second->openSpare();
  this->dispatch();
}

void ServiceRouter::removeTarget(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  if (It == this->Pools.end())
    return;
  std::unique_ptr<TargetPool> Pool = std::move(It->second);
  this->Pools.erase(It);
  this->LeavingSince.erase(Id);
  this->Commits.evidence().remove(Id);
  this->updateGroup();
  Pool->retire();
  this->Retired.push_back(std::move(Pool));
  this->updatePrimary();
  if (this->OnTargetRemoved)
    this->OnTargetRemoved(Id);
  this->dispatch();
}

TargetPool *ServiceRouter::pool(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  return It == this->Pools.end() ? nullptr : It->second.get();
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

// Marks as in regular use the primary and all targets no farther away than the nearest replica that
// is not leaving.
void ServiceRouter::updateRegularUse() {
  placement::Distance Nearest = placement::Distance::OtherRegion;
  for (const auto &[Id, P] : this->Pools)
    if (!P->entry().Leaving && !P->isPrimary())
      Nearest = std::min(Nearest, this->OwnLocation.distanceTo(P->entry().Centre));
  for (const auto &[Id, P] : this->Pools)
    P->setRegularUse(P->isPrimary() || this->OwnLocation.distanceTo(P->entry().Centre) <= Nearest);
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

void ServiceRouter::resetFailureDetection() {
  for (auto &[Id, P] : this->Pools)
    P->resetFailureDetection();
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

void ServiceRouter::noteCovered(const std::optional<placement::CoveredPosition> &Covered) {
  if (!Covered)
    return;
  this->Positions.addSample(Covered->At, Covered->CoversUntil);
  this->OwnSample = {.At = Covered->At,
                     .CoversUntil = Covered->CoversUntil,
                     .Witnesses = this->Lead.witnessesNeeded()};
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

// Returns the load that a statement arriving now would wait behind.
placement::QueueLoad ServiceRouter::loadFor(bool NeedsPrimary,
                                            const placement::WaitingStatement &W) {
  Instant Now = this->InLoop.now();
  TargetPool *Primary = this->primary();
  placement::QueueLoad Load;
  Load.Connections = 0;
  for (const auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool) || (NeedsPrimary && Pool.get() != Primary))
      continue;
    uint32_t Links = std::max(1U, Pool->openLinks());
    // Of scarce connections, one that may be opened counts like an open one.
    if (Pool->connectionsScarce() && Pool->openLinks() > 0 && Pool->mayOpen())
      ++Links;
    placement::Distance To = this->OwnLocation.distanceTo(Pool->entry().Centre);
    Load.Connections += Links;
    Load.HeldByTransactions += Pool->pinnedLinks();
    Load.SingleHoldTime += Links * Pool->statistics().averageHoldTime(false, To, Now);
    Load.TransactionHoldTime += Links * Pool->statistics().averageHoldTime(true, To, Now);
  }
  if (Load.Connections > 0) {
    Load.SingleHoldTime /= Load.Connections;
    Load.TransactionHoldTime /= Load.Connections;
  }
  std::map<AccountName, placement::AccountQueue> Singles;
  std::map<AccountName, placement::AccountQueue> Transactions;
  for (const auto &[Id, H] : this->Waiting) {
    const placement::WaitingStatement &Other = H.Request.Wait;
    if (NeedsPrimary && !Other.NeedsPrimary)
      continue;
    placement::AccountQueue &Q = (Other.Transaction ? Transactions : Singles)[Other.Account];
    ++Q.Count;
    Q.Weight = Other.Weight;
  }
  Load.WaitingSingles = placement::waitingAhead(Singles, W.Account, W.Weight);
  Load.WaitingTransactions = placement::waitingAhead(Transactions, W.Account, W.Weight);
  Load.PrimaryExpectedAt = Primary ? absl::InfinitePast() : this->PrimaryExpected;
  return Load;
}

WaitingId ServiceRouter::request(ConnectionRequest W) {
  Instant Now = this->InLoop.now();
  W.Wait.Id = WaitingId(this->NextId++);
  W.Wait.Account = W.Account;
  W.Wait.Weight = placement::shareWeight(W.AccountPriority);
  WaitingId Id = W.Wait.Id;
  W.Wait.NeedsPrimary = !W.MaxAge.has_value();
  if (W.MaxAge) {
    this->LastBoundedRead = Now;
    if (*W.MaxAge < placement::ShortestSharedBound)
      this->LastShortBound = Now;
  }
  for (auto &[Target, P] : this->Pools)
    P->noteArrival(W.Account);
  // Reads of bounded age also need the primary while no sample of its position is available.
  bool OnlyPrimary = W.Wait.NeedsPrimary || !this->readFloor(W);
  if (OnlyPrimary && W.NeedsLeadProof && this->primary() && !this->Prover.enoughWitnesses()) {
    W.OnReject(Rejection::NoWitness);
    return Id;
  }
  placement::QueueLoad Load = this->loadFor(OnlyPrimary, W.Wait);
  if (std::optional<Instant> Expected = this->connectionExpected(W, OnlyPrimary)) {
    if (*Expected > W.Wait.StartBefore) {
      W.OnReject(Rejection::NoConnection);
      return Id;
    }
    Load.ConnectionDelay = *Expected - Now;
  }
  W.Wait.ObjectiveAt = placement::latestStart(Now, W.Wait.ObjectiveAt, Load.SingleHoldTime);
  Admission A = placement::admit(W.Wait, Load, Now);
  if (A != Admission::Wait) {
    W.OnReject(A == Admission::RejectBusy ? Rejection::QueueFull : Rejection::NoPrimary);
    return Id;
  }
  this->Queue.add(W.Wait);
  double Draw = 0;
  if (this->Spill && W.MaxAge) {
    this->Spill->onArrival(W.Wait.ObjectiveAt - W.Wait.Arrived, *W.MaxAge);
    Draw = std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
  this->Waiting.emplace(Id, QueuedRequest{.Request = std::move(W), .Draw = Draw});
  this->dispatch();
  this->rearmExpiryTimer();
  return Id;
}

void ServiceRouter::cancel(WaitingId Id) {
  this->Queue.remove(Id);
  this->Waiting.erase(Id);
}

bool ServiceRouter::opensOnDemand() const {
  return this->connectionsScarce() ||
         std::any_of(this->Pools.begin(), this->Pools.end(),
                     [](const auto &P) { return P.second->severalAccounts(); });
}

std::optional<Instant> ServiceRouter::connectionExpected(const ConnectionRequest &W,
                                                         bool OnlyPrimary) {
  if (!this->opensOnDemand())
    return std::nullopt;
  std::optional<Instant> Earliest;
  TargetPool *Primary = this->primary();
  for (const auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool) || (OnlyPrimary && Pool.get() != Primary))
      continue;
    if (std::find(W.Tried.begin(), W.Tried.end(), Id) != W.Tried.end())
      continue;
    Instant At = Pool->linkExpectedAt(W.Account, this->distanceTo(*Pool));
    Earliest = std::min(Earliest.value_or(At), At);
  }
  return Earliest;
}

void ServiceRouter::rejectWithoutConnection() {
  if (!this->opensOnDemand())
    return;
  std::vector<WaitingId> Hopeless;
  for (const auto &[Id, H] : this->Waiting) {
    bool OnlyPrimary = H.Request.Wait.NeedsPrimary || !this->readFloor(H.Request);
    std::optional<Instant> Expected = this->connectionExpected(H.Request, OnlyPrimary);
    if (Expected && *Expected > H.Request.Wait.StartBefore)
      Hopeless.push_back(Id);
  }
  // A handler may send further statements, and cancel others.
  for (WaitingId Id : Hopeless) {
    auto It = this->Waiting.find(Id);
    if (It == this->Waiting.end())
      continue;
    ConnectionRequest W = std::move(It->second.Request);
    this->cancel(Id);
    W.OnReject(Rejection::NoConnection);
  }
  if (!Hopeless.empty())
    this->rearmExpiryTimer();
}

bool ServiceRouter::usable(const TargetPool &Pool) const {
  if (Pool.retired() || Pool.isUnresponsive())
    return false;
  if (!Pool.entry().Leaving)
    return true;
  // A leaving primary serves until another target becomes the primary, for at most LeavingLimit.
  auto It = this->LeavingSince.find(Pool.entry().Id);
  return Pool.isPrimary() && It != this->LeavingSince.end() &&
         this->InLoop.now() < It->second + this->LeavingLimit;
}

std::optional<LogPosition> ServiceRouter::readFloor(const ConnectionRequest &W) const {
  std::optional<LogPosition> Floor = this->Positions.floor(W.Wait.Arrived, *W.MaxAge);
  if (!Floor)
    return std::nullopt;
  return std::max(*Floor, this->Positions.clampToCurrentTerm(W.SessionFloor));
}

void ServiceRouter::dispatch() {
  if (std::exchange(this->Dispatching, true)) {
    this->DispatchAgain = true;
    return;
  }
  do {
    this->DispatchAgain = false;
    if (this->Waiting.empty())
      break;
    DispatchRound Round = this->beginRound();
    this->Queue.visit(this->InLoop.now(), [&](const placement::WaitingStatement &W) {
      auto It = this->Waiting.find(W.Id);
      if (It != this->Waiting.end())
        this->tryGrant(It->second, Round);
      return true;
    });
  } while (this->DispatchAgain);
  this->Dispatching = false;
  this->rejectWithoutConnection();
}

ServiceRouter::DispatchRound ServiceRouter::beginRound() const {
  DispatchRound Out;
  if (!this->opensOnDemand())
    return Out;
  for (const auto &[Id, H] : this->Waiting) {
    Out.WaitingForPrimary.insert(H.Request.Account);
    if (!H.Request.Wait.NeedsPrimary)
      Out.WaitingForAny.insert(H.Request.Account);
  }
  return Out;
}

bool ServiceRouter::tryGrant(QueuedRequest &H, DispatchRound &Round) {
  Instant Now = this->InLoop.now();
  TargetPool *P = this->primary();
  if (P && !this->usable(*P))
    P = nullptr;
  if (H.Request.Wait.NeedsPrimary)
    return P && this->grantAt(H, *P, std::nullopt, Round);
  std::optional<LogPosition> Floor = this->readFloor(H.Request);
  // Without a sample, only a primary that confirms its role may serve the read.
  if (!Floor)
    return P && this->grantAt(H, *P, std::nullopt, Round);
  bool OnDemand = this->opensOnDemand();
  std::vector<Candidate> Candidates;
  std::vector<TargetPool *> Pools;
  for (auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool))
      continue;
    const AccountName &Account = H.Request.Account;
    placement::Distance To = this->distanceTo(*Pool);
    uint32_t Taken = Round.Unserved[Id];
    uint32_t TakenOfAccount = Round.UnservedOfAccount[{Id, Account}];
    uint32_t Idle = Pool->idleLinks(Account);
    bool MayOpen = Pool->mayOpenFor(Account, Round.waitingAt(*Pool));
    Candidates.push_back({.Id = Id,
                          .Statistics = &Pool->statistics(),
                          .Primary = Pool.get() == P,
                          .DistanceToTarget = To,
                          .Slots = Pool->entry().Slots,
                          .Running = Pool->running() + Taken,
                          .Idle = Idle > TakenOfAccount ? Idle - TakenOfAccount : 0,
                          .MayOpenConnection = MayOpen,
                          .ConnectTime = OnDemand ? Pool->connectTime(To) : absl::ZeroDuration()});
    // Excludes a target that has no connection of the account and cannot open one now.
    if (Pool->openLinks(Account) == 0 && !MayOpen) {
      Candidates.pop_back();
      continue;
    }
    Pools.push_back(Pool.get());
  }
  double Jitter = std::uniform_real_distribution<double>(0, 1)(this->Random);
  placement::ReadRequirements Required{
      .Floor = Floor, .Tried = H.Request.Tried, .Primary = &this->Positions};
  bool Restricted = false;
  if (this->Spill) {
    std::vector<ReadTarget> Targets;
    Targets.reserve(Pools.size());
    for (const TargetPool *Pool : Pools)
      Targets.push_back(this->readTarget(*Pool));
    Restricted = this->Spill->restrict(Targets, H.Draw, Candidates);
  }
  std::optional<size_t> Best = placement::chooseForRead(Candidates, Required, Now, Jitter);
  if (!Best && Restricted) {
    // No target of the data centre may serve the read, for example because all lack its position.
    for (Candidate &C : Candidates)
      C.Excluded = false;
    Best = placement::chooseForRead(Candidates, Required, Now, Jitter);
  }
  if (!Best && !H.Request.Tried.empty()) {
    // Every target has refused the read once. Tries all again, since a replica may have caught up.
    H.Request.Tried.clear();
    return false;
  }
  return Best && this->grantAt(H, *Pools[*Best], Floor, Round);
}

bool ServiceRouter::grantAt(QueuedRequest &H, TargetPool &Pool, std::optional<LogPosition> Floor,
                            DispatchRound &Round) {
  TargetLink *Link = Pool.takeIdle(H.Request.Account, *H.Request.Values);
  if (!Link) {
    const TargetId &Id = Pool.entry().Id;
    ++Round.Unserved[Id];
    Pool.openForWaiting(H.Request.Account, ++Round.UnservedOfAccount[{Id, H.Request.Account}],
                        Round.waitingAt(Pool));
    return false;
  }
  Link->HeldSince = this->InLoop.now();
  Link->HeldByTransaction = H.Request.Wait.Transaction;
  if (this->Spill && Floor)
    this->Spill->onGrant(Pool.entry().Centre);
  ConnectionRequest W = std::move(H.Request);
  this->Queue.remove(W.Wait.Id);
  this->Queue.grant(W.Wait, Pool.statistics().averageHoldTime(
                                W.Wait.Transaction, this->distanceTo(Pool), this->InLoop.now()));
  this->Waiting.erase(W.Wait.Id);
  W.OnGrant({.Link = Link, .Pool = &Pool, .Floor = Floor});
  return true;
}

void ServiceRouter::rearmExpiryTimer() {
  this->InLoop.cancel(this->ExpiryTimer);
  Instant Next = this->Queue.nextExpiry();
  if (Next != absl::InfiniteFuture())
    this->ExpiryTimer = this->InLoop.at(Next, [this] { this->rejectExpired(); });
}

void ServiceRouter::rejectExpired() {
  for (const placement::WaitingStatement &W : this->Queue.takeExpired(this->InLoop.now())) {
    auto It = this->Waiting.find(W.Id);
    if (It == this->Waiting.end())
      continue;
    ConnectionRequest Late = std::move(It->second.Request);
    this->Waiting.erase(It);
    bool NoPrimary = W.NeedsPrimary && !this->primary();
    Late.OnReject(NoPrimary ? Rejection::NoPrimary : Rejection::StartedLate);
  }
  this->rearmExpiryTimer();
}

// Reads of bounded age need a recent position of the primary. If writes and reads at the primary
// are rare, an empty transaction obtains one without taking a slot.
void ServiceRouter::samplePrimary() {
  Instant Now = this->InLoop.now();
  TargetPool *P = this->primary();
  if (!P || !this->usable(*P) ||
      !placement::ownSampleDue(this->sampleTimes(), this->SampledElsewhere, Now))
    return;
  this->SampleSentAt = Now;
  TargetId Id = P->entry().Id;
  // A sampler needs a connection even where there are fewer of them than instances.
  bool ForOthers = Now - this->SampleAsked <= placement::BoundedReadWindow;
  TargetLink *Link = ForOthers ? P->commandLink() : P->takeForSample();
  if (!Link)
    return;
  this->Counters.add("primary_samples_sent");
  this->Prover.ask(Now);
  std::vector<LinkRequest> Requests;
  SentRequest Sent{.At = Now, .To = P->lead()};
  Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                      .OnAnswer = [this, Id, Sent](const Answer *Reply) {
                        TargetPool *Pool = this->pool(Id);
                        if (!Reply || !Pool)
                          return;
                        if (!Reply->Error)
                          this->onPrimaryConfirmed(*Pool, *Reply, Sent);
                        else if (Reply->Error->Code == ErrorCode::ReadOnly)
                          this->onPrimaryDenied(*Pool);
                        this->dispatch();
                      }});
  Requests.push_back(
      {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  Link->submit(std::move(Requests), Now + SampleTimeout);
}

void ServiceRouter::setSpill(const placement::SpillSettings &Rules) {
  this->Spill.emplace(this->Counters, this->OwnLocation.Centre, this->Name, Rules);
}

void ServiceRouter::onReadAnswered(const TargetPool &Pool, size_t Bytes) {
  if (this->Spill)
    this->Spill->onAnswer(Pool.entry().Centre, Bytes);
}

ReadTarget ServiceRouter::readTarget(const TargetPool &Pool) const {
  placement::Distance To = this->distanceTo(Pool);
  return {.Centre = Pool.entry().Centre,
          .To = To,
          .Primary = Pool.isPrimary(),
          .Slots = Pool.entry().Slots,
          .OpenLinks = Pool.openLinks(),
          .HoldTime = Pool.statistics().averageHoldTime(false, To, this->InLoop.now()),
          .Statistics = &Pool.statistics()};
}

void ServiceRouter::decideSpill() {
  Instant Now = this->InLoop.now();
  if (!this->Spill || !this->Spill->due(Now))
    return;
  std::vector<ReadTarget> Targets;
  for (const auto &[Id, Pool] : this->Pools)
    if (this->usable(*Pool))
      Targets.push_back(this->readTarget(*Pool));
  WaitingReads Reads;
  for (const auto &[Id, H] : this->Waiting) {
    if (H.Request.Wait.NeedsPrimary)
      continue;
    ++Reads.Count;
    Reads.FirstObjective = std::min(Reads.FirstObjective, H.Request.Wait.ObjectiveAt);
  }
  this->Spill->tick(Targets, Reads, this->Instances, Now);
}

// Each instance can hold a connection to each target unless there are fewer of them than instances.
bool ServiceRouter::sharesSamples() const {
  bool Scarce = this->Limits.MaxConnections > 0 && this->Instances > this->Limits.MaxConnections;
  Instant ShortUntil = this->LastShortBound + placement::BoundedReadWindow;
  return Scarce && this->InLoop.now() > ShortUntil;
}

placement::SampleTimes ServiceRouter::sampleTimes() const {
  return {.Newest = this->Positions.newestSampleTime(),
          .NewestOwn = this->OwnSample ? this->OwnSample->CoversUntil : absl::InfinitePast(),
          .Sent = this->SampleSentAt,
          .BoundedRead = this->LastBoundedRead,
          .Asked = this->SampleAsked};
}

// The position is no evidence for a read at the primary, which needs a proof of its own.
bool ServiceRouter::onSharedSample(const placement::SharedSample &Sample) {
  Term Newest = std::max(this->NewestTerm, this->Lead.newestTerm());
  if (!placement::usable(Sample, Newest, this->Lead.witnessesNeeded()))
    return false;
  this->Positions.addSample(Sample.At, Sample.CoversUntil);
  this->dispatch();
  return true;
}

void ServiceRouter::tick() {
  for (auto &[Id, P] : this->Pools) {
    P->tick();
    P->openSpare();
  }
  for (auto &P : this->Retired)
    P->tick();
  std::erase_if(this->Retired, [](const auto &P) { return P->empty(); });
  this->Prover.tick();
  this->Commits.tick();
  this->samplePrimary();
  this->decideSpill();
  this->dispatch();
}

void ServiceRouter::onPoolReady(TargetPool &Pool) {
  (void)Pool;
  this->dispatch();
}

void ServiceRouter::onPoolPosition(TargetPool &Pool, LogPosition At, Instant SentAt) {
  if (!Pool.retired())
    this->Commits.onPosition(Pool.entry().Id, At, SentAt, Pool.processSince());
}

} // namespace toucan::gateway
