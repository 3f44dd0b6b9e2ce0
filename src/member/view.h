// A consistent picture of members, database groups and rules, handed to every loop on change.
#ifndef TOUCAN_MEMBER_VIEW_H
#define TOUCAN_MEMBER_VIEW_H

#include "base/ids.h"
#include "member/groups.h"
#include "member/owners.h"
#include "rules/rules.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::member {

// Joining: has not read the platform's lists and the rules yet, so it can own nothing.
enum class State : uint8_t { Alive = 1, Suspect = 2, Dead = 3, Draining = 4, Joining = 5 };

struct Member {
  InstanceId Id;
  std::string LinkEndpoint; // host:port of its ZeroMQ socket
  Place At;
  State Status = State::Alive;
  uint64_t Incarnation = 0;
  RulesVersion Rules;
};

// Immutable once published; shared between the loops.
struct View {
  InstanceId Self;
  Place SelfAt;
  std::vector<Member> Members; // with Self
  GroupList Groups;
  std::shared_ptr<const Owners> OwnerTable;    // of Groups and Members; null: computed on demand
  std::shared_ptr<const rules::RuleSet> Rules; // never null; empty before the first version
  RulesVersion Version;
  bool RulesKnown = false; // false: new work is refused with Reason::RulesUnknown

  const Group *findGroup(const DatabaseName &Name) const;
  const Member *findMember(const InstanceId &Id) const;
  // The instance that owns a database: the highest rendezvous weight among live members that are
  // not draining, members in a data centre of the group's targets first, then in their regions.
  // Takes time in the number of members unless the view has an owner table.
  std::optional<InstanceId> ownerOf(const DatabaseName &Name) const;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace toucan::member

#endif // TOUCAN_MEMBER_VIEW_H
