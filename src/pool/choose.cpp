// Target selection, wait estimates and connection demand of the dispatcher.
#include "pool/dispatch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::pool {

using rules::TargetState;
using rules::WorkClass;

namespace {

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(20);
// Upper bound of the retry hint before jitter: callers that never retry must not push the hints of
// later callers far into the future.
constexpr absl::Duration MaxRetryAfter = absl::Seconds(30);
// Slots of the primary that reads spilled from full replicas leave free for other work.
constexpr uint32_t SpillReserveSlots = 1;
// Time constant of the exponential average of the short requests.
constexpr absl::Duration AverageTimeConstant = absl::Seconds(2);
// The level of short requests follows a rising average at once and decays with this time constant:
// demand can return within seconds, while a long request holds its slot much longer.
constexpr absl::Duration LevelDecayTimeConstant = absl::Seconds(30);
// Standard deviations of a Poisson count by which the slots reserved for short requests exceed
// their level.
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

// Long requests leave one slot to short requests, unless the target has only one slot.
bool Dispatcher::slotFree(const TargetSlots &T, WorkClass Class) const {
  if (this->executing(T) >= this->Slots)
    return false;
  uint32_t LongLimit = std::max(1U, this->Slots - 1);
  return Class == WorkClass::Short || T.Executing[index(WorkClass::Long)] < LongLimit;
}

// Returns whether a target accepts requests outside its open transactions.
bool Dispatcher::acceptsNewWork(const TargetId &Id, const TargetSlots &T) const {
  const group::ServerState *S = this->server(Id);
  if (!T.Listed || !S || !S->Reachable)
    return false;
  if (this->State->Primary == Id)
    return T.State == TargetState::Active || this->State->PrimaryIsDraining;
  if (T.State != TargetState::Active)
    return false;
  return S->CurrentRole == group::Role::Replica && S->Accepted == this->State->CurrentTerm;
}

bool Dispatcher::primaryAccepts(const DispatchRequest &R) {
  TargetSlots *P = this->primary();
  // The primary has every position of its own term. A floor of a later term means that this
  // instance has not learned of the new primary yet.
  return P && this->acceptsNewWork(*this->State->Primary, *P) &&
         R.Floor.InTerm <= this->State->CurrentTerm && P->Idle > 0 && this->slotFree(*P, R.Class);
}

// Returns whether the primary serves a read whose replicas are all full. Long reads wait for a
// replica: at the primary they doubled the p99 latency of short requests (docs/MEASURES.md).
bool Dispatcher::primaryAcceptsSpill(const DispatchRequest &R) {
  if (R.Class == WorkClass::Long)
    return false;
  if (!this->primaryAccepts(R) || !this->queue(WorkClass::Short, PrimaryQueue).empty())
    return false;
  return this->executing(*this->primary()) + SpillReserveSlots < this->Slots;
}

// Picks the least loaded replica that has reached the floor of a read and is within its MaxAge.
Dispatcher::ReplicaChoice Dispatcher::chooseReplica(const DispatchRequest &R, Instant Now) const {
  ReplicaChoice Best;
  uint32_t BestLoad = 0;
  auto Improve = [&](ReplicaMatch Match) { Best.Match = std::max(Best.Match, Match); };
  if (!this->State || R.Floor.InTerm > this->State->CurrentTerm)
    return Best;
  for (const auto &[Id, Slots] : this->Targets) {
    if (this->State->Primary == Id || !this->acceptsNewWork(Id, Slots))
      continue;
    const group::ServerState *S = this->server(Id);
    if (Now - S->CaughtUpAt > R.MaxAge || (Slots.Total == 0 && Slots.Failures > 0))
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

uint32_t Dispatcher::waitingOrExecuting(WorkClass Class, QueueKind Kind) const {
  size_t Count = this->queue(Class, Kind).size();
  for (const auto &[Id, T] : this->Targets)
    if ((this->State && this->State->Primary == Id) == (Kind == PrimaryQueue))
      Count += T.Executing[index(Class)];
  return static_cast<uint32_t>(Count);
}

// Updates the time-weighted exponential average and its level. ShortCount is the value that was
// valid since the last call.
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

// Returns whether one more long request leaves enough slots to short requests: as many as they used
// in the last seconds, plus a margin for variation. One long request may always run, so that long
// requests make progress.
bool Dispatcher::longWithinLimit(QueueKind Kind) const {
  double Level = this->ShortLevel[Kind];
  auto Reserve = static_cast<uint32_t>(std::ceil(Level + ReserveDeviations * std::sqrt(Level)));
  uint32_t Slots = this->slotsFor(Kind, WorkClass::Short);
  uint32_t Limit = Slots > Reserve ? Slots - Reserve : 0;
  uint32_t Running = this->waitingOrExecuting(WorkClass::Long, Kind) -
                     static_cast<uint32_t>(this->queue(WorkClass::Long, Kind).size());
  return Running < std::max(1U, Limit);
}

// Estimates the queueing delay of a new request from the average service time of its class.
absl::Duration Dispatcher::estimatedWait(const DispatchRequest &R) const {
  QueueKind Kind = this->queueKindOf(R);
  size_t Ahead = this->queue(R.Class, Kind).size();
  return this->ServiceTime[index(R.Class)] * static_cast<double>(Ahead) /
         static_cast<double>(this->slotsFor(Kind, R.Class));
}

// Returns the retry hint of a request refused by a full queue. Hints are spaced at the service rate
// of the queue. A common hint, the time to serve a full queue, let the queue run empty before the
// refused callers retried, and then made it overflow again.
absl::Duration Dispatcher::retryDelay(const DispatchRequest &R, Instant Now) {
  QueueKind Kind = R.ReplicaAllowed ? ReplicaQueue : PrimaryQueue;
  Instant &Last = this->LastRetryAt[index(R.Class)];
  Last = std::clamp(Last, Now, Now + MaxRetryAfter) +
         this->ServiceTime[index(R.Class)] / this->slotsFor(Kind, R.Class);
  return this->jittered(Last - Now);
}

// Adds up to 50 % of random delay (SplitMix64), so that refused callers do not retry at once.
absl::Duration Dispatcher::jittered(absl::Duration D) {
  this->RandomState += 0x9e3779b97f4a7c15U;
  uint64_t Z = this->RandomState;
  Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9U;
  Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebU;
  Z ^= Z >> 31;
  double Share = static_cast<double>(Z >> 11) / static_cast<double>(uint64_t{1} << 53);
  return std::max(D, MinRetryAfter) * (1 + Share / 2);
}

// Number of waiting requests that could use a connection to this target, at most its slots.
uint32_t Dispatcher::demand(const TargetId &Id) const {
  QueueKind Kind = this->State->Primary == Id ? PrimaryQueue : ReplicaQueue;
  size_t Waiting =
      this->queue(WorkClass::Short, Kind).size() + this->queue(WorkClass::Long, Kind).size();
  return static_cast<uint32_t>(std::min<size_t>(Waiting, this->Slots));
}

// A target of a database in use keeps one spare idle connection, and while requests wait, as many
// as its free slots can use.
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
