// Client of the platform's HTTP interface: instance and group lists, table service and object store
// (docs/platform.md). No other library uses that interface directly.
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
  // Limit for connecting, and again for the response: a call takes at most twice this time.
  absl::Duration Timeout = absl::Seconds(2);
};

// An entry of the list of instances.
struct InstanceRow {
  InstanceId Id;
  std::string LinkEndpoint;
  member::Place At;
  bool Leaving = false; // the platform has announced its removal
};

// Lists of the proxy's instances and of the database groups, with targets marked that are to be
// removed. They may be out of date, since the platform publishes changes with a delay.
struct Directory {
  std::vector<InstanceRow> Instances;
  std::vector<member::Group> Groups;
};

// A row of the table service; version 0 means that the row does not exist.
struct Row {
  uint64_t Version = 0;
  std::string Value;
};

enum class WriteStatus : uint8_t {
  Written,    // the new value was written
  Conflict,   // the row has another version; nothing was written
  Unknown,    // no valid response: read the row to learn whether the write took effect
  NotWritten, // not sent, or refused by the platform; nothing was written
};

struct WriteOutcome {
  WriteStatus Status = WriteStatus::Unknown;
  uint64_t Version = 0; // Written: version written; Conflict: version found
  std::string Detail;   // Unknown, NotWritten: cause
};

// Calls block. Only one thread may call at a time. Errors state the URL and the cause. Each call
// opens a new connection: that a reused connection is closed may show only after a write was sent.
// The constructor makes the process ignore SIGPIPE, which cpp-httplib raises when the platform
// closes a connection.
class Client {
public:
  explicit Client(ClientOptions Options);
  ~Client();

  Result<Directory> directory();
  // Reads only the list of instances, since the list of groups is far longer.
  Result<std::vector<InstanceRow>> instances();
  Result<Row> read(const std::string &Key);
  // Writes the row if it has the expected version. Version 0 means that it must not exist.
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
