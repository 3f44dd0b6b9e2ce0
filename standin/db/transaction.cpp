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

SqlError noSavepoint(const std::string &Name) {
  return {.State = "3B001", .Message = absl::StrFormat("savepoint \"%s\" does not exist", Name)};
}

SqlError noBlock(std::string_view What) {
  return {.State = "25P01",
          .Message = absl::StrFormat("%s can only be used in transaction blocks", What)};
}

} // namespace

char Transaction::status() const {
  if (!this->Block)
    return 'I';
  return this->Failed ? 'E' : 'T';
}

void Transaction::begin(bool IsReadOnly) {
  this->Block = true;
  this->ReadOnly = IsReadOnly;
}

void Transaction::clear() {
  this->Block = this->Failed = this->ReadOnly = this->Writing = false;
  this->Texts.clear();
  this->Savepoints.clear();
  this->Writer.release();
}

std::optional<SqlError> Transaction::commit(sqlite3 *Handle) {
  if (!this->Writing) {
    this->clear();
    return std::nullopt;
  }
  std::string Sql;
  for (const std::string &Text : this->Texts)
    Sql += Text + ";\n";
  std::optional<SqlError> E;
  if (!Sql.empty())
    E = this->G.commit(this->Term, std::move(Sql), [Handle] { return runSql(Handle, "COMMIT"); });
  if (E || this->Texts.empty())
    this->rollback(Handle);
  this->clear();
  return E;
}

void Transaction::rollback(sqlite3 *Handle) {
  // After some errors SQLite has already rolled back by itself.
  if (this->Writing && sqlite3_get_autocommit(Handle) == 0)
    runSql(Handle, "ROLLBACK");
  this->clear();
}

std::optional<size_t> Transaction::find(const std::string &Name) const {
  for (size_t I = this->Savepoints.size(); I > 0; --I)
    if (this->Savepoints[I - 1].Name == Name)
      return I - 1;
  return std::nullopt;
}

std::optional<SqlError> Transaction::savepoint(sqlite3 *Handle, const std::string &Name) {
  if (!this->Block)
    return noBlock("SAVEPOINT");
  this->Savepoints.push_back({.Name = Name, .Texts = this->Texts.size()});
  return this->Writing ? runSql(Handle, "SAVEPOINT " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::release(sqlite3 *Handle, const std::string &Name) {
  if (!this->Block)
    return noBlock("RELEASE SAVEPOINT");
  std::optional<size_t> At = this->find(Name);
  if (!At)
    return noSavepoint(Name);
  this->Savepoints.resize(*At);
  return this->Writing ? runSql(Handle, "RELEASE " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::rollbackTo(sqlite3 *Handle, const std::string &Name) {
  if (!this->Block)
    return noBlock("ROLLBACK TO SAVEPOINT");
  std::optional<size_t> At = this->find(Name);
  if (!At)
    return noSavepoint(Name);
  if (this->Writing && sqlite3_get_autocommit(Handle) != 0)
    return SqlError{.State = "40001", .Message = "the whole transaction was rolled back"};
  this->Savepoints.resize(*At + 1);
  this->Texts.resize(this->Savepoints.back().Texts);
  this->Failed = false;
  return this->Writing ? runSql(Handle, "ROLLBACK TO " + quotedName(Name)) : std::nullopt;
}

std::optional<SqlError> Transaction::beginWrite(sqlite3 *Handle, SlotHold &Slot) {
  if (this->ReadOnly)
    return SqlError{.State = "25006",
                    .Message = "cannot execute a write in a read-only transaction"};
  if (this->Term == 0)
    return SqlError{.State = "25006", .Message = "cannot write on a connection without group_term"};
  if (std::optional<SqlError> E = this->G.admitsWrite(this->Term))
    return E;
  if (this->Writing)
    return std::nullopt;
  SqlError Cancelled{.State = "57014", .Message = "canceling statement due to user request"};
  // Avoids a deadlock: the transaction that holds the writer slot needs an execution slot to
  // finish.
  Slot.release();
  if (!this->Writer.acquire())
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
    this->Writer.release();
  return E;
}

void Transaction::fail(sqlite3 *Handle) {
  if (this->Block)
    this->Failed = true;
  else
    this->rollback(Handle);
}

} // namespace toucan::standin
