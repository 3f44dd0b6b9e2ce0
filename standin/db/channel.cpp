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
constexpr int SendPollMs = 50;
// After the connection was ended, flush() gives up when this many checks have passed without space
// for the final error message.
constexpr int MaxSendPollsAfterEnd = 4;

} // namespace

Channel::Channel(int Fd, const Interrupt &SessionInterrupt)
    : Fd(Fd), SessionInterrupt(SessionInterrupt), Reader(MaxFrameBytes) {
  int Enable = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
}

Channel::~Channel() { ::close(this->Fd); }

void Channel::stopReading() const { ::shutdown(this->Fd, SHUT_RD); }

bool Channel::receive() {
  std::array<char, ReadBytes> Buffer;
  ssize_t Received = 0;
  do
    Received = ::recv(this->Fd, Buffer.data(), Buffer.size(), 0);
  while (Received < 0 && errno == EINTR);
  if (Received <= 0)
    return false;
  this->Reader.append({Buffer.data(), static_cast<size_t>(Received)});
  return true;
}

bool Channel::readStartup(wire::StartupPacket &Packet) {
  for (;;) {
    wire::ReadStatus Status = this->Reader.nextStartup(Packet);
    if (Status == wire::ReadStatus::Ready)
      return true;
    if (Status != wire::ReadStatus::NeedMore || !this->receive())
      return false;
  }
}

bool Channel::read(wire::Frame &Frame) {
  while (!this->SessionInterrupt.ended()) {
    wire::ReadStatus Status = this->Reader.next(Frame);
    if (Status == wire::ReadStatus::Ready)
      return true;
    if (Status != wire::ReadStatus::NeedMore || !this->receive())
      return false;
  }
  return false;
}

bool Channel::write(std::string_view Bytes) {
  this->Out.append(Bytes);
  return this->Out.size() < FlushBytes ? !this->SendFailed : this->flush();
}

bool Channel::flush() {
  std::string_view Rest = this->Out;
  int PollsAfterEnd = 0;
  while (!Rest.empty() && !this->SendFailed) {
    ssize_t Sent = ::send(this->Fd, Rest.data(), Rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0) {
      Rest.remove_prefix(static_cast<size_t>(Sent));
    } else if (Sent < 0 && errno == EAGAIN) {
      pollfd P{this->Fd, POLLOUT, 0};
      ::poll(&P, 1, SendPollMs);
      this->SendFailed = this->SessionInterrupt.ended() && ++PollsAfterEnd > MaxSendPollsAfterEnd;
    } else if (errno != EINTR) {
      this->SendFailed = true;
    }
  }
  this->Out.clear();
  return !this->SendFailed;
}

} // namespace toucan::standin
