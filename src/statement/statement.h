// Public header of the statement library: what callers ask of a database and what it answers,
// without the encoding of any protocol.
#ifndef TOUCAN_STATEMENT_STATEMENT_H
#define TOUCAN_STATEMENT_STATEMENT_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan {

enum class StatementKind : uint8_t {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
};

// A statement of a caller.
struct Statement {
  StatementKind Kind = StatementKind::Read;
  std::string Text;            // as received; reads and writes are passed on unchanged
  std::string Name;            // of a session value or a prepared statement
  std::string Value;           // Set: the value; Prepare: the shape; Execute: the arguments
  bool PreparedWrites = false; // Prepare: true if the prepared statement writes
};

// Why a statement failed, as targets and callers are told.
enum class ErrorCode : uint8_t {
  Busy,               // not run: queue full
  ReplicaBehind,      // not run: the log lacks the position asked for
  ReadOnly,           // not run: the target does not lead
  Misdirected,        // not run: another target stands at this address
  TooManyConnections, // not run: connection limit
  UnknownStatement,   // not run: prepared name unknown
  UnknownDatabase,    // not run
  Malformed,          // not run
  TooLarge,           // not run
  Aborted,            // the transaction was rolled back
  Failed,             // ran and failed
  Timeout,            // ran and was given up
  InDoubt,            // may have run
  Unrecognized,       // code not in the table; treated as "may have run"
  Count
};

// NotRun is a promise that nothing of the statement and of its transaction is kept.
Verdict verdictOf(ErrorCode Code);
// Lower-case name for logs and counters.
std::string_view errorName(ErrorCode Code);

enum class TransactionState : uint8_t { None, Open, Failed };

struct StatementError {
  ErrorCode Code = ErrorCode::Unrecognized;
  std::string Text;
};

// A whole answer to one statement.
struct Answer {
  std::vector<std::string> Rows;
  std::string Signature; // of the target; empty if toucanrun answered by itself
  std::optional<StatementError> Error;
  TransactionState State = TransactionState::None;
  std::optional<LogPosition> Position; // of the target's log; empty if not told
};

// Commands that the proxy itself sends to a target, besides statements of callers.
enum class TargetCommand : uint8_t {
  Statement,    // a caller's statement, under the caller's id
  Begin,        // opens a transaction that only a primary grants
  BeginRead,    // opens a read transaction
  Rollback,     // ends a transaction
  Set,          // sets a session value
  ResetSession, // clears session values and prepared statements
  Prepare,      // prepares under a name chosen by the proxy
  Status,       // role, term and positions
  Pause,        // a replica stops receiving the log of terms below the one given
};

// One request to a target. Fields that a command does not use stay empty.
struct TargetRequest {
  TargetCommand Command = TargetCommand::Statement;
  std::string CallerId;                        // Statement: id under which the caller sent it
  std::string Text;                            // Statement: its text
  std::string Name;                            // Set, Prepare: name
  std::string Value;                           // Set: value; Prepare: shape
  bool PreparedWrites = false;                 // Prepare: kind of the prepared statement
  std::optional<LogPosition> RequiredPosition; // Statement, BeginRead: refuse if the log lacks it
  Term PauseTerm;                              // Pause: the term that is held
};

// What a target reports of itself.
struct TargetStatus {
  bool Primary = false;
  Term CurrentTerm;
  LogPosition Received; // newest log entry received
  Term PauseTerm;       // term of a pause; 0 without one
};

} // namespace toucan

#endif // TOUCAN_STATEMENT_STATEMENT_H
