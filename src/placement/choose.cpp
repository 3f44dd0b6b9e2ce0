#include "placement/choose.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucan::placement {

namespace {

struct DistanceRow {
  absl::Duration InitialResponse; // of an answer, before one was seen
  double CostMs;                  // added for the bytes that cross
};

constexpr size_t index(Distance D) { return static_cast<size_t>(D); }

const std::array<DistanceRow, 3> &distances() {
  // Bytes between regions cost about a twentieth of what an answer is worth, which is what 25 ms
  // of a one-second objective stand for.
  static const std::array<DistanceRow, 3> Rows = {{
      {.InitialResponse = absl::Milliseconds(15), .CostMs = 0},
      {.InitialResponse = absl::Milliseconds(17), .CostMs = 3},
      {.InitialResponse = absl::Milliseconds(50), .CostMs = 25},
  }};
  return Rows;
}

// Statements of a transaction, with its begin and its end, before one was seen.
constexpr int InitialTransactionStatements = 5;
// Weight of one answer in the average.
constexpr double AnswerWeight = 0.1;
// Time in which an average returns half-way to the first guess while nothing is heard, so that a
// target that was slow once is tried again.
constexpr absl::Duration ResponseHalfLife = absl::Seconds(3);
// Time in which the failures counted are halved.
constexpr absl::Duration FailureHalfLife = absl::Seconds(2);
// Failures that count as a failure share of one half.
constexpr double FailuresForHalfShare = 4;
// Expected loss of a read sent to a target that fails: the time to notice and to send it again.
constexpr double FailureCostMs = 300;
// A replica that refused a position is asked for it again after this time.
constexpr absl::Duration RefusedPositionRetryDelay = absl::Milliseconds(60);
// Longest lag that is told apart from longer ones.
constexpr absl::Duration MaxLag = absl::Seconds(10);
// Time in which a lag that is not seen again is halved: a replica that gets no reads tells nothing,
// and must be tried again soon after it has caught up.
constexpr absl::Duration LagHalfLife = absl::Milliseconds(300);
// Weight of one smaller lag in the estimate.
constexpr double LagFallWeight = 0.2;
// Share of the response time that a read at the primary is charged for the writes it delays.
constexpr double PrimaryCostFactor = 0.6;
// Part of the expected time that is random.
constexpr double JitterShare = 0.25;
// A second target is asked after this many average answers, and within these bounds.
constexpr double HedgeResponseMultiple = 6;
constexpr absl::Duration HedgeMin = absl::Milliseconds(200);
constexpr absl::Duration HedgeMax = absl::Milliseconds(500);

double halfLifeDecay(absl::Duration Since, absl::Duration Half) {
  return std::exp2(-absl::FDivDuration(std::max(Since, absl::ZeroDuration()), Half));
}

} // namespace

void TargetStatistics::onAnswer(absl::Duration Elapsed, Instant Now) {
  double Ms = absl::ToDoubleMilliseconds(Elapsed);
  double Weight = std::max(AnswerWeight, 1.0 / static_cast<double>(this->Answers + 1));
  this->AverageMs += Weight * (Ms - this->AverageMs);
  ++this->Answers;
  this->LastAnswer = Now;
}

void TargetStatistics::onConnectionHeld(absl::Duration Held, bool Transaction) {
  HoldTime &H = Transaction ? this->TransactionHolds : this->SingleHolds;
  double Weight = std::max(AnswerWeight, 1.0 / static_cast<double>(++H.Count));
  H.AverageMs += Weight * (absl::ToDoubleMilliseconds(Held) - H.AverageMs);
}

absl::Duration TargetStatistics::averageHoldTime(bool Transaction, Distance To, Instant Now) const {
  const HoldTime &H = Transaction ? this->TransactionHolds : this->SingleHolds;
  if (H.Count > 0)
    return absl::Milliseconds(H.AverageMs);
  return this->averageResponse(To, Now) * (Transaction ? InitialTransactionStatements : 1);
}

void TargetStatistics::onFailure(Instant Now) {
  this->Failures = this->Failures * halfLifeDecay(Now - this->LastFailure, FailureHalfLife) + 1;
  this->LastFailure = Now;
}

void TargetStatistics::onPositionRefused(LogPosition Asked, Instant Now) {
  this->RefusedAt = Asked;
  this->RefusedUntil = Now + RefusedPositionRetryDelay;
}

void TargetStatistics::onPosition(LogPosition At, Instant Now, const PositionHistory *Primary) {
  this->Position = std::max(this->Position, At);
  if (!Primary)
    return;
  Instant Passed = Primary->reachedAt({.InTerm = At.InTerm, .Position = At.Position + 1});
  // A replica that holds all that is known of the primary trails it by nothing that can be seen.
  absl::Duration NewLag = Passed >= Now ? absl::ZeroDuration() : std::min(Now - Passed, MaxLag);
  this->LagAt = Now;
  // A growing lag is believed at once, a shrinking one slowly.
  this->Lag = NewLag > this->Lag ? NewLag : this->Lag + (NewLag - this->Lag) * LagFallWeight;
}

absl::Duration TargetStatistics::averageResponse(Distance To, Instant Now) const {
  absl::Duration Guess = distances()[index(To)].InitialResponse;
  if (this->Answers == 0)
    return Guess;
  double Kept = halfLifeDecay(Now - this->LastAnswer, ResponseHalfLife);
  return absl::Milliseconds(this->AverageMs) * Kept + Guess * (1 - Kept);
}

double TargetStatistics::failureShare(Instant Now) const {
  double Recent = this->Failures * halfLifeDecay(Now - this->LastFailure, FailureHalfLife);
  return Recent / (Recent + FailuresForHalfShare);
}

absl::Duration TargetStatistics::lag(Instant Now) const {
  return this->Lag * halfLifeDecay(Now - this->LagAt, LagHalfLife);
}

bool TargetStatistics::likelyHasPosition(LogPosition Needed, Instant Now,
                                         const PositionHistory *Primary) const {
  if (this->Position >= Needed)
    return true;
  if (Now < this->RefusedUntil && Needed >= this->RefusedAt)
    return false;
  return !Primary || Now - Primary->reachedAt(Needed) >= this->lag(Now);
}

std::optional<size_t> chooseForRead(std::span<const Candidate> All,
                                    const ReadRequirements &Required, Instant Now, double Jitter) {
  std::optional<size_t> Best;
  double BestMs = 0;
  for (size_t I = 0; I < All.size(); ++I) {
    const Candidate &C = All[I];
    if (std::find(Required.Tried.begin(), Required.Tried.end(), C.Id) != Required.Tried.end())
      continue;
    if (Required.Floor && !C.Primary &&
        !C.Statistics->likelyHasPosition(*Required.Floor, Now, Required.Primary))
      continue;
    double Answer =
        absl::ToDoubleMilliseconds(C.Statistics->averageResponse(C.DistanceToTarget, Now));
    double Queue = static_cast<double>(C.Running) / std::max(1U, C.Slots);
    // Without an idle connection the read waits for one to become free or to be opened.
    double Wait = C.Idle > 0 ? 0 : C.MayOpenConnection ? Answer : 2 * Answer;
    double Ms = Answer * (1 + Queue) + Wait + distances()[index(C.DistanceToTarget)].CostMs +
                C.Statistics->failureShare(Now) * FailureCostMs +
                (C.Primary ? Answer * PrimaryCostFactor : 0);
    // A different part of the jitter for each target, from the one number given.
    double Spread = std::fmod(Jitter * static_cast<double>(I + 1) * 7.31, 1.0);
    Ms *= 1 + JitterShare * Spread;
    if (!Best || Ms < BestMs) {
      Best = I;
      BestMs = Ms;
    }
  }
  return Best;
}

absl::Duration hedgeDelay(const TargetStatistics &Record, Distance To, Instant Now) {
  return std::clamp(Record.averageResponse(To, Now) * HedgeResponseMultiple, HedgeMin, HedgeMax);
}

} // namespace toucan::placement
