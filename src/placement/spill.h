// Decides which share of a service's reads an instance sends to another data centre. Sending costs
// money and distance, and pays while the targets nearby answer too late.
#ifndef TOUCAN_PLACEMENT_SPILL_H
#define TOUCAN_PLACEMENT_SPILL_H

#include "placement/choose.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace toucan::placement {

// Prices relate to the worth of one answer within its objective.
struct SpillSettings {
  double CentrePrice = 0; // of a megabyte between data centres of a region
  double RegionPrice = 0; // of a megabyte between regions
  double MaxShare = 0;    // largest share of the reads that is sent away, from 0 to 1
  absl::Duration MinStay; // a share is not lowered earlier than this after it was raised
};

// The replicas of a service in one data centre, as this instance sees them.
struct SideLoad {
  Distance To = Distance::SameCentre;
  uint32_t Slots = 0;      // statements that they run concurrently
  absl::Duration Response; // average time to an answer, with network and queue at the target
  uint64_t Answers = 0;    // number of answers so far
  absl::Duration Lag;
  double FailureShare = 0;
};

struct SpillInputs {
  double Arrivals = 0;      // reads per second at this instance
  double BytesPerRead = 0;  // request and answer
  size_t Senders = 1;       // live instances that may send reads to the same data centre
  absl::Duration Objective; // an answer after this time is late
  absl::Duration Wait;      // expected wait for a connection to Here
  // Least time that a waiting read has left until its objective; Objective if none waits.
  absl::Duration Slack;
  absl::Duration AllowedLag; // replicas that lag more refuse reads
  SideLoad Here;             // where reads go that are not sent away
  std::map<DataCentre, SideLoad> There;
};

// A share that begins, ends, or differs by a tenth of the reads from the one reported before.
struct SpillChange {
  DataCentre To;
  double Share = 0;
  double Before = 0;
  absl::Duration HereTime;  // expected time to an answer
  absl::Duration ThereTime; // the same in the other data centre; zero if it cannot be used
  double Spare = 0;         // reads per second that it is estimated to take in addition
  double Cost = 0;          // price of sending a read, in answers in time
};

// Sends reads away before the first one misses its objective: from a quarter of the objective on,
// an answer is expected to be late in proportion to the time beyond that. A raise pays if the
// expected gain exceeds the price of the bytes. Raises are bounded so that all live instances
// together add at most the capacity that the other data centre has left. That is estimated from the
// wait at its targets, which grows with their utilisation. The next raise needs answers that show
// the effect of the one before. Without these bounds all instances would move to the same data
// centre at once, and back.
class SpillController {
public:
  explicit SpillController(SpillSettings Rules) : Rules(Rules) {}

  // Called often; decides at most once in SpillInterval.
  std::vector<SpillChange> decide(const SpillInputs &In, Instant Now);
  double share(const DataCentre &To) const;
  // Where a read goes that draws Random in [0, 1); empty: not sent away.
  std::optional<DataCentre> choose(double Random) const;

private:
  struct Flow {
    double Rate = 0;  // reads per second
    double Share = 0; // Rate as a share of the arrivals
    double Reported = 0;
    absl::Duration Unloaded = absl::InfiniteDuration(); // least response time seen, without network
    Instant RaisedAt = absl::InfinitePast();
    uint64_t AnswersAtRaise = 0;
    Instant BlockedUntil = absl::InfinitePast();
    absl::Duration Block;
  };
  // What a decision knows about another data centre.
  struct Estimate {
    double Cost = 0;
    double Late = 1;
    double Spare = 0;
    bool Usable = false;
  };
  Estimate estimate(const SpillInputs &In, const SideLoad &Side, Flow &F) const;
  void lower(const SpillInputs &In, const Estimate *E, double UtilisationHere, double Sent, Flow &F,
             Instant Now) const;
  void raise(const SpillInputs &In, const std::map<DataCentre, Estimate> &Known, double LateHere,
             double Sent, Instant Now);
  double sent() const; // reads per second

  SpillSettings Rules;
  std::map<DataCentre, Flow> Flows;
  Instant NextDecision = absl::InfinitePast();
  absl::Duration LastHereTime = absl::InfiniteDuration();
  absl::Duration UnloadedHere = absl::InfiniteDuration();
};

// Shares change at most twice a second. Longer than an answer within the objectives in use takes.
inline constexpr absl::Duration SpillInterval = absl::Milliseconds(500);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_SPILL_H
