#include "wire/wire.h"

#include <cassert>

namespace toucan::wire {

namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t HeaderBytes = 1 + LengthBytes;
// FrameReader erases the consumed part of its buffer once that part is larger than this.
constexpr size_t CompactThresholdBytes = 64 * 1024;

// Reads a 32-bit integer in network byte order.
uint32_t loadInt32(const char *Bytes) {
  const auto *U = reinterpret_cast<const unsigned char *>(Bytes);
  return (uint32_t{U[0]} << 24) | (uint32_t{U[1]} << 16) | (uint32_t{U[2]} << 8) | uint32_t{U[3]};
}

// Appends a 32-bit integer in network byte order.
void appendInt32(std::string &Out, uint32_t V) {
  Out.push_back(static_cast<char>(V >> 24));
  Out.push_back(static_cast<char>(V >> 16));
  Out.push_back(static_cast<char>(V >> 8));
  Out.push_back(static_cast<char>(V));
}

// Reads the name and value pairs of a start-up packet. An empty name ends the list.
bool readParameters(BodyReader &Body, std::map<std::string, std::string> &Out) {
  while (true) {
    std::string_view Name = Body.cstring();
    if (!Body.ok())
      return false;
    if (Name.empty())
      return Body.atEnd();
    std::string_view Value = Body.cstring();
    if (!Body.ok())
      return false;
    Out[std::string(Name)] = std::string(Value);
  }
}

// Encodes an ErrorResponse or NoticeResponse.
std::string encodeErrorFields(char Type, const ErrorFields &Fields) {
  Writer W;
  W.begin(Type);
  for (const auto &[Code, Text] : Fields)
    W.byte(static_cast<uint8_t>(Code)).cstring(Text);
  return W.byte(0).end().take();
}

// Encodes a Describe or Close message.
std::string encodeNamedObject(char Type, const NamedObject &O) {
  return Writer().begin(Type).byte(static_cast<uint8_t>(O.Kind)).cstring(O.Name).end().take();
}

} // namespace

void FrameReader::append(std::string_view Bytes) {
  if (this->Consumed == this->Buffer.size() || this->Consumed > CompactThresholdBytes) {
    this->Buffer.erase(0, this->Consumed);
    this->Consumed = 0;
  }
  this->Buffer.append(Bytes);
}

ReadStatus FrameReader::nextStartup(StartupPacket &Out) {
  std::string_view Remaining = std::string_view(this->Buffer).substr(this->Consumed);
  if (Remaining.size() < LengthBytes)
    return ReadStatus::NeedMore;
  size_t Length = loadInt32(Remaining.data());
  if (Length < 2 * LengthBytes)
    return ReadStatus::Malformed;
  if (Length > MaxStartupBytes)
    return ReadStatus::TooLarge;
  if (Remaining.size() < Length)
    return ReadStatus::NeedMore;
  BodyReader Body(Remaining.substr(LengthBytes, Length - LengthBytes));
  Out = StartupPacket{};
  Out.RequestCode = static_cast<uint32_t>(Body.int32());
  if (Out.RequestCode == CancelRequestCode) {
    Out.ProcessId = static_cast<uint32_t>(Body.int32());
    Out.SecretKey = static_cast<uint32_t>(Body.int32());
    if (!Body.ok())
      return ReadStatus::Malformed;
  } else if (Out.RequestCode >> 16 == ProtocolVersion3 >> 16) {
    if (!readParameters(Body, Out.Parameters))
      return ReadStatus::Malformed;
  }
  this->Consumed += Length;
  return ReadStatus::Ready;
}

ReadStatus FrameReader::next(Frame &Out) {
  std::string_view Remaining = std::string_view(this->Buffer).substr(this->Consumed);
  if (Remaining.size() < HeaderBytes)
    return ReadStatus::NeedMore;
  size_t Length = loadInt32(Remaining.data() + 1);
  if (Length < LengthBytes)
    return ReadStatus::Malformed;
  if (Length > this->MaxFrameBytes)
    return ReadStatus::TooLarge;
  if (Remaining.size() < Length + 1)
    return ReadStatus::NeedMore;
  Out.Type = Remaining[0];
  Out.Encoded = Remaining.substr(0, Length + 1);
  Out.Body = Out.Encoded.substr(HeaderBytes);
  this->Consumed += Length + 1;
  return ReadStatus::Ready;
}

uint8_t BodyReader::byte() {
  std::string_view B = this->bytes(1);
  return B.empty() ? 0 : static_cast<uint8_t>(B[0]);
}

int16_t BodyReader::int16() {
  std::string_view B = this->bytes(2);
  if (B.empty())
    return 0;
  return static_cast<int16_t>((static_cast<uint8_t>(B[0]) << 8) | static_cast<uint8_t>(B[1]));
}

int32_t BodyReader::int32() {
  std::string_view B = this->bytes(4);
  return B.empty() ? 0 : static_cast<int32_t>(loadInt32(B.data()));
}

std::string_view BodyReader::bytes(size_t Count) {
  if (!this->IsValid || this->Remaining.size() < Count) {
    this->IsValid = false;
    return {};
  }
  std::string_view Out = this->Remaining.substr(0, Count);
  this->Remaining.remove_prefix(Count);
  return Out;
}

std::string_view BodyReader::cstring() {
  size_t End = this->Remaining.find('\0');
  if (!this->IsValid || End == std::string_view::npos) {
    this->IsValid = false;
    return {};
  }
  std::string_view Out = this->Remaining.substr(0, End);
  this->Remaining.remove_prefix(End + 1);
  return Out;
}

Writer &Writer::begin(char Type) {
  this->Out.push_back(Type);
  this->LengthOffset = this->Out.size();
  this->Out.append(LengthBytes, '\0');
  return *this;
}

Writer &Writer::byte(uint8_t V) {
  this->Out.push_back(static_cast<char>(V));
  return *this;
}

Writer &Writer::int16(int16_t V) {
  return this->byte(static_cast<uint8_t>(static_cast<uint16_t>(V) >> 8))
      .byte(static_cast<uint8_t>(V));
}

Writer &Writer::int32(int32_t V) {
  appendInt32(this->Out, static_cast<uint32_t>(V));
  return *this;
}

Writer &Writer::bytes(std::string_view V) {
  this->Out.append(V);
  return *this;
}

Writer &Writer::cstring(std::string_view V) {
  assert(V.find('\0') == std::string_view::npos);
  this->Out.append(V);
  this->Out.push_back('\0');
  return *this;
}

Writer &Writer::end() {
  uint32_t Length = static_cast<uint32_t>(this->Out.size() - this->LengthOffset);
  std::string Bytes;
  appendInt32(Bytes, Length);
  this->Out.replace(this->LengthOffset, LengthBytes, Bytes);
  return *this;
}

std::optional<std::string> parseQuery(std::string_view Body) {
  BodyReader R(Body);
  std::string Sql(R.cstring());
  return R.ok() && R.atEnd() ? std::optional(std::move(Sql)) : std::nullopt;
}

std::optional<ParseMessage> parseParse(std::string_view Body) {
  BodyReader R(Body);
  ParseMessage M;
  M.Statement = R.cstring();
  M.Sql = R.cstring();
  int16_t Count = R.int16();
  for (int16_t I = 0; I < Count && R.ok(); ++I)
    M.ParameterTypes.push_back(R.int32());
  return R.ok() && R.atEnd() && Count >= 0 ? std::optional(std::move(M)) : std::nullopt;
}

std::optional<BindMessage> parseBind(std::string_view Body) {
  BodyReader R(Body);
  BindMessage M;
  M.Portal = R.cstring();
  M.Statement = R.cstring();
  M.FormatsAndValues = R.rest();
  return R.ok() ? std::optional(std::move(M)) : std::nullopt;
}

std::optional<NamedObject> parseNamedObject(std::string_view Body) {
  BodyReader R(Body);
  NamedObject O;
  O.Kind = static_cast<char>(R.byte());
  O.Name = R.cstring();
  bool KindIsValid = O.Kind == 'S' || O.Kind == 'P';
  return R.ok() && R.atEnd() && KindIsValid ? std::optional(std::move(O)) : std::nullopt;
}

std::optional<ExecuteMessage> parseExecute(std::string_view Body) {
  BodyReader R(Body);
  ExecuteMessage M;
  M.Portal = R.cstring();
  M.MaxRows = R.int32();
  return R.ok() && R.atEnd() ? std::optional(std::move(M)) : std::nullopt;
}

std::optional<ErrorFields> parseError(std::string_view Body) {
  BodyReader R(Body);
  ErrorFields Out;
  while (uint8_t Code = R.byte())
    Out[static_cast<char>(Code)] = R.cstring();
  return R.ok() ? std::optional(std::move(Out)) : std::nullopt;
}

std::optional<std::pair<std::string, std::string>> parseParameterStatus(std::string_view Body) {
  BodyReader R(Body);
  std::string Name(R.cstring());
  std::string Value(R.cstring());
  if (!R.ok() || !R.atEnd())
    return std::nullopt;
  return std::make_pair(std::move(Name), std::move(Value));
}

std::string startup(const std::map<std::string, std::string> &Parameters) {
  std::string Body;
  appendInt32(Body, ProtocolVersion3);
  for (const auto &[Name, Value] : Parameters)
    Body.append(Name).append(1, '\0').append(Value).append(1, '\0');
  Body.push_back('\0');
  std::string Out;
  appendInt32(Out, static_cast<uint32_t>(Body.size() + LengthBytes));
  return Out + Body;
}

std::string cancelRequest(uint32_t ProcessId, uint32_t SecretKey) {
  std::string Out;
  for (uint32_t V : {uint32_t{16}, CancelRequestCode, ProcessId, SecretKey})
    appendInt32(Out, V);
  return Out;
}

std::string query(std::string_view Sql) { return Writer().begin('Q').cstring(Sql).end().take(); }

std::string parse(const ParseMessage &M) {
  Writer W;
  W.begin('P').cstring(M.Statement).cstring(M.Sql);
  W.int16(static_cast<int16_t>(M.ParameterTypes.size()));
  for (int32_t Type : M.ParameterTypes)
    W.int32(Type);
  return W.end().take();
}

std::string bind(const BindMessage &M) {
  return Writer()
      .begin('B')
      .cstring(M.Portal)
      .cstring(M.Statement)
      .bytes(M.FormatsAndValues)
      .end()
      .take();
}

std::string describe(const NamedObject &O) { return encodeNamedObject('D', O); }

std::string closeObject(const NamedObject &O) { return encodeNamedObject('C', O); }

std::string execute(const ExecuteMessage &M) {
  return Writer().begin('E').cstring(M.Portal).int32(M.MaxRows).end().take();
}

std::string sync() { return emptyMessage('S'); }

std::string terminate() { return emptyMessage('X'); }

std::string authenticationOk() { return Writer().begin('R').int32(0).end().take(); }

std::string backendKeyData(uint32_t ProcessId, uint32_t SecretKey) {
  return Writer()
      .begin('K')
      .int32(static_cast<int32_t>(ProcessId))
      .int32(static_cast<int32_t>(SecretKey))
      .end()
      .take();
}

std::string parameterStatus(std::string_view Name, std::string_view Value) {
  return Writer().begin('S').cstring(Name).cstring(Value).end().take();
}

std::string readyForQuery(char TransactionStatus) {
  return Writer().begin('Z').byte(static_cast<uint8_t>(TransactionStatus)).end().take();
}

std::string commandComplete(std::string_view Tag) {
  return Writer().begin('C').cstring(Tag).end().take();
}

std::string emptyQueryResponse() { return emptyMessage('I'); }

std::string errorResponse(const ErrorFields &Fields) { return encodeErrorFields('E', Fields); }

std::string noticeResponse(const ErrorFields &Fields) { return encodeErrorFields('N', Fields); }

std::string emptyMessage(char Type) { return Writer().begin(Type).end().take(); }

std::string error(std::string_view Severity, std::string_view SqlState, std::string_view Text) {
  return errorResponse({{'S', std::string(Severity)},
                        {'V', std::string(Severity)},
                        {'C', std::string(SqlState)},
                        {'M', std::string(Text)}});
}

} // namespace toucan::wire
