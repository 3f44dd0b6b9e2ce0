// Selects the target of a read from the statistics that this instance keeps about each target.
#ifndef TOUCAN_PLACEMENT_CHOOSE_H
#define TOUCAN_PLACEMENT_CHOOSE_H

#include "base/base.h"
#include "placement/freshness.h"

#include <cstdint>
#include <optional>
#include <span>

namespace toucan::placement {

enum class Distance : uint8_t { SameCentre, SameRegion, OtherRegion };

// Statistics about one target, derived from its answers.
class TargetStatistics {
public:
  // The target answered a request after Elapsed.
  void onAnswer(absl::Duration Elapsed, Instant Now);
  // The target failed a statement, or the connection was lost while it ran one.
  void onFailure(Instant Now);
  // The target refused a read because its log lacks the position Required.
  void onPositionRefused(LogPosition Required, Instant Now);
  // The target's log has reached the position At. Primary is the position history of the primary,
  // from which the lag of a replica is computed; null if the target is the primary.
  void onPosition(LogPosition At, Instant Now, const PositionHistory *Primary);

  // A single statement, or a whole transaction, held a connection for the duration Held.
  void onConnectionHeld(absl::Duration Held, bool Transaction);
  // Average time for which a connection is held. Without a sample it is estimated as the response
  // time, or as a multiple of it for a transaction.
  absl::Duration averageHoldTime(bool Transaction, Distance To, Instant Now) const;

  // Average response time; decays to the initial value while there are no answers.
  absl::Duration averageResponse(Distance To, Instant Now) const;
  // Estimate of the share of recent statements that failed, from 0 to 1.
  double failureShare(Instant Now) const;
  uint64_t answers() const { return this->Answers; }
  // Estimated replication lag behind the primary.
  absl::Duration lag(Instant Now) const;
  // Returns false if a read that requires the position Needed is likely to be refused.
  bool likelyHasPosition(LogPosition Needed, Instant Now, const PositionHistory *Primary) const;

private:
  double AverageMs = 0;
  uint64_t Answers = 0;
  struct HoldTime {
    double AverageMs = 0;
    uint64_t Count = 0;
  };
  HoldTime SingleHolds;
  HoldTime TransactionHolds;
  double Failures = 0;
  Instant LastAnswer = absl::InfinitePast();
  Instant LastFailure = absl::InfinitePast();
  absl::Duration Lag;
  Instant LagAt = absl::InfinitePast();
  LogPosition Position;
  LogPosition RefusedAt;                       // position required by the read refused last
  Instant RefusedUntil = absl::InfinitePast(); // reads that require RefusedAt are not sent before
};

struct Candidate {
  TargetId Id;
  const TargetStatistics *Statistics = nullptr;
  bool Primary = false;
  Distance DistanceToTarget = Distance::SameCentre;
  uint32_t Slots = 1;
  uint32_t Running = 0;           // statements of this instance that run on the target
  uint32_t Idle = 0;              // idle open connections
  bool MayOpenConnection = false; // the limit allows another connection
  bool Excluded = false;          // the read goes to another data centre, see SpillController
  // Time of opening a connection where that is usual; zero where connections stay open.
  absl::Duration ConnectTime;
};

struct ReadRequirements {
  std::optional<LogPosition> Floor; // position that the target's log must have reached
  std::span<const TargetId> Tried;  // targets that have refused or failed this read
  const PositionHistory *Primary = nullptr;
};

// Selects the target with the lowest expected cost for a read; returns its index in All, or nothing
// if no target may serve the read. The cost is the expected response time plus a charge for traffic
// between regions and for the slots of the primary, which writes need. Jitter in [0, 1) spreads the
// reads of instances that have the same statistics. Load pattern: a load peak in one data centre,
// where the queue of the near replica costs more than the distance to the next replica.
std::optional<size_t> chooseForRead(std::span<const Candidate> All,
                                    const ReadRequirements &Required, Instant Now, double Jitter);

// Time without an answer after which a read is also sent to a second target.
absl::Duration hedgeDelay(const TargetStatistics &Statistics, Distance To, Instant Now);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_CHOOSE_H
