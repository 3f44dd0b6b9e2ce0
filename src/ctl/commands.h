// Commands of toucanctl. Each writes its result and returns the exit code.
#ifndef TOUCAN_CTL_COMMANDS_H
#define TOUCAN_CTL_COMMANDS_H

#include "base/settings.h"
#include "ctl/query.h"
#include "ctl/table.h"
#include "platform/platform.h"

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::ctl {

struct Context {
  std::ostream &Out;
  std::ostream &Err;
  platform::Client Platform;
  absl::Duration Timeout;        // of a platform call, and of one round of requests to instances
  absl::Duration ConfirmTimeout; // for all instances to confirm new rules
  bool AsJson = false;
  const CommandLine &Line;

  // Writes "toucanctl: TEXT" to Err and returns Code.
  int reportError(int Code, std::string_view Text) const;
  // Writes a result as text or as JSON.
  void print(const std::string &Text, const Json &Value) const;
};

int showStatus(Context &C);
int showTargets(Context &C);
int showSessions(Context &C);
int drain(Context &C);

int checkRules(Context &C);
int diffRules(Context &C);
int showRules(Context &C);
int applyRules(Context &C);

Peer peerOf(const platform::InstanceRow &Row);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_COMMANDS_H
