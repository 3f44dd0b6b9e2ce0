// Instances that do not see each other while callers and targets reach both.
#include "cluster.h"
#include "workload.h"

#include <doctest/doctest.h>

using namespace toucan::test;

namespace {

constexpr uint64_t Some = 50; // acknowledged writes in each phase

// Whether each proxy sees this many live members, itself included. toucanctl could not ask them
// while the links are cut.
bool seeAlive(const Cluster &C, uint64_t Count) {
  for (size_t I = 0; I < C.proxies(); ++I)
    if (C.metric(I, "toucanrun_members_alive") != Count)
      return false;
  return true;
}

void cutLinks(Cluster &C) {
  for (size_t I = 0; I < C.proxies(); ++I) {
    C.linkRelay(I).setTarget(0);
    C.linkRelay(I).cut();
  }
}

void mendLinks(Cluster &C) {
  for (size_t I = 0; I < C.proxies(); ++I)
    C.linkRelay(I).setTarget(C.linkPort(I));
}

} // namespace

// Guards against writes that are lost or doubled, and against two primaries, while two instances
// both own a database: each one monitors the group, holds connections and may change the primary.
TEST_CASE("two instances that both own a database for long do no harm") {
  Cluster C({.Relays = true});
  C.waitReady();
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  CHECK(eventually([&] { return seeAlive(C, 2); }));
  REQUIRE(C.client(0).run("create table other(a bigint)").ok());
  std::vector<ClientOptions> Places;
  for (size_t I = 0; I < C.proxies(); ++I)
    Places.push_back({.Port = C.proxyPort(I), .Database = C.options().Database, .Options = ""});
  Workload W(Places, 4);
  auto BothGoOn = [&] {
    for (size_t I = 0; I < C.proxies(); ++I)
      CHECK(eventually([&] { return C.client(I).run("insert into other values (1)").ok(); }));
    CHECK_MESSAGE(W.waitAcknowledged(Some), W.summary());
  };
  BothGoOn();
  cutLinks(C);
  CHECK(eventually([&] { return seeAlive(C, 1); }));
  BothGoOn();
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  C.server(Old).kill();
  BothGoOn();
  C.restartServer(Old);
  BothGoOn();
  mendLinks(C);
  CHECK(eventually([&] { return seeAlive(C, 2); }));
  BothGoOn();
  W.stop();
  INFO(W.summary());
  size_t Primary = C.primary();
  REQUIRE(Primary < C.servers());
  CHECK(Primary != Old);
  CHECK(W.faultsIn(C.direct(Primary).run(Workload::ReadAll)) == "");
}
