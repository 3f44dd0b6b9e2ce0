// Writers that note what was acknowledged, for tests with failures.
#ifndef TOUCAN_TESTS_WORKLOAD_H
#define TOUCAN_TESTS_WORKLOAD_H

#include "client.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace toucan::test {

// Each writer inserts ids that it never sends twice, unless an answer says that the request has not
// run. The table has no unique index, so a write that ran twice is seen.
class Workload {
public:
  // Writers connect to the ports in turn and change to the next one when a connection is lost.
  Workload(std::vector<ClientOptions> Places, int Writers);
  ~Workload();
  Workload(const Workload &) = delete;
  Workload &operator=(const Workload &) = delete;

  static constexpr auto CreateTable = "create table if not exists written(id bigint)";
  static constexpr auto ReadAll = "select id from written";

  uint64_t acknowledged() const { return this->AcknowledgedCount; }
  // Waits until More writes have been acknowledged from now on.
  bool waitAcknowledged(uint64_t More) const;
  // How long callers went without service, the worst of all writers, since watchGaps().
  struct Gaps {
    std::chrono::milliseconds Unserved{0}; // between two acknowledged writes
    std::chrono::milliseconds Failing{0};  // from an error to the next acknowledged write
  };
  void watchGaps();
  Gaps gaps() const;
  // Ends the writers.
  void stop();
  // What is wrong with the rows of ReadAll after stop(); empty when nothing is.
  std::string faultsIn(const Answer &Rows) const;
  // Writes whose answer does not say whether they ran.
  uint64_t unknown() const;
  // Number of writes by outcome, for the output of a failed test.
  std::string summary() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Service {
    Clock::time_point Acknowledged = Clock::now(); // or start of the watch
    std::optional<Clock::time_point> FirstError;   // since then
  };
  enum class Outcome : uint8_t { Acknowledged, Unknown, NotRun };
  void write(size_t Writer);
  void note(uint64_t Id, const Answer &A);
  void noteService(Service &S, Clock::time_point Now, bool Acknowledged);

  const std::vector<ClientOptions> Places;
  std::atomic<bool> Stopping = false;
  std::atomic<uint64_t> AcknowledgedCount = 0;
  mutable std::mutex Mutex;
  std::map<uint64_t, Outcome> Outcomes;     // last outcome of each id
  std::map<std::string, uint64_t> Problems; // messages of other outcomes
  std::map<uint64_t, Service> ServiceOf;    // by writer
  Gaps Worst;
  std::vector<std::thread> Threads;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_WORKLOAD_H
