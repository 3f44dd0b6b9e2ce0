// Counters for each refusal and retry reason, plain counters, and latencies per work class.
#ifndef TOUCAN_BASE_METRICS_H
#define TOUCAN_BASE_METRICS_H

#include "base/ids.h"
#include "base/verdict.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace toucan {

// Upper bounds and counts of one latency histogram, ready for export.
struct LatencySnapshot {
  std::string WorkClass;
  std::vector<double> UpperSeconds; // finite bounds, ascending
  std::vector<uint64_t> Cumulative; // one for each bound, then the total
  double SumSeconds = 0;
};

// Thread-safe. One object for each process, passed by reference.
class Metrics {
public:
  Metrics();

  // Counts one refusal, unknown outcome or retry.
  void count(Reason R);
  // Adds to a named counter; the name is a lower-case word with underscores, without prefix.
  void add(std::string_view Name, uint64_t Delta = 1);
  // Sets a named gauge.
  void set(std::string_view Name, int64_t Value);
  // Records the time from request to end for a work class ("short" or "long").
  void latency(std::string_view WorkClass, absl::Duration Elapsed);

  uint64_t value(Reason R) const;
  uint64_t value(std::string_view Name) const;
  // Name to value, reasons as refusals_total{reason="..."} or retries_total{reason="..."}.
  std::map<std::string, uint64_t> counters() const;
  std::map<std::string, int64_t> gauges() const;
  std::vector<LatencySnapshot> latencies() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Latency {
    Histogram Counts;
    double SumSeconds = 0;
  };

  std::array<std::atomic<uint64_t>, ReasonCount> Reasons;
  // Debian builds absl::Mutex without the thread sanitizer, which would report its users as races.
  mutable std::mutex Mutex;
  std::map<std::string, uint64_t, std::less<>> Named;
  std::map<std::string, int64_t, std::less<>> Gauges;
  std::map<std::string, Latency, std::less<>> Latencies;
};

} // namespace toucan

#endif // TOUCAN_BASE_METRICS_H
