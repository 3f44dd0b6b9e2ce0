#include "session.h"

#include "absl/strings/str_format.h"

#include <utility>

namespace toucan::standin {

namespace {

SqlError malformedMessageError(std::string_view What) {
  return {
      .State = "08P01", .Message = absl::StrFormat("malformed %s message", What), .Fatal = true};
}

SqlError unknownStatementError(const std::string &Name) {
  return {.State = "26000",
          .Message = absl::StrFormat("prepared statement \"%s\" does not exist", Name)};
}

SqlError unknownPortalError(const std::string &Name) {
  return {.State = "34000", .Message = absl::StrFormat("portal \"%s\" does not exist", Name)};
}

// Result columns of a command; empty if it returns no rows.
std::vector<Column> commandColumns(const Command &C, sqlite3_stmt *Statement) {
  if (Statement != nullptr)
    return resultColumns(Statement);
  if (C.Kind == CommandKind::Show)
    return {{.Name = C.Name}};
  return {};
}

} // namespace

std::optional<SqlError> Session::handleExtended(const wire::Frame &F) {
  switch (F.Type) {
  case 'P':
    return this->parse(F.Body);
  case 'B':
    return this->bind(F.Body);
  case 'D':
    return this->describe(F.Body);
  case 'E':
    return this->executeMessage(F.Body);
  case 'C':
    return this->closeMessage(F.Body);
  case 'H':
    this->Io.flush();
    return std::nullopt;
  case 'F':
    return SqlError{.State = "0A000", .Message = "function calls are not supported"};
  case 'c': // PostgreSQL ignores COPY messages outside of COPY
  case 'd':
  case 'f':
    return std::nullopt;
  default:
    return SqlError{.State = "08P01",
                    .Message = absl::StrFormat("invalid frontend message type %d", F.Type),
                    .Fatal = true};
  }
}

std::optional<SqlError> Session::parse(std::string_view Body) {
  std::optional<wire::ParseMessage> M = wire::parseParse(Body);
  if (!M)
    return malformedMessageError("Parse");
  if (std::optional<SqlError> E = this->openHandle())
    return E;
  std::vector<std::string> Texts = splitStatements(M->Sql);
  if (Texts.size() > 1)
    return SqlError{.State = "42601",
                    .Message = "cannot insert multiple commands into a prepared statement"};
  if (!M->Statement.empty() && this->Statements.count(M->Statement) > 0)
    return SqlError{.State = "42P05",
                    .Message =
                        absl::StrFormat("prepared statement \"%s\" already exists", M->Statement)};
  PreparedStatement P{.Cmd = Texts.empty() ? Command{} : classify(Texts[0]),
                      .ParameterTypes = M->ParameterTypes,
                      .Statement = {}};
  if (std::optional<SqlError> E = this->checkNotFailed(P.Cmd))
    return E;
  if (P.Cmd.Kind == CommandKind::GroupCall)
    return SqlError{.State = "0A000",
                    .Message = P.Cmd.Name + " is only supported in the simple query protocol"};
  if (P.Cmd.Kind == CommandKind::Sql) {
    if (std::optional<SqlError> E = prepareSql(this->Handle.get(), P.Cmd.Text, P.Statement))
      return E;
    P.ParameterTypes.resize(static_cast<size_t>(parameterCount(P.Statement.get())), 0);
  }
  for (int32_t &Oid : P.ParameterTypes)
    Oid = Oid == 0 ? TextOid : Oid;
  this->Statements.insert_or_assign(M->Statement, std::move(P));
  this->Io.write(wire::emptyMessage('1'));
  return std::nullopt;
}

std::optional<SqlError> Session::bind(std::string_view Body) {
  std::optional<wire::BindMessage> M = wire::parseBind(Body);
  if (!M)
    return malformedMessageError("Bind");
  auto At = this->Statements.find(M->Statement);
  if (At == this->Statements.end())
    return unknownStatementError(M->Statement);
  const PreparedStatement &Prepared = At->second;
  if (std::optional<SqlError> E = this->checkNotFailed(Prepared.Cmd))
    return E;
  if (!M->Portal.empty() && this->Portals.count(M->Portal) > 0)
    return SqlError{.State = "42P03",
                    .Message = absl::StrFormat("cursor \"%s\" already exists", M->Portal)};
  Portal P;
  P.Cmd = Prepared.Cmd;
  if (P.Cmd.Kind == CommandKind::Sql)
    if (std::optional<SqlError> E = prepareSql(this->Handle.get(), P.Cmd.Text, P.Statement))
      return E;
  P.Columns = commandColumns(P.Cmd, P.Statement.get());
  if (std::optional<SqlError> E = bindParameters(M->FormatsAndValues, Prepared, P))
    return E;
  this->Portals.insert_or_assign(M->Portal, std::move(P));
  this->Io.write(wire::emptyMessage('2'));
  return std::nullopt;
}

std::optional<SqlError> Session::describe(std::string_view Body) {
  std::optional<wire::NamedObject> M = wire::parseNamedObject(Body);
  if (!M)
    return malformedMessageError("Describe");
  std::vector<Column> Columns;
  const Portal *Formats = nullptr;
  if (M->Kind == 'S') {
    auto At = this->Statements.find(M->Name);
    if (At == this->Statements.end())
      return unknownStatementError(M->Name);
    this->Io.write(parameterDescription(At->second));
    Columns = commandColumns(At->second.Cmd, At->second.Statement.get());
  } else {
    auto At = this->Portals.find(M->Name);
    if (At == this->Portals.end())
      return unknownPortalError(M->Name);
    Columns = At->second.Columns;
    Formats = &At->second;
  }
  this->Io.write(Columns.empty() ? wire::emptyMessage('n') : rowDescription(Columns, Formats));
  return std::nullopt;
}

std::optional<SqlError> Session::executeMessage(std::string_view Body) {
  std::optional<wire::ExecuteMessage> M = wire::parseExecute(Body);
  if (!M)
    return malformedMessageError("Execute");
  auto At = this->Portals.find(M->Portal);
  if (At == this->Portals.end())
    return unknownPortalError(M->Portal);
  // COMMIT and ROLLBACK clear Portals, so the portal is moved out before it runs.
  if (At->second.Cmd.Kind != CommandKind::Sql) {
    Portal P = std::move(At->second);
    this->Portals.erase(At);
    return this->execute(P, M->MaxRows, false);
  }
  return this->execute(At->second, M->MaxRows, false);
}

std::optional<SqlError> Session::closeMessage(std::string_view Body) {
  std::optional<wire::NamedObject> M = wire::parseNamedObject(Body);
  if (!M)
    return malformedMessageError("Close");
  if (M->Kind == 'S')
    this->Statements.erase(M->Name);
  else
    this->Portals.erase(M->Name);
  this->Io.write(wire::emptyMessage('3'));
  return std::nullopt;
}

void Session::sync() {
  this->SkippingToSync = false;
  if (!this->Txn.inBlock()) {
    this->Portals.clear();
    if (std::optional<SqlError> E = this->Txn.commit(this->Handle.get()))
      this->sendError(*E);
  }
  if (!this->SentFatal)
    this->sendReady();
}

} // namespace toucan::standin
