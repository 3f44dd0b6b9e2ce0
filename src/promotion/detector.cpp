#include "promotion/detector.h"

namespace toucan::promotion {

namespace {

// A target with an outstanding request is probed with a request that needs no slot. A live target
// answers it within one round trip between regions; the rest of the time covers one lost packet.
constexpr absl::Duration SilenceTimeout = absl::Milliseconds(700);
// Failed connections indicate a crashed process. Two are required, since one can be caused by a
// single lost packet.
constexpr absl::Duration UnreachableTimeout = absl::Milliseconds(200);
constexpr int MinFailedConnections = 2;
// A write waits until a replica confirms receipt. Several timed-out writes while reads are
// answered mean that no replica receives.
constexpr absl::Duration WriteStallTimeout = absl::Milliseconds(800);
constexpr int MinStalledWrites = 3;
// The replacement of a leaving primary starts before the primary exits and can acknowledge commits.
// Its registration can be about one second late, and the change must include it.
constexpr absl::Duration SwitchoverDelay = absl::Milliseconds(1500);
// A newly promoted primary registers its role at once; the timeout covers the delay of the
// directory.
constexpr absl::Duration UnknownPrimaryTimeout = absl::Milliseconds(1500);

} // namespace

std::optional<Diagnosis> diagnose(const PrimaryHealth &Health, Instant Now) {
  if (!Health.PrimaryKnown) {
    if (Now - Health.PrimaryUnknownSince >= UnknownPrimaryTimeout)
      return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "no_primary"};
    return std::nullopt;
  }
  if (Health.LastAnswer < Health.UnreachableSince &&
      Health.FailedConnections >= MinFailedConnections &&
      Now - Health.UnreachableSince >= UnreachableTimeout)
    return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "unreachable", .PrimarySilent = true};
  if (Health.LastAnswer <= Health.UnansweredSince && Now - Health.UnansweredSince >= SilenceTimeout)
    return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "silent", .PrimarySilent = true};
  if (Health.WritesTimedOut >= MinStalledWrites &&
      Now - Health.WritesStalledSince >= WriteStallTimeout)
    return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "writes_stalled"};
  if (Now - Health.LeavingSince >= SwitchoverDelay)
    return Diagnosis{.Kind = ChangeKind::Switchover, .Cause = "leaving"};
  return std::nullopt;
}

} // namespace toucan::promotion
