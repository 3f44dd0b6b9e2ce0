// Builds the views of a daemon; parts that did not change are shared with the view before.
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

  // Takes over the platform's list. Returns true if it differs from the one before.
  bool setGroups(std::vector<Group> PlatformGroups);
  // Takes over the rules in force; never null.
  void setRules(std::shared_ptr<const rules::RuleSet> Rules, RulesVersion Version);
  ViewPtr build(std::vector<Member> Members, bool RulesKnown);

private:
  void applyRules();

  InstanceId Self;
  Place SelfAt;
  std::vector<Group> PlatformGroups; // of the platform
  GroupList Groups;                  // with the target states of the rules
  std::shared_ptr<const rules::RuleSet> Rules = std::make_shared<const rules::RuleSet>();
  RulesVersion Version;
  bool GroupsReceived = false;
  bool GroupsOutdated = false; // Groups does not show the list or the rules yet
  OwnerTable Table;
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_VIEW_BUILDER_H
