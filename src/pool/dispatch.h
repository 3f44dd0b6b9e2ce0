// Request scheduling of one database: admission control, slot limits, target selection and opening
// of connections. Performs no I/O: time is an argument, and the pool service performs the returned
// actions.
#ifndef TOUCAN_POOL_DISPATCH_H
#define TOUCAN_POOL_DISPATCH_H

#include "base/policy.h"
#include "base/verdict.h"
#include "group/watcher.h"
#include "member/view.h"
#include "pool/queue.h"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucan::pool {

struct DispatchOptions {
  size_t QueueLimit = 1000; // per work class
  absl::Duration FloorWait = absl::Milliseconds(50);
  absl::Duration IdleConnection = absl::Seconds(60);
  uint64_t Seed = 1; // of the retry jitter
  QueueOrder Order = QueueOrder::ByClassAndCaller;
};

enum class ActionKind : uint8_t {
  Start,  // run Request at Target, on an idle connection or that of its transaction
  Refuse, // reject Request as not run, with reason Why
  Open,   // open one connection to Target
};

struct Action {
  ActionKind Kind = ActionKind::Start;
  PoolRequestId Request;
  TargetId Target;
  Reason Why = Reason::None;
  bool ReplicaWasBehind = false; // waited for a replica in vain before it went to the primary
};

struct Refusal {
  Reason Why = Reason::None;
  absl::Duration RetryAfter;
};

// Connections and executing requests of one target, for the operator's tool.
struct TargetLoad {
  uint32_t Connections = 0;
  uint32_t Executing = 0;
};

class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options);

  // Sets the targets, slots and connection limits. Removed targets get no new work.
  void setGroup(const member::Group &G);
  // Null when the group is not monitored: only requests of open transactions are started.
  void setState(const group::GroupState *S);
  // Records the applied position that a target reported; ignored unless of the current term.
  void observe(const TargetId &At, LogPosition Seen);

  // Queues a request, or refuses it at once. A pinned request is never refused here.
  std::optional<Refusal> admit(DispatchRequest R, Instant Now);
  // Returns a request that was started but has not run to the head of its queue.
  void requeue(DispatchRequest R);
  // Removes a waiting request; returns false if it is not queued.
  bool remove(PoolRequestId Id);

  // Connection events. A connection counts as open from connected() to closed().
  void connected(const TargetId &At);
  void connectFailed(const TargetId &At, Instant Now);
  void connectAborted(const TargetId &At);
  void closed(const TargetId &At, bool WasIdle);
  // A connection became idle after a request or a transaction.
  void released(const TargetId &At);
  // A started request no longer executes at the target. Service is its service time, if known.
  void ended(const TargetId &At, rules::WorkClass Class, std::optional<absl::Duration> Service);
  // Returns whether an idle connection may be closed: the database is not in use, the target gets
  // no new work, or another connection is idle.
  bool isSurplus(const TargetId &At, Instant Now) const;

  // Returns whether the target is unlisted or not active according to the rules.
  bool isLeaving(const TargetId &At) const;

  // Returns all actions that are possible now; they count as performed once returned.
  std::vector<Action> next(Instant Now);
  // Time at which next() must be called even without an event; InfiniteFuture if never.
  Instant wakeAt(Instant Now) const;

  size_t queued() const;
  TargetLoad load(const TargetId &At) const;

private:
  static constexpr size_t Classes = 2;
  enum QueueKind : size_t { PrimaryQueue, ReplicaQueue, QueueKinds };

  struct TargetSlots {
    rules::TargetState State = rules::TargetState::Active;
    bool Listed = true; // is in the group configuration
    uint32_t Total = 0; // open connections
    uint32_t Idle = 0;
    bool Connecting = false;
    std::array<uint32_t, Classes> Executing = {};
    uint32_t Failures = 0; // consecutive failed connection attempts
    Instant OpenAfter = absl::InfinitePast();
    uint64_t Applied = 0; // highest position reported in the current term
    std::deque<DispatchRequest> Pinned;
  };
  // How well the replicas can serve a read, in ascending order.
  enum class ReplicaMatch : uint8_t {
    NoReplica, // none has a suitable age, state and term
    Behind,    // no suitable replica has reached the floor
    Busy,      // all replicas that have reached the floor are full
    Opening,   // a slot is free, but no connection is open yet
    Ready,
  };
  struct ReplicaChoice {
    ReplicaMatch Match = ReplicaMatch::NoReplica;
    TargetId Target;
  };

  // Scheduling strategy of a QueueOrder.
  struct OrderStrategy {
    bool ClassesAndCallers = true; // queues by work class, round robin between callers
    void (Dispatcher::*Start)(Instant Now, std::vector<Action> &Out) = nullptr;
  };
  static const OrderStrategy Orders[];

  const OrderStrategy &order() const;
  rules::WorkClass classOf(rules::WorkClass Class) const;
  QueueKind queueKindOf(const DispatchRequest &R) const;
  void normalize(DispatchRequest &R) const;
  FairQueue &queue(rules::WorkClass Class, QueueKind Kind);
  const FairQueue &queue(rules::WorkClass Class, QueueKind Kind) const;
  TargetSlots *primary();
  const group::ServerState *server(const TargetId &Id) const;
  uint32_t executing(const TargetSlots &T) const;
  bool slotFree(const TargetSlots &T, rules::WorkClass Class) const;
  bool acceptsNewWork(const TargetId &Id, const TargetSlots &T) const;
  bool primaryAccepts(const DispatchRequest &R);
  bool primaryAcceptsSpill(const DispatchRequest &R);
  ReplicaChoice chooseReplica(const DispatchRequest &R, Instant Now) const;
  absl::Duration estimatedWait(const DispatchRequest &R) const;
  absl::Duration retryDelay(const DispatchRequest &R, Instant Now);
  uint32_t slotsFor(QueueKind Kind, rules::WorkClass Class) const;
  absl::Duration jittered(absl::Duration D);
  Reason expiryReason(const DispatchRequest &R) const;
  void enqueue(DispatchRequest R);
  std::optional<DispatchRequest> extract(PoolRequestId Id);
  size_t waiting(rules::WorkClass Class) const;

  void start(const DispatchRequest &R, const TargetId &At, std::vector<Action> &Out);
  void expire(Instant Now, std::vector<Action> &Out);
  void requeueAwaitingReplica(Instant Now);
  void startPinned(std::vector<Action> &Out);
  void startByClass(Instant Now, std::vector<Action> &Out);
  void startByArrival(Instant Now, std::vector<Action> &Out);
  std::optional<TargetId> targetByArrival(const DispatchRequest &R, Instant Now);
  void startPrimary(rules::WorkClass Class, std::vector<Action> &Out);
  void startReplica(rules::WorkClass Class, Instant Now, std::vector<Action> &Out);
  bool longIsOverdue(Instant Now) const;
  void averageShortWork(Instant Now);
  uint32_t waitingOrExecuting(rules::WorkClass Class, QueueKind Kind) const;
  bool longWithinLimit(QueueKind Kind) const;
  void refusePrimaryNotReached(Instant Now, std::vector<Action> &Out);
  void openConnections(Instant Now, std::vector<Action> &Out);
  bool wantsConnection(const TargetId &Id, const TargetSlots &T, Instant Now) const;
  uint32_t demand(const TargetId &Id) const;

  DispatchOptions Options;
  uint64_t RandomState;
  uint32_t Slots = 1;
  uint32_t MaxConnections = 1;
  std::map<TargetId, TargetSlots> Targets;
  std::optional<group::GroupState> State;
  std::array<std::array<FairQueue, QueueKinds>, Classes> Queues;
  std::list<DispatchRequest> AwaitingReplica; // reads whose floor no replica has reached yet
  std::array<size_t, Classes> AwaitingReplicaCount = {};
  bool ReplicasChanged = false;
  absl::flat_hash_map<PoolRequestId, Instant> DeadlineOf;
  std::set<std::pair<Instant, PoolRequestId>> Deadlines;
  std::set<PoolRequestId> WaitedForReplica;
  std::array<absl::Duration, Classes> ServiceTime;
  // Latest retry time given to a caller that a full queue refused.
  std::array<Instant, Classes> LastRetryAt = {absl::InfinitePast(), absl::InfinitePast()};
  // Short requests that execute or wait, per queue kind: the average, its level (the average
  // without short dips), and the count since the last update of the average.
  std::array<double, QueueKinds> ShortAverage = {};
  std::array<double, QueueKinds> ShortLevel = {};
  std::array<uint32_t, QueueKinds> ShortCount = {};
  Instant AveragedAt = absl::InfinitePast();
  Instant LastUse = absl::InfinitePast();        // of the database
  Instant LastReplicaUse = absl::InfinitePast(); // by a read that allows a replica
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_DISPATCH_H
