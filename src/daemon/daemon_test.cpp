#include "daemon/http.h"
#include "daemon/options.h"

#include <doctest/doctest.h>
#include <httplib.h>

using namespace toucan;
using namespace toucan::daemon;

// Guards against metrics text that Prometheus rejects, and against a count under the wrong reason.
TEST_CASE("the metrics text has reasons as labels and latencies as histograms") {
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

// Guards against a balancer that sends callers to an instance that is not ready or is draining.
TEST_CASE("/health answers 200 only if the instance is ready") {
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

// Guards against an error at start that does not name the port in use.
TEST_CASE("start fails with an error that names the HTTP port that is in use") {
  Metrics M;
  std::atomic<Readiness> State{Readiness::NotReady};
  HttpServer First(M, State);
  REQUIRE(capture([&] { return First.start("127.0.0.1", 0); }));
  HttpServer Second(M, State);
  auto Started = capture([&] { return Second.start("127.0.0.1", First.port()); });
  REQUIRE_FALSE(Started);
  CHECK(Started.Problem.Message.find(std::to_string(First.port())) != std::string::npos);
}

// Guards against a policy that can be set but is missing in the policy table, and against one in
// the table that can't be set.
TEST_CASE("the choices of the setting policy are the names in the policy table") {
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

// Guards against a default that its own range excludes. The daemon would then never start.
TEST_CASE("every default is within its range and the default settings make the option structs") {
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

// Guards against a start with a largest message that the memory for callers cannot hold.
TEST_CASE("the largest message is limited by the memory limit") {
  std::map<std::string, std::string> Flags = {{"instance-id", "a"},
                                              {"data-centre", "d"},
                                              {"region", "r"},
                                              {"token-key", "0123456789abcdef"},
                                              {"memory-limit-mb", "112"}};
  auto Checked = [&] {
    auto Values =
        capture([&] { return resolveSettings(settingsTable(), EnvironmentPrefix, Flags, {}); });
    REQUIRE(Values);
    return capture([&] { return checkLimits(*Values); });
  };
  auto Refused = Checked();
  REQUIRE_FALSE(Refused);
  CHECK(Refused.Problem.Message == "setting \"max-frame-bytes\": value \"16777216\" is not allowed "
                                   "with memory-limit-mb 112; allowed: at most 7340032");
  Flags["max-frame-bytes"] = "7340032";
  CHECK(Checked());
  Flags["max-frame-bytes"] = "16777216";
  Flags["memory-limit-mb"] = "0";
  CHECK(Checked());
}
