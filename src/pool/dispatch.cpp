#include "pool/dispatch.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucan::pool {

using rules::TargetState;
using rules::WorkClass;

namespace {

// Fairness keys examined in one pass; bounds the cost of a pass while many callers wait for a full
// target.
constexpr size_t MaxKeysPerPass = 16;
// Service time estimates until the first request of a class has ended.
constexpr absl::Duration InitialShortServiceTime = absl::Milliseconds(2);
constexpr absl::Duration InitialLongServiceTime = absl::Seconds(1);
// Weight of the newest sample in the moving average of the service time.
constexpr double ServiceTimeWeight = 0.125;
// If no long request executes, long requests that have waited longer than this take precedence over
// short ones, so that they make progress while short requests saturate the targets.
constexpr absl::Duration LongOverdueAfter = absl::Seconds(5);
// Exponential backoff after failed connection attempts.
constexpr absl::Duration MinReconnectDelay = absl::Milliseconds(50);
constexpr absl::Duration MaxReconnectDelay = absl::Seconds(1);

size_t index(WorkClass Class) { return static_cast<size_t>(Class); }

} // namespace

Dispatcher::Dispatcher(DispatchOptions Options)
    : Options(Options),
      RandomState(Options.Seed), ServiceTime{InitialShortServiceTime, InitialLongServiceTime} {}

// Indexed by QueueOrder.
const Dispatcher::OrderStrategy Dispatcher::Orders[] = {
    {.ClassesAndCallers = true, .Start = &Dispatcher::startByClass},
    {.ClassesAndCallers = false, .Start = &Dispatcher::startByArrival},
};

const Dispatcher::OrderStrategy &Dispatcher::order() const {
  return Orders[static_cast<size_t>(this->Options.Order)];
}

WorkClass Dispatcher::classOf(WorkClass Class) const {
  return this->order().ClassesAndCallers ? Class : WorkClass::Short;
}

// Without work classes, all requests share one queue, whichever target may serve them.
Dispatcher::QueueKind Dispatcher::queueKindOf(const DispatchRequest &R) const {
  return this->order().ClassesAndCallers && R.ReplicaAllowed ? ReplicaQueue : PrimaryQueue;
}

// Clears the attributes that the queue order ignores.
void Dispatcher::normalize(DispatchRequest &R) const {
  R.Class = this->classOf(R.Class);
  if (!this->order().ClassesAndCallers)
    R.FairnessKey.clear();
}

FairQueue &Dispatcher::queue(WorkClass Class, QueueKind Kind) {
  return this->Queues[index(Class)][Kind];
}

const FairQueue &Dispatcher::queue(WorkClass Class, QueueKind Kind) const {
  return this->Queues[index(Class)][Kind];
}

void Dispatcher::setGroup(const member::Group &G) {
  this->Slots = std::max(1U, G.SlotsPerTarget);
  this->MaxConnections = std::max(1U, G.ConnectionsPerTarget);
  for (auto &[Id, T] : this->Targets)
    T.Listed = false;
  for (const member::Target &M : G.Targets) {
    TargetSlots &T = this->Targets[M.Id];
    T.Listed = true;
    T.State = M.Status;
  }
  this->ReplicasChanged = true;
}

void Dispatcher::setState(const group::GroupState *S) {
  Term Old = this->State ? this->State->CurrentTerm : Term();
  this->State = S ? std::optional(*S) : std::nullopt;
  this->ReplicasChanged = true;
  if (S && S->CurrentTerm == Old)
    return;
  for (auto &[Id, T] : this->Targets) {
    T.Applied = 0;
    // Connection failures of the old term do not apply to the new one.
    T.Failures = 0;
    T.OpenAfter = absl::InfinitePast();
  }
}

void Dispatcher::observe(const TargetId &At, LogPosition Seen) {
  if (!this->State || Seen.InTerm != this->State->CurrentTerm)
    return;
  TargetSlots &T = this->Targets[At];
  if (Seen.Position <= T.Applied)
    return;
  T.Applied = Seen.Position;
  this->ReplicasChanged = true;
}

// Refuses a request with a retry hint when the queue is full or the estimated wait exceeds the
// deadline.
std::optional<Refusal> Dispatcher::admit(DispatchRequest R, Instant Now) {
  this->normalize(R);
  this->LastUse = Now;
  if (R.ReplicaAllowed)
    this->LastReplicaUse = Now;
  if (!R.Pinned) {
    absl::Duration Wait = this->estimatedWait(R);
    absl::Duration Left = R.Deadline - Now;
    if (this->waiting(R.Class) >= this->Options.QueueLimit)
      return Refusal{Reason::QueueFull, this->retryDelay(R, Now)};
    if (Left <= absl::ZeroDuration() || Wait > Left)
      return Refusal{Reason::QueueDeadline, this->jittered(Wait - Left)};
  }
  // Once the queue is less than half full, the refused callers that retry have been admitted again.
  if (!R.Pinned && this->waiting(R.Class) < this->Options.QueueLimit / 2)
    this->LastRetryAt[index(R.Class)] = absl::InfinitePast();
  this->enqueue(std::move(R));
  return std::nullopt;
}

void Dispatcher::enqueue(DispatchRequest R) {
  this->DeadlineOf[R.Id] = R.Deadline;
  this->Deadlines.emplace(R.Deadline, R.Id);
  if (R.Pinned) {
    this->Targets[*R.Pinned].Pinned.push_back(std::move(R));
    return;
  }
  QueueKind Kind = this->queueKindOf(R);
  WorkClass Class = R.Class;
  this->queue(Class, Kind).push(std::move(R));
}

void Dispatcher::requeue(DispatchRequest R) {
  assert(!R.Pinned);
  this->normalize(R);
  this->DeadlineOf[R.Id] = R.Deadline;
  this->Deadlines.emplace(R.Deadline, R.Id);
  QueueKind Kind = this->queueKindOf(R);
  WorkClass Class = R.Class;
  this->queue(Class, Kind).pushFront(std::move(R));
}

bool Dispatcher::remove(PoolRequestId Id) { return this->extract(Id).has_value(); }

std::optional<DispatchRequest> Dispatcher::extract(PoolRequestId Id) {
  auto It = this->DeadlineOf.find(Id);
  if (It == this->DeadlineOf.end())
    return std::nullopt;
  this->Deadlines.erase({It->second, Id});
  this->DeadlineOf.erase(It);
  this->WaitedForReplica.erase(Id);
  for (auto &Class : this->Queues)
    for (FairQueue &Q : Class)
      if (std::optional<DispatchRequest> Found = Q.remove(Id))
        return Found;
  auto From = [&](auto &List) -> std::optional<DispatchRequest> {
    auto At = std::find_if(List.begin(), List.end(),
                           [&](const DispatchRequest &R) { return R.Id == Id; });
    if (At == List.end())
      return std::nullopt;
    DispatchRequest Found = std::move(*At);
    List.erase(At);
    return Found;
  };
  if (std::optional<DispatchRequest> Found = From(this->AwaitingReplica)) {
    --this->AwaitingReplicaCount[index(Found->Class)];
    return Found;
  }
  for (auto &[Name, T] : this->Targets)
    if (std::optional<DispatchRequest> Found = From(T.Pinned))
      return Found;
  assert(false && "request has a deadline but is in no queue");
  return std::nullopt;
}

size_t Dispatcher::waiting(WorkClass Class) const {
  return this->queue(Class, PrimaryQueue).size() + this->queue(Class, ReplicaQueue).size() +
         this->AwaitingReplicaCount[index(Class)];
}

size_t Dispatcher::queued() const { return this->DeadlineOf.size(); }

void Dispatcher::connected(const TargetId &At) {
  TargetSlots &T = this->Targets[At];
  T.Connecting = false;
  T.Failures = 0;
  T.OpenAfter = absl::InfinitePast();
  ++T.Total;
  ++T.Idle;
}

void Dispatcher::connectFailed(const TargetId &At, Instant Now) {
  TargetSlots &T = this->Targets[At];
  T.Connecting = false;
  absl::Duration Pause = MinReconnectDelay * (1 << std::min(T.Failures, 10U));
  ++T.Failures;
  T.OpenAfter = Now + this->jittered(std::min(Pause, MaxReconnectDelay));
}

void Dispatcher::connectAborted(const TargetId &At) { this->Targets[At].Connecting = false; }

void Dispatcher::closed(const TargetId &At, bool WasIdle) {
  TargetSlots &T = this->Targets[At];
  assert(T.Total > 0 && (!WasIdle || T.Idle > 0));
  --T.Total;
  if (WasIdle)
    --T.Idle;
}

void Dispatcher::released(const TargetId &At) { ++this->Targets[At].Idle; }

void Dispatcher::ended(const TargetId &At, WorkClass Class, std::optional<absl::Duration> Service) {
  Class = this->classOf(Class);
  uint32_t &Count = this->Targets[At].Executing[index(Class)];
  assert(Count > 0);
  --Count;
  if (!Service)
    return;
  absl::Duration &Estimate = this->ServiceTime[index(Class)];
  Estimate += (*Service - Estimate) * ServiceTimeWeight;
}

bool Dispatcher::isSurplus(const TargetId &At, Instant Now) const {
  auto It = this->Targets.find(At);
  if (It == this->Targets.end())
    return true;
  bool IsPrimary = this->State && this->State->Primary == At;
  Instant Used = IsPrimary ? this->LastUse : this->LastReplicaUse;
  return It->second.Idle > 1 || Now - Used > this->Options.IdleConnection ||
         !this->acceptsNewWork(At, It->second);
}

bool Dispatcher::isLeaving(const TargetId &At) const {
  auto It = this->Targets.find(At);
  return It == this->Targets.end() || !It->second.Listed || It->second.State != TargetState::Active;
}

TargetLoad Dispatcher::load(const TargetId &At) const {
  auto It = this->Targets.find(At);
  if (It == this->Targets.end())
    return {};
  return {.Connections = It->second.Total, .Executing = this->executing(It->second)};
}

Instant Dispatcher::wakeAt(Instant Now) const {
  Instant At = absl::InfiniteFuture();
  if (!this->Deadlines.empty())
    At = this->Deadlines.begin()->first;
  for (const DispatchRequest &R : this->AwaitingReplica)
    At = std::min(At, R.Arrived + this->Options.FloorWait);
  if (this->DeadlineOf.empty())
    return At;
  for (const auto &[Id, T] : this->Targets)
    if (!T.Connecting && T.OpenAfter > Now && this->acceptsNewWork(Id, T))
      At = std::min(At, T.OpenAfter);
  return At;
}

std::vector<Action> Dispatcher::next(Instant Now) {
  std::vector<Action> Out;
  this->expire(Now, Out);
  this->requeueAwaitingReplica(Now);
  this->averageShortWork(Now);
  this->startPinned(Out);
  (this->*this->order().Start)(Now, Out);
  this->refusePrimaryNotReached(Now, Out);
  this->openConnections(Now, Out);
  for (QueueKind Kind : {PrimaryQueue, ReplicaQueue})
    this->ShortCount[Kind] = this->waitingOrExecuting(WorkClass::Short, Kind);
  return Out;
}

// Refuses queued requests whose deadline has passed.
void Dispatcher::expire(Instant Now, std::vector<Action> &Out) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    std::optional<DispatchRequest> R = this->extract(this->Deadlines.begin()->second);
    Out.push_back({.Kind = ActionKind::Refuse, .Request = R->Id, .Why = this->expiryReason(*R)});
  }
}

Reason Dispatcher::expiryReason(const DispatchRequest &R) const {
  if (R.Pinned)
    return Reason::QueueDeadline;
  if (!this->State || !this->State->Primary)
    return Reason::NoPrimary;
  if (R.Floor.InTerm > this->State->CurrentTerm)
    return Reason::FloorUnreachable;
  auto It = this->Targets.find(*this->State->Primary);
  bool Connected = It != this->Targets.end() && It->second.Total > 0;
  return Connected ? Reason::QueueDeadline : Reason::TargetUnreachable;
}

// Requeues reads that waited for a replica: to the replica queue once a replica has reached their
// floor, to the primary queue when no replica is suitable or FloorWait has elapsed.
void Dispatcher::requeueAwaitingReplica(Instant Now) {
  bool AnyDue = std::any_of(
      this->AwaitingReplica.begin(), this->AwaitingReplica.end(),
      [&](const DispatchRequest &R) { return Now - R.Arrived >= this->Options.FloorWait; });
  if (!this->ReplicasChanged && !AnyDue)
    return;
  this->ReplicasChanged = false;
  for (auto It = this->AwaitingReplica.begin(); It != this->AwaitingReplica.end();) {
    ReplicaMatch Match = this->chooseReplica(*It, Now).Match;
    bool Due = Now - It->Arrived >= this->Options.FloorWait;
    if (Match == ReplicaMatch::Behind && !Due) {
      ++It;
      continue;
    }
    WorkClass Class = It->Class;
    --this->AwaitingReplicaCount[index(Class)];
    bool ToPrimary = Match == ReplicaMatch::Behind || Match == ReplicaMatch::NoReplica;
    It->ReplicaAllowed = !ToPrimary;
    if (ToPrimary)
      this->WaitedForReplica.insert(It->Id);
    this->queue(Class, ToPrimary ? PrimaryQueue : ReplicaQueue).pushFront(std::move(*It));
    It = this->AwaitingReplica.erase(It);
  }
}

void Dispatcher::start(const DispatchRequest &R, const TargetId &At, std::vector<Action> &Out) {
  TargetSlots &S = this->Targets[At];
  ++S.Executing[index(R.Class)];
  if (!R.Pinned)
    --S.Idle;
  this->DeadlineOf.erase(R.Id);
  this->Deadlines.erase({R.Deadline, R.Id});
  bool Behind = this->WaitedForReplica.erase(R.Id) > 0;
  Out.push_back(
      {.Kind = ActionKind::Start, .Request = R.Id, .Target = At, .ReplicaWasBehind = Behind});
}

// Requests of open transactions bypass the slot limit: all slots may be held by requests that wait
// at the target for a lock of this transaction. The target queues what exceeds its slots.
void Dispatcher::startPinned(std::vector<Action> &Out) {
  for (auto &[Id, S] : this->Targets)
    for (const DispatchRequest &R : std::exchange(S.Pinned, {}))
      this->start(R, Id, Out);
}

void Dispatcher::startByClass(Instant Now, std::vector<Action> &Out) {
  if (this->longIsOverdue(Now)) {
    this->startPrimary(WorkClass::Long, Out);
    this->startReplica(WorkClass::Long, Now, Out);
  }
  for (WorkClass Class : {WorkClass::Short, WorkClass::Long}) {
    this->startPrimary(Class, Out);
    this->startReplica(Class, Now, Out);
  }
}

// Strict FIFO: a request that cannot start blocks all later ones.
void Dispatcher::startByArrival(Instant Now, std::vector<Action> &Out) {
  FairQueue &Q = this->queue(WorkClass::Short, PrimaryQueue);
  std::optional<TargetId> At;
  auto Starts = [&](const DispatchRequest &R) {
    At = this->targetByArrival(R, Now);
    return At.has_value();
  };
  while (std::optional<DispatchRequest> R = Q.take(Starts, 1))
    this->start(*R, *At, Out);
}

// A read runs at the primary if no replica is suitable or all suitable ones are full.
std::optional<TargetId> Dispatcher::targetByArrival(const DispatchRequest &R, Instant Now) {
  ReplicaChoice Replica = R.ReplicaAllowed ? this->chooseReplica(R, Now) : ReplicaChoice();
  if (Replica.Match == ReplicaMatch::Ready)
    return Replica.Target;
  if (Replica.Match == ReplicaMatch::Opening || !this->primaryAccepts(R))
    return std::nullopt;
  return this->State->Primary;
}

void Dispatcher::startPrimary(WorkClass Class, std::vector<Action> &Out) {
  FairQueue &Q = this->queue(Class, PrimaryQueue);
  while (!Q.empty() && (Class == WorkClass::Short || this->longWithinLimit(PrimaryQueue))) {
    auto R =
        Q.take([&](const DispatchRequest &R) { return this->primaryAccepts(R); }, MaxKeysPerPass);
    if (!R)
      return;
    this->start(*R, *this->State->Primary, Out);
  }
}

void Dispatcher::startReplica(WorkClass Class, Instant Now, std::vector<Action> &Out) {
  FairQueue &Q = this->queue(Class, ReplicaQueue);
  ReplicaChoice Found;
  auto Fits = [&](const DispatchRequest &R) {
    Found = this->chooseReplica(R, Now);
    if (Found.Match == ReplicaMatch::Opening)
      return false;
    return Found.Match != ReplicaMatch::Busy || this->primaryAcceptsSpill(R);
  };
  while (!Q.empty() && (Class == WorkClass::Short || this->longWithinLimit(ReplicaQueue))) {
    std::optional<DispatchRequest> R = Q.take(Fits, MaxKeysPerPass);
    if (!R)
      return;
    if (Found.Match == ReplicaMatch::Ready) {
      this->start(*R, Found.Target, Out);
    } else if (Found.Match == ReplicaMatch::Busy) {
      this->start(*R, *this->State->Primary, Out);
    } else if (Found.Match == ReplicaMatch::Behind && Now - R->Arrived < this->Options.FloorWait) {
      ++this->AwaitingReplicaCount[index(Class)];
      this->AwaitingReplica.push_back(std::move(*R));
    } else {
      if (Found.Match == ReplicaMatch::Behind)
        this->WaitedForReplica.insert(R->Id);
      R->ReplicaAllowed = false;
      this->queue(Class, PrimaryQueue).push(std::move(*R));
      this->startPrimary(Class, Out);
    }
  }
}

// Refuses requests that wait for the primary while only another instance can reach it.
void Dispatcher::refusePrimaryNotReached(Instant Now, std::vector<Action> &Out) {
  if (!this->State || !this->State->RedirectTo || Now >= this->State->RedirectTo->ValidUntil)
    return;
  for (WorkClass Class : {WorkClass::Short, WorkClass::Long}) {
    FairQueue &Q = this->queue(Class, PrimaryQueue);
    while (auto R = Q.take([](const DispatchRequest &) { return true; }, 1)) {
      this->DeadlineOf.erase(R->Id);
      this->Deadlines.erase({R->Deadline, R->Id});
      this->WaitedForReplica.erase(R->Id);
      Out.push_back(
          {.Kind = ActionKind::Refuse, .Request = R->Id, .Why = Reason::PrimaryNotReached});
    }
  }
}

bool Dispatcher::longIsOverdue(Instant Now) const {
  for (const auto &[Id, T] : this->Targets)
    if (T.Executing[index(WorkClass::Long)] > 0)
      return false;
  for (QueueKind Kind : {PrimaryQueue, ReplicaQueue})
    if (Now - this->queue(WorkClass::Long, Kind).headArrived() > LongOverdueAfter)
      return true;
  return false;
}

} // namespace toucan::pool
