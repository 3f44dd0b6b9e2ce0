// Stand-ins of the users' platform, of one replicated database and of clients, as their pages
// describe them, and the daemons of a small deployment as processes. For the cases of REPORT-3.md.
#ifndef TOUCAN_REVIEW_STANDIN_3_H
#define TOUCAN_REVIEW_STANDIN_3_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds since the start of the program.
int64_t nowMs();
void sleepMs(int64_t Ms);

// Lines with the time of what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  int Fd = -1;
};

struct Row {
  std::string Table;
  std::string Key;
  std::string Value;
  uint64_t Version = 0;
  bool Deleted = false;
};

// The platform's store. Rows have an empty part.
class Store {
public:
  std::vector<Row> list(const std::string &Table, uint64_t &Version);
  // Waits for changes after the version; nothing if the store goes down meanwhile.
  std::optional<std::vector<Row>> feed(const std::string &Table, uint64_t After, int64_t WaitMs,
                                       uint64_t &Version);
  // Returns the present row if its version is not the expected one.
  std::optional<Row> write(const std::string &Table, const std::string &Key,
                           const std::string &Value, std::optional<uint64_t> Expected);
  void remove(const std::string &Table, const std::string &Key);
  void setDown(bool Down);
  bool down() const { return this->IsDown; }
  std::string value(const std::string &Table, const std::string &Key);
  uint64_t version();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::pair<std::string, std::string>, Row> Rows;
  uint64_t Newest = 0;
  std::atomic<bool> IsDown{false};
};

struct Entry {
  uint64_t Term = 0;
  std::string Id; // of the statement that commits
  std::string Item;
  std::string Data;
  int64_t AtMs = 0;
};

struct Server {
  std::string Id;
  std::string Zone;
  uint16_t Port = 0;
  bool Up = false;
  bool Leads = false;
  bool Draining = false;
  bool Deaf = false; // receives nothing from the primary
  uint64_t Term = 1;
  uint64_t HeldTerm = 0;
  uint64_t Process = 0;
  int64_t BornMs = 0;
  int64_t ReceiveDelayMs = 1;
  int64_t SilentUntilMs = 0; // does not reach the store before
  int64_t HeartbeatAtMs = 0;
  int64_t AcceptedAtMs = -1; // last heartbeat that the store accepted
  std::string LastWritten;
  std::vector<Entry> Log;
  int Listener = -1;
  std::set<int> Sockets;
};

struct GroupOptions {
  std::string Service = "db0";
  int64_t HeartbeatMs = 1200;
  int64_t PromoteMs = 1000;
};

// A database with one primary. A commit is acknowledged once one replica has received it.
class Group {
public:
  Group(Store &Rows, Record &Book, GroupOptions Options);
  ~Group();
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  // Adds a running server, which listens and registers itself.
  void add(const std::string &Id, const std::string &Zone, bool Leads, int64_t ReceiveDelayMs);
  void drain(const std::string &Id);
  void crash(const std::string &Id);
  // Starts a crashed server again with its log.
  void restart(const std::string &Id);
  void setDeaf(const std::string &Id, bool Deaf);
  // The server's heartbeats do not reach the store before the time.
  void silence(const std::string &Id, int64_t UntilMs);
  // Result of POST /promote: 200, or 409 with the reason.
  std::pair<int, std::string> promote(const std::string &Id, uint64_t Token,
                                      const std::string &Holder);
  // As promote(), executed later without an answer.
  void promoteLater(const std::string &Id, uint64_t Token, int64_t AtMs);
  std::string leader();
  std::string describe();
  // Called with the log of a server that was promoted.
  std::function<void(const std::string &Id, const std::vector<Entry> &Log)> OnPromoted;
  // Called for each statement of a client that a server runs. Draining: the server drains.
  std::function<void(const std::string &Server, const std::string &Id, const std::string &Text)>
      OnRun;
  std::vector<Entry> logOf(const std::string &Id);
  const std::string &service() const { return this->Options.Service; }
  std::function<void(const std::string &Id, const std::string &Command)> OnCommand;

private:
  struct Session;
  void accept(Server &S);
  void serve(Server &S, int Fd, uint64_t Process);
  std::string answer(Server &S, Session &C, const std::string &Line);
  std::string control(Server &S, Session &C, std::string Text);
  std::string statement(Server &S, Session &C, const std::string &Id, std::string Text);
  std::string commit(std::unique_lock<std::mutex> &Lock, Server &S, const std::string &Id,
                     const std::vector<std::pair<std::string, std::string>> &Writes);
  std::string ready(const Server &S, const Session &C) const;
  static std::string positionOf(const Server &S);
  void step();
  void replicate(int64_t Now);
  void heartbeat(Server &S, int64_t Now);
  void execute(const std::string &Id);
  Server *find(const std::string &Id);

  Store &Rows;
  Record &Book;
  GroupOptions Options;
  std::mutex Mutex; // guards the servers
  std::condition_variable Changed;
  std::map<std::string, std::unique_ptr<Server>> Servers;
  uint64_t CurrentTerm = 1;
  uint64_t HighestToken = 0;
  std::vector<std::pair<int64_t, std::string>> Due; // promotions that take effect
  struct LateOrder {
    int64_t AtMs = 0;
    std::string Id;
    uint64_t Token = 0;
  };
  std::vector<LateOrder> Late;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Threads{0};
  std::thread Stepper;
};

// The HTTP interface of the store and of the promotions.
class Platform {
public:
  Platform(Store &Rows, Group &Database, Record &Book);
  ~Platform();
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;
  uint16_t port() const { return this->Port; }
  // Decides what happens to an order: true executes and answers it at once. False: the handler
  // has taken it, and no answer is given.
  std::function<bool(const std::string &Id, uint64_t Token, const std::string &Holder)> OnOrder;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
  uint16_t Port = 0;
};

struct RouteSpec {
  std::string Name;
  std::string Type;
};
std::string configurationText(uint64_t Version, const std::string &Service,
                              const std::vector<RouteSpec> &Routes);

uint16_t freePort();

struct DaemonOptions {
  std::string Name;
  std::string Ip;
  std::string Zone;
  uint16_t StorePort = 0;
  bool TokensChecked = true;
};

// toucanrund-hosted as a process, started as the deploy file says.
class Daemon {
public:
  Daemon(DaemonOptions Options, std::string Directory);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  void start();
  void signal(int Number) const;
  // Ends the process with SIGKILL.
  void kill();
  bool running();
  // How the process ended, for the record.
  std::string ending() const { return this->Ending; }
  bool ready() const;
  uint16_t callerPort() const { return this->CallerPort; }
  const std::string &ip() const { return this->Options.Ip; }
  const std::string &name() const { return this->Options.Name; }

private:
  DaemonOptions Options;
  std::string Directory;
  uint16_t CallerPort;
  uint16_t ReadinessPort;
  uint16_t LinkPort;
  uint16_t MetricsPort;
  int Pid = -1;
  int Starts = 0;
  std::string Ending;
};

struct Reply {
  bool Complete = false;
  std::string Error; // code of ERR; empty after success
  std::vector<std::string> Rows;
  std::string State;
};

class Client {
public:
  ~Client();
  bool open(const std::string &Ip, uint16_t Port, const std::string &Database);
  Reply query(const std::string &Id, const std::string &Text);
  bool isOpen() const { return this->Fd >= 0; }
  void close();

private:
  Reply read();
  int Fd = -1;
  std::string Input;
};

} // namespace review

#endif // TOUCAN_REVIEW_STANDIN_3_H
