// Control calls to a server of a database group, and the answers to them.
#ifndef TOUCAN_GROUP_STATUS_H
#define TOUCAN_GROUP_STATUS_H

#include "group/watcher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace toucan::group {

// State of a server, as every control call returns it in one row.
struct Status {
  std::string Server;
  Term Accepted;
  std::string Proposer;
  Role ServerRole = Role::Unknown;
  Term LogTerm;              // term of the last log entry
  uint64_t Received = 0;     // position of the last log entry
  uint64_t Applied = 0;      // position of the last entry that reads can see
  bool CallAccepted = false; // whether the server accepted the call
  std::string Following;     // host:port of the primary that this replica follows
  friend bool operator==(const Status &, const Status &) = default;
};

enum class CallKind : uint8_t { Status, Accept, Promote, Follow, Wait };

// A control call. Comments name the kinds that use a field.
struct Call {
  CallKind Kind = CallKind::Status;
  Term InTerm;
  std::string Proposer;                             // Accept, Promote
  std::string Host;                                 // Follow
  uint16_t Port = 0;                                // Follow
  uint64_t Position = 0;                            // Wait
  absl::Duration WaitLimit = absl::ZeroDuration();  // Wait: limit of the wait inside the server
  absl::Duration Timeout = absl::Milliseconds(300); // the call has failed after this time
  friend bool operator==(const Call &, const Call &) = default;
};

enum class CallFailure : uint8_t {
  None,
  Timeout, // the server did not answer within the timeout
  Refused, // the connection was refused
  Lost,    // the connection was lost, or the server answered with an error
};

struct Answer {
  std::optional<Status> Row; // empty on failure
  CallFailure Failure = CallFailure::None;
};

// SQL statement that carries out a call.
std::string sqlForCall(const Call &Request);

// Formats "host:port" in the form of Status::Following.
std::string formatAddress(const std::string &Host, uint16_t Port);

// Returns Role::Unknown for any other text than the name of a role.
Role parseRole(const std::string &Text);

} // namespace toucan::group

#endif // TOUCAN_GROUP_STATUS_H
