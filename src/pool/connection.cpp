#include "pool/connection.h"

#include "pool/relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace toucan::pool {

namespace {

// Largest frame accepted from a target; the send queue of a link holds no more.
constexpr size_t MaxReplyFrameBytes = 64 * 1024 * 1024;
constexpr size_t ReadBytes = 64 * 1024;
// Limits the reads per event, so that a long result does not starve the other sockets of the loop.
constexpr int MaxReadsPerEvent = 4;
// An unresponsive connection is considered lost after 3 s (design page, section 11).
constexpr const char *UserTimeoutMs = "3000";
constexpr const char *KeepaliveIdleSeconds = "1";
constexpr const char *KeepaliveIntervalSeconds = "1";
constexpr const char *KeepaliveCount = "2";

// Returns the first line of libpq's error message for a connection.
std::string libpqError(const PGconn *Handle) {
  std::string Text = PQerrorMessage(Handle);
  return Text.substr(0, Text.find('\n'));
}

} // namespace

Connection::Connection(Loop &InLoop, ConnectionListener &Listener, ConnectionId Id,
                       ConnectionOptions Options)
    : InLoop(InLoop), Listener(Listener), Id(Id), Options(std::move(Options)),
      Reader(MaxReplyFrameBytes) {}

Connection::~Connection() { this->close(); }

void Connection::open() {
  std::string Port = absl::StrFormat("%d", this->Options.Port);
  std::string StartupOptions = absl::StrFormat("-c group_term=%d", this->Options.InTerm.Value);
  // Encryption is disabled, because raw frames are exchanged on the socket without libpq.
  const std::array<std::pair<const char *, const char *>, 15> Parameters = {{
      {"hostaddr", this->Options.Host.c_str()},
      {"port", Port.c_str()},
      {"dbname", this->Options.Database.Value.c_str()},
      {"user", this->Options.User.c_str()},
      {"password", this->Options.Password.c_str()},
      {"options", StartupOptions.c_str()},
      {"application_name", "toucanrun"},
      {"sslmode", "disable"},
      {"gssencmode", "disable"},
      {"tcp_user_timeout", UserTimeoutMs},
      {"keepalives", "1"},
      {"keepalives_idle", KeepaliveIdleSeconds},
      {"keepalives_interval", KeepaliveIntervalSeconds},
      {"keepalives_count", KeepaliveCount},
      {nullptr, nullptr},
  }};
  std::array<const char *, Parameters.size()> Names;
  std::array<const char *, Parameters.size()> Values;
  for (size_t I = 0; I < Parameters.size(); ++I) {
    Names[I] = Parameters[I].first;
    Values[I] = Parameters[I].second;
  }
  this->Handle = PQconnectStartParams(Names.data(), Values.data(), 0);
  // libpq does not expose the cancel key, but its trace contains the BackendKeyData message.
  // PQcancel() is no alternative, because it blocks.
  this->Trace = open_memstream(&this->TraceText, &this->TraceSize);
  PQtrace(this->Handle, this->Trace);
  PQsetTraceFlags(this->Handle, PQTRACE_SUPPRESS_TIMESTAMPS);
  this->Timer = this->InLoop.at(this->Options.ConnectDeadline,
                                [this] { this->lose("the connection attempt timed out"); });
  if (PQstatus(this->Handle) == CONNECTION_BAD) {
    this->InLoop.cancel(this->Timer);
    this->Timer =
        this->InLoop.at(this->InLoop.now(), [this] { this->lose(libpqError(this->Handle)); });
    return;
  }
  this->watchSocket(EPOLLOUT);
}

// Watches libpq's current socket, which may have changed since the last call.
void Connection::watchSocket(uint32_t Events) {
  int Fd = PQsocket(this->Handle);
  if (Fd == this->WatchedFd) {
    if (Events != this->WatchedEvents)
      this->InLoop.rewatch(Fd, Events);
    this->WatchedEvents = Events;
    return;
  }
  if (this->WatchedFd >= 0)
    this->InLoop.unwatch(this->WatchedFd);
  this->WatchedFd = Fd;
  this->WatchedEvents = Events;
  this->InLoop.watch(Fd, Events, [this](uint32_t Ready) { this->onEvents(Ready); });
}

void Connection::onEvents(uint32_t Events) {
  if (!this->Opened) {
    this->poll();
    return;
  }
  // These events are reported even while reading is paused; ignoring them would make the loop spin.
  if (!this->Reading && (Events & (EPOLLHUP | EPOLLERR))) {
    this->lose("reset by the target");
    return;
  }
  if (Events & EPOLLOUT)
    this->writeOutput();
  if (!this->closed() && (Events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    this->readInput();
}

void Connection::poll() {
  switch (PQconnectPoll(this->Handle)) {
  case PGRES_POLLING_READING:
    this->watchSocket(EPOLLIN);
    return;
  case PGRES_POLLING_WRITING:
    this->watchSocket(EPOLLOUT);
    return;
  case PGRES_POLLING_OK:
    this->finishOpen();
    return;
  default:
    this->lose(libpqError(this->Handle));
  }
}

void Connection::finishOpen() {
  this->InLoop.cancel(this->Timer);
  PQsetnonblocking(this->Handle, 1);
  this->readCancelKey();
  if (const char *Position = PQparameterStatus(this->Handle, "group_position"))
    this->LastPosition = parsePosition(Position).value_or(LogPosition());
  this->Opened = true;
  this->watchSocket(EPOLLIN);
  this->IdleSince = this->InLoop.now();
  this->Listener.onOpened(*this);
}

// Extracts the cancel key from the trace of the start-up, from a line such as
// "B\t12\tBackendKeyData\t 17 123456".
void Connection::readCancelKey() {
  PQuntrace(this->Handle);
  std::fclose(this->Trace);
  this->Trace = nullptr;
  absl::string_view Text(this->TraceText, this->TraceSize);
  for (absl::string_view Line : absl::StrSplit(Text, '\n')) {
    std::vector<absl::string_view> Words =
        absl::StrSplit(Line, absl::ByAnyChar("\t "), absl::SkipEmpty());
    int32_t Key = 0;
    if (Words.size() < 5 || Words[2] != "BackendKeyData" || !absl::SimpleAtoi(Words[4], &Key))
      continue;
    this->ProcessId = static_cast<uint32_t>(PQbackendPID(this->Handle));
    this->SecretKey = static_cast<uint32_t>(Key);
  }
  std::free(this->TraceText);
  this->TraceText = nullptr;
}

void Connection::send(std::string_view Frames) {
  assert(this->Opened && this->written());
  this->Out.assign(Frames);
  this->OutOffset = 0;
  this->writeOutput();
}

void Connection::writeOutput() {
  while (!this->written()) {
    std::string_view Rest = std::string_view(this->Out).substr(this->OutOffset);
    ssize_t Sent = ::send(this->WatchedFd, Rest.data(), Rest.size(), MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    // Other errors are reported by the next read, after the input that precedes them.
    if (Sent < 0)
      break;
    this->OutOffset += static_cast<size_t>(Sent);
  }
  this->updateEvents();
}

void Connection::setReading(bool On) {
  this->Reading = On;
  this->updateEvents();
}

void Connection::updateEvents() {
  if (this->closed())
    return;
  uint32_t In = this->Reading ? uint32_t{EPOLLIN} : 0U;
  this->watchSocket(In | (this->written() ? 0U : uint32_t{EPOLLOUT}));
}

void Connection::readInput() {
  std::array<char, ReadBytes> Bytes;
  for (int I = 0; I < MaxReadsPerEvent && this->Reading; ++I) {
    ssize_t Count = recv(this->WatchedFd, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (Count <= 0) {
      std::string Cause = Count == 0 ? "closed by the target" : std::strerror(errno);
      this->lose(Cause);
      return;
    }
    this->Reader.append({Bytes.data(), static_cast<size_t>(Count)});
    this->Listener.onInput(*this);
    if (this->closed() || static_cast<size_t>(Count) < Bytes.size())
      return;
  }
}

bool Connection::usable() {
  if (this->closed() || !this->written() || this->Reader.pending() > 0)
    return false;
  char Byte = 0;
  ssize_t Count = recv(this->WatchedFd, &Byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::close() {
  this->InLoop.cancel(this->Timer);
  if (this->WatchedFd >= 0)
    this->InLoop.unwatch(this->WatchedFd);
  this->WatchedFd = -1;
  if (this->Handle) {
    // PQfinish() sends a Terminate frame. After a partially written frame these bytes would
    // complete it, and the target would run a request that is reported as not run.
    if (!this->written())
      shutdown(PQsocket(this->Handle), SHUT_RDWR);
    PQuntrace(this->Handle);
    PQfinish(this->Handle);
  }
  this->Handle = nullptr;
  if (this->Trace)
    std::fclose(this->Trace);
  this->Trace = nullptr;
  std::free(this->TraceText);
  this->TraceText = nullptr;
}

void Connection::lose(const std::string &Cause) {
  this->close();
  this->Listener.onLost(*this, Cause);
}

} // namespace toucan::pool
