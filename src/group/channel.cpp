#include "group/channel.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <string_view>
#include <utility>

namespace toucan::group {

namespace {

constexpr const char *TcpUserTimeoutMs =
    "3000"; // limit for sent data without a TCP acknowledgement

std::string textColumn(const PGresult *Result, const char *Name) {
  int Index = PQfnumber(Result, Name);
  return Index < 0 ? "" : PQgetvalue(Result, 0, Index);
}

uint64_t numberColumn(const PGresult *Result, const char *Name) {
  return std::strtoull(textColumn(Result, Name).c_str(), nullptr, 10);
}

// Parses the row that a control call returns. Empty if the result has another form.
std::optional<Status> parseStatus(const PGresult *Result) {
  if (PQresultStatus(Result) != PGRES_TUPLES_OK || PQntuples(Result) != 1 ||
      PQfnumber(Result, "accepted_term") < 0 || PQfnumber(Result, "received") < 0)
    return std::nullopt;
  return Status{.Server = textColumn(Result, "server"),
                .Accepted = Term(numberColumn(Result, "accepted_term")),
                .Proposer = textColumn(Result, "proposer"),
                .ServerRole = parseRole(textColumn(Result, "role")),
                .LogTerm = Term(numberColumn(Result, "log_term")),
                .Received = numberColumn(Result, "received"),
                .Applied = numberColumn(Result, "applied"),
                .CallAccepted = textColumn(Result, "accepted") == "t",
                .Following = textColumn(Result, "following")};
}

} // namespace

Channel::Channel(Loop &InLoop, ChannelOptions Options, std::function<void()> OnLost)
    : InLoop(InLoop), Options(std::move(Options)), OnLost(std::move(OnLost)) {}

Channel::~Channel() {
  if (this->CallTimer)
    this->InLoop.cancel(*this->CallTimer);
  this->close();
}

void Channel::start(const Call &Request, Callback OnAnswer) {
  assert(!this->isBusy());
  this->OnAnswer = std::move(OnAnswer);
  this->Statement = sqlForCall(Request);
  this->Row.reset();
  this->CallTimer = this->InLoop.at(this->InLoop.now() + Request.Timeout, [this] {
    this->CallTimer.reset();
    this->fail(CallFailure::Timeout);
  });
  if (this->IsConnected)
    this->send();
  else
    this->connect();
}

void Channel::connect() {
  std::string Port = std::to_string(this->Options.Port);
  std::array<const char *, 9> Keys = {
      "hostaddr",         "port",       "dbname",           "user", "password",
      "application_name", "gssencmode", "tcp_user_timeout", nullptr};
  std::array<const char *, 9> Values = {this->Options.Host.c_str(),
                                        Port.c_str(),
                                        this->Options.Database.c_str(),
                                        this->Options.User.c_str(),
                                        this->Options.Password.c_str(),
                                        "toucanrun-control",
                                        "disable",
                                        TcpUserTimeoutMs,
                                        nullptr};
  this->close();
  this->Connection = PQconnectStartParams(Keys.data(), Values.data(), 0);
  if (!this->Connection || PQstatus(this->Connection) == CONNECTION_BAD) {
    this->scheduleFailure();
    return;
  }
  // By default libpq prints notices to standard error.
  PQsetNoticeReceiver(
      this->Connection, [](void *, const PGresult *) {}, nullptr);
  this->watchSocket(EPOLLOUT);
}

void Channel::onSocketReady(uint32_t) {
  if (!this->IsConnected)
    this->continueConnect();
  else if (this->isBusy())
    this->receive();
  else
    this->onIdleReadable();
}

// Continues the connection set-up. PQconnectPoll may replace the socket, so the old one is
// unwatched first.
void Channel::continueConnect() {
  this->unwatchSocket();
  switch (PQconnectPoll(this->Connection)) {
  case PGRES_POLLING_READING:
    this->watchSocket(EPOLLIN);
    return;
  case PGRES_POLLING_WRITING:
    this->watchSocket(EPOLLOUT);
    return;
  case PGRES_POLLING_OK:
    this->IsConnected = true;
    PQsetnonblocking(this->Connection, 1);
    this->watchSocket(EPOLLIN);
    this->send();
    return;
  default: {
    // libpq reports the cause only as text, with strerror() for errors of connect().
    std::string_view Text = PQerrorMessage(this->Connection);
    bool Refused = Text.find(std::strerror(ECONNREFUSED)) != std::string_view::npos;
    this->fail(Refused ? CallFailure::Refused : CallFailure::Lost);
    return;
  }
  }
}

void Channel::send() {
  int Unsent = -1;
  if (PQsendQuery(this->Connection, this->Statement.c_str()) == 1)
    Unsent = PQflush(this->Connection);
  if (Unsent < 0)
    this->scheduleFailure();
  else
    this->InLoop.rewatch(this->WatchedFd, EPOLLIN | (Unsent > 0 ? EPOLLOUT : 0U));
}

// Reports the failure in the next loop iteration, because the callback must not run inside start().
void Channel::scheduleFailure() {
  this->InLoop.cancel(*this->CallTimer);
  this->CallTimer = this->InLoop.at(this->InLoop.now(), [this] {
    this->CallTimer.reset();
    this->fail(CallFailure::Lost);
  });
}

// Reads the result of the running call.
void Channel::receive() {
  if (PQconsumeInput(this->Connection) == 0) {
    this->fail(CallFailure::Lost);
    return;
  }
  if (PQflush(this->Connection) == 0)
    this->InLoop.rewatch(this->WatchedFd, EPOLLIN);
  while (PQisBusy(this->Connection) == 0) {
    PGresult *Result = PQgetResult(this->Connection);
    if (!Result) {
      if (this->Row)
        this->finish({.Row = std::move(this->Row), .Failure = CallFailure::None});
      else
        this->fail(CallFailure::Lost);
      return;
    }
    if (!this->Row)
      this->Row = parseStatus(Result);
    PQclear(Result);
  }
}

// Detects that the server closed the connection while no call was running.
void Channel::onIdleReadable() {
  if (PQconsumeInput(this->Connection) == 1 && PQstatus(this->Connection) == CONNECTION_OK)
    return;
  this->close();
  // The handler may destroy this channel, so it runs from a copy.
  if (std::function<void()> Lost = this->OnLost)
    Lost();
}

void Channel::finish(const Answer &Result) {
  if (this->CallTimer)
    this->InLoop.cancel(*this->CallTimer);
  this->CallTimer.reset();
  this->countBytes();
  Callback Notify = std::exchange(this->OnAnswer, {});
  Notify(Result);
}

void Channel::fail(CallFailure Failure) {
  this->close();
  this->finish({.Row = std::nullopt, .Failure = Failure});
}

// Adds the traffic since the last call to the counters. libpq does not report message sizes, so the
// kernel's TCP statistics are used: bytes sent and acknowledged, and bytes received. They include
// the connection set-up. Bytes not acknowledged before the connection closes are not counted.
void Channel::countBytes() {
  tcp_info Info{};
  socklen_t Length = sizeof Info;
  if (!this->Connection || !this->Options.Counters ||
      getsockopt(PQsocket(this->Connection), IPPROTO_TCP, TCP_INFO, &Info, &Length) != 0)
    return;
  this->Options.Counters->add("control_sent_bytes_total", Info.tcpi_bytes_acked - this->SentBytes);
  this->Options.Counters->add("control_received_bytes_total",
                              Info.tcpi_bytes_received - this->ReceivedBytes);
  this->SentBytes = Info.tcpi_bytes_acked;
  this->ReceivedBytes = Info.tcpi_bytes_received;
}

void Channel::close() {
  this->unwatchSocket();
  if (this->Connection) {
    this->countBytes();
    PQfinish(this->Connection);
  }
  this->SentBytes = 0;
  this->ReceivedBytes = 0;
  this->Connection = nullptr;
  this->IsConnected = false;
}

void Channel::watchSocket(uint32_t Events) {
  this->WatchedFd = PQsocket(this->Connection);
  this->InLoop.watch(this->WatchedFd, Events,
                     [this](uint32_t Ready) { this->onSocketReady(Ready); });
}

void Channel::unwatchSocket() {
  if (this->WatchedFd >= 0)
    this->InLoop.unwatch(this->WatchedFd);
  this->WatchedFd = -1;
}

} // namespace toucan::group
