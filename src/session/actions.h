// What a caller's state machine asks its shell to do.
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

// Bytes for the caller.
struct WriteAction {
  std::string Bytes;
};

// An envelope for an instance. If an exec body cannot be handed over, the shell reports
// onSendFailed().
struct SendAction {
  InstanceId To;
  proto::Envelope Message;
};

// End of the caller's connection, after all bytes have been written.
struct CloseAction {};

// Call onTimer() at or after this moment; replaces the timer set before.
struct TimerAction {
  Instant At;
};

struct CountAction {
  Reason Counted = Reason::None;
};

// A request has ended.
struct LatencyAction {
  rules::WorkClass Class = rules::WorkClass::Short;
  absl::Duration Elapsed;
};

struct LogAction {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Pairs;
};

// A cancel request of a caller, for the session with this key.
struct CancelAction {
  uint32_t ProcessId = 0;
  uint32_t SecretKey = 0;
};

// Stop or resume reading from the caller.
struct PauseAction {
  bool Paused = false;
};

using Action = std::variant<WriteAction, SendAction, CloseAction, TimerAction, CountAction,
                            LatencyAction, LogAction, CancelAction, PauseAction>;
using Actions = std::vector<Action>;

} // namespace toucan::session

#endif // TOUCAN_SESSION_ACTIONS_H
