// The statements of a service that wait for a connection: they are admitted to the queue, granted a
// connection in the order of the queue, or rejected.
#include "gateway/router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace toucan::gateway {

using placement::Admission;
using placement::Candidate;
using placement::WaitingId;

namespace {

constexpr std::array<std::string_view, 5> RejectionNames = {
    "queue_full", "no_primary", "no_witness", "started_late", "no_connection"};

} // namespace

std::string_view rejectionName(Rejection R) { return RejectionNames[static_cast<size_t>(R)]; }

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

} // namespace toucan::gateway
