// Limits that single statements and transactions of a session share.
#ifndef TOUCAN_GATEWAY_SESSION_LIMITS_H
#define TOUCAN_GATEWAY_SESSION_LIMITS_H

#include "base/base.h"

namespace toucan::gateway {

// Pause before a statement that the target refused as busy is sent to the same target again.
inline constexpr absl::Duration BusyRetryDelay = absl::Milliseconds(15);
// A write that ends without success after this time was held up at the target, as when no replica
// receives; a lost connection or answer shows sooner.
inline constexpr absl::Duration BlockedWriteThreshold = absl::Milliseconds(400);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SESSION_LIMITS_H
