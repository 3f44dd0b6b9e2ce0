// Case 13: machines are added while the store is down and a replica is being replaced. The
// store's entries of the primary and of one replica return last, within two seconds.
#include "standin.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <utility>

using namespace review;

namespace {

constexpr size_t OldDaemons = 4;
constexpr size_t AddedDaemons = 3; // all spare ones
constexpr size_t WritersPerDaemon = 8;
constexpr int64_t WriteIntervalMs = 150;
// The sizes of the groups are in the store by then.
constexpr int64_t GroupSizeLimitMs = 20000;
constexpr int64_t OutageMs = 6500; // the site's entry: 7 s, with lapse
// When the machines are added, before the end of the outage.
constexpr std::array<int64_t, AddedDaemons> AddedBeforeEndMs = {3000, 1200, 300};
constexpr int64_t EarlyReturnMs = 200;    // entries of the leaving and the new replica
constexpr int64_t LateReturnMs = 1900;    // entry of the other replica
constexpr int64_t PrimaryReturnMs = 1950; // entry of the primary
constexpr int64_t AfterMs = 8000;

struct Told {
  std::string Id;
  int64_t AtMs = 0;
};

// A server that was promoted, with its log when that took effect.
struct Promotion {
  std::string Server;
  std::vector<Entry> Log;
  int64_t AtMs = 0;
};

class Writers {
public:
  Writers(std::vector<std::unique_ptr<Daemon>> &Daemons, Record &Book) : Book(Book) {
    for (auto &D : Daemons)
      for (size_t I = 0; I < WritersPerDaemon; ++I)
        this->Threads.emplace_back(
            [this, &D, Name = D->name() + "-" + std::to_string(I)] { this->run(*D, Name); });
  }
  void stop() {
    this->Stopping = true;
    for (std::thread &T : this->Threads)
      T.join();
    this->Threads.clear();
  }
  std::vector<Told> told() {
    std::lock_guard Lock(this->Mutex);
    return this->Acknowledged;
  }

private:
  void run(Daemon &D, const std::string &Name) {
    Client C;
    for (uint64_t N = 0; !this->Stopping; ++N) {
      sleepMs(WriteIntervalMs);
      if (!C.isOpen() && !C.open(D.ip(), D.callerPort(), "bookings"))
        continue;
      std::string Id = Name + "-" + std::to_string(N);
      this->Book.line("sent " + Id);
      std::string Text = "WRITE item-";
      Text.append(Id).append(" data-").append(Id);
      Reply R = C.query(Id, Text);
      std::string Answer = !R.Complete ? "no answer" : R.Error.empty() ? "DONE" : R.Error;
      if (Answer == "DONE") {
        std::lock_guard Lock(this->Mutex);
        this->Acknowledged.push_back({.Id = Id, .AtMs = nowMs()});
      }
      this->Book.line(Id.append(" is answered ").append(Answer));
    }
  }

  Record &Book;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<Told> Acknowledged;
  std::vector<std::thread> Threads;
};

template <typename Condition> bool waitFor(int64_t LimitMs, const Condition &Holds) {
  int64_t Until = nowMs() + LimitMs;
  while (!Holds()) {
    if (nowMs() >= Until)
      return false;
    sleepMs(50);
  }
  return true;
}

int runCase(const std::string &Directory, bool Trouble, Record &Book) {
  Store Rows;
  Group Database(Rows, Book, {});
  std::mutex PromotedMutex;
  std::vector<Promotion> Promotions;
  Database.OnPromoted = [&](const std::string &Id, const std::vector<Entry> &Log) {
    std::lock_guard Lock(PromotedMutex);
    Promotions.push_back({.Server = Id, .Log = Log, .AtMs = nowMs()});
  };
  Platform Services(Rows, Database, Book);
  Database.add("i-p", "z0", true, 1);
  Database.add("i-r1", "z1", false, 3);
  Database.add("i-r2", "z2", false, 3);
  Rows.write("op", "config",
             configurationText(1, Database.service(), {{.Name = "bookings", .Type = "primary"}}),
             std::nullopt);
  std::vector<std::unique_ptr<Daemon>> Old;
  std::vector<std::unique_ptr<Daemon>> Added;
  for (size_t I = 0; I < OldDaemons + AddedDaemons; ++I)
    (I < OldDaemons ? Old : Added)
        .push_back(std::make_unique<Daemon>(DaemonOptions{.Name = "front-" + std::to_string(I),
                                                          .Ip = "127.0.13." + std::to_string(I + 1),
                                                          .Zone = "z" + std::to_string(I % 3),
                                                          .StorePort = Services.port()},
                                            Directory));
  for (auto &D : Old)
    D->start();
  bool Started = waitFor(15000, [&] {
    return std::all_of(Old.begin(), Old.end(), [](const auto &D) { return D->ready(); });
  });
  if (!Started || !waitFor(GroupSizeLimitMs,
                           [&] { return Rows.value("group-sizes", Database.service()) == "3"; }))
    return 2;
  Writers Load(Old, Book);
  sleepMs(2000);
  Book.line("release: i-n starts in the place of i-r2");
  Database.add("i-n", "z2", false, 3);
  sleepMs(1500);
  Database.drain("i-r2");
  sleepMs(300);
  if (Trouble) {
    Book.line("the store is down");
    int64_t Back = nowMs() + OutageMs;
    Database.silence("i-r2", Back + EarlyReturnMs);
    Database.silence("i-n", Back + EarlyReturnMs);
    Database.silence("i-r1", Back + LateReturnMs);
    Database.silence("i-p", Back + PrimaryReturnMs);
    Rows.setDown(true);
  }
  int64_t Passed = 0;
  for (size_t I = 0; I < AddedDaemons; ++I) {
    sleepMs(OutageMs - AddedBeforeEndMs[I] - std::exchange(Passed, OutageMs - AddedBeforeEndMs[I]));
    Book.line("machine " + Added[I]->name() + " is added");
    Added[I]->start();
  }
  sleepMs(OutageMs - Passed);
  if (Trouble) {
    Book.line("the store is back");
    Rows.setDown(false);
  }
  sleepMs(AfterMs);
  Load.stop();
  Book.line("servers:" + Database.describe());
  std::vector<Told> Told = Load.told();
  size_t Lost = 0;
  std::lock_guard Lock(PromotedMutex);
  for (const Promotion &P : Promotions) {
    std::set<std::string> Kept;
    for (const Entry &E : P.Log)
      Kept.insert(E.Id);
    for (const auto &T : Told)
      if (T.AtMs <= P.AtMs && !Kept.contains(T.Id)) {
        ++Lost;
        Book.line("LOST: " + T.Id + " was acknowledged at " + std::to_string(T.AtMs) +
                  " ms and is not in the log of " + P.Server + ", promoted at " +
                  std::to_string(P.AtMs) + " ms");
      }
  }
  Book.line("acknowledged " + std::to_string(Told.size()) + ", promotions " +
            std::to_string(Promotions.size()) + ", lost " + std::to_string(Lost));
  if (Told.size() < 100)
    return 2;
  return Lost > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 3)
    return 2;
  const char *Trouble = std::getenv("TROUBLE");
  Record Book(Values[2]);
  int Result = runCase(Values[1], !Trouble || std::string(Trouble) != "0", Book);
  Book.line("result " + std::to_string(Result));
  std::_Exit(Result);
}
