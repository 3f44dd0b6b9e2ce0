// Computes how old the data of a replica is, from the history of the primary's log position.
#ifndef TOUCAN_GROUP_FRESHNESS_H
#define TOUCAN_GROUP_FRESHNESS_H

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace toucan::group {

// History of the log positions of one primary in one term.
class Freshness {
public:
  // Drops all samples and starts a new term, which samples of another term do not apply to.
  void reset(Term T);
  Term term() const { return this->InTerm; }
  // Adds a position that the primary reported in answer to a call begun at At. The primary had at
  // most this position at that moment.
  void addSample(Instant At, uint64_t Position);
  // Returns the latest moment at which Position is known to have covered all entries of the
  // primary. InfinitePast when there is none.
  Instant currentAt(uint64_t Position) const;
  size_t size() const { return this->Samples.size(); }

private:
  struct Sample {
    Instant At;
    uint64_t Position = 0;
  };
  Term InTerm;
  std::deque<Sample> Samples; // ascending by time and by position, no position twice
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_FRESHNESS_H
