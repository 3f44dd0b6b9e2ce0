// Decides from the observations of one instance whether a service needs another primary.
#ifndef TOUCAN_PROMOTION_DETECTOR_H
#define TOUCAN_PROMOTION_DETECTOR_H

#include "base/base.h"

#include <optional>
#include <string_view>

namespace toucan::promotion {

enum class ChangeKind : uint8_t {
  Switchover, // planned: the primary still serves and will exit
  Failover,   // unplanned: the primary does not answer, or cannot acknowledge writes
};

// Health of the current primary, as observed by one instance.
struct PrimaryHealth {
  bool PrimaryKnown = false;                     // a registered target is known to be primary
  Instant LeavingSince = absl::InfiniteFuture(); // when the primary announced its exit
  Instant PrimaryUnknownSince = absl::InfiniteFuture();
  Instant LastAnswer = absl::InfinitePast(); // last answer to any request
  // When the last answer came, if others were owed then; otherwise when the oldest request since
  // was sent. Infinite future if no answer is owed.
  Instant UnansweredSince = absl::InfiniteFuture();
  Instant UnreachableSince =
      absl::InfiniteFuture(); // first failed connection since the last answer
  int FailedConnections = 0;  // since the last answer
  Instant WritesStalledSince =
      absl::InfiniteFuture(); // first write timed out since the last successful one
  int WritesTimedOut = 0;     // writes timed out since the last successful one
};

struct Diagnosis {
  ChangeKind Kind = ChangeKind::Failover;
  std::string_view Cause;     // the condition that applied, for logs
  bool PrimarySilent = false; // the primary does not answer this instance
};

// Returns nothing while the primary should stay. Detects failures that no component reports: a
// primary that crashes, stops answering or can no longer acknowledge writes.
std::optional<Diagnosis> diagnose(const PrimaryHealth &Health, Instant Now);

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_DETECTOR_H
