// Converts the frames of a target's reply into chunks for the caller. Performs no I/O.
#ifndef TOUCAN_POOL_RELAY_H
#define TOUCAN_POOL_RELAY_H

#include "base/ids.h"
#include "wire/wire.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::pool {

// Request frame whose reply is expected.
struct Expected {
  char Type = 0; // Parse 'P', Bind 'B', Close 'C', Describe 'D', Execute 'E', Sync 'S', Query 'Q'
  bool Hidden = false; // its reply is dropped
};

// Returns the replies to expect for the frames of a request; empty if the frames are malformed, of
// an unsupported type, or do not end with Query or Sync.
std::optional<std::vector<Expected>> planReplies(std::string_view Frames,
                                                 const std::set<uint32_t> &Hidden);

// Parses the value of ParameterStatus group_position, "TERM/POSITION".
std::optional<LogPosition> parsePosition(std::string_view Value);

// True if a majority is known to have P. A position confirmed in another term does not cover P,
// because the entry may have been removed at the change of primary.
bool coveredBy(LogPosition Confirmed, LogPosition P);

// Handles a notice or a parameter received outside of an answer, and stores a reported position.
// Returns false for other frames.
bool readAsyncMessage(const wire::Frame &F, LogPosition &Position);

// Groups complete frames into chunks of a limited size. A frame above the limit forms its own
// chunk.
class ChunkBuffer {
public:
  explicit ChunkBuffer(size_t ChunkBytes) : ChunkBytes(ChunkBytes) {}

  void append(std::string_view Frame);
  // Appends the content of another buffer and clears that buffer.
  void moveFrom(ChunkBuffer &Other);
  // Removes and returns the first chunk if it is full or Flush is set.
  std::optional<std::string> take(bool Flush);
  size_t bytes() const { return this->Bytes; }
  bool empty() const { return this->Chunks.empty(); }

private:
  size_t ChunkBytes;
  size_t Bytes = 0;
  std::deque<std::string> Chunks;
};

struct RelayOptions {
  size_t ChunkBytes = 32 * 1024;
  size_t CreditBytes = 256 * 1024;
  bool AtPrimary = true;
  LogPosition LastPosition; // latest position reported on the connection
  // Highest position known to be confirmed. An answer of the primary that may reflect a later
  // position is held as well, because a write that the caller has seen must not be lost.
  LogPosition Confirmed;
  bool Collect = false; // buffer the answer for takeAll() instead of producing chunks
};

enum class RelayStep : uint8_t {
  More,      // more frames are expected
  Finished,  // the last ReadyForQuery was read
  Fatal,     // the target is closing the connection
  Malformed, // unexpected or malformed frame; the connection must not be reused
};

class Relay {
public:
  Relay(std::vector<Expected> Plan, RelayOptions Options);

  RelayStep onFrame(const wire::Frame &F);

  // Returns a new position of the primary that must be confirmed. Each position is returned once,
  // and none while an earlier one waits for confirmed().
  std::optional<LogPosition> takeUnconfirmed();
  // Reports that a majority has the position returned last by takeUnconfirmed().
  void confirmed();

  // Returns the collected answer without waiting for a confirmation.
  std::string takeAll();
  // Ends the collection and sets Frames as the answer for the caller, held until confirmed like any
  // other.
  void setAnswer(std::string_view Frames);
  bool collecting() const { return this->Options.Collect; }

  // Returns the next chunk that the credit permits to send.
  std::optional<std::string> takeChunk();
  void credit(uint64_t Bytes);
  // False while the buffers are full and the target must not be read.
  bool wantsInput() const;

  // True while a reported position of the primary is not confirmed.
  bool unconfirmed() const { return this->Unconfirmed; }
  bool finished() const { return this->Finished; }
  // True once the reply is finished, confirmed and completely sent.
  bool complete() const;
  // Transaction status of the last ReadyForQuery: 'I', 'T' or 'E'.
  char status() const { return this->Status; }
  LogPosition position() const { return this->LastPosition; }
  // True if the primary reported a new position during this reply.
  bool sawNewPosition() const { return this->NewPosition; }
  uint64_t chunksSent() const { return this->ChunksSent; }
  // Message of the ErrorResponse that ended the connection.
  const std::string &fatalText() const { return this->FatalText; }
  // SQLSTATE of the last ErrorResponse; empty without one.
  const std::string &errorState() const { return this->ErrorState; }
  // Tag of the last CommandComplete.
  const std::string &commandTag() const { return this->CommandTag; }

private:
  RelayStep onParameter(const wire::Frame &F);
  RelayStep onError(const wire::Frame &F);
  RelayStep onReady(const wire::Frame &F);
  RelayStep onReply(const wire::Frame &F);
  void relay(const wire::Frame &F);
  void holdFromCommandComplete(const wire::Frame &F);

  std::vector<Expected> Plan;
  size_t PlanIndex = 0; // index of the request frame whose reply is being read
  RelayOptions Options;
  ChunkBuffer Out;  // ready to be sent
  ChunkBuffer Held; // awaits the confirmation of a position
  ChunkBuffer Tail; // from the last CommandComplete on, for which a position may still be reported
  bool InTail = false;
  LogPosition LastPosition;
  bool NewPosition = false;
  bool Unconfirmed = false; // LastPosition is not confirmed
  std::optional<LogPosition> Confirming;
  bool Finished = false;
  char Status = 'I';
  uint64_t SentBytes = 0;
  uint64_t CreditedBytes = 0;
  uint64_t ChunksSent = 0;
  std::string FatalText;
  std::string ErrorState;
  std::string CommandTag;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_RELAY_H
