// Public header of the platform library: the only code that knows the platform's interface
// (docs/platform.md).
#ifndef TOUCAN_PLATFORM_PLATFORM_H
#define TOUCAN_PLATFORM_PLATFORM_H

#include "base/base.h"
#include "member/view.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::platform {

struct ClientOptions {
  std::string Url; // http://IP:PORT
  // Of connecting, and then of the answer: a call takes at most twice this time.
  absl::Duration Timeout = absl::Seconds(2);
};

struct InstanceRow {
  InstanceId Id;
  std::string LinkEndpoint;
  member::Place At;
  bool Leaving = false;
};

// The lagging lists: instances of the proxy, and database groups with leaving targets marked.
struct Directory {
  std::vector<InstanceRow> Instances;
  std::vector<member::Group> Groups;
};

// A row of the table service; version 0 means that the row does not exist.
struct Row {
  uint64_t Version = 0;
  std::string Value;
};

enum class Written : uint8_t {
  Done,     // the new value is in force
  Conflict, // another version was found; nothing was written
  Unknown,  // no answer: read back to learn whether it took effect
  NotDone,  // not sent, or refused by the platform; nothing was written
};

struct WriteOutcome {
  Written Result = Written::Unknown;
  uint64_t Version = 0; // the version found or written
  std::string Detail;   // cause, for Unknown and NotDone
};

// Blocking; one thread at a time. Errors name the URL and the cause. Each call opens a connection
// of its own: a kept connection may be found closed only after a write was sent. Makes the process
// ignore SIGPIPE, which cpp-httplib raises when the platform closes a connection.
class Client {
public:
  explicit Client(ClientOptions Options);
  ~Client();

  Result<Directory> directory();
  // The list of instances alone: the list of groups is far longer.
  Result<std::vector<InstanceRow>> instances();
  Result<Row> read(const std::string &Key);
  // Writes if the row still has the expected version (0: if it does not exist).
  WriteOutcome compareAndSet(const std::string &Key, uint64_t ExpectedVersion,
                             const std::string &Value);
  Result<std::string> getObject(const std::string &Name);
  Result<void> putObject(const std::string &Name, const std::string &Value);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::platform

#endif // TOUCAN_PLATFORM_PLATFORM_H
