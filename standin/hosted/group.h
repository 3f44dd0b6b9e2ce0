// A replicated database: a log of numbered commits at each server, terms, replication, promotion.
// It notes what would break a promise: an acknowledged commit that a promotion loses, a statement
// that is committed twice.
#ifndef TOUCAN_STANDIN_HOSTED_GROUP_H
#define TOUCAN_STANDIN_HOSTED_GROUP_H

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucan::standin {

struct Commit {
  uint64_t Term = 0;
  std::string CallerId; // of the statement or of the COMMIT
  std::vector<std::pair<std::string, std::string>> Writes;
};

struct ServerState {
  std::string Id;
  bool Up = true;
  bool IsPrimary = false;
  bool Draining = false;
  uint64_t Term = 1;
  uint64_t PausedTerm = 0; // of the last PAUSE
  std::vector<Commit> Log;
  int64_t StartUnixMs = 0;  // Unix milliseconds of the start
  uint64_t Incarnation = 1; // counts starts
};

struct Position {
  uint64_t Term = 0;
  uint64_t Number = 0;
  auto operator<=>(const Position &) const = default;
};

enum class CommitResult : uint8_t { Committed, ReadOnly, Unknown };
enum class PromoteResult : uint8_t { Scheduled, StaleFenceToken, NotRunning };

class DatabaseGroup {
public:
  DatabaseGroup(std::string Name, std::vector<std::string> Ids, uint64_t Seed);

  const std::string &name() const { return this->Name; }
  size_t size() const { return this->Servers.size(); }
  ServerState state(size_t Server) const;
  Position position(size_t Server) const;
  // The data of an item in the log of a server; empty without one.
  std::string read(size_t Server, const std::string &Item) const;
  bool hasApplied(size_t Server, Position At) const;
  // Appends at the primary and waits until a replica has received it. Unknown: the server lost its
  // lead, crashed, or no replica received it in time.
  CommitResult commit(size_t Server, Commit New);
  void pauseReplication(size_t Server, uint64_t Term);
  void resumeReplication(size_t Server);
  // Takes effect after PromoteMs.
  PromoteResult promote(const std::string &Id, uint64_t FenceToken);
  void crash(size_t Server);
  void start(size_t Server, int64_t NowMs);
  void setDraining(size_t Server, bool Draining);
  // Replicates once and carries out what is due; called every few milliseconds.
  void step(int64_t SteadyMs);

  std::vector<Commit> primaryLog() const;
  std::vector<std::string> violations() const;

private:
  void completePromotion(size_t Server);
  void recordViolation(std::string Violation);
  Position positionOf(const ServerState &S) const { return {S.Term, S.Log.size()}; }

  struct PendingPromotion {
    int64_t DueMs = 0;
    size_t Server = 0;
  };

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::string Name;
  std::vector<ServerState> Servers;
  std::mt19937_64 Random;
  uint64_t CurrentTerm = 1;
  uint64_t HighestFenceToken = 0;
  std::vector<PendingPromotion> PendingPromotions;
  int64_t NowMs = 0;
  std::vector<std::pair<uint64_t, std::string>> Acknowledged; // number, caller id
  std::set<std::string> Committed;                            // caller ids
  std::vector<std::string> Violations;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_HOSTED_GROUP_H
