#include "promotion/detector.h"

namespace toucan::promotion {

namespace {

// A target that owes an answer is probed with a request that takes no slot, which a live one
// answers within a round trip between regions; the rest covers one lost packet.
constexpr absl::Duration SilenceTimeout = absl::Milliseconds(700);
// Refused connections tell a crashed process; the second one excludes a single lost packet.
constexpr absl::Duration UnreachableTimeout = absl::Milliseconds(200);
constexpr int MinFailedConnections = 2;
// Writes wait for a replica's receipt; when several are given up while reads are answered, no
// replica receives.
constexpr absl::Duration WriteStallTimeout = absl::Milliseconds(800);
constexpr int MinStalledWrites = 3;
// The target that replaces a leaving primary starts before it leaves and may acknowledge commits;
// its registration can be late by about a second, and a change must know it.
constexpr absl::Duration SwitchoverDelay = absl::Milliseconds(1500);
// A primary that has just been appointed registers its role at once; the rest covers the delay of
// the directory.
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
  if (Health.LastAnswer < Health.SilentSince && Now - Health.SilentSince >= SilenceTimeout)
    return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "silent", .PrimarySilent = true};
  if (Health.WritesGivenUp >= MinStalledWrites &&
      Now - Health.WritesStalledSince >= WriteStallTimeout)
    return Diagnosis{.Kind = ChangeKind::Failover, .Cause = "writes_stalled"};
  if (Now - Health.LeavingSince >= SwitchoverDelay)
    return Diagnosis{.Kind = ChangeKind::Switchover, .Cause = "leaving"};
  return std::nullopt;
}

} // namespace toucan::promotion
