// Actions that the state machine of a session requests from the I/O layer.
#ifndef TOUCAN_SESSION_ACTIONS_H
#define TOUCAN_SESSION_ACTIONS_H

#include "base/base.h"
#include "proto/link.pb.h"
#include "rules/rules.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace toucan::session {

// Writes bytes to the caller.
struct WriteAction {
  std::string Bytes;
};

// Sends an envelope to an instance. When an exec envelope cannot be passed to the link, the I/O
// layer calls onSendFailed().
struct SendAction {
  InstanceId To;
  proto::Envelope Message;
};

// Closes the caller's connection after all pending bytes have been written.
struct CloseAction {};

// Requests a call of onTimer() at or after this time; replaces the previous timer.
struct TimerAction {
  Instant At;
};

// Increments the counter of a reason.
struct CountAction {
  Reason Counted = Reason::None;
};

// Records the latency of a request that has ended.
struct LatencyAction {
  rules::WorkClass Class = rules::WorkClass::Short;
  absl::Duration Elapsed;
};

struct LogAction {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Pairs;
};

// Forwards a cancel request to the session with this cancel key.
struct CancelAction {
  uint32_t ProcessId = 0;
  uint32_t SecretKey = 0;
};

// Stops or resumes reading from the caller.
struct PauseAction {
  bool Paused = false;
};

using Action = std::variant<WriteAction, SendAction, CloseAction, TimerAction, CountAction,
                            LatencyAction, LogAction, CancelAction, PauseAction>;
using Actions = std::vector<Action>;

} // namespace toucan::session

#endif // TOUCAN_SESSION_ACTIONS_H
