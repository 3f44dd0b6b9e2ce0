// A platform, a database group and proxies as processes on one machine.
#ifndef TOUCAN_TESTS_CLUSTER_H
#define TOUCAN_TESTS_CLUSTER_H

#include "client.h"
#include "process.h"
#include "relay.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace toucan::test {

struct ClusterOptions {
  std::string Database = "orders";
  int Servers = 3;
  int Proxies = 2;
  int Slots = 3;
  int Connections = 25;
  std::vector<std::string> ServerFlags; // more flags of standin-db
  std::vector<std::string> ProxyFlags;  // more flags of toucanrund
  // Connections between processes go through relays; those of the test itself do not. The proxies
  // then use their names as user names at the servers, by which a relay tells them apart.
  bool Relays = false;
};

// Row of group_status() that the tests read.
struct ServerStatus {
  bool Known = false; // the server has answered
  uint64_t Term = 0;
  std::string Role;
  uint64_t Received = 0;
  uint64_t Applied = 0;
};

// What toucanctl printed and how it ended.
struct CtlResult {
  int Code = -1; // exit code, -1 when it did not end in time
  std::string Out;
  std::string Err;
};

// Starts everything; all processes end with the object.
class Cluster {
public:
  explicit Cluster(ClusterOptions O = {});

  const ClusterOptions &options() const { return this->Options; }
  Process &proxy(size_t I) { return *this->Proxies[I].P; }
  Process &server(size_t I) { return *this->Servers[I].P; }
  uint16_t proxyPort(size_t I) const { return this->Proxies[I].Port; }
  uint16_t serverPort(size_t I) const { return this->Servers[I].Port; }
  uint16_t linkPort(size_t I) const { return this->Proxies[I].Link; }
  uint16_t httpPort(size_t Proxy) const { return this->Proxies[Proxy].Http; }
  const std::string &proxyName(size_t I) const { return this->Proxies[I].Name; }
  const std::string &serverName(size_t I) const { return this->Servers[I].Name; }
  size_t proxies() const { return this->Proxies.size(); }
  size_t servers() const { return this->Servers.size(); }

  // Waits until /health of every proxy answers 200 and a first write is acknowledged.
  void waitReady();
  // Puts the rules text and waits until every proxy has it.
  void setRules(const std::string &Text) const;
  // Client through a proxy; Settings are start-up options.
  Client client(size_t Proxy, const std::string &Settings = "") const;
  // Client directly at a server: work in a term, or control when Term is 0.
  Client direct(size_t Server, uint64_t Term = 0) const;
  ServerStatus status(size_t Server) const;
  // Index of the primary of the highest term, once there is one; servers() after the limit.
  size_t primary() const;
  // Starts an ended server again on its port and data.
  void restartServer(size_t I);
  // Adds a proxy without waiting for it, and lists it. It uses another port for the platform if one
  // is given.
  void addProxy(uint16_t PlatformAt = 0);
  bool healthy(size_t Proxy) const;
  // Value of a line of a proxy's /metrics without labels; 0 when there is none.
  uint64_t metric(size_t Proxy, const std::string &Name) const;

  // Relays in front of a server, of a proxy's link port, and of the platform for all proxies.
  Relay &serverRelay(size_t I) { return *this->Servers[I].Front; }
  Relay &linkRelay(size_t I) { return *this->Proxies[I].Front; }
  Relay &platformRelay() { return *this->PlatformFront; }

  // PUT /admin/faults of the platform.
  void setFaults(const std::string &Json) const { this->put("/admin/faults", Json); }
  // GET of the platform: the body, or an empty text when the answer is not 200.
  std::string platformGet(const std::string &Path) const;
  uint16_t platformPort() const { return this->PlatformPort; }
  // Runs toucanctl against the platform, without relays. Callable from several threads at once.
  CtlResult ctl(std::vector<std::string> Arguments) const;
  // Writes a file for toucanctl and returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  // Marks a server as leaving in the platform's list.
  void listLeaving(size_t Server);

private:
  struct Member {
    std::string Name;
    std::unique_ptr<Process> P;
    std::unique_ptr<Relay> Front; // null without relays
    uint16_t Port = 0;
    uint16_t Link = 0;
    uint16_t Http = 0;
    const char *State = "live"; // in the platform's list
  };

  void startServer(Member &M);
  void startProxy(Member &M, uint16_t PlatformAt);
  void startNextProxy(uint16_t PlatformAt = 0);
  // Port that other processes are told.
  static uint16_t shownPort(const std::unique_ptr<Relay> &Front, uint16_t Port);
  void relayLinks();
  void publish() const;
  void put(const std::string &Path, const std::string &Body) const;

  ClusterOptions Options;
  TestDir Dir;
  std::unique_ptr<Process> Platform;
  uint16_t PlatformPort = 0;
  std::unique_ptr<Relay> PlatformFront;
  mutable std::atomic<int> CtlRuns = 0;
  std::vector<Member> Servers;
  std::vector<Member> Proxies;
};

// One server outside of any proxy that is the primary of term 1.
class SingleServer {
public:
  SingleServer();
  Client client() const;
  Process &process() { return *this->P; }
  uint16_t port() const { return this->Port; }

private:
  TestDir Dir;
  std::unique_ptr<Process> P;
  uint16_t Port = 0;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_CLUSTER_H
