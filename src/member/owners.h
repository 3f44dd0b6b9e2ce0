// Owner of each database: rendezvous hashing over the live members, computed incrementally.
#ifndef TOUCAN_MEMBER_OWNERS_H
#define TOUCAN_MEMBER_OWNERS_H

#include "base/ids.h"
#include "member/groups.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::member {

struct Member;

// Returns the Alive member with the highest rendezvous weight. Members in a data centre of the
// group's targets are preferred, then those in a region of the targets. Linear in the number of
// members.
std::optional<InstanceId> computeOwner(const Group &G, const std::vector<Member> &Members);

// Owners of the groups of one list, by group index. Immutable.
struct Owners {
  static constexpr uint32_t NoSlot = UINT32_MAX;
  std::shared_ptr<const std::vector<InstanceId>> Ids; // by slot
  std::vector<uint32_t> Slots;                        // by group; NoSlot: no member is alive

  std::optional<InstanceId> of(size_t GroupIndex) const {
    uint32_t Slot = this->Slots[GroupIndex];
    return Slot == NoSlot ? std::nullopt : std::optional((*this->Ids)[Slot]);
  }
};

// Incremental version of computeOwner() with the same result. A removed member moves only the
// databases that it owned; an added one is compared with the current owner of each database.
class OwnerTable {
public:
  void update(const GroupList &Groups, const std::vector<Member> &Members);
  // Owners as of the last update.
  const std::shared_ptr<const Owners> &owners() const { return this->Published; }

private:
  static constexpr uint32_t NoSlot = Owners::NoSlot;
  // Index of a data centre or region, assigned on first use.
  using PlaceIndex = uint32_t;
  using PlaceIndexes = absl::InlinedVector<PlaceIndex, 4>;

  // A member that is or was alive. The slot is reused after the member is removed.
  struct Node {
    InstanceId Id;
    Place At;
    PlaceIndex Dc = 0;
    PlaceIndex InRegion = 0;
    bool Live = false;
    uint64_t LastUpdate = 0; // number of the last update that contained the member
  };
  struct Entry {
    uint64_t KeyHash = 0; // of the database name
    PlaceIndexes Dcs;     // of the targets, without duplicates
    PlaceIndexes Regions;
    uint32_t Owner = NoSlot;
    int OwnerLocality = 0;
    uint64_t OwnerWeight = 0;
  };

  PlaceIndex placeIndex(absl::flat_hash_map<std::string, PlaceIndex> &Indexes,
                        std::vector<std::vector<uint32_t>> &Members, const std::string &Name);
  std::vector<uint32_t> updateMembers(const std::vector<Member> &Members);
  uint32_t add(const Member &M);
  void remove(uint32_t Slot);
  void updateGroups(const GroupList &Groups);
  Entry makeEntry(const Group &G);
  static int locality(const Node &N, const Entry &E);
  void considerCandidate(Entry &E, uint32_t Slot, int Locality) const;
  void selectOwner(Entry &E) const;
  void publish();

  GroupList Groups;
  std::vector<Entry> Entries; // by group
  std::vector<Node> Nodes;    // by slot
  std::vector<uint32_t> FreeSlots;
  std::vector<uint32_t> RemovedSlots;               // removed in the current update
  absl::flat_hash_map<InstanceId, uint32_t> SlotOf; // of live members
  absl::flat_hash_map<std::string, PlaceIndex> DcIndexes;
  absl::flat_hash_map<std::string, PlaceIndex> RegionIndexes;
  std::vector<std::vector<uint32_t>> LiveByDc;
  std::vector<std::vector<uint32_t>> LiveByRegion;
  uint64_t UpdateNumber = 0;
  bool IdsChanged = true;
  std::shared_ptr<const std::vector<InstanceId>> Ids;
  std::shared_ptr<const Owners> Published;
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_OWNERS_H
