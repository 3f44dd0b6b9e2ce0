// Gives the statements of one service connections to its targets, in the order and at the places
// that the placement library decides.
#ifndef TOUCAN_GATEWAY_ROUTER_H
#define TOUCAN_GATEWAY_ROUTER_H

#include "gateway/pool.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::gateway {

// Where this instance stands, and which region each data centre belongs to.
struct InstanceLocation {
  DataCentre Centre;
  std::map<DataCentre, Region> Regions;

  placement::Distance distanceTo(const DataCentre &Other) const;
};

struct Grant {
  TargetLink *Link = nullptr;
  TargetPool *Pool = nullptr;
  // The position that the target's log must hold for this read; empty at a primary that proves its
  // lead by opening a transaction.
  std::optional<LogPosition> Floor;
};

enum class Rejection : uint8_t {
  QueueFull,   // by present speed it would start too late
  NoPrimary,   // the service has no primary, and none comes in time
  StartedLate, // it waited until its limit
};

std::string_view rejectionName(Rejection R);

// What a statement, or a transaction, needs.
struct ConnectionRequest {
  placement::Waiting Wait;              // Id is set by the router
  std::optional<absl::Duration> MaxAge; // reads of bounded age; empty: at the primary
  LogPosition SessionFloor;             // reads see at least this position
  std::vector<TargetId> Tried;          // targets that refused or failed it
  const absl::flat_hash_map<std::string, std::string> *Values = nullptr; // of the session
  std::function<void(const Grant &)> OnGrant;
  std::function<void(Rejection)> OnReject;
};

class ServiceRouter : public PoolOwner {
public:
  ServiceRouter(Loop &InLoop, Codec &Protocol, Metrics &Counters,
                const InstanceLocation &OwnLocation, catalog::ServiceName Name, uint64_t Seed);

  const catalog::ServiceName &name() const { return this->Name; }
  void setLimits(const catalog::ServiceLimits &New, size_t Instances);
  const catalog::ServiceLimits &limits() const { return this->Limits; }

  void addTarget(const catalog::TargetEntry &Entry);
  void changeTarget(const catalog::TargetEntry &Entry);
  void removeTarget(const TargetId &Id);

  // Queues work; may grant or reject at once. The id cancels it.
  placement::WaitingId request(ConnectionRequest W);
  void cancel(placement::WaitingId Id);
  bool isQueued(placement::WaitingId Id) const { return this->Waiting.contains(Id); }
  // Grants what can be granted.
  void dispatch();
  // Every few tens of milliseconds: connections, samples of the primary's position.
  void tick();

  // An answer proved that the target leads: it opened a transaction or accepted a write.
  void onPrimaryConfirmed(TargetPool &Pool, const Answer &Reply, Instant SentAt);
  // The target reported that it leads in a term.
  void onPrimaryReported(const TargetId &Id, Term InTerm);
  // The target refused as it does not lead.
  void onPrimaryDenied(TargetPool &Pool);

  TargetPool *primary();
  TargetPool *pool(const TargetId &Id);
  const std::map<TargetId, std::unique_ptr<TargetPool>> &pools() const { return this->Pools; }
  promotion::PrimarySigns primarySigns() const;
  Term newestTerm() const { return this->NewestTerm; }
  // When a change of primary is expected to be over.
  void setPrimaryExpected(Instant At) { this->PrimaryExpected = At; }
  // New transactions are kept off the primary while it is being replaced.
  void resetFailureDetection();
  // Called when a target was added.
  std::function<void(const TargetPool &)> OnTargetAdded;
  // Called when the primary known to this instance has changed.
  std::function<void(const TargetId &)> OnPrimaryChanged;
  // Longest time that a leaving target may still be sent work.
  void setLeavingLimit(absl::Duration Limit) { this->LeavingLimit = Limit; }

  void onPoolReady(TargetPool &Pool) override;

private:
  struct QueuedRequest {
    ConnectionRequest Request;
  };
  bool usable(const TargetPool &Pool) const;
  placement::QueueLoad loadFor(bool NeedsPrimary);
  bool tryGrant(QueuedRequest &H, std::map<TargetId, uint32_t> &AssignedCounts);
  bool grantAt(QueuedRequest &H, TargetPool &Pool, std::optional<LogPosition> Floor,
               std::map<TargetId, uint32_t> &AssignedCounts);
  std::optional<LogPosition> readFloor(const ConnectionRequest &W) const;
  void rearmExpiryTimer();
  void rejectExpired();
  void samplePrimary();
  void updatePrimary();
  void updateRegularUse();

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  const InstanceLocation &OwnLocation;
  catalog::ServiceName Name;
  catalog::ServiceLimits Limits;
  size_t Instances = 1;
  std::map<TargetId, std::unique_ptr<TargetPool>> Pools;
  std::vector<std::unique_ptr<TargetPool>> Retired; // until their links are closed
  placement::WaitQueue Queue;
  placement::PositionHistory Positions;
  absl::flat_hash_map<placement::WaitingId, QueuedRequest> Waiting;
  std::mt19937_64 Random;
  uint64_t NextId = 1;
  Term NewestTerm;
  std::optional<TargetId> KnownPrimary;
  Instant PrimaryUnknownSince;
  Instant PrimaryExpected = absl::InfiniteFuture();
  Instant SampleSentAt = absl::InfinitePast();
  Instant LastBoundedRead = absl::InfinitePast();
  absl::Duration LeavingLimit = absl::Seconds(5);
  std::map<TargetId, Instant> LeavingSince;
  TimerId ExpiryTimer;
  bool Dispatching = false;
  bool DispatchAgain = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_ROUTER_H
