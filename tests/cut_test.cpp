// One proxy that cannot reach a healthy primary while callers write.
#include "cluster.h"
#include "operate.h"
#include "workload.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <chrono>
#include <cstdlib>
#include <thread>

using namespace toucan::test;
using std::chrono::milliseconds;

namespace {

constexpr int Writers = 6;
constexpr uint64_t Some = 100;              // acknowledged writes before and after a failure
constexpr milliseconds CutTime{6000};       // several renewals of the hint, which lasts 2 s
constexpr milliseconds FailingLimit{2000};  // of errors to one caller
constexpr milliseconds UnservedLimit{5000}; // worst case of the service gap (design section 1.2)

// Value of a line of a proxy's /metrics; 0 when there is none.
uint64_t counter(const Cluster &C, size_t Proxy, const std::string &Name) {
  httplib::Client Http("127.0.0.1", C.httpPort(Proxy));
  auto Answer = Http.Get("/metrics");
  if (!Answer || Answer->status != 200)
    return 0;
  size_t At = Answer->body.find("\ntoucanrun_" + Name + " ");
  if (At == std::string::npos)
    return 0;
  return std::strtoull(Answer->body.c_str() + At + Name.size() + 12, nullptr, 10);
}

uint64_t writesServedBy(const Cluster &C, size_t Proxy) {
  return counter(C, Proxy, "pool_served_writes_total");
}

// A group whose owner can lose its path to the primary, with writers through all proxies.
struct CutOff {
  Cluster C{{.Proxies = 3, .Relays = true}};
  size_t Owner = 0;
  size_t Primary = 0;
  uint64_t Term = 0;
  std::unique_ptr<Workload> W;

  CutOff() {
    this->C.waitReady();
    this->Owner = ownerOf(this->C);
    this->Primary = this->C.primary();
    REQUIRE(this->Owner < this->C.proxies());
    REQUIRE(this->Primary < this->C.servers());
    this->Term = this->C.status(this->Primary).Term;
    REQUIRE(this->C.client(0).run(Workload::CreateTable).ok());
    std::vector<ClientOptions> Places;
    for (size_t I = 0; I < this->C.proxies(); ++I)
      Places.push_back({.Port = this->C.proxyPort(I), .Database = "orders", .Options = ""});
    this->W = std::make_unique<Workload>(Places, Writers);
    CHECK_MESSAGE(this->W->waitAcknowledged(Some), this->W->summary());
  }
  void cut(Relay::Path How) {
    this->W->watchGaps();
    this->C.serverRelay(this->Primary).breakFor(this->C.proxyName(this->Owner), How);
  }
  void restore() { this->C.serverRelay(this->Primary).restore(); }

  // Another proxy than the owner that serves writes; proxies() when there is none.
  size_t observer() {
    size_t Found = this->C.proxies();
    eventually([&] {
      std::vector<uint64_t> Before;
      for (size_t I = 0; I < this->C.proxies(); ++I)
        Before.push_back(writesServedBy(this->C, I));
      std::this_thread::sleep_for(milliseconds(200));
      for (Found = 0; Found < this->C.proxies(); ++Found)
        if (Found != this->Owner && writesServedBy(this->C, Found) > Before[Found])
          return true;
      return false;
    });
    return Found;
  }
  void checkPrimaryStays() {
    ServerStatus S = this->C.status(this->Primary);
    CHECK(S.Role == "primary");
    CHECK(S.Term == this->Term);
    for (size_t I = 0; I < this->C.servers(); ++I)
      CHECK(this->C.status(I).Term == this->Term);
  }
  void checkGaps() {
    Workload::Gaps G = this->W->gaps();
    MESSAGE("writes unserved for " << G.Unserved.count() << " ms, failing for " << G.Failing.count()
                                   << " ms");
    CHECK(G.Failing <= FailingLimit);
    CHECK(G.Unserved <= UnservedLimit);
  }
  // Ends the writers and compares what was acknowledged with what is there.
  void checkWrites() {
    CHECK_MESSAGE(this->W->waitAcknowledged(Some), this->W->summary());
    this->W->stop();
    INFO(this->W->summary());
    CHECK(this->W->faultsIn(this->C.direct(this->Primary).run(Workload::ReadAll)) == "");
    for (size_t I = 0; I < this->C.proxies(); ++I)
      if (this->C.healthy(I))
        CHECK(this->W->faultsIn(this->C.client(I).run(Workload::ReadAll)) == "");
  }
};

} // namespace

// Guards against a change of primary, and against writes that fail or wait, because of one link.
// Guards as well against a transaction that ends when the owner takes over again.
TEST_CASE("a cut between the owner and a healthy primary moves the traffic, not the primary") {
  for (Relay::Path How : {Relay::Path::Closed, Relay::Path::Silent}) {
    CAPTURE(How == Relay::Path::Silent);
    CutOff T;
    T.cut(How);
    CHECK(T.observer() < T.C.proxies());
    uint64_t AtOwner = writesServedBy(T.C, T.Owner);
    std::this_thread::sleep_for(CutTime);
    T.checkPrimaryStays();
    CHECK(writesServedBy(T.C, T.Owner) == AtOwner);
    CHECK(counter(T.C, T.Owner, "primary_redirected_total") == 1);
    uint64_t Redirected = 0;
    for (size_t I = 0; I < T.C.proxies(); ++I)
      Redirected += counter(T.C, I, "retries_total{reason=\"retry_redirected\"}");
    CHECK(Redirected > 0);
    T.checkGaps();

    Client Open = T.C.client(T.Owner);
    REQUIRE(Open.run("begin").ok());
    CHECK(Open.run("select count(*) from written").ok());
    T.restore();
    CHECK(eventually([&] { return writesServedBy(T.C, T.Owner) > AtOwner; }));
    CHECK(counter(T.C, T.Owner, "primary_redirect_ended_total") == 1);
    CHECK(Open.run("select count(*) from written").ok());
    CHECK(Open.run("commit").ok());
    T.checkWrites();
    T.checkPrimaryStays();
  }
}

// Guards against requests that go on to an observer that has died.
TEST_CASE("kill -9 of the observer during a cut") {
  CutOff T;
  T.cut(Relay::Path::Closed);
  size_t Observer = T.observer();
  REQUIRE(Observer < T.C.proxies());
  T.C.proxy(Observer).kill();
  std::this_thread::sleep_for(CutTime);
  CHECK_MESSAGE(T.W->waitAcknowledged(Some), T.W->summary());
  T.checkPrimaryStays();
  Workload::Gaps G = T.W->gaps();
  MESSAGE("writes unserved for " << G.Unserved.count() << " ms, failing for " << G.Failing.count()
                                 << " ms");
  CHECK(G.Unserved <= UnservedLimit);
  T.restore();
  T.checkWrites();
}
