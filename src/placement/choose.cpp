#include "placement/choose.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucan::placement {

namespace {

struct DistanceRow {
  absl::Duration InitialResponse; // assumed response time before the first answer
  double CostMs;                  // charge for network traffic
};

constexpr size_t index(Distance D) { return static_cast<size_t>(D); }

const std::array<DistanceRow, 3> &distances() {
  // Traffic between regions costs about a twentieth of what an answer is worth. 25 ms of a
  // one-second objective represent this cost.
  static const std::array<DistanceRow, 3> Rows = {{
      {.InitialResponse = absl::Milliseconds(15), .CostMs = 0},
      {.InitialResponse = absl::Milliseconds(17), .CostMs = 3},
      {.InitialResponse = absl::Milliseconds(50), .CostMs = 25},
  }};
  return Rows;
}

// Assumed number of statements in a transaction, including its begin and end, before the first
// transaction was measured.
constexpr int InitialTransactionStatements = 5;
// Weight of one sample in the moving averages.
constexpr double AnswerWeight = 0.1;
// Half-life with which the average response time returns to its initial value while there are no
// answers, so that a target that was slow is tried again.
constexpr absl::Duration ResponseHalfLife = absl::Seconds(3);
constexpr absl::Duration FailureHalfLife = absl::Seconds(2);
// Number of recent failures that counts as a failure share of one half.
constexpr double FailuresForHalfShare = 4;
// Expected delay of a read that is sent to a failing target: detecting the failure and sending the
// read again.
constexpr double FailureCostMs = 300;
// Time after which a replica that refused a position is asked for it again.
constexpr absl::Duration RefusedPositionRetryDelay = absl::Milliseconds(60);
// Longer lags are recorded as this value.
constexpr absl::Duration MaxLag = absl::Seconds(10);
// Half-life of a lag estimate without new samples. A replica that gets no reads reports no
// position, so it must be tried again soon after it may have caught up.
constexpr absl::Duration LagHalfLife = absl::Milliseconds(300);
// Weight of a sample that is smaller than the lag estimate.
constexpr double LagFallWeight = 0.2;
// Additional cost of a read on the primary for the writes that it delays, as a share of the
// response time.
constexpr double PrimaryCostFactor = 0.6;
// Largest random addition to the cost of a target, as a share of that cost.
constexpr double JitterShare = 0.25;
// A read is also sent to a second target after this multiple of the average response time, within
// the bounds below.
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

void TargetStatistics::onPositionRefused(LogPosition Required, Instant Now) {
  this->RefusedAt = Required;
  this->RefusedUntil = Now + RefusedPositionRetryDelay;
}

void TargetStatistics::onPosition(LogPosition At, Instant Now, const PositionHistory *Primary) {
  this->Position = std::max(this->Position, At);
  if (!Primary)
    return;
  Instant Passed = Primary->reachedAt({.InTerm = At.InTerm, .Position = At.Position + 1});
  // A replica that has reached the newest known position of the primary has no measurable lag.
  absl::Duration NewLag = Passed >= Now ? absl::ZeroDuration() : std::min(Now - Passed, MaxLag);
  this->LagAt = Now;
  // A larger lag is adopted at once; a smaller one is averaged in.
  this->Lag = NewLag > this->Lag ? NewLag : this->Lag + (NewLag - this->Lag) * LagFallWeight;
}

absl::Duration TargetStatistics::averageResponse(Distance To, Instant Now) const {
  absl::Duration Guess = distances()[index(To)].InitialResponse;
  if (this->Answers == 0)
    return Guess;
  double Decay = halfLifeDecay(Now - this->LastAnswer, ResponseHalfLife);
  return absl::Milliseconds(this->AverageMs) * Decay + Guess * (1 - Decay);
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
    if (C.Excluded)
      continue;
    if (std::find(Required.Tried.begin(), Required.Tried.end(), C.Id) != Required.Tried.end())
      continue;
    if (Required.Floor && !C.Primary &&
        !C.Statistics->likelyHasPosition(*Required.Floor, Now, Required.Primary))
      continue;
    double Answer =
        absl::ToDoubleMilliseconds(C.Statistics->averageResponse(C.DistanceToTarget, Now));
    double Queue = static_cast<double>(C.Running) / std::max(1U, C.Slots);
    // Without an idle connection the read waits until one is opened or becomes idle.
    double Open = std::max(Answer, absl::ToDoubleMilliseconds(C.ConnectTime));
    double Wait = C.Idle > 0 ? 0 : C.MayOpenConnection ? Open : 2 * Open;
    double Ms = Answer * (1 + Queue) + Wait + distances()[index(C.DistanceToTarget)].CostMs +
                C.Statistics->failureShare(Now) * FailureCostMs +
                (C.Primary ? Answer * PrimaryCostFactor : 0);
    // Derives a different jitter for each target from the one value given.
    double Spread = std::fmod(Jitter * static_cast<double>(I + 1) * 7.31, 1.0);
    Ms *= 1 + JitterShare * Spread;
    if (!Best || Ms < BestMs) {
      Best = I;
      BestMs = Ms;
    }
  }
  return Best;
}

absl::Duration hedgeDelay(const TargetStatistics &Statistics, Distance To, Instant Now) {
  return std::clamp(Statistics.averageResponse(To, Now) * HedgeResponseMultiple, HedgeMin,
                    HedgeMax);
}

} // namespace toucan::placement
