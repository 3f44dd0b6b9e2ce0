// HTTP server of the stand-in platform (docs/platform.md).
#ifndef TOUCAN_STANDIN_PLATFORM_SERVER_H
#define TOUCAN_STANDIN_PLATFORM_SERVER_H

#include "base/error.h"

#include <memory>
#include <string>

namespace toucan::standin {

// Listens on 127.0.0.1 and serves requests in its own threads.
class PlatformServer {
public:
  PlatformServer();
  ~PlatformServer();
  PlatformServer(const PlatformServer &) = delete;
  PlatformServer &operator=(const PlatformServer &) = delete;

  // Binds Port (0: the system chooses a free one), starts serving and returns the port.
  Result<int> start(int Port);
  // Stops listening, cuts delays short and waits for the threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_PLATFORM_SERVER_H
