#include "catalog/targets.h"

#include <algorithm>
#include <set>

namespace toucan::catalog {

namespace {

bool sameEntry(const TargetEntry &A, const TargetEntry &B) {
  return A.Service == B.Service && A.Address == B.Address && A.Centre == B.Centre &&
         A.Slots == B.Slots && A.Leaving == B.Leaving && A.Primary == B.Primary;
}

} // namespace

std::optional<TargetChange> TargetDirectory::onRegistrationWritten(const Registration &R,
                                                                   Instant Now) {
  auto It = this->Targets.find(R.Id);
  if (!R.Entry) {
    if (It == this->Targets.end())
      return std::nullopt;
    this->Targets.erase(It);
    return TargetChange{.Id = R.Id, .Kind = TargetChange::ChangeKind::Removed};
  }
  (void)Now;
  if (It == this->Targets.end()) {
    this->Targets.emplace(R.Id, TrackedTarget{.Entry = *R.Entry});
    return TargetChange{.Id = R.Id, .Kind = TargetChange::ChangeKind::Added};
  }
  TrackedTarget &K = It->second;
  bool Restarted = K.Entry.StartedUnixMs != R.Entry->StartedUnixMs ||
                   K.Entry.Address != R.Entry->Address || K.Entry.Service != R.Entry->Service;
  bool Same = !Restarted && sameEntry(K.Entry, *R.Entry) && K.RemoveAt == absl::InfiniteFuture();
  K.Entry = *R.Entry;
  K.RemoveAt = absl::InfiniteFuture();
  if (Same)
    return std::nullopt;
  return TargetChange{.Id = R.Id,
                      .Kind = Restarted ? TargetChange::ChangeKind::Restarted
                                        : TargetChange::ChangeKind::Changed};
}

void TargetDirectory::onRegistrationVanished(const TargetId &Id, Instant Now) {
  auto It = this->Targets.find(Id);
  if (It != this->Targets.end())
    It->second.RemoveAt = std::min(It->second.RemoveAt, Now + RemovalGrace);
}

std::vector<TargetChange> TargetDirectory::onFullList(const std::vector<Registration> &All,
                                                      Instant Now) {
  std::vector<TargetChange> Changes;
  std::set<TargetId> Listed;
  for (const Registration &R : All) {
    Listed.insert(R.Id);
    if (std::optional<TargetChange> Change = this->onRegistrationWritten(R, Now))
      Changes.push_back(*Change);
  }
  for (const auto &[Id, K] : this->Targets)
    if (!Listed.contains(Id))
      this->onRegistrationVanished(Id, Now);
  return Changes;
}

std::vector<TargetChange> TargetDirectory::expire(Instant Now) {
  std::vector<TargetChange> Changes;
  for (auto It = this->Targets.begin(); It != this->Targets.end();) {
    if (It->second.RemoveAt > Now) {
      ++It;
      continue;
    }
    Changes.push_back({.Id = It->first, .Kind = TargetChange::ChangeKind::Removed});
    It = this->Targets.erase(It);
  }
  return Changes;
}

Instant TargetDirectory::nextExpiry() const {
  Instant Next = absl::InfiniteFuture();
  for (const auto &[Id, K] : this->Targets)
    Next = std::min(Next, K.RemoveAt);
  return Next;
}

const TargetEntry *TargetDirectory::find(const TargetId &Id) const {
  auto It = this->Targets.find(Id);
  return It == this->Targets.end() ? nullptr : &It->second.Entry;
}

bool TargetDirectory::registrationVanished(const TargetId &Id) const {
  auto It = this->Targets.find(Id);
  return It != this->Targets.end() && It->second.RemoveAt != absl::InfiniteFuture();
}

std::vector<const TargetEntry *> TargetDirectory::ofService(const ServiceName &Service) const {
  std::vector<const TargetEntry *> Out;
  for (const auto &[Id, K] : this->Targets)
    if (K.Entry.Service == Service)
      Out.push_back(&K.Entry);
  return Out;
}

} // namespace toucan::catalog
