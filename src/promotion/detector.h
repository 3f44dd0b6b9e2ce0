// Decides from what an instance sees whether a service needs another primary.
#ifndef TOUCAN_PROMOTION_DETECTOR_H
#define TOUCAN_PROMOTION_DETECTOR_H

#include "base/base.h"

#include <optional>
#include <string_view>

namespace toucan::promotion {

enum class ChangeKind : uint8_t {
  Switchover, // the primary still serves and will exit
  Failover,   // the primary does not answer, or cannot acknowledge writes
};

// Health of the present primary, kept by the instance that uses it.
struct PrimaryHealth {
  bool PrimaryKnown = false; // some registered target leads
  // When it announced its exit.
  Instant LeavingSince = absl::InfiniteFuture();
  Instant PrimaryUnknownSince = absl::InfiniteFuture();
  Instant LastAnswer = absl::InfinitePast();    // to any request
  Instant SilentSince = absl::InfiniteFuture(); // oldest request sent after the last answer
  Instant UnreachableSince =
      absl::InfiniteFuture(); // first failed connection since the last answer
  int FailedConnections = 0;  // since the last answer
  Instant WritesStalledSince =
      absl::InfiniteFuture(); // first write given up since the last success
  int WritesGivenUp = 0;      // since the last success
};

struct Diagnosis {
  ChangeKind Kind = ChangeKind::Failover;
  std::string_view Cause;     // for logs
  bool PrimarySilent = false; // it does not answer, as far as this instance can tell
};

// Empty while the primary is to stay. Failure it answers: a primary that crashes, goes dark or can
// no longer acknowledge writes, which nobody reports.
std::optional<Diagnosis> diagnose(const PrimaryHealth &Health, Instant Now);

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_DETECTOR_H
