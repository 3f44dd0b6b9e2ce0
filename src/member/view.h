// Consistent snapshot of members, database groups and rules, published to all loops on change.
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

// A Joining member has not read the platform's lists and the rules yet, so it cannot own databases.
enum class State : uint8_t { Alive = 1, Suspect = 2, Dead = 3, Draining = 4, Joining = 5 };

struct Member {
  InstanceId Id;
  std::string LinkEndpoint; // host:port of the ZeroMQ socket
  Place At;
  State Status = State::Alive;
  uint64_t Incarnation = 0;
  RulesVersion Rules;
};

// Immutable after publication; shared between the loops.
struct View {
  InstanceId Self;
  Place SelfAt;
  std::vector<Member> Members; // including Self
  GroupList Groups;
  std::shared_ptr<const Owners> DatabaseOwners; // of Groups and Members; null: computed on demand
  std::shared_ptr<const rules::RuleSet> Rules;  // never null; empty before the first version
  RulesVersion Version;
  bool RulesKnown = false; // false: new work is refused with Reason::RulesUnknown

  const Group *findGroup(const DatabaseName &Name) const;
  const Member *findMember(const InstanceId &Id) const;
  // Returns the instance that owns a database: the Alive member with the highest rendezvous weight,
  // with members in a data centre of the group's targets preferred, then those in their regions.
  // Linear in the number of members unless the view has an owner table.
  std::optional<InstanceId> ownerOf(const DatabaseName &Name) const;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace toucan::member

#endif // TOUCAN_MEMBER_VIEW_H
