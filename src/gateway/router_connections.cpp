// Connections to the targets of a service that are scarce or belong to several accounts: which ones
// this instance retains, and which statements can expect one.
#include "gateway/router.h"

#include <algorithm>

namespace toucan::gateway {

using placement::WaitingId;

bool ServiceRouter::connectionsScarce() const {
  return placement::connectionsScarce(this->Limits.MaxConnections, this->Instances);
}

size_t ServiceRouter::retainedTargets() const {
  if (!this->connectionsScarce())
    return 0;
  return static_cast<size_t>(std::count_if(this->Pools.begin(), this->Pools.end(),
                                           [](const auto &P) { return P.second->retains(); }));
}

// Each instance decides for itself from the list of live instances. Different lists change only how
// many instances retain a connection.
void ServiceRouter::updateRetained() {
  if (!this->connectionsScarce())
    return;
  uint32_t Count = placement::retainedConnections(this->Limits.MaxConnections);
  for (auto &[Id, P] : this->Pools) {
    std::vector<placement::RetentionCandidate> Candidates;
    Candidates.reserve(this->Alive.size());
    for (const auto &[Instance, Address] : this->Alive)
      Candidates.push_back(
          {.Id = Instance,
           .DistanceToTarget = this->OwnLocation.distance(Address.Centre, P->entry().Centre),
           .MilliCores = Address.MilliCores});
    P->setRetains(placement::retainingInstances(Id, Candidates, Count).contains(this->Self));
  }
}

bool ServiceRouter::opensOnDemand() const {
  return this->connectionsScarce() ||
         std::any_of(this->Pools.begin(), this->Pools.end(),
                     [](const auto &P) { return P.second->severalAccounts(); });
}

std::optional<Instant> ServiceRouter::connectionExpected(const ConnectionRequest &W,
                                                         bool OnlyPrimary) {
  if (!this->opensOnDemand())
    return std::nullopt;
  std::optional<Instant> Earliest;
  TargetPool *Primary = this->primary();
  for (const auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool) || (OnlyPrimary && Pool.get() != Primary))
      continue;
    if (std::find(W.Tried.begin(), W.Tried.end(), Id) != W.Tried.end())
      continue;
    Instant At = Pool->linkExpectedAt(W.Account, this->distanceTo(*Pool));
    Earliest = std::min(Earliest.value_or(At), At);
  }
  return Earliest;
}

void ServiceRouter::rejectWithoutConnection() {
  if (!this->opensOnDemand())
    return;
  std::vector<WaitingId> Hopeless;
  for (const auto &[Id, H] : this->Waiting) {
    bool OnlyPrimary = H.Request.Wait.NeedsPrimary || !this->readFloor(H.Request);
    std::optional<Instant> Expected = this->connectionExpected(H.Request, OnlyPrimary);
    if (Expected && *Expected > H.Request.Wait.StartBefore)
      Hopeless.push_back(Id);
  }
  // A handler may send further statements, and cancel others.
  for (WaitingId Id : Hopeless) {
    auto It = this->Waiting.find(Id);
    if (It == this->Waiting.end())
      continue;
    ConnectionRequest W = std::move(It->second.Request);
    this->cancel(Id);
    W.OnReject(Rejection::NoConnection);
  }
  if (!Hopeless.empty())
    this->rearmExpiryTimer();
}

} // namespace toucan::gateway
