#include "gateway/socket.h"
#include "callers/caller_budget.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucan::gateway {

namespace {

constexpr size_t ReadChunkBytes = 16 * 1024;
// Limits the bytes read from one socket per call, so that one peer cannot delay the others.
constexpr size_t MaxReadBytesPerCall = 256 * 1024;
// Buffers up to this size are not returned: they are used again with the next message.
constexpr size_t MaxSpareCapacity = 16 * 1024;
constexpr int ListenBacklog = 1024;
// A peer that stops responding is detected after idle + count * interval seconds.
constexpr int KeepAliveIdleS = 2;
constexpr int KeepAliveIntervalS = 1;
constexpr int KeepAliveCount = 2;
constexpr unsigned UnacknowledgedTimeoutMs = 3000;

Result<sockaddr_in> resolve(const std::string &Address) {
  auto Split = splitAddress(Address);
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  if (!Split || inet_pton(AF_INET, Split->first.c_str(), &Out.sin_addr) != 1)
    return failure(absl::StrCat("address \"", Address, "\" is not IP:PORT"));
  Out.sin_port = htons(Split->second);
  return Out;
}

std::string systemError(const char *What, const std::string &Address) {
  return absl::StrCat(What, " ", Address, ": ", std::strerror(errno));
}

} // namespace

std::optional<std::pair<std::string, uint16_t>> splitAddress(const std::string &Address) {
  size_t Colon = Address.rfind(':');
  uint32_t Port = 0;
  if (Colon == std::string::npos || !absl::SimpleAtoi(Address.substr(Colon + 1), &Port) ||
      Port == 0 || Port > 65535)
    return std::nullopt;
  return std::pair(Address.substr(0, Colon), static_cast<uint16_t>(Port));
}

bool isSocketAddress(const std::string &Address) {
  return static_cast<bool>(capture([&] { return resolve(Address); }));
}

void setSocketOptions(int Fd) {
  int Enable = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &Enable, sizeof Enable);
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleS, sizeof KeepAliveIdleS);
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalS, sizeof KeepAliveIntervalS);
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveCount, sizeof KeepAliveCount);
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedTimeoutMs,
             sizeof UnacknowledgedTimeoutMs);
}

Result<int> connectTo(const std::string &Address) {
  BOOST_LEAF_AUTO(Remote, resolve(Address));
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return failure(systemError("cannot create a socket for", Address));
  setSocketOptions(Fd);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Remote), sizeof Remote) != 0 &&
      errno != EINPROGRESS) {
    std::string Message = systemError("cannot connect to", Address);
    ::close(Fd);
    return failure(std::move(Message));
  }
  return Fd;
}

Result<int> listenOn(const std::string &Address) {
  BOOST_LEAF_AUTO(Local, resolve(Address));
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return failure(systemError("cannot create a socket for", Address));
  int Enable = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Local), sizeof Local) != 0 ||
      listen(Fd, ListenBacklog) != 0) {
    std::string Message = systemError("cannot listen on", Address);
    ::close(Fd);
    return failure(std::move(Message));
  }
  return Fd;
}

void setBufferSizes(int Fd, int Bytes) {
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  setsockopt(Fd, SOL_SOCKET, SO_SNDBUF, &Bytes, sizeof Bytes);
  int SegmentBytes = callers::callerSegmentBytes(Bytes);
  setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
}

Transfer readInto(int Fd, std::string &Out) {
  bool PeerEnded = false;
  Transfer T = readInto(Fd, Out, MaxReadBytesPerCall, PeerEnded);
  return PeerEnded ? Transfer::Closed : T;
}

Transfer readInto(int Fd, std::string &Out, size_t Limit, bool &PeerEnded) {
  size_t Total = 0;
  while (Total < Limit) {
    size_t Before = Out.size();
    Out.resize(Before + ReadChunkBytes);
    ssize_t Count = ::read(Fd, Out.data() + Before, ReadChunkBytes);
    Out.resize(Before + static_cast<size_t>(Count > 0 ? Count : 0));
    if (Count > 0) {
      Total += static_cast<size_t>(Count);
      if (static_cast<size_t>(Count) < ReadChunkBytes)
        return Transfer::Done;
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return Total > 0 ? Transfer::Done : Transfer::WouldBlock;
    if (Count < 0)
      return Transfer::Closed;
    PeerEnded = true;
    return Transfer::Done;
  }
  return Transfer::Done;
}

bool allAcknowledged(int Fd) {
  int Unacknowledged = 0;
  pollfd State{.fd = Fd, .events = 0, .revents = 0};
  return ioctl(Fd, SIOCOUTQ, &Unacknowledged) == 0 && Unacknowledged == 0 &&
         poll(&State, 1, 0) == 0;
}

void releaseSpareCapacity(std::string &Buffer) {
  if (Buffer.capacity() > MaxSpareCapacity && Buffer.size() < Buffer.capacity() / 2)
    Buffer.shrink_to_fit();
}

Transfer writeFrom(int Fd, std::string &Out) {
  size_t Sent = 0;
  Transfer Result = Transfer::Done;
  while (Sent < Out.size()) {
    ssize_t Count = send(Fd, Out.data() + Sent, Out.size() - Sent, MSG_NOSIGNAL);
    if (Count >= 0) {
      Sent += static_cast<size_t>(Count);
      continue;
    }
    if (errno == EINTR)
      continue;
    Result = errno == EAGAIN || errno == EWOULDBLOCK ? Transfer::WouldBlock : Transfer::Closed;
    break;
  }
  Out.erase(0, Sent);
  return Result;
}

} // namespace toucan::gateway
