// Public header of the store library: the interface to the transactional row store in which
// instances keep state that must survive them. Implementations invoke callbacks on the event loop's
// thread.
#ifndef TOUCAN_STORE_STORE_H
#define TOUCAN_STORE_STORE_H

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace toucan::store {

// Version of a row; 0 means that the row does not exist. Versions increase across the whole store.
using RowVersion = StrongId<struct RowVersionTag, uint64_t>;

struct Row {
  std::string Key;
  std::string Value;
  RowVersion Version;
};

enum class WriteOutcome : uint8_t {
  Done,     // the new value was stored
  Conflict, // another version was found; nothing was written
  Unknown,  // no answer: the write may have taken effect, or may do so later
  NotDone,  // refused or not sent; nothing was written
};

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  RowVersion Version;  // Done: version of the new row
  Row Found;           // Conflict: the row found in the store
  int64_t StoreMs = 0; // Done, Conflict: the store's own steady clock, in milliseconds
  std::string Cause;   // Unknown, NotDone: cause of the failure
};

struct ReadResult {
  bool Done = false;
  std::vector<Row> Rows;
  int64_t StoreMs = 0;
  std::string Cause; // cause of a failure
};

class RowStore {
public:
  virtual ~RowStore() = default;
  // Reads all rows of a table.
  virtual void readAll(const std::string &Table, std::function<void(ReadResult)> Done) = 0;
  // Writes the row if it has the expected version.
  virtual void write(const std::string &Table, const std::string &Key, RowVersion Expected,
                     const std::string &Value, std::function<void(WriteResult)> Done) = 0;
  // Writes the row regardless of its version.
  virtual void overwrite(const std::string &Table, const std::string &Key, const std::string &Value,
                         std::function<void(WriteResult)> Done) = 0;
};

} // namespace toucan::store

#endif // TOUCAN_STORE_STORE_H
