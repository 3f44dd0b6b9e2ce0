// Computes the log position that a replica must have reached to serve a read with a bound on
// staleness.
#ifndef TOUCAN_PLACEMENT_FRESHNESS_H
#define TOUCAN_PLACEMENT_FRESHNESS_H

#include "base/base.h"

#include <deque>
#include <optional>

namespace toucan::placement {

// Log positions that a target reported while it was known to be the primary. Every commit that was
// acknowledged before a position was requested lies at or before that position.
class PositionHistory {
public:
  // SentAt is the time when the request was sent whose answer proved that the target is the
  // primary.
  void addSample(LogPosition At, Instant SentAt);
  // Returns the oldest position that covers every commit acknowledged before Now - MaxAge; the
  // older it is, the more replicas have reached it. Empty if no sample is recent enough.
  std::optional<LogPosition> floor(Instant Now, absl::Duration MaxAge) const;
  // Replaces a position of an older term by the first position seen in the newest term; returns
  // other positions unchanged. A change of primary rolls back commits that were not acknowledged,
  // so a position of the old term may never be reached again. Every commit acknowledged in the old
  // term lies before the first position seen in the new term.
  LogPosition clampToCurrentTerm(LogPosition At) const;
  // Time of the first sample that shows the primary at or past the position. Infinite future if no
  // sample shows that, infinite past if the oldest one does.
  Instant reachedAt(LogPosition At) const;
  // Time when the newest sample was requested; infinite past without samples.
  Instant newestSampleTime() const;

private:
  struct Sample {
    LogPosition At;
    Instant SentAt;
  };
  std::deque<Sample> Samples; // ordered by SentAt
  LogPosition TermStart;      // first position seen in the newest term
};

// Commits acknowledged before the time returned must be visible to a read that arrives at Now and
// may see data of age MaxAge.
Instant oldestCovered(Instant Now, absl::Duration MaxAge);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_FRESHNESS_H
