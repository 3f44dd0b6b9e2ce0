// Public header of the sql library, which classifies SQL statements with the parser of PostgreSQL.
#ifndef TOUCAN_SQL_SQL_H
#define TOUCAN_SQL_SQL_H

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::sql {

enum class StatementKind : uint8_t {
  Read,          // SELECT, VALUES or EXPLAIN that neither writes nor locks
  Write,         // changes or locks data, calls an unknown function, or could not be parsed
  Begin,         // BEGIN or START TRANSACTION
  BeginReadOnly, // BEGIN or START TRANSACTION with READ ONLY
  Commit,
  Rollback,
  Savepoint,   // SAVEPOINT, RELEASE, ROLLBACK TO
  Set,         // SET, RESET: the setting outlives the transaction
  SetLocal,    // SET LOCAL, SET TRANSACTION
  Show,        // SHOW name
  Discard,     // DISCARD
  Listen,      // LISTEN
  Unlisten,    // UNLISTEN
  TempTable,   // temporary table or view that outlives the transaction
  Prepare,     // SQL-level PREPARE or EXECUTE
  Deallocate,  // SQL-level DEALLOCATE
  Copy,        // COPY
  CursorHold,  // DECLARE ... WITH HOLD
  SessionLock, // session-level advisory lock, or set_config that outlives the transaction
  TxLock,      // transaction-level advisory lock or set_config: needs an open transaction
  Unknown,     // LOAD; or too long to parse and not a plain data statement
};

std::string_view statementKindName(StatementKind K);

struct Statement {
  StatementKind Kind = StatementKind::Write;
  std::vector<std::string> Tables; // lower case, sorted, without schema and without names of CTEs
  // SET, RESET, SHOW: the setting in lower case, "all" for RESET ALL. DISCARD: "all" for DISCARD
  // ALL. DEALLOCATE: the prepared statement, empty for DEALLOCATE ALL.
  std::string Name;
  std::string Value;            // SET: the value; several values are joined by ", "
  bool ResetsToDefault = false; // SET ... TO DEFAULT or RESET
};

struct Classification {
  std::vector<Statement> Statements; // empty if the text holds no statement
  uint64_t Fingerprint = 0;          // 0 unless the text was parsed and is a single statement
  bool Parsed = false;               // false if the text has a syntax error or is too long to parse
};

// A request id comment: /* request_id='...' */.
struct RequestIdComment {
  std::string Id;
  size_t Begin = 0; // offset of the comment in the text
  size_t End = 0;   // offset after the comment
};

// Finds the first request id comment outside of string literals and quoted identifiers.
std::optional<RequestIdComment> findRequestId(std::string_view Sql);

// Classifies a text without a cache. Never fails: a text with a syntax error counts as one Write
// statement, so that it reaches the target and the target reports the error.
Classification classifyText(const std::string &Sql);

// Classifies texts with a cache of bounded size. Not thread-safe.
class Classifier {
public:
  // The cache holds at most MaxBytes of texts, in two generations of at most half of that each.
  // When the young generation is full, it replaces the old one.
  explicit Classifier(size_t MaxBytes = 8 * 1024 * 1024) : MaxBytes(MaxBytes) {}

  // Looks the text up without its request id comment, since the id differs in each request.
  std::shared_ptr<const Classification> classify(const std::string &Sql);

  size_t cachedBytes() const { return this->YoungBytes + this->OldBytes; }
  uint64_t misses() const { return this->MissCount; }

private:
  using Generation = absl::flat_hash_map<std::string, std::shared_ptr<const Classification>>;
  void insert(const std::string &Sql, const std::shared_ptr<const Classification> &Entry);

  size_t MaxBytes;
  Generation Young;
  Generation Old;
  size_t YoungBytes = 0;
  size_t OldBytes = 0;
  uint64_t MissCount = 0;
};

} // namespace toucan::sql

#endif // TOUCAN_SQL_SQL_H
