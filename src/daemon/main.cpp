// toucanrund: database proxy with session consistency.
#include "daemon/app.h"

#include "absl/time/clock.h"

#include <csignal>
#include <cstdio>
#include <pthread.h>

using namespace toucan;
using namespace toucan::daemon;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

// Blocks the shutdown signals in this thread and in all threads that it starts. run() receives them
// with sigwait.
sigset_t blockShutdownSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int run(const SettingValues &Values, const sigset_t &Signals) {
  DaemonOptions Options =
      makeOptions(Values, static_cast<uint64_t>(absl::GetCurrentTimeNanos() / 1000));
  auto Logging = capture(
      [&] { return startLogging({.Level = Options.LogLevel, .Instance = Options.Self.Value}); });
  if (!Logging) {
    std::fprintf(stderr, "toucanrund: %s\n", Logging.Problem.Message.c_str());
    return ExitUsage;
  }
  App Daemon(std::move(Options));
  Captured<Ports> Bound = capture([&] { return Daemon.start(); });
  if (!Bound) {
    LogEvent(LogLevel::Error, "start_failed").kv("cause", Bound.Problem.Message);
    return ExitFailed;
  }
  std::printf("listening port=%d link=%d http=%d\n", Bound->Listen, Bound->Link, Bound->Http);
  std::fflush(stdout);
  LogEvent(LogLevel::Info, "started")
      .kv("port", Bound->Listen)
      .kv("link_port", Bound->Link)
      .kv("http_port", Bound->Http);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  LogEvent(LogLevel::Info, "signal").kv("number", Signal);
  return Daemon.shutDown() ? 0 : ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  sigset_t Signals = blockShutdownSignals();
  std::vector<std::string> Args(Argv + 1, Argv + Argc);
  Captured<CommandLine> Line = capture([&] {
    return parseCommandLine(Usage, settingsTable(), EnvironmentPrefix, "toucanrund 0.1.0", Args);
  });
  if (!Line) {
    std::fprintf(stderr, "toucanrund: %s\n", Line.Problem.Message.c_str());
    return ExitUsage;
  }
  if (Line->Print) {
    std::fputs(Line->Print->c_str(), stdout);
    return 0;
  }
  auto Checked = capture([&] { return checkLimits(Line->Settings); });
  if (!Checked) {
    std::fprintf(stderr, "toucanrund: %s\n", Checked.Problem.Message.c_str());
    return ExitUsage;
  }
  int Code = run(Line->Settings, Signals);
  stopLogging();
  return Code;
}
