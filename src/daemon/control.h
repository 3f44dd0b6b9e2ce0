// Control service of a daemon: membership, rules in force, and the view for the other services.
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

// All calls must come from the link loop.
class ControlService {
public:
  using PublishFn = std::function<void(member::ViewPtr)>;

  ControlService(Loop &InLoop, ControlOptions Options, link::LinkService &Link,
                 PublishFn PublishView, Metrics &Counters);
  ~ControlService();

  void start();
  // Take what the platform thread has read.
  void onDirectory(platform::Directory Directory);
  void onRulesRow(const platform::Row &Row);
  // Handles heartbeat, rules_fetch and rules_text.
  void onMessage(const InstanceId &From, const proto::Envelope &Message);
  void beginDrain();

  // Fills in the members, the state of this instance and whether the rules are known, for
  // toucanctl.
  void fillStatus(proto::StatusReply &Reply) const;
  // Time until the next read of the platform. It keeps the reads of all members together under the
  // platform's limit.
  absl::Duration storeReadInterval() const;

private:
  void tick();
  void send(std::vector<member::OutgoingHeartbeat> Out);
  void adoptRules(RulesVersion Version, const std::string &Text, std::string_view Source);
  void fetchNewerRules();
  void joinIfReady();
  void publishIfChanged();
  void publish(bool RulesKnown);

  Loop &InLoop;
  ControlOptions Options;
  link::LinkService &Link;
  PublishFn PublishView;
  Metrics &Counters;
  member::Membership Members;
  member::RulesState Rules;
  member::ViewBuilder Views;
  bool HasDirectory = false;
  bool ViewOutdated = true;
  bool PublishedRulesKnown = false;
  uint64_t PublishedChanges = 0;
  InstanceId NewestHolder;      // member that announced version NewestAnnounced
  RulesVersion NewestAnnounced; // newest version that a heartbeat has announced
  Instant NextFetch = absl::InfinitePast();
  TimerId Timer;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_CONTROL_H
