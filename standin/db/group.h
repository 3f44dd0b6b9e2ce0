// State of one server of a database group: accepted term, role, log, applied position.
#ifndef TOUCAN_STANDIN_DB_GROUP_H
#define TOUCAN_STANDIN_DB_GROUP_H

#include "database.h"
#include "interrupt.h"
#include "log.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standin {

class Replication;

enum class Role : uint8_t { Fenced, Primary, Replica };

// Row of every control call.
struct GroupStatus {
  std::string Server;
  uint64_t AcceptedTerm = 0;
  std::string Proposer;
  Role In = Role::Fenced;
  uint64_t LogTerm = 0;
  uint64_t Received = 0;
  uint64_t Applied = 0;
  bool Accepted = true;
  std::string Following;
};

struct GroupOptions {
  std::string Server;
  std::string DataDir;
  std::chrono::milliseconds Lag{0};       // from receipt to apply on a replica
  std::chrono::milliseconds ShipDelay{0}; // before a replica receives an entry
};

// Part of the primary's log for a replica whose log ends at After.
struct LogSlice {
  // False: the entry at After differs; Hint is a place to try next.
  bool Matches = false;
  uint64_t HintPosition = 0;
  uint64_t HintTerm = 0;
  std::vector<LogEntry> Entries;
};

// Where the primary's log is read, and from where.
struct SliceRequest {
  uint64_t Term = 0;
  uint64_t After = 0;
  uint64_t LastTerm = 0; // term of the replica's entry at After
  uint64_t Limit = 0;    // entries
};

// Thread-safe. Commits, appends and changes of the accepted term exclude each other.
class Group {
public:
  explicit Group(GroupOptions Options);
  ~Group();
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  // Reads the log and applies it. The role after a start is fenced.
  Result<void> open();
  // Ends replication and all waits.
  void stop();
  // Fn is called when connections of terms under the given one must end.
  void onTermChange(std::function<void(uint64_t)> Fn) { this->TermChanged = std::move(Fn); }

  GroupStatus status();
  GroupStatus acceptTerm(uint64_t Term, const std::string &Proposer);
  GroupStatus promote(uint64_t Term, const std::string &Proposer);
  GroupStatus follow(uint64_t Term, const std::string &Host, uint16_t Port);
  GroupStatus wait(uint64_t Term, uint64_t Position, std::chrono::milliseconds Timeout,
                   const Interrupt &I);

  // The error for a work connection of Term, if it must be refused or ended.
  std::optional<SqlError> admits(uint64_t Term);
  // The error for a write on a connection of Term, if it must be refused.
  std::optional<SqlError> admitsWrite(uint64_t Term);
  uint64_t applied();
  // Path and generation of the database that connections read.
  std::pair<std::string, uint64_t> database();
  // Commits a write: calls Commit, then appends Sql to the log, if Term is still in force.
  std::optional<SqlError> commit(uint64_t Term, std::string Sql,
                                 const std::function<std::optional<SqlError>()> &Commit);
  // Held by the transaction that writes.
  Slots &writer() { return this->Writer; }

  // For the log requests of replicas: waits a short time for new entries.
  std::optional<LogSlice> slice(const SliceRequest &R, const Interrupt &I);

  // For Replication. Each fails (false, empty) when Term is no longer followed.
  bool receive(uint64_t Term, uint64_t After, std::vector<LogEntry> Entries);
  bool applyNext(uint64_t Term);
  struct LogPlace {
    uint64_t Position = 0;
    uint64_t Term = 0;
  };
  LogPlace logEnd();
  // Highest own entry not over either part of Limit.
  LogPlace logPlaceNotOver(LogPlace Limit);

private:
  GroupStatus statusLocked() const;
  GroupStatus answerLocked(bool Accepted) const;
  bool followsLocked(uint64_t Term) const;
  uint64_t receivedLocked() const;
  void truncateLocked(uint64_t Position);
  void stopReplication();
  Result<void> applyAll();
  std::optional<SqlError> applyEntry(const std::string &Sql);

  GroupOptions Options;
  std::function<void(uint64_t)> TermChanged;
  Slots Writer{1};

  // Taken before Mutex; one change of term or role at a time.
  std::mutex ControlMutex;
  std::unique_ptr<Replication> Following; // guarded by ControlMutex

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
  GroupLog Log;
  std::unique_ptr<Database> Data;
  Role In = Role::Fenced;
  uint64_t Applied = 0;
  uint64_t KnownSame = 0; // replica: entries known to be in the primary's log
  std::string FollowAddress;

  // Only used by the thread that applies entries.
  SqliteHandle ApplyHandle;
  uint64_t ApplyGeneration = 0;
};

const char *roleName(Role R);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_GROUP_H
