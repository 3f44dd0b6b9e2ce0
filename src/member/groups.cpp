#include "member/groups.h"

#include <utility>

namespace toucan::member {

GroupList::GroupList() : GroupList(std::vector<Group>()) {}

GroupList::GroupList(std::vector<Group> Groups) : Shared(make(std::move(Groups))) {}

std::shared_ptr<GroupList::Content> GroupList::make(std::vector<Group> Groups) {
  auto Out = std::make_shared<Content>();
  Out->Items = std::move(Groups);
  Out->ByName.reserve(Out->Items.size());
  for (size_t I = 0; I < Out->Items.size(); ++I)
    Out->ByName.try_emplace(Out->Items[I].Name.Value, I);
  return Out;
}

std::optional<size_t> GroupList::indexOf(const DatabaseName &Name) const {
  auto It = this->Shared->ByName.find(Name.Value);
  if (It == this->Shared->ByName.end())
    return std::nullopt;
  return It->second;
}

void GroupList::push_back(Group G) {
  std::vector<Group> Items = this->Shared->Items;
  Items.push_back(std::move(G));
  this->Shared = make(std::move(Items));
}

Group &GroupList::operator[](size_t Index) {
  this->Shared = make(this->Shared->Items);
  return this->Shared->Items[Index];
}

} // namespace toucan::member
