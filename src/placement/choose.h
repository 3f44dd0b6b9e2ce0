// Choice of the target for a statement, from what this instance has learned of each target.
#ifndef TOUCAN_PLACEMENT_CHOOSE_H
#define TOUCAN_PLACEMENT_CHOOSE_H

#include "base/base.h"
#include "placement/freshness.h"

#include <cstdint>
#include <optional>
#include <span>

namespace toucan::placement {

enum class Distance : uint8_t { SameCentre, SameRegion, OtherRegion };

// What answers have taught about one target.
class TargetStatistics {
public:
  // A connection was opened in this time; the round trip is at most that.
  void onAnswer(absl::Duration Elapsed, Instant Now);
  // The target failed a statement, or was lost while it ran one.
  void onFailure(Instant Now);
  // The target refused a read for lack of a position.
  void onPositionRefused(LogPosition Asked, Instant Now);
  // The target's log has reached a position. Primary: the positions of the primary, from which the
  // lag of a replica follows; null at a primary.
  void onPosition(LogPosition At, Instant Now, const PositionHistory *Primary);

  // A connection was held by a statement, or by a whole transaction, for this time.
  void onConnectionHeld(absl::Duration Held, bool Transaction);
  // Average time for which a connection is held; before one was, the response time, or several of
  // them for a transaction.
  absl::Duration averageHoldTime(bool Transaction, Distance To, Instant Now) const;

  // Average time of an answer; falls back to the initial value while nothing is heard.
  absl::Duration averageResponse(Distance To, Instant Now) const;
  // Share of recent statements that failed, 0 to 1.
  double failureShare(Instant Now) const;
  // Time by which the target's log trails that of the primary.
  absl::Duration lag(Instant Now) const;
  // False if a read that needs the position is likely to be refused.
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
  LogPosition RefusedAt;                       // position asked for in the last refusal
  Instant RefusedUntil = absl::InfinitePast(); // reads that need it are not sent before
};

struct Candidate {
  TargetId Id;
  const TargetStatistics *Statistics = nullptr;
  bool Primary = false;
  Distance DistanceToTarget = Distance::SameCentre;
  uint32_t Slots = 1;
  uint32_t Running = 0;           // statements of this instance at the target
  uint32_t Idle = 0;              // open connections without work
  bool MayOpenConnection = false; // another connection may be opened
};

struct ReadRequirements {
  std::optional<LogPosition> Floor; // the log must hold it
  std::span<const TargetId> Tried;  // targets that refused or failed this read already
  const PositionHistory *Primary = nullptr;
};

// Picks the target of a read: the lowest expected time, with a price on bytes between regions and
// on the primary's slots, which writes need. Jitter in [0, 1) spreads instances that see the same
// picture. Load pattern: the crest of a wave in one zone, where the near replica's queue grows
// past the distance to the next one. Empty if no target may serve it.
std::optional<size_t> chooseForRead(std::span<const Candidate> All,
                                    const ReadRequirements &Required, Instant Now, double Jitter);

// When a read that has no answer is sent to a second target as well.
absl::Duration hedgeDelay(const TargetStatistics &Record, Distance To, Instant Now);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_CHOOSE_H
