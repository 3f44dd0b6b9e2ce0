// Decides whether an instance asks for new callers.
#ifndef TOUCAN_GATEWAY_READINESS_H
#define TOUCAN_GATEWAY_READINESS_H

#include "base/base.h"

namespace toucan::gateway {

struct ReadinessInputs {
  bool ConfigurationKnown = false;
  bool TargetsKnown = false;
  bool Draining = false;
  // Since when, for some service, the primary is known but no other target answers to prove that it
  // was not replaced. Infinite future if there is no such service.
  Instant WitnessesMissingSince = absl::InfiniteFuture();
};

// An instance that is cut off together with a primary can neither write nor prove a read there,
// while other instances promote another target; new callers are better off at those. Load pattern:
// a primary and some instances are cut off, and callers retry at an instance of the platform's
// choice.
bool acceptsCallers(const ReadinessInputs &In, Instant Now);

// Whether In shows an instance that is cut off with a primary.
bool cutOffWithPrimary(const ReadinessInputs &In, Instant Now);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_READINESS_H
