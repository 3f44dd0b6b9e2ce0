// HTTP endpoints of a daemon: /health for the balancer, /metrics for Prometheus.
#ifndef TOUCAN_DAEMON_HTTP_H
#define TOUCAN_DAEMON_HTTP_H

#include "base/base.h"

#include <atomic>
#include <memory>
#include <string>

namespace toucan::daemon {

enum class Readiness : uint8_t { NotReady, Ready, Draining };

// Returns the metrics in the text format of Prometheus.
std::string metricsText(const Metrics &Counters);

class HttpServer {
public:
  // The balancer checks readiness at ReadinessPath.
  HttpServer(const Metrics &Counters, const std::atomic<Readiness> &State,
             const char *ReadinessPath = "/health");
  ~HttpServer();

  // Binds and starts the thread that serves requests. The error names the address.
  Result<void> start(const std::string &Host, uint16_t Port);
  uint16_t port() const;
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_HTTP_H
