#include "member/view_builder.h"

#include <algorithm>
#include <utility>

namespace toucan::member {

ViewBuilder::ViewBuilder(InstanceId Self, Place SelfAt)
    : Self(std::move(Self)), SelfAt(std::move(SelfAt)) {}

bool ViewBuilder::setGroups(std::vector<Group> NewList) {
  if (this->GroupsReceived && this->PlatformGroups == NewList)
    return false;
  this->PlatformGroups = std::move(NewList);
  this->GroupsReceived = true;
  this->GroupsOutdated = true;
  return true;
}

void ViewBuilder::setRules(std::shared_ptr<const rules::RuleSet> NewRules,
                           RulesVersion NewVersion) {
  this->GroupsOutdated |= NewRules != this->Rules;
  this->Rules = std::move(NewRules);
  this->Version = NewVersion;
}

// Creates a new list only if a group differs: most rule changes do not affect targets.
void ViewBuilder::applyRules() {
  if (!std::exchange(this->GroupsOutdated, false))
    return;
  std::vector<Group> New = this->PlatformGroups;
  for (Group &G : New)
    for (Target &T : G.Targets)
      if (T.Status == rules::TargetState::Active)
        T.Status = this->Rules->targetState(G.Name, T.Id);
  if (New != this->Groups.items())
    this->Groups = GroupList(std::move(New));
}

ViewPtr ViewBuilder::build(std::vector<Member> Members, bool RulesKnown) {
  this->applyRules();
  this->Table.update(this->Groups, Members);
  auto Out = std::make_shared<View>();
  Out->Self = this->Self;
  Out->SelfAt = this->SelfAt;
  Out->Members = std::move(Members);
  Out->Groups = this->Groups;
  Out->DatabaseOwners = this->Table.owners();
  Out->Rules = this->Rules;
  Out->Version = this->Version;
  Out->RulesKnown = RulesKnown;
  return Out;
}

} // namespace toucan::member
