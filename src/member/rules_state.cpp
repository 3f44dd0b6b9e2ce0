#include "member/rules_state.h"

#include <algorithm>

namespace toucan::member {

RulesState::RulesState(RulesStateOptions O)
    : Options(O), Rules(std::make_shared<const rules::RuleSet>()) {}

Result<bool> RulesState::adopt(RulesVersion NewVersion, const std::string &Text) {
  if (NewVersion <= this->Version)
    return false;
  BOOST_LEAF_AUTO(Parsed, rules::RuleSet::parse(Text, "config/rules"));
  this->Rules = std::make_shared<const rules::RuleSet>(std::move(Parsed));
  this->Version = NewVersion;
  this->VersionReceived = true;
  return true;
}

void RulesState::onStoreRead(Instant Now) {
  this->LastStoreRead = Now;
  this->VersionReceived = true;
}

Instant RulesState::nextStoreRead(Instant Last, size_t MemberCount) const {
  absl::Duration Share =
      absl::Seconds(static_cast<double>(MemberCount) / this->Options.StoreReadsPerSecond);
  return Last + std::max(this->Options.MinStoreInterval, Share);
}

bool RulesState::known(Instant Now, double PeerShare) const {
  if (!this->VersionReceived)
    return false;
  if (this->storeReadRecently(Now))
    return true;
  return PeerShare > 0.5;
}

} // namespace toucan::member
