// toucan-load: sends load to proxies or database servers and prints one line of results per stream.
#include "bench/load.h"

#include "base/settings.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <cstdio>

using namespace toucan;
using namespace toucan::bench;

namespace {

constexpr std::string_view Usage = R"(toucan-load: load generator for toucanrun and its stand-ins.

Usage:
  toucan-load [options]
  toucan-load --help

Prints one line of key=value pairs for each stream. Latencies are in milliseconds and count from the
scheduled arrival. Exit codes: 0 the run ended, 2 invalid setting.
)";

constexpr Setting Table[] = {
    {.Name = "proxies",
     .Required = true,
     .Min = 1,
     .Max = 1000,
     .Help = "Comma-separated IP:PORT of the proxies; callers are spread over them."},
    {.Name = "database", .Required = true, .Min = 1, .Max = 64, .Help = "Database name."},
    {.Name = "options", .Default = "", .Help = "Parameter \"options\" of the start-up packet."},
    {.Name = "callers",
     .Kind = SettingKind::Integer,
     .Default = "50",
     .Min = 1,
     .Max = 20000,
     .Help = "Connections for the open-loop streams."},
    {.Name = "short-rate",
     .Kind = SettingKind::Integer,
     .Default = "100",
     .Min = 0,
     .Max = 100000,
     .Help = "Arrivals of short requests per second."},
    {.Name = "short-sql",
     .Default = "select sleep_ms(5)",
     .Help = "SQL of short requests; %d is replaced by a growing number."},
    {.Name = "write-rate",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Min = 0,
     .Max = 100000,
     .Help = "Arrivals of writes per second."},
    {.Name = "write-sql",
     .Default = "",
     .Help = "SQL of writes; %d is replaced by a growing number."},
    {.Name = "write-percent",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Min = 0,
     .Max = 100,
     .Help =
         "Share of the short requests that send write-sql instead, on the same connections, %."},
    {.Name = "bound-lag-ms",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Min = 0,
     .Max = 3600000,
     .Help = "Replica lag assumed for the bound on the share of reads that replicas serve, ms."},
    {.Name = "bound-wait-ms",
     .Kind = SettingKind::Integer,
     .Default = "50",
     .Min = 0,
     .Max = 3600000,
     .Help = "Time that a read may wait for a replica that is behind, assumed for the bound, ms."},
    {.Name = "long-callers",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Min = 0,
     .Max = 1000,
     .Help = "Callers that repeat the long request without a pause."},
    {.Name = "long-sql", .Default = "select sleep_ms(3000)", .Help = "SQL of long requests."},
    {.Name = "mode",
     .Kind = SettingKind::Choice,
     .Default = "steady",
     .Choices = "steady|surge",
     .Help = "surge: every caller connects in the first second and sends one short request."},
    {.Name = "refused",
     .Kind = SettingKind::Choice,
     .Default = "stay-away",
     .Choices = "stay-away|return",
     .Help = "return: requests refused as not run, and reads without an answer, are retried."},
    {.Name = "deadline",
     .Kind = SettingKind::Choice,
     .Default = "untold",
     .Choices = "untold|told",
     .Help = "told: SET statement_timeout with the time left is sent before each try."},
    {.Name = "duration-ms",
     .Kind = SettingKind::Integer,
     .Default = "10000",
     .Min = 100,
     .Max = 3600000,
     .Help = "Duration of the run, ms."},
    {.Name = "deadline-ms",
     .Kind = SettingKind::Integer,
     .Default = "2000",
     .Min = 1,
     .Max = 3600000,
     .Help = "Deadline of a request from its scheduled arrival; later answers count as late, ms."},
    {.Name = "seed",
     .Kind = SettingKind::Integer,
     .Default = "1",
     .Min = 1,
     .Max = 1000000000,
     .Help = "Seed of the random generator for arrivals."},
};

Result<std::vector<Address>> parseAddresses(const std::string &Text) {
  std::vector<Address> Out;
  for (const std::string &Item : std::vector<std::string>(absl::StrSplit(Text, ','))) {
    std::vector<std::string> Parts = absl::StrSplit(Item, ':');
    int Port = 0;
    if (Parts.size() != 2 || !absl::SimpleAtoi(Parts[1], &Port) || Port < 1 || Port > 65535)
      return failure("setting \"proxies\": \"" + Item +
                     "\" is not IP:PORT with a port from 1 to 65535");
    Out.push_back({.Host = Parts[0], .Port = static_cast<uint16_t>(Port)});
  }
  return Out;
}

Result<LoadOptions> makeOptions(const SettingValues &V) {
  LoadOptions O;
  BOOST_LEAF_AUTO(Proxies, parseAddresses(V.text("proxies")));
  O.Proxies = std::move(Proxies);
  O.Database = V.text("database");
  O.StartupOptions = V.text("options");
  O.Callers = static_cast<size_t>(V.integer("callers"));
  O.Surge = V.text("mode") == "surge";
  O.SendDeadline = V.text("deadline") == "told";
  O.RetryRefused = V.text("refused") == "return";
  O.Duration = absl::Milliseconds(V.integer("duration-ms"));
  O.Deadline = absl::Milliseconds(V.integer("deadline-ms"));
  O.Seed = static_cast<uint64_t>(V.integer("seed"));
  O.Streams.push_back({.Name = "short",
                       .Sql = V.text("short-sql"),
                       .ArrivalsPerSecond = static_cast<double>(V.integer("short-rate")),
                       .ReadOnly = absl::StartsWithIgnoreCase(V.text("short-sql"), "select "),
                       .WriteFraction = static_cast<double>(V.integer("write-percent")) / 100,
                       .WriteSql = V.text("write-sql")});
  if (V.integer("write-rate") > 0)
    O.Streams.push_back({.Name = "write",
                         .Sql = V.text("write-sql"),
                         .ArrivalsPerSecond = static_cast<double>(V.integer("write-rate"))});
  if (V.integer("long-callers") > 0)
    O.Streams.push_back({.Name = "long",
                         .Sql = V.text("long-sql"),
                         .ClosedLoopCallers = static_cast<size_t>(V.integer("long-callers"))});
  return O;
}

void print(const StreamResult &R, absl::Duration Lag, absl::Duration Wait) {
  std::printf("stream=%s sent=%llu", R.Name.c_str(), static_cast<unsigned long long>(R.sent()));
  for (size_t I = 0; I < OutcomeCount; ++I)
    std::printf(" %s=%llu", std::string(outcomeName(static_cast<Outcome>(I))).c_str(),
                static_cast<unsigned long long>(R.Outcomes[I]));
  std::printf(" tries=%llu refused_at_once=%llu refused_later=%llu lost_tries=%llu",
              static_cast<unsigned long long>(R.Tries),
              static_cast<unsigned long long>(R.RefusedAtOnce),
              static_cast<unsigned long long>(R.RefusedLater),
              static_cast<unsigned long long>(R.LostTries));
  if (!R.SessionRequests.empty())
    std::printf(" bound=%.4f", replicaReadBound(R.SessionRequests, Lag, Wait));
  std::printf(" p50=%.2f p99=%.2f max=%.2f refused_p99=%.2f\n", quantile(R.AnsweredMs, 0.5),
              quantile(R.AnsweredMs, 0.99), quantile(R.AnsweredMs, 1), quantile(R.RefusedMs, 0.99));
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Args(Argv + 1, Argv + Argc);
  auto Line = capture([&] { return parseCommandLine(Usage, Table, "TOUCANLOAD_", "0.1.0", Args); });
  if (!Line) {
    std::fprintf(stderr, "toucan-load: %s\n", Line.Problem.Message.c_str());
    return 2;
  }
  if (Line->Print) {
    std::fputs(Line->Print->c_str(), stdout);
    return 0;
  }
  auto Options = capture([&] { return makeOptions(Line->Settings); });
  if (!Options) {
    std::fprintf(stderr, "toucan-load: %s\n", Options.Problem.Message.c_str());
    return 2;
  }
  for (const StreamResult &R : runLoad(*Options))
    print(R, absl::Milliseconds(Line->Settings.integer("bound-lag-ms")),
          absl::Milliseconds(Line->Settings.integer("bound-wait-ms")));
  return 0;
}
