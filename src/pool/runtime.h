// Run time estimates per statement fingerprint of one database, and the work classes derived from
// them. Performs no I/O.
#ifndef TOUCAN_POOL_RUNTIME_H
#define TOUCAN_POOL_RUNTIME_H

#include "base/base.h"
#include "rules/rules.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <list>

namespace toucan::pool {

enum class RunEnd : uint8_t {
  Completed,   // the run time is exact
  Interrupted, // by its deadline or a cancel: the run time is a lower bound
};

class RunTimeEstimator {
public:
  // Keeps at most Capacity fingerprints and evicts the least recently used one.
  explicit RunTimeEstimator(size_t Capacity = 4096) : Capacity(Capacity) {}

  // Returns Short for an unknown fingerprint and for 0.
  rules::WorkClass classOf(uint64_t Fingerprint);
  // Updates the estimate with a finished run; fingerprint 0 is ignored.
  void record(uint64_t Fingerprint, absl::Duration RunTime, RunEnd End);
  size_t size() const { return this->ByFingerprint.size(); }

private:
  struct Entry {
    uint64_t Fingerprint = 0;
    absl::Duration Estimate;
    rules::WorkClass Class = rules::WorkClass::Short;
  };
  using Entries = std::list<Entry>;

  // Returns the entry of a fingerprint and marks it most recently used; end() if there is none.
  Entries::iterator touch(uint64_t Fingerprint);

  size_t Capacity;
  Entries LruList; // most recently used first
  absl::flat_hash_map<uint64_t, Entries::iterator> ByFingerprint;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_RUNTIME_H
