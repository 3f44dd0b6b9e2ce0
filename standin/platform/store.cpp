#include "store.h"

#include <algorithm>

namespace toucan::standin {

std::optional<Table::Row> Table::get(const std::string &Key) const {
  auto It = this->Rows.find(Key);
  if (It == this->Rows.end())
    return std::nullopt;
  return It->second;
}

std::optional<Table::Check> Table::firstFailedCheck(const std::vector<Check> &Checks) const {
  for (const Check &C : Checks) {
    auto It = this->Rows.find(C.Key);
    uint64_t Found = It == this->Rows.end() ? 0 : It->second.Version;
    if (Found != C.Version)
      return Check{.Key = C.Key, .Version = Found};
  }
  return std::nullopt;
}

std::map<std::string, uint64_t> Table::put(const std::vector<Put> &Puts) {
  std::map<std::string, uint64_t> Versions;
  for (const Put &P : Puts) {
    Row &R = this->Rows[P.Key];
    R.Value = P.Value;
    Versions[P.Key] = ++R.Version;
  }
  return Versions;
}

void DelayedList::replace(nlohmann::json Value, Instant VisibleAt) {
  if (!this->Pending.empty())
    VisibleAt = std::max(VisibleAt, this->Pending.back().first);
  this->Pending.emplace_back(VisibleAt, std::move(Value));
}

const nlohmann::json &DelayedList::visibleAt(Instant Now) {
  auto Due = std::find_if(this->Pending.begin(), this->Pending.end(),
                          [&](const auto &Change) { return Change.first > Now; });
  if (Due != this->Pending.begin()) {
    this->Visible = std::move((Due - 1)->second);
    this->Pending.erase(this->Pending.begin(), Due);
  }
  return this->Visible;
}

} // namespace toucan::standin
