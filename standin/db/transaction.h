// Transaction of one connection, with the states and errors of PostgreSQL.
#ifndef TOUCAN_STANDIN_DB_TRANSACTION_H
#define TOUCAN_STANDIN_DB_TRANSACTION_H

#include "database.h"
#include "group.h"
#include "interrupt.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standin {

// Each statement before the first write reads its own snapshot (READ COMMITTED). The first write
// takes the writer slot of the group and begins the SQLite transaction.
class Transaction {
public:
  Transaction(Group &G, const Interrupt &I) : G(G), WriterGuard(G.writerSlot(), I) {}

  // Term of the connection; 0 for a control connection, which cannot write.
  void setTerm(uint64_t T) { this->Term = T; }

  char status() const;
  bool inBlock() const { return this->InBlock; }
  bool failed() const { return this->Failed; }
  bool writing() const { return this->Writing; }

  // Executes BEGIN. An implicit transaction that has already written becomes part of the block.
  void begin(bool ReadOnly);
  void setReadOnly(bool ReadOnly) { this->ReadOnly = ReadOnly; }
  // Ends the transaction. An error means that it was rolled back.
  std::optional<SqlError> commit(sqlite3 *Handle);
  void rollback(sqlite3 *Handle);

  std::optional<SqlError> savepoint(sqlite3 *Handle, const std::string &Name);
  std::optional<SqlError> release(sqlite3 *Handle, const std::string &Name);
  std::optional<SqlError> rollbackTo(sqlite3 *Handle, const std::string &Name);

  // Must succeed before a statement that writes. Releases the execution slot Slot while it waits
  // for the writer slot.
  std::optional<SqlError> beginWrite(sqlite3 *Handle, SlotGuard &Slot);
  // Records an executed write for the log. Sql has its parameters bound.
  void recordWrite(std::string Sql) { this->Writes.push_back(std::move(Sql)); }
  // Handles a failed statement: rolls back an implicit transaction, marks a block as failed.
  void fail(sqlite3 *Handle);

private:
  struct Savepoint {
    std::string Name;
    size_t WriteCount; // number of writes before the savepoint
  };
  // Index of the newest savepoint with this name.
  std::optional<size_t> findSavepoint(const std::string &Name) const;
  void reset();

  Group &G;
  SlotGuard WriterGuard;
  uint64_t Term = 0;
  bool InBlock = false;
  bool Failed = false;
  bool ReadOnly = false;
  bool Writing = false;
  std::vector<std::string> Writes;
  std::vector<Savepoint> Savepoints;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_TRANSACTION_H
