// Database groups of a view: an immutable list, shared between views until it changes.
#ifndef TOUCAN_MEMBER_GROUPS_H
#define TOUCAN_MEMBER_GROUPS_H

#include "base/ids.h"
#include "rules/rules.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::member {

struct Place {
  DataCentre Dc;
  Region InRegion;
  friend bool operator==(const Place &, const Place &) = default;
};

struct Target {
  TargetId Id;
  std::string Host; // IP address
  uint16_t Port = 0;
  Place At;
  rules::TargetState Status = rules::TargetState::Active; // from the rules and the platform's list
  friend bool operator==(const Target &, const Target &) = default;
};

struct Group {
  DatabaseName Name;
  std::vector<Target> Targets;
  uint32_t SlotsPerTarget = 0;
  uint32_t ConnectionsPerTarget = 0;
  friend bool operator==(const Group &, const Group &) = default;
};

// Copy-on-write list of groups: copies share their storage. A modification copies the list, in time
// linear in the number of groups, and invalidates references; it is meant for set-up and tests.
class GroupList {
public:
  GroupList();
  GroupList(std::vector<Group> Groups);

  const Group *begin() const { return this->Shared->Items.data(); }
  const Group *end() const { return this->begin() + this->size(); }
  size_t size() const { return this->Shared->Items.size(); }
  bool empty() const { return this->Shared->Items.empty(); }
  const Group &operator[](size_t Index) const { return this->Shared->Items[Index]; }
  const std::vector<Group> &items() const { return this->Shared->Items; }
  // Index of the first group with this name.
  std::optional<size_t> indexOf(const DatabaseName &Name) const;
  // True if both share one list, so that their groups need not be compared.
  bool sharesStorageWith(const GroupList &Other) const { return this->Shared == Other.Shared; }

  // Named as in the standard containers.
  void push_back(Group G);         // NOLINT(readability-identifier-naming)
  Group &operator[](size_t Index); // the name of the group must not be changed

private:
  struct Content {
    std::vector<Group> Items;
    absl::flat_hash_map<std::string_view, size_t> ByName; // keys point into Items
  };
  static std::shared_ptr<Content> make(std::vector<Group> Groups);

  std::shared_ptr<Content> Shared; // never null
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_GROUPS_H
