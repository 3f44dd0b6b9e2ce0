// The daemon: connects the services to their event loops and runs start-up and shutdown.
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

  // Binds all ports and starts all threads. The caller must have blocked SIGTERM and SIGINT.
  Result<Ports> start();
  // Sets /health to draining, waits for requests and transactions to finish, and stops all threads.
  // Returns false if some had not finished at the drain deadline.
  bool shutDown();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_APP_H
