// Public header of the statement library: statements, answers and requests to targets, independent
// of the encoding of any protocol.
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

// A statement sent by a caller.
struct Statement {
  StatementKind Kind = StatementKind::Read;
  std::string Text;            // as received; reads and writes are forwarded unchanged
  std::string Name;            // of a session value or a prepared statement
  std::string Value;           // Set: value; Prepare: statement shape; Execute: arguments
  bool PreparedWrites = false; // Prepare: true if the prepared statement writes
};

// Reason why a statement failed, as received from targets and sent to callers.
enum class ErrorCode : uint8_t {
  Busy,               // not run: queue full
  ReplicaBehind,      // not run: the log lacks the required position
  ReadOnly,           // not run: the target is not the primary
  Misdirected,        // not run: a different target listens at this address
  TooManyConnections, // not run: connection limit reached
  UnknownStatement,   // not run: no prepared statement has this name
  UnknownDatabase,    // not run
  UnknownKey,         // not run: the caller's key identifies no account
  Malformed,          // not run
  TooLarge,           // not run
  Aborted,            // the transaction was rolled back
  Failed,             // ran and failed
  Timeout,            // ran and exceeded its time limit
  InDoubt,            // may have run
  Unrecognized,       // code not in the table; treated as "may have run"
  Count
};

// Returns what Code says about the execution of the statement. NotRun guarantees that no effect of
// the statement or of its transaction persists.
Verdict verdictOf(ErrorCode Code);
// Returns the lower-case name used in logs and counters.
std::string_view errorName(ErrorCode Code);

enum class TransactionState : uint8_t { None, Open, Failed };

struct StatementError {
  ErrorCode Code = ErrorCode::Unrecognized;
  std::string Text;
};

// The complete answer to one statement.
struct Answer {
  std::vector<std::string> Rows;
  std::string Signature; // signature of the target; empty if toucanrun answered itself
  std::optional<StatementError> Error;
  TransactionState State = TransactionState::None;
  std::optional<LogPosition> Position; // of the target's log; empty if not reported
};

// Commands that the proxy sends to a target: statements of callers and commands of its own.
enum class TargetCommand : uint8_t {
  Statement,    // a caller's statement, under the caller's id
  Begin,        // opens a transaction; only a primary accepts it
  BeginRead,    // opens a read-only transaction
  Rollback,     // ends a transaction
  Set,          // sets a session value
  ResetSession, // clears session values and prepared statements
  Prepare,      // prepares a statement under a name chosen by the proxy
  Status,       // requests role, term and positions
  Pause,        // a replica stops receiving the log of terms below the one given
  StepDown,     // a primary of a term below the one given becomes a replica
};

// One request to a target. Fields that a command does not use stay empty.
struct TargetRequest {
  TargetCommand Command = TargetCommand::Statement;
  std::string CallerId;                        // Statement: id under which the caller sent it
  std::string Text;                            // Statement: its text
  std::string Name;                            // Set, Prepare: name
  std::string Value;                           // Set: value; Prepare: shape
  bool PreparedWrites = false;                 // Prepare: true if the prepared statement writes
  std::optional<LogPosition> RequiredPosition; // Statement, BeginRead: refuse if the log lacks it
  Term InTerm;                                 // Pause, StepDown: the term given
};

// State that a target reports about itself.
struct TargetStatus {
  bool Primary = false;
  Term CurrentTerm;
  LogPosition Received; // newest log entry received
  Term PauseTerm;       // log of terms below it is not received; 0 if not paused
};

} // namespace toucan

#endif // TOUCAN_STATEMENT_STATEMENT_H
