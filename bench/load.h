// Load generator: many callers over the PostgreSQL protocol, with open-loop arrivals from a seeded
// random generator. Latency is counted from the scheduled arrival. Otherwise a slow system would
// delay later requests and so hide its own latency (coordinated omission).
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

// A stream of requests with the same SQL text.
struct Stream {
  std::string Name;
  std::string Sql;              // %d is replaced by a number that grows with each request
  double ArrivalsPerSecond = 0; // open-loop arrivals; 0: none
  size_t ClosedLoopCallers = 0; // closed loop: callers that send the next request after each answer
  bool ReadOnly = false;        // may be retried even if it may have run
  double WriteFraction = 0;     // share (0 to 1) of the requests that send WriteSql instead of Sql
  std::string WriteSql;         // %d as in Sql
};

struct LoadOptions {
  std::vector<Address> Proxies;
  std::string Database;
  std::string StartupOptions; // "options" parameter of the start-up packet
  std::vector<Stream> Streams;
  size_t Callers = 100; // connections for the open-loop streams
  bool Surge = false;   // every open-loop caller connects in the first second and sends one request
  // Retries open-loop requests that were refused as not run, and reads without an answer, after a
  // pause, unless their deadline passes before.
  bool RetryRefused = false;
  // Sends SET statement_timeout with the time left until the deadline before each request.
  bool SendDeadline = false;
  absl::Duration Duration = absl::Seconds(10);
  absl::Duration Deadline = absl::Seconds(2); // from the scheduled arrival; later answers are late
  uint64_t Seed = 1;
};

// Outcome of a try; the outcome of a request is that of its last try.
enum class Outcome : uint8_t {
  Good,       // answered within the deadline
  Late,       // answered after the deadline
  NotRun,     // refused with a message that the request has not run
  MayHaveRun, // error with SQLSTATE 08007: the request may have run
  Failed,     // any other error of the target or the proxy
  Lost,       // the connection ended without an answer
  Unanswered, // no answer when the run ended
  Count
};

// Limit up to which a refusal counts as immediate. It is above the round trip on a busy machine and
// far below the time that a request waits in a full queue.
inline constexpr absl::Duration ImmediateRefusalLimit = absl::Milliseconds(100);
inline constexpr size_t OutcomeCount = static_cast<size_t>(Outcome::Count);
std::string_view outcomeName(Outcome O);

// An answered request of a session (one connection of a stream with writes).
struct SessionRequest {
  size_t Session = 0;
  bool Write = false;
  Instant Sent;
  Instant Answered;
};

struct StreamResult {
  std::string Name;
  std::array<uint64_t, OutcomeCount> Outcomes{};
  std::vector<double> AnsweredMs;              // latencies of good and late answers
  std::vector<double> RefusedMs;               // latencies of requests that ended as NotRun
  std::vector<SessionRequest> SessionRequests; // of a stream with writes
  uint64_t Tries = 0;                          // requests sent, including retries
  uint64_t RefusedAtOnce = 0; // tries refused as not run within ImmediateRefusalLimit
  uint64_t RefusedLater = 0;  // tries refused as not run after a longer wait
  uint64_t LostTries = 0;     // tries whose connection ended without an answer

  // Returns the number of requests, each counted once however often it was tried.
  uint64_t sent() const;
};

// Returns the Q-quantile (Q from 0 to 1) of the samples by nearest rank, or 0 without samples.
double quantile(std::vector<double> Samples, double Q);

// Parses the pause from the hint field of a refusal ("retry after 250 ms"). Returns no value if the
// hint has another form.
std::optional<absl::Duration> retryAfter(std::string_view Hint);
// Returns an upper bound on the share of reads (0 to 1) that replicas may serve under the session
// guarantee, or 0 without reads. Replicas are assumed to apply each write Lag after it was sent,
// and a read to wait at most Wait for a replica. A replica may serve a read once it has applied the
// session's floor. The floor is the latest of the writes that the session must see: its own, and
// all writes answered before its first read or before a read that the primary served (monotonic
// reads). Reads are considered in the order in which they were sent. The lag of a write counts from
// its sending, the earliest possible time, so that the result is an upper bound.
double replicaReadBound(std::vector<SessionRequest> Requests, absl::Duration Lag,
                        absl::Duration Wait);

// Runs the load in its own event loop until the end and returns one result for each stream.
std::vector<StreamResult> runLoad(const LoadOptions &Options);

} // namespace toucan::bench

#endif // TOUCAN_BENCH_LOAD_H
