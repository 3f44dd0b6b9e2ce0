// Builds the views of a daemon. Unchanged parts are shared with the previous view.
#ifndef TOUCAN_MEMBER_VIEW_BUILDER_H
#define TOUCAN_MEMBER_VIEW_BUILDER_H

#include "member/owners.h"
#include "member/view.h"

#include <memory>
#include <vector>

namespace toucan::member {

class ViewBuilder {
public:
  ViewBuilder(InstanceId Self, Place SelfAt);

  // Sets the platform's list of groups. Returns true if it differs from the previous one.
  bool setGroups(std::vector<Group> PlatformGroups);
  // Sets the rules in force, which must not be null.
  void setRules(std::shared_ptr<const rules::RuleSet> Rules, RulesVersion Version);
  ViewPtr build(std::vector<Member> Members, bool RulesKnown);

private:
  void applyRules();

  InstanceId Self;
  Place SelfAt;
  std::vector<Group> PlatformGroups; // as listed by the platform
  GroupList Groups;                  // with the target states from the rules
  std::shared_ptr<const rules::RuleSet> Rules = std::make_shared<const rules::RuleSet>();
  RulesVersion Version;
  bool GroupsReceived = false;
  bool GroupsOutdated = false; // Groups does not reflect the list or the rules yet
  OwnerTable Table;
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_VIEW_BUILDER_H
