// Public header of the pool library: queues, target connections, reply relay, confirmation.
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
  size_t QueueLimit = 1000;                          // requests, for each database and class
  size_t ChunkBytes = 32 * 1024;                     // of a reply in one Chunk
  size_t CreditBytes = 256 * 1024;                   // sent ahead of the caller, for each request
  absl::Duration FloorWait = absl::Milliseconds(50); // for a replica that is behind
  absl::Duration ConnectTimeout = absl::Seconds(3);  // to a target
  absl::Duration ConfirmTimeout = absl::Seconds(5);  // of a write by a majority
  absl::Duration IdleInTransaction = absl::Seconds(60); // before a lease is ended
  absl::Duration IdleConnection = absl::Seconds(60);    // before an unused connection is closed
  bool LearnWorkClass =
      true; // the work class of requests without a class rule by their past run times
  uint64_t Seed = 1;
  QueueOrder Order = QueueOrder::ByClassAndCaller;
};

// All calls happen in the pool loop.
class PoolService {
public:
  PoolService(Loop &InLoop, PoolOptions Options, member::SendFn Send, group::Watcher &Groups,
              Metrics &Counters);
  ~PoolService();

  void onView(member::ViewPtr View);
  // exec, credit, cancel and release.
  void onEnvelope(const InstanceId &From, proto::Envelope Message);
  // The state of a group has changed.
  void onGroup(const group::GroupState &State);
  // The link to an instance is lost: its requests are cancelled and its leases end.
  void onPeerLost(const InstanceId &Peer);

  // New requests without a lease are refused as Draining from now on.
  void beginDrain(Instant Deadline);
  // No request, lease or unconfirmed write is left.
  bool drained() const;

  proto::TargetsReply targets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_POOL_H
