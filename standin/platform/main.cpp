// standin-platform: HTTP server that stands in for the platform in tests and demos.
#include "base/base.h"
#include "server.h"

#include <csignal>
#include <cstdio>

namespace {

using namespace toucan;

constexpr std::string_view Usage = "standin-platform: serves the platform's table service, object "
                                   "store and lists on 127.0.0.1.\n\n"
                                   "Usage:\n  standin-platform [options]\n";

constexpr Setting Table[] = {
    {.Name = "port",
     .Kind = SettingKind::Integer,
     .Default = "0",
     .Min = 0,
     .Max = 65535,
     .Help = "Port of the HTTP server; 0: the system chooses a free port."},
};

// Serves until SIGTERM or SIGINT and returns the exit code.
Result<int> run(const std::vector<std::string> &Args) {
  BOOST_LEAF_AUTO(Line, parseCommandLine(Usage, Table, "STANDIN_PLATFORM_", "0.1.0", Args));
  if (Line.Print) {
    std::fputs(Line.Print->c_str(), stdout);
    return 0;
  }
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr); // inherited by the threads of the server
  standin::PlatformServer Server;
  BOOST_LEAF_AUTO(Port, Server.start(static_cast<int>(Line.Settings.integer("port"))));
  std::printf("listening port=%d\n", Port);
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  return 0;
}

} // namespace

int main(int Count, char **Values) {
  std::vector<std::string> Args(Values + 1, Values + Count);
  auto Done = toucan::capture([&] { return run(Args); });
  if (Done)
    return *Done;
  std::fprintf(stderr, "standin-platform: %s\n", Done.Problem.Message.c_str());
  return 2;
}
