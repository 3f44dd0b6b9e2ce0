#include "standin/hosted/group.h"

#include <algorithm>
#include <chrono>

namespace toucan::standin {

namespace {

constexpr int64_t PromotionDelayMs = 200;
// A commit that no replica has received within this time has an unknown result.
constexpr std::chrono::milliseconds ReplicationTimeout{700};
// Probability that a replica receives the log in a step.
constexpr double ReplicationProbability = 0.6;

} // namespace

DatabaseGroup::DatabaseGroup(std::string Name, std::vector<std::string> Ids, uint64_t Seed)
    : Name(std::move(Name)), Random(Seed) {
  for (std::string &Id : Ids)
    this->Servers.push_back({.Id = std::move(Id)});
  this->Servers[0].IsPrimary = true;
}

void DatabaseGroup::recordViolation(std::string Violation) {
  this->Violations.push_back(this->Name + ": " + std::move(Violation));
}

ServerState DatabaseGroup::state(size_t Server) const {
  std::lock_guard Lock(this->Mutex);
  ServerState Out = this->Servers[Server];
  Out.Log.clear();
  return Out;
}

Position DatabaseGroup::position(size_t Server) const {
  std::lock_guard Lock(this->Mutex);
  return this->positionOf(this->Servers[Server]);
}

std::string DatabaseGroup::read(size_t Server, const std::string &Item) const {
  std::lock_guard Lock(this->Mutex);
  const std::vector<Commit> &Log = this->Servers[Server].Log;
  for (auto C = Log.rbegin(); C != Log.rend(); ++C)
    for (auto W = C->Writes.rbegin(); W != C->Writes.rend(); ++W)
      if (W->first == Item)
        return W->second;
  return {};
}

bool DatabaseGroup::hasApplied(size_t Server, Position At) const {
  std::lock_guard Lock(this->Mutex);
  const ServerState &S = this->Servers[Server];
  return S.Term >= At.Term && S.Log.size() >= At.Number;
}

CommitResult DatabaseGroup::commit(size_t Server, Commit New) {
  std::unique_lock Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  if (!S.Up || !S.IsPrimary)
    return CommitResult::ReadOnly;
  uint64_t Incarnation = S.Incarnation;
  New.Term = S.Term;
  std::string Id = New.CallerId;
  S.Log.push_back(std::move(New));
  uint64_t Number = S.Log.size();
  uint64_t Term = S.Term;
  auto RoleLost = [&] {
    return S.Incarnation != Incarnation || !S.Up || !S.IsPrimary || S.Term != Term;
  };
  auto Replicated = [&] {
    return std::any_of(this->Servers.begin(), this->Servers.end(), [&](const ServerState &R) {
      return &R != &S && R.Term == Term && R.Log.size() >= Number;
    });
  };
  this->Changed.wait_for(Lock, ReplicationTimeout, [&] { return RoleLost() || Replicated(); });
  if (RoleLost() || !Replicated())
    return CommitResult::Unknown;
  this->Acknowledged.emplace_back(Number, Id);
  return CommitResult::Committed;
}

void DatabaseGroup::pauseReplication(size_t Server, uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  if (!S.IsPrimary && Term > S.Term)
    S.PausedTerm = std::max(S.PausedTerm, Term);
}

void DatabaseGroup::resumeReplication(size_t Server) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].PausedTerm = 0;
}

void DatabaseGroup::stepDown(size_t Server, uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  if (Term > S.Term)
    S.IsPrimary = false;
  this->Changed.notify_all();
}

void DatabaseGroup::delayOrders(int64_t WindowMs, int64_t DelayMs) {
  std::lock_guard Lock(this->Mutex);
  this->DelayOrdersUntilMs = this->NowMs + WindowMs;
  this->OrderDelayMs = DelayMs;
}

size_t DatabaseGroup::delayedOrders() const {
  std::lock_guard Lock(this->Mutex);
  return this->DelayedCount;
}

PromoteResult DatabaseGroup::promote(const std::string &Id, uint64_t FenceToken) {
  std::lock_guard Lock(this->Mutex);
  if (this->NowMs >= this->DelayOrdersUntilMs)
    return this->schedulePromotion(Id, FenceToken);
  this->DelayedOrders.push_back(
      {.DueMs = this->NowMs + this->OrderDelayMs, .Id = Id, .FenceToken = FenceToken});
  ++this->DelayedCount;
  return PromoteResult::Unanswered;
}

PromoteResult DatabaseGroup::schedulePromotion(const std::string &Id, uint64_t FenceToken) {
  if (FenceToken < this->HighestFenceToken)
    return PromoteResult::StaleFenceToken;
  for (const ServerState &S : this->Servers) {
    if (S.Id != Id || !S.Up)
      continue;
    this->HighestFenceToken = FenceToken;
    if (!S.IsPrimary)
      this->PendingPromotions.push_back({.DueMs = this->NowMs + PromotionDelayMs, .Id = Id});
    return PromoteResult::Scheduled;
  }
  return PromoteResult::NotRunning;
}

// Makes a server the primary. Rolls the other logs back to what they have in common with the log of
// the new primary, and records each acknowledged commit that this log lacks.
void DatabaseGroup::completePromotion(const std::string &Id) {
  auto Found = std::find_if(this->Servers.begin(), this->Servers.end(),
                            [&](const ServerState &S) { return S.Id == Id; });
  if (Found == this->Servers.end() || !Found->Up || Found->IsPrimary)
    return;
  ServerState &S = *Found;
  for (const auto &[Number, CallerId] : this->Acknowledged)
    if (S.Log.size() < Number || S.Log[Number - 1].CallerId != CallerId)
      this->Dropped.push_back({.AtSteadyMs = this->NowMs, .Promoted = S.Id, .CallerId = CallerId});
  ++this->CurrentTerm;
  for (ServerState &Other : this->Servers) {
    Other.IsPrimary = false;
    Other.PausedTerm = 0;
    if (!Other.Up)
      continue;
    Other.Term = this->CurrentTerm;
    auto Common =
        std::mismatch(Other.Log.begin(), Other.Log.end(), S.Log.begin(), S.Log.end(),
                      [](const Commit &A, const Commit &B) { return A.CallerId == B.CallerId; });
    Other.Log.erase(Common.first, Other.Log.end());
  }
  S.IsPrimary = true;
  std::set<std::string> SeenIds;
  for (const Commit &C : S.Log)
    if (!SeenIds.insert(C.CallerId).second)
      this->recordViolation("statement " + C.CallerId + " is committed twice");
}

void DatabaseGroup::crash(size_t Server) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].Up = false;
  this->Changed.notify_all();
}

void DatabaseGroup::start(size_t Server, int64_t Now) {
  std::lock_guard Lock(this->Mutex);
  this->startServer(this->Servers[Server], Now);
}

void DatabaseGroup::join(size_t Server, std::string Id, JoinWith With, int64_t Now) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  S.Id = std::move(Id);
  S.Unreachable.clear();
  if (With == JoinWith::Nothing) {
    S.Log.clear();
    S.Term = 0;
  }
  for (ServerState &Other : this->Servers)
    Other.Unreachable.erase(Server);
  this->startServer(S, Now);
}

void DatabaseGroup::isolate(size_t Server, bool Cut) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  S.Unreachable.clear();
  for (size_t I = 0; Cut && I < this->Servers.size(); ++I)
    if (this->Servers[I].Up)
      S.Unreachable.insert(I);
}

void DatabaseGroup::startServer(ServerState &S, int64_t Now) {
  S.Up = true;
  S.Draining = false;
  S.PausedTerm = 0;
  S.StartUnixMs = Now;
  ++S.Incarnation;
  // A crashed primary is primary again after a restart only if no other server was promoted.
  if (S.Term < this->CurrentTerm)
    S.IsPrimary = false;
}

void DatabaseGroup::setDraining(size_t Server, bool Draining) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].Draining = Draining;
}

void DatabaseGroup::step(int64_t SteadyMs) {
  std::lock_guard Lock(this->Mutex);
  this->NowMs = SteadyMs;
  std::erase_if(this->DelayedOrders, [&](const DelayedOrder &O) {
    if (O.DueMs > SteadyMs)
      return false;
    this->schedulePromotion(O.Id, O.FenceToken);
    return true;
  });
  std::vector<PendingPromotion> Due;
  std::erase_if(this->PendingPromotions, [&](const PendingPromotion &O) {
    if (O.DueMs > SteadyMs)
      return false;
    Due.push_back(O);
    return true;
  });
  for (const PendingPromotion &O : Due)
    this->completePromotion(O.Id);
  for (ServerState &P : this->Servers) {
    if (!P.Up || !P.IsPrimary)
      continue;
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      ServerState &R = this->Servers[I];
      bool CanReplicate = &R != &P && R.Up && !R.IsPrimary && R.PausedTerm <= R.Term &&
                          R.Term <= P.Term && !P.Unreachable.contains(I);
      if (!CanReplicate || !std::bernoulli_distribution(ReplicationProbability)(this->Random))
        continue;
      if (R.Term != P.Term || R.Log.size() > P.Log.size())
        R.Log = P.Log;
      else
        R.Log.insert(R.Log.end(), P.Log.begin() + static_cast<std::ptrdiff_t>(R.Log.size()),
                     P.Log.end());
      R.Term = P.Term;
    }
  }
  this->Changed.notify_all();
}

std::vector<Commit> DatabaseGroup::primaryLog() const {
  std::lock_guard Lock(this->Mutex);
  const ServerState *Newest = nullptr;
  for (const ServerState &S : this->Servers)
    if (S.IsPrimary && (!Newest || S.Term > Newest->Term))
      Newest = &S;
  return Newest ? Newest->Log : std::vector<Commit>();
}

std::vector<std::string> DatabaseGroup::violations() const {
  std::lock_guard Lock(this->Mutex);
  return this->Violations;
}

std::vector<DroppedCommit> DatabaseGroup::droppedCommits() const {
  std::lock_guard Lock(this->Mutex);
  return this->Dropped;
}

} // namespace toucan::standin
