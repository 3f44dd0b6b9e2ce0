#include "group/freshness.h"

#include <algorithm>

namespace toucan::group {

namespace {

// A sample takes 16 B. At one sample in 300 ms all samples of the last 38 s are kept.
constexpr size_t MaxSamples = 256;

} // namespace

void Freshness::reset(Term T) {
  this->InTerm = T;
  this->Samples.clear();
}

void Freshness::addSample(Instant At, uint64_t Position) {
  if (!this->Samples.empty()) {
    Sample &Last = this->Samples.back();
    if (At < Last.At || Position < Last.Position)
      return;
    if (Position == Last.Position) {
      Last.At = At;
      return;
    }
  }
  this->Samples.push_back({.At = At, .Position = Position});
  if (this->Samples.size() <= MaxSamples)
    return;
  // Drops every second sample of the older half. Ages that rest on a dropped sample become too
  // high, never too low.
  std::deque<Sample> Kept;
  for (size_t I = 0; I < this->Samples.size(); ++I)
    if (I >= MaxSamples / 2 || I % 2 == 0)
      Kept.push_back(this->Samples[I]);
  this->Samples = std::move(Kept);
}

Instant Freshness::currentAt(uint64_t Position) const {
  auto It = std::upper_bound(this->Samples.begin(), this->Samples.end(), Position,
                             [](uint64_t P, const Sample &S) { return P < S.Position; });
  return It == this->Samples.begin() ? absl::InfinitePast() : std::prev(It)->At;
}

} // namespace toucan::group
