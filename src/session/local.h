// Routing of statements: to a target, to the session itself, or refused.
#ifndef TOUCAN_SESSION_LOCAL_H
#define TOUCAN_SESSION_LOCAL_H

#include "base/verdict.h"
#include "session/state.h"
#include "sql/sql.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::session {

// An error that the session reports without contacting a target.
struct LocalError {
  Reason Refusal = Reason::None; // None: an error that a server would report
  std::string SqlState;          // for Reason::None
  std::string Text;              // message for Reason::None, else the detail of the refusal
};

enum class Route : uint8_t { Target, Local, Refused };

struct RouteDecision {
  Route Destination = Route::Target;
  LocalError Error; // for Route::Refused
};

// Strings in messages between instances must be valid UTF-8; the receiver drops a message with an
// invalid one.
bool isUtf8(std::string_view Text);

// Routes a statement. InTransaction: a transaction is open, or was begun earlier in the request.
RouteDecision routeStatement(const sql::Statement &S, const SessionState &State,
                             bool InTransaction);

// Executes a statement routed to Route::Local: updates the state and returns the reply frames. The
// reply to a Query needs WithRowDescription, the reply to an Execute does not.
std::string runLocal(const sql::Statement &S, SessionState &State, bool WithRowDescription);

// Commits or rolls back the settings changed by a transaction. Returns ParameterStatus frames for
// reported settings that the rollback has restored.
std::string endTransactionSettings(SessionState &State, bool RolledBack);

// Returns the reply to Describe of a statement routed to Route::Local. Object: 'S' for a statement,
// 'P' for a portal.
std::string describeLocal(const sql::Statement &S, char Object);

} // namespace toucan::session

#endif // TOUCAN_SESSION_LOCAL_H
