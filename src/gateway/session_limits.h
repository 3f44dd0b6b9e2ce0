// Limits that apply to single statements and to transactions.
#ifndef TOUCAN_GATEWAY_SESSION_LIMITS_H
#define TOUCAN_GATEWAY_SESSION_LIMITS_H

#include "base/base.h"

namespace toucan::gateway {

// Delay before a statement that the target refused as busy is sent again.
inline constexpr absl::Duration BusyRetryDelay = absl::Milliseconds(15);
// A write that fails after at least this time was blocked at the target, for example because no
// replica receives the log. A lost connection or answer is detected sooner.
inline constexpr absl::Duration BlockedWriteThreshold = absl::Milliseconds(400);

// Messages of one caller that are processed before others are served, if each ends at once.
inline constexpr int MaxMessagesPerRound = 64;

// Bytes of such messages. One that is larger is still processed.
inline constexpr size_t MaxBytesPerRound = 64 * 1024;

// Longest wait for the proof that the primary had not been replaced, after its answer.
inline constexpr absl::Duration ProofTimeout = absl::Milliseconds(400);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SESSION_LIMITS_H
