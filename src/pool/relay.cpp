#include "pool/relay.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <cassert>

namespace toucan::pool {

namespace {

constexpr std::string_view PositionName = "group_position";

// Frame types that complete the reply to a request frame.
struct FinalReplies {
  char RequestType;
  std::string_view ReplyTypes;
};

constexpr FinalReplies FinalRepliesByRequest[] = {
    {'P', "1"}, {'B', "2"}, {'C', "3"}, {'D', "Tn"}, {'E', "CIs"},
};

std::string_view finalReplyTypes(char Type) {
  for (const FinalReplies &Row : FinalRepliesByRequest)
    if (Row.RequestType == Type)
      return Row.ReplyTypes;
  return {};
}

// Frame types allowed in an answer, in addition to those handled in Relay::onFrame().
constexpr std::string_view AllowedReplyTypes = "123CDGHIWTVcdnst";

bool isAnsweredByReady(char Type) { return Type == 'Q' || Type == 'S'; }

} // namespace

std::optional<std::vector<Expected>> planReplies(std::string_view Frames,
                                                 const std::set<uint32_t> &Hidden) {
  std::vector<Expected> Plan;
  // The frames arrive in one message, so its size is an upper bound for each frame.
  wire::FrameReader Reader(Frames.size());
  Reader.append(Frames);
  wire::Frame F;
  wire::ReadStatus Status = wire::ReadStatus::NeedMore;
  for (uint32_t Index = 0; (Status = Reader.next(F)) == wire::ReadStatus::Ready; ++Index) {
    if (F.Type == 'H')
      continue; // Flush has no reply
    if (!isAnsweredByReady(F.Type) && finalReplyTypes(F.Type).empty())
      return std::nullopt;
    Plan.push_back({.Type = F.Type, .Hidden = Hidden.contains(Index)});
  }
  bool Complete = Status == wire::ReadStatus::NeedMore && Reader.pending() == 0;
  if (!Complete || Plan.empty() || !isAnsweredByReady(Plan.back().Type))
    return std::nullopt;
  return Plan;
}

std::optional<LogPosition> parsePosition(std::string_view Value) {
  size_t Slash = Value.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  LogPosition P;
  std::string_view Position = Value.substr(Slash + 1);
  if (!absl::SimpleAtoi(absl::string_view(Value.data(), Slash), &P.InTerm.Value) ||
      !absl::SimpleAtoi(absl::string_view(Position.data(), Position.size()), &P.Position))
    return std::nullopt;
  return P;
}

bool coveredBy(LogPosition Confirmed, LogPosition P) {
  bool Unknown = P == LogPosition(); // no position was reported
  return Unknown || (Confirmed.InTerm == P.InTerm && P.Position <= Confirmed.Position);
}

bool readAsyncMessage(const wire::Frame &F, LogPosition &Position) {
  if (F.Type == 'N')
    return true;
  if (F.Type != 'S')
    return false;
  auto Parameter = wire::parseParameterStatus(F.Body);
  if (Parameter && Parameter->first == PositionName)
    Position = parsePosition(Parameter->second).value_or(Position);
  return Parameter.has_value();
}

void ChunkBuffer::append(std::string_view Frame) {
  if (this->Chunks.empty() || this->Chunks.back().size() + Frame.size() > this->ChunkBytes)
    this->Chunks.emplace_back();
  this->Chunks.back().append(Frame);
  this->Bytes += Frame.size();
}

void ChunkBuffer::moveFrom(ChunkBuffer &Other) {
  for (std::string &Chunk : Other.Chunks) {
    // Merge the small parts of a short reply, so that it is sent as one chunk.
    if (!this->Chunks.empty() && this->Chunks.back().size() + Chunk.size() <= this->ChunkBytes)
      this->Chunks.back().append(Chunk);
    else
      this->Chunks.push_back(std::move(Chunk));
  }
  this->Bytes += Other.Bytes;
  Other.Chunks.clear();
  Other.Bytes = 0;
}

std::optional<std::string> ChunkBuffer::take(bool Flush) {
  bool Full = this->Chunks.size() > 1 ||
              (this->Chunks.size() == 1 && this->Chunks.front().size() >= this->ChunkBytes);
  if (this->Chunks.empty() || (!Full && !Flush))
    return std::nullopt;
  std::string Chunk = std::move(this->Chunks.front());
  this->Chunks.pop_front();
  this->Bytes -= Chunk.size();
  return Chunk;
}

Relay::Relay(std::vector<Expected> Plan, RelayOptions Options)
    : Plan(std::move(Plan)), Options(Options), Out(Options.ChunkBytes), Held(Options.ChunkBytes),
      Tail(Options.ChunkBytes), LastPosition(Options.LastPosition) {
  assert(!this->Plan.empty());
  this->Unconfirmed = Options.AtPrimary && !coveredBy(Options.Confirmed, Options.LastPosition);
}

RelayStep Relay::onFrame(const wire::Frame &F) {
  if (this->Finished)
    return RelayStep::Malformed;
  switch (F.Type) {
  case 'S':
    return this->onParameter(F);
  case 'E':
    return this->onError(F);
  case 'Z':
    return this->onReady(F);
  case 'N':
    this->relay(F);
    return RelayStep::More;
  case 'A':
    // Discarded: LISTEN is not supported, so a notification can only result from earlier state of
    // the connection.
    return RelayStep::More;
  default:
    return this->onReply(F);
  }
}

RelayStep Relay::onParameter(const wire::Frame &F) {
  auto Parameter = wire::parseParameterStatus(F.Body);
  if (!Parameter)
    return RelayStep::Malformed;
  if (Parameter->first != PositionName) {
    this->relay(F);
    return RelayStep::More;
  }
  std::optional<LogPosition> P = parsePosition(Parameter->second);
  if (!P)
    return RelayStep::Malformed;
  if (*P == this->LastPosition)
    return RelayStep::More;
  this->LastPosition = *P;
  if (this->Options.AtPrimary)
    this->NewPosition = this->Unconfirmed = true;
  return RelayStep::More;
}

// Handles an ErrorResponse, after which the target skips all frames up to the next Sync.
RelayStep Relay::onError(const wire::Frame &F) {
  std::optional<wire::ErrorFields> Fields = wire::parseError(F.Body);
  if (!Fields)
    return RelayStep::Malformed;
  this->ErrorState = (*Fields)['C'];
  std::string Severity = Fields->contains('V') ? (*Fields)['V'] : (*Fields)['S'];
  if (Severity == "FATAL" || Severity == "PANIC") {
    // Not relayed, because the caller's connection stays open when the target's ends.
    this->FatalText = (*Fields)['M'];
    return RelayStep::Fatal;
  }
  // An error is relayed even for a hidden frame, because the frames after it are skipped.
  if (this->InTail)
    this->Tail.append(F.Encoded);
  else
    this->Out.append(F.Encoded);
  while (!isAnsweredByReady(this->Plan[this->PlanIndex].Type))
    ++this->PlanIndex;
  return RelayStep::More;
}

RelayStep Relay::onReady(const wire::Frame &F) {
  if (!isAnsweredByReady(this->Plan[this->PlanIndex].Type) || F.Body.size() != 1)
    return RelayStep::Malformed;
  this->Status = F.Body[0];
  if (this->Status != 'I' && this->Status != 'T' && this->Status != 'E')
    return RelayStep::Malformed;
  if (this->PlanIndex + 1 < this->Plan.size()) {
    ++this->PlanIndex;
    return RelayStep::More;
  }
  this->Finished = true;
  if (!this->Unconfirmed)
    this->Out.moveFrom(this->Tail);
  return RelayStep::Finished;
}

RelayStep Relay::onReply(const wire::Frame &F) {
  const Expected &Now = this->Plan[this->PlanIndex];
  // Sync has no reply of its own, and COPY from the caller is not supported.
  if (AllowedReplyTypes.find(F.Type) == std::string_view::npos || Now.Type == 'S' ||
      F.Type == 'G' || F.Type == 'W')
    return RelayStep::Malformed;
  if (F.Type == 'C' && !Now.Hidden)
    this->holdFromCommandComplete(F);
  this->relay(F);
  if (finalReplyTypes(Now.Type).find(F.Type) != std::string_view::npos)
    ++this->PlanIndex;
  return RelayStep::More;
}

// Holds all frames from a CommandComplete on. Frames held before it are released unless an
// unconfirmed position was reported.
void Relay::holdFromCommandComplete(const wire::Frame &F) {
  this->CommandTag = wire::BodyReader(F.Body).cstring();
  if (this->Unconfirmed)
    this->Held.moveFrom(this->Tail);
  else
    this->Out.moveFrom(this->Tail);
  this->InTail = true;
}

void Relay::relay(const wire::Frame &F) {
  if (this->Plan[this->PlanIndex].Hidden)
    return;
  if (!this->InTail) {
    this->Out.append(F.Encoded);
    return;
  }
  this->Tail.append(F.Encoded);
  // A long result after the CommandComplete of another statement of the same request is not
  // buffered completely: the caller learns the outcome from the end of the request, which always
  // follows the confirmation.
  if (this->Tail.bytes() > this->Options.CreditBytes && !this->Unconfirmed)
    this->Out.moveFrom(this->Tail);
}

std::optional<LogPosition> Relay::takeUnconfirmed() {
  if (!this->Unconfirmed || this->Confirming)
    return std::nullopt;
  this->Confirming = this->LastPosition;
  return this->Confirming;
}

void Relay::confirmed() {
  assert(this->Confirming);
  bool Latest = *this->Confirming == this->LastPosition;
  this->Confirming.reset();
  if (!Latest)
    return;
  this->Unconfirmed = false;
  this->Out.moveFrom(this->Held);
  if (this->Finished || this->Tail.bytes() > this->Options.CreditBytes)
    this->Out.moveFrom(this->Tail);
}

std::string Relay::takeAll() {
  this->Out.moveFrom(this->Held);
  this->Out.moveFrom(this->Tail);
  std::string All;
  while (std::optional<std::string> Chunk = this->Out.take(true))
    All += *Chunk;
  return All;
}

void Relay::setAnswer(std::string_view Frames) {
  assert(this->Finished);
  this->takeAll();
  this->Options.Collect = false;
  wire::FrameReader Reader(Frames.size());
  Reader.append(Frames);
  wire::Frame F;
  while (Reader.next(F) == wire::ReadStatus::Ready)
    (this->Unconfirmed ? this->Tail : this->Out).append(F.Encoded);
}

std::optional<std::string> Relay::takeChunk() {
  if (this->Options.Collect || this->SentBytes >= this->CreditedBytes + this->Options.CreditBytes)
    return std::nullopt;
  std::optional<std::string> Chunk = this->Out.take(this->Finished && !this->Unconfirmed);
  if (!Chunk)
    return std::nullopt;
  this->SentBytes += Chunk->size();
  ++this->ChunksSent;
  return Chunk;
}

void Relay::credit(uint64_t Bytes) {
  this->CreditedBytes = std::min(this->SentBytes, this->CreditedBytes + Bytes);
}

// A partial chunk is sent only at the end of the answer, so reading must continue at least until a
// chunk is full.
bool Relay::wantsInput() const {
  if (this->Options.Collect)
    return true;
  return this->Out.bytes() <= std::max(this->Options.CreditBytes, this->Options.ChunkBytes) &&
         this->Held.bytes() + this->Tail.bytes() <= this->Options.CreditBytes;
}

bool Relay::complete() const {
  return this->Finished && !this->Options.Collect && !this->Unconfirmed && this->Out.empty();
}

} // namespace toucan::pool
