// Choice of the target, estimates, and the number of connections.
#include "pool/dispatch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::pool {

using rules::TargetState;
using rules::WorkClass;

namespace {

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(20);
// Longest hint before jitter: callers that do not return must not delay later ones for long.
constexpr absl::Duration MaxRetryAfter = absl::Seconds(30);
// Free slots of the primary that reads spilled from full replicas leave for other work.
constexpr uint32_t SpillReserveSlots = 1;
// Time constant of the average of short work.
constexpr absl::Duration AverageTimeConstant = absl::Seconds(2);
// The level of short work follows the average at once when it rises, and with this time constant
// when it falls: demand comes back within seconds, and a long request holds its slot for long.
constexpr absl::Duration LevelDecayTimeConstant = absl::Seconds(30);
// Standard deviations of a Poisson count that are kept free above the average.
constexpr double ReserveDeviations = 2;

size_t index(WorkClass Class) { return static_cast<size_t>(Class); }

} // namespace

Dispatcher::TargetSlots *Dispatcher::primary() {
  if (!this->State || !this->State->Primary)
    return nullptr;
  auto It = this->Targets.find(*this->State->Primary);
  return It == this->Targets.end() ? nullptr : &It->second;
}

const group::ServerState *Dispatcher::server(const TargetId &Id) const {
  if (!this->State)
    return nullptr;
  for (const group::ServerState &S : this->State->Servers)
    if (S.Id == Id)
      return &S;
  return nullptr;
}

uint32_t Dispatcher::executing(const TargetSlots &T) const {
  return T.Executing[index(WorkClass::Short)] + T.Executing[index(WorkClass::Long)];
}

// Long work leaves one slot for short work, unless the target has only one.
bool Dispatcher::slotFree(const TargetSlots &T, WorkClass Class) const {
  if (this->executing(T) >= this->Slots)
    return false;
  uint32_t LongLimit = std::max(1U, this->Slots - 1);
  return Class == WorkClass::Short || T.Executing[index(WorkClass::Long)] < LongLimit;
}

// Decides whether a target may get work outside the transactions that it has.
bool Dispatcher::acceptsNewWork(const TargetId &Id, const TargetSlots &T) const {
  const group::ServerState *S = this->server(Id);
  if (!T.Listed || !S || !S->Reachable)
    return false;
  if (this->State->Primary == Id)
    return T.State == TargetState::Active || this->State->AwaitsTransactions;
  if (T.State != TargetState::Active)
    return false;
  return S->Is == group::Role::Replica && S->Accepted == this->State->Current;
}

bool Dispatcher::primaryAccepts(const DispatchRequest &R) {
  TargetSlots *P = this->primary();
  // Within its term the primary has every position; a floor of a later term means that this
  // instance has not heard of the new primary yet.
  return P && this->acceptsNewWork(*this->State->Primary, *P) &&
         R.Floor.InTerm <= this->State->Current && P->Idle > 0 && this->slotFree(*P, R.Class);
}

// Decides whether the primary serves a read whose replicas are all full. Long work waits for a
// replica: at the primary it doubled the p99 of short requests (docs/MEASURES.md).
bool Dispatcher::primaryAcceptsSpill(const DispatchRequest &R) {
  if (R.Class == WorkClass::Long)
    return false;
  if (!this->primaryAccepts(R) || !this->queue(WorkClass::Short, PrimaryQueue).empty())
    return false;
  return this->executing(*this->primary()) + SpillReserveSlots < this->Slots;
}

// Picks the least loaded replica that covers the floor and the age of a read.
Dispatcher::ReplicaChoice Dispatcher::chooseReplica(const DispatchRequest &R, Instant Now) const {
  ReplicaChoice Best;
  uint32_t BestLoad = 0;
  auto Improve = [&](ReplicaMatch Match) { Best.Match = std::max(Best.Match, Match); };
  if (!this->State || R.Floor.InTerm > this->State->Current)
    return Best;
  for (const auto &[Id, Slots] : this->Targets) {
    if (this->State->Primary == Id || !this->acceptsNewWork(Id, Slots))
      continue;
    const group::ServerState *S = this->server(Id);
    if (Now - S->CurrentAt > R.MaxAge || (Slots.Total == 0 && Slots.Failures > 0))
      continue;
    if (std::max(S->Applied, Slots.Applied) < R.Floor.Position) {
      Improve(ReplicaMatch::Behind);
      continue;
    }
    uint32_t Load = this->executing(Slots);
    if (!this->slotFree(Slots, R.Class)) {
      Improve(ReplicaMatch::Busy);
    } else if (Slots.Idle == 0) {
      Improve(ReplicaMatch::Opening);
    } else if (Best.Match != ReplicaMatch::Ready || Load < BestLoad) {
      Best = {.Match = ReplicaMatch::Ready, .Target = Id};
      BestLoad = Load;
    }
  }
  return Best;
}

uint32_t Dispatcher::slotsFor(QueueKind Kind, WorkClass Class) const {
  uint32_t EachTarget = Class == WorkClass::Long ? std::max(1U, this->Slots - 1) : this->Slots;
  uint32_t Count = 0;
  if (Kind == ReplicaQueue)
    for (const auto &[Id, T] : this->Targets)
      if (this->State && this->State->Primary != Id && this->acceptsNewWork(Id, T))
        ++Count;
  return EachTarget * std::max(1U, Count);
}

// Requests of a class that execute or wait in a lane.
uint32_t Dispatcher::waitingOrExecuting(WorkClass Class, QueueKind Kind) const {
  size_t Count = this->queue(Class, Kind).size();
  for (const auto &[Id, T] : this->Targets)
    if ((this->State && this->State->Primary == Id) == (Kind == PrimaryQueue))
      Count += T.Executing[index(Class)];
  return static_cast<uint32_t>(Count);
}

// Exponential average over time and its level; ShortCount has held since the last call.
void Dispatcher::averageShortWork(Instant Now) {
  absl::Duration Passed = Now - std::exchange(this->AveragedAt, Now);
  double Weight = 1 - std::exp(-absl::FDivDuration(Passed, AverageTimeConstant));
  double DecayWeight = 1 - std::exp(-absl::FDivDuration(Passed, LevelDecayTimeConstant));
  for (QueueKind Kind : {PrimaryQueue, ReplicaQueue}) {
    double &Average = this->ShortAverage[Kind];
    double &Level = this->ShortLevel[Kind];
    Average += Weight * (this->ShortCount[Kind] - Average);
    Level = Average > Level ? Average : Level + DecayWeight * (Average - Level);
  }
}

// Decides whether one more long request leaves enough slots of a lane to short work: those that the
// short work of the last seconds has used, with room for its variation. One long request may always
// run, so that long work makes progress.
bool Dispatcher::longWithinLimit(QueueKind Kind) const {
  double Level = this->ShortLevel[Kind];
  auto Reserve = static_cast<uint32_t>(std::ceil(Level + ReserveDeviations * std::sqrt(Level)));
  uint32_t Slots = this->slotsFor(Kind, WorkClass::Short);
  uint32_t Limit = Slots > Reserve ? Slots - Reserve : 0;
  uint32_t Running = this->waitingOrExecuting(WorkClass::Long, Kind) -
                     static_cast<uint32_t>(this->queue(WorkClass::Long, Kind).size());
  return Running < std::max(1U, Limit);
}

// Time until a new request would start, from the learned service time of its class.
absl::Duration Dispatcher::estimatedWait(const DispatchRequest &R) const {
  QueueKind Kind = this->queueKindOf(R);
  size_t Ahead = this->queue(R.Class, Kind).size();
  return this->ServiceTime[index(R.Class)] * static_cast<double>(Ahead) /
         static_cast<double>(this->slotsFor(Kind, R.Class));
}

// The hint of a request that a full queue refuses. Each refused request gets a turn of its own, at
// the rate at which the queue is served. One hint for all, the time that a full queue takes, let
// the queue run empty before the refused callers returned, and then overflow again.
absl::Duration Dispatcher::retryDelay(const DispatchRequest &R, Instant Now) {
  QueueKind Kind = R.ReplicaAllowed ? ReplicaQueue : PrimaryQueue;
  Instant &Last = this->LastRetryAt[index(R.Class)];
  Last = std::clamp(Last, Now, Now + MaxRetryAfter) +
         this->ServiceTime[index(R.Class)] / this->slotsFor(Kind, R.Class);
  return this->jittered(Last - Now);
}

// Adds up to a half, so that refused callers do not return at the same moment (SplitMix64).
absl::Duration Dispatcher::jittered(absl::Duration D) {
  this->RandomState += 0x9e3779b97f4a7c15U;
  uint64_t Z = this->RandomState;
  Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9U;
  Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebU;
  Z ^= Z >> 31;
  double Share = static_cast<double>(Z >> 11) / static_cast<double>(uint64_t{1} << 53);
  return std::max(D, MinRetryAfter) * (1 + Share / 2);
}

// Requests that wait for a connection to this target.
uint32_t Dispatcher::demand(const TargetId &Id) const {
  QueueKind Kind = this->State->Primary == Id ? PrimaryQueue : ReplicaQueue;
  size_t Waiting =
      this->queue(WorkClass::Short, Kind).size() + this->queue(WorkClass::Long, Kind).size();
  return static_cast<uint32_t>(std::min<size_t>(Waiting, this->Slots));
}

// A target of a database in use keeps one idle connection ahead of need, and as many as its free
// slots can use when requests wait.
bool Dispatcher::wantsConnection(const TargetId &Id, const TargetSlots &T, Instant Now) const {
  if (T.Connecting || T.Total >= this->MaxConnections || Now < T.OpenAfter ||
      !this->acceptsNewWork(Id, T))
    return false;
  Instant Used = this->State->Primary == Id ? this->LastUse : this->LastReplicaUse;
  if (Now - Used > this->Options.IdleConnection)
    return false;
  uint32_t FreeSlots = this->Slots - std::min(this->Slots, this->executing(T));
  return T.Idle < std::max(1U, std::min(this->demand(Id), FreeSlots));
}

void Dispatcher::openConnections(Instant Now, std::vector<Action> &Out) {
  for (auto &[Id, T] : this->Targets) {
    if (!this->wantsConnection(Id, T, Now))
      continue;
    T.Connecting = true;
    Out.push_back({.Kind = ActionKind::Open, .Target = Id});
  }
}

} // namespace toucan::pool
