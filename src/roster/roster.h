// Public header of the roster library: decides which servers are members of a service's group.
//
// Every decision that counts servers asks a Roster: whether a change of primary knows enough
// replicas and whom it may promote, whose confirmation keeps a commit, and who can witness that a
// primary was not replaced. A server is a member while the row of the service's claim names it. The
// list of registrations decides nothing: it is incomplete while servers start or the store comes
// back, and instances read it at different times.
//
// Invariant: a commit of which a caller was told is in the logs of at least AcknowledgedCopies
// members besides the primary, and the primary is a member. Naming another member keeps it. A
// member is dropped only for one that takes its place, and only if others were seen to hold what it
// can have confirmed.
#ifndef TOUCAN_ROSTER_ROSTER_H
#define TOUCAN_ROSTER_ROSTER_H

#include "base/base.h"
#include "statement/statement.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace toucan::roster {

// The ids of members, and the address (IP:PORT) of each.
using Members = std::map<TargetId, std::string>;

// The ids, separated by commas, for logs.
std::string describe(const Members &Named);

// The members of one group, as far as an instance knows them.
class Roster {
public:
  Roster() = default;
  // Size: servers of the group while none is being replaced. Named: by the row, empty before the
  // first start has ended, and nothing if the row was not read yet.
  explicit Roster(uint32_t Size, std::optional<Members> Named = Members());

  bool known() const { return this->Known; }
  // No server counts before the row was read. While the row names none, no server can have been
  // replaced, and every one counts.
  bool counts(const TargetId &Id) const {
    return this->Known && (this->Named.empty() || this->Named.contains(Id));
  }
  // Number of servers while none is being replaced.
  uint32_t size() const { return this->Size; }
  // Number of members, of which some may not be named or listed.
  uint32_t count() const { return std::max(this->Size, static_cast<uint32_t>(this->Named.size())); }
  const Members &named() const { return this->Named; }

private:
  bool Known = false;
  uint32_t Size = 0;
  Members Named;
};

// A registration.
struct ListedServer {
  std::string Address;
  int64_t StartedUnixMs = 0;
  bool Leaving = false; // it announced its exit
};

using Listing = std::map<TargetId, ListedServer>;

// A server that starts again at its address has its log, also under another id. Returns the members
// with the ids of the newest servers at their addresses.
Members atSameAddress(const Members &Named, const Listing &Listed);

// Servers that do not come back: they announced their exit, and the other instances know by now, or
// their registration was missing for longer than an outage of the store explains.
using Departures = std::set<TargetId>;

// The members that the group should have: listed servers that stay take the places of members that
// depart. At most Copies members are dropped, and never the primary.
Members replaceMembers(const Roster &Present, const Listing &Listed, const Departures &Departed,
                       const TargetId &Primary, uint32_t Copies);

// Answers of servers about themselves. Those of the replicas were asked for after the primary had
// answered.
struct GroupStatus {
  TargetId Primary;
  TargetStatus OfPrimary;
  std::map<TargetId, TargetStatus> OfReplicas;
};

// Whether Next may replace the present members without breaking the invariant. No change of primary
// was under way when the answers were given.
bool mayReplace(const Roster &Present, const Members &Next, const GroupStatus &Answers,
                uint32_t Copies);

} // namespace toucan::roster

#endif // TOUCAN_ROSTER_ROSTER_H
