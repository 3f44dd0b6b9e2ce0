// Confirms that a majority has a write, and verifies that the term of a primary is current.
#ifndef TOUCAN_GROUP_CONFIRM_H
#define TOUCAN_GROUP_CONFIRM_H

#include "group/attempt.h"
#include "group/status.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace toucan::group {

// Tracks the log position that each server has, and the writes that wait for a majority to have
// theirs.
class Confirmer {
public:
  struct Completion {
    uint64_t Ticket = 0;
    ConfirmResult Result = ConfirmResult::Confirmed;
  };

  explicit Confirmer(size_t Servers, size_t (*Quorum)(size_t) = majorityOf)
      : Servers(Servers), Quorum(Quorum) {}

  void add(uint64_t Ticket, LogPosition At, Instant Deadline);
  // Takes in the row that any call to a server returned.
  void onRow(size_t Server, const Status &Row);
  // Removes and returns the writes that are confirmed, whose term has ended or whose deadline has
  // passed.
  std::vector<Completion> takeCompleted(Instant Now);
  // Returns the lowest position that a write waits for and that the server is not known to have.
  std::optional<LogPosition> lowestUnconfirmed(size_t Server) const;
  Instant nextDeadline() const;
  // Starts over with another set of servers. Known positions are dropped, waiting writes are kept.
  void resize(size_t Count) { this->Servers.assign(Count, ServerProgress()); }
  // Returns whether a majority, including the primary that reported the position, has it in its
  // term.
  bool majorityHolds(LogPosition At) const;

private:
  struct ServerProgress {
    // Term that the server follows as a replica, and last position that it received in this term.
    LogPosition HeldPosition;
    Term Accepted;
  };
  struct Write {
    uint64_t Ticket = 0;
    Instant Deadline;
  };
  bool majorityLeftTerm(Term T) const;

  PerServer<ServerProgress> Servers;
  size_t (*Quorum)(size_t);
  std::multimap<LogPosition, Write> WaitingWrites;
};

// Implements a read index as in Raft. A request ends when a majority has confirmed the primary's
// term in answers to probes that began after the request.
class Verifier {
public:
  struct Completion {
    uint64_t Ticket = 0;
    std::optional<LogPosition> At; // empty when the deadline passed
  };

  explicit Verifier(size_t Servers, size_t (*Quorum)(size_t) = majorityOf)
      : Servers(Servers), Quorum(Quorum) {}

  void add(uint64_t Ticket, Instant Deadline);
  // Returns the number of a probe that begins now. Requests that are added later need another
  // probe.
  uint64_t beginProbe();
  void onRow(size_t Server, uint64_t Probe, const Status &Row);
  std::vector<Completion> takeCompleted(Instant Now);
  // Starts over with another set of servers. Answers are dropped, requests are kept.
  void resize(size_t Count);
  // Returns whether a request still needs an answer of the server.
  bool needsAnswerFrom(size_t Server) const;
  Instant nextDeadline() const;

private:
  // Requests that arrived between the same two probes. They share the answers.
  struct Batch {
    uint64_t LastEarlierProbe = 0; // only answers to probes with a higher number count
    std::vector<std::pair<uint64_t, Instant>> Tickets;
    std::vector<std::optional<Status>> Rows;
  };
  std::optional<LogPosition> verifiedPosition(const Batch &B) const;

  size_t Servers;
  size_t (*Quorum)(size_t);
  uint64_t LastProbe = 0;
  std::vector<Batch> Batches;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_CONFIRM_H
