// Load tool: open-loop arrivals from a seeded generator, many callers over the PostgreSQL protocol.
// Latency counts from the scheduled arrival, so a slow system does not slow its own measurement
// down (coordinated omission).
#ifndef TOUCAN_BENCH_LOAD_H
#define TOUCAN_BENCH_LOAD_H

#include "base/base.h"
#include "wire/wire.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::bench {

struct Address {
  std::string Host;
  uint16_t Port = 0;
};

// One stream of equal requests.
struct Stream {
  std::string Name;
  std::string Sql;          // %d is replaced by a number that grows with each request
  double PerSecond = 0;     // open-loop arrivals; 0: closed loop
  size_t ClosedCallers = 0; // closed loop: callers that send the next request after each answer
  bool Read = false;        // may be sent again although it may have run
  double WriteShare = 0;    // of the open-loop requests, on the same connections
  std::string WriteSql;     // as Sql
};

struct LoadOptions {
  std::vector<Address> Proxies;
  std::string Database;
  std::string StartupOptions; // "options" of the start-up packet
  std::vector<Stream> Streams;
  size_t Callers = 100; // connections for the open-loop streams
  bool Surge = false;   // every open-loop caller connects in the first second and sends one request
  // Open-loop requests that were refused as not run, and reads without an answer, are sent again
  // after a pause while their deadline has not passed.
  bool RefusedReturn = false;
  // Each request is preceded by SET statement_timeout with the time left until its deadline.
  bool TellDeadline = false;
  absl::Duration Duration = absl::Seconds(10);
  absl::Duration Deadline = absl::Seconds(2); // an answer after it is not counted as good
  uint64_t Seed = 1;
};

// Outcome of the last try of a request.
enum class Outcome : uint8_t {
  Good,       // answered within the deadline
  Late,       // answered after the deadline
  NotRun,     // refused, and the refusal says that the request has not run
  MayHaveRun, // SQLSTATE 08007
  Failed,     // another error of the target or the proxy
  Lost,       // the connection ended without an answer
  Unanswered, // no answer when the run ended
  Count
};

// Above the round trip on a busy machine, far below the time that a request waits in a full queue.
inline constexpr absl::Duration RefusedAtOnceLimit = absl::Milliseconds(100);
inline constexpr size_t OutcomeCount = static_cast<size_t>(Outcome::Count);
std::string_view outcomeName(Outcome O);

// An answered request of a session.
struct SessionRequest {
  size_t Session = 0;
  bool Write = false;
  Instant Sent;
  Instant Answered;
};

struct StreamResult {
  std::string Name;
  std::array<uint64_t, OutcomeCount> Outcomes{};
  std::vector<double> AnsweredMs;       // latencies of good and late answers
  std::vector<double> RefusedMs;        // latencies of requests that ended as NotRun
  std::vector<SessionRequest> Answered; // of a stream with writes
  uint64_t Tries = 0;                   // requests sent, those that were sent again included
  uint64_t RefusedAtOnce = 0;           // tries refused as not run within RefusedAtOnceLimit
  uint64_t RefusedLater = 0;            // tries refused as not run after a longer wait
  uint64_t LostTries = 0;               // tries whose connection ended without an answer

  uint64_t sent() const;
};

// The value below which the share Q (0 to 1) of the samples lies; 0 without samples.
double quantile(std::vector<double> Samples, double Q);

// The pause that a refusal asks for in its hint field ("retry after 250 ms"); empty without one.
std::optional<absl::Duration> retryAfter(std::string_view Hint);
// The largest share of the reads, 0 to 1, that replicas may serve under the session guarantee when
// they apply each write Lag after it was sent at the earliest and a read waits at most Wait for
// them. Each read is judged in the order of sending. The floor of a session is the last of these
// writes: its own; and for its first read, and for each read that the primary serves (monotonic
// reads), every write that was answered before. A replica may serve a read once the floor is
// applied, which is counted from the sending of the floor's writes, so that the figure is an upper
// bound. 0 without reads.
double replicaReadBound(std::vector<SessionRequest> Requests, absl::Duration Lag,
                        absl::Duration Wait);

// Runs the load in its own loop and returns one result for each stream.
std::vector<StreamResult> runLoad(const LoadOptions &Options);

} // namespace toucan::bench

#endif // TOUCAN_BENCH_LOAD_H
