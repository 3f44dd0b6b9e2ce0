// HTTP server of the stand-in platform (docs/platform.md).
#ifndef TOUCAN_STANDIN_PLATFORM_SERVER_H
#define TOUCAN_STANDIN_PLATFORM_SERVER_H

#include "base/error.h"

#include <memory>
#include <string>

namespace toucan::standin {

// Serves in threads of its own, on 127.0.0.1.
class PlatformServer {
public:
  PlatformServer();
  ~PlatformServer();
  PlatformServer(const PlatformServer &) = delete;
  PlatformServer &operator=(const PlatformServer &) = delete;

  // Binds Port (0: chosen by the system), starts to serve and returns the port.
  Result<int> start(int Port);
  // Ends calls in progress and waits for the threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_PLATFORM_SERVER_H
