#include "base/ids.h"

#include <ctime>

namespace toucan {

const AccountName &defaultAccount() {
  static const AccountName Default("toucanrun");
  return Default;
}

Instant monotonicNow() {
  timespec Now{};
  // CLOCK_MONOTONIC stands still while a machine is suspended, so ages measured by it would be too
  // low.
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return absl::TimeFromTimespec(Now);
}

} // namespace toucan
