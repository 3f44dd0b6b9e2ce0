#include "pool/connection.h"

#include "absl/strings/str_format.h"

#include <netdb.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace toucan::pool {

namespace {

constexpr absl::Duration CancelTimeout = absl::Seconds(3);

} // namespace

CancelSender::~CancelSender() {
  while (!this->Open.empty())
    this->finish(this->Open.begin()->first);
}

void CancelSender::send(const std::string &Host, uint16_t Port, uint32_t ProcessId,
                        uint32_t SecretKey) {
  addrinfo Hints{};
  Hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Address = nullptr;
  if (getaddrinfo(Host.c_str(), absl::StrFormat("%d", Port).c_str(), &Hints, &Address) != 0)
    return;
  int Fd = socket(Address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool Started =
      Fd >= 0 && (connect(Fd, Address->ai_addr, Address->ai_addrlen) == 0 || errno == EINPROGRESS);
  freeaddrinfo(Address);
  if (!Started) {
    if (Fd >= 0)
      close(Fd);
    return;
  }
  TimerId Timer =
      this->InLoop.at(this->InLoop.now() + CancelTimeout, [this, Fd] { this->finish(Fd); });
  this->Open[Fd] = {.Frame = wire::cancelRequest(ProcessId, SecretKey), .Timer = Timer};
  this->InLoop.watch(Fd, EPOLLOUT, [this, Fd](uint32_t Events) { this->onEvents(Fd, Events); });
}

void CancelSender::onEvents(int Fd, uint32_t Events) {
  Pending &P = this->Open[Fd];
  if ((Events & EPOLLOUT) && !P.Frame.empty()) {
    ssize_t Sent = ::send(Fd, P.Frame.data(), P.Frame.size(), MSG_NOSIGNAL);
    // The send buffer of a new connection has room for the whole frame of 16 bytes.
    bool Complete = Sent == static_cast<ssize_t>(P.Frame.size());
    P.Frame.clear();
    if (Complete) {
      // The target closes the connection once it has processed the cancel request.
      this->InLoop.rewatch(Fd, EPOLLIN);
      return;
    }
  }
  this->finish(Fd);
}

void CancelSender::finish(int Fd) {
  auto It = this->Open.find(Fd);
  if (It == this->Open.end())
    return;
  this->InLoop.cancel(It->second.Timer);
  this->Open.erase(It);
  this->InLoop.unwatch(Fd);
  close(Fd);
}

} // namespace toucan::pool
