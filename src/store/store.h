// Public header of the store library: the transactional rows in which instances keep what must
// outlast them, as the product uses them. Implementations call back in the loop's thread.
#ifndef TOUCAN_STORE_STORE_H
#define TOUCAN_STORE_STORE_H

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace toucan::store {

// Version of a row; 0 means that the row does not exist. Versions grow over the whole store.
using RowVersion = StrongId<struct RowVersionTag, uint64_t>;

struct Row {
  std::string Key;
  std::string Value;
  RowVersion Version;
};

enum class WriteOutcome : uint8_t {
  Done,     // the new value is in force
  Conflict, // another version was found; nothing was written
  Unknown,  // no answer: it may have been done, or may be done later
  NotDone,  // refused or not sent; nothing was written
};

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  RowVersion Version;  // Done: of the new row
  Row Found;           // Conflict: the row that stands there
  int64_t StoreMs = 0; // Done, Conflict: the store's own steady clock, in milliseconds
  std::string Cause;   // Unknown, NotDone
};

struct ReadResult {
  bool Done = false;
  std::vector<Row> Rows;
  int64_t StoreMs = 0;
  std::string Cause; // of a failure
};

class RowStore {
public:
  virtual ~RowStore() = default;
  // Reads all rows of a table.
  virtual void readAll(const std::string &Table, std::function<void(ReadResult)> Done) = 0;
  // Writes the row if it has the expected version.
  virtual void write(const std::string &Table, const std::string &Key, RowVersion Expected,
                     const std::string &Value, std::function<void(WriteResult)> Done) = 0;
  // Writes the row whatever its version is.
  virtual void overwrite(const std::string &Table, const std::string &Key, const std::string &Value,
                         std::function<void(WriteResult)> Done) = 0;
};

} // namespace toucan::store

#endif // TOUCAN_STORE_STORE_H
