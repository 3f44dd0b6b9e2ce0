// Rules in force on this instance, and whether they are known to be current.
#ifndef TOUCAN_MEMBER_RULES_STATE_H
#define TOUCAN_MEMBER_RULES_STATE_H

#include "base/error.h"
#include "base/ids.h"
#include "rules/rules.h"

#include <cstddef>
#include <memory>
#include <string>

namespace toucan::member {

struct RulesStateOptions {
  // An instance that has reached neither the store nor more than half of its peers for this long
  // refuses new work, because an operator may have changed the rules in the meantime.
  absl::Duration IsolationTimeout = absl::Seconds(30);
  double StoreReadsPerSecond = 100; // total over all instances
  absl::Duration MinStoreInterval = absl::Seconds(1);
};

// Deterministic: uses no clock and does no I/O. Versions only increase.
class RulesState {
public:
  explicit RulesState(RulesStateOptions Options = {});

  // Adopts a version that is higher than the current one. Returns true if it was adopted; fails if
  // the text is invalid, and the current rules stay in force.
  Result<bool> adopt(RulesVersion Version, const std::string &Text);
  // Records an answer of the store, including one without rules (version 0).
  void onStoreRead(Instant Now);
  // Time of the next store read, so that all members together stay below the limit.
  Instant nextStoreRead(Instant Last, size_t MemberCount) const;
  // True if the store has answered within IsolationTimeout; the rules are then known without the
  // peers.
  bool storeReadRecently(Instant Now) const {
    return this->LastStoreRead >= this->isolationCutoff(Now);
  }
  // Returns whether this instance can know the rules in force. PeerShare is the fraction of its
  // known peers that it has heard from since isolationCutoff().
  bool known(Instant Now, double PeerShare) const;
  Instant isolationCutoff(Instant Now) const { return Now - this->Options.IsolationTimeout; }

  RulesVersion version() const { return this->Version; }
  const std::shared_ptr<const rules::RuleSet> &rules() const { return this->Rules; }

private:
  RulesStateOptions Options;
  RulesVersion Version;
  std::shared_ptr<const rules::RuleSet> Rules;
  Instant LastStoreRead = absl::InfinitePast();
  bool VersionReceived = false; // the store has answered or a version was adopted since start-up
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_RULES_STATE_H
