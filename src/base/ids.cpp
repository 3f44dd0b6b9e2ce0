#include "base/ids.h"

#include <ctime>

namespace toucan {

Instant monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_MONOTONIC, &Now);
  return absl::TimeFromTimespec(Now);
}

} // namespace toucan
