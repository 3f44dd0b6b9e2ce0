#include "relay.h"

#include <doctest/doctest.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <vector>

namespace toucan::test {

namespace {

constexpr int PollMs = 5; // also the longest delay of a new connection's first byte
constexpr size_t ReadBytes = 65536;
constexpr size_t MaxUnsent = 262144; // reading stops over this, so that senders feel the receiver
constexpr int Backlog = 128;
constexpr size_t OpeningBytes = 512; // of a connection, which hold the start-up packet

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Port);
  Out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Out;
}

void noDelay(int Fd) {
  int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

// Makes the kernel drop every segment that arrives for this socket before TCP sees it, so nothing
// is acknowledged. Without the filter the kernel would acknowledge data and keep-alive probes.
bool dropArriving(int Fd) {
  sock_filter DropAll{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
  sock_fprog Program{.len = 1, .filter = &DropAll};
  return ::setsockopt(Fd, SOL_SOCKET, SO_ATTACH_FILTER, &Program, sizeof Program) == 0;
}

bool takeArriving(int Fd) {
  int Ignored = 0;
  return ::setsockopt(Fd, SOL_SOCKET, SO_DETACH_FILTER, &Ignored, sizeof Ignored) == 0;
}

int connectTo(uint16_t Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To = loopback(Port);
  if (Port != 0 && ::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0)
    return Fd;
  ::close(Fd);
  return -1;
}

void replaceAll(std::string &In, const std::string &From, const std::string &By) {
  for (size_t At = In.find(From); At != std::string::npos; At = In.find(From, At + By.size()))
    In.replace(At, From.size(), By);
}

// Writes what the socket takes now. False when the connection is lost.
bool flush(int Fd, std::string &Unsent) {
  while (!Unsent.empty()) {
    ssize_t Sent = ::send(Fd, Unsent.data(), Unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent < 0)
      return errno == EAGAIN || errno == EINTR;
    Unsent.erase(0, static_cast<size_t>(Sent));
  }
  return true;
}

} // namespace

Relay::Relay() {
  this->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in At = loopback(0);
  socklen_t Size = sizeof At;
  REQUIRE(::bind(this->Listener, reinterpret_cast<sockaddr *>(&At), Size) == 0);
  REQUIRE(::listen(this->Listener, Backlog) == 0);
  REQUIRE(::getsockname(this->Listener, reinterpret_cast<sockaddr *>(&At), &Size) == 0);
  this->Port = ntohs(At.sin_port);
  this->Thread = std::thread([this] { this->run(); });
}

Relay::~Relay() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Thread.join();
  ::close(this->Listener);
  for (const Pair &P : this->Pairs) {
    ::close(P.Near.Fd);
    ::close(P.Far.Fd);
  }
}

void Relay::setTarget(uint16_t To) {
  std::lock_guard Lock(this->Mutex);
  this->Target = To;
}

void Relay::replace(const std::string &From, const std::string &By) {
  REQUIRE(From.size() == By.size());
  std::lock_guard Lock(this->Mutex);
  this->Replacements[From] = By;
}

void Relay::watchFor(const std::string &Text) {
  std::lock_guard Lock(this->Mutex);
  this->Watched = Text;
  this->WatchedSeen = false;
}

bool Relay::seen() const {
  std::lock_guard Lock(this->Mutex);
  return this->WatchedSeen;
}

size_t Relay::accepted() const {
  std::lock_guard Lock(this->Mutex);
  return this->AcceptedCount;
}

void Relay::cut() {
  std::lock_guard Lock(this->Mutex);
  for (Pair &P : this->Pairs)
    for (Side *S : {&P.Near, &P.Far}) {
      S->Ended = true;
      S->Unsent.clear();
    }
}

size_t Relay::silence() {
  std::lock_guard Lock(this->Mutex);
  size_t Count = 0;
  for (Pair &P : this->Pairs) {
    if (P.Silent)
      continue;
    goSilent(P);
    ++Count;
  }
  return Count;
}

void Relay::partition(bool Cut) {
  std::lock_guard Lock(this->Mutex);
  if (this->Partitioned == Cut)
    return;
  this->Partitioned = Cut;
  // The filter of the listener drops the first segment of each new connection.
  auto Apply = [&](int Fd) { CHECK((Cut ? dropArriving(Fd) : takeArriving(Fd))); };
  Apply(this->Listener);
  for (const Pair &P : this->Pairs) {
    if (P.Silent)
      continue;
    Apply(P.Near.Fd);
    Apply(P.Far.Fd);
  }
}

void Relay::hold(bool FromNear, bool FromFar) {
  std::lock_guard Lock(this->Mutex);
  this->HeldFromNear = FromNear;
  this->HeldFromFar = FromFar;
}

void Relay::goSilent(Pair &P) {
  P.Silent = true;
  P.Near.Unsent.clear();
  P.Far.Unsent.clear();
  CHECK(dropArriving(P.Near.Fd));
  CHECK(dropArriving(P.Far.Fd));
}

void Relay::breakFor(const std::string &User, Path How) {
  std::lock_guard Lock(this->Mutex);
  this->BrokenUser = User;
  this->BrokenAs = How;
  for (Pair &P : this->Pairs)
    this->breakPath(P);
}

void Relay::restore() { this->breakFor("", Path::Closed); }

// Ends or silences a connection of the user whose path is broken.
void Relay::breakPath(Pair &P) const {
  // The packet is a list of names and values that end with a null byte.
  std::string Wanted = std::string("user") + '\0' + this->BrokenUser + '\0';
  if (P.Silent || this->BrokenUser.empty() || P.Opening.find(Wanted) == std::string::npos)
    return;
  if (this->BrokenAs == Path::Silent) {
    goSilent(P);
    return;
  }
  P.Near.Ended = P.Far.Ended = true;
  P.Near.Unsent.clear();
  P.Far.Unsent.clear();
}

void Relay::run() {
  for (;;) {
    std::vector<pollfd> Waits{{this->Listener, POLLIN, 0}};
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Stopping)
        return;
      if (this->Partitioned)
        Waits.clear();
      for (const Pair &P : this->Pairs) {
        if (P.Silent || this->Partitioned)
          continue;
        if (!this->HeldFromNear)
          Waits.push_back({P.Near.Fd, POLLIN, 0});
        if (!this->HeldFromFar)
          Waits.push_back({P.Far.Fd, POLLIN, 0});
      }
    }
    ::poll(Waits.data(), Waits.size(), PollMs);
    std::lock_guard Lock(this->Mutex);
    if (this->Partitioned)
      continue;
    this->accept();
    for (Pair &P : this->Pairs)
      if (!P.Silent)
        this->serve(P);
    this->closeEnded();
  }
}

void Relay::accept() {
  for (;;) {
    int Near = ::accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Near < 0)
      return;
    int Far = connectTo(this->Target);
    if (Far < 0) {
      ::close(Near);
      continue;
    }
    noDelay(Near);
    noDelay(Far);
    ++this->AcceptedCount;
    Pair &P = this->Pairs.emplace_back();
    P.Near.Fd = Near;
    P.Far.Fd = Far;
  }
}

void Relay::serve(Pair &P) {
  if (!this->HeldFromNear)
    this->forward(P.Near, P.Far, &P);
  if (P.Silent)
    return;
  if (!this->HeldFromFar)
    this->forward(P.Far, P.Near, nullptr);
}

// Passes on what has arrived; Outward is the connection when To is the target.
void Relay::forward(Side &From, Side &To, Pair *Outward) {
  std::array<char, ReadBytes> Buffer;
  while (!From.Ended && To.Unsent.size() < MaxUnsent) {
    ssize_t Got = ::recv(From.Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Got < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (Got <= 0) {
      From.Ended = true;
      break;
    }
    std::string Text(Buffer.data(), static_cast<size_t>(Got));
    for (const auto &[Old, New] : this->Replacements)
      replaceAll(Text, Old, New);
    if (Outward && !this->Watched.empty() && Text.find(this->Watched) != std::string::npos)
      this->WatchedSeen = true;
    To.Unsent += Text;
    if (Outward && Outward->Opening.size() < OpeningBytes) {
      Outward->Opening += Text;
      this->breakPath(*Outward);
      if (Outward->Silent)
        return;
    }
  }
  if (!flush(To.Fd, To.Unsent)) {
    From.Ended = To.Ended = true;
    To.Unsent.clear();
  }
}

// A connection ends on both sides once one side has ended and its last bytes have been passed on.
void Relay::closeEnded() {
  for (auto It = this->Pairs.begin(); It != this->Pairs.end();) {
    bool Over =
        (It->Near.Ended && It->Far.Unsent.empty()) || (It->Far.Ended && It->Near.Unsent.empty());
    if (!Over) {
      ++It;
      continue;
    }
    ::close(It->Near.Fd);
    ::close(It->Far.Fd);
    It = this->Pairs.erase(It);
  }
}

} // namespace toucan::test
