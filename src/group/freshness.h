// How old the data of a replica is, from the history of the primary's position.
#ifndef TOUCAN_GROUP_FRESHNESS_H
#define TOUCAN_GROUP_FRESHNESS_H

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace toucan::group {

// Positions of one primary in one term.
class Freshness {
public:
  // Forgets everything: samples of another term say nothing about this one.
  void reset(Term T);
  Term term() const { return this->InTerm; }
  // The primary, asked at At, reported Position: at At it had at most this position.
  void sample(Instant At, uint64_t Position);
  // Latest moment at which a replica that has applied Position had everything of the primary.
  Instant currentAt(uint64_t Position) const;
  size_t size() const { return this->Samples.size(); }

private:
  struct Sample {
    Instant At;
    uint64_t Position = 0;
  };
  Term InTerm;
  std::deque<Sample> Samples; // both members ascend; positions differ
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_FRESHNESS_H
