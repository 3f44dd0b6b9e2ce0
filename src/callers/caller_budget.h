// Decides which callers are read, processed, accepted and closed, so that a daemon stays within its
// memory. No clock and no socket: the gateway and the entry service of the PostgreSQL path report
// sizes and carry out the decisions.
#ifndef TOUCAN_CALLERS_CALLER_BUDGET_H
#define TOUCAN_CALLERS_CALLER_BUDGET_H

#include "base/base.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace toucan::callers {

// Memory limit that is assumed if the settings name none.
inline constexpr uint64_t AssumedMemoryBytes = uint64_t{256} << 20;
// The largest message of the hosted path.
inline constexpr size_t DefaultMessageBytes = size_t{1} << 20;
// SO_RCVBUF and SO_SNDBUF of a caller's socket. The kernel sets aside twice this value. It allows
// 16 MB/s at a round trip of 2 ms, more than the largest machine's link.
inline constexpr int CallerSocketBytes = 32 * 1024;
// Largest segment (TCP_MAXSEG) for socket buffers of the given size. A loopback segment may have 64
// KB: it would fill the send buffer alone, and the peer acknowledges a single one after 40 ms only.
// Segments on other links are smaller.
constexpr int callerSegmentBytes(int SocketBytes) { return SocketBytes / 8; }
// What a full kernel buffer of a caller takes, in each direction.
inline constexpr size_t FullKernelBufferBytes = size_t{2} * CallerSocketBytes;
// Bytes read from a caller in one iteration of the event loop.
inline constexpr size_t MaxCallerReadBytes = 64 * 1024;

struct CallerLimits {
  size_t TotalBytes = 0;  // of all callers
  size_t CallerBytes = 0; // of one caller: input, and answers that were not sent
};

// A quarter of the memory limit is for callers. The rest is for the program, links and targets'
// answers in flight, and for what the allocator does not return.
CallerLimits callerLimits(uint64_t MemoryLimitBytes, size_t MaxMessageBytes = DefaultMessageBytes);
// Number of callers, out of the descriptors of the process. A quarter, at least 32, is left for
// connections to targets, the store and other instances, and for the readiness and metrics ports.
size_t maxCallers(uint64_t Descriptors);
// SO_RCVBUF and SO_SNDBUF of a caller's socket where the machine may be large: a thousandth of the
// memory of all callers, between CallerSocketBytes and 256 KB.
int callerSocketBytes(const CallerLimits &Limits);

// Bytes allocated for one caller, or for all of them.
struct CallerBytes {
  size_t Input = 0;     // received and not processed
  size_t Statement = 0; // the current statement and its copy for the target
  size_t State = 0;     // session values and prepared statements
  size_t Unsent = 0;    // answers that the kernel has not taken
  size_t Kernel = 0;    // allowance for a full send buffer
  size_t Unread = 0;    // allowance for a full receive buffer; the caller is not read
  bool operator==(const CallerBytes &) const = default;
  // What reading and processing less of the caller limits.
  size_t work() const { return this->Input + this->Statement + this->Unsent + this->Kernel; }
  size_t total() const { return this->work() + this->State + this->Unread; }
};

class CallerBudget {
public:
  explicit CallerBudget(CallerLimits Limits) : Limits(Limits) {}

  // Reports the current sizes of a caller. The first report adds the caller.
  void update(SessionId Id, const CallerBytes &Reported);
  void remove(SessionId Id);

  // Whether bytes may be read from the caller's socket.
  bool mayRead(SessionId Id) const;
  // Whether the caller's next statement may be processed.
  bool mayProcess(SessionId Id) const;
  // Whether a new caller may be accepted.
  bool mayAccept() const { return this->totalBytes() <= this->Limits.TotalBytes; }
  // The caller to close now, if any. To be asked again after it was removed.
  std::optional<SessionId> toClose() const;
  // Above this, callers whose work holds more than an equal share are paused.
  bool pressed() const { return this->totalBytes() > this->pressedBytes(); }

  const CallerLimits &limits() const { return this->Limits; }
  const CallerBytes &sum() const { return this->Sum; }
  size_t totalBytes() const;

private:
  size_t pressedBytes() const { return this->Limits.TotalBytes / 4 * 3; }
  size_t equalShare() const;
  bool overShare(SessionId Id) const;

  CallerLimits Limits;
  CallerBytes Sum;
  absl::flat_hash_map<SessionId, CallerBytes> Callers;
  std::set<std::pair<size_t, SessionId>> ByBytes;
};

// Time bounds of callers. See docs/OPERATIONS.md for the reasons of the values.
struct CallerTimes {
  absl::Duration Open = absl::Seconds(15);        // from the connection to a complete START
  absl::Duration Message = absl::Seconds(30);     // from the first byte of a message to its end
  absl::Duration DrainWindow = absl::Seconds(30); // in which DrainBytes of the answers are taken
  size_t DrainBytes = 256 * 1024;
};

// What a caller has done so far.
struct CallerProgress {
  bool Opened = false;    // START was complete
  bool InMessage = false; // has sent a part of a message and nothing else is due
  uint64_t Messages = 0;  // messages taken from its input
  bool HasUnsent = false; // answers are not sent yet
  uint64_t SentBytes = 0; // of answers
};

// Applies the time bounds to one caller. A session that is idle between messages has no bound.
class CallerDeadlines {
public:
  explicit CallerDeadlines(Instant Accepted) : Accepted(Accepted) {}
  // Cause of closing the caller; empty if it is within the bounds.
  std::string_view check(Instant Now, const CallerProgress &P, const CallerTimes &Times);
  // The process did not run for this time, so that the caller could not make progress.
  void postpone(absl::Duration Stalled);

private:
  Instant Accepted;
  Instant MessageSince = absl::InfiniteFuture();
  uint64_t MessageNumber = 0;
  Instant DrainSince = absl::InfiniteFuture();
  uint64_t DrainMark = 0;
};

} // namespace toucan::callers

#endif // TOUCAN_CALLERS_CALLER_BUDGET_H
