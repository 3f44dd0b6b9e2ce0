// Public header of the sql library: what a statement does, found with the parser of PostgreSQL.
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

enum class Kind : uint8_t {
  Read,          // SELECT, VALUES or EXPLAIN that changes nothing and locks nothing
  Write,         // changes or locks data, calls an unknown function, or could not be parsed
  Begin,         // BEGIN or START TRANSACTION
  BeginReadOnly, // the same with READ ONLY
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
  Unknown,     // too long to parse and not a plain data statement
};

std::string_view kindName(Kind K);

struct Statement {
  Kind Is = Kind::Write;
  std::vector<std::string> Tables; // lower case, without schema, sorted; without names of CTEs
  std::string Name;       // SET, RESET, SHOW, DEALLOCATE: the name; "all" for all; lower case
  std::string Value;      // SET: the value; several are joined by ", "
  bool ToDefault = false; // SET ... TO DEFAULT or RESET
};

struct Classified {
  std::vector<Statement> Statements; // empty for an empty text
  uint64_t Fingerprint = 0;          // of a single statement that was parsed; else 0
  bool Parsed = false;               // false: the parser refused the text, or it is too long
};

// A request id comment: /* request_id='...' */.
struct RequestIdComment {
  std::string Id;
  size_t Begin = 0; // of the comment in the text
  size_t End = 0;
};

// The first request id comment outside of string literals and quoted names.
std::optional<RequestIdComment> findRequestId(std::string_view Sql);

// Classifies without a cache. Never fails: a text that cannot be parsed is one Write statement, and
// the target reports the error.
Classified classifyText(const std::string &Sql);

// Classifies with a cache of bounded size. For one thread.
class Classifier {
public:
  // At most MaxBytes of texts are kept, in two generations of half the size each.
  explicit Classifier(size_t MaxBytes = 8 * 1024 * 1024) : MaxBytes(MaxBytes) {}

  // A request id comment is cut before the look-up, since it differs in each request.
  std::shared_ptr<const Classified> classify(const std::string &Sql);

  size_t cachedBytes() const { return this->YoungBytes + this->OldBytes; }
  uint64_t misses() const { return this->MissCount; }

private:
  using Generation = absl::flat_hash_map<std::string, std::shared_ptr<const Classified>>;
  void keep(const std::string &Sql, const std::shared_ptr<const Classified> &Entry);

  size_t MaxBytes;
  Generation Young;
  Generation Old;
  size_t YoungBytes = 0;
  size_t OldBytes = 0;
  uint64_t MissCount = 0;
};

} // namespace toucan::sql

#endif // TOUCAN_SQL_SQL_H
