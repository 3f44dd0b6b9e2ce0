#include "daemon/http.h"
#include "daemon/options.h"

#include <doctest/doctest.h>
#include <httplib.h>

using namespace toucan;
using namespace toucan::daemon;

// Guards against metrics that Prometheus rejects or that mix reasons up.
TEST_CASE("metrics carry reasons as labels and latencies as histograms") {
  Metrics M;
  M.count(Reason::QueueFull);
  M.count(Reason::RetryLinkLost);
  M.set("rules_version", 7);
  M.latency("short", absl::Milliseconds(3));
  std::string Text = metricsText(M);
  CHECK(Text.find("toucanrun_refusals_total{reason=\"queue_full\"} 1") != std::string::npos);
  CHECK(Text.find("toucanrun_retries_total{reason=\"retry_link_lost\"} 1") != std::string::npos);
  CHECK(Text.find("toucanrun_rules_version 7") != std::string::npos);
  CHECK(Text.find("toucanrun_request_seconds_count{class=\"short\"} 1") != std::string::npos);
  CHECK(Text.find("# TYPE toucanrun_request_seconds histogram") != std::string::npos);
}

// Guards against a balancer that keeps sending callers to an instance that is not ready or leaving.
TEST_CASE("health answers 200 only when ready") {
  Metrics M;
  std::atomic<Readiness> State{Readiness::NotReady};
  HttpServer Server(M, State);
  REQUIRE(capture([&] { return Server.start("127.0.0.1", 0); }));
  httplib::Client Client("127.0.0.1", Server.port());
  CHECK(Client.Get("/health")->status == 503);
  State = Readiness::Ready;
  CHECK(Client.Get("/health")->status == 200);
  State = Readiness::Draining;
  CHECK(Client.Get("/health")->body == "draining\n");
}

TEST_CASE("a taken HTTP port is a clear error") {
  Metrics M;
  std::atomic<Readiness> State{Readiness::NotReady};
  HttpServer First(M, State);
  REQUIRE(capture([&] { return First.start("127.0.0.1", 0); }));
  HttpServer Second(M, State);
  auto Started = capture([&] { return Second.start("127.0.0.1", First.port()); });
  REQUIRE_FALSE(Started);
  CHECK(Started.Problem.Message.find(std::to_string(First.port())) != std::string::npos);
}

// Guards against a policy that can be set but has no row in the table, and the reverse.
TEST_CASE("the choices of the setting are the policies of the table") {
  std::string Names;
  for (const Policy &P : Policies)
    Names += (Names.empty() ? "" : "|") + std::string(P.Name);
  bool Found = false;
  for (const Setting &S : settingsTable()) {
    if (S.Name != "policy")
      continue;
    Found = true;
    CHECK(S.Choices == Names);
    CHECK(S.Default == Policies[0].Name);
  }
  CHECK(Found);
  CHECK(policyNamed("fifo") == nullptr);
}

// Guards against a default outside its own range, which would stop every start.
TEST_CASE("every default lies in its range, and all option structs can be made") {
  std::map<std::string, std::string> Flags = {{"instance-id", "a"},
                                              {"data-centre", "d"},
                                              {"region", "r"},
                                              {"token-key", "0123456789abcdef"}};
  for (const Setting &S : settingsTable()) {
    if (!S.Required)
      CHECK_MESSAGE(capture([&] { return checkSetting(S, S.Default); }), S.Name);
  }
  auto Values =
      capture([&] { return resolveSettings(settingsTable(), EnvironmentPrefix, Flags, {}); });
  REQUIRE(Values);
  DaemonOptions Options = makeOptions(*Values, 5);
  CHECK(Options.Entry.ListenPort == 6432);
  CHECK(Options.Pool.ConfirmTimeout == absl::Seconds(5));
}
