// Statements that the session answers itself, or refuses.
#ifndef TOUCAN_SESSION_LOCAL_H
#define TOUCAN_SESSION_LOCAL_H

#include "base/verdict.h"
#include "session/state.h"
#include "sql/sql.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::session {

// An error that the session reports without asking a target.
struct LocalError {
  Reason Refusal =
      Reason::None;     // a refusal of the proxy; None: an error as a server would report it
  std::string SqlState; // for Reason::None
  std::string Text;     // for Reason::None the message, else the detail
};

enum class Route : uint8_t { Target, Local, Refused };

struct RouteDecision {
  Route Destination = Route::Target;
  LocalError Error; // when refused
};

// Text in a message between instances must be UTF-8: one that is not is dropped by its receiver.
bool isUtf8(std::string_view Text);

// Decides who answers a statement. InTransaction: a transaction is open, or begun earlier in the
// request.
RouteDecision routeStatement(const sql::Statement &S, const SessionState &State,
                             bool InTransaction);

// Runs a statement with Route::Local: changes the state and returns the frames of the reply, for
// Execute (or Query, with WithRowDescription).
std::string runLocal(const sql::Statement &S, SessionState &State, bool WithRowDescription);

// Ends the settings of a transaction; returns the ParameterStatus frames of those that a rollback
// has changed back.
std::string endTransactionSettings(SessionState &State, bool RolledBack);

// Reply to Describe of a statement with Route::Local.
std::string describeLocal(const sql::Statement &S, char Object);

} // namespace toucan::session

#endif // TOUCAN_SESSION_LOCAL_H
