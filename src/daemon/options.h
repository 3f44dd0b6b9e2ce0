// Settings of toucanrund and the option structs made from them.
#ifndef TOUCAN_DAEMON_OPTIONS_H
#define TOUCAN_DAEMON_OPTIONS_H

#include "base/settings.h"
#include "group/group.h"
#include "link/link.h"
#include "member/member.h"
#include "platform/platform.h"
#include "pool/pool.h"
#include "session/session.h"

#include <span>
#include <string>

namespace toucan::daemon {

inline constexpr std::string_view EnvironmentPrefix = "TOUCANRUN_";

extern const std::string_view Usage;
std::span<const Setting> settingsTable();

struct DaemonOptions {
  InstanceId Self;
  uint64_t Incarnation = 0; // start time in microseconds since the Unix epoch
  member::Place At;
  std::string LogLevel;
  std::string HttpHost;
  uint16_t HttpPort = 0;
  std::string LinkHost;
  absl::Duration DrainNotice;  // time for which callers are accepted after /health says draining
  absl::Duration DrainTimeout; // time for open requests and transactions to finish
  session::EntryOptions Entry;
  pool::PoolOptions Pool;
  group::GroupOptions Group;
  link::LinkOptions Link;
  platform::ClientOptions Platform;
};

// Checks the settings that depend on each other; the error names them.
Result<void> checkLimits(const SettingValues &Values);
DaemonOptions makeOptions(const SettingValues &Values, uint64_t Incarnation);

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_OPTIONS_H
