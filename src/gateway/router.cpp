// The targets of a service and the limits that apply to them.
#include "gateway/router.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

placement::Distance InstanceLocation::distanceTo(const DataCentre &Other) const {
  return this->distance(this->Centre, Other);
}

placement::Distance InstanceLocation::distance(const DataCentre &From,
                                               const DataCentre &Other) const {
  if (Other == From)
    return placement::Distance::SameCentre;
  auto Mine = this->Regions.find(From);
  auto Theirs = this->Regions.find(Other);
  bool SameRegion = Mine != this->Regions.end() && Theirs != this->Regions.end() &&
                    Mine->second == Theirs->second;
  return SameRegion ? placement::Distance::SameRegion : placement::Distance::OtherRegion;
}

ServiceRouter::ServiceRouter(Loop &InLoop, Codec &Protocol, Metrics &Counters,
                             const InstanceLocation &OwnLocation, catalog::ServiceName Name,
                             uint64_t Seed)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), OwnLocation(OwnLocation),
      Name(std::move(Name)), Prover(InLoop, Protocol, Counters, *this), Commits(InLoop, *this),
      Random(Seed), PrimaryUnknownSince(InLoop.now()) {}

placement::Distance ServiceRouter::distanceTo(const TargetPool &Pool) const {
  return this->OwnLocation.distanceTo(Pool.entry().Centre);
}

void ServiceRouter::setLimits(const catalog::ServiceLimits &New, size_t Count) {
  this->Limits = New;
  this->Instances = Count;
  for (auto &[Id, P] : this->Pools)
    P->setLimit(New.MaxConnections, Count);
  this->Commits.evidence().setCopies(New.AcknowledgedCopies);
  this->updateGroup();
  this->updateRetained();
}

void ServiceRouter::setInstances(const InstanceId &Self,
                                 const std::map<InstanceId, InstanceAddress> &Alive) {
  this->Self = Self;
  this->Alive = Alive;
  // The first read of the rows precedes the row of this instance.
  this->Alive.try_emplace(Self, InstanceAddress{.Centre = this->OwnLocation.Centre});
  this->updateRetained();
}

void ServiceRouter::setGroupSize(uint32_t Size) {
  if (std::exchange(this->GroupSize, Size) != Size)
    this->updateGroup();
}

void ServiceRouter::noteMembers(const roster::Members &Named, Instant Asked) {
  if (Asked < this->MembersAsked)
    return;
  this->MembersAsked = Asked;
  if (this->NamedMembers == Named)
    return;
  this->NamedMembers = Named;
  this->updateGroup();
}

roster::Listing ServiceRouter::listing() const {
  roster::Listing Out;
  for (const auto &[Id, P] : this->Pools)
    Out[Id] = {.Address = P->entry().Address,
               .StartedUnixMs = P->entry().StartedUnixMs,
               .Leaving = P->entry().Leaving};
  return Out;
}

Instant ServiceRouter::leavingSince(const TargetId &Id) const {
  auto It = this->LeavingSince.find(Id);
  return It == this->LeavingSince.end() ? absl::InfiniteFuture() : It->second;
}

// Called when the list of targets, the row or a limit changes.
void ServiceRouter::updateGroup() {
  std::set<std::string> Addresses;
  for (const auto &[Id, P] : this->Pools)
    Addresses.insert(P->entry().Address);
  std::optional<roster::Members> Named;
  if (this->NamedMembers) {
    Named = this->resolveMembers(*this->NamedMembers);
    for (const auto &[Id, Address] : *Named)
      Addresses.insert(Address);
  }
  this->Group = roster::Roster(this->GroupSize, std::move(Named));
  this->Lead.setGroup(this->Group, static_cast<uint32_t>(Addresses.size()),
                      this->Limits.AcknowledgedCopies);
  this->Commits.evidence().setGroup(this->Group);
}

void ServiceRouter::addTarget(const catalog::TargetEntry &Entry) {
  auto Pool = std::make_unique<TargetPool>(this->InLoop, this->Protocol, this->Counters, *this,
                                           Entry, this->Random());
  Pool->setLimit(this->Limits.MaxConnections, this->Instances);
  Pool->setPositions(&this->Positions);
  TargetPool &Added = *Pool;
  this->Pools[Entry.Id] = std::move(Pool);
  this->updateGroup();
  this->updateRetained();
  this->changeTarget(Entry);
  if (this->OnTargetAdded)
    this->OnTargetAdded(Added);
}

void ServiceRouter::changeTarget(const catalog::TargetEntry &Entry) {
  auto It = this->Pools.find(Entry.Id);
  if (It == this->Pools.end())
    return;
  It->second->update(Entry);
  this->updateGroup();
  if (!Entry.Leaving)
    this->LeavingSince.erase(Entry.Id);
  else
    this->LeavingSince.try_emplace(Entry.Id, this->InLoop.now());
  this->updatePrimary();
  It->second->openSpare();
  this->dispatch();
}

void ServiceRouter::removeTarget(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  if (It == this->Pools.end())
    return;
  std::unique_ptr<TargetPool> Pool = std::move(It->second);
  this->Pools.erase(It);
  this->LeavingSince.erase(Id);
  this->Commits.evidence().remove(Id);
  this->updateGroup();
  Pool->retire();
  this->Retired.push_back(std::move(Pool));
  this->updatePrimary();
  if (this->OnTargetRemoved)
    this->OnTargetRemoved(Id);
  this->dispatch();
}

TargetPool *ServiceRouter::pool(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  return It == this->Pools.end() ? nullptr : It->second.get();
}

// Marks as in regular use the primary and all targets no farther away than the nearest replica that
// is not leaving.
void ServiceRouter::updateRegularUse() {
  placement::Distance Nearest = placement::Distance::OtherRegion;
  for (const auto &[Id, P] : this->Pools)
    if (!P->entry().Leaving && !P->isPrimary())
      Nearest = std::min(Nearest, this->OwnLocation.distanceTo(P->entry().Centre));
  for (const auto &[Id, P] : this->Pools)
    P->setRegularUse(P->isPrimary() || this->OwnLocation.distanceTo(P->entry().Centre) <= Nearest);
}

void ServiceRouter::resetFailureDetection() {
  for (auto &[Id, P] : this->Pools)
    P->resetFailureDetection();
}

bool ServiceRouter::usable(const TargetPool &Pool) const {
  if (Pool.retired() || Pool.isUnresponsive())
    return false;
  if (!Pool.entry().Leaving)
    return true;
  // A leaving primary serves until another target becomes the primary, for at most LeavingLimit.
  auto It = this->LeavingSince.find(Pool.entry().Id);
  return Pool.isPrimary() && It != this->LeavingSince.end() &&
         this->InLoop.now() < It->second + this->LeavingLimit;
}

void ServiceRouter::tick() {
  for (auto &[Id, P] : this->Pools) {
    P->tick();
    P->openSpare();
  }
  for (auto &P : this->Retired)
    P->tick();
  std::erase_if(this->Retired, [](const auto &P) { return P->empty(); });
  this->Prover.tick();
  this->Commits.tick();
  this->samplePrimary();
  this->decideSpill();
  this->dispatch();
}

void ServiceRouter::onPoolReady(TargetPool &Pool) {
  (void)Pool;
  this->dispatch();
}

void ServiceRouter::onPoolPosition(TargetPool &Pool, LogPosition At, Instant SentAt) {
  if (!Pool.retired())
    this->Commits.onPosition(Pool.entry().Id, At, SentAt, Pool.processSince());
}

} // namespace toucan::gateway
