#include "session.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

#include <array>
#include <utility>

namespace toucan::standin {

namespace {

SqlError cancelledError() {
  return {.State = "57014", .Message = "canceling statement due to user request"};
}

bool allowedInFailedBlock(CommandKind Kind) {
  return Kind == CommandKind::Commit || Kind == CommandKind::Rollback ||
         Kind == CommandKind::RollbackTo;
}

std::string numberText(uint64_t V) { return absl::StrFormat("%d", V); }

// Numeric argument; 0 if it is missing or not a number.
uint64_t numericArgument(const Command &C, size_t At) {
  uint64_t V = 0;
  if (At >= C.Arguments.size() || !absl::SimpleAtoi(C.Arguments[At], &V))
    return 0;
  return V;
}

std::string textArgument(const Command &C, size_t At) {
  return At < C.Arguments.size() ? C.Arguments[At] : "";
}

std::vector<Column> textColumns(std::initializer_list<const char *> Names) {
  std::vector<Column> Out;
  for (const char *Name : Names)
    Out.push_back({.Name = Name});
  return Out;
}

// SQL function on control connections that returns the group status.
struct GroupFunction {
  std::string_view Name;
  size_t Arguments;
  GroupStatus (*Call)(Group &, const Command &, const Interrupt &);
};

constexpr std::array GroupFunctions = {
    GroupFunction{"group_status", 0,
                  [](Group &G, const Command &, const Interrupt &) { return G.status(); }},
    GroupFunction{"group_accept_term", 2,
                  [](Group &G, const Command &C, const Interrupt &) {
                    return G.acceptTerm(numericArgument(C, 0), textArgument(C, 1));
                  }},
    GroupFunction{"group_promote", 2,
                  [](Group &G, const Command &C, const Interrupt &) {
                    return G.promote(numericArgument(C, 0), textArgument(C, 1));
                  }},
    GroupFunction{"group_follow", 3,
                  [](Group &G, const Command &C, const Interrupt &) {
                    return G.follow(numericArgument(C, 0), textArgument(C, 1),
                                    static_cast<uint16_t>(numericArgument(C, 2)));
                  }},
    GroupFunction{"group_wait", 3,
                  [](Group &G, const Command &C, const Interrupt &I) {
                    return G.wait(numericArgument(C, 0), numericArgument(C, 1),
                                  std::chrono::milliseconds(numericArgument(C, 2)), I);
                  }},
};

} // namespace

std::optional<SqlError> Session::checkNotFailed(const Command &C) const {
  if (!this->Txn.failed() || allowedInFailedBlock(C.Kind))
    return std::nullopt;
  return SqlError{.State = "25P02",
                  .Message = "current transaction is aborted, commands ignored until end of "
                             "transaction block"};
}

// Runs a portal. If Last is true and no transaction block is open, the implicit transaction is
// committed before CommandComplete is sent.
std::optional<SqlError> Session::execute(Portal &P, int32_t MaxRows, bool Last) {
  if (std::optional<SqlError> E = this->checkNotFailed(P.Cmd))
    return E;
  std::string Tag = P.Cmd.Tag;
  std::optional<SqlError> E;
  switch (P.Cmd.Kind) {
  case CommandKind::Empty:
    this->Io.write(wire::emptyQueryResponse());
    return std::nullopt;
  case CommandKind::Sql:
    return this->executeSql(P, MaxRows, Last);
  case CommandKind::Unsupported:
    return SqlError{.State = "0A000", .Message = Tag + " is not supported"};
  case CommandKind::GroupCall:
    E = this->runGroupCall(P.Cmd);
    Tag = "SELECT";
    break;
  case CommandKind::Set:
  case CommandKind::Show:
  case CommandKind::Reset:
  case CommandKind::Discard:
    E = this->runSetting(P.Cmd);
    break;
  default:
    E = this->runTransaction(P.Cmd, Tag);
    break;
  }
  if (E)
    return E;
  if (P.Cmd.Kind == CommandKind::GroupCall) // runGroupCall() has sent CommandComplete
    return std::nullopt;
  return this->completeCommand(Tag, Last);
}

std::optional<SqlError> Session::completeCommand(const std::string &Tag, bool Last) {
  if (Last && !this->Txn.inBlock())
    if (std::optional<SqlError> E = this->Txn.commit(this->Handle.get()))
      return E;
  this->reportPosition();
  this->Io.write(wire::commandComplete(Tag));
  return std::nullopt;
}

std::optional<SqlError> Session::executeSql(Portal &P, int32_t MaxRows, bool Last) {
  if (P.Finished)
    return this->completeCommand(P.Cmd.TagHasRowCount ? P.Cmd.Tag + " 0" : P.Cmd.Tag, Last);
  SlotGuard Slot(this->Context.WorkSlots, this->SessionInterrupt);
  if (!Slot.acquire())
    return cancelledError();
  bool Writes = sqlite3_stmt_readonly(P.Statement.get()) == 0;
  if (Writes && !P.Started)
    if (std::optional<SqlError> E = this->Txn.beginWrite(this->Handle.get(), Slot))
      return E;
  if (!P.Started && !this->SessionInterrupt.sleep(this->Context.Options.WorkDelay))
    return cancelledError();
  P.Started = true;
  P.RowsSent = 0;
  bool Suspended = false;
  if (std::optional<SqlError> E = this->sendRows(P, MaxRows, Suspended))
    return E;
  if (Suspended) {
    this->Io.write(wire::emptyMessage('s'));
    return std::nullopt;
  }
  P.Finished = true;
  uint64_t Count = P.Cmd.Tag == "SELECT"
                       ? P.RowsSent
                       : static_cast<uint64_t>(sqlite3_changes64(this->Handle.get()));
  if (Writes) {
    char *Expanded = sqlite3_expanded_sql(P.Statement.get());
    this->Txn.recordWrite(Expanded != nullptr ? Expanded : "");
    sqlite3_free(Expanded);
  }
  // Without the reset, the statement would keep its read snapshot open.
  sqlite3_reset(P.Statement.get());
  Slot.release();
  return this->completeCommand(
      P.Cmd.TagHasRowCount ? P.Cmd.Tag + ' ' + numberText(Count) : P.Cmd.Tag, Last);
}

// Sends rows until the statement ends or MaxRows (if not 0) are sent; the latter sets Suspended.
std::optional<SqlError> Session::sendRows(Portal &P, int32_t MaxRows, bool &Suspended) {
  while (this->Io.canSend()) {
    if (this->SessionInterrupt.interrupted())
      return cancelledError();
    if (MaxRows > 0 && P.RowsSent == static_cast<uint64_t>(MaxRows)) {
      Suspended = true;
      return std::nullopt;
    }
    int Code = sqlite3_step(P.Statement.get());
    if (Code == SQLITE_DONE)
      return std::nullopt;
    if (Code != SQLITE_ROW) {
      SqlError E = sqliteError(this->Handle.get());
      sqlite3_reset(P.Statement.get());
      return E;
    }
    ++P.RowsSent;
    this->Io.write(dataRow(P));
  }
  return SqlError{.State = "08006", .Message = "connection to client lost", .Fatal = true};
}

std::optional<SqlError> Session::endTransaction(bool Commit) {
  this->Portals.clear();
  std::optional<SqlError> E;
  if (Commit)
    E = this->Txn.commit(this->Handle.get());
  else
    this->Txn.rollback(this->Handle.get());
  this->Settings.endBlock(Commit && !E);
  return E;
}

void Session::warnIfOutsideBlock() {
  if (!this->Txn.inBlock())
    this->sendNotice("WARNING", "25P01", "there is no transaction in progress");
}

std::optional<SqlError> Session::runTransaction(const Command &C, std::string &Tag) {
  sqlite3 *Sqlite = this->Handle.get();
  switch (C.Kind) {
  case CommandKind::Begin:
    if (this->Txn.inBlock()) {
      this->sendNotice("WARNING", "25001", "there is already a transaction in progress");
      return std::nullopt;
    }
    this->Settings.beginBlock();
    this->Txn.begin(C.ReadOnly);
    return std::nullopt;
  case CommandKind::Commit:
    this->warnIfOutsideBlock();
    if (this->Txn.failed())
      Tag = "ROLLBACK";
    return this->endTransaction(!this->Txn.failed());
  case CommandKind::Rollback:
    this->warnIfOutsideBlock();
    return this->endTransaction(false);
  case CommandKind::Savepoint:
    return this->Txn.savepoint(Sqlite, C.Name);
  case CommandKind::Release:
    return this->Txn.release(Sqlite, C.Name);
  default:
    return this->Txn.rollbackTo(Sqlite, C.Name);
  }
}

std::optional<SqlError> Session::runSetting(const Command &C) {
  if (C.Kind == CommandKind::Set) {
    if (C.Name == "transaction" || C.Name == "characteristics") {
      this->Txn.setReadOnly(C.ReadOnly);
      return std::nullopt;
    }
    return this->Settings.set(C.Name, C.Value, C.Local);
  }
  if (C.Kind == CommandKind::Reset || C.Kind == CommandKind::Discard) {
    if (C.Kind == CommandKind::Discard)
      this->Statements.clear();
    this->Settings.reset(C.Kind == CommandKind::Discard ? "all" : C.Name);
    return std::nullopt;
  }
  std::optional<std::string> Value = this->Settings.get(C.Name);
  if (!Value)
    return SqlError{.State = "42704",
                    .Message =
                        absl::StrFormat("unrecognized configuration parameter \"%s\"", C.Name)};
  this->Io.write(textRow({*Value}));
  return std::nullopt;
}

void Session::sendGroupStatus(const GroupStatus &S) {
  this->Io.write(
      rowDescription(textColumns({"server", "accepted_term", "proposer", "role", "log_term",
                                  "received", "applied", "accepted", "following"}),
                     nullptr));
  this->Io.write(textRow({S.Server, numberText(S.AcceptedTerm), S.Proposer, roleName(S.CurrentRole),
                          numberText(S.LogTerm), numberText(S.Received), numberText(S.Applied),
                          S.Accepted ? "t" : "f", S.Following}));
  this->Io.write(wire::commandComplete("SELECT 1"));
}

std::optional<SqlError> Session::runGroupCall(const Command &C) {
  if (this->Term != 0)
    return SqlError{.State = "42501",
                    .Message = C.Name + " is only allowed on a connection without group_term"};
  if (C.Name == "group_log")
    return this->runLogCall(C);
  for (const GroupFunction &F : GroupFunctions)
    if (F.Name == C.Name && F.Arguments == C.Arguments.size()) {
      this->sendGroupStatus(F.Call(this->Context.G, C, this->SessionInterrupt));
      return std::nullopt;
    }
  return SqlError{.State = "42883",
                  .Message = absl::StrFormat("function %s with %d arguments does not exist", C.Name,
                                             C.Arguments.size())};
}

// SELECT * FROM group_log(TERM, AFTER, LAST_TERM, LIMIT): see docs/platform.md.
std::optional<SqlError> Session::runLogCall(const Command &C) {
  std::optional<LogSlice> Slice = this->Context.G.slice({.Term = numericArgument(C, 0),
                                                         .After = numericArgument(C, 1),
                                                         .LastTerm = numericArgument(C, 2),
                                                         .Limit = numericArgument(C, 3)},
                                                        this->SessionInterrupt);
  if (!Slice)
    return SqlError{.State = "57P01",
                    .Message =
                        absl::StrFormat("not the primary of term %d", numericArgument(C, 0))};
  this->Io.write(rowDescription(textColumns({"kind", "term", "position", "sql"}), nullptr));
  this->Io.write(textRow({Slice->Matches ? "match" : "differs", numberText(Slice->HintTerm),
                          numberText(Slice->HintPosition), ""}));
  for (const LogEntry &E : Slice->Entries)
    this->Io.write(textRow({"entry", numberText(E.Term), numberText(E.Position), E.Sql}));
  this->Io.write(wire::commandComplete("SELECT " + numberText(Slice->Entries.size() + 1)));
  return std::nullopt;
}

} // namespace toucan::standin
