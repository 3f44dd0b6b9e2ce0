// toucan-relay: TCP relay in front of one server, which a signal cuts off from everybody else.
#define DOCTEST_CONFIG_IMPLEMENT
#include "relay.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr auto Usage = "usage: toucan-relay PORT\n"
                       "Relays connections to PORT of 127.0.0.1. SIGUSR1 cuts the port off: open "
                       "connections go silent\nand new ones get no answer. SIGUSR2 ends the cut.\n";
constexpr unsigned long MaxPort = 65535;

} // namespace

int main(int Count, char **Values) {
  unsigned long Target = Count == 2 ? std::strtoul(Values[1], nullptr, 10) : 0;
  if (Target == 0 || Target > MaxPort) {
    std::fputs(Usage, stderr);
    return 2;
  }
  // The relay's own checks are doctest assertions; here a failed one ends the program.
  doctest::Context Context;
  Context.setAsDefaultForAssertsOutOfTestCases();
  // Blocked before the relay starts its thread, so that only sigwait takes them.
  sigset_t Signals;
  sigemptyset(&Signals);
  for (int Signal : {SIGUSR1, SIGUSR2, SIGTERM, SIGINT})
    sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  toucan::test::Relay Relay;
  Relay.setTarget(static_cast<uint16_t>(Target));
  std::printf("listening port=%d\n", Relay.port());
  std::fflush(stdout);
  for (int Signal = 0; sigwait(&Signals, &Signal) == 0;) {
    if (Signal == SIGTERM || Signal == SIGINT)
      return 0;
    Relay.partition(Signal == SIGUSR1);
  }
  return 1;
}
