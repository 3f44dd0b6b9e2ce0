// Log of a database group and record of the accepted term, each stored in its own file.
#ifndef TOUCAN_STANDIN_DB_LOG_H
#define TOUCAN_STANDIN_DB_LOG_H

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace toucan::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

// One committed transaction. The entry that starts a term has an empty text.
struct LogEntry {
  uint64_t Term = 0;
  uint64_t Position = 0;
  std::string Sql;
  SteadyTime ReceivedAt{}; // not stored in the file
};

// Role that a server has taken in its accepted term; Accepted if it has not taken any.
enum class Phase : uint8_t { Accepted, Primary, Replica };

struct TermRecord {
  uint64_t Term = 0;
  std::string Proposer;
  Phase CurrentPhase = Phase::Accepted;
};

// Not thread-safe. A failed write aborts the process, since a server that cannot store its log must
// stop.
class GroupLog {
public:
  GroupLog() = default;
  ~GroupLog();
  GroupLog(const GroupLog &) = delete;
  GroupLog &operator=(const GroupLog &) = delete;

  // Reads both files from Dir, which must exist. An incomplete record at the end of the log is
  // removed.
  Result<void> open(const std::string &Dir);

  uint64_t lastPosition() const { return this->Entries.size(); }
  // Term of the entry at Position, 0 for position 0. Position must be at most lastPosition().
  uint64_t termAt(uint64_t Position) const;
  uint64_t lastTerm() const { return this->termAt(this->lastPosition()); }
  const LogEntry &at(uint64_t Position) const;
  // Highest position that is at most Limit and whose term is at most Term; 0 if there is none.
  uint64_t lastPositionAtMost(uint64_t Limit, uint64_t Term) const;

  // Appends without fsync: an entry survives a crash of the process, not of the machine.
  void append(LogEntry Entry);
  // Removes all entries after Position.
  void truncateAfter(uint64_t Position);

  const TermRecord &termRecord() const { return this->AcceptedRecord; }
  // Replaces the record durably (fsync of file and directory).
  void saveTermRecord(TermRecord New);

private:
  Result<void> readLog();
  Result<void> readTermRecord();

  std::string Dir;
  int Fd = -1;
  std::vector<LogEntry> Entries;
  std::vector<uint64_t> EndOffsets; // file offset after each entry
  TermRecord AcceptedRecord;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_LOG_H
