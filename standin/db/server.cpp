#include "server.h"

#include "absl/strings/str_format.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <random>
#include <system_error>
#include <utility>

namespace toucan::standin {

namespace {

constexpr int ListenBacklog = 512;
// The accept loop checks for stop() and for finished sessions at this interval.
constexpr int AcceptPollMs = 50;

sockaddr_in loopbackAddress(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

Server::Server(ServerOptions Given)
    : Options(std::move(Given)), G({.Server = this->Options.Id,
                                    .DataDir = this->Options.DataDir,
                                    .Lag = this->Options.Lag,
                                    .ShipDelay = this->Options.ShipDelay}),
      Context{
          .Options = this->Options,
          .G = this->G,
          .WorkSlots = Slots(this->Options.Slots),
          .AddWorkConnection =
              [this] {
                if (++this->WorkConnections <= this->Options.Connections)
                  return true;
                --this->WorkConnections;
                return false;
              },
          .RemoveWorkConnection = [this] { --this->WorkConnections; },
          .CancelSession = [this](uint32_t Id, uint32_t Key) { this->cancelSession(Id, Key); }} {
  this->G.onTermChange([this](uint64_t Term) { this->endSessionsOfOlderTerms(Term); });
}

Server::~Server() { this->stop(); }

Result<void> Server::start() {
  BOOST_LEAF_CHECK(this->G.open());
  this->ListenFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enable = 1;
  ::setsockopt(this->ListenFd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  sockaddr_in Address = loopbackAddress(this->Options.Port);
  socklen_t Size = sizeof Address;
  if (::bind(this->ListenFd, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(this->ListenFd, ListenBacklog) != 0 ||
      ::getsockname(this->ListenFd, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return failure(
        absl::StrFormat("cannot listen on port %d: %s", this->Options.Port, std::strerror(errno)));
  this->Port = ntohs(Address.sin_port);
  this->AcceptThread = std::thread([this] { this->acceptLoop(); });
  return {};
}

void Server::stop() {
  if (this->Stopping.exchange(true))
    return;
  if (this->AcceptThread.joinable())
    this->AcceptThread.join();
  if (this->ListenFd >= 0)
    ::close(this->ListenFd);
  {
    std::lock_guard Lock(this->Mutex);
    for (Client &C : this->Clients)
      C.S->end("terminating connection due to administrator command");
  }
  // Safe without the lock: only the accept thread changes the list, and it has been joined.
  for (Client &C : this->Clients)
    C.Thread.join();
  this->Clients.clear();
  this->G.stop();
}

void Server::acceptLoop() {
  while (!this->Stopping) {
    pollfd P{this->ListenFd, POLLIN, 0};
    if (::poll(&P, 1, AcceptPollMs) > 0) {
      int Fd = ::accept4(this->ListenFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd >= 0)
        this->addClient(Fd);
    }
    this->joinFinishedClients();
  }
}

void Server::addClient(int Fd) {
  static thread_local std::random_device Random;
  std::lock_guard Lock(this->Mutex);
  Client &C = this->Clients.emplace_back();
  C.S = std::make_unique<Session>(
      this->Context, Fd, SessionKey{.ProcessId = this->NextProcessId++, .SecretKey = Random()});
  try {
    C.Thread = std::thread([&C] {
      C.S->run();
      C.Finished = true;
    });
  } catch (const std::system_error &) {
    // The system is out of threads: close this connection and keep serving the others.
    this->Clients.pop_back();
  }
}

void Server::joinFinishedClients() {
  std::list<Client> FinishedClients;
  {
    std::lock_guard Lock(this->Mutex);
    for (auto At = this->Clients.begin(); At != this->Clients.end();) {
      auto Next = std::next(At);
      if (At->Finished)
        FinishedClients.splice(FinishedClients.end(), this->Clients, At);
      At = Next;
    }
  }
  for (Client &C : FinishedClients)
    C.Thread.join();
}

void Server::endSessionsOfOlderTerms(uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  for (Client &C : this->Clients)
    if (C.S->term() != 0 && C.S->term() < Term)
      C.S->end("terminating connection due to a change of term");
}

void Server::cancelSession(uint32_t ProcessId, uint32_t SecretKey) {
  std::lock_guard Lock(this->Mutex);
  for (Client &C : this->Clients)
    if (C.S->key().ProcessId == ProcessId && C.S->key().SecretKey == SecretKey)
      C.S->cancel();
}

} // namespace toucan::standin
