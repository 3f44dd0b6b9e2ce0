#include "member/view.h"

#include <algorithm>

namespace toucan::member {

const Group *View::findGroup(const DatabaseName &Name) const {
  std::optional<size_t> Index = this->Groups.indexOf(Name);
  return Index ? &this->Groups.items()[*Index] : nullptr;
}

const Member *View::findMember(const InstanceId &Id) const {
  auto It = std::find_if(this->Members.begin(), this->Members.end(),
                         [&](const Member &M) { return M.Id == Id; });
  return It == this->Members.end() ? nullptr : &*It;
}

std::optional<InstanceId> View::ownerOf(const DatabaseName &Name) const {
  std::optional<size_t> Index = this->Groups.indexOf(Name);
  if (!Index)
    return std::nullopt;
  return this->DatabaseOwners ? this->DatabaseOwners->of(*Index)
                              : computeOwner(this->Groups.items()[*Index], this->Members);
}

} // namespace toucan::member
