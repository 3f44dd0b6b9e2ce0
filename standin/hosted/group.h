// Simulated replicated database. Each server has a term and a log of numbered commits; the primary
// replicates its log, and a promotion starts a new term. Recorded are the acknowledged commits that
// each promotion drops, and as a violation a statement that is committed twice.
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
  std::string CallerId; // id of the statement, or of the COMMIT of a transaction
  std::vector<std::pair<std::string, std::string>> Writes;
};

struct ServerState {
  std::string Id;
  bool Up = true;
  bool IsPrimary = false;
  bool Draining = false;
  uint64_t Term = 1;
  uint64_t PausedTerm = 0; // term of the last PAUSE; blocks replication while above Term
  std::vector<Commit> Log;
  int64_t StartUnixMs = 0;      // time of the last start
  uint64_t Incarnation = 1;     // incremented at each start
  std::set<size_t> Unreachable; // servers that receive nothing from this one
};

// A promotion dropped a commit that the server had acknowledged. Whether the caller was told of it
// is not known here.
struct DroppedCommit {
  int64_t AtSteadyMs = 0; // when the promotion took effect
  std::string Promoted;
  std::string CallerId;
};

// What the server that joins knows.
enum class JoinWith : uint8_t { Nothing, FormerLog };

struct Position {
  uint64_t Term = 0;
  uint64_t Number = 0;
  auto operator<=>(const Position &) const = default;
};

enum class CommitResult : uint8_t { Committed, ReadOnly, Unknown };
enum class PromoteResult : uint8_t { Scheduled, StaleFenceToken, NotRunning, Unanswered };

class DatabaseGroup {
public:
  DatabaseGroup(std::string Name, std::vector<std::string> Ids, uint64_t Seed);

  const std::string &name() const { return this->Name; }
  size_t size() const { return this->Servers.size(); }
  ServerState state(size_t Server) const;
  Position position(size_t Server) const;
  // Returns the last value of an item in the log of a server, empty if it was never written.
  std::string read(size_t Server, const std::string &Item) const;
  bool hasApplied(size_t Server, Position At) const;
  // Appends a commit at the primary and waits until a replica has received it. Returns Unknown if
  // the server lost the primary role or crashed, or if no replica received the commit in time.
  CommitResult commit(size_t Server, Commit New);
  // Stops replication to a replica of an older term, until resumeReplication() or a promotion.
  void pauseReplication(size_t Server, uint64_t Term);
  void resumeReplication(size_t Server);
  // Makes a primary of an older term a replica.
  void stepDown(size_t Server, uint64_t Term);
  // Schedules a promotion, which takes effect after PromotionDelayMs.
  PromoteResult promote(const std::string &Id, uint64_t FenceToken);
  // Orders that arrive within WindowMs get no answer, and are executed DelayMs later.
  void delayOrders(int64_t WindowMs, int64_t DelayMs);
  // Number of orders that were delayed so far.
  size_t delayedOrders() const;
  void crash(size_t Server);
  void start(size_t Server, int64_t NowMs);
  // Starts a server under a new id in the place of one that is not running.
  void join(size_t Server, std::string Id, JoinWith With, int64_t NowMs);
  // Cuts a server off from all servers that run now, or ends the cut.
  void isolate(size_t Server, bool Cut);
  void setDraining(size_t Server, bool Draining);
  // Completes due promotions and runs one replication round. Called every few milliseconds.
  void step(int64_t SteadyMs);

  std::vector<Commit> primaryLog() const;
  std::vector<std::string> violations() const;
  std::vector<DroppedCommit> droppedCommits() const;

private:
  PromoteResult schedulePromotion(const std::string &Id, uint64_t FenceToken);
  void completePromotion(const std::string &Id);
  void startServer(ServerState &S, int64_t Now);
  void recordViolation(std::string Violation);
  Position positionOf(const ServerState &S) const { return {S.Term, S.Log.size()}; }

  struct PendingPromotion {
    int64_t DueMs = 0;
    std::string Id;
  };
  struct DelayedOrder {
    int64_t DueMs = 0;
    std::string Id;
    uint64_t FenceToken = 0;
  };

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::string Name;
  std::vector<ServerState> Servers;
  std::mt19937_64 Random;
  uint64_t CurrentTerm = 1;
  uint64_t HighestFenceToken = 0;
  std::vector<PendingPromotion> PendingPromotions;
  int64_t DelayOrdersUntilMs = 0;
  int64_t OrderDelayMs = 0;
  std::vector<DelayedOrder> DelayedOrders;
  size_t DelayedCount = 0;
  int64_t NowMs = 0;
  std::vector<std::pair<uint64_t, std::string>> Acknowledged; // commit number, caller id
  std::set<std::string> Committed;                            // caller ids
  std::vector<std::string> Violations;
  std::vector<DroppedCommit> Dropped;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_HOSTED_GROUP_H
