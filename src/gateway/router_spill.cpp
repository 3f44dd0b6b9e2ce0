// Reads of a service that are sent to another data centre: collects the state of the targets and of
// the queue for ReadSpill.
#include "gateway/router.h"

#include <algorithm>

namespace toucan::gateway {

void ServiceRouter::setSpill(const placement::SpillSettings &Rules) {
  this->Spill.emplace(this->Counters, this->OwnLocation.Centre, this->Name, Rules);
}

void ServiceRouter::onReadAnswered(const TargetPool &Pool, size_t Bytes) {
  if (this->Spill)
    this->Spill->onAnswer(Pool.entry().Centre, Bytes);
}

ReadTarget ServiceRouter::readTarget(const TargetPool &Pool) const {
  placement::Distance To = this->distanceTo(Pool);
  return {.Centre = Pool.entry().Centre,
          .To = To,
          .Primary = Pool.isPrimary(),
          .Slots = Pool.entry().Slots,
          .OpenLinks = Pool.openLinks(),
          .HoldTime = Pool.statistics().averageHoldTime(false, To, this->InLoop.now()),
          .Statistics = &Pool.statistics()};
}

void ServiceRouter::decideSpill() {
  Instant Now = this->InLoop.now();
  if (!this->Spill || !this->Spill->due(Now))
    return;
  std::vector<ReadTarget> Targets;
  for (const auto &[Id, Pool] : this->Pools)
    if (this->usable(*Pool))
      Targets.push_back(this->readTarget(*Pool));
  WaitingReads Reads;
  for (const auto &[Id, H] : this->Waiting) {
    if (H.Request.Wait.NeedsPrimary)
      continue;
    ++Reads.Count;
    Reads.FirstObjective = std::min(Reads.FirstObjective, H.Request.Wait.ObjectiveAt);
  }
  this->Spill->tick(Targets, Reads, this->Instances, Now);
}

} // namespace toucan::gateway
