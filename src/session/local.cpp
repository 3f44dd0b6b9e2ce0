#include "session/local.h"

#include "wire/wire.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace toucan::session {

namespace {

using sql::StatementKind;

constexpr int32_t TextOid = 25;
constexpr std::string_view FailedTransaction = "25P02";
constexpr std::string_view NoActiveTransaction = "25P01";
constexpr std::string_view ActiveTransaction = "25001";

RouteDecision refuse(Reason R, std::string Detail) {
  return {.Destination = Route::Refused, .Error = {.Refusal = R, .Text = std::move(Detail)}};
}

RouteDecision serverError(std::string_view SqlState, std::string Text) {
  return {.Destination = Route::Refused,
          .Error = {.SqlState = std::string(SqlState), .Text = std::move(Text)}};
}

// Returns why a kind of statement is not supported on shared target connections; empty when it is.
std::string_view unsupportedText(StatementKind K) {
  switch (K) {
  case StatementKind::Listen:
    return "LISTEN needs a target connection of its own";
  case StatementKind::TempTable:
    return "a temporary table that outlives its transaction; ON COMMIT DROP is supported";
  case StatementKind::Prepare:
    return "SQL-level PREPARE and EXECUTE; the extended query protocol is supported";
  case StatementKind::Copy:
    return "COPY";
  case StatementKind::CursorHold:
    return "a cursor WITH HOLD";
  case StatementKind::SessionLock:
    return "a lock or setting made by a function for the whole session";
  case StatementKind::Unknown:
    return "a statement of this kind, or one too long to be classified";
  default:
    return "";
  }
}

RouteDecision routeSet(const sql::Statement &S, const SessionSettings &Settings) {
  SessionSettings Candidate = Settings;
  auto Outcome = S.ResetsToDefault ? Candidate.reset(S.Name) : Candidate.set(S.Name, S.Value);
  if (Outcome == SessionSettings::Outcome::Done)
    return {.Destination = Route::Local};
  if (Outcome == SessionSettings::Outcome::UnknownName)
    return refuse(Reason::NotSupported,
                  absl::StrFormat("setting \"%s\" outside SET LOCAL in a transaction", S.Name));
  return refuse(Reason::NotSupported,
                absl::StrFormat("value \"%s\" of setting \"%s\"", S.Value, S.Name));
}

// After the target connection of a transaction is lost, only COMMIT and ROLLBACK are accepted. The
// session answers them itself.
RouteDecision routeInLostTransaction(const sql::Statement &S, const Transaction &Tx) {
  if (S.Kind == StatementKind::Commit || S.Kind == StatementKind::Rollback)
    return {.Destination = Route::Local};
  if (Tx.LossUnreported)
    return refuse(Reason::LeaseUnknown, "");
  return serverError(FailedTransaction, "current transaction is aborted, commands ignored until "
                                        "end of transaction block");
}

std::string warning(std::string_view SqlState, std::string_view Text) {
  return wire::noticeResponse(
      {{'S', "WARNING"}, {'V', "WARNING"}, {'C', std::string(SqlState)}, {'M', std::string(Text)}});
}

std::string rowDescription(std::string_view Column) {
  return wire::Writer()
      .begin('T')
      .int16(1)
      .cstring(Column)
      .int32(0) // table OID
      .int16(0) // attribute number
      .int32(TextOid)
      .int16(-1) // variable length
      .int32(-1) // no type modifier
      .int16(0)  // text format
      .end()
      .take();
}

std::string dataRow(std::string_view Value) {
  return wire::Writer()
      .begin('D')
      .int16(1)
      .int32(static_cast<int32_t>(Value.size()))
      .bytes(Value)
      .end()
      .take();
}

std::string reportSetting(const std::string &Name, const SessionSettings &Settings) {
  std::string_view Report = SessionSettings::reportName(Name);
  return Report.empty() ? "" : wire::parameterStatus(Report, *Settings.get(Name));
}

// Saves the settings before the first change in a transaction, for a rollback.
void saveSettings(SessionState &State) {
  if (State.Tx.open() && !State.SettingsBeforeTransaction)
    State.SettingsBeforeTransaction = State.Settings;
}

std::string runSet(const sql::Statement &S, SessionState &State) {
  saveSettings(State);
  if (S.ResetsToDefault)
    State.Settings.reset(S.Name);
  else
    State.Settings.set(S.Name, S.Value);
  std::string Report = S.Name == "all" ? reportSetting("application_name", State.Settings)
                                       : reportSetting(S.Name, State.Settings);
  return Report + wire::commandComplete(S.ResetsToDefault && S.Value.empty() ? "RESET" : "SET");
}

void dropStatement(SessionState &State, const std::string &Name) {
  auto It = State.Statements.find(Name);
  if (It == State.Statements.end())
    return;
  State.StatementBytes -= It->second->ParseFrame.size();
  State.Statements.erase(It);
}

void dropStatements(SessionState &State) {
  State.Statements.clear();
  State.StatementBytes = 0;
}

std::string runDiscard(const sql::Statement &S, SessionState &State) {
  if (S.Name != "all")
    return wire::commandComplete("DISCARD");
  dropStatements(State);
  State.Settings.resetAll();
  return reportSetting("application_name", State.Settings) + wire::commandComplete("DISCARD ALL");
}

std::string runDeallocate(const sql::Statement &S, SessionState &State) {
  if (S.Name.empty()) {
    dropStatements(State);
    return wire::commandComplete("DEALLOCATE ALL");
  }
  dropStatement(State, S.Name);
  return wire::commandComplete("DEALLOCATE");
}

std::string runTransactionEnd(const sql::Statement &S, SessionState &State) {
  if (State.Tx.lost()) {
    State.Tx = Transaction{};
    return endTransactionSettings(State, true) + wire::commandComplete("ROLLBACK");
  }
  return warning(NoActiveTransaction, "there is no transaction in progress") +
         wire::commandComplete(S.Kind == StatementKind::Commit ? "COMMIT" : "ROLLBACK");
}

} // namespace

bool isUtf8(std::string_view Text) {
  for (size_t I = 0; I < Text.size();) {
    auto Lead = static_cast<unsigned char>(Text[I]);
    size_t Length = Lead < 0x80       ? 1
                    : Lead >> 5 == 6  ? 2
                    : Lead >> 4 == 14 ? 3
                    : Lead >> 3 == 30 ? 4
                                      : 0;
    if (Length == 0 || I + Length > Text.size())
      return false;
    uint32_t Code = Length == 1 ? Lead : Lead & (0xffU >> (Length + 1));
    for (size_t K = 1; K < Length; ++K) {
      auto Next = static_cast<unsigned char>(Text[I + K]);
      if (Next >> 6 != 2)
        return false;
      Code = Code << 6 | (Next & 0x3fU);
    }
    constexpr uint32_t Smallest[] = {0, 0, 0x80, 0x800, 0x10000};
    if (Code < Smallest[Length] || Code > 0x10ffff || (Code >= 0xd800 && Code < 0xe000))
      return false;
    I += Length;
  }
  return true;
}

RouteDecision routeStatement(const sql::Statement &S, const SessionState &State,
                             bool InTransaction) {
  if (State.Tx.lost())
    return routeInLostTransaction(S, State.Tx);
  // In a failed transaction the target refuses every statement except the end of the transaction.
  if (State.Tx.Status == 'E')
    return {.Destination = Route::Target};
  if (std::string_view Text = unsupportedText(S.Kind); !Text.empty())
    return refuse(Reason::NotSupported, std::string(Text));
  switch (S.Kind) {
  case StatementKind::Set:
    return routeSet(S, State.Settings);
  case StatementKind::Commit:
  case StatementKind::Rollback:
  case StatementKind::SetLocal:
    return {.Destination = InTransaction ? Route::Target : Route::Local};
  case StatementKind::Show:
    return {.Destination = State.Settings.get(S.Name) ? Route::Local : Route::Target};
  case StatementKind::Discard:
    if (InTransaction && S.Name == "all")
      return serverError(ActiveTransaction, "DISCARD ALL cannot run inside a transaction block");
    return {.Destination = Route::Local};
  case StatementKind::Unlisten:
    return {.Destination = Route::Local};
  case StatementKind::Deallocate:
    if (!S.Name.empty() && !State.Statements.contains(S.Name))
      return serverError("26000",
                         absl::StrFormat("prepared statement \"%s\" does not exist", S.Name));
    return {.Destination = Route::Local};
  case StatementKind::TxLock:
    if (!InTransaction)
      return refuse(Reason::NotSupported, "a transaction lock or setting outside a transaction");
    return {.Destination = Route::Target};
  default:
    return {.Destination = Route::Target};
  }
}

std::string runLocal(const sql::Statement &S, SessionState &State, bool WithRowDescription) {
  switch (S.Kind) {
  case StatementKind::Set:
    return runSet(S, State);
  case StatementKind::SetLocal:
    return warning(NoActiveTransaction, "SET LOCAL can only be used in transaction blocks") +
           wire::commandComplete("SET");
  case StatementKind::Show:
    return (WithRowDescription ? rowDescription(S.Name) : "") +
           dataRow(State.Settings.get(S.Name).value_or("")) + wire::commandComplete("SHOW");
  case StatementKind::Discard:
    return runDiscard(S, State);
  case StatementKind::Deallocate:
    return runDeallocate(S, State);
  case StatementKind::Commit:
  case StatementKind::Rollback:
    return runTransactionEnd(S, State);
  default:
    return wire::commandComplete("UNLISTEN");
  }
}

// Only application_name both can change and is reported; the other reported settings are fixed.
std::string endTransactionSettings(SessionState &State, bool RolledBack) {
  std::optional<SessionSettings> Before =
      std::exchange(State.SettingsBeforeTransaction, std::nullopt);
  if (!Before || !RolledBack)
    return "";
  constexpr const char *Reported = "application_name";
  bool Changed = Before->get(Reported) != State.Settings.get(Reported);
  State.Settings = std::move(*Before);
  return Changed ? reportSetting(Reported, State.Settings) : "";
}

std::string describeLocal(const sql::Statement &S, char Object) {
  std::string Parameters = Object == 'S' ? wire::Writer().begin('t').int16(0).end().take() : "";
  if (S.Kind == StatementKind::Show)
    return Parameters + rowDescription(S.Name);
  return Parameters + wire::emptyMessage('n');
}

} // namespace toucan::session
