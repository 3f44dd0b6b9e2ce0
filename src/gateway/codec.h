// Interface for encoding and decoding the caller and target protocols. The gateway is given an
// implementation.
#ifndef TOUCAN_GATEWAY_CODEC_H
#define TOUCAN_GATEWAY_CODEC_H

#include "statement/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucan::gateway {

enum class CallerMessageKind : uint8_t { Start, Query, Terminate, Malformed, TooLarge };

// A message from a caller. No further message can be read from the stream after Malformed or
// TooLarge.
struct CallerMessage {
  CallerMessageKind Kind = CallerMessageKind::Malformed;
  std::string Database;            // Start
  std::string Key;                 // Start; identifies the client account. Never logged
  std::string Id;                  // Query
  std::optional<Statement> Parsed; // Query; empty if the text is not a known statement
};

enum class TargetMessageKind : uint8_t { Row, Done, Error, Ready, Malformed };

// A message from a target. An answer consists of any number of Row messages, then Done or Error,
// then Ready.
struct TargetMessage {
  TargetMessageKind Kind = TargetMessageKind::Malformed;
  std::string Text; // Row: the row's content; Done: the answer's signature
  StatementError Error;
  TransactionState State = TransactionState::None; // Ready
  std::optional<LogPosition> Position;             // Ready
};

class Codec {
public:
  virtual ~Codec() = default;

  // Decodes the message that starts at Offset in Buffer and advances Offset past it. Empty if the
  // message is still incomplete.
  virtual std::optional<CallerMessage> takeCallerMessage(std::string &Buffer, size_t &Offset) = 0;
  // Whether takeCallerMessage() may return something for input that was incomplete before Added,
  // its last part, arrived. A caller that sends byte by byte would otherwise cost a search of the
  // whole input for each byte.
  virtual bool mayComplete(std::string_view Added, size_t InputBytes) const = 0;
  virtual std::optional<TargetMessage> takeTargetMessage(std::string &Buffer, size_t &Offset) = 0;

  virtual void appendSessionReady(std::string &Out) = 0;
  // Appends an error that ends the session.
  virtual void appendSessionRefused(std::string &Out, const StatementError &Error) = 0;
  virtual void appendAnswer(std::string &Out, const Answer &Reply) = 0;
  virtual void appendTargetStart(std::string &Out, std::string_view Service,
                                 const AccountName &Account, const TargetId &Expected) = 0;
  virtual void appendTargetRequest(std::string &Out, const TargetRequest &Request) = 0;
  // Parses the row that a target returns for Status and Pause.
  virtual std::optional<TargetStatus> parseStatus(const Answer &Reply) = 0;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_CODEC_H
