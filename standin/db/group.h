// State of one server of a database group: accepted term, role, log and applied position.
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

// Status of the server. Every group control function returns it as one row.
struct GroupStatus {
  std::string Server;
  uint64_t AcceptedTerm = 0;
  std::string Proposer;
  Role CurrentRole = Role::Fenced;
  uint64_t LogTerm = 0;
  uint64_t Received = 0;
  uint64_t Applied = 0;
  bool Accepted = true;  // the control call was allowed
  std::string Following; // address of the primary that this replica follows
};

struct GroupOptions {
  std::string Server;
  std::string DataDir;
  std::chrono::milliseconds Lag{0};       // between receipt and application on a replica
  std::chrono::milliseconds ShipDelay{0}; // before a replica receives an entry
};

// The primary's answer to a SliceRequest.
struct LogSlice {
  // False if the primary has no entry at After or one of another term. The hint is the entry of
  // the primary at which the replica tries next.
  bool Matches = false;
  uint64_t HintPosition = 0;
  uint64_t HintTerm = 0;
  std::vector<LogEntry> Entries;
};

// A replica's request for the primary's log entries that follow position After.
struct SliceRequest {
  uint64_t Term = 0;
  uint64_t After = 0;
  uint64_t LastTerm = 0; // term of the replica's entry at After
  uint64_t Limit = 0;    // entries
};

// Thread-safe. Commits, appends and changes of the accepted term are mutually exclusive.
class Group {
public:
  explicit Group(GroupOptions Options);
  ~Group();
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  // Reads the log and applies all of its entries. A server starts in the fenced role.
  Result<void> open();
  // Stops replication and ends all waiting calls.
  void stop();
  // Sets the function that ends all connections whose term is lower than its argument.
  void onTermChange(std::function<void(uint64_t)> Fn) { this->OnTermChange = std::move(Fn); }

  GroupStatus status();
  // Accepts Term if it is later than the accepted one, and fences the server. A repeated call of
  // the same proposer is also accepted until the server is promoted or follows.
  GroupStatus acceptTerm(uint64_t Term, const std::string &Proposer);
  // Makes the server the primary of Term if it accepted Term from Proposer and did not follow in
  // it.
  GroupStatus promote(uint64_t Term, const std::string &Proposer);
  // Makes the server a replica of the primary at Host and Port, unless it has accepted a later term
  // or was promoted in Term.
  GroupStatus follow(uint64_t Term, const std::string &Host, uint16_t Port);
  // Waits until the server has received Position in Term. Not accepted on a time-out, an interrupt,
  // a stop or a later term.
  GroupStatus wait(uint64_t Term, uint64_t Position, std::chrono::milliseconds Timeout,
                   const Interrupt &I);

  // Returns an error if a work connection of Term must be refused or ended.
  std::optional<SqlError> connectionError(uint64_t Term);
  // Returns an error if a write on a connection of Term must be refused.
  std::optional<SqlError> writeError(uint64_t Term);
  uint64_t appliedPosition();
  // Path and generation of the database that connections read.
  std::pair<std::string, uint64_t> database();
  // Commits a write if this server is still the primary of Term: calls Commit, then appends Sql to
  // the log.
  std::optional<SqlError> commit(uint64_t Term, std::string Sql,
                                 const std::function<std::optional<SqlError>()> &Commit);
  // The single slot that a writing transaction holds.
  Slots &writerSlot() { return this->WriterSlot; }

  // Answers a log request of a replica. Without new entries it waits up to 200 ms for some. Empty
  // if this server is not the primary of the requested term.
  std::optional<LogSlice> slice(const SliceRequest &R, const Interrupt &I);

  // Used by Replication. Both return false when the server no longer follows a primary in Term.
  bool receive(uint64_t Term, uint64_t After, std::vector<LogEntry> Entries);
  bool applyNext(uint64_t Term);
  struct EntryId {
    uint64_t Position = 0;
    uint64_t Term = 0;
  };
  EntryId logEnd();
  // Last log entry whose position and term are at most those of Limit.
  EntryId lastEntryAtMost(EntryId Limit);

private:
  GroupStatus statusLocked() const;
  GroupStatus controlResultLocked(bool Accepted) const;
  bool isFollowingLocked(uint64_t Term) const;
  uint64_t receivedPositionLocked() const;
  void truncateLocked(uint64_t Position);
  void stopReplication();
  Result<void> applyPendingEntries();
  std::optional<SqlError> applyEntry(const std::string &Sql);

  GroupOptions Options;
  std::function<void(uint64_t)> OnTermChange;
  Slots WriterSlot{1};

  // Serializes changes of term or role. Locked before Mutex.
  std::mutex ControlMutex;
  std::unique_ptr<Replication> ActiveReplication; // guarded by ControlMutex

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
  GroupLog Log;
  std::unique_ptr<Database> Data;
  Role CurrentRole = Role::Fenced;
  uint64_t Applied = 0;
  uint64_t MatchedPosition = 0; // replica: last entry known to match the primary's log
  std::string PrimaryAddress;

  // Accessed only by the thread that applies entries.
  SqliteHandle ApplyHandle;
  uint64_t ApplyGeneration = 0;
};

const char *roleName(Role R);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_GROUP_H
