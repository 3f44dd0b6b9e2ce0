// standin-db: database server for tests, described in docs/platform.md.
#include "standin_db.h"

#include "base/base.h"

#include "absl/strings/str_format.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

using namespace toucan;

namespace {

constexpr int64_t MaxDelayMs = 600'000;

constexpr Setting SettingTable[] = {
    {.Name = "id", .Default = "standin", .Min = 1, .Max = 200, .Help = "id of the server"},
    {.Name = "database", .Default = "standin", .Min = 1, .Max = 200, .Help = "database name"},
    {.Name = "port",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Max = 65535,
     .Help = "port, 0: chosen by the system"},
    {.Name = "data-dir",
     .Required = true,
     .Min = 1,
     .Max = 4000,
     .Help = "directory of the log, created if it does not exist"},
    {.Name = "slots",
     .Kind = SettingKind::Integer,
     .Default = "3",
     .Min = 1,
     .Max = 10000,
     .Help = "requests that execute at once"},
    {.Name = "connections",
     .Kind = SettingKind::Integer,
     .Default = "25",
     .Min = 1,
     .Max = 100000,
     .Help = "limit of work connections"},
    {.Name = "connect-delay-ms",
     .Kind = SettingKind::Integer,
     .Default = "10",
     .Max = MaxDelayMs,
     .Help = "time before AuthenticationOk, ms"},
    {.Name = "lag-ms",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Max = MaxDelayMs,
     .Help = "time from receipt to apply on a replica, ms"},
    {.Name = "ship-delay-ms",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Max = MaxDelayMs,
     .Help = "time before a replica receives an entry, ms"},
    {.Name = "work-delay-ms",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Max = MaxDelayMs,
     .Help = "time added to each statement while it holds a slot, ms"},
};

std::chrono::milliseconds delay(const SettingValues &S, std::string_view Name) {
  return std::chrono::milliseconds(S.integer(Name));
}

standin::ServerOptions optionsOf(const SettingValues &S) {
  return {.Id = S.text("id"),
          .Database = S.text("database"),
          .Port = static_cast<uint16_t>(S.integer("port")),
          .DataDir = S.text("data-dir"),
          .Slots = S.integer("slots"),
          .Connections = S.integer("connections"),
          .ConnectDelay = delay(S, "connect-delay-ms"),
          .Lag = delay(S, "lag-ms"),
          .ShipDelay = delay(S, "ship-delay-ms"),
          .WorkDelay = delay(S, "work-delay-ms")};
}

Result<void> serve(const SettingValues &S) {
  BOOST_LEAF_CHECK(startLogging({.Level = "info", .Instance = S.text("id")}));
  std::error_code Ignored; // GroupLog::open reports a missing directory
  std::filesystem::create_directories(S.text("data-dir"), Ignored);
  // Blocked before any thread starts, so that all threads inherit the mask and only sigwait
  // receives the signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  standin::Server Server(optionsOf(S));
  BOOST_LEAF_CHECK(Server.start());
  absl::PrintF("listening port=%d\n", Server.port());
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stop();
  return {};
}

} // namespace

int main(int Count, char **Values) {
  std::vector<std::string> Args(Values + 1, Values + Count);
  auto CommandLine = capture([&] {
    return parseCommandLine("Usage: standin-db [options]\n", SettingTable, "STANDIN_DB_", "0.1.0",
                            Args);
  });
  if (!CommandLine) {
    absl::FPrintF(stderr, "%s\n", CommandLine.Problem.Message);
    return 2;
  }
  if (CommandLine->Print) {
    absl::PrintF("%s\n", *CommandLine->Print);
    return 0;
  }
  auto Outcome = capture([&] { return serve(CommandLine->Settings); });
  if (!Outcome)
    absl::FPrintF(stderr, "standin-db: %s\n", Outcome.Problem.Message);
  stopLogging();
  return Outcome ? 0 : 1;
}
