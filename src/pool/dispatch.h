// Dispatch decisions of one database: admission, slots, choice of the target, and when to open a
// connection. Pure: time is an argument, and the shell carries out the returned actions.
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
  size_t QueueLimit = 1000; // requests of each class
  absl::Duration FloorWait = absl::Milliseconds(50);
  absl::Duration IdleConnection = absl::Seconds(60);
  uint64_t Seed = 1; // of the jitter
  QueueOrder Order = QueueOrder::ByClassAndCaller;
};

enum class ActionKind : uint8_t {
  Start,  // run Request at At on an idle connection, or on the one of its transaction
  Refuse, // end Request as not run, for Why
  Open,   // open one connection to At
};

struct Action {
  ActionKind Kind = ActionKind::Start;
  PoolRequestId Request;
  TargetId Target;
  Reason Why = Reason::None;
  bool ReplicaWasBehind = false; // the request waited for a replica before the primary took it
};

struct Refusal {
  Reason Why = Reason::None;
  absl::Duration RetryAfter;
};

// Connections and running requests of one target, for the operators' tool.
struct TargetLoad {
  uint32_t Connections = 0;
  uint32_t Executing = 0;
};

class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options);

  // Targets, slots and limits in force. Targets that are gone get no new work.
  void setGroup(const member::Group &G);
  // Null when the group is not watched: nothing is started outside transactions.
  void setState(const group::GroupState *S);
  // A target reported its applied position on a connection of the current term.
  void observe(const TargetId &At, LogPosition Seen);

  // Queues a request or refuses it at once. A pinned request is never refused here.
  std::optional<Refusal> admit(DispatchRequest R, Instant Now);
  // Puts back a request that was started and has not run.
  void requeue(DispatchRequest R);
  // Takes a waiting request out; false when it does not wait here.
  bool remove(PoolRequestId Id);

  // Connection events. A connection is counted from connected() to closed().
  void connected(const TargetId &At);
  void connectFailed(const TargetId &At, Instant Now);
  void connectAborted(const TargetId &At);
  void closed(const TargetId &At, bool WasIdle);
  // A connection is idle again after a request or a transaction.
  void released(const TargetId &At);
  // A started request no longer executes at the target.
  void ended(const TargetId &At, rules::WorkClass Class, std::optional<absl::Duration> Service);
  // An idle connection is more than the spare one of a database in use.
  bool isSurplus(const TargetId &At, Instant Now) const;

  // The target gets no new work because of its state in the rules or the list.
  bool leaving(const TargetId &At) const;

  // Everything that can be done now. Actions are counted as carried out when returned.
  std::vector<Action> next(Instant Now);
  // When next() must be called again without an event; InfiniteFuture for never.
  Instant wakeAt(Instant Now) const;

  size_t queued() const;
  TargetLoad load(const TargetId &At) const;

private:
  static constexpr size_t Classes = 2;
  enum QueueKind : size_t { PrimaryQueue, ReplicaQueue, QueueKinds };

  struct TargetSlots {
    rules::TargetState State = rules::TargetState::Active;
    bool Listed = true; // still in the group
    uint32_t Total = 0; // open connections
    uint32_t Idle = 0;
    bool Connecting = false;
    std::array<uint32_t, Classes> Executing = {};
    uint32_t Failures = 0; // connection attempts since the last success
    Instant OpenAfter = absl::InfinitePast();
    uint64_t Applied = 0; // last reported on a connection, in the current term
    std::deque<DispatchRequest> Pinned;
  };
  // How well the replicas suit a read, best last.
  enum class ReplicaMatch : uint8_t {
    NoReplica, // none of the right age, state and term
    Behind,    // none has reached the floor
    Busy,      // those that have are full
    Opening,   // a slot is free, but no connection is open yet
    Ready,
  };
  struct ReplicaChoice {
    ReplicaMatch Match = ReplicaMatch::NoReplica;
    TargetId Target;
  };

  // What a queue order distinguishes, and how it starts waiting requests.
  struct OrderStrategy {
    bool ClassesAndCallers = true;
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
  std::list<DispatchRequest> AwaitingReplica; // reads that wait for a replica to reach their floor
  std::array<size_t, Classes> AwaitingReplicaCount = {};
  bool ReplicasChanged = false;
  absl::flat_hash_map<PoolRequestId, Instant> DeadlineOf;
  std::set<std::pair<Instant, PoolRequestId>> Deadlines;
  std::set<PoolRequestId> WaitedForReplica;
  std::array<absl::Duration, Classes> ServiceTime;
  // When the last caller that was refused by a full queue was told to return.
  std::array<Instant, Classes> LastRetryAt = {absl::InfinitePast(), absl::InfinitePast()};
  // Short requests that execute or wait in a lane: their average, its level (the average without
  // its short dips), and their number since the average was taken.
  std::array<double, QueueKinds> ShortAverage = {};
  std::array<double, QueueKinds> ShortLevel = {};
  std::array<uint32_t, QueueKinds> ShortCount = {};
  Instant AveragedAt = absl::InfinitePast();
  Instant LastUse = absl::InfinitePast();        // of the database
  Instant LastReplicaUse = absl::InfinitePast(); // by a read that a replica may serve
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_DISPATCH_H
