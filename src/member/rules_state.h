// Which rules are in force on this instance, and whether it can know them.
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
  // Without the store and without more than half of the peers for this long, the instance refuses
  // new work: an operator may have put other rules in force meanwhile.
  absl::Duration IsolationTimeout = absl::Seconds(30);
  double StoreReadsPerSecond = 100; // of all instances together
  absl::Duration MinStoreInterval = absl::Seconds(1);
};

// Pure: no clock, no I/O. Versions only grow.
class RulesState {
public:
  explicit RulesState(RulesStateOptions Options = {});

  // Takes over a version that is higher than the present one. Returns true if it did; fails if
  // the text is not valid (the present rules stay in force).
  Result<bool> adopt(RulesVersion Version, const std::string &Text);
  // The store has answered (also when it has no rules yet: version 0).
  void onStoreRead(Instant Now);
  // When the store is to be read next, so that all members together stay under the limit.
  Instant nextStoreRead(Instant Last, size_t MemberCount) const;
  // The store has answered within IsolationTimeout: then the rules are known without the peers.
  bool storeReadRecently(Instant Now) const {
    return this->LastStoreRead >= this->isolationCutoff(Now);
  }
  // Decides whether this instance can know the rules in force. PeerShare is the share of its known
  // peers that it has heard since isolationCutoff().
  bool known(Instant Now, double PeerShare) const;
  Instant isolationCutoff(Instant Now) const { return Now - this->Options.IsolationTimeout; }

  RulesVersion version() const { return this->Version; }
  const std::shared_ptr<const rules::RuleSet> &rules() const { return this->Rules; }

private:
  RulesStateOptions Options;
  RulesVersion Version;
  std::shared_ptr<const rules::RuleSet> Rules;
  Instant LastStoreRead = absl::InfinitePast();
  bool VersionReceived = false; // the store or a peer has told a version since the start
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_RULES_STATE_H
