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

constexpr const char *TcpUserTimeoutMs = "3000"; // unacknowledged data on a silent connection

std::string column(const PGresult *Result, const char *Name) {
  int Index = PQfnumber(Result, Name);
  return Index < 0 ? "" : PQgetvalue(Result, 0, Index);
}

uint64_t number(const PGresult *Result, const char *Name) {
  return std::strtoull(column(Result, Name).c_str(), nullptr, 10);
}

// Empty when the result is not a row of a control call.
std::optional<Status> readRow(const PGresult *Result) {
  if (PQresultStatus(Result) != PGRES_TUPLES_OK || PQntuples(Result) != 1 ||
      PQfnumber(Result, "accepted_term") < 0 || PQfnumber(Result, "received") < 0)
    return std::nullopt;
  return Status{.Server = column(Result, "server"),
                .Accepted = Term(number(Result, "accepted_term")),
                .Proposer = column(Result, "proposer"),
                .ServerRole = parseRole(column(Result, "role")),
                .LogTerm = Term(number(Result, "log_term")),
                .Received = number(Result, "received"),
                .Applied = number(Result, "applied"),
                .CallAccepted = column(Result, "accepted") == "t",
                .Following = column(Result, "following")};
}

} // namespace

Channel::Channel(Loop &InLoop, ChannelOptions Options, std::function<void()> OnLost)
    : InLoop(InLoop), Options(std::move(Options)), OnLost(std::move(OnLost)) {}

Channel::~Channel() {
  if (this->Timer)
    this->InLoop.cancel(*this->Timer);
  this->close();
}

void Channel::start(const Call &What, Callback Then) {
  assert(!this->busy());
  this->Then = std::move(Then);
  this->Statement = sqlForCall(What);
  this->Row.reset();
  this->Timer = this->InLoop.at(this->InLoop.now() + What.Timeout, [this] {
    this->Timer.reset();
    this->fail(CallFailure::Timeout);
  });
  if (this->Connected)
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
    this->failLater();
    return;
  }
  // Notices would go to standard error.
  PQsetNoticeReceiver(
      this->Connection, [](void *, const PGresult *) {}, nullptr);
  this->watchSocket(EPOLLOUT);
}

void Channel::onReady(uint32_t) {
  if (!this->Connected)
    this->pollConnect();
  else if (this->busy())
    this->receive();
  else
    this->onIdleReadable();
}

// libpq may close its socket and open another one inside PQconnectPoll.
void Channel::pollConnect() {
  this->unwatchSocket();
  switch (PQconnectPoll(this->Connection)) {
  case PGRES_POLLING_READING:
    this->watchSocket(EPOLLIN);
    return;
  case PGRES_POLLING_WRITING:
    this->watchSocket(EPOLLOUT);
    return;
  case PGRES_POLLING_OK:
    this->Connected = true;
    PQsetnonblocking(this->Connection, 1);
    this->watchSocket(EPOLLIN);
    this->send();
    return;
  default: {
    // libpq reports the cause only as text; it uses strerror for errors of connect().
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
    this->failLater();
  else
    this->InLoop.rewatch(this->WatchedFd, EPOLLIN | (Unsent > 0 ? EPOLLOUT : 0U));
}

// Left to the next round: the callback must not run inside start().
void Channel::failLater() {
  this->InLoop.cancel(*this->Timer);
  this->Timer = this->InLoop.at(this->InLoop.now(), [this] {
    this->Timer.reset();
    this->fail(CallFailure::Lost);
  });
}

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
      this->Row = readRow(Result);
    PQclear(Result);
  }
}

void Channel::onIdleReadable() {
  if (PQconsumeInput(this->Connection) == 1 && PQstatus(this->Connection) == CONNECTION_OK)
    return;
  this->close();
  // The handler may destroy this channel and its own object with it.
  if (std::function<void()> Lost = this->OnLost)
    Lost();
}

void Channel::finish(const Answer &Got) {
  if (this->Timer)
    this->InLoop.cancel(*this->Timer);
  this->Timer.reset();
  this->countBytes();
  Callback Call = std::exchange(this->Then, {});
  Call(Got);
}

void Channel::fail(CallFailure Failure) {
  this->close();
  this->finish({.Row = std::nullopt, .Failure = Failure});
}

// libpq does not tell the sizes of messages, so they come from the kernel: acknowledged bytes sent
// and bytes received, with those of the connection's set-up. Bytes that the server had not
// acknowledged when the connection was closed are not counted.
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
  this->Connected = false;
}

void Channel::watchSocket(uint32_t Events) {
  this->WatchedFd = PQsocket(this->Connection);
  this->InLoop.watch(this->WatchedFd, Events, [this](uint32_t Ready) { this->onReady(Ready); });
}

void Channel::unwatchSocket() {
  if (this->WatchedFd >= 0)
    this->InLoop.unwatch(this->WatchedFd);
  this->WatchedFd = -1;
}

} // namespace toucan::group
