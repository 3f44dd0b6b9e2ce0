// Open connections that go silent for good while new ones work.
#include "cluster.h"
#include "relay.h"

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace toucan::test;

namespace {

constexpr int TableRows = 4;
constexpr auto ReadSlowly = "select a, sleep_ms(500) from t order by a";
constexpr auto ReadQuickly = "select a from t order by a";
// Deadline of a request. Far over the 3 s after which silence counts as loss, so that a request
// that ends only by its deadline would show as an error of its own.
constexpr auto RequestTimeout = "--request-timeout-ms=20000";

ClusterOptions relayed(int Proxies) {
  ClusterOptions O;
  O.Proxies = Proxies;
  O.ProxyFlags = {RequestTimeout};
  O.Relays = true;
  return O;
}

void prepare(Cluster &C) {
  C.waitReady();
  Client A = C.client(0);
  REQUIRE(A.run("create table t(a bigint)").ok());
  REQUIRE(A.run("create table w(id bigint, b bigint)").ok());
  REQUIRE(A.run("insert into t values (1), (2), (3), (4)").ok());
}

// Runs Sql until it succeeds; every new request may be refused for a while.
Answer runUntilOk(const Cluster &C, size_t Proxy, const std::string &Sql) {
  Answer A;
  CHECK_MESSAGE(eventually([&] {
                  A = C.client(Proxy).run(Sql);
                  return A.ok();
                }),
                Sql << ": " << A.State << " " << A.Message);
  return A;
}

// Sum of a counter over all proxies.
uint64_t counter(const Cluster &C, std::string_view Name) {
  auto Status = nlohmann::json::parse(C.ctl({"status", "--output=json"}).Out, nullptr, false);
  if (!Status.is_discarded())
    for (const auto &One : Status["counters"])
      if (One["name"] == Name)
        return One["value"];
  return 0;
}

// Open work connections to all targets.
uint64_t connections(const Cluster &C) {
  auto Targets = nlohmann::json::parse(C.ctl({"targets", "--output=json"}).Out, nullptr, false);
  uint64_t Sum = 0;
  if (!Targets.is_discarded())
    for (const auto &One : Targets["targets"])
      Sum += One["connections"].get<uint64_t>();
  return Sum;
}

void silenceTargets(Cluster &C) {
  size_t Count = 0;
  for (size_t I = 0; I < C.servers(); ++I)
    Count += C.serverRelay(I).silence();
  CHECK(Count > 0);
}

// Whether every proxy sees every other one alive.
bool linksUp(const Cluster &C) {
  auto Status = nlohmann::json::parse(C.ctl({"status", "--output=json"}).Out, nullptr, false);
  if (Status.is_discarded() || Status["instances"].size() != C.proxies())
    return false;
  for (const auto &Instance : Status["instances"])
    if (Instance["alive_members"] != C.proxies())
      return false;
  return true;
}

void silenceLinks(Cluster &C) {
  size_t Count = 0;
  for (size_t I = 0; I < C.proxies(); ++I)
    Count += C.linkRelay(I).silence();
  CHECK(Count > 0);
}

// Ends the connections with a reset; new ones work at once.
void cutLinks(Cluster &C) {
  for (size_t I = 0; I < C.proxies(); ++I)
    C.linkRelay(I).cut();
}

enum class When : uint8_t { Idle, Busy };

// Sends Sql and lets connections go silent: before it, or once a target has been sent it.
Answer runAcross(Cluster &C, size_t Proxy, const std::string &Sql, When At,
                 void (*Silence)(Cluster &)) {
  CHECK(eventually([&] { return linksUp(C); }));
  Client Caller = C.client(Proxy);
  CHECK(eventually([&] { return Caller.run(ReadQuickly).ok(); }));
  for (size_t I = 0; I < C.servers(); ++I)
    C.serverRelay(I).watchFor(Sql);
  if (At == When::Idle)
    Silence(C);
  REQUIRE(Caller.send(Sql));
  if (At == When::Busy) {
    CHECK(eventually([&] {
      return C.serverRelay(0).seen() || C.serverRelay(1).seen() || C.serverRelay(2).seen();
    }));
    Silence(C);
  }
  return Caller.finish();
}

// The silence was noticed: the request did not have to wait for its own deadline.
void checkNoticed(const Answer &A) {
  CHECK_FALSE(absl::StrContains(A.Message, "did not answer before the deadline"));
  CHECK_FALSE(absl::StrContains(A.Message, "cannot start before its deadline"));
}

// A read has the whole answer or an error.
void checkRead(const Answer &A) {
  INFO(A.State << " " << A.Message);
  checkNoticed(A);
  CHECK(A.State != "timeout");
  CHECK(A.State != "lost");
  if (A.ok())
    CHECK(A.Rows.size() == TableRows);
}

// A write is there once when it was acknowledged, not there when it was refused as not run.
void checkWrite(const Cluster &C, size_t Proxy, int Id, const Answer &A) {
  INFO(A.State << " " << A.Message);
  checkNoticed(A);
  CHECK((A.ok() || A.notRun() || A.State == "08007"));
  runUntilOk(C, Proxy, absl::StrFormat("insert into w values (-%d, 0)", Id));
  std::string Count = absl::StrFormat("select count(*) from w where id = %d", Id);
  std::string Found = runUntilOk(C, Proxy, Count).value();
  if (A.ok())
    CHECK(Found == "1");
  else if (A.notRun())
    CHECK(Found == "0");
  else
    CHECK((Found == "0" || Found == "1"));
}

// Runs a slow read and a slow write through a proxy, each with connections that go silent.
void checkSilence(Cluster &C, size_t Proxy, void (*Silence)(Cluster &)) {
  int Id = 100 * static_cast<int>(Proxy + 1);
  for (When At : {When::Idle, When::Busy}) {
    CAPTURE(At == When::Busy);
    CAPTURE(Proxy);
    checkRead(runAcross(C, Proxy, ReadSlowly, At, Silence));
    runUntilOk(C, Proxy, ReadQuickly);
    ++Id;
    Answer A = runAcross(C, Proxy, absl::StrFormat("insert into w values (%d, sleep_ms(2000))", Id),
                         At, Silence);
    checkWrite(C, Proxy, Id, A);
  }
}

} // namespace

// Guards against requests that hang, or get a wrong verdict, on target connections that are dead
// without a reset, and against connections that stay in use after that.
TEST_CASE("silent connections from a proxy to its targets") {
  Cluster C(relayed(1));
  prepare(C);
  checkSilence(C, 0, silenceTargets);
}

// Guards against idle target connections that are kept although they are dead: the first request
// that is sent on one would fail.
TEST_CASE("silent idle target connections are replaced before a request needs them") {
  Cluster C(relayed(1));
  prepare(C);
  REQUIRE(connections(C) > 0);
  uint64_t Opened = counter(C, "pool_connections_opened_total");
  silenceTargets(C);
  // Every connection that is still open was opened after that.
  CHECK(eventually(
      [&] { return connections(C) <= counter(C, "pool_connections_opened_total") - Opened; }));
  // The first write after that gets no error.
  Answer A = C.client(0).run("insert into w values (1, 1)");
  CHECK_MESSAGE(A.ok(), A.State << " " << A.Message);
}

// Guards against requests that hang or get a wrong verdict when the link between two instances is
// dead without a reset.
TEST_CASE("silent connections between proxies") {
  Cluster C(relayed(2));
  prepare(C);
  for (size_t Proxy = 0; Proxy < C.proxies(); ++Proxy)
    checkSilence(C, Proxy, silenceLinks);
}

// Guards against a request that waits until its deadline because it, or its answer, was lost with a
// connection that was opened again before the silence of the peer was noticed.
TEST_CASE("cut connections between proxies") {
  Cluster C(relayed(2));
  prepare(C);
  for (size_t Proxy = 0; Proxy < C.proxies(); ++Proxy)
    checkSilence(C, Proxy, cutLinks);
}

// Guards against an answer with a part missing in its middle when the link is replaced during it.
TEST_CASE("a large answer over a link that goes silent is whole or an error") {
  constexpr uint64_t Count = 200000;
  Cluster C(relayed(2));
  prepare(C);
  runUntilOk(C, 0, "create table big(a bigint)");
  runUntilOk(C, 0,
             absl::StrFormat("insert into big with recursive n(a) as (select 1 union all select "
                             "a + 1 from n where a < %d) select a from n",
                             Count));
  for (size_t Proxy = 0; Proxy < C.proxies(); ++Proxy) {
    CAPTURE(Proxy);
    CHECK(eventually([&] { return linksUp(C); }));
    Client Caller = C.client(Proxy);
    REQUIRE(Caller.run(ReadQuickly).ok());
    for (size_t I = 0; I < C.servers(); ++I)
      C.serverRelay(I).watchFor("select a from big");
    std::thread Breaker([&] {
      eventually([&] {
        return C.serverRelay(0).seen() || C.serverRelay(1).seen() || C.serverRelay(2).seen();
      });
      silenceLinks(C);
    });
    Client::Sums Got = Caller.stream("select a from big");
    Breaker.join();
    INFO(Got.State << " after " << Got.Rows << " rows");
    CHECK(Got.State != "timeout");
    CHECK(Got.State != "lost");
    if (Got.State.empty()) {
      CHECK(Got.Rows == Count);
      CHECK(Got.Sum == Count * (Count + 1) / 2);
    }
    runUntilOk(C, Proxy, ReadQuickly);
  }
}

// Guards against a platform thread that waits for ever for an answer, so that the instance never
// learns of new rules.
TEST_CASE("silent connections from a proxy to the platform") {
  Cluster C(relayed(1));
  prepare(C);
  // With the delay a call is under way most of the time.
  C.setFaults(R"({"delay_ms":300})");
  CHECK(eventually([&] { return C.platformRelay().silence() > 0; }));
  runUntilOk(C, 0, "insert into w values (1, 1)");
  C.setFaults("{}");
  std::string File = C.writeFile("rules", "once database=orders table=w # test\n");
  CtlResult R = C.ctl({"rules", "apply", File, "--base=0", "--confirm-ms=60000"});
  INFO(R.Out << R.Err);
  CHECK(R.Code == 0);
}

// Guards against dead callers that keep their sessions, transactions and locks.
TEST_CASE("silent connections from callers") {
  Cluster C(relayed(1));
  prepare(C);
  Relay Front;
  Front.setTarget(C.proxyPort(0));
  ClientOptions Through{.Port = Front.port(), .Database = "orders", .Options = ""};
  Client Idle(Through);
  Client InTransaction(Through);
  Client Busy(Through);
  REQUIRE(Idle.run(ReadQuickly).ok());
  REQUIRE(InTransaction.run("begin").ok());
  REQUIRE(InTransaction.run("insert into w values (1, 1)").ok());
  Front.watchFor(ReadSlowly);
  REQUIRE(Busy.send(ReadSlowly));
  CHECK(eventually([&] { return Front.seen(); }));
  CHECK(Front.silence() == 3);
  // A new connection over the same relay works.
  CHECK(Client(Through).run(ReadQuickly).Rows.size() == TableRows);
  CHECK(eventually([&] {
    return absl::StrContains(C.ctl({"sessions", "--output=json"}).Out, R"("sessions": [])");
  }));
  // The transaction held the only writer of the server; its write is rolled back.
  CHECK(C.client(0).run("insert into w values (2, 2)").ok());
  CHECK(C.client(0).run("select count(*) from w where id = 1").value() == "0");
}
