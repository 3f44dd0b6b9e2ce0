// The callers of this instance: accepts their connections, moves bytes between these and the
// sessions, and keeps all of them within the limits on memory, number and time.
#ifndef TOUCAN_GATEWAY_CALLERS_H
#define TOUCAN_GATEWAY_CALLERS_H

#include "callers/caller_budget.h"
#include "gateway/session.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::gateway {

// The PostgreSQL path uses the same decisions.
using callers::AssumedMemoryBytes;
using callers::CallerBudget;
using callers::CallerBytes;
using callers::CallerDeadlines;
using callers::callerLimits;
using callers::CallerProgress;
using callers::CallerSocketBytes;
using callers::CallerTimes;
using callers::FullKernelBufferBytes;
using callers::MaxCallerReadBytes;
using callers::maxCallers;

struct CallerOptions {
  std::string Address;           // IP:PORT to listen on
  size_t MaxSessions = 0;        // callers beyond this are refused
  uint64_t MemoryLimitBytes = 0; // of the process; 0: not known
  CallerTimes Times;
};

struct CallerDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  SessionHost &Host; // of the sessions; calls the functions of the same names below
  RateLimits &Limits;
};

class CallerConnections {
public:
  CallerConnections(CallerDependencies Deps, CallerOptions Options);
  // Closes all connections.
  ~CallerConnections();
  CallerConnections(const CallerConnections &) = delete;
  CallerConnections &operator=(const CallerConnections &) = delete;

  // Listens and accepts callers.
  Result<void> start();
  // Lets paused callers go on, and applies the time bounds now and then. Called every few tens of
  // milliseconds.
  void tick(Instant Now);
  // The process did not run for this time. It is not counted against the callers.
  void postpone(absl::Duration Stalled);

  size_t size() const { return this->Callers.size(); }
  bool empty() const { return this->Callers.empty(); }
  std::vector<std::shared_ptr<Session>> sessions() const;
  // Closes the callers that are owed nothing. EndTransactions: rolls back idle transactions first.
  void closeIdle(bool EndTransactions);

  // See SessionHost.
  bool send(SessionId Id, std::string Bytes);
  void end(SessionId Id);
  bool mayProcess(SessionId Id) const;
  size_t maxStateBytes() const { return this->Budget.limits().CallerBytes; }

private:
  struct Caller {
    int Fd = -1;
    std::shared_ptr<Session> CallerSession;
    std::string Unsent;
    bool Ending = false;     // the session has ended; removed once Unsent is written
    bool HalfClosed = false; // the caller has ended its sending side
    bool FlushDue = false;   // flush() is scheduled to look for acknowledgements
    uint32_t WatchedEvents = 0;
    uint64_t SentBytes = 0;
    CallerDeadlines Deadlines{absl::InfiniteFuture()};
  };

  // Owes its caller nothing: no statement, transaction, input or unsent answer.
  static bool isIdle(const Caller &C);
  void acceptCallers();
  void pauseAccepting();
  void onCallerEvents(SessionId Id, uint32_t Events);
  void flush(SessionId Id);
  void updateWatch(SessionId Id, Caller &C);
  // Reports the caller's sizes to the budget, and schedules the closing of callers if it is spent.
  void account(SessionId Id, const Caller &C);
  // Writes what the socket takes. False if the connection has failed.
  bool write(SessionId Id, Caller &C);
  void flushLater(SessionId Id);
  void closeHeaviest();
  void closeCaller(SessionId Id, std::string_view Cause);
  // Ends a half-closed caller that has its answers.
  void endHalfClosed(Caller &C);
  void resumePaused();
  void checkCallers();
  void remove(SessionId Id);

  CallerDependencies Deps;
  CallerOptions Options;
  absl::flat_hash_map<SessionId, std::unique_ptr<Caller>> Callers;
  CallerBudget Budget;
  bool ClosesHeaviest = false; // closeHeaviest() is scheduled
  Instant NextCallerCheck = absl::InfinitePast();
  absl::flat_hash_set<SessionId> PausedCallers; // not read or not processed
  RequestLog Log;
  int ListenFd = -1;
  uint64_t NextSession = 1;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_CALLERS_H
