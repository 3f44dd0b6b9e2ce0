// Collects what the decision to send reads of one service to another data centre needs, and applies
// it to the candidates of a read.
#ifndef TOUCAN_GATEWAY_READ_SPILL_H
#define TOUCAN_GATEWAY_READ_SPILL_H

#include "catalog/catalog.h"
#include "placement/spill.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::gateway {

// A target that may serve reads of a service.
struct ReadTarget {
  DataCentre Centre;
  placement::Distance To = placement::Distance::SameCentre;
  bool Primary = false;
  uint32_t Slots = 0;
  uint32_t OpenLinks = 0;
  absl::Duration HoldTime; // average time that a read holds a connection
  const placement::TargetStatistics *Statistics = nullptr;
};

// Reads of this instance that wait for a connection.
struct WaitingReads {
  size_t Count = 0;
  Instant FirstObjective = absl::InfiniteFuture(); // least ObjectiveAt of them
};

// Reads stay with the nearest replicas, which are the home of the service for this instance, except
// for the share that the controller sends to another data centre. The primary serves no reads that
// are sent away.
class ReadSpill {
public:
  ReadSpill(Metrics &Counters, DataCentre Own, catalog::ServiceName Service,
            placement::SpillSettings Rules);

  // A read of bounded age arrived.
  void onArrival(absl::Duration Objective, absl::Duration MaxAge);
  // A read was granted a connection to a target in To.
  void onGrant(const DataCentre &To);
  // A target in From answered a read. Bytes: of the request and the answer.
  void onAnswer(const DataCentre &From, size_t Bytes);

  // Whether tick() would decide now.
  bool due(Instant Now) const { return Now >= this->NextTick; }
  // Instances: live ones of all data centres.
  void tick(const std::vector<ReadTarget> &Targets, const WaitingReads &Waiting, size_t Instances,
            Instant Now);
  // Excludes the candidates to which a read with this draw in [0, 1) does not go. Targets has an
  // entry for each candidate. Returns whether one was excluded.
  bool restrict(const std::vector<ReadTarget> &Targets, double Draw,
                std::vector<placement::Candidate> &All) const;

  const placement::SpillController &controller() const { return this->Control; }

private:
  // Names of the counters of reads and bytes between this data centre and another one.
  const std::pair<std::string, std::string> &counterNames(const DataCentre &Other);
  void log(const placement::SpillChange &C, const placement::SpillInputs &In) const;

  Metrics &Counters;
  DataCentre Own;
  catalog::ServiceName Service;
  placement::SpillController Control;
  Instant NextTick = absl::InfinitePast();
  Instant LastTick = absl::InfinitePast();
  uint64_t Arrived = 0; // since LastTick
  double Rate = 0;      // moving average of the arrivals per second
  double Bytes = 0;     // moving average for one read
  // The strictest of the reads since LastTick, or of those before if there was none.
  absl::Duration Objective;
  absl::Duration MaxAge;
  std::map<DataCentre, std::pair<std::string, std::string>> Names;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_READ_SPILL_H
