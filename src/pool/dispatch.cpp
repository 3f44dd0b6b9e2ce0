#include "pool/dispatch.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucan::pool {

using rules::TargetState;
using rules::WorkClass;

namespace {

// Keys whose first request is looked at in one pass; bounds the cost of a pass when many callers
// wait for a target that is full.
constexpr size_t MaxKeysPerPass = 16;
// Estimates before the first request of a class has ended.
constexpr absl::Duration FirstShortService = absl::Milliseconds(2);
constexpr absl::Duration FirstLongService = absl::Seconds(1);
// Weight of the newest service time in the estimate.
constexpr double ServiceWeight = 0.125;
// Long work that has waited this long goes before short work when no long work executes, so that
// it makes progress while short work saturates the targets.
constexpr absl::Duration LongOverdue = absl::Seconds(5);
// Pause after a failed connection attempt; doubles up to the maximum.
constexpr absl::Duration MinReconnect = absl::Milliseconds(50);
constexpr absl::Duration MaxReconnect = absl::Seconds(1);

size_t index(WorkClass Class) { return static_cast<size_t>(Class); }

} // namespace

Dispatcher::Dispatcher(DispatchOptions Options)
    : Options(Options), Random(Options.Seed), Service{FirstShortService, FirstLongService} {}

// In the order of QueueOrder.
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

// Without classes there is one queue, whatever target a request may run at.
Dispatcher::Lane Dispatcher::laneOf(const Ticket &T) const {
  return this->order().ClassesAndCallers && T.ReplicaAllowed ? ReplicaLane : PrimaryLane;
}

// Removes what the queue order does not distinguish.
void Dispatcher::strip(Ticket &T) const {
  T.Class = this->classOf(T.Class);
  if (!this->order().ClassesAndCallers)
    T.FairnessKey.clear();
}

FairQueue &Dispatcher::lane(WorkClass Class, Lane L) { return this->Queues[index(Class)][L]; }

const FairQueue &Dispatcher::lane(WorkClass Class, Lane L) const {
  return this->Queues[index(Class)][L];
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
  this->ReviewParked = true;
}

void Dispatcher::setState(const group::GroupState *S) {
  Term Old = this->State ? this->State->Current : Term();
  this->State = S ? std::optional(*S) : std::nullopt;
  this->ReviewParked = true;
  if (S && S->Current == Old)
    return;
  for (auto &[Id, T] : this->Targets) {
    T.Applied = 0;
    // Failures of the old term say nothing of the new one.
    T.Failures = 0;
    T.OpenAfter = absl::InfinitePast();
  }
}

void Dispatcher::observe(const TargetId &At, LogPosition Seen) {
  if (!this->State || Seen.InTerm != this->State->Current)
    return;
  TargetSlots &T = this->Targets[At];
  if (Seen.Position <= T.Applied)
    return;
  T.Applied = Seen.Position;
  this->ReviewParked = true;
}

// Decides admission: a full queue, or a wait beyond the deadline, is refused with a retry hint.
std::optional<Refusal> Dispatcher::admit(Ticket T, Instant Now) {
  this->strip(T);
  this->LastUse = Now;
  if (T.ReplicaAllowed)
    this->LastReplicaUse = Now;
  if (!T.Pinned) {
    absl::Duration Wait = this->estimatedWait(T);
    absl::Duration Left = T.Deadline - Now;
    if (this->waiting(T.Class) >= this->Options.QueueLimit)
      return Refusal{Reason::QueueFull, this->returnAfter(T, Now)};
    if (Left <= absl::ZeroDuration() || Wait > Left)
      return Refusal{Reason::QueueDeadline, this->jittered(Wait - Left)};
  }
  // A queue that is half empty has taken back the refused callers that return.
  if (!T.Pinned && this->waiting(T.Class) < this->Options.QueueLimit / 2)
    this->LastReturn[index(T.Class)] = absl::InfinitePast();
  this->enqueue(std::move(T));
  return std::nullopt;
}

void Dispatcher::enqueue(Ticket T) {
  this->DeadlineOf[T.Id] = T.Deadline;
  this->Deadlines.emplace(T.Deadline, T.Id);
  if (T.Pinned) {
    this->Targets[*T.Pinned].Pinned.push_back(std::move(T));
    return;
  }
  Lane L = this->laneOf(T);
  WorkClass Class = T.Class;
  this->lane(Class, L).push(std::move(T));
}

void Dispatcher::requeue(Ticket T) {
  assert(!T.Pinned);
  this->strip(T);
  this->DeadlineOf[T.Id] = T.Deadline;
  this->Deadlines.emplace(T.Deadline, T.Id);
  Lane L = this->laneOf(T);
  WorkClass Class = T.Class;
  this->lane(Class, L).pushFront(std::move(T));
}

bool Dispatcher::remove(TicketId Id) { return this->extract(Id).has_value(); }

std::optional<Ticket> Dispatcher::extract(TicketId Id) {
  auto It = this->DeadlineOf.find(Id);
  if (It == this->DeadlineOf.end())
    return std::nullopt;
  this->Deadlines.erase({It->second, Id});
  this->DeadlineOf.erase(It);
  this->WaitedForReplica.erase(Id);
  for (auto &Class : this->Queues)
    for (FairQueue &Q : Class)
      if (std::optional<Ticket> Found = Q.remove(Id))
        return Found;
  auto From = [&](auto &List) -> std::optional<Ticket> {
    auto At = std::find_if(List.begin(), List.end(), [&](const Ticket &T) { return T.Id == Id; });
    if (At == List.end())
      return std::nullopt;
    Ticket Found = std::move(*At);
    List.erase(At);
    return Found;
  };
  if (std::optional<Ticket> Found = From(this->Parked)) {
    --this->ParkedOf[index(Found->Class)];
    return Found;
  }
  for (auto &[Name, T] : this->Targets)
    if (std::optional<Ticket> Found = From(T.Pinned))
      return Found;
  assert(false && "a waiting request is in one of the queues");
  return std::nullopt;
}

size_t Dispatcher::waiting(WorkClass Class) const {
  return this->lane(Class, PrimaryLane).size() + this->lane(Class, ReplicaLane).size() +
         this->ParkedOf[index(Class)];
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
  absl::Duration Pause = MinReconnect * (1 << std::min(T.Failures, 10U));
  ++T.Failures;
  T.OpenAfter = Now + this->jittered(std::min(Pause, MaxReconnect));
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
  absl::Duration &Estimate = this->Service[index(Class)];
  Estimate += (*Service - Estimate) * ServiceWeight;
}

bool Dispatcher::surplus(const TargetId &At, Instant Now) const {
  auto It = this->Targets.find(At);
  if (It == this->Targets.end())
    return true;
  bool IsPrimary = this->State && this->State->Primary == At;
  Instant Used = IsPrimary ? this->LastUse : this->LastReplicaUse;
  return It->second.Idle > 1 || Now - Used > this->Options.IdleConnection ||
         !this->takesNewWork(At, It->second);
}

bool Dispatcher::leaving(const TargetId &At) const {
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
  for (const Ticket &T : this->Parked)
    At = std::min(At, T.Arrived + this->Options.FloorWait);
  if (this->DeadlineOf.empty())
    return At;
  for (const auto &[Id, T] : this->Targets)
    if (!T.Connecting && T.OpenAfter > Now && this->takesNewWork(Id, T))
      At = std::min(At, T.OpenAfter);
  return At;
}

std::vector<Action> Dispatcher::next(Instant Now) {
  std::vector<Action> Out;
  this->expire(Now, Out);
  this->reviewParked(Now);
  this->averageShortWork(Now);
  this->startPinned(Out);
  (this->*this->order().Start)(Now, Out);
  this->redirect(Now, Out);
  this->openConnections(Now, Out);
  for (Lane L : {PrimaryLane, ReplicaLane})
    this->ShortNow[L] = this->inLane(WorkClass::Short, L);
  return Out;
}

// Refuses requests whose deadline has passed in the queue.
void Dispatcher::expire(Instant Now, std::vector<Action> &Out) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    std::optional<Ticket> T = this->extract(this->Deadlines.begin()->second);
    Out.push_back({.Kind = ActionKind::Refuse, .Request = T->Id, .Why = this->expiryReason(*T)});
  }
}

Reason Dispatcher::expiryReason(const Ticket &T) const {
  if (T.Pinned)
    return Reason::QueueDeadline;
  if (!this->State || !this->State->Primary)
    return Reason::NoPrimary;
  if (T.Floor.InTerm > this->State->Current)
    return Reason::FloorUnreachable;
  auto It = this->Targets.find(*this->State->Primary);
  bool Connected = It != this->Targets.end() && It->second.Total > 0;
  return Connected ? Reason::QueueDeadline : Reason::TargetUnreachable;
}

// Moves reads that waited for a replica back into a queue: into the one of the replicas when one
// has reached their floor, into the one of the primary when FloorWait is over.
void Dispatcher::reviewParked(Instant Now) {
  bool AnyDue = std::any_of(this->Parked.begin(), this->Parked.end(), [&](const Ticket &T) {
    return Now - T.Arrived >= this->Options.FloorWait;
  });
  if (!this->ReviewParked && !AnyDue)
    return;
  this->ReviewParked = false;
  for (auto It = this->Parked.begin(); It != this->Parked.end();) {
    Fit Result = this->chooseReplica(*It, Now).Result;
    bool Due = Now - It->Arrived >= this->Options.FloorWait;
    if (Result == Fit::Behind && !Due) {
      ++It;
      continue;
    }
    WorkClass Class = It->Class;
    --this->ParkedOf[index(Class)];
    bool ToPrimary = Result == Fit::Behind || Result == Fit::NoReplica;
    It->ReplicaAllowed = !ToPrimary;
    if (ToPrimary)
      this->WaitedForReplica.insert(It->Id);
    this->lane(Class, ToPrimary ? PrimaryLane : ReplicaLane).pushFront(std::move(*It));
    It = this->Parked.erase(It);
  }
}

void Dispatcher::start(const Ticket &T, const TargetId &At, std::vector<Action> &Out) {
  TargetSlots &S = this->Targets[At];
  ++S.Executing[index(T.Class)];
  if (!T.Pinned)
    --S.Idle;
  this->DeadlineOf.erase(T.Id);
  this->Deadlines.erase({T.Deadline, T.Id});
  bool Behind = this->WaitedForReplica.erase(T.Id) > 0;
  Out.push_back({.Kind = ActionKind::Start, .Request = T.Id, .At = At, .ReplicaWasBehind = Behind});
}

// Requests of open transactions do not wait for a slot: the slots may all be held by requests that
// wait at the target for a lock of this transaction. The target queues what exceeds its slots.
void Dispatcher::startPinned(std::vector<Action> &Out) {
  for (auto &[Id, S] : this->Targets)
    for (const Ticket &T : std::exchange(S.Pinned, {}))
      this->start(T, Id, Out);
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

// A request that cannot start keeps all later ones waiting.
void Dispatcher::startByArrival(Instant Now, std::vector<Action> &Out) {
  FairQueue &Q = this->lane(WorkClass::Short, PrimaryLane);
  std::optional<TargetId> At;
  auto Starts = [&](const Ticket &T) {
    At = this->targetByArrival(T, Now);
    return At.has_value();
  };
  while (std::optional<Ticket> T = Q.take(Starts, 1))
    this->start(*T, *At, Out);
}

// A read runs at the primary when no replica suits it or all that do are full.
std::optional<TargetId> Dispatcher::targetByArrival(const Ticket &T, Instant Now) {
  Choice Replica = T.ReplicaAllowed ? this->chooseReplica(T, Now) : Choice();
  if (Replica.Result == Fit::Start)
    return Replica.At;
  if (Replica.Result == Fit::Opening || !this->primaryTakes(T))
    return std::nullopt;
  return this->State->Primary;
}

void Dispatcher::startPrimary(WorkClass Class, std::vector<Action> &Out) {
  FairQueue &Q = this->lane(Class, PrimaryLane);
  while (!Q.empty() && (Class == WorkClass::Short || this->longWithinLimit(PrimaryLane))) {
    auto T = Q.take([&](const Ticket &T) { return this->primaryTakes(T); }, MaxKeysPerPass);
    if (!T)
      return;
    this->start(*T, *this->State->Primary, Out);
  }
}

void Dispatcher::startReplica(WorkClass Class, Instant Now, std::vector<Action> &Out) {
  FairQueue &Q = this->lane(Class, ReplicaLane);
  Choice Found;
  auto Fits = [&](const Ticket &T) {
    Found = this->chooseReplica(T, Now);
    if (Found.Result == Fit::Opening)
      return false;
    return Found.Result != Fit::Busy || this->spillTakes(T);
  };
  while (!Q.empty() && (Class == WorkClass::Short || this->longWithinLimit(ReplicaLane))) {
    std::optional<Ticket> T = Q.take(Fits, MaxKeysPerPass);
    if (!T)
      return;
    if (Found.Result == Fit::Start) {
      this->start(*T, Found.At, Out);
    } else if (Found.Result == Fit::Busy) {
      this->start(*T, *this->State->Primary, Out);
    } else if (Found.Result == Fit::Behind && Now - T->Arrived < this->Options.FloorWait) {
      ++this->ParkedOf[index(Class)];
      this->Parked.push_back(std::move(*T));
    } else {
      if (Found.Result == Fit::Behind)
        this->WaitedForReplica.insert(T->Id);
      T->ReplicaAllowed = false;
      this->lane(Class, PrimaryLane).push(std::move(*T));
      this->startPrimary(Class, Out);
    }
  }
}

// Refuses what waits for a primary that another instance reaches and this one does not.
void Dispatcher::redirect(Instant Now, std::vector<Action> &Out) {
  if (!this->State || !this->State->ReachedBy || Now >= this->State->ReachedBy->Until)
    return;
  for (WorkClass Class : {WorkClass::Short, WorkClass::Long}) {
    FairQueue &Q = this->lane(Class, PrimaryLane);
    while (auto T = Q.take([](const Ticket &) { return true; }, 1)) {
      this->DeadlineOf.erase(T->Id);
      this->Deadlines.erase({T->Deadline, T->Id});
      this->WaitedForReplica.erase(T->Id);
      Out.push_back(
          {.Kind = ActionKind::Refuse, .Request = T->Id, .Why = Reason::PrimaryNotReached});
    }
  }
}

bool Dispatcher::longIsOverdue(Instant Now) const {
  for (const auto &[Id, T] : this->Targets)
    if (T.Executing[index(WorkClass::Long)] > 0)
      return false;
  for (Lane L : {PrimaryLane, ReplicaLane})
    if (Now - this->lane(WorkClass::Long, L).headArrived() > LongOverdue)
      return true;
  return false;
}

} // namespace toucan::pool
