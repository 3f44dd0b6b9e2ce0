#include "daemon/http.h"

#include "absl/strings/str_format.h"

#include <httplib.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>
#include <thread>

namespace toucan::daemon {

namespace {

constexpr std::string_view MetricPrefix = "toucanrun_";

struct ReadinessRow {
  int HttpStatus;
  const char *Text;
};

constexpr std::array<ReadinessRow, 3> ReadinessRows = {
    {{503, "not ready\n"}, {200, "ready\n"}, {503, "draining\n"}}};

// Splits name{label="value"}: sets Family to the prefixed name, returns a metric with the label.
prometheus::ClientMetric splitLabel(const std::string &Name, std::string &Family) {
  prometheus::ClientMetric Out;
  size_t Brace = Name.find('{');
  Family = absl::StrFormat("%s%s", MetricPrefix, Name.substr(0, Brace));
  if (Brace == std::string::npos)
    return Out;
  size_t Equals = Name.find('=', Brace);
  size_t End = Name.rfind('"');
  Out.label.push_back({.name = Name.substr(Brace + 1, Equals - Brace - 1),
                       .value = Name.substr(Equals + 2, End - Equals - 2)});
  return Out;
}

// Returns the family with this name, which is added if it is missing.
prometheus::MetricFamily &familyOf(std::vector<prometheus::MetricFamily> &Families,
                                   const std::string &Name, prometheus::MetricType Type) {
  for (prometheus::MetricFamily &F : Families)
    if (F.name == Name)
      return F;
  Families.push_back({.name = Name, .help = "See docs/OPERATIONS.md.", .type = Type, .metric = {}});
  return Families.back();
}

prometheus::ClientMetric latencyMetric(const LatencySnapshot &L) {
  prometheus::ClientMetric Out;
  Out.label.push_back({.name = "class", .value = L.WorkClass});
  for (size_t I = 0; I < L.UpperSeconds.size(); ++I)
    Out.histogram.bucket.push_back(
        {.cumulative_count = L.Cumulative[I], .upper_bound = L.UpperSeconds[I]});
  Out.histogram.bucket.push_back({.cumulative_count = L.Cumulative.back(),
                                  .upper_bound = std::numeric_limits<double>::infinity()});
  Out.histogram.sample_count = L.Cumulative.back();
  Out.histogram.sample_sum = L.SumSeconds;
  return Out;
}

} // namespace

std::string metricsText(const Metrics &Counters) {
  std::vector<prometheus::MetricFamily> Families;
  std::string Family;
  for (const auto &[Name, Value] : Counters.counters()) {
    prometheus::ClientMetric Metric = splitLabel(Name, Family);
    Metric.counter.value = static_cast<double>(Value);
    familyOf(Families, Family, prometheus::MetricType::Counter).metric.push_back(Metric);
  }
  for (const auto &[Name, Value] : Counters.gauges()) {
    prometheus::ClientMetric Metric = splitLabel(Name, Family);
    Metric.gauge.value = static_cast<double>(Value);
    familyOf(Families, Family, prometheus::MetricType::Gauge).metric.push_back(Metric);
  }
  for (const LatencySnapshot &L : Counters.latencies())
    familyOf(Families, absl::StrFormat("%srequest_seconds", MetricPrefix),
             prometheus::MetricType::Histogram)
        .metric.push_back(latencyMetric(L));
  return prometheus::TextSerializer().Serialize(Families);
}

struct HttpServer::Impl {
  const Metrics &Counters;
  const std::atomic<Readiness> &Ready;
  httplib::Server Server;
  std::thread Thread;
  uint16_t Port = 0;

  Impl(const Metrics &M, const std::atomic<Readiness> &R) : Counters(M), Ready(R) {}
};

HttpServer::HttpServer(const Metrics &Counters, const std::atomic<Readiness> &Ready,
                       const char *ReadinessPath)
    : State(std::make_unique<Impl>(Counters, Ready)) {
  Impl *S = this->State.get();
  S->Server.new_task_queue = [] { return new httplib::ThreadPool(2); };
  S->Server.Get(ReadinessPath, [S](const httplib::Request &, httplib::Response &Answer) {
    const ReadinessRow &Row = ReadinessRows[static_cast<size_t>(S->Ready.load())];
    Answer.status = Row.HttpStatus;
    Answer.set_content(Row.Text, "text/plain");
  });
  S->Server.Get("/metrics", [S](const httplib::Request &, httplib::Response &Answer) {
    Answer.set_content(metricsText(S->Counters), "text/plain; version=0.0.4");
  });
}

HttpServer::~HttpServer() { this->stop(); }

Result<void> HttpServer::start(const std::string &Host, uint16_t Port) {
  Impl *S = this->State.get();
  // Replaces the library's default SO_REUSEPORT, with which two daemons could bind the same port.
  S->Server.set_socket_options([](socket_t Socket) {
    int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  });
  int Bound = Port == 0 ? S->Server.bind_to_any_port(Host.c_str())
              : S->Server.bind_to_port(Host.c_str(), Port) ? Port
                                                           : -1;
  if (Bound <= 0)
    return failure(absl::StrFormat("HTTP address %s:%d cannot be bound: %s", Host, Port,
                                   std::strerror(errno)));
  S->Port = static_cast<uint16_t>(Bound);
  S->Thread = std::thread([S] { S->Server.listen_after_bind(); });
  // Waits until the server runs: stop() has no effect before, and the join after it would then
  // block forever.
  while (!S->Server.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return {};
}

uint16_t HttpServer::port() const { return this->State->Port; }

void HttpServer::stop() {
  this->State->Server.stop();
  if (this->State->Thread.joinable())
    this->State->Thread.join();
}

} // namespace toucan::daemon
