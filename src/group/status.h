// Control calls to a server of a database group and their answers.
#ifndef TOUCAN_GROUP_STATUS_H
#define TOUCAN_GROUP_STATUS_H

#include "group/watcher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace toucan::group {

// The row that every control call returns.
struct Status {
  std::string Server;
  Term Accepted;
  std::string Proposer;
  Role Is = Role::Unknown;
  Term LogTerm;          // term of the last log entry
  uint64_t Received = 0; // position of the last log entry
  uint64_t Applied = 0;
  bool CallAccepted = false;
  std::string Following; // host:port of the primary that a replica follows
  friend bool operator==(const Status &, const Status &) = default;
};

enum class CallKind : uint8_t { Status, Accept, Promote, Follow, Wait };

// A control call. Which fields count depends on the kind.
struct Call {
  CallKind Kind = CallKind::Status;
  Term InTerm;
  std::string Proposer;                             // Accept, Promote
  std::string Host;                                 // Follow
  uint16_t Port = 0;                                // Follow
  uint64_t Position = 0;                            // Wait
  absl::Duration WaitLimit = absl::ZeroDuration();  // Wait: longest wait in the server
  absl::Duration Timeout = absl::Milliseconds(300); // until the call counts as failed
  friend bool operator==(const Call &, const Call &) = default;
};

enum class CallFailure : uint8_t {
  None,
  Timeout, // no answer in time
  Refused, // the connection was refused
  Lost,    // the connection ended, or the server answered with an error
};

struct Answer {
  std::optional<Status> Row; // empty on failure
  CallFailure Failure = CallFailure::None;
};

// The statement of a call.
std::string callSql(const Call &What);

// "host:port" as in Status::Following.
std::string addressOf(const std::string &Host, uint16_t Port);

Role parseRole(const std::string &Text);

} // namespace toucan::group

#endif // TOUCAN_GROUP_STATUS_H
