// PostgreSQL v3 message framing: the only hand-written codec of the project.
// Format: https://www.postgresql.org/docs/15/protocol-message-formats.html
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

constexpr size_t MaxStartupBytes = 10'000; // limit of the PostgreSQL server
constexpr uint32_t ProtocolVersion3 = 196608;
constexpr uint32_t CancelCode = 80877102;
constexpr uint32_t SslCode = 80877103;
constexpr uint32_t GssEncCode = 80877104;

// One message after start-up. Views stay valid until the reader gets more bytes.
struct Frame {
  char Type = 0;
  std::string_view Body;  // without type and length
  std::string_view Whole; // type, length and body
};

// The first packet of a connection, which has no type byte.
struct StartupPacket {
  uint32_t Code = 0; // ProtocolVersion3 (or a minor of 3), CancelCode, SslCode or GssEncCode
  std::map<std::string, std::string> Parameters; // start-up only
  uint32_t ProcessId = 0;                        // cancel only
  uint32_t SecretKey = 0;                        // cancel only
};

enum class ReadStatus : uint8_t {
  NeedMore,  // no whole message yet
  Ready,     // a message was returned
  Malformed, // the length or the content is not valid; the connection cannot go on
  TooLarge,  // the length is over the limit; the connection cannot go on
};

// Splits a byte stream into messages.
class FrameReader {
public:
  explicit FrameReader(size_t MaxFrameBytes) : MaxFrameBytes(MaxFrameBytes) {}

  void append(std::string_view Bytes);
  ReadStatus nextStartup(StartupPacket &Out);
  ReadStatus next(Frame &Out);
  // Bytes received and not yet returned.
  size_t pending() const { return this->Buffer.size() - this->Consumed; }

private:
  size_t MaxFrameBytes;
  std::string Buffer;
  size_t Consumed = 0;
};

// Reads the fields of a message body; after a short body ok() is false and values are zero.
class BodyReader {
public:
  explicit BodyReader(std::string_view Body) : Rest(Body) {}
  uint8_t byte();
  int16_t int16();
  int32_t int32();
  std::string_view bytes(size_t Count);
  std::string_view cstring();
  bool ok() const { return this->Good; }
  bool atEnd() const { return this->Rest.empty(); }
  std::string_view rest() const { return this->Rest; }

private:
  std::string_view Rest;
  bool Good = true;
};

// Builds messages one after the other into one buffer.
class Writer {
public:
  Writer &begin(char Type);
  Writer &byte(uint8_t V);
  Writer &int16(int16_t V);
  Writer &int32(int32_t V);
  Writer &bytes(std::string_view V);
  Writer &cstring(std::string_view V);
  Writer &end();
  std::string take() { return std::move(this->Out); }

private:
  std::string Out;
  size_t LengthAt = 0;
};

// Fields of an ErrorResponse or NoticeResponse by their one-letter code ('S' severity,
// 'C' SQLSTATE, 'M' message, 'D' detail, 'H' hint).
using ErrorFields = std::map<char, std::string>;

struct ParseMessage {
  std::string Statement;
  std::string Sql;
  std::vector<int32_t> ParameterTypes;
};

struct BindMessage {
  std::string Portal;
  std::string Statement;
  std::string_view Rest; // formats and values, unchanged
};

// Describe and Close: Kind is 'S' (statement) or 'P' (portal).
struct NamedObject {
  char Kind = 0;
  std::string Name;
};

struct ExecuteMessage {
  std::string Portal;
  int32_t MaxRows = 0; // 0: all
};

// Parsers of bodies; empty when malformed.
std::optional<std::string> parseQuery(std::string_view Body);
std::optional<ParseMessage> parseParse(std::string_view Body);
std::optional<BindMessage> parseBind(std::string_view Body);
std::optional<NamedObject> parseNamedObject(std::string_view Body);
std::optional<ExecuteMessage> parseExecute(std::string_view Body);
std::optional<ErrorFields> parseError(std::string_view Body);
std::optional<std::pair<std::string, std::string>> parseParameterStatus(std::string_view Body);

// Messages from a caller to a server.
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

// Messages from a server to a caller.
std::string authenticationOk();
std::string backendKeyData(uint32_t ProcessId, uint32_t SecretKey);
std::string parameterStatus(std::string_view Name, std::string_view Value);
std::string readyForQuery(char TransactionStatus);
std::string commandComplete(std::string_view Tag);
std::string emptyQueryResponse();
std::string errorResponse(const ErrorFields &Fields);
std::string noticeResponse(const ErrorFields &Fields);
std::string
emptyMessage(char Type); // ParseComplete '1', BindComplete '2', CloseComplete '3', NoData 'n'

// An ErrorResponse with the given severity ("ERROR" or "FATAL"), SQLSTATE and text.
std::string error(std::string_view Severity, std::string_view SqlState, std::string_view Text);

} // namespace toucan::wire

#endif // TOUCAN_WIRE_WIRE_H
