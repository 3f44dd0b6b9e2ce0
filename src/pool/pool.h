// Public interface of the pool library: queues, target connections, reply relay and confirmation.
#ifndef TOUCAN_POOL_POOL_H
#define TOUCAN_POOL_POOL_H

#include "base/base.h"
#include "group/group.h"
#include "member/member.h"

#include <cstddef>
#include <memory>
#include <string>

namespace toucan::pool {

struct PoolOptions {
  InstanceId Self;
  std::string TargetUser;
  std::string TargetPassword;
  size_t QueueLimit = 1000;        // requests per database and work class
  size_t ChunkBytes = 32 * 1024;   // reply bytes per Chunk
  size_t CreditBytes = 256 * 1024; // reply bytes per request sent before the caller grants credit
  absl::Duration FloorWait = absl::Milliseconds(50); // wait for a replica that is behind
  absl::Duration ConnectTimeout = absl::Seconds(3);  // of a connection attempt to a target
  absl::Duration ConfirmTimeout = absl::Seconds(5);  // of the confirmation of a write by a majority
  absl::Duration IdleInTransaction = absl::Seconds(60); // before a lease is ended
  absl::Duration IdleConnection = absl::Seconds(60);    // before an unused connection is closed
  // Derive the work class of requests without a class rule from past run times.
  bool LearnWorkClass = true;
  uint64_t Seed = 1;
  QueueOrder Order = QueueOrder::ByClassAndCaller;
};

// All methods must be called in the pool loop.
class PoolService {
public:
  PoolService(Loop &InLoop, PoolOptions Options, member::SendFn Send, group::Watcher &Groups,
              Metrics &Counters);
  ~PoolService();

  void onView(member::ViewPtr View);
  // Handles exec, credit, cancel and release messages.
  void onEnvelope(const InstanceId &From, proto::Envelope Message);
  // Applies a changed group state.
  void onGroup(const group::GroupState &State);
  // Cancels the requests and ends the leases of an instance whose link is lost.
  void onPeerLost(const InstanceId &Peer);

  // Refuses new requests without a lease as Draining; ends the remaining work at the deadline.
  void beginDrain(Instant Deadline);
  // True if no request, lease or unconfirmed write is left.
  bool drained() const;

  proto::TargetsReply targets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_POOL_H
