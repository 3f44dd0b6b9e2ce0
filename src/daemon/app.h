// The daemon: wires the duties to their loops and runs start-up and shutdown.
#ifndef TOUCAN_DAEMON_APP_H
#define TOUCAN_DAEMON_APP_H

#include "daemon/options.h"

#include <memory>

namespace toucan::daemon {

struct Ports {
  uint16_t Listen = 0;
  uint16_t Link = 0;
  uint16_t Http = 0;
};

class App {
public:
  explicit App(DaemonOptions Options);
  ~App();

  // Binds all ports and starts all threads. SIGTERM and SIGINT must be blocked already.
  Result<Ports> start();
  // Withdraws readiness, lets requests and transactions finish, stops all threads. Returns true
  // when nothing was cut.
  bool shutDown();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_APP_H
