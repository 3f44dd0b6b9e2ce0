// Encoder and decoder for messages of the PostgreSQL v3 protocol. This is the only hand-written
// codec of the project. Format: https://www.postgresql.org/docs/15/protocol-message-formats.html
#ifndef TOUCAN_WIRE_WIRE_H
#define TOUCAN_WIRE_WIRE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucan::wire {

constexpr size_t MaxStartupBytes = 10'000; // the PostgreSQL server has the same limit
constexpr uint32_t ProtocolVersion3 = 196608;
constexpr uint32_t CancelRequestCode = 80877102;
constexpr uint32_t SslRequestCode = 80877103;
constexpr uint32_t GssEncRequestCode = 80877104;

// A message after start-up. Its views are valid until the next call of FrameReader::append().
struct Frame {
  char Type = 0;
  std::string_view Body;    // without type and length
  std::string_view Encoded; // the encoded message: type, length and body
};

// The first packet of a connection. It has no type byte.
struct StartupPacket {
  // A protocol version, CancelRequestCode, SslRequestCode or GssEncRequestCode.
  uint32_t RequestCode = 0;
  std::map<std::string, std::string> Parameters; // start-up packet only
  uint32_t ProcessId = 0;                        // cancel request only
  uint32_t SecretKey = 0;                        // cancel request only
};

enum class ReadStatus : uint8_t {
  NeedMore,  // the message is incomplete
  Ready,     // a message was decoded
  Malformed, // the length or the content is invalid; the connection must be closed
  TooLarge,  // the length is over the limit; the connection must be closed
};

// Splits a byte stream into messages.
class FrameReader {
public:
  explicit FrameReader(size_t MaxFrameBytes) : MaxFrameBytes(MaxFrameBytes) {}

  // Adds bytes that were received from the connection.
  void append(std::string_view Bytes);
  // Decodes the next packet of the start-up phase.
  ReadStatus nextStartup(StartupPacket &Out);
  // Decodes the next message after start-up.
  ReadStatus next(Frame &Out);
  // Number of bytes that were received but not yet decoded.
  size_t pending() const { return this->Buffer.size() - this->Consumed; }
  // Number of bytes allocated.
  size_t capacity() const { return this->Buffer.capacity(); }

private:
  size_t MaxFrameBytes;
  std::string Buffer;
  size_t Consumed = 0;
};

// Reads the fields of a message body. A read past the end of the body returns zero or an empty text
// and makes ok() false.
class BodyReader {
public:
  explicit BodyReader(std::string_view Body) : Remaining(Body) {}
  uint8_t byte();
  int16_t int16();
  int32_t int32();
  std::string_view bytes(size_t Count);
  std::string_view cstring();
  bool ok() const { return this->IsValid; }
  bool atEnd() const { return this->Remaining.empty(); }
  std::string_view rest() const { return this->Remaining; }

private:
  std::string_view Remaining;
  bool IsValid = true;
};

// Encodes a sequence of messages into one buffer.
class Writer {
public:
  // Starts a message; end() must follow after its fields.
  Writer &begin(char Type);
  Writer &byte(uint8_t V);
  Writer &int16(int16_t V);
  Writer &int32(int32_t V);
  Writer &bytes(std::string_view V);
  Writer &cstring(std::string_view V);
  // Ends the message and sets its length.
  Writer &end();
  // Moves the encoded messages out.
  std::string take() { return std::move(this->Out); }

private:
  std::string Out;
  size_t LengthOffset = 0;
};

// Fields of an ErrorResponse or NoticeResponse, keyed by their one-letter code: 'S' severity,
// 'C' SQLSTATE, 'M' message, 'D' detail, 'H' hint.
using ErrorFields = std::map<char, std::string>;

struct ParseMessage {
  std::string Statement;
  std::string Sql;
  std::vector<int32_t> ParameterTypes;
};

struct BindMessage {
  std::string Portal;
  std::string Statement;
  std::string_view FormatsAndValues; // of parameters and results, still encoded
};

// The body of Describe and Close: a prepared statement or a portal.
// Kind is 'S' for a statement and 'P' for a portal.
struct NamedObject {
  char Kind = 0;
  std::string Name;
};

struct ExecuteMessage {
  std::string Portal;
  int32_t MaxRows = 0; // 0: no limit
};

// Decode message bodies; nullopt if a body is malformed.
std::optional<std::string> parseQuery(std::string_view Body);
std::optional<ParseMessage> parseParse(std::string_view Body);
std::optional<BindMessage> parseBind(std::string_view Body);
std::optional<NamedObject> parseNamedObject(std::string_view Body);
std::optional<ExecuteMessage> parseExecute(std::string_view Body);
std::optional<ErrorFields> parseError(std::string_view Body);
std::optional<std::pair<std::string, std::string>> parseParameterStatus(std::string_view Body);

// Encode frontend messages, which are sent to a server.
std::string startup(const std::map<std::string, std::string> &Parameters);
std::string cancelRequest(uint32_t ProcessId, uint32_t SecretKey);
std::string query(std::string_view Sql);
std::string parse(const ParseMessage &M);
std::string bind(const BindMessage &M);
std::string describe(const NamedObject &O);
std::string closeObject(const NamedObject &O);
std::string execute(const ExecuteMessage &M);
std::string sync();
std::string terminate();

// Encode backend messages, which are sent by a server.
std::string authenticationOk();
std::string backendKeyData(uint32_t ProcessId, uint32_t SecretKey);
std::string parameterStatus(std::string_view Name, std::string_view Value);
std::string readyForQuery(char TransactionStatus);
std::string commandComplete(std::string_view Tag);
std::string emptyQueryResponse();
std::string errorResponse(const ErrorFields &Fields);
std::string noticeResponse(const ErrorFields &Fields);
// A message without fields, such as ParseComplete '1', BindComplete '2', CloseComplete '3' or
// NoData 'n'.
std::string emptyMessage(char Type);

// An ErrorResponse with the given severity ("ERROR" or "FATAL"), SQLSTATE and text.
std::string error(std::string_view Severity, std::string_view SqlState, std::string_view Text);

} // namespace toucan::wire

#endif // TOUCAN_WIRE_WIRE_H
