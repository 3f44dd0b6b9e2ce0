#include "bench/load.h"

#include "absl/strings/str_replace.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cmath>
#include <functional>

namespace toucan::bench {

namespace {

constexpr size_t MaxFrameBytes = 64 * 1024 * 1024;
constexpr size_t ReadBytes = 64 * 1024;
constexpr absl::Duration ConnectPhase = absl::Seconds(1); // time in which all callers connect
constexpr absl::Duration ReconnectPause = absl::Milliseconds(100);
// Pause before the first retry of a request that was refused without a hint. It doubles with each
// try up to the maximum.
constexpr absl::Duration InitialRetryPause = absl::Milliseconds(100);
constexpr absl::Duration MaxRetryPause = absl::Seconds(1);
constexpr std::string_view HintPrefix = "retry after ";
constexpr std::string_view HintSuffix = " ms";

constexpr std::array<std::string_view, OutcomeCount> OutcomeNames = {
    "good", "late", "not_run", "may_have_run", "failed", "lost", "unanswered"};

// One request of a stream, from its scheduled arrival until the end of its last try.
struct Job {
  size_t StreamIndex = 0;
  Instant Scheduled;
  std::string Sql; // empty before the first try; retries send the same text
  bool Write = false;
  uint32_t Tries = 0;
  bool OpenLoop = false;
};

// Result of one try of a request.
struct TryResult {
  Outcome Kind = Outcome::Good;
  Instant Sent;
  std::optional<absl::Duration> RetryAfter; // hint of a refusal
  size_t Session = 0;                       // number of the connection
};

// One caller with its connection. Reconnects to the next proxy when the connection is lost.
class Caller {
public:
  using OnDone = std::function<void(Job, const TryResult &)>;
  using OnIdle = std::function<void(Caller &)>;

  // Proxy is the index of the proxy to connect to first.
  Caller(Loop &L, size_t Number, size_t Proxy, const LoadOptions &Options, OnDone Done, OnIdle Idle)
      : EventLoop(L), Number(Number), Proxy(Proxy), Options(Options), Done(std::move(Done)),
        Idle(std::move(Idle)) {}
  ~Caller() { this->closeSocket(); }

  void connect();
  size_t number() const { return this->Number; }
  bool isIdle() const { return this->Ready && !this->Current; }
  void send(Job J, Instant Deadline);
  // Returns the request that waits for its answer, if any.
  const std::optional<Job> &currentJob() const { return this->Current; }

private:
  void onEvent(uint32_t Events);
  void onFrame(const wire::Frame &F);
  void onReady();
  void flush();
  void onConnectionLost();
  void finishTry(Outcome O);
  void closeSocket();

  Loop &EventLoop;
  size_t Number;
  size_t Proxy;
  const LoadOptions &Options;
  OnDone Done;
  OnIdle Idle;
  int Fd = -1;
  bool Ready = false;
  std::string OutBuffer;
  wire::FrameReader Reader{MaxFrameBytes};
  std::optional<Job> Current;
  Instant Deadline;
  Instant Sent;
  size_t PendingSetAnswers = 0; // answers to SET that are due before the answer to the request
  std::optional<Outcome> ErrorOutcome;
  std::optional<absl::Duration> ErrorRetryAfter;
};

void Caller::connect() {
  this->closeSocket();
  this->Reader = wire::FrameReader(MaxFrameBytes);
  this->Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(this->Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  const Address &To = this->Options.Proxies[this->Proxy];
  sockaddr_in Addr{};
  Addr.sin_family = AF_INET;
  Addr.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Host.c_str(), &Addr.sin_addr);
  // The connect does not block: it has ended when the socket becomes writable or fails.
  static_cast<void>(::connect(this->Fd, reinterpret_cast<sockaddr *>(&Addr), sizeof Addr));
  std::map<std::string, std::string> Parameters = {{"user", "load"},
                                                   {"database", this->Options.Database}};
  if (!this->Options.StartupOptions.empty())
    Parameters["options"] = this->Options.StartupOptions;
  this->OutBuffer = wire::startup(Parameters);
  this->EventLoop.watch(this->Fd, EPOLLIN | EPOLLOUT, [this](uint32_t E) { this->onEvent(E); });
}

void Caller::send(Job J, Instant D) {
  assert(this->isIdle());
  Instant Now = monotonicNow();
  this->PendingSetAnswers = 0;
  if (this->Options.SendDeadline && D > Now) {
    // Rounded up, because a timeout of 0 means no limit.
    int64_t LeftMs = absl::ToInt64Milliseconds(absl::Ceil(D - Now, absl::Milliseconds(1)));
    this->OutBuffer += wire::query(absl::StrCat("set statement_timeout = ", LeftMs));
    this->PendingSetAnswers = 1;
  }
  this->OutBuffer += wire::query(J.Sql);
  this->Current = std::move(J);
  this->Deadline = D;
  this->Sent = Now;
  this->ErrorOutcome.reset();
  this->ErrorRetryAfter.reset();
  this->flush();
}

void Caller::onEvent(uint32_t Events) {
  if (Events & EPOLLOUT)
    this->flush();
  if (this->Fd < 0 || !(Events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    return;
  std::array<char, ReadBytes> Buffer;
  ssize_t Count = recv(this->Fd, Buffer.data(), Buffer.size(), 0);
  if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
    this->onConnectionLost();
    return;
  }
  if (Count < 0)
    return;
  this->Reader.append(std::string_view(Buffer.data(), static_cast<size_t>(Count)));
  wire::Frame F;
  while (this->Fd >= 0 && this->Reader.next(F) == wire::ReadStatus::Ready)
    this->onFrame(F);
}

// Decides the outcome of a try from an error of the proxy; ReadyForQuery ends the try.
void Caller::onFrame(const wire::Frame &F) {
  if (F.Type == 'Z') {
    this->onReady();
  } else if (F.Type == 'E') {
    wire::ErrorFields Fields = wire::parseError(F.Body).value_or(wire::ErrorFields());
    bool NotRun = Fields['M'].find("has not run") != std::string::npos;
    this->ErrorOutcome = Fields['C'] == "08007" ? Outcome::MayHaveRun
                         : NotRun               ? Outcome::NotRun
                                                : Outcome::Failed;
    this->ErrorRetryAfter = retryAfter(Fields['H']);
  }
}

void Caller::onReady() {
  this->Ready = true;
  if (this->PendingSetAnswers > 0) {
    --this->PendingSetAnswers;
    return;
  }
  if (this->Current)
    this->finishTry(monotonicNow() <= this->Deadline ? Outcome::Good : Outcome::Late);
  if (this->isIdle())
    this->Idle(*this);
}

void Caller::flush() {
  while (!this->OutBuffer.empty()) {
    ssize_t Count = ::send(this->Fd, this->OutBuffer.data(), this->OutBuffer.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    this->OutBuffer.erase(0, static_cast<size_t>(Count));
  }
  this->EventLoop.rewatch(this->Fd, this->OutBuffer.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
}

// Reports the end of the current try, with outcome O unless the proxy has sent an error.
void Caller::finishTry(Outcome O) {
  Job J = std::move(*this->Current);
  this->Current.reset();
  this->Done(std::move(J), {.Kind = this->ErrorOutcome.value_or(O),
                            .Sent = this->Sent,
                            .RetryAfter = this->ErrorRetryAfter,
                            .Session = this->Number});
}

// Handles the loss of the connection: reports the current try as lost and connects to the next
// proxy after a pause.
void Caller::onConnectionLost() {
  this->closeSocket();
  this->PendingSetAnswers = 0;
  if (this->Current)
    this->finishTry(Outcome::Lost);
  this->Proxy = (this->Proxy + 1) % this->Options.Proxies.size();
  this->EventLoop.at(this->EventLoop.now() + ReconnectPause, [this] { this->connect(); });
}

void Caller::closeSocket() {
  this->Ready = false;
  if (this->Fd < 0)
    return;
  this->EventLoop.unwatch(this->Fd);
  close(this->Fd);
  this->Fd = -1;
}

// One run of the load: callers, scheduled arrivals and results.
class Run {
public:
  explicit Run(const LoadOptions &O);
  std::vector<StreamResult> execute();

private:
  void addOpenLoopCallers();
  void addClosedLoopCallers();
  void scheduleArrivals();
  void dispatchBacklog();
  void onDone(Job J, const TryResult &Try);
  std::optional<absl::Duration> retryPause(const Job &J, const TryResult &Try);
  void onIdle(Caller &C);
  void sendThrough(Caller &C, Job J);
  Caller &addCaller(Caller::OnIdle Idle);

  const LoadOptions &Options;
  Loop L;
  std::mt19937_64 Random;
  Instant End;
  uint64_t LastNumber = 0;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<Caller *> IdleCallers;
  std::deque<Job> Backlog;
  std::vector<uint64_t> AwaitingRetry; // requests in the pause before a retry, by stream
  std::vector<StreamResult> Results;
};

Run::Run(const LoadOptions &O) : Options(O), Random(O.Seed), AwaitingRetry(O.Streams.size()) {
  for (const Stream &S : O.Streams)
    this->Results.push_back({.Name = S.Name});
  this->End = monotonicNow() + O.Duration;
  this->addOpenLoopCallers();
  this->addClosedLoopCallers();
  if (!O.Surge)
    this->scheduleArrivals();
  // The last requests may be answered until their deadline.
  this->L.at(this->End + O.Deadline, [this] { this->L.stop(); });
}

Caller &Run::addCaller(Caller::OnIdle Idle) {
  size_t Proxy = this->Callers.size() % this->Options.Proxies.size();
  this->Callers.push_back(std::make_unique<Caller>(
      this->L, this->Callers.size(), Proxy, this->Options,
      [this](Job J, const TryResult &Try) { this->onDone(std::move(J), Try); }, std::move(Idle)));
  return *this->Callers.back();
}

// Creates the callers of the open-loop streams. In a surge, each connects at a random time in the
// first second, with one request that is scheduled for that time.
void Run::addOpenLoopCallers() {
  std::uniform_real_distribution<double> Share(0, 1);
  for (size_t I = 0; I < this->Options.Callers; ++I) {
    Caller &C = this->addCaller([this](Caller &Idle) { this->onIdle(Idle); });
    if (!this->Options.Surge) {
      C.connect();
      continue;
    }
    Instant At = monotonicNow() + ConnectPhase * Share(this->Random);
    this->L.at(At, [this, &C, At] {
      this->Backlog.push_back({.StreamIndex = 0, .Scheduled = At, .OpenLoop = true});
      C.connect();
    });
  }
}

// Creates the callers of the closed-loop streams. Each sends a request whenever it is idle.
void Run::addClosedLoopCallers() {
  for (size_t S = 0; S < this->Options.Streams.size(); ++S) {
    for (size_t I = 0; I < this->Options.Streams[S].ClosedLoopCallers; ++I) {
      Caller &C = this->addCaller([this, S](Caller &Idle) {
        if (monotonicNow() < this->End)
          this->sendThrough(Idle, {.StreamIndex = S, .Scheduled = monotonicNow()});
      });
      C.connect();
    }
  }
}

// Schedules the arrivals of each open-loop stream as a Poisson process.
void Run::scheduleArrivals() {
  // Callers connect in the first second of the run; arrivals start after it.
  Instant Start = monotonicNow() + ConnectPhase;
  for (size_t S = 0; S < this->Options.Streams.size(); ++S) {
    double Rate = this->Options.Streams[S].ArrivalsPerSecond;
    if (Rate <= 0)
      continue;
    std::exponential_distribution<double> Gap(Rate);
    for (Instant At = Start; At < this->End; At += absl::Seconds(Gap(this->Random)))
      this->L.at(At, [this, S, At] {
        this->Backlog.push_back({.StreamIndex = S, .Scheduled = At, .OpenLoop = true});
        this->dispatchBacklog();
      });
  }
}

// Assigns requests that are due to idle callers, the oldest request first.
void Run::dispatchBacklog() {
  while (!this->IdleCallers.empty() && !this->Backlog.empty()) {
    // For streams with writes, the session is chosen at random. Otherwise the caller that became
    // idle last would get most of the requests.
    if (this->Options.Streams[this->Backlog.front().StreamIndex].WriteFraction > 0)
      std::swap(this->IdleCallers[this->Random() % this->IdleCallers.size()],
                this->IdleCallers.back());
    Caller *C = this->IdleCallers.back();
    this->IdleCallers.pop_back();
    if (!C->isIdle())
      continue;
    Job J = std::move(this->Backlog.front());
    this->Backlog.pop_front();
    this->sendThrough(*C, std::move(J));
  }
}

void Run::onIdle(Caller &C) {
  if (this->Backlog.empty()) {
    this->IdleCallers.push_back(&C);
    return;
  }
  Job J = std::move(this->Backlog.front());
  this->Backlog.pop_front();
  this->sendThrough(C, std::move(J));
}

// Sends a request through a caller. The first try decides whether it is a write and fixes its SQL.
void Run::sendThrough(Caller &C, Job J) {
  const Stream &S = this->Options.Streams[J.StreamIndex];
  if (J.Sql.empty()) {
    std::uniform_real_distribution<double> Share(0, 1);
    J.Write = S.WriteFraction > 0 && Share(this->Random) < S.WriteFraction;
    J.Sql = absl::StrReplaceAll(J.Write ? S.WriteSql : S.Sql,
                                {{"%d", absl::StrCat(++this->LastNumber)}});
  }
  ++J.Tries;
  ++this->Results[J.StreamIndex].Tries;
  Instant Deadline = J.Scheduled + this->Options.Deadline;
  C.send(std::move(J), Deadline);
}

// Returns the pause before a request is retried, or no value if this try was its last. A request is
// retried only if it has not run or is a read.
std::optional<absl::Duration> Run::retryPause(const Job &J, const TryResult &Try) {
  bool MayHaveRun = Try.Kind == Outcome::MayHaveRun || Try.Kind == Outcome::Lost;
  bool SafeToRetry = Try.Kind == Outcome::NotRun ||
                     (MayHaveRun && !J.Write && this->Options.Streams[J.StreamIndex].ReadOnly);
  if (!this->Options.RetryRefused || !J.OpenLoop || !SafeToRetry)
    return std::nullopt;
  constexpr uint32_t MaxDoublings = 6;
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  absl::Duration Pause =
      std::min(InitialRetryPause * (1 << std::min(J.Tries - 1, MaxDoublings)), MaxRetryPause) *
      Jitter(this->Random);
  Pause = Try.RetryAfter.value_or(Pause);
  bool BeforeDeadline = monotonicNow() + Pause < J.Scheduled + this->Options.Deadline;
  return BeforeDeadline ? std::optional(Pause) : std::nullopt;
}

// Counts the result of a try. Schedules a retry or records the outcome of the request.
void Run::onDone(Job J, const TryResult &Try) {
  StreamResult &R = this->Results[J.StreamIndex];
  Instant Now = monotonicNow();
  if (Try.Kind == Outcome::NotRun)
    ++(Now - Try.Sent <= ImmediateRefusalLimit ? R.RefusedAtOnce : R.RefusedLater);
  if (Try.Kind == Outcome::Lost)
    ++R.LostTries;
  if (std::optional<absl::Duration> Pause = this->retryPause(J, Try)) {
    ++this->AwaitingRetry[J.StreamIndex];
    this->L.at(Now + *Pause, [this, J = std::move(J)]() mutable {
      --this->AwaitingRetry[J.StreamIndex];
      this->Backlog.push_back(std::move(J));
      this->dispatchBacklog();
    });
    return;
  }
  ++R.Outcomes[static_cast<size_t>(Try.Kind)];
  double Ms = absl::ToDoubleMilliseconds(Now - J.Scheduled);
  bool Answered = Try.Kind == Outcome::Good || Try.Kind == Outcome::Late;
  if (Answered && this->Options.Streams[J.StreamIndex].WriteFraction > 0)
    R.SessionRequests.push_back(
        {.Session = Try.Session, .Write = J.Write, .Sent = Try.Sent, .Answered = Now});
  if (Answered)
    R.AnsweredMs.push_back(Ms);
  else if (Try.Kind == Outcome::NotRun)
    R.RefusedMs.push_back(Ms);
}

// Runs the event loop to the end. Requests that have no outcome by then count as unanswered.
std::vector<StreamResult> Run::execute() {
  this->L.run();
  auto CountUnanswered = [&](const Job &J) {
    ++this->Results[J.StreamIndex].Outcomes[static_cast<size_t>(Outcome::Unanswered)];
  };
  for (const std::unique_ptr<Caller> &C : this->Callers)
    if (C->currentJob())
      CountUnanswered(*C->currentJob());
  for (const Job &J : this->Backlog)
    CountUnanswered(J);
  for (size_t S = 0; S < this->AwaitingRetry.size(); ++S)
    this->Results[S].Outcomes[static_cast<size_t>(Outcome::Unanswered)] += this->AwaitingRetry[S];
  this->Callers.clear();
  return std::move(this->Results);
}

} // namespace

std::string_view outcomeName(Outcome O) { return OutcomeNames[static_cast<size_t>(O)]; }

uint64_t StreamResult::sent() const {
  uint64_t Sum = 0;
  for (uint64_t Count : this->Outcomes)
    Sum += Count;
  return Sum;
}

double quantile(std::vector<double> Samples, double Q) {
  assert(Q >= 0 && Q <= 1);
  if (Samples.empty())
    return 0;
  size_t Rank = static_cast<size_t>(std::ceil(Q * static_cast<double>(Samples.size())));
  size_t Index = Rank == 0 ? 0 : Rank - 1;
  std::nth_element(Samples.begin(), Samples.begin() + static_cast<std::ptrdiff_t>(Index),
                   Samples.end());
  return Samples[Index];
}

std::optional<absl::Duration> retryAfter(std::string_view Hint) {
  if (!Hint.starts_with(HintPrefix) || !Hint.ends_with(HintSuffix) ||
      Hint.size() <= HintPrefix.size() + HintSuffix.size())
    return std::nullopt;
  Hint.remove_prefix(HintPrefix.size());
  Hint.remove_suffix(HintSuffix.size());
  uint32_t Ms = 0;
  auto [End, Error] = std::from_chars(Hint.data(), Hint.data() + Hint.size(), Ms);
  if (Error != std::errc() || End != Hint.data() + Hint.size())
    return std::nullopt;
  return absl::Milliseconds(Ms);
}

double replicaReadBound(std::vector<SessionRequest> Requests, absl::Duration Lag,
                        absl::Duration Wait) {
  std::vector<SessionRequest> Writes;
  for (const SessionRequest &R : Requests)
    if (R.Write)
      Writes.push_back(R);
  std::sort(Writes.begin(), Writes.end(),
            [](const auto &A, const auto &B) { return A.Answered < B.Answered; });
  std::sort(Requests.begin(), Requests.end(),
            [](const auto &A, const auto &B) { return A.Sent < B.Sent; });
  std::map<size_t, Instant> Floors; // by session: when the last write of its floor was sent
  Instant LastAnsweredWrite = absl::InfinitePast();
  size_t NextWrite = 0;
  double Reads = 0;
  double ReplicaReads = 0;
  for (const SessionRequest &R : Requests) {
    for (; NextWrite < Writes.size() && Writes[NextWrite].Answered <= R.Sent; ++NextWrite)
      LastAnsweredWrite = std::max(LastAnsweredWrite, Writes[NextWrite].Sent);
    auto Floor = Floors.emplace(R.Session, R.Write ? R.Sent : LastAnsweredWrite).first;
    if (R.Write) {
      Floor->second = std::max(Floor->second, R.Sent);
      continue;
    }
    ++Reads;
    if (Floor->second + Lag <= R.Sent + Wait)
      ++ReplicaReads;
    else
      Floor->second = std::max(Floor->second, LastAnsweredWrite);
  }
  return Reads == 0 ? 0 : ReplicaReads / Reads;
}

std::vector<StreamResult> runLoad(const LoadOptions &Options) { return Run(Options).execute(); }

} // namespace toucan::bench
