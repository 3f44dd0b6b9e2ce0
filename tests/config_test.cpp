// Changes of the rules while operators compete, the store fails or an instance is paused.
#include "cluster.h"
#include "relay.h"

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <signal.h>

#include <algorithm>

using namespace toucan::test;
using Json = nlohmann::json;

namespace {

constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUnreachable = 3;
constexpr auto StoreDown = R"({"down":true})";
constexpr auto StoreUp = "{}";

std::string rulesText(const std::string &Table) {
  return absl::StrFormat("once database=orders table=%s # operator of %s\n", Table, Table);
}

// Rules version by instance, of the instances that answer.
std::map<std::string, uint64_t> versions(const Cluster &C) {
  std::map<std::string, uint64_t> Out;
  CtlResult R = C.ctl({"status", "--output=json", "--timeout-ms=500"});
  Json Status = Json::parse(R.Out, nullptr, false);
  if (!Status.is_discarded())
    for (const Json &One : Status["instances"])
      if (One["rules_version"].is_number())
        Out[One["instance"]] = One["rules_version"];
  return Out;
}

// Polls the rules version of all instances and records each decrease. The constructor returns when
// every instance has answered once, so that each has a version to compare with before the test
// pauses it.
class VersionWatch {
public:
  explicit VersionWatch(const Cluster &At) : C(At) {
    REQUIRE(eventually([this] {
      this->poll();
      return this->Last.size() == this->C.proxies();
    }));
    this->Thread = std::thread([this] { this->run(); });
  }
  ~VersionWatch() { this->stop(); }
  VersionWatch(const VersionWatch &) = delete;
  VersionWatch &operator=(const VersionWatch &) = delete;

  void stop() {
    this->Stopping = true;
    if (this->Thread.joinable())
      this->Thread.join();
  }
  // Decreases seen until now; to be read after stop().
  const std::string &decreases() const { return this->Decreases; }
  const std::map<std::string, uint64_t> &last() const { return this->Last; }

private:
  void poll() {
    for (const auto &[Instance, Version] : versions(this->C)) {
      uint64_t &Old = this->Last[Instance];
      if (Version < Old)
        absl::StrAppendFormat(&this->Decreases, "%s went from version %d to %d\n", Instance, Old,
                              Version);
      Old = Version;
    }
  }

  void run() {
    while (!this->Stopping)
      this->poll();
  }

  const Cluster &C;
  std::atomic<bool> Stopping = false;
  std::string Decreases;
  std::map<std::string, uint64_t> Last;
  std::thread Thread;
};

void checkNoDecrease(VersionWatch &W, size_t Instances, uint64_t Version) {
  W.stop();
  CHECK(W.decreases() == "");
  CHECK(W.last().size() == Instances);
  for (const auto &One : W.last())
    CHECK_MESSAGE(One.second <= Version, One.first);
}

// Runs rules apply with its result as JSON; null when it printed none.
struct Applied {
  CtlResult Run;
  Json Report;
};

Applied apply(const Cluster &C, const std::string &Table, uint64_t Base) {
  std::string File = C.writeFile("rules-" + Table, rulesText(Table));
  CtlResult R = C.ctl({"rules", "apply", File, absl::StrFormat("--base=%d", Base),
                       "--confirm-ms=30000", "--output=json"});
  Json Report = Json::parse(R.Out, nullptr, false);
  return {.Run = R, .Report = Report.is_object() ? Report : Json::object()};
}

void applyOk(const Cluster &C, const std::string &Table, uint64_t Base) {
  Applied A = apply(C, Table, Base);
  INFO(A.Run.Out << A.Run.Err);
  REQUIRE(A.Run.Code == ExitDone);
  REQUIRE(A.Report["version"] == Base + 1);
}

// Version and text in the store.
Json stored(const Cluster &C) {
  return Json::parse(C.ctl({"rules", "show", "--output=json"}).Out, nullptr, false);
}

bool allHave(const Cluster &C, uint64_t Version) {
  std::map<std::string, uint64_t> Found = versions(C);
  return Found.size() == C.proxies() &&
         std::all_of(Found.begin(), Found.end(),
                     [&](const auto &One) { return One.second == Version; });
}

} // namespace

// Guards against a change that overwrites another one which its author has not seen.
TEST_CASE("of two operators that apply rules on one base version exactly one wins") {
  constexpr uint64_t Rounds = 5;
  Cluster C;
  C.waitReady();
  VersionWatch Watch(C);
  // With the delay both have read the base version before one of them writes.
  C.setFaults(R"({"delay_ms":100})");
  for (uint64_t Base = 0; Base < Rounds; ++Base) {
    CAPTURE(Base);
    std::string Tables[] = {absl::StrFormat("a%d", Base), absl::StrFormat("b%d", Base)};
    Applied Ends[2];
    std::thread Other([&] { Ends[1] = apply(C, Tables[1], Base); });
    Ends[0] = apply(C, Tables[0], Base);
    Other.join();
    INFO(Ends[0].Run.Out << Ends[0].Run.Err << Ends[1].Run.Out << Ends[1].Run.Err);
    size_t Winner = Ends[0].Run.Code == ExitDone ? 0 : 1;
    const Applied &Loser = Ends[1 - Winner];
    REQUIRE(Ends[Winner].Run.Code == ExitDone);
    CHECK(Ends[Winner].Report["version"] == Base + 1);
    CHECK(Loser.Run.Code == ExitRefused);
    CHECK(Loser.Report["result"] == "conflict");
    CHECK(Loser.Report["version"] == Base + 1);
    Json InForce = stored(C);
    CHECK(InForce["version"] == Base + 1);
    CHECK(InForce["text"] == rulesText(Tables[Winner]));
  }
  checkNoDecrease(Watch, C.proxies(), Rounds);
}

// Guards against a change that is reported as failed, or applied twice, when the store's answer is
// lost after the change took effect.
TEST_CASE("a change whose answer the store loses is in force once") {
  Cluster C;
  C.waitReady();
  // The proxies' own write to the store would use up the fault.
  REQUIRE(eventually([&] { return !C.platformGet("/v1/table/group/orders").empty(); }));
  for (uint64_t Base = 0; Base < 3; ++Base) {
    CAPTURE(Base);
    C.setFaults(R"({"lose_answers":1})");
    Applied A = apply(C, absl::StrFormat("t%d", Base), Base);
    INFO(A.Run.Out << A.Run.Err);
    CHECK(A.Run.Code == ExitDone);
    CHECK(A.Report["result"] == "in_force");
    CHECK(A.Report["version"] == Base + 1);
    CHECK(stored(C)["version"] == Base + 1);
  }
  CHECK(allHave(C, 3));
}

// Guards against service, or a change of primary, that needs the platform's store.
TEST_CASE("service and a change of primary go on while the store is down") {
  // Over the 30 s after which an instance without store and peers refuses new work.
  constexpr std::chrono::seconds Outage{35};
  Cluster C;
  C.waitReady();
  applyOk(C, "t", 0);
  REQUIRE(C.client(0).run("create table w(id bigint)").ok());
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  C.setFaults(StoreDown);
  auto End = std::chrono::steady_clock::now() + Outage;
  int Written = 0;
  for (; std::chrono::steady_clock::now() < End; ++Written) {
    Client Caller = C.client(static_cast<size_t>(Written) % C.proxies());
    Answer Write = Caller.run(absl::StrFormat("insert into w values (%d)", Written));
    REQUIRE_MESSAGE(Write.ok(), Write.State << " " << Write.Message);
    Answer Read = Caller.run("select count(*) from w");
    REQUIRE_MESSAGE(Read.value() == std::to_string(Written + 1), Read.State << Read.Message);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  C.server(Old).kill();
  for (size_t Proxy = 0; Proxy < C.proxies(); ++Proxy)
    CHECK(eventually([&] { return C.client(Proxy).run("insert into w values (-1)").ok(); }));
  CHECK(C.primary() != Old);
  Applied A = apply(C, "other", 1);
  INFO(A.Run.Out << A.Run.Err);
  CHECK(A.Run.Code == ExitUnreachable);
  CHECK(absl::StrContains(A.Run.Err, "503"));
  C.setFaults(StoreUp);
  CHECK(stored(C)["version"] == 1);
  applyOk(C, "other", 1);
}

// Guards against an instance that serves under no rules because it could not read any.
TEST_CASE("a proxy started while the store is down is ready only once it knows the rules") {
  Cluster C;
  C.waitReady();
  applyOk(C, "t", 0);
  C.setFaults(StoreDown);
  C.addProxy();
  size_t New = C.proxies() - 1;
  // Several attempts of the new instance to read the store.
  CHECK_FALSE(eventually([&] { return C.healthy(New); }, std::chrono::seconds(5)));
  CHECK(absl::StrContains(C.client(New).error(), "has not run"));
  C.setFaults(StoreUp);
  CHECK(eventually([&] { return C.healthy(New); }));
  CHECK(versions(C)[C.proxyName(New)] == 1);
}

// Guards against an instance without the platform's lists that is ready, or that becomes the owner
// of databases it does not know; and against one that needs the store for rules its peers know.
TEST_CASE("a proxy that only its peers can reach learns the rules from them") {
  Cluster C({.Database = "bookings"}); // of three proxies the third one is its owner
  C.waitReady();
  applyOk(C, "t", 0);
  REQUIRE(C.client(0).run("create table w(id bigint)").ok());
  Relay NoPlatform;
  C.addProxy(NoPlatform.port());
  size_t New = C.proxies() - 1;
  CHECK(eventually([&] { return versions(C)[C.proxyName(New)] == 1; }));
  // Time for its peers to hear of it, and to hand it the database if they did that.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < End) {
    CHECK_FALSE(C.healthy(New));
    for (size_t Proxy = 0; Proxy < New; ++Proxy) {
      Answer A = C.client(Proxy).run("insert into w values (1)");
      REQUIRE_MESSAGE(A.ok(), A.State << " " << A.Message);
    }
  }
  NoPlatform.setTarget(C.platformPort());
  CHECK(eventually([&] { return C.healthy(New); }));
  CHECK(eventually([&] { return C.client(New).run("insert into w values (1)").ok(); }));
}

// Guards against a paused instance that goes on under old rules, or makes others go back to them.
TEST_CASE("a proxy that was paused takes over the newer rules") {
  Cluster C({.Proxies = 3});
  C.waitReady();
  for (size_t Paused = 0; Paused < C.proxies(); ++Paused) {
    CAPTURE(Paused);
    uint64_t Base = 3 * Paused;
    applyOk(C, absl::StrFormat("t%d", Base), Base);
    VersionWatch Watch(C);
    C.proxy(Paused).signal(SIGSTOP);
    for (uint64_t I = 1; I <= 2; ++I) {
      std::string File = C.writeFile("rules", rulesText(absl::StrFormat("t%d", Base + I)));
      CtlResult R = C.ctl(
          {"rules", "apply", File, absl::StrFormat("--base=%d", Base + I), "--confirm-ms=3000"});
      INFO(R.Out << R.Err);
      CHECK(R.Code == ExitRefused);
      CHECK(absl::StrContains(R.Out, C.proxyName(Paused)));
    }
    C.proxy(Paused).signal(SIGCONT);
    CHECK(eventually([&] { return allHave(C, Base + 3); }));
    checkNoDecrease(Watch, C.proxies(), Base + 3);
  }
}
