#include "catalog/catalog.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::catalog;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

Registration reg(const char *Id, bool Leaving = false, int64_t Started = 1) {
  return {.Id = TargetId(Id),
          .Entry = TargetEntry{.Id = TargetId(Id),
                               .Service = ServiceName("s"),
                               .Address = "10.0.0.1:1",
                               .Leaving = Leaving,
                               .StartedUnixMs = Started}};
}

} // namespace

TEST_CASE("the version of the configuration never decreases") {
  RouteTable R;
  CHECK_FALSE(R.hasConfiguration());
  CHECK(R.apply({.Version = RulesVersion(5)}));
  CHECK_FALSE(R.apply({.Version = RulesVersion(4)}));
  CHECK_FALSE(R.apply({.Version = RulesVersion(5)}));
  CHECK(R.apply({.Version = RulesVersion(9)}));
  CHECK(R.current().Version == RulesVersion(9));
}

// Registrations that expire during an outage of the directory are back about 2 s after it ends.
TEST_CASE("a target is kept for the grace period after its registration vanishes") {
  TargetDirectory D;
  CHECK(D.onRegistrationWritten(reg("a"), at(0))->Kind == TargetChange::ChangeKind::Added);
  D.onRegistrationVanished(TargetId("a"), at(1000));
  CHECK(D.registrationVanished(TargetId("a")));
  CHECK(D.expire(at(3000)).empty());
  CHECK(D.onRegistrationWritten(reg("a"), at(3100))->Kind == TargetChange::ChangeKind::Changed);
  CHECK(D.expire(at(9000)).empty());
  D.onRegistrationVanished(TargetId("a"), at(10000));
  std::vector<TargetChange> Gone = D.expire(at(12500));
  REQUIRE(Gone.size() == 1);
  CHECK(Gone[0].Kind == TargetChange::ChangeKind::Removed);
  CHECK(D.find(TargetId("a")) == nullptr);
}

TEST_CASE("a target missing from the full list is kept for the grace period") {
  TargetDirectory D;
  D.onFullList({reg("a"), reg("b")}, at(0));
  CHECK(D.onFullList({reg("b")}, at(100)).empty());
  CHECK(D.find(TargetId("a")) != nullptr);
  CHECK(D.nextExpiry() == at(100) + RemovalGrace);
  CHECK(D.ofService(ServiceName("s")).size() == 2);
}

TEST_CASE("a restart under the same id is distinguished from a change; equal entries are ignored") {
  TargetDirectory D;
  D.onRegistrationWritten(reg("a"), at(0));
  CHECK_FALSE(D.onRegistrationWritten(reg("a"), at(10)));
  CHECK(D.onRegistrationWritten(reg("a", true), at(20))->Kind == TargetChange::ChangeKind::Changed);
  CHECK(D.onRegistrationWritten(reg("a", false, 2), at(30))->Kind ==
        TargetChange::ChangeKind::Restarted);
}

TEST_CASE("an unreadable registration removes its own target only") {
  TargetDirectory D;
  D.onFullList({reg("a"), reg("b")}, at(0));
  CHECK(D.onRegistrationWritten({.Id = TargetId("a"), .Entry = std::nullopt}, at(10))->Kind ==
        TargetChange::ChangeKind::Removed);
  CHECK(D.find(TargetId("b")) != nullptr);
  CHECK_FALSE(D.onRegistrationWritten({.Id = TargetId("x"), .Entry = std::nullopt}, at(20)));
}
