#include "gateway/callers.h"
#include "gateway/socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace toucan::gateway {

namespace {

// Callers accepted per event, so that a reconnect storm does not delay running statements.
constexpr int AcceptsPerRound = 64;
// Callers above the limit that are being refused at a time. They use descriptors of the reserve.
constexpr size_t MaxRefusedCallers = 16;
// Interval at which the time bounds of callers are checked and their metrics are set.
constexpr absl::Duration CallerCheckInterval = absl::Milliseconds(500);
// Interval at which a half-closed caller with work left is checked for acknowledgements, of which
// the loop has no event. Callers are about 2 ms away.
constexpr absl::Duration AcknowledgementInterval = absl::Milliseconds(5);
// Delay of the next accept after one that failed for lack of descriptors or memory. Without it, the
// loop would run without a pause.
constexpr absl::Duration AcceptRetryDelay = absl::Milliseconds(100);

} // namespace

CallerConnections::CallerConnections(CallerDependencies Deps, CallerOptions Options)
    : Deps(Deps), Options(std::move(Options)),
      Budget(callerLimits(this->Options.MemoryLimitBytes)) {}

CallerConnections::~CallerConnections() {
  if (this->ListenFd >= 0) {
    this->Deps.InLoop.unwatch(this->ListenFd);
    ::close(this->ListenFd);
  }
  std::vector<SessionId> Ids;
  for (const auto &[Id, C] : this->Callers)
    Ids.push_back(Id);
  for (SessionId Id : Ids)
    this->remove(Id);
}

Result<void> CallerConnections::start() {
  BOOST_LEAF_ASSIGN(this->ListenFd, listenOn(this->Options.Address));
  setBufferSizes(this->ListenFd, CallerSocketBytes);
  this->Deps.InLoop.watch(this->ListenFd, EPOLLIN, [this](uint32_t) { this->acceptCallers(); });
  return {};
}

void CallerConnections::postpone(absl::Duration Stalled) {
  for (auto &[Id, C] : this->Callers)
    C->Deadlines.postpone(Stalled);
}

void CallerConnections::tick(Instant Now) {
  this->resumePaused();
  if (Now >= this->NextCallerCheck)
    this->checkCallers();
}

std::vector<std::shared_ptr<Session>> CallerConnections::sessions() const {
  std::vector<std::shared_ptr<Session>> Out;
  Out.reserve(this->Callers.size());
  for (const auto &[Id, C] : this->Callers)
    Out.push_back(C->CallerSession);
  return Out;
}

void CallerConnections::acceptCallers() {
  for (int I = 0;
       I < AcceptsPerRound && this->Callers.size() < this->Options.MaxSessions + MaxRefusedCallers;
       ++I) {
    int Fd = accept4(this->ListenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS)
        this->pauseAccepting();
      return;
    }
    setSocketOptions(Fd);
    SessionId Id(this->NextSession++);
    auto C = std::make_unique<Caller>();
    C->Fd = Fd;
    C->WatchedEvents = EPOLLIN;
    C->Deadlines = CallerDeadlines(this->Deps.InLoop.now());
    std::shared_ptr<Session> NewSession =
        std::make_shared<Session>(SessionDependencies{.InLoop = this->Deps.InLoop,
                                                      .Protocol = this->Deps.Protocol,
                                                      .Counters = this->Deps.Counters,
                                                      .Host = this->Deps.Host,
                                                      .Log = this->Log,
                                                      .Limits = this->Deps.Limits},
                                  Id);
    C->CallerSession = NewSession;
    bool FitsMemory = this->Budget.mayAccept();
    this->account(Id, *C);
    this->Callers.emplace(Id, std::move(C));
    this->Deps.InLoop.watch(Fd, EPOLLIN, [this, Id](uint32_t E) { this->onCallerEvents(Id, E); });
    this->Deps.Counters.add("callers_accepted");
    if (this->Callers.size() > this->Options.MaxSessions)
      NewSession->refuse({.Code = ErrorCode::TooManyConnections, .Text = "session limit reached"},
                         "session_limit");
    else if (!FitsMemory)
      NewSession->refuse({.Code = ErrorCode::TooManyConnections, .Text = "memory limit reached"},
                         "memory_limit");
  }
}

void CallerConnections::pauseAccepting() {
  this->Deps.Counters.add("accepts_failed");
  if (this->Log.allows(this->Deps.InLoop.now()))
    LogEvent(LogLevel::Warn, "accept_failed")
        .kv("cause", std::strerror(errno))
        .kv("sessions", this->Callers.size());
  this->Deps.InLoop.rewatch(this->ListenFd, 0);
  this->Deps.InLoop.at(this->Deps.InLoop.now() + AcceptRetryDelay,
                       [this] { this->Deps.InLoop.rewatch(this->ListenFd, EPOLLIN); });
}

void CallerConnections::onCallerEvents(SessionId Id, uint32_t Events) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return;
  Caller &C = *It->second;
  // With both directions shut down or after a reset, no answer reaches the caller any more. Bytes
  // that arrived before are not read then.
  if (Events & EPOLLERR || (C.HalfClosed && (Events & EPOLLHUP))) {
    this->remove(Id);
    return;
  }
  if ((Events & (EPOLLIN | EPOLLHUP)) && !C.HalfClosed && this->Budget.mayRead(Id)) {
    std::string Bytes;
    if (readInto(C.Fd, Bytes, MaxCallerReadBytes, C.HalfClosed) == Transfer::Closed) {
      this->remove(Id);
      return;
    }
    std::shared_ptr<Session> S = C.CallerSession;
    if (!Bytes.empty())
      S->onBytes(Bytes);
  }
  // onBytes may have removed the caller, so flush looks it up again.
  this->flush(Id);
}

bool CallerConnections::send(SessionId Id, std::string Bytes) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return false;
  Caller &C = *It->second;
  if (C.Unsent.empty())
    C.Unsent = std::move(Bytes);
  else
    C.Unsent.append(Bytes);
  if (!this->write(Id, C)) {
    // The session is the caller of this function, so it is removed in a later task of the loop.
    C.Ending = true;
    C.Unsent.clear();
    this->Deps.InLoop.at(this->Deps.InLoop.now(), [this, Id] { this->remove(Id); });
    return false;
  }
  if (C.HalfClosed)
    this->flushLater(Id);
  this->updateWatch(Id, C);
  return true;
}

bool CallerConnections::write(SessionId Id, Caller &C) {
  size_t Before = C.Unsent.size();
  bool Connected = writeFrom(C.Fd, C.Unsent) != Transfer::Closed;
  C.SentBytes += Before - C.Unsent.size();
  releaseSpareCapacity(C.Unsent);
  this->account(Id, C);
  return Connected;
}

void CallerConnections::end(SessionId Id) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end() || It->second->Ending)
    return;
  It->second->Ending = true;
  this->flushLater(Id);
}

void CallerConnections::flushLater(SessionId Id) {
  this->Deps.InLoop.at(this->Deps.InLoop.now(), [this, Id] { this->flush(Id); });
}

void CallerConnections::flush(SessionId Id) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return;
  if (!this->write(Id, *It->second)) {
    this->remove(Id);
    return;
  }
  // Processing may send, and thus remove the caller in a later task.
  std::shared_ptr<Session> S = It->second->CallerSession;
  S->resume();
  It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return;
  Caller &C = *It->second;
  if (C.HalfClosed && S->heldBack() && !std::exchange(C.FlushDue, true))
    this->Deps.InLoop.at(this->Deps.InLoop.now() + AcknowledgementInterval, [this, Id] {
      if (auto At = this->Callers.find(Id); At != this->Callers.end())
        At->second->FlushDue = false;
      this->flush(Id);
    });
  this->endHalfClosed(C);
  if (C.Ending && C.Unsent.empty()) {
    this->remove(Id);
    return;
  }
  this->account(Id, C);
  this->updateWatch(Id, C);
}

// A half-closed caller may be gone. If it is, its machine answers the next bytes with a reset, so
// that the next statement waits until the answers before it are acknowledged. Otherwise statements
// would run for a caller that can get no answer any more.
bool CallerConnections::mayProcess(SessionId Id) const {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return false;
  const Caller &C = *It->second;
  if (C.HalfClosed && (!C.Unsent.empty() || !allAcknowledged(C.Fd)))
    return false;
  return this->Budget.mayProcess(Id);
}

// The caller can send nothing more, so that an open transaction would never end: close() rolls it
// back. An incomplete message is dropped.
void CallerConnections::endHalfClosed(Caller &C) {
  if (!C.HalfClosed || C.Ending || C.CallerSession->hasWork())
    return;
  C.Ending = true;
  C.CallerSession->close();
}

void CallerConnections::account(SessionId Id, const Caller &C) {
  CallerBytes B{.Input = C.CallerSession->inputBytes(),
                .Statement = C.CallerSession->statementBytes(),
                .State = C.CallerSession->stateBytes(),
                .Unsent = C.Unsent.capacity()};
  // The kernel's buffer is full if it did not take all, and may be full if it is not read.
  if (!C.Unsent.empty())
    B.Kernel = FullKernelBufferBytes;
  if (!(C.WatchedEvents & EPOLLIN) && !C.HalfClosed)
    B.Unread = FullKernelBufferBytes;
  this->Budget.update(Id, B);
  if (!this->ClosesHeaviest && this->Budget.toClose()) {
    // Sessions may be on the stack, so they are removed in a later task of the loop.
    this->ClosesHeaviest = true;
    this->Deps.InLoop.at(this->Deps.InLoop.now(), [this] { this->closeHeaviest(); });
  }
}

void CallerConnections::closeHeaviest() {
  this->ClosesHeaviest = false;
  while (std::optional<SessionId> Id = this->Budget.toClose())
    this->closeCaller(*Id, "memory");
  this->resumePaused();
}

// Closes a caller that is over a limit. An answer that was begun stays incomplete: its READY line
// is not sent. "Not run" is told only if no statement is running and no answer is begun.
void CallerConnections::closeCaller(SessionId Id, std::string_view Cause) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end()) {
    this->Budget.remove(Id);
    return;
  }
  Caller &C = *It->second;
  this->Deps.Counters.add(std::string("callers_closed_").append(Cause));
  if (this->Log.allows(this->Deps.InLoop.now())) {
    const CallerBytes &All = this->Budget.sum();
    LogEvent(LogLevel::Info, "caller_closed")
        .kv("session", Id.Value)
        .kv("cause", Cause)
        .kv("input", C.CallerSession->buffered())
        .kv("state", C.CallerSession->stateBytes())
        .kv("unsent", C.Unsent.size())
        .kv("all_callers", All.total())
        .kv("limit", this->Budget.limits().TotalBytes);
  }
  if (C.Unsent.empty() && !C.Ending && !C.CallerSession->running()) {
    std::string Out;
    this->Deps.Protocol.appendSessionRefused(Out, {.Code = ErrorCode::Busy, .Text = "not run"});
    C.Unsent = std::move(Out);
    writeFrom(C.Fd, C.Unsent);
  }
  this->remove(Id);
}

// Callers that were paused for the sake of all go on once the pressure has ended or their own share
// has grown. Reading is resumed here as well, because a paused caller has no events.
void CallerConnections::resumePaused() {
  std::vector<SessionId> Paused(this->PausedCallers.begin(), this->PausedCallers.end());
  for (SessionId Id : Paused)
    if (this->Budget.mayRead(Id) || this->Budget.mayProcess(Id))
      this->flush(Id);
}

// Applies the time bounds and sets the metrics.
void CallerConnections::checkCallers() {
  Instant Now = this->Deps.InLoop.now();
  this->NextCallerCheck = Now + CallerCheckInterval;
  std::vector<std::pair<SessionId, std::string_view>> Late;
  std::vector<SessionId> Ended;
  for (auto &[Id, C] : this->Callers) {
    const Session &S = *C->CallerSession;
    CallerProgress P{.Opened = S.opened() || C->Ending,
                     .InMessage = !C->Ending && !S.hasWork() && S.buffered() > 0,
                     .Messages = S.messagesTaken(),
                     .HasUnsent = !C->Unsent.empty(),
                     .SentBytes = C->SentBytes};
    if (std::string_view Cause = C->Deadlines.check(Now, P, this->Options.Times); !Cause.empty())
      Late.emplace_back(Id, Cause);
    // No answer follows that would end a half-closed caller which left an incomplete message.
    if (C->HalfClosed && !S.hasWork())
      Ended.push_back(Id);
  }
  for (SessionId Id : Ended)
    this->flush(Id);
  for (const auto &[Id, Cause] : Late)
    this->closeCaller(Id, Cause);
  const CallerBytes &All = this->Budget.sum();
  this->Deps.Counters.set("caller_bytes_limit",
                          static_cast<int64_t>(this->Budget.limits().TotalBytes));
  this->Deps.Counters.set("caller_bytes_input", static_cast<int64_t>(All.Input));
  this->Deps.Counters.set("caller_bytes_statements", static_cast<int64_t>(All.Statement));
  this->Deps.Counters.set("caller_bytes_state", static_cast<int64_t>(All.State));
  this->Deps.Counters.set("caller_bytes_unsent", static_cast<int64_t>(All.Unsent));
  this->Deps.Counters.set("caller_bytes_kernel", static_cast<int64_t>(All.Kernel + All.Unread));
  this->Deps.Counters.set("callers", static_cast<int64_t>(this->Callers.size()));
  this->Deps.Counters.set("callers_paused", static_cast<int64_t>(this->PausedCallers.size()));
}

void CallerConnections::updateWatch(SessionId Id, Caller &C) {
  uint32_t Wanted = C.Unsent.empty() ? 0U : static_cast<uint32_t>(EPOLLOUT);
  bool MayRead = this->Budget.mayRead(Id);
  if (MayRead && !C.HalfClosed)
    Wanted |= EPOLLIN;
  if (MayRead && this->Budget.mayProcess(Id))
    this->PausedCallers.erase(Id);
  else
    this->PausedCallers.insert(Id);
  if (Wanted == C.WatchedEvents)
    return;
  C.WatchedEvents = Wanted;
  this->Deps.InLoop.rewatch(C.Fd, Wanted);
  this->account(Id, C);
}

void CallerConnections::remove(SessionId Id) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return;
  std::unique_ptr<Caller> C = std::move(It->second);
  this->Callers.erase(It);
  this->PausedCallers.erase(Id);
  this->Budget.remove(Id);
  this->Deps.InLoop.unwatch(C->Fd);
  ::close(C->Fd);
  C->CallerSession->close();
}

bool CallerConnections::isIdle(const Caller &C) {
  return C.CallerSession->idle() && C.CallerSession->buffered() == 0 && C.Unsent.empty();
}

void CallerConnections::closeIdle(bool EndTransactions) {
  std::vector<SessionId> Idle;
  for (auto &[Id, C] : this->Callers) {
    if (EndTransactions)
      C->CallerSession->abortIdleTransaction("shutdown");
    if (isIdle(*C))
      Idle.push_back(Id);
  }
  for (SessionId Id : Idle) {
    // A request may have arrived that the loop has not read yet.
    this->onCallerEvents(Id, EPOLLIN);
    auto It = this->Callers.find(Id);
    if (It != this->Callers.end() && isIdle(*It->second))
      this->remove(Id);
  }
}

} // namespace toucan::gateway
