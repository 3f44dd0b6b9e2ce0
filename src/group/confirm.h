// Confirmation of writes by a majority, and verification that a primary is current.
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

// Which servers are known to hold which positions, and the writes that wait for a majority.
class Confirmer {
public:
  struct Ended {
    uint64_t Ticket = 0;
    ConfirmResult Result = ConfirmResult::Confirmed;
  };

  explicit Confirmer(size_t Servers, size_t (*Quorum)(size_t) = majorityOf)
      : Servers(Servers), Quorum(Quorum) {}

  void add(uint64_t Ticket, LogPosition At, Instant Deadline);
  // A row read from a server, by any call.
  void onRow(size_t Server, const Status &Row);
  // Takes out the writes that are confirmed, out of term or past their deadline.
  std::vector<Ended> takeEnded(Instant Now);
  // The lowest position that a server is not known to hold and some write waits for.
  std::optional<LogPosition> wanted(size_t Server) const;
  Instant nextDeadline() const;
  // Another set of servers: what is known of them is forgotten, the writes stay.
  void resize(size_t Count) { this->Servers.assign(Count, Known()); }
  // A majority, with the primary that reported the position, holds it in its term.
  bool holds(LogPosition At) const;

private:
  struct Known {
    LogPosition Held; // as a replica: term followed and position received in it
    Term Accepted;
  };
  struct Write {
    uint64_t Ticket = 0;
    Instant Deadline;
  };
  bool termOver(Term T) const;

  PerServer<Known> Servers;
  size_t (*Quorum)(size_t);
  std::multimap<LogPosition, Write> Waiting;
};

// Read-index: collects answers to probes that were begun after a request.
class Verifier {
public:
  struct Ended {
    uint64_t Ticket = 0;
    std::optional<LogPosition> At; // empty at the deadline
  };

  explicit Verifier(size_t Servers, size_t (*Quorum)(size_t) = majorityOf)
      : Servers(Servers), Quorum(Quorum) {}

  void add(uint64_t Ticket, Instant Deadline);
  // Numbers a probe that begins now. Requests added later need another probe.
  uint64_t beginProbe();
  void onRow(size_t Server, uint64_t Probe, const Status &Row);
  std::vector<Ended> takeEnded(Instant Now);
  // Another set of servers: answers so far are forgotten, the requests stay.
  void resize(size_t Count);
  // True when a request still lacks an answer of the server.
  bool wants(size_t Server) const;
  Instant nextDeadline() const;

private:
  // Requests that arrived between two probes share their answers.
  struct Batch {
    uint64_t After = 0; // answers to probes with a higher number count
    std::vector<std::pair<uint64_t, Instant>> Tickets;
    std::vector<std::optional<Status>> Rows;
  };
  std::optional<LogPosition> decided(const Batch &B) const;

  size_t Servers;
  size_t (*Quorum)(size_t);
  uint64_t LastProbe = 0;
  std::vector<Batch> Batches;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_CONFIRM_H
