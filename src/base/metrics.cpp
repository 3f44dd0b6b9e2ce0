#include "base/metrics.h"

#include "absl/strings/str_format.h"

namespace toucan {

namespace {

constexpr unsigned LatencyBuckets = 24;
constexpr double LatencyMinSeconds = 100e-6;
constexpr double LatencyMaxSeconds = 100;

} // namespace

Metrics::Metrics() {
  for (std::atomic<uint64_t> &R : this->Reasons)
    R = 0;
}

void Metrics::count(Reason R) {
  this->Reasons[static_cast<size_t>(R)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::add(std::string_view Name, uint64_t Delta) {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Named.find(Name);
  if (It == this->Named.end())
    It = this->Named.emplace(std::string(Name), 0).first;
  It->second += Delta;
}

void Metrics::set(std::string_view Name, int64_t Value) {
  std::lock_guard Lock(this->Mutex);
  this->Gauges.insert_or_assign(std::string(Name), Value);
}

void Metrics::latency(std::string_view WorkClass, absl::Duration Elapsed) {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Latencies.find(WorkClass);
  if (It == this->Latencies.end()) {
    Axis Bounds(LatencyBuckets, LatencyMinSeconds, LatencyMaxSeconds);
    It = this->Latencies
             .emplace(std::string(WorkClass),
                      Latency{.Counts = boost::histogram::make_histogram(Bounds)})
             .first;
  }
  It->second.Counts(absl::ToDoubleSeconds(Elapsed));
  It->second.SumSeconds += absl::ToDoubleSeconds(Elapsed);
}

uint64_t Metrics::value(Reason R) const {
  return this->Reasons[static_cast<size_t>(R)].load(std::memory_order_relaxed);
}

uint64_t Metrics::value(std::string_view Name) const {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Named.find(Name);
  return It == this->Named.end() ? 0 : It->second;
}

std::map<std::string, uint64_t> Metrics::counters() const {
  std::map<std::string, uint64_t> All;
  for (size_t I = 1; I < ReasonCount; ++I) {
    Reason R = static_cast<Reason>(I);
    std::string_view Family = reasonIsRetry(R) ? "retries_total" : "refusals_total";
    All[absl::StrFormat("%s{reason=\"%s\"}", Family, reasonName(R))] = this->value(R);
  }
  std::lock_guard Lock(this->Mutex);
  for (const auto &[Name, Value] : this->Named)
    All[Name] = Value;
  return All;
}

std::map<std::string, int64_t> Metrics::gauges() const {
  std::lock_guard Lock(this->Mutex);
  return {this->Gauges.begin(), this->Gauges.end()};
}

std::vector<LatencySnapshot> Metrics::latencies() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<LatencySnapshot> All;
  for (const auto &[Name, L] : this->Latencies) {
    LatencySnapshot Out;
    Out.WorkClass = Name;
    Out.SumSeconds = L.SumSeconds;
    const auto &Bounds = L.Counts.axis();
    // Index -1 is the underflow bin: everything below the first bound.
    uint64_t Total = static_cast<uint64_t>(L.Counts.at(-1));
    for (int I = 0; I < Bounds.size(); ++I) {
      Out.UpperSeconds.push_back(Bounds.bin(I).lower());
      Out.Cumulative.push_back(Total);
      Total += static_cast<uint64_t>(L.Counts.at(I));
    }
    Out.UpperSeconds.push_back(Bounds.bin(Bounds.size() - 1).upper());
    Out.Cumulative.push_back(Total);
    Out.Cumulative.push_back(Total + static_cast<uint64_t>(L.Counts.at(Bounds.size())));
    All.push_back(std::move(Out));
  }
  return All;
}

} // namespace toucan
