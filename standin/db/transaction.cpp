#include "transaction.h"

#include "absl/strings/str_format.h"

#include <utility>

namespace toucan::standin {

namespace {

std::string quotedName(const std::string &Name) {
  std::string Out = "\"";
  for (char C : Name)
    Out.append(C == '"' ? 2 : 1, C);
  return Out + '"';
}

SqlError missingSavepointError(const std::string &Name) {
  return {.State = "3B001", .Message = absl::StrFormat("savepoint \"%s\" does not exist", Name)};
}

SqlError outsideBlockError(std::string_view Command) {
  return {.State = "25P01",
          .Message = absl::StrFormat("%s can only be used in transaction blocks", Command)};
}

} // namespace

char Transaction::status() const {
  if (!this->InBlock)
    return 'I';
  return this->Failed ? 'E' : 'T';
}

void Transaction::begin(bool IsReadOnly) {
  this->InBlock = true;
  this->ReadOnly = IsReadOnly;
}

void Transaction::reset() {
  this->InBlock = this->Failed = this->ReadOnly = this->Writing = false;
  this->Writes.clear();
  this->Savepoints.clear();
  this->WriterGuard.release();
}

std::optional<SqlError> Transaction::commit(sqlite3 *Handle) {
  if (!this->Writing) {
    this->reset();
    return std::nullopt;
  }
  std::string Sql;
  for (const std::string &Text : this->Writes)
    Sql += Text + ";\n";
  std::optional<SqlError> E;
  if (!Sql.empty())
    E = this->G.commit(this->Term, std::move(Sql), [Handle] { return runSql(Handle, "COMMIT"); });
  if (E || this->Writes.empty())
    this->rollback(Handle);
  this->reset();
  return E;
}

void Transaction::rollback(sqlite3 *Handle) {
  // After some errors SQLite has already rolled back by itself.
  if (this->Writing && sqlite3_get_autocommit(Handle) == 0)
    runSql(Handle, "ROLLBACK");
  this->reset();
}

std::optional<size_t> Transaction::findSavepoint(const std::string &Name) const {
  for (size_t I = this->Savepoints.size(); I > 0; --I)
    if (this->Savepoints[I - 1].Name == Name)
      return I - 1;
  return std::nullopt;
}

std::optional<SqlError> Transaction::savepoint(sqlite3 *Handle, const std::string &Name) {
  if (!this->InBlock)
    return outsideBlockError("SAVEPOINT");
  this->Savepoints.push_back({.Name = Name, .WriteCount = this->Writes.size()});
  return this->Writing ? runSql(Handle, "SAVEPOINT " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::release(sqlite3 *Handle, const std::string &Name) {
  if (!this->InBlock)
    return outsideBlockError("RELEASE SAVEPOINT");
  std::optional<size_t> Index = this->findSavepoint(Name);
  if (!Index)
    return missingSavepointError(Name);
  this->Savepoints.resize(*Index);
  return this->Writing ? runSql(Handle, "RELEASE " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::rollbackTo(sqlite3 *Handle, const std::string &Name) {
  if (!this->InBlock)
    return outsideBlockError("ROLLBACK TO SAVEPOINT");
  std::optional<size_t> Index = this->findSavepoint(Name);
  if (!Index)
    return missingSavepointError(Name);
  if (this->Writing && sqlite3_get_autocommit(Handle) != 0)
    return SqlError{.State = "40001", .Message = "the whole transaction was rolled back"};
  this->Savepoints.resize(*Index + 1);
  this->Writes.resize(this->Savepoints.back().WriteCount);
  this->Failed = false;
  return this->Writing ? runSql(Handle, "ROLLBACK TO " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::beginWrite(sqlite3 *Handle, SlotGuard &Slot) {
  if (this->ReadOnly)
    return SqlError{.State = "25006",
                    .Message = "cannot execute a write in a read-only transaction"};
  if (this->Term == 0)
    return SqlError{.State = "25006", .Message = "cannot write on a connection without group_term"};
  if (std::optional<SqlError> E = this->G.writeError(this->Term))
    return E;
  if (this->Writing)
    return std::nullopt;
  SqlError Cancelled{.State = "57014", .Message = "canceling statement due to user request"};
  // Avoids a deadlock: the transaction that holds the writer slot needs an execution slot to
  // finish.
  Slot.release();
  if (!this->WriterGuard.acquire())
    return Cancelled;
  std::optional<SqlError> E;
  if (!Slot.acquire())
    E = Cancelled;
  else
    E = runSql(Handle, "BEGIN IMMEDIATE");
  for (size_t I = 0; I < this->Savepoints.size() && !E; ++I)
    E = runSql(Handle, "SAVEPOINT " + quotedName(this->Savepoints[I].Name));
  this->Writing = sqlite3_get_autocommit(Handle) == 0;
  if (!this->Writing)
    this->WriterGuard.release();
  return E;
}

void Transaction::fail(sqlite3 *Handle) {
  if (this->InBlock)
    this->Failed = true;
  else
    this->rollback(Handle);
}

} // namespace toucan::standin
