#include "database.h"

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

#include <array>
#include <cstdio>

namespace toucan::standin {

namespace {

constexpr int BusyTimeoutMs = 10'000;
constexpr int InterruptCheckSteps = 1000; // virtual machine steps between checks

// The VFS "unix-excl" keeps the WAL index in process memory instead of a shared mapping.
constexpr const char *VfsName = "unix-excl";

void sleepFunction(sqlite3_context *Context, int, sqlite3_value **Values) {
  auto *Hooks = static_cast<SqlHooks *>(sqlite3_user_data(Context));
  sqlite3_int64 Ms = sqlite3_value_int64(Values[0]);
  if (Hooks != nullptr && Ms > 0 && !Hooks->sleep(std::chrono::milliseconds(Ms)))
    sqlite3_result_error_code(Context, SQLITE_INTERRUPT);
  else
    sqlite3_result_int64(Context, Ms);
}

void noticeFunction(sqlite3_context *Context, int, sqlite3_value **Values) {
  auto *Hooks = static_cast<SqlHooks *>(sqlite3_user_data(Context));
  const auto *Text = reinterpret_cast<const char *>(sqlite3_value_text(Values[0]));
  if (Hooks != nullptr)
    Hooks->notice(Text != nullptr ? Text : "");
  sqlite3_result_value(Context, Values[0]);
}

void recoveryFunction(sqlite3_context *Context, int, sqlite3_value **) {
  auto *Hooks = static_cast<SqlHooks *>(sqlite3_user_data(Context));
  sqlite3_result_text(Context, Hooks != nullptr && Hooks->isReplica() ? "t" : "f", 1,
                      SQLITE_STATIC);
}

int checkInterrupted(void *Argument) {
  return static_cast<SqlHooks *>(Argument)->interrupted() ? 1 : 0;
}

void registerFunctions(sqlite3 *Handle, SqlHooks *Hooks) {
  sqlite3_create_function(Handle, "sleep_ms", 1, SQLITE_UTF8, Hooks, sleepFunction, nullptr,
                          nullptr);
  sqlite3_create_function(Handle, "raise_notice", 1, SQLITE_UTF8, Hooks, noticeFunction, nullptr,
                          nullptr);
  sqlite3_create_function(Handle, "pg_is_in_recovery", 0, SQLITE_UTF8, Hooks, recoveryFunction,
                          nullptr, nullptr);
  if (Hooks != nullptr)
    sqlite3_progress_handler(Handle, InterruptCheckSteps, checkInterrupted, Hooks);
}

struct MessagePattern {
  std::string_view Text;
  std::string_view State;
};

// SQLite reports these errors with the same code; only the message text distinguishes them.
constexpr std::array MessagePatterns = {
    MessagePattern{"no such table", "42P01"},
    MessagePattern{"no such column", "42703"},
    MessagePattern{"no such function", "42883"},
    MessagePattern{"wrong number of arguments", "42883"},
    MessagePattern{"already exists", "42P07"},
    MessagePattern{"ambiguous column name", "42702"},
    MessagePattern{"no such savepoint", "3B001"},
    MessagePattern{"integer overflow", "22003"},
    MessagePattern{"has no column named", "42703"},
};

std::string_view sqlStateOf(int Code, std::string_view Message) {
  switch (Code) {
  case SQLITE_CONSTRAINT_UNIQUE:
  case SQLITE_CONSTRAINT_PRIMARYKEY:
  case SQLITE_CONSTRAINT_ROWID:
    return "23505";
  case SQLITE_CONSTRAINT_NOTNULL:
    return "23502";
  case SQLITE_CONSTRAINT_FOREIGNKEY:
    return "23503";
  case SQLITE_CONSTRAINT_CHECK:
    return "23514";
  default:
    break;
  }
  switch (Code & 0xff) {
  case SQLITE_CONSTRAINT:
    return "23000";
  case SQLITE_INTERRUPT:
    return "57014";
  case SQLITE_READONLY:
    return "25006";
  case SQLITE_BUSY:
  case SQLITE_LOCKED:
    return "40001";
  case SQLITE_MISMATCH:
    return "22P02";
  case SQLITE_TOOBIG:
    return "54000";
  // If another connection changes the schema while a statement fails to compile, the code is
  // SQLITE_SCHEMA instead of SQLITE_ERROR. The text is the same.
  case SQLITE_SCHEMA:
  case SQLITE_ERROR:
    break;
  default:
    return "XX000";
  }
  for (const MessagePattern &M : MessagePatterns)
    if (absl::StrContains(absl::string_view(Message.data(), Message.size()),
                          absl::string_view(M.Text.data(), M.Text.size())))
      return M.State;
  return "42601";
}

} // namespace

Database::Database(std::string DataDir) : Dir(std::move(DataDir)) {}

Database::~Database() {
  this->PersistentHandle.reset();
  this->removeFiles();
}

void Database::removeFiles() const {
  for (const char *Suffix : {"", "-wal", "-journal"})
    std::remove((this->Path + Suffix).c_str());
}

Result<void> Database::rebuild() {
  this->PersistentHandle.reset();
  if (!this->Path.empty())
    this->removeFiles();
  ++this->Generation;
  this->Path = absl::StrFormat("%s/data-%d.sqlite", this->Dir, this->Generation);
  this->removeFiles();
  BOOST_LEAF_ASSIGN(this->PersistentHandle, openSqlite(this->Path, nullptr));
  // Set once here, because connections that change the mode concurrently get SQLITE_BUSY.
  if (std::optional<SqlError> E = runSql(this->PersistentHandle.get(), "PRAGMA journal_mode=WAL"))
    return failure(absl::StrFormat("cannot create \"%s\": %s", this->Path, E->Message));
  return {};
}

Result<SqliteHandle> openSqlite(const std::string &Path, SqlHooks *Hooks) {
  sqlite3 *Raw = nullptr;
  int Code =
      sqlite3_open_v2(Path.c_str(), &Raw,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, VfsName);
  SqliteHandle Handle(Raw);
  if (Code != SQLITE_OK)
    return failure(absl::StrFormat("cannot open database \"%s\": %s", Path, sqlite3_errstr(Code)));
  sqlite3_extended_result_codes(Raw, 1);
  sqlite3_busy_timeout(Raw, BusyTimeoutMs);
  // The database needs no sync because it is rebuilt from the log.
  std::optional<SqlError> E = runSql(Raw, "PRAGMA synchronous=OFF; PRAGMA foreign_keys=ON;");
  if (E)
    return failure(absl::StrFormat("cannot set up database \"%s\": %s", Path, E->Message));
  registerFunctions(Raw, Hooks);
  return Handle;
}

std::optional<SqlError> runSql(sqlite3 *Handle, const std::string &Sql) {
  if (sqlite3_exec(Handle, Sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK)
    return std::nullopt;
  return sqliteError(Handle);
}

SqlError sqliteError(sqlite3 *Handle) {
  std::string Message = sqlite3_errmsg(Handle);
  int Code = sqlite3_extended_errcode(Handle);
  std::string State(sqlStateOf(Code, Message));
  if (State == "57014")
    Message = "canceling statement due to user request";
  return {.State = State, .Message = Message};
}

} // namespace toucan::standin
