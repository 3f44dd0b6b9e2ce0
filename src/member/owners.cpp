#include "member/owners.h"

#include "member/view.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace toucan::member {

namespace {

// How near a member is to the targets of a group; a nearer member goes before any weight.
constexpr int InDataCentre = 2;
constexpr int InRegion = 1;
constexpr int Elsewhere = 0;

uint64_t fnv(uint64_t Hash, std::string_view Text) {
  constexpr uint64_t FnvPrime = 0x100000001b3U;
  for (char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * FnvPrime;
  return Hash;
}

// 64-bit FNV-1a over both names, then the finalizer of SplitMix64. Must be the same in every
// process and build, so the hash of the standard library or of Abseil cannot be used.
uint64_t keyHash(std::string_view Key) {
  constexpr uint64_t FnvOffset = 0xcbf29ce484222325U;
  return fnv(fnv(FnvOffset, Key), std::string_view("\0", 1));
}

uint64_t rendezvousWeight(uint64_t KeyHash, std::string_view Node) {
  uint64_t Hash = fnv(KeyHash, Node);
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9U;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebU;
  return Hash ^ (Hash >> 31);
}

int nearnessOf(const Place &At, const Group &G) {
  int Best = Elsewhere;
  for (const Target &T : G.Targets) {
    if (T.At.Dc == At.Dc)
      return InDataCentre;
    if (T.At.InRegion == At.InRegion)
      Best = InRegion;
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
    std::pair<int, uint64_t> Rank(nearnessOf(M.At, G), rendezvousWeight(Key, M.Id.Value));
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
  bool Changed = !this->Published || !this->Groups.sharesWith(NewGroups);
  if (Changed)
    this->updateGroups(NewGroups);
  for (Entry &E : this->Entries) {
    uint32_t Before = E.Owner;
    if (E.Owner == NoSlot || !this->Nodes[E.Owner].Live)
      this->choose(E);
    else
      for (uint32_t Slot : Added)
        this->consider(E, Slot, nearness(this->Nodes[Slot], E));
    Changed |= E.Owner != Before;
  }
  // A slot is free for another member once no entry names it.
  for (uint32_t Slot : std::exchange(this->Gone, {}))
    this->FreeSlots.push_back(Slot);
  if (Changed)
    this->publish();
}

OwnerTable::PlaceNumber OwnerTable::numberOf(absl::flat_hash_map<std::string, PlaceNumber> &Numbers,
                                             std::vector<std::vector<uint32_t>> &Members,
                                             const std::string &Name) {
  auto [It, New] = Numbers.try_emplace(Name, static_cast<PlaceNumber>(Members.size()));
  if (New)
    Members.emplace_back();
  return It->second;
}

// Returns the slots of members that have come or have moved to another place.
std::vector<uint32_t> OwnerTable::updateMembers(const std::vector<Member> &Members) {
  std::vector<const Member *> New;
  for (const Member &M : Members) {
    if (M.Status != State::Alive)
      continue;
    auto It = this->SlotOf.find(M.Id);
    if (It == this->SlotOf.end() || !(this->Nodes[It->second].At == M.At))
      New.push_back(&M);
    else
      this->Nodes[It->second].SeenAt = this->UpdateNumber;
  }
  for (uint32_t Slot = 0; Slot < this->Nodes.size(); ++Slot)
    if (this->Nodes[Slot].Live && this->Nodes[Slot].SeenAt != this->UpdateNumber)
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
      .Dc = this->numberOf(this->DcNumbers, this->LiveByDc, M.At.Dc.Value),
      .InRegion = this->numberOf(this->RegionNumbers, this->LiveByRegion, M.At.InRegion.Value),
      .Live = true,
      .SeenAt = this->UpdateNumber};
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
  this->Gone.push_back(Slot);
  this->SlotOf.erase(N.Id);
  std::erase(this->LiveByDc[N.Dc], Slot);
  std::erase(this->LiveByRegion[N.InRegion], Slot);
}

// A group that stays with its servers' places keeps its owner.
void OwnerTable::updateGroups(const GroupList &NewGroups) {
  std::vector<Entry> Old = std::exchange(this->Entries, {});
  this->Entries.reserve(NewGroups.size());
  for (size_t I = 0; I < NewGroups.size(); ++I) {
    const Group &G = NewGroups[I];
    bool SameIndex = I < Old.size() && this->Groups.items()[I].Name == G.Name;
    std::optional<size_t> Was = SameIndex ? std::optional(I) : this->Groups.indexOf(G.Name);
    if (Was && *Was < Old.size() && samePlaces(this->Groups.items()[*Was], G))
      this->Entries.push_back(Old[*Was]);
    else
      this->Entries.push_back(this->makeEntry(G));
  }
  this->Groups = NewGroups;
}

OwnerTable::Entry OwnerTable::makeEntry(const Group &G) {
  Entry E{.KeyHash = keyHash(G.Name.Value)};
  auto AddOnce = [](PlaceNumbers &Numbers, PlaceNumber N) {
    if (std::find(Numbers.begin(), Numbers.end(), N) == Numbers.end())
      Numbers.push_back(N);
  };
  for (const Target &T : G.Targets) {
    AddOnce(E.Dcs, this->numberOf(this->DcNumbers, this->LiveByDc, T.At.Dc.Value));
    AddOnce(E.Regions,
            this->numberOf(this->RegionNumbers, this->LiveByRegion, T.At.InRegion.Value));
  }
  return E;
}

int OwnerTable::nearness(const Node &N, const Entry &E) {
  if (std::find(E.Dcs.begin(), E.Dcs.end(), N.Dc) != E.Dcs.end())
    return InDataCentre;
  bool InSameRegion = std::find(E.Regions.begin(), E.Regions.end(), N.InRegion) != E.Regions.end();
  return InSameRegion ? InRegion : Elsewhere;
}

// Takes a live member as owner if it goes before the present one.
void OwnerTable::consider(Entry &E, uint32_t Slot, int Near) const {
  if (E.Owner != NoSlot && Near < E.Nearness)
    return;
  uint64_t Weight = rendezvousWeight(E.KeyHash, this->Nodes[Slot].Id.Value);
  if (E.Owner != NoSlot && Near == E.Nearness && Weight <= E.Weight)
    return;
  E.Owner = Slot;
  E.Nearness = Near;
  E.Weight = Weight;
}

// Looks at the nearest members only: a farther one cannot be the owner.
void OwnerTable::choose(Entry &E) const {
  E.Owner = NoSlot;
  for (PlaceNumber Dc : E.Dcs)
    for (uint32_t Slot : this->LiveByDc[Dc])
      this->consider(E, Slot, InDataCentre);
  if (E.Owner != NoSlot)
    return;
  for (PlaceNumber Region : E.Regions)
    for (uint32_t Slot : this->LiveByRegion[Region])
      this->consider(E, Slot, InRegion);
  if (E.Owner != NoSlot)
    return;
  for (const auto &[Id, Slot] : this->SlotOf)
    this->consider(E, Slot, Elsewhere);
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
