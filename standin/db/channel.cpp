#include "channel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace toucan::standin {

namespace {

constexpr size_t MaxFrameBytes = 64 << 20;
constexpr size_t FlushBytes = 32 << 10;
constexpr size_t ReadBytes = 16 << 10;
// While the socket buffer is full, flush() checks at this interval whether the connection was
// ended.
constexpr int SendCheckMs = 50;
// After the connection was ended, flush() gives up when this many checks have passed without space
// for the final error message.
constexpr int LastSendChecks = 4;

} // namespace

Channel::Channel(int Fd, const Interrupt &I) : Fd(Fd), I(I), Reader(MaxFrameBytes) {
  int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

Channel::~Channel() { ::close(this->Fd); }

void Channel::wake() const { ::shutdown(this->Fd, SHUT_RD); }

bool Channel::readMore() {
  std::array<char, ReadBytes> Part;
  ssize_t Got = 0;
  do
    Got = ::recv(this->Fd, Part.data(), Part.size(), 0);
  while (Got < 0 && errno == EINTR);
  if (Got <= 0)
    return false;
  this->Reader.append({Part.data(), static_cast<size_t>(Got)});
  return true;
}

bool Channel::readStartup(wire::StartupPacket &Packet) {
  for (;;) {
    wire::ReadStatus Status = this->Reader.nextStartup(Packet);
    if (Status == wire::ReadStatus::Ready)
      return true;
    if (Status != wire::ReadStatus::NeedMore || !this->readMore())
      return false;
  }
}

bool Channel::read(wire::Frame &Frame) {
  while (!this->I.ended()) {
    wire::ReadStatus Status = this->Reader.next(Frame);
    if (Status == wire::ReadStatus::Ready)
      return true;
    if (Status != wire::ReadStatus::NeedMore || !this->readMore())
      return false;
  }
  return false;
}

bool Channel::write(std::string_view Bytes) {
  this->Out.append(Bytes);
  return this->Out.size() < FlushBytes ? !this->Broken : this->flush();
}

bool Channel::flush() {
  std::string_view Rest = this->Out;
  int Checks = 0;
  while (!Rest.empty() && !this->Broken) {
    ssize_t Sent = ::send(this->Fd, Rest.data(), Rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0) {
      Rest.remove_prefix(static_cast<size_t>(Sent));
    } else if (Sent < 0 && errno == EAGAIN) {
      pollfd P{this->Fd, POLLOUT, 0};
      ::poll(&P, 1, SendCheckMs);
      this->Broken = this->I.ended() && ++Checks > LastSendChecks;
    } else if (errno != EINTR) {
      this->Broken = true;
    }
  }
  this->Out.clear();
  return !this->Broken;
}

} // namespace toucan::standin
