// Stand-in database server: accepts connections, runs one thread per connection and dispatches
// cancel requests.
#ifndef TOUCAN_STANDIN_DB_SERVER_H
#define TOUCAN_STANDIN_DB_SERVER_H

#include "session.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace toucan::standin {

class Server {
public:
  explicit Server(ServerOptions Options);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  // Replays the log, then listens on the loopback address.
  Result<void> start();
  // Ends all connections with SQLSTATE 57P01 and joins all threads.
  void stop();
  uint16_t port() const { return this->Port; }
  Group &group() { return this->G; }

private:
  struct Client {
    std::unique_ptr<Session> S;
    std::thread Thread;
    std::atomic<bool> Finished = false;
  };

  void acceptLoop();
  void addClient(int Fd);
  void joinFinishedClients();
  void endSessionsOfOlderTerms(uint64_t Term);
  void cancelSession(uint32_t ProcessId, uint32_t SecretKey);

  const ServerOptions Options;
  Group G;
  std::atomic<int64_t> WorkConnections = 0;
  SessionContext Context;
  int ListenFd = -1;
  uint16_t Port = 0;
  std::atomic<bool> Stopping = false;
  std::thread AcceptThread;
  std::mutex Mutex;
  uint32_t NextProcessId = 1;
  std::list<Client> Clients; // guarded by Mutex
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SERVER_H
