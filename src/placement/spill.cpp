#include "placement/spill.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucan::placement {

namespace {

// Round trips that the response time contains, by distance.
constexpr std::array<double, 3> RoundTripMs = {0.4, 2.8, 40};
constexpr double LeastServiceMs = 1;
// An answer is expected in time up to this share of the objective, and late at the whole of it.
constexpr double SurelyInTime = 0.25;
// Utilisation up to which a data centre takes reads of others, or its own ones back. Leaves room
// for the growth of the arrivals between two decisions.
constexpr double FullUtilisation = 0.8;
// Part of the spare capacity that a first raise may use. Without answers the load there is not
// known; this part fits beside a load of 60 %.
constexpr double FirstPart = 0.25;
// Largest raise of one decision, as a share of the arrivals.
constexpr double LargestRaise = 0.25;
// Answers from there before the next raise: the moving average of the response time has then taken
// in two fifths of a change.
constexpr uint64_t AnswersForRaise = 5;
// Intervals for which the growth of the time here is continued.
constexpr int ForecastIntervals = 2;
// Largest part of the reads sent away that returns with one decision.
constexpr double LargestReturn = 0.2;
constexpr double OverloadFactor = 0.5;
constexpr double LeastShare = 0.01;
constexpr double ReportedChange = 0.1;
// More failures than in one of five statements.
constexpr double MaxFailureShare = 0.2;
// The least response time seen grows by this factor with each decision, so that a target that has
// become slower for good does not count as loaded for ever: doubles in three minutes.
constexpr double UnloadedGrowth = 1.002;
constexpr absl::Duration LongestBlock = absl::Seconds(60);

double lateness(absl::Duration Time, absl::Duration Objective) {
  if (Objective <= absl::ZeroDuration())
    return 1;
  double Ratio = absl::FDivDuration(Time, Objective);
  return std::clamp((Ratio - SurelyInTime) / (1 - SurelyInTime), 0.0, 1.0);
}

// Utilisation of a queue with Slots servers in which the mean wait is Wait times the service time;
// inverts Sakasegawa's approximation of that wait.
double utilisation(double Wait, uint32_t Slots) {
  double Exponent = std::sqrt(2.0 * (Slots + 1)) - 1;
  double Low = 0;
  double High = 1;
  for (int I = 0; I < 20; ++I) {
    double U = (Low + High) / 2;
    (std::pow(U, Exponent) / (Slots * (1 - U)) < Wait ? Low : High) = U;
  }
  return Low;
}

absl::Duration withoutNetwork(const SideLoad &Side) {
  double Ms = absl::ToDoubleMilliseconds(Side.Response) - RoundTripMs[static_cast<size_t>(Side.To)];
  return absl::Milliseconds(std::max(Ms, LeastServiceMs));
}

// Unloaded is the least response time seen without network, and is updated.
double utilisation(const SideLoad &Side, absl::Duration &Unloaded) {
  absl::Duration Service = withoutNetwork(Side);
  Unloaded = std::min(Unloaded * UnloadedGrowth, Service);
  return utilisation(absl::FDivDuration(Service, Unloaded) - 1, std::max(1U, Side.Slots));
}

} // namespace

SpillController::Estimate SpillController::estimate(const SpillInputs &In, const SideLoad &Side,
                                                    Flow &F) const {
  double Utilisation = utilisation(Side, F.Unloaded);
  double Capacity = Side.Slots / absl::ToDoubleSeconds(F.Unloaded);
  double Price =
      Side.To == Distance::OtherRegion ? this->Rules.RegionPrice : this->Rules.CentrePrice;
  return {.Cost = Price * In.BytesPerRead / 1e6,
          .Late = lateness(Side.Response, In.Objective),
          .Spare = Capacity * std::max(0.0, FullUtilisation - Utilisation),
          .Usable =
              Side.Slots > 0 && Side.Lag <= In.AllowedLag && Side.FailureShare <= MaxFailureShare};
}

void SpillController::lower(const SpillInputs &In, const Estimate *E, double UtilisationHere,
                            double Sent, Flow &F, Instant Now) const {
  if (F.Rate <= 0)
    return;
  bool Usable = E && E->Usable;
  if (!Usable || E->Late > 0 || E->Spare <= 0) {
    // Blocked for longer each time, because the response time that is assumed without answers looks
    // good again after a few seconds.
    bool Stood = Now - F.RaisedAt > 2 * this->Rules.MinStay;
    F.Block = Stood || F.Block <= absl::ZeroDuration() ? this->Rules.MinStay
                                                       : std::min(F.Block * 2, LongestBlock);
    F.BlockedUntil = Now + F.Block;
    F.Rate = Usable ? F.Rate * OverloadFactor : 0;
  } else if (Now - F.RaisedAt >= this->Rules.MinStay) {
    // All instances of this data centre take back the same part at once.
    double Kept = std::max(In.Arrivals - Sent, 0.0);
    double Room = Kept * (FullUtilisation / std::max(UtilisationHere, LeastShare) - 1);
    double Back = LargestReturn * F.Rate;
    F.Rate -= E->Cost >= 1 ? Back : std::clamp(Room, 0.0, Back);
  }
  if (F.Rate < LeastShare * In.Arrivals)
    F.Rate = 0;
}

// Raises the share of the data centre with the highest gain; among equal ones, of the one that
// takes the most. One that can take none must not be chosen: it would keep the reads from the
// others.
void SpillController::raise(const SpillInputs &In, const std::map<DataCentre, Estimate> &Known,
                            double LateHere, double Sent, Instant Now) {
  std::optional<DataCentre> Best;
  double BestGain = 0;
  double BestStep = 0;
  for (const auto &[To, E] : Known) {
    const Flow &F = this->Flows[To];
    double Gain = LateHere - E.Late - E.Cost;
    bool Seen = F.Rate <= 0 || In.There.at(To).Answers >= F.AnswersAtRaise + AnswersForRaise;
    if (!E.Usable || E.Late > 0 || !Seen || Now < F.BlockedUntil || Gain <= 0)
      continue;
    double Part = E.Spare / static_cast<double>(std::max<size_t>(1, In.Senders));
    if (F.Rate <= 0)
      Part *= FirstPart;
    double Step =
        std::min({Part, LargestRaise * In.Arrivals, this->Rules.MaxShare * In.Arrivals - Sent});
    bool Better = Gain > BestGain || (Gain == BestGain && Step > BestStep);
    if (Step <= 0 || Step < LeastShare * In.Arrivals || !Better)
      continue;
    Best = To;
    BestGain = Gain;
    BestStep = Step;
  }
  if (!Best)
    return;
  Flow &F = this->Flows[*Best];
  F.Rate += BestStep;
  F.RaisedAt = Now;
  F.AnswersAtRaise = In.There.at(*Best).Answers;
}

std::vector<SpillChange> SpillController::decide(const SpillInputs &In, Instant Now) {
  std::vector<SpillChange> Out;
  if (Now < this->NextDecision)
    return Out;
  this->NextDecision = Now + SpillInterval;
  absl::Duration Present = In.Here.Response + In.Wait;
  // A queue that grows will have grown further when a decision takes effect.
  absl::Duration Growth = std::max(Present - this->LastHereTime, absl::ZeroDuration());
  absl::Duration HereTime = Present + Growth * ForecastIntervals;
  this->LastHereTime = Present;
  double LateHere =
      std::max(lateness(HereTime, In.Objective), lateness(In.Here.Response, In.Slack));
  double UtilisationHere = utilisation(In.Here, this->UnloadedHere);
  std::map<DataCentre, Estimate> Known;
  for (const auto &[To, Side] : In.There)
    Known[To] = this->estimate(In, Side, this->Flows[To]);
  for (auto &[To, F] : this->Flows) {
    auto E = Known.find(To);
    this->lower(In, E == Known.end() ? nullptr : &E->second, UtilisationHere, this->sent(), F, Now);
  }
  this->raise(In, Known, LateHere, this->sent(), Now);
  double Total = 0;
  for (auto &[To, F] : this->Flows) {
    F.Share = In.Arrivals > 0 ? std::min(F.Rate / In.Arrivals, this->Rules.MaxShare - Total) : 0;
    Total += F.Share;
    bool Switched = (F.Share > 0) != (F.Reported > 0);
    if (!Switched && std::abs(F.Share - F.Reported) < ReportedChange)
      continue;
    SpillChange C{.To = To, .Share = F.Share, .Before = F.Reported, .HereTime = HereTime};
    if (auto E = Known.find(To); E != Known.end()) {
      C.ThereTime = In.There.at(To).Response;
      C.Spare = E->second.Spare;
      C.Cost = E->second.Cost;
    }
    Out.push_back(C);
    F.Reported = F.Share;
  }
  return Out;
}

double SpillController::sent() const {
  double Sum = 0;
  for (const auto &[To, F] : this->Flows)
    Sum += F.Rate;
  return Sum;
}

double SpillController::share(const DataCentre &To) const {
  auto It = this->Flows.find(To);
  return It == this->Flows.end() ? 0 : It->second.Share;
}

std::optional<DataCentre> SpillController::choose(double Random) const {
  for (const auto &[To, F] : this->Flows) {
    if (Random < F.Share)
      return To;
    Random -= F.Share;
  }
  return std::nullopt;
}

} // namespace toucan::placement
