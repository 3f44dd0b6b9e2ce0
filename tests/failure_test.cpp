// Processes that die, freeze or stop while callers write.
#include "cluster.h"
#include "workload.h"

#include <doctest/doctest.h>
#include <signal.h>

using namespace toucan::test;

namespace {

constexpr int Writers = 4;
constexpr uint64_t Some = 50; // acknowledged writes before and after a failure

std::vector<ClientOptions> places(const Cluster &C) {
  std::vector<ClientOptions> Out;
  for (size_t I = 0; I < C.proxies(); ++I)
    Out.push_back({.Port = C.proxyPort(I), .Database = C.options().Database, .Options = ""});
  return Out;
}

// Reads all rows through a proxy; a refusal that has not run is repeated.
Answer readAll(const Cluster &C, size_t Proxy) {
  Answer A;
  eventually([&] {
    A = C.client(Proxy).run(Workload::ReadAll);
    return A.ok();
  });
  return A;
}

// Whether a write may end without a verdict.
enum class UnknownOutcomes : uint8_t { Allowed, Forbidden };

// Runs writers, then Fail, and checks that service goes on and every write is there as answered.
template <class Fn>
void checkWrites(Cluster &C, Fn &&Fail, size_t ReadAt,
                 UnknownOutcomes Unknown = UnknownOutcomes::Allowed) {
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  Workload W(places(C), Writers);
  CHECK_MESSAGE(W.waitAcknowledged(Some), W.summary());
  Fail();
  CHECK_MESSAGE(W.waitAcknowledged(Some), W.summary());
  W.stop();
  INFO(W.summary());
  CHECK((Unknown == UnknownOutcomes::Allowed || W.unknown() == 0));
  CHECK(W.faultsIn(readAll(C, ReadAt)) == "");
  CHECK(W.faultsIn(C.direct(C.primary()).run(Workload::ReadAll)) == "");
}

} // namespace

// Guards against lost or doubled writes when an entry instance or the owner dies.
TEST_CASE("kill -9 of each proxy in turn while callers write") {
  for (size_t Killed : {0, 1}) {
    CAPTURE(Killed);
    Cluster C;
    C.waitReady();
    checkWrites(
        C, [&] { C.proxy(Killed).kill(); }, 1 - Killed);
  }
}

// Guards against writes that need every replica, and against a replica that does not catch up.
TEST_CASE("kill -9 of a replica while callers write") {
  Cluster C;
  C.waitReady();
  size_t Replica = (C.primary() + 1) % C.servers();
  checkWrites(
      C, [&] { C.server(Replica).kill(); }, 0);
  C.restartServer(Replica);
  uint64_t Goal = C.status(C.primary()).Received;
  CHECK(eventually([&] {
    ServerStatus S = C.status(Replica);
    return S.Role == "replica" && S.Applied >= Goal;
  }));
}

// Guards against acknowledged writes that are lost, or doubled, by a change of primary.
TEST_CASE("kill -9 of the primary while callers write") {
  Cluster C;
  C.waitReady();
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  checkWrites(
      C, [&] { C.server(Old).kill(); }, 0);
  CHECK(C.primary() != Old);
  C.restartServer(Old);
  uint64_t Goal = C.status(C.primary()).Received;
  CHECK(eventually([&] {
    ServerStatus S = C.status(Old);
    return S.Role == "replica" && S.Applied >= Goal;
  }));
  CHECK(C.primary() != Old);
}

// Guards against a primary that acknowledges writes after it was replaced while it was frozen.
TEST_CASE("a frozen primary is replaced and acknowledges nothing when it goes on") {
  Cluster C;
  C.waitReady();
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  checkWrites(
      C,
      [&] {
        C.server(Old).signal(SIGSTOP);
        // The other servers are asked; the frozen one would not answer.
        CHECK(eventually([&] {
          return C.status((Old + 1) % 3).Role == "primary" ||
                 C.status((Old + 2) % 3).Role == "primary";
        }));
        C.server(Old).signal(SIGCONT);
      },
      1);
  CHECK(eventually([&] { return C.status(Old).Role == "replica"; }));
}

// Guards against a shutdown that interrupts requests, loses writes or leaves with an error.
TEST_CASE("SIGTERM of a proxy while callers write") {
  Cluster C;
  C.waitReady();
  checkWrites(
      C,
      [&] {
        C.proxy(0).signal(SIGTERM);
        CHECK(C.proxy(0).wait() == 0);
      },
      1, UnknownOutcomes::Forbidden);
}
