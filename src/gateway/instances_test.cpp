#include "gateway/instances.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::gateway;

namespace {

constexpr int64_t NowMs = 100000;

store::Row row(const char *Key, const std::string &Value) {
  return {.Key = Key, .Value = Value, .Version = store::RowVersion(1)};
}

} // namespace

TEST_CASE("instances: live ones are read with their addresses") {
  auto Alive = aliveInstances(
      {row("a", encodeRenewal(NowMs, {.Endpoint = "10.0.0.1:7440", .Incarnation = 7})),
       row("b", encodeRenewal(NowMs)), row("gone", encodeRenewal(0)),
       row("dead", encodeRenewal(NowMs - InstanceLifetimeMs))},
      NowMs);
  REQUIRE(Alive.size() == 2);
  CHECK(Alive[InstanceId("a")].Endpoint == "10.0.0.1:7440");
  CHECK(Alive[InstanceId("a")].Incarnation == 7);
  CHECK(Alive[InstanceId("b")].Endpoint.empty());
  CHECK(Alive[InstanceId("a")].Centre.Value.empty());
}

// Guards against an instance whose data centre and CPU time the others do not learn.
TEST_CASE("instances: a row carries data centre and CPU time") {
  auto Alive = aliveInstances({row("a", encodeRenewal(NowMs, {.Endpoint = "10.0.0.1:7440",
                                                              .Incarnation = 7,
                                                              .Centre = DataCentre("north-1"),
                                                              .MilliCores = 84}))},
                              NowMs);
  REQUIRE(Alive.size() == 1);
  CHECK(Alive[InstanceId("a")].Endpoint == "10.0.0.1:7440");
  CHECK(Alive[InstanceId("a")].Centre == DataCentre("north-1"));
  CHECK(Alive[InstanceId("a")].MilliCores == 84);
}

// Guards against odd rows of another writer that end the process or are connected to.
TEST_CASE("instances: odd rows give no address, or no instance") {
  for (const char *Odd : {"", " ", "x", "-5", "1.5", "99999999999999999999", "{\"a\":[[[]]]}",
                          " 100000 10.0.0.1:7440 7"})
    CHECK(aliveInstances({row("odd", Odd), row("b", encodeRenewal(NowMs))}, NowMs).size() == 1);
  for (const char *Odd :
       {"100000 10.0.0.1:0 7", "100000 10.0.0.1:70000 7", "100000 10.0.0.1 7", "100000 host:7440 7",
        "100000 [::1]:7440 7", "100000 :7440 7", "100000 10.0.0.1:7440", "100000 10.0.0.1:7440 -1",
        "100000 10.0.0.1:7440 99999999999999999999", "100000 10.0.0.1:7440 7 8"}) {
    auto Alive = aliveInstances({row("odd", Odd)}, NowMs);
    REQUIRE(Alive.size() == 1);
    CHECK(Alive[InstanceId("odd")].Endpoint.empty());
  }
}
