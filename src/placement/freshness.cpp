#include "placement/freshness.h"

#include <algorithm>

namespace toucan::placement {

namespace {

// Samples closer together than this replace each other, which bounds memory use.
constexpr absl::Duration SampleSpacing = absl::Milliseconds(20);
// Older samples are dropped; routes that allow a greater age use the oldest sample kept.
constexpr absl::Duration LongestAge = absl::Seconds(10);
// Subtracted from the permitted age, because clocks of two machines drift and sending takes time.
constexpr absl::Duration AgeMargin = absl::Milliseconds(30);

} // namespace

void PositionHistory::addSample(LogPosition At, Instant SentAt) {
  if (!this->Samples.empty() && SentAt <= this->Samples.back().SentAt) {
    // Answers may arrive in a different order than their requests were sent. The answer to a later
    // request is the stronger proof.
    return;
  }
  if (At.InTerm < this->TermStart.InTerm)
    return;
  if (At.InTerm > this->TermStart.InTerm)
    this->TermStart = At;
  if (this->Samples.size() >= 2 &&
      SentAt - this->Samples[this->Samples.size() - 2].SentAt < SampleSpacing)
    this->Samples.pop_back();
  this->Samples.push_back({.At = At, .SentAt = SentAt});
  while (this->Samples.front().SentAt + LongestAge < SentAt)
    this->Samples.pop_front();
}

Instant oldestCovered(Instant Now, absl::Duration MaxAge) {
  return Now - std::max(MaxAge - AgeMargin, absl::ZeroDuration());
}

std::optional<LogPosition> PositionHistory::floor(Instant Now, absl::Duration MaxAge) const {
  Instant Oldest = oldestCovered(Now, MaxAge);
  auto It = std::lower_bound(this->Samples.begin(), this->Samples.end(), Oldest,
                             [](const Sample &S, Instant T) { return S.SentAt < T; });
  if (It == this->Samples.end())
    return std::nullopt;
  return this->clampToCurrentTerm(It->At);
}

LogPosition PositionHistory::clampToCurrentTerm(LogPosition At) const {
  return At.InTerm < this->TermStart.InTerm ? this->TermStart : At;
}

Instant PositionHistory::reachedAt(LogPosition At) const {
  auto It = std::lower_bound(this->Samples.begin(), this->Samples.end(), At,
                             [](const Sample &S, LogPosition P) { return S.At < P; });
  if (It == this->Samples.end())
    return absl::InfiniteFuture();
  return It == this->Samples.begin() ? absl::InfinitePast() : It->SentAt;
}

Instant PositionHistory::newestSampleTime() const {
  return this->Samples.empty() ? absl::InfinitePast() : this->Samples.back().SentAt;
}

} // namespace toucan::placement
