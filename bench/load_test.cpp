#include "bench/load.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <thread>

using namespace toucan;
using namespace toucan::bench;

namespace {

constexpr size_t BufferBytes = 4096;

uint64_t outcomeCount(const StreamResult &R, Outcome O) {
  return R.Outcomes[static_cast<size_t>(O)];
}

// Proxy that serves one caller at a time and answers each query with the next of its replies. It
// closes the connection when the reply is empty or none is left.
class FakeProxy {
public:
  explicit FakeProxy(std::vector<std::string> Replies) : Replies(std::move(Replies)) {
    this->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof At;
    REQUIRE(::bind(this->Listener, reinterpret_cast<sockaddr *>(&At), Size) == 0);
    REQUIRE(::listen(this->Listener, 1) == 0);
    REQUIRE(::getsockname(this->Listener, reinterpret_cast<sockaddr *>(&At), &Size) == 0);
    this->Port = ntohs(At.sin_port);
    this->Thread = std::thread([this] { this->run(); });
  }
  ~FakeProxy() {
    ::shutdown(this->Listener, SHUT_RDWR);
    this->Thread.join();
    ::close(this->Listener);
  }
  FakeProxy(const FakeProxy &) = delete;
  FakeProxy &operator=(const FakeProxy &) = delete;

  // Returns all bytes received from callers after their start-up packets.
  std::string received() const {
    std::lock_guard Lock(this->Mutex);
    return this->Received;
  }
  Address address() const { return {.Host = "127.0.0.1", .Port = this->Port}; }

private:
  void run() {
    for (int Fd = 0; (Fd = ::accept(this->Listener, nullptr, nullptr)) >= 0; ::close(Fd))
      this->serve(Fd);
  }

  void serve(int Fd) {
    std::array<char, BufferBytes> Buffer;
    // One recv() reads one message: the load generator sends its start-up packet and each query by
    // one call and waits for the answer.
    if (::recv(Fd, Buffer.data(), Buffer.size(), 0) <= 0)
      return;
    auto Send = [&](const std::string &Text) {
      ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    };
    Send(wire::authenticationOk() + wire::readyForQuery('I'));
    for (ssize_t Got = 0; (Got = ::recv(Fd, Buffer.data(), Buffer.size(), 0)) > 0;) {
      std::lock_guard Lock(this->Mutex);
      this->Received.append(Buffer.data(), static_cast<size_t>(Got));
      std::string Reply = this->Next < this->Replies.size() ? this->Replies[this->Next++] : "";
      if (Reply.empty())
        return;
      Send(Reply + wire::readyForQuery('I'));
    }
  }

  int Listener = -1;
  uint16_t Port = 0;
  std::vector<std::string> Replies;
  size_t Next = 0;
  mutable std::mutex Mutex;
  std::string Received;
  std::thread Thread;
};

// Runs the load with one caller that sends one request, and retries it if Retry is set.
StreamResult runOneRequest(std::vector<Address> Proxies, bool Read, bool Retry = true) {
  LoadOptions O{.Proxies = std::move(Proxies),
                .Database = "x",
                .Streams = {{.Name = "short", .Sql = "select 1", .ReadOnly = Read}},
                .Callers = 1,
                .Surge = true,
                .RetryRefused = Retry,
                .Duration = absl::Milliseconds(1100),
                .Deadline = absl::Milliseconds(700)};
  return runLoad(O).at(0);
}

std::string refusal(const std::string &Hint) {
  return wire::errorResponse(
      {{'S', "ERROR"}, {'C', "53300"}, {'M', "the request has not run"}, {'H', Hint}});
}

} // namespace

// Guards against quantiles that are off by one rank.
TEST_CASE("quantiles use the nearest rank") {
  std::vector<double> Samples;
  for (int I = 100; I >= 1; --I)
    Samples.push_back(I);
  CHECK(quantile(Samples, 0.5) == 50);
  CHECK(quantile(Samples, 0.99) == 99);
  CHECK(quantile(Samples, 1) == 100);
  CHECK(quantile({}, 0.5) == 0);
}

// Guards against requests being counted as good, or not at all, when nothing listens at the port.
TEST_CASE("requests to a closed port count as unanswered") {
  LoadOptions O{.Proxies = {{.Host = "127.0.0.1", .Port = 9}},
                .Database = "x",
                .Streams = {{.Name = "short", .Sql = "select 1"}},
                .Callers = 3,
                .Surge = true,
                .Duration = absl::Milliseconds(1200),
                .Deadline = absl::Milliseconds(100)};
  auto Results = runLoad(O);
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcomes[static_cast<size_t>(Outcome::Unanswered)] == 3);
  CHECK(Results[0].sent() == 3);
}

// Guards against hints being ignored because their text is not parsed.
TEST_CASE("retryAfter parses the pause from the hint of a refusal") {
  CHECK(retryAfter("retry after 250 ms") == absl::Milliseconds(250));
  CHECK_FALSE(retryAfter(""));
  CHECK_FALSE(retryAfter("retry after -1 ms"));
  CHECK_FALSE(retryAfter("try again later"));
}

// Guards against refused requests not being retried, and against latency being counted from the
// last try instead of the scheduled arrival (coordinated omission).
TEST_CASE("a refused request is retried after the pause in the hint") {
  FakeProxy P({refusal("retry after 250 ms"), wire::commandComplete("SELECT 0")});
  StreamResult R = runOneRequest({P.address()}, false);
  CHECK(outcomeCount(R, Outcome::Good) == 1);
  CHECK(R.sent() == 1);
  CHECK(R.Tries == 2);
  CHECK(R.RefusedAtOnce == 1);
  REQUIRE(R.AnsweredMs.size() == 1);
  CHECK(R.AnsweredMs[0] >= 250);
}

TEST_CASE("a refused request is not retried after its deadline or when retries are off") {
  FakeProxy P({refusal("retry after 800 ms"), refusal("retry after 10 ms")});
  for (bool Retry : {true, false}) {
    StreamResult R = runOneRequest({P.address()}, false, Retry);
    CHECK(outcomeCount(R, Outcome::NotRun) == 1);
    CHECK(R.Tries == 1);
  }
}

// Guards against writes being sent twice, and against callers that keep trying a dead proxy.
TEST_CASE("a read on a lost connection is retried at the next proxy, a write is not") {
  for (bool Read : {true, false}) {
    FakeProxy DyingProxy({""});
    FakeProxy LiveProxy({wire::commandComplete("SELECT 0")});
    StreamResult R = runOneRequest({DyingProxy.address(), LiveProxy.address()}, Read);
    CHECK(outcomeCount(R, Read ? Outcome::Good : Outcome::Lost) == 1);
    CHECK(R.sent() == 1);
    CHECK(R.Tries == (Read ? 2 : 1));
    CHECK(R.LostTries == 1);
  }
}

// Guards against the answer to SET being taken for the answer to the request.
TEST_CASE("SET statement_timeout carries the time left and its answer does not end the request") {
  FakeProxy P({wire::commandComplete("SET") + wire::readyForQuery('I') + refusal("")});
  LoadOptions O{.Proxies = {P.address()},
                .Database = "x",
                .Streams = {{.Name = "short", .Sql = "select 1"}},
                .Callers = 1,
                .Surge = true,
                .SendDeadline = true,
                .Duration = absl::Milliseconds(1100),
                .Deadline = absl::Milliseconds(300)};
  StreamResult R = runLoad(O).at(0);
  CHECK(outcomeCount(R, Outcome::NotRun) == 1);
  CHECK(R.Tries == 1);
  std::string SetPrefix = "set statement_timeout = ";
  std::string Received = P.received();
  size_t At = Received.find(SetPrefix);
  REQUIRE(At != std::string::npos);
  int Ms = std::stoi(Received.substr(At + SetPrefix.size()));
  CHECK(Ms > 0);
  CHECK(Ms <= 300);
}

// Guards against a bound that is too low, so that a measured share would exceed what the guarantee
// allows, and against a read at the primary not raising the floor.
TEST_CASE("replicaReadBound: own writes, first reads and reads at the primary raise the floor") {
  auto At = [](int Ms) { return toucan::Instant() + absl::Milliseconds(Ms); };
  auto Request = [&](size_t Session, bool Write, int Ms) {
    return SessionRequest{
        .Session = Session, .Write = Write, .Sent = At(Ms), .Answered = At(Ms + 5)};
  };
  absl::Duration Lag = absl::Milliseconds(100);
  absl::Duration Zero = absl::ZeroDuration();
  CHECK(replicaReadBound({}, Lag, Zero) == 0);
  CHECK(replicaReadBound({Request(1, true, 0)}, Lag, Zero) == 0);
  std::vector<SessionRequest> Own = {Request(1, true, 0), Request(1, false, 99),
                                     Request(1, false, 100)};
  CHECK(replicaReadBound(Own, Lag, Zero) == 0.5);
  CHECK(replicaReadBound(Own, Lag, absl::Milliseconds(1)) == 1);
  CHECK(replicaReadBound(Own, Zero, Zero) == 1);
  // The first read of a session puts the earlier writes of others into its floor, later ones not.
  CHECK(replicaReadBound({Request(1, true, 0), Request(2, false, 50)}, Lag, Zero) == 0);
  CHECK(replicaReadBound({Request(2, false, 0), Request(1, true, 10), Request(2, false, 50)}, Lag,
                         Zero) == 1);
  // The read at 50 ms goes to the primary and returns the write at 40 ms, which raises the floor.
  CHECK(replicaReadBound({Request(1, true, 0), Request(2, true, 40), Request(1, false, 50),
                          Request(1, false, 110), Request(1, false, 140)},
                         Lag, Zero) == doctest::Approx(1.0 / 3));
}
