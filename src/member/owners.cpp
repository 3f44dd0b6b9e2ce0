#include "member/owners.h"

#include "base/hash.h"
#include "member/view.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace toucan::member {

namespace {

// Locality of a member relative to the targets of a group. It takes precedence over the weight.
constexpr int SameDataCentre = 2;
constexpr int SameRegion = 1;
constexpr int OtherRegion = 0;

// The weight is a hash of both names. It must be the same in every version.
uint64_t keyHash(std::string_view Key) { return fnv1a(std::string_view("\0", 1), fnv1a(Key)); }

uint64_t rendezvousWeight(uint64_t KeyHash, std::string_view Node) {
  return splitMixFinalizer(fnv1a(Node, KeyHash));
}

int localityOf(const Place &At, const Group &G) {
  int Best = OtherRegion;
  for (const Target &T : G.Targets) {
    if (T.At.Dc == At.Dc)
      return SameDataCentre;
    if (T.At.InRegion == At.InRegion)
      Best = SameRegion;
  }
  return Best;
}

bool samePlaces(const Group &A, const Group &B) {
  return std::equal(A.Targets.begin(), A.Targets.end(), B.Targets.begin(), B.Targets.end(),
                    [](const Target &X, const Target &Y) { return X.At == Y.At; });
}

} // namespace

std::optional<InstanceId> computeOwner(const Group &G, const std::vector<Member> &Members) {
  std::optional<InstanceId> Best;
  std::pair<int, uint64_t> BestRank;
  uint64_t Key = keyHash(G.Name.Value);
  for (const Member &M : Members) {
    if (M.Status != State::Alive)
      continue;
    std::pair<int, uint64_t> Rank(localityOf(M.At, G), rendezvousWeight(Key, M.Id.Value));
    if (!Best || Rank > BestRank) {
      Best = M.Id;
      BestRank = Rank;
    }
  }
  return Best;
}

void OwnerTable::update(const GroupList &NewGroups, const std::vector<Member> &Members) {
  ++this->UpdateNumber;
  std::vector<uint32_t> Added = this->updateMembers(Members);
  bool Changed = !this->Published || !this->Groups.sharesStorageWith(NewGroups);
  if (Changed)
    this->updateGroups(NewGroups);
  for (Entry &E : this->Entries) {
    uint32_t Before = E.Owner;
    if (E.Owner == NoSlot || !this->Nodes[E.Owner].Live)
      this->selectOwner(E);
    else
      for (uint32_t Slot : Added)
        this->considerCandidate(E, Slot, locality(this->Nodes[Slot], E));
    Changed |= E.Owner != Before;
  }
  // A slot can be reused now that no entry refers to it.
  for (uint32_t Slot : std::exchange(this->RemovedSlots, {}))
    this->FreeSlots.push_back(Slot);
  if (Changed)
    this->publish();
}

OwnerTable::PlaceIndex OwnerTable::placeIndex(absl::flat_hash_map<std::string, PlaceIndex> &Indexes,
                                              std::vector<std::vector<uint32_t>> &Members,
                                              const std::string &Name) {
  auto [It, New] = Indexes.try_emplace(Name, static_cast<PlaceIndex>(Members.size()));
  if (New)
    Members.emplace_back();
  return It->second;
}

// Returns the slots of members that are new or have moved to another place.
std::vector<uint32_t> OwnerTable::updateMembers(const std::vector<Member> &Members) {
  std::vector<const Member *> New;
  for (const Member &M : Members) {
    if (M.Status != State::Alive)
      continue;
    auto It = this->SlotOf.find(M.Id);
    if (It == this->SlotOf.end() || !(this->Nodes[It->second].At == M.At))
      New.push_back(&M);
    else
      this->Nodes[It->second].LastUpdate = this->UpdateNumber;
  }
  for (uint32_t Slot = 0; Slot < this->Nodes.size(); ++Slot)
    if (this->Nodes[Slot].Live && this->Nodes[Slot].LastUpdate != this->UpdateNumber)
      this->remove(Slot);
  std::vector<uint32_t> Added;
  Added.reserve(New.size());
  for (const Member *M : New)
    Added.push_back(this->add(*M));
  return Added;
}

uint32_t OwnerTable::add(const Member &M) {
  uint32_t Slot = static_cast<uint32_t>(this->Nodes.size());
  if (this->FreeSlots.empty()) {
    this->Nodes.emplace_back();
  } else {
    Slot = this->FreeSlots.back();
    this->FreeSlots.pop_back();
  }
  this->Nodes[Slot] = {
      .Id = M.Id,
      .At = M.At,
      .Dc = this->placeIndex(this->DcIndexes, this->LiveByDc, M.At.Dc.Value),
      .InRegion = this->placeIndex(this->RegionIndexes, this->LiveByRegion, M.At.InRegion.Value),
      .Live = true,
      .LastUpdate = this->UpdateNumber};
  const Node &N = this->Nodes[Slot];
  this->SlotOf[N.Id] = Slot;
  this->LiveByDc[N.Dc].push_back(Slot);
  this->LiveByRegion[N.InRegion].push_back(Slot);
  this->IdsChanged = true;
  return Slot;
}

void OwnerTable::remove(uint32_t Slot) {
  Node &N = this->Nodes[Slot];
  N.Live = false;
  this->RemovedSlots.push_back(Slot);
  this->SlotOf.erase(N.Id);
  std::erase(this->LiveByDc[N.Dc], Slot);
  std::erase(this->LiveByRegion[N.InRegion], Slot);
}

// A group keeps its owner if the places of its targets are unchanged.
void OwnerTable::updateGroups(const GroupList &NewGroups) {
  std::vector<Entry> Old = std::exchange(this->Entries, {});
  this->Entries.reserve(NewGroups.size());
  for (size_t I = 0; I < NewGroups.size(); ++I) {
    const Group &G = NewGroups[I];
    bool SameIndex = I < Old.size() && this->Groups.items()[I].Name == G.Name;
    std::optional<size_t> OldIndex = SameIndex ? std::optional(I) : this->Groups.indexOf(G.Name);
    if (OldIndex && *OldIndex < Old.size() && samePlaces(this->Groups.items()[*OldIndex], G))
      this->Entries.push_back(Old[*OldIndex]);
    else
      this->Entries.push_back(this->makeEntry(G));
  }
  this->Groups = NewGroups;
}

OwnerTable::Entry OwnerTable::makeEntry(const Group &G) {
  Entry E{.KeyHash = keyHash(G.Name.Value)};
  auto AddOnce = [](PlaceIndexes &Indexes, PlaceIndex N) {
    if (std::find(Indexes.begin(), Indexes.end(), N) == Indexes.end())
      Indexes.push_back(N);
  };
  for (const Target &T : G.Targets) {
    AddOnce(E.Dcs, this->placeIndex(this->DcIndexes, this->LiveByDc, T.At.Dc.Value));
    AddOnce(E.Regions,
            this->placeIndex(this->RegionIndexes, this->LiveByRegion, T.At.InRegion.Value));
  }
  return E;
}

int OwnerTable::locality(const Node &N, const Entry &E) {
  if (std::find(E.Dcs.begin(), E.Dcs.end(), N.Dc) != E.Dcs.end())
    return SameDataCentre;
  bool InSameRegion = std::find(E.Regions.begin(), E.Regions.end(), N.InRegion) != E.Regions.end();
  return InSameRegion ? SameRegion : OtherRegion;
}

// Makes a live member the owner if it ranks higher than the current one.
void OwnerTable::considerCandidate(Entry &E, uint32_t Slot, int Locality) const {
  if (E.Owner != NoSlot && Locality < E.OwnerLocality)
    return;
  uint64_t Weight = rendezvousWeight(E.KeyHash, this->Nodes[Slot].Id.Value);
  if (E.Owner != NoSlot && Locality == E.OwnerLocality && Weight <= E.OwnerWeight)
    return;
  E.Owner = Slot;
  E.OwnerLocality = Locality;
  E.OwnerWeight = Weight;
}

// Considers only the members of the best locality available: others cannot be the owner.
void OwnerTable::selectOwner(Entry &E) const {
  E.Owner = NoSlot;
  for (PlaceIndex Dc : E.Dcs)
    for (uint32_t Slot : this->LiveByDc[Dc])
      this->considerCandidate(E, Slot, SameDataCentre);
  if (E.Owner != NoSlot)
    return;
  for (PlaceIndex Region : E.Regions)
    for (uint32_t Slot : this->LiveByRegion[Region])
      this->considerCandidate(E, Slot, SameRegion);
  if (E.Owner != NoSlot)
    return;
  for (const auto &[Id, Slot] : this->SlotOf)
    this->considerCandidate(E, Slot, OtherRegion);
}

void OwnerTable::publish() {
  if (std::exchange(this->IdsChanged, false)) {
    auto NewIds = std::make_shared<std::vector<InstanceId>>();
    NewIds->reserve(this->Nodes.size());
    for (const Node &N : this->Nodes)
      NewIds->push_back(N.Id);
    this->Ids = std::move(NewIds);
  }
  auto New = std::make_shared<Owners>();
  New->Ids = this->Ids;
  New->Slots.reserve(this->Entries.size());
  for (const Entry &E : this->Entries)
    New->Slots.push_back(E.Owner);
  this->Published = std::move(New);
}

} // namespace toucan::member
