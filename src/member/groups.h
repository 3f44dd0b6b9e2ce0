// The database groups of a view: an immutable list, shared by all views until it changes.
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
  std::string Host; // IP number
  uint16_t Port = 0;
  Place At;
  rules::TargetState Status = rules::TargetState::Active; // of the rules and the platform's list
  friend bool operator==(const Target &, const Target &) = default;
};

struct Group {
  DatabaseName Name;
  std::vector<Target> Targets;
  uint32_t SlotsPerTarget = 0;
  uint32_t ConnectionsPerTarget = 0;
  friend bool operator==(const Group &, const Group &) = default;
};

// Copies share the groups. A change makes a list of its own, which takes time in the number of
// groups: it is meant for set-up and tests. References end with a change.
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
  // The first group of the name.
  std::optional<size_t> indexOf(const DatabaseName &Name) const;
  // True when both are copies of one list, so that their groups need not be compared.
  bool sharesStorageWith(const GroupList &Other) const { return this->Shared == Other.Shared; }

  // The name of the standard containers.
  void push_back(Group G);         // NOLINT(readability-identifier-naming)
  Group &operator[](size_t Index); // its name must stay

private:
  struct Content {
    std::vector<Group> Items;
    absl::flat_hash_map<std::string_view, size_t> ByName; // names are those of Items
  };
  static std::shared_ptr<Content> make(std::vector<Group> Groups);

  std::shared_ptr<Content> Shared; // never null
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_GROUPS_H
