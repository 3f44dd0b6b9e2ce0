// Estimate of the run time of each statement fingerprint of one database, and the work class that
// follows from it. Pure.
#ifndef TOUCAN_POOL_RUNTIME_H
#define TOUCAN_POOL_RUNTIME_H

#include "base/base.h"
#include "rules/rules.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <list>

namespace toucan::pool {

// How a run ended.
enum class RunEnd : uint8_t {
  Completed,   // the run time is known
  Interrupted, // by its deadline or a cancel: the run time is at least the given one
};

class RunTimeEstimator {
public:
  // Keeps at most Capacity fingerprints and forgets the one that was used least recently.
  explicit RunTimeEstimator(size_t Capacity = 4096) : Capacity(Capacity) {}

  // Short for a fingerprint that is not known, and for 0.
  rules::WorkClass classOf(uint64_t Fingerprint);
  // A run of the fingerprint has ended; 0 is ignored.
  void record(uint64_t Fingerprint, absl::Duration RunTime, RunEnd End);
  size_t size() const { return this->ByFingerprint.size(); }

private:
  struct Entry {
    uint64_t Fingerprint = 0;
    absl::Duration Estimate;
    rules::WorkClass Class = rules::WorkClass::Short;
  };
  using Entries = std::list<Entry>;

  // The entry of a fingerprint, which becomes the most recently used one; end() for none.
  Entries::iterator touch(uint64_t Fingerprint);

  size_t Capacity;
  Entries LruList; // the most recently used first
  absl::flat_hash_map<uint64_t, Entries::iterator> ByFingerprint;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_RUNTIME_H
