// Relay of one reply: from the frames of a target to chunks for the caller. Pure.
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

// One frame of a request, for whose reply the relay waits.
struct Expected {
  char Type = 0; // Parse 'P', Bind 'B', Close 'C', Describe 'D', Execute 'E', Sync 'S', Query 'Q'
  bool Hidden = false; // its reply is dropped
};

// Splits a request into the replies to expect; empty when the frames are malformed, of a type that
// is not expected here, or do not end with Query or Sync.
std::optional<std::vector<Expected>> planReplies(std::string_view Frames,
                                                 const std::set<uint32_t> &Hidden);

// Parses the value of ParameterStatus group_position, "TERM/POSITION".
std::optional<LogPosition> parsePosition(std::string_view Value);

// True when a majority is known to have P. A position of an earlier term says nothing of P: the
// entry may have been removed at the change of primary.
bool coveredBy(LogPosition Confirmed, LogPosition P);

// Reads a notice or a parameter that comes outside of an answer, and takes over a reported
// position. False for other frames.
bool readAsyncMessage(const wire::Frame &F, LogPosition &Position);

// Collects whole frames into chunks of a limited size; a larger frame is a chunk of its own.
class ChunkBuffer {
public:
  explicit ChunkBuffer(size_t ChunkBytes) : ChunkBytes(ChunkBytes) {}

  void append(std::string_view Frame);
  // Moves everything of another buffer behind the own content.
  void moveFrom(ChunkBuffer &Other);
  // The first chunk, when it is full or Flush is set.
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
  LogPosition LastPosition; // last one reported on the connection
  // Known to be confirmed. An answer of the primary that may show a later position is held as well:
  // a write that the caller has seen must not be lost either.
  LogPosition Confirmed;
  bool Collect = false; // keep the answer for takeAll() instead of chunks
};

enum class RelayStep : uint8_t {
  More,      // the reply goes on
  Finished,  // the last ReadyForQuery was read
  Fatal,     // the target ends the connection
  Malformed, // the frame does not belong here; the connection cannot be used on
};

class Relay {
public:
  Relay(std::vector<Expected> Plan, RelayOptions Options);

  RelayStep onFrame(const wire::Frame &F);

  // A new primary position that must be confirmed; returned once for each position, and none
  // while an earlier one waits for confirmed().
  std::optional<LogPosition> takeUnconfirmed();
  // A majority has the position that was returned last.
  void confirmed();

  // The collected answer; without a position to wait for.
  std::string takeAll();
  // Ends the collection: the answer for the caller is Frames, held like any other.
  void setAnswer(std::string_view Frames);
  bool collecting() const { return this->Options.Collect; }

  // The next chunk that may be sent under the credit.
  std::optional<std::string> takeChunk();
  void credit(uint64_t Bytes);
  // False while so much is buffered that the target must not be read.
  bool wantsInput() const;

  // A reported position of the primary waits for its confirmation.
  bool unconfirmed() const { return this->Unconfirmed; }
  bool finished() const { return this->Finished; }
  // Finished, everything confirmed and everything sent.
  bool complete() const;
  // Transaction status of the last ReadyForQuery: 'I', 'T' or 'E'.
  char status() const { return this->Status; }
  LogPosition position() const { return this->LastPosition; }
  // A new position of the primary was reported during this reply.
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
  size_t PlanIndex = 0; // the frame of the request whose reply is read
  RelayOptions Options;
  ChunkBuffer Out;  // may be sent
  ChunkBuffer Held; // waits for the confirmation of a position
  ChunkBuffer Tail; // from the last CommandComplete on: a position may still be reported for it
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
