// Queue of the waiting requests of one database and work class, fair between callers.
#ifndef TOUCAN_POOL_QUEUE_H
#define TOUCAN_POOL_QUEUE_H

#include "base/ids.h"
#include "rules/rules.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace toucan::pool {

using PoolRequestId = StrongId<struct PoolRequestTag, uint64_t>;

// The attributes of a request that scheduling depends on.
struct DispatchRequest {
  PoolRequestId Id;
  rules::WorkClass Class = rules::WorkClass::Short;
  std::string FairnessKey;
  bool ReplicaAllowed = false; // a read that a replica of at most MaxAge may serve
  absl::Duration MaxAge = absl::ZeroDuration();
  LogPosition Floor;
  Instant Arrived;
  Instant Deadline;
  std::optional<TargetId> Pinned; // target of the open transaction
};

// FIFO per fairness key, round robin between the keys.
class FairQueue {
public:
  using Predicate = std::function<bool(const DispatchRequest &)>;

  void push(DispatchRequest R);
  // Inserts a request at the head of its key, and moves the key to the head of the order.
  void pushFront(DispatchRequest R);
  // Offers the first request of each of the first MaxKeys keys to Accept, and removes and returns
  // the first accepted one. Its key moves to the end of the order.
  std::optional<DispatchRequest> take(const Predicate &Accept, size_t MaxKeys);
  std::optional<DispatchRequest> remove(PoolRequestId Id);
  size_t size() const { return this->KeyById.size(); }
  bool empty() const { return this->KeyById.empty(); }
  // Arrival of the first request of the first key; InfiniteFuture when empty.
  Instant headArrived() const;

private:
  absl::flat_hash_map<std::string, std::deque<DispatchRequest>> ByKey;
  std::deque<std::string> KeyOrder; // keys with requests, in service order
  absl::flat_hash_map<PoolRequestId, std::string> KeyById;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_QUEUE_H
