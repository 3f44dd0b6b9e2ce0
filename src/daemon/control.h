// Control duty of a daemon: membership, rules in force, and the view that the other duties use.
#ifndef TOUCAN_DAEMON_CONTROL_H
#define TOUCAN_DAEMON_CONTROL_H

#include "base/base.h"
#include "link/link.h"
#include "member/member.h"
#include "platform/platform.h"

#include <functional>
#include <string>

namespace toucan::daemon {

struct ControlOptions {
  InstanceId Self;
  uint64_t Incarnation = 0;
  member::Place At;
  std::string LinkEndpoint;
};

// Lives in the link loop.
class ControlService {
public:
  using Publish = std::function<void(member::ViewPtr)>;

  ControlService(Loop &InLoop, ControlOptions Options, link::LinkService &Link, Publish OnView,
                 Metrics &Counters);
  ~ControlService();

  void start();
  // What the platform thread has read.
  void onDirectory(platform::Directory Read);
  void onRulesRow(const platform::Row &Read);
  // heartbeat, rules_fetch and rules_text.
  void onMessage(const InstanceId &From, const proto::Envelope &Message);
  void beginDrain();

  // Members, rules and own state for toucanctl.
  void fillStatus(proto::StatusReply &Reply) const;
  // Time between two reads of the platform, so that all members together stay under the limit.
  absl::Duration storeInterval() const;

private:
  void tick();
  void send(std::vector<member::OutgoingHeartbeat> Out);
  void offerRules(RulesVersion Version, const std::string &Text, std::string_view Source);
  void fetchNewerRules();
  void joinIfReady();
  void publishIfChanged();
  void publish(bool RulesKnown);

  Loop &InLoop;
  ControlOptions Options;
  link::LinkService &Link;
  Publish OnView;
  Metrics &Counters;
  member::Membership Members;
  member::RulesState Rules;
  member::ViewBuilder Views;
  bool HaveDirectory = false;
  bool Dirty = true;
  bool LastRulesKnown = false;
  uint64_t LastChanges = 0;
  InstanceId NewerAt; // member that has the newest rules heard of
  RulesVersion Newer;
  Instant NextFetch = absl::InfinitePast();
  TimerId Timer;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_CONTROL_H
