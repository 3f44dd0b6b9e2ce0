// Encoding of the caller and target protocols, a strategy of the gateway.
#ifndef TOUCAN_GATEWAY_CODEC_H
#define TOUCAN_GATEWAY_CODEC_H

#include "statement/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucan::gateway {

enum class CallerMessageKind : uint8_t { Start, Query, Terminate, Malformed, TooLarge };

// A message of a caller. After Malformed or TooLarge the stream cannot be read further unless
// Recoverable is set.
struct CallerMessage {
  CallerMessageKind Kind = CallerMessageKind::Malformed;
  std::string Database;            // Start
  std::string Id;                  // Query
  std::optional<Statement> Parsed; // Query; empty if the text is no known statement
};

enum class TargetMessageKind : uint8_t { Row, Done, Error, Ready, Malformed };

// A message of a target. An answer is any number of rows, Done or Error, then Ready.
struct TargetMessage {
  TargetMessageKind Kind = TargetMessageKind::Malformed;
  std::string Text; // Row: its content; Done: the signature
  StatementError Error;
  TransactionState State = TransactionState::None; // Ready
  std::optional<LogPosition> Position;             // Ready
};

class Codec {
public:
  virtual ~Codec() = default;

  // Takes the next message off the front of Buffer; empty if it is not whole yet.
  virtual std::optional<CallerMessage> takeCallerMessage(std::string &Buffer, size_t &Offset) = 0;
  virtual std::optional<TargetMessage> takeTargetMessage(std::string &Buffer, size_t &Offset) = 0;

  virtual void appendSessionReady(std::string &Out) = 0;
  // An error that ends the session.
  virtual void appendSessionRefused(std::string &Out, const StatementError &Error) = 0;
  virtual void appendAnswer(std::string &Out, const Answer &Reply) = 0;
  virtual void appendTargetStart(std::string &Out, std::string_view Service,
                                 const TargetId &Expected) = 0;
  virtual void appendTargetRequest(std::string &Out, const TargetRequest &Request) = 0;
  // Reads the row that answers Status and Pause.
  virtual std::optional<TargetStatus> parseStatus(const Answer &Reply) = 0;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_CODEC_H
