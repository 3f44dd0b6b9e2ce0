// Fake target for the pool tests: a listening socket that speaks the PostgreSQL protocol,
// implemented with src/wire, in the event loop of the test.
#ifndef TOUCAN_POOL_FAKE_TARGET_TEST_H
#define TOUCAN_POOL_FAKE_TARGET_TEST_H

#include "base/base.h"
#include "wire/wire.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace toucan::pool {

class FakeTarget {
public:
  // Handles a request frame; the returned bytes are written to the connection.
  using Handler = std::function<std::string(FakeTarget &, int Fd, const wire::Frame &)>;

  FakeTarget(Loop &InLoop, Handler OnFrame) : OnFrame(std::move(OnFrame)), InLoop(InLoop) {
    this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Any = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof Address;
    bool Bound = bind(this->Listener, Any, Size) == 0 && listen(this->Listener, 16) == 0 &&
                 getsockname(this->Listener, Any, &Size) == 0;
    this->Port = Bound ? ntohs(Address.sin_port) : 0;
    InLoop.watch(this->Listener, EPOLLIN, [this](uint32_t) { this->accept(); });
  }
  ~FakeTarget() {
    while (!this->Peers.empty())
      this->disconnect(this->Peers.begin()->first);
    this->InLoop.unwatch(this->Listener);
    close(this->Listener);
  }

  void write(int Fd, const std::string &Bytes) {
    std::string &Out = this->Peers[Fd].Out;
    Out += Bytes;
    ssize_t Sent = ::send(Fd, Out.data(), Out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    Out.erase(0, static_cast<size_t>(std::max<ssize_t>(0, Sent)));
    this->InLoop.rewatch(Fd, EPOLLIN | (Out.empty() ? 0U : uint32_t{EPOLLOUT}));
  }
  void disconnect(int Fd) {
    this->InLoop.unwatch(Fd);
    close(Fd);
    this->Peers.erase(Fd);
  }
  void disconnectAll() {
    while (!this->Peers.empty())
      this->disconnect(this->Peers.begin()->first);
  }

  Handler OnFrame;
  uint16_t Port = 0;
  bool StopReading = false;         // stop reading after the start-up
  std::vector<std::string> Queries; // SQL texts of the received Query frames
  std::vector<std::string> Options; // "options" values of the start-up packets
  std::vector<uint32_t> Cancels;    // secret keys of the received cancel requests

private:
  struct Peer {
    wire::FrameReader Reader{1 << 24};
    bool Started = false;
    std::string Out;
  };

  void accept() {
    int Fd = accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (Fd < 0)
      return;
    this->Peers[Fd];
    this->InLoop.watch(Fd, EPOLLIN, [this, Fd](uint32_t Events) {
      if (Events & EPOLLOUT)
        this->write(Fd, "");
      if (Events & ~uint32_t{EPOLLOUT})
        this->read(Fd);
    });
  }
  void read(int Fd) {
    if (this->StopReading && this->Peers[Fd].Started) {
      this->InLoop.rewatch(Fd, 0);
      return;
    }
    char Bytes[65536];
    ssize_t Count = recv(Fd, Bytes, sizeof Bytes, 0);
    if (Count <= 0) {
      this->disconnect(Fd);
      return;
    }
    this->Peers[Fd].Reader.append({Bytes, static_cast<size_t>(Count)});
    if (!this->Peers[Fd].Started && !this->start(Fd))
      return;
    wire::Frame F;
    while (this->Peers.contains(Fd) && this->Peers[Fd].Reader.next(F) == wire::ReadStatus::Ready) {
      if (F.Type == 'X') {
        this->disconnect(Fd);
        return;
      }
      if (F.Type == 'Q')
        this->Queries.push_back(*wire::parseQuery(F.Body));
      std::string Answer = this->OnFrame(*this, Fd, F);
      if (!Answer.empty())
        this->write(Fd, Answer);
    }
  }
  bool start(int Fd) {
    wire::StartupPacket P;
    if (this->Peers[Fd].Reader.nextStartup(P) != wire::ReadStatus::Ready)
      return false;
    if (P.RequestCode == wire::CancelRequestCode) {
      this->Cancels.push_back(P.SecretKey);
      this->disconnect(Fd);
      return false;
    }
    this->Options.push_back(P.Parameters["options"]);
    this->Peers[Fd].Started = true;
    this->write(Fd, wire::authenticationOk() + wire::parameterStatus("server_version", "15.0") +
                        wire::backendKeyData(17, 4711) + wire::readyForQuery('I'));
    return true;
  }

  Loop &InLoop;
  int Listener = -1;
  std::map<int, Peer> Peers;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_FAKE_TARGET_TEST_H
