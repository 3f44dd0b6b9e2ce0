// Which log position a replica must have reached to serve a read of bounded age.
#ifndef TOUCAN_PLACEMENT_FRESHNESS_H
#define TOUCAN_PLACEMENT_FRESHNESS_H

#include "base/base.h"

#include <deque>
#include <optional>

namespace toucan::placement {

// Positions that a primary reported while it was known to lead. Every commit acknowledged before
// the moment at which a position was asked for lies at or before that position.
class PositionHistory {
public:
  // AskedAt: when the request was sent whose answer proved that the target leads.
  void addSample(LogPosition At, Instant AskedAt);
  // The oldest position that covers every commit acknowledged before Now - MaxAge: the older it is,
  // the more replicas have reached it. Empty if no sample is young enough.
  std::optional<LogPosition> floor(Instant Now, absl::Duration MaxAge) const;
  // The position to ask for in place of one of an older term. A change of primary rolls back what
  // was not acknowledged, so that a position of the old term may never be reached again; every
  // commit that was acknowledged in it lies before the first position seen in the new term.
  LogPosition clampToCurrentTerm(LogPosition At) const;
  // When the primary is first known to have held a position; infinite future if it is not known to,
  // infinite past if it held it before the oldest sample.
  Instant reachedAt(LogPosition At) const;
  // When the newest sample was asked for.
  Instant newestSampleTime() const;

private:
  struct Sample {
    LogPosition At;
    Instant AskedAt;
  };
  std::deque<Sample> Samples; // by AskedAt
  LogPosition TermStart;      // first position seen in the newest term
};

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_FRESHNESS_H
