#include "gateway/readiness.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::gateway;

// Guards against callers that are sent to an instance which is cut off with a replaced primary and
// refuses all their work.
TEST_CASE("an instance that misses witnesses for a while asks for no new callers") {
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  ReadinessInputs In{.ConfigurationKnown = true, .TargetsKnown = true};
  CHECK(acceptsCallers(In, Now));
  In.WitnessesMissingSince = Now;
  CHECK(acceptsCallers(In, Now));
  CHECK(acceptsCallers(In, Now + absl::Milliseconds(300)));
  CHECK_FALSE(acceptsCallers(In, Now + absl::Seconds(1)));
  In.WitnessesMissingSince = absl::InfiniteFuture();
  CHECK(acceptsCallers(In, Now + absl::Seconds(1)));
}

TEST_CASE("an instance that knows too little or leaves asks for no callers") {
  Instant Now = absl::UnixEpoch();
  CHECK_FALSE(acceptsCallers({.TargetsKnown = true}, Now));
  CHECK_FALSE(acceptsCallers({.ConfigurationKnown = true}, Now));
  CHECK_FALSE(
      acceptsCallers({.ConfigurationKnown = true, .TargetsKnown = true, .Draining = true}, Now));
}
