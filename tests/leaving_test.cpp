// Targets that are marked as leaving, and instances that shut down.
#include "cluster.h"
#include "operate.h"
#include "workload.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <signal.h>

#include <array>
#include <mutex>
#include <thread>

using namespace toucan::test;

namespace {

constexpr auto ReadRule = "read database=orders table=written max_age=30s # counts may lag: yard\n";
constexpr uint64_t Some = 50; // requests that show that service goes on

std::vector<ClientOptions> places(const Cluster &C) {
  std::vector<ClientOptions> Out;
  for (size_t I = 0; I < C.proxies(); ++I)
    Out.push_back({.Port = C.proxyPort(I), .Database = C.options().Database, .Options = ""});
  return Out;
}

// Callers that read from a table that replicas may serve.
class Readers {
public:
  Readers(std::vector<ClientOptions> At, size_t Count) : Places(std::move(At)) {
    for (size_t I = 0; I < Count; ++I)
      this->Threads.emplace_back([this, I] { this->read(I); });
  }
  ~Readers() { this->stop(); }
  Readers(const Readers &) = delete;
  Readers &operator=(const Readers &) = delete;

  bool waitRead(uint64_t More) const {
    uint64_t Goal = this->Count + More;
    return eventually([&] { return this->Count >= Goal; });
  }
  void stop() {
    this->Stopping = true;
    for (std::thread &T : this->Threads)
      T.join();
    this->Threads.clear();
  }
  // Reads that failed; empty when none did.
  std::string errors() {
    std::lock_guard Lock(this->Mutex);
    return this->Errors;
  }

private:
  void read(size_t Reader) {
    Client C(this->Places[Reader % this->Places.size()]);
    while (!this->Stopping) {
      Answer A = C.run("select count(*) from written");
      if (A.ok()) {
        ++this->Count;
        continue;
      }
      std::lock_guard Lock(this->Mutex);
      this->Errors += A.State + " " + A.Message + "\n";
      return;
    }
  }

  const std::vector<ClientOptions> Places;
  std::atomic<bool> Stopping = false;
  std::atomic<uint64_t> Count = 0;
  std::mutex Mutex;
  std::string Errors;
  std::vector<std::thread> Threads;
};

// The two ways to mark a target as leaving.
enum class MarkedBy : uint8_t { Rule, PlatformList };
constexpr std::array Marks = {MarkedBy::Rule, MarkedBy::PlatformList};

// Applied over version 1 of the rules.
void mark(Cluster &C, size_t Server, MarkedBy By) {
  if (By == MarkedBy::PlatformList)
    return C.listLeaving(Server);
  applyRules(C,
             absl::StrFormat("%starget database=orders target=%s state=leaving # disk replaced: "
                             "operations\n",
                             ReadRule, C.serverName(Server)),
             1);
}

bool leftAlone(const std::optional<TargetRow> &Row) {
  return Row && Row->State == "leaving" && Row->Connections == 0 && Row->Executing == 0;
}

void checkReplicaLeaves(MarkedBy By) {
  CAPTURE(static_cast<int>(By));
  Cluster C({.ServerFlags = {"--work-delay-ms=5"}});
  C.waitReady();
  applyRules(C, ReadRule);
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  size_t Replica = (C.primary() + 1) % C.servers();
  const std::string &Name = C.serverName(Replica);
  Readers R(places(C), 6);
  Workload W(places(C), 2);
  // Without this the test would pass for a replica that never gets work.
  CHECK(eventually([&] {
    auto Row = targetRow(C, Name);
    return Row && Row->Executing > 0;
  }));
  mark(C, Replica, By);
  CHECK(eventually([&] { return leftAlone(targetRow(C, Name)); }, std::chrono::seconds(20)));
  for (int Sample = 0; Sample < 20; ++Sample) {
    CHECK(R.waitRead(Some));
    CHECK(leftAlone(targetRow(C, Name)));
  }
  CHECK_MESSAGE(W.waitAcknowledged(Some), W.summary());
  R.stop();
  W.stop();
  CHECK(R.errors() == "");
  INFO(W.summary());
  CHECK(W.unknown() == 0);
  CHECK(W.faultsIn(C.direct(C.primary()).run(Workload::ReadAll)) == "");
}

// A transaction runs at the primary, so the primary is the target that leaves.
void checkTransactionFinishes(MarkedBy By) {
  CAPTURE(static_cast<int>(By));
  Cluster C;
  C.waitReady();
  applyRules(C, ReadRule);
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  Client T = C.client(0);
  REQUIRE(T.run("begin").ok());
  REQUIRE(T.run("insert into written values (1)").ok());
  auto MarkedAt = std::chrono::steady_clock::now();
  mark(C, Old, By);
  CHECK(eventually([&] {
    auto Row = targetRow(C, C.serverName(Old));
    return Row && Row->State == "leaving";
  }));
  // Time for the mistakes that the test looks for. Counted from the mark, because a leaving primary
  // is replaced after 5 s even if its transactions are still open.
  std::this_thread::sleep_until(MarkedAt + std::chrono::seconds(4));
  Answer Insert = T.run("insert into written values (2)");
  CHECK_MESSAGE(Insert.ok(), Insert.State << Insert.Message);
  Answer Commit = T.run("commit");
  CHECK_MESSAGE(Commit.Tag == "COMMIT", Commit.State << Commit.Message);
  CHECK(eventually([&] { return C.client(1).run("insert into written values (3)").ok(); }));
  CHECK(C.client(1).run("select count(*) from written").value() == "3");
  CHECK(eventually([&] { return C.primary() != Old; }));
}

std::string health(const Cluster &C, size_t Proxy) {
  httplib::Client Http("127.0.0.1", C.httpPort(Proxy));
  auto Answer = Http.Get("/health");
  return Answer ? absl::StrFormat("%d %s", Answer->status, Answer->body) : "no answer";
}

constexpr auto Draining = "503 draining\n";

// True once an idle connection was ended by the proxy.
bool ended(Client &Idle) {
  Idle.busy(); // reads what has arrived
  return Idle.state() == '?';
}

// Callers of a proxy that is about to shut down.
struct Callers {
  explicit Callers(const Cluster &C, size_t Proxy)
      : Transaction(C.client(Proxy)), Reading(C.client(Proxy)), Long(C.client(Proxy)) {
    for (int I = 0; I < 5; ++I)
      this->Idle.push_back(C.client(Proxy));
    REQUIRE(this->Transaction.run("begin").ok());
    REQUIRE(this->Transaction.run("insert into kept values (1)").ok());
    REQUIRE(this->Reading.run("begin").ok());
    REQUIRE(this->Reading.run("select count(*) from kept").ok());
    REQUIRE(this->Long.send("select sleep_ms(6000)"));
  }

  Client Transaction; // open, has written
  Client Reading;     // open, has only read
  Client Long;        // runs a long request
  std::vector<Client> Idle;
};

void checkShutdown(size_t Proxy) {
  CAPTURE(Proxy);
  Cluster C;
  C.waitReady();
  applyRules(C, ReadRule);
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  REQUIRE(C.client(0).run("create table kept(id bigint)").ok());
  Workload W(places(C), 2);
  CHECK(W.waitAcknowledged(Some));
  Callers Open(C, Proxy);
  C.proxy(Proxy).signal(SIGTERM);
  CHECK(eventually([&] { return health(C, Proxy) == Draining; }));
  for (Client &Idle : Open.Idle) {
    CHECK(eventually([&] { return ended(Idle); }));
    CHECK(Idle.run("select 1").State == "57P01");
  }
  CHECK(health(C, Proxy) == Draining);
  CHECK(Open.Transaction.run("insert into kept values (2)").ok());
  CHECK(Open.Transaction.run("commit").Tag == "COMMIT");
  CHECK(Open.Reading.run("select count(*) from kept").value() == "2");
  CHECK(Open.Reading.run("commit").Tag == "COMMIT");
  CHECK(health(C, Proxy) == Draining);
  Answer Long = Open.Long.finish();
  CHECK_MESSAGE(Long.ok(), Long.State << Long.Message);
  CHECK(C.proxy(Proxy).wait() == 0);
  CHECK_MESSAGE(W.waitAcknowledged(Some), W.summary());
  W.stop();
  INFO(W.summary());
  CHECK(W.unknown() == 0);
  CHECK(W.faultsIn(C.direct(C.primary()).run(Workload::ReadAll)) == "");
  CHECK(C.client(1 - Proxy).run("select count(*) from kept").value() == "2");
}

// The owner of the database shuts down while a request of one of its callers, or of a caller of
// the other proxy, runs over the drain deadline.
void checkCutShutdown(bool CallerAtOwner) {
  CAPTURE(CallerAtOwner);
  Cluster C({.ProxyFlags = {"--drain-timeout-ms=2500"}});
  C.waitReady();
  REQUIRE(C.client(0).run("create table kept(id bigint)").ok());
  size_t Owner = ownerOf(C);
  REQUIRE(Owner < C.proxies());
  std::string Primary = C.serverName(C.primary());
  Client Long = C.client(CallerAtOwner ? Owner : 1 - Owner);
  REQUIRE(Long.send("insert into kept select sleep_ms(30000)"));
  CHECK(eventually([&] {
    auto Row = targetRow(C, Primary);
    return Row && Row->Executing > 0;
  }));
  C.proxy(Owner).signal(SIGTERM);
  CHECK(C.proxy(Owner).wait() == 1);
  Answer A = Long.finish();
  CHECK_FALSE(A.ok());
  CHECK_FALSE(A.notRun());
}

} // namespace

// Guards against new work for a target that is taken out of service, and against reads or writes
// that fail because of it.
TEST_CASE("leaving: a replica gets no new work while service goes on") {
  for (MarkedBy By : Marks)
    checkReplicaLeaves(By);
}

// Guards against a transaction that is cut because its target leaves.
TEST_CASE("leaving: a transaction that is open on the target finishes") {
  for (MarkedBy By : Marks)
    checkTransactionFinishes(By);
}

// Guards against a shutdown that cuts transactions or a long request, keeps idle callers waiting,
// or ends with an error. The proxy may own the database or forward to its owner.
TEST_CASE("leaving: SIGTERM of a proxy with open transactions, a long request and idle callers") {
  for (size_t Proxy : {0, 1})
    checkShutdown(Proxy);
}

// Guards against a shutdown that reports success although it interrupted a request.
TEST_CASE("leaving: a shutdown that interrupts a request at the drain deadline exits with 1") {
  for (bool CallerAtOwner : {true, false})
    checkCutShutdown(CallerAtOwner);
}
