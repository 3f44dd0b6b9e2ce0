#include "gateway/read_spill.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace toucan::gateway {

using placement::Distance;
using placement::SideLoad;

namespace {

// Weight of one interval, or one answer, in the moving averages.
constexpr double RateWeight = 0.5;
constexpr double BytesWeight = 0.05;
// A replica that lags by more than half the age bound refuses part of the reads: the position that
// they require is up to half the bound younger than the bound.
constexpr double AllowedLagShare = 0.5;

std::string metricWord(std::string_view Text) {
  std::string Out;
  for (char C : Text)
    Out += absl::ascii_isalnum(static_cast<unsigned char>(C)) ? absl::ascii_tolower(C) : '_';
  return Out;
}

Distance homeDistance(const std::vector<ReadTarget> &Targets) {
  Distance Nearest = Distance::OtherRegion;
  for (const ReadTarget &T : Targets)
    if (!T.Primary)
      Nearest = std::min(Nearest, T.To);
  return Nearest;
}

// Adds a replica to its side. The response time is the mean over the slots; the lag that of the
// freshest replica, which reads can go to.
void addTo(SideLoad &Side, const ReadTarget &T, Instant Now) {
  const placement::TargetStatistics &S = *T.Statistics;
  uint32_t Slots = std::max(1U, T.Slots);
  double Part = static_cast<double>(Slots) / (Side.Slots + Slots);
  Side.To = T.To;
  Side.Response += (S.averageResponse(T.To, Now) - Side.Response) * Part;
  Side.FailureShare += (S.failureShare(Now) - Side.FailureShare) * Part;
  Side.Lag = Side.Slots == 0 ? S.lag(Now) : std::min(Side.Lag, S.lag(Now));
  Side.Answers += S.answers();
  Side.Slots += Slots;
}

} // namespace

ReadSpill::ReadSpill(Metrics &Counters, DataCentre Own, catalog::ServiceName Service,
                     placement::SpillSettings Rules)
    : Counters(Counters), Own(std::move(Own)), Service(std::move(Service)), Control(Rules) {}

void ReadSpill::onArrival(absl::Duration NewObjective, absl::Duration NewMaxAge) {
  bool First = this->Arrived++ == 0;
  this->Objective = First ? NewObjective : std::min(this->Objective, NewObjective);
  this->MaxAge = First ? NewMaxAge : std::min(this->MaxAge, NewMaxAge);
}

const std::pair<std::string, std::string> &ReadSpill::counterNames(const DataCentre &Other) {
  auto [It, New] = this->Names.try_emplace(Other);
  if (New) {
    std::string Pair = absl::StrCat(metricWord(this->Own.Value), "_to_", metricWord(Other.Value));
    It->second = {absl::StrCat("spill_reads_", Pair), absl::StrCat("spill_bytes_", Pair)};
  }
  return It->second;
}

void ReadSpill::onGrant(const DataCentre &To) { this->Counters.add(this->counterNames(To).first); }

void ReadSpill::onAnswer(const DataCentre &From, size_t Count) {
  this->Bytes += (static_cast<double>(Count) - this->Bytes) * (this->Bytes > 0 ? BytesWeight : 1);
  this->Counters.add(this->counterNames(From).second, Count);
}

void ReadSpill::tick(const std::vector<ReadTarget> &Targets, const WaitingReads &Waiting,
                     size_t Instances, Instant Now) {
  this->NextTick = Now + placement::SpillInterval;
  if (this->LastTick != absl::InfinitePast()) {
    double Recent =
        static_cast<double>(this->Arrived) / absl::ToDoubleSeconds(Now - this->LastTick);
    this->Rate += (Recent - this->Rate) * RateWeight;
  }
  this->LastTick = Now;
  this->Arrived = 0;
  placement::SpillInputs In{.Arrivals = this->Rate,
                            .BytesPerRead = this->Bytes,
                            .Senders = std::max<size_t>(1, Instances),
                            .Objective = this->Objective,
                            .Slack =
                                Waiting.Count > 0 ? Waiting.FirstObjective - Now : this->Objective,
                            .AllowedLag = this->MaxAge * AllowedLagShare};
  Distance Home = homeDistance(Targets);
  uint32_t Links = 0;
  absl::Duration Hold;
  for (const ReadTarget &T : Targets) {
    if (T.Primary)
      continue;
    addTo(T.To == Home ? In.Here : In.There[T.Centre], T, Now);
    if (T.To != Home)
      continue;
    Links += T.OpenLinks;
    Hold = std::max(Hold, T.HoldTime);
  }
  In.Wait = Hold * static_cast<double>(Waiting.Count) / std::max(1U, Links);
  for (const placement::SpillChange &C : this->Control.decide(In, Now))
    this->log(C, In);
}

void ReadSpill::log(const placement::SpillChange &C, const placement::SpillInputs &In) const {
  LogEvent(LogLevel::Info, "spill_changed")
      .kv("service", this->Service.Value)
      .kv("from", this->Own.Value)
      .kv("to", C.To.Value)
      .kv("share_percent", std::lround(C.Share * 100))
      .kv("before_percent", std::lround(C.Before * 100))
      .kv("here_ms", absl::ToInt64Milliseconds(C.HereTime))
      .kv("there_ms", absl::ToInt64Milliseconds(C.ThereTime))
      .kv("objective_ms", absl::ToInt64Milliseconds(In.Objective))
      .kv("arrivals_per_10s", std::lround(In.Arrivals * 10))
      .kv("spare_per_10s", std::lround(C.Spare * 10))
      .kv("cost_permille", std::lround(C.Cost * 1000));
}

bool ReadSpill::restrict(const std::vector<ReadTarget> &Targets, double Draw,
                         std::vector<placement::Candidate> &All) const {
  std::optional<DataCentre> To = this->Control.choose(Draw);
  Distance Home = homeDistance(Targets);
  bool Any = false;
  for (size_t I = 0; I < All.size(); ++I) {
    const ReadTarget &T = Targets[I];
    All[I].Excluded = To ? T.Primary || T.Centre != *To : T.To > Home;
    Any = Any || All[I].Excluded;
  }
  return Any;
}

} // namespace toucan::gateway
