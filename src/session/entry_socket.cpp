#include "session/entry_impl.h"

#include "absl/strings/str_format.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace toucan::session {

namespace {

// Thousands of callers may reconnect within one second after an outage.
constexpr int ListenBacklog = 4096;
constexpr int MaxAcceptsPerRound = 64;
// Delay before accepting again when no file descriptor is free.
constexpr absl::Duration AcceptPause = absl::Milliseconds(100);

constexpr int KeepAliveIdleSeconds = 10;
constexpr int KeepAliveIntervalSeconds = 3;
constexpr int KeepAliveProbes = 3;
// Longer than for targets: the timeout also closes connections of callers that stop reading, and a
// caller may need some time to process a part of a large result.
constexpr int UserTimeoutMs = 30'000;

std::string errnoText() { return std::error_code(errno, std::generic_category()).message(); }

void setOption(int Fd, int Level, int Name, int Value) {
  setsockopt(Fd, Level, Name, &Value, sizeof Value);
}

void setCallerOptions(int Fd) {
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

std::string addressText(const sockaddr_storage &From) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  const void *Address =
      From.ss_family == AF_INET6
          ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 &>(From).sin6_addr)
          : &reinterpret_cast<const sockaddr_in &>(From).sin_addr;
  inet_ntop(From.ss_family, Address, Text.data(), Text.size());
  return Text.data();
}

// Fills a socket address from a numeric IP address and a port. Returns its length, or zero when
// Host is not a numeric IP address.
socklen_t fillAddress(const std::string &Host, uint16_t Port, sockaddr_storage &Out) {
  auto &V4 = reinterpret_cast<sockaddr_in &>(Out);
  auto &V6 = reinterpret_cast<sockaddr_in6 &>(Out);
  if (inet_pton(AF_INET, Host.c_str(), &V4.sin_addr) == 1) {
    V4.sin_family = AF_INET;
    V4.sin_port = htons(Port);
    return sizeof V4;
  }
  if (inet_pton(AF_INET6, Host.c_str(), &V6.sin6_addr) == 1) {
    V6.sin6_family = AF_INET6;
    V6.sin6_port = htons(Port);
    return sizeof V6;
  }
  return 0;
}

} // namespace

Result<void> EntryService::Impl::listen() {
  const EntryOptions &O = this->Common.Options;
  sockaddr_storage Address{};
  socklen_t Length = fillAddress(O.ListenHost, O.ListenPort, Address);
  if (Length == 0)
    return failure(
        absl::StrFormat("caller address \"%s\" is not a numeric IP address", O.ListenHost));
  int Fd = socket(Address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return failure(absl::StrFormat("cannot create the caller socket: %s", errnoText()));
  setOption(Fd, SOL_SOCKET, SO_REUSEADDR, 1);
  // Accepted sockets inherit the sizes, which must be set before the first byte arrives.
  int Bytes = callers::callerSocketBytes(this->Budget.limits());
  setOption(Fd, SOL_SOCKET, SO_RCVBUF, Bytes);
  setOption(Fd, SOL_SOCKET, SO_SNDBUF, Bytes);
  setOption(Fd, IPPROTO_TCP, TCP_MAXSEG, callers::callerSegmentBytes(Bytes));
  auto *Any = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Fd, Any, Length) < 0 || ::listen(Fd, ListenBacklog) < 0 ||
      getsockname(Fd, Any, &Length) < 0) {
    std::string Cause = errnoText();
    ::close(Fd);
    return failure(absl::StrFormat("cannot listen for callers on %s:%d: %s", O.ListenHost,
                                   O.ListenPort, Cause));
  }
  // The port has the same offset in sockaddr_in and sockaddr_in6.
  this->Port = ntohs(reinterpret_cast<sockaddr_in &>(Address).sin_port);
  this->ListenFd = Fd;
  this->EventLoop.watch(Fd, EPOLLIN, [this](uint32_t) { this->onAcceptable(); });
  return {};
}

void EntryService::Impl::closeListener() {
  if (this->ListenFd < 0)
    return;
  this->EventLoop.unwatch(this->ListenFd);
  ::close(this->ListenFd);
  this->ListenFd = -1;
}

void EntryService::Impl::onAcceptable() {
  for (int I = 0; I < MaxAcceptsPerRound; ++I) {
    sockaddr_storage From{};
    socklen_t Length = sizeof From;
    int Fd = accept4(this->ListenFd, reinterpret_cast<sockaddr *>(&From), &Length,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd >= 0) {
      this->addCaller(Fd, addressText(From));
      continue;
    }
    if (errno == EMFILE || errno == ENFILE) {
      LogEvent(LogLevel::Error, "accept_failed").kv("cause", errnoText());
      this->EventLoop.rewatch(this->ListenFd, 0);
      this->Timers.push_back(this->EventLoop.at(this->EventLoop.now() + AcceptPause, [this] {
        if (this->ListenFd >= 0)
          this->EventLoop.rewatch(this->ListenFd, EPOLLIN);
      }));
      return;
    }
    if (errno != EINTR && errno != ECONNABORTED)
      return;
  }
}

void EntryService::Impl::addCaller(int Fd, std::string Address) {
  if (this->Callers.size() >= this->maxCallers() + this->overLimitCallers()) {
    ::close(Fd);
    this->Counters.count(Reason::TooManyCallers);
    return;
  }
  setCallerOptions(Fd);
  MachineOptions Options = this->newMachineOptions(std::move(Address));
  uint32_t Session = Options.Session;
  this->SessionByProcessId[Options.ProcessId] = Session;
  auto C = std::make_unique<Caller>();
  C->Fd = Fd;
  C->WatchedEvents = EPOLLIN;
  C->Deadlines = callers::CallerDeadlines(this->EventLoop.now());
  Actions Pending;
  C->M =
      std::make_unique<Machine>(this->Common, std::move(Options), this->EventLoop.now(), Pending);
  this->Callers[Session] = std::move(C);
  this->Counters.add("callers_accepted_total");
  this->Counters.set("callers", static_cast<int64_t>(this->Callers.size()));
  this->EventLoop.watch(Fd, EPOLLIN,
                        [this, Session](uint32_t Events) { this->onSocket(Session, Events); });
  this->handleEvent(Session, [&](Machine &, Actions &Out) { Out = std::move(Pending); });
}

void EntryService::Impl::onSocket(uint32_t Session, uint32_t Events) {
  auto It = this->Callers.find(Session);
  if (It == this->Callers.end())
    return;
  Caller &C = *It->second;
  bool Gone = (Events & (EPOLLERR | EPOLLHUP)) != 0 && (Events & EPOLLIN) == 0;
  // Another event of the same iteration may have spent the budget.
  if ((Events & EPOLLIN) != 0 && this->Budget.mayRead(SessionId(Session))) {
    this->readCaller(Session, C);
  } else {
    // handleEvent() writes pending output after each event.
    C.ConnectionFailed = C.ConnectionFailed || Gone;
    this->handleEvent(Session, [&](Machine &M, Actions &Out) {
      if (Gone)
        M.onDisconnected(Out);
    });
  }
}

// Reads only once per event, so that one caller cannot starve the others.
void EntryService::Impl::readCaller(uint32_t Session, Caller &C) {
  ssize_t Count = read(C.Fd, this->ReadBuffer.data(), this->ReadBuffer.size());
  if (Count < 0 && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK))
    return;
  C.ConnectionFailed = Count <= 0;
  this->handleEvent(Session, [&](Machine &M, Actions &Out) {
    if (Count <= 0)
      M.onDisconnected(Out);
    else
      M.onBytes(std::string_view(this->ReadBuffer.data(), static_cast<size_t>(Count)),
                this->EventLoop.now(), Out);
  });
}

void EntryService::Impl::removeCaller(uint32_t Session) {
  auto It = this->Callers.find(Session);
  if (It == this->Callers.end())
    return;
  Caller &C = *It->second;
  if (C.Timer)
    this->EventLoop.cancel(*C.Timer);
  this->EventLoop.unwatch(C.Fd);
  ::close(C.Fd);
  this->SessionByProcessId.erase(C.M->options().ProcessId);
  this->Callers.erase(It);
  this->Restricted.erase(Session);
  this->Budget.remove(SessionId(Session));
  this->Counters.set("callers", static_cast<int64_t>(this->Callers.size()));
}

} // namespace toucan::session
