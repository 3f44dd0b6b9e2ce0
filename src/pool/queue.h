// Waiting requests of one database and class, with round robin between callers.
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

// What the dispatch decisions need to know of a request.
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

// FIFO for each fairness key, round robin between the keys.
class FairQueue {
public:
  using Predicate = std::function<bool(const DispatchRequest &)>;

  void push(DispatchRequest R);
  // Puts a ticket before all others of its key, and its key before all other keys.
  void pushFront(DispatchRequest R);
  // Offers the first ticket of each key in turn, of at most MaxKeys keys, and takes the first one
  // that is accepted.
  std::optional<DispatchRequest> take(const Predicate &Accept, size_t MaxKeys);
  std::optional<DispatchRequest> remove(PoolRequestId Id);
  size_t size() const { return this->KeyById.size(); }
  bool empty() const { return this->KeyById.empty(); }
  // Arrival of the ticket that is next in turn; InfiniteFuture when empty.
  Instant headArrived() const;

private:
  absl::flat_hash_map<std::string, std::deque<DispatchRequest>> ByKey;
  std::deque<std::string> KeyOrder; // keys with tickets, in the order of service
  absl::flat_hash_map<PoolRequestId, std::string> KeyById;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_QUEUE_H
