// SQLite database of a server, rebuilt from its log, and connections to the database.
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

// Error that is sent to the client.
struct SqlError {
  std::string State; // SQLSTATE
  std::string Message;
  bool Fatal = false; // ends the connection
};

// Callbacks of the SQL functions and of the progress handler of a connection.
class SqlHooks {
public:
  virtual ~SqlHooks() = default;
  // Waits for Time. Returns false if the request was cancelled.
  virtual bool sleep(std::chrono::milliseconds Time) = 0;
  virtual void notice(std::string_view Text) = 0;
  virtual bool isReplica() = 0;
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

// Files of the database. All connections of one generation see the same data. A rebuild starts a
// new, empty generation. Not thread-safe.
//
// The files use write-ahead logging, so that readers see a snapshot and neither block the writer
// nor wait for it. In a shared in-memory database of SQLite a long read would block every commit.
class Database {
public:
  // Creates no files; rebuild() does.
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
  SqliteHandle PersistentHandle; // keeps the WAL file while no other connection is open
};

// Opens a connection. Hooks are null for log replay; sleep_ms and raise_notice then have no effect.
Result<SqliteHandle> openSqlite(const std::string &Path, SqlHooks *Hooks);

// Runs statements and discards their rows. Returns the error of the first that fails.
std::optional<SqlError> runSql(sqlite3 *Handle, const std::string &Sql);

// Error of the last call on the connection.
SqlError sqliteError(sqlite3 *Handle);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_DATABASE_H
