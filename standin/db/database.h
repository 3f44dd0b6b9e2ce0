// SQLite database of a server, built from the log, and connections to it.
#ifndef TOUCAN_STANDIN_DB_DATABASE_H
#define TOUCAN_STANDIN_DB_DATABASE_H

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <sqlite3.h>

namespace toucan::standin {

// An error as the client sees it.
struct SqlError {
  std::string State; // SQLSTATE
  std::string Message;
  bool Fatal = false; // the connection ends
};

// What the SQL functions of a connection call.
class SqlHooks {
public:
  virtual ~SqlHooks() = default;
  // Waits; false when the request was cancelled.
  virtual bool sleep(std::chrono::milliseconds Time) = 0;
  virtual void notice(std::string_view Text) = 0;
  // True when the running statement must stop.
  virtual bool interrupted() = 0;
};

struct CloseSqlite {
  void operator()(sqlite3 *Handle) const { sqlite3_close_v2(Handle); }
};
using SqliteHandle = std::unique_ptr<sqlite3, CloseSqlite>;

struct FinalizeStatement {
  void operator()(sqlite3_stmt *Statement) const { sqlite3_finalize(Statement); }
};
using SqliteStatement = std::unique_ptr<sqlite3_stmt, FinalizeStatement>;

// Files of the database. Connections of one generation see the same data; a rebuild starts an
// empty generation. Not thread-safe.
//
// The files are in write-ahead mode, so that readers see a snapshot and neither hold up nor wait
// for the writer. A shared in-memory database of SQLite would let a long read block every commit.
class Database {
public:
  // Without files until rebuild().
  explicit Database(std::string Dir);
  ~Database();
  Database(const Database &) = delete;
  Database &operator=(const Database &) = delete;

  const std::string &path() const { return this->Path; }
  uint64_t generation() const { return this->Generation; }
  Result<void> rebuild();

private:
  void removeFiles() const;

  std::string Dir;
  std::string Path;
  uint64_t Generation = 0;
  SqliteHandle Anchor; // keeps the write-ahead file when no other connection is open
};

// Opens a connection. Without hooks, sleep_ms and raise_notice do nothing (replay of the log).
Result<SqliteHandle> openSqlite(const std::string &Path, SqlHooks *Hooks);

// Runs statements without rows; the error of the first that fails.
std::optional<SqlError> runSql(sqlite3 *Handle, const std::string &Sql);

// Error of the last call on the connection.
SqlError sqliteError(sqlite3 *Handle);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_DATABASE_H
