#include "gateway/readiness.h"

namespace toucan::gateway {

namespace {

// Longer than a replica takes to restart its connection, or stalls for a moment.
constexpr absl::Duration CutOffAfter = absl::Milliseconds(700);

} // namespace

bool cutOffWithPrimary(const ReadinessInputs &In, Instant Now) {
  return Now - In.WitnessesMissingSince >= CutOffAfter;
}

bool acceptsCallers(const ReadinessInputs &In, Instant Now) {
  return In.ConfigurationKnown && In.TargetsKnown && !In.Draining && !cutOffWithPrimary(In, Now);
}

} // namespace toucan::gateway
