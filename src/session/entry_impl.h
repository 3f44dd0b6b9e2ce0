// Caller connections: passes events to the session state machines and executes their actions.
#ifndef TOUCAN_SESSION_ENTRY_IMPL_H
#define TOUCAN_SESSION_ENTRY_IMPL_H

#include "callers/caller_budget.h"
#include "session/machine.h"
#include "session/session.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::session {

struct EntryService::Impl {
  struct Caller {
    int Fd = -1;
    std::unique_ptr<Machine> M;
    std::string WriteBuffer; // output; the first WriteOffset bytes have been written
    size_t WriteOffset = 0;
    bool ConnectionFailed = false;
    bool Closing = false; // close once WriteBuffer is written
    bool Paused = false;
    uint32_t WatchedEvents = 0; // registered EPOLL* bits
    std::optional<TimerId> Timer;
    uint64_t WrittenBytes = 0; // of answers, taken by the kernel
    callers::CallerDeadlines Deadlines{absl::InfiniteFuture()};
  };
  using EventHandler = std::function<void(Machine &M, Actions &Out)>;

  Impl(Loop &EventLoop, EntryOptions Options, member::SendFn Send, Metrics &Counters);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  Result<void> listen();
  void beginDrain(Instant Deadline);
  void onEnvelope(const InstanceId &From, const proto::Envelope &Message);
  void onCancel(uint32_t ProcessId, uint32_t SecretKey, bool Forward);

  // Passes an event to a session and executes the resulting actions.
  void handleEvent(uint32_t Session, const EventHandler &Handler);
  // Ids of all sessions; events may remove some of them.
  std::vector<uint32_t> sessions() const;
  void handleEventForAll(const EventHandler &Handler);
  // Runs a task now, or after the current actions have been executed: SendFn may deliver a reply
  // before it returns.
  void deferOrRun(std::function<void()> Task);
  void runDeferred();

  void onAcceptable();
  void addCaller(int Fd, std::string Address);
  void onSocket(uint32_t Session, uint32_t Events);
  void readCaller(uint32_t Session, Caller &C);
  void removeCaller(uint32_t Session);
  void closeListener();

  void executeActions(Caller &C, Actions &Pending);
  void executeAction(Caller &C, Action &ToExecute, Actions &Pending);
  void send(Caller &C, SendAction &Sent, Actions &Pending);
  void setTimer(Caller &C, Instant At);
  void flush(Caller &C, Actions &Pending);
  void updateWatch(Caller &C);
  MachineOptions newMachineOptions(std::string Address);

  // entry_limits.cpp: memory, time and number of callers.
  size_t maxCallers() const;
  size_t overLimitCallers() const;
  // Reports the caller's sizes to the budget.
  void account(Caller &C);
  // Whether the budget lets the caller be read and its requests be processed.
  bool isUnrestricted(uint32_t Session) const;
  // Remembers callers that the budget holds back, and resumes the caller when it no longer does.
  void updateRestriction(uint32_t Session);
  void resumeRestricted();
  void resume(const std::vector<uint32_t> &Sessions);
  // Closes callers while the budget is spent. No session may be on the stack.
  void closeHeaviest();
  void closeCaller(uint32_t Session, std::string_view Cause, Reason R);
  void checkCallers();
  void publishCallerMetrics();

  Loop &EventLoop;
  member::SendFn Send;
  Metrics &Counters;
  SharedState Common;
  uint16_t SelfHash;
  int ListenFd = -1;
  uint16_t Port = 0;
  uint32_t NextSession = 1;
  int HandlingDepth = 0; // nesting depth of handleEvent()
  bool RunningDeferred = false;
  std::deque<std::function<void()>> Deferred;
  std::vector<char> ReadBuffer;
  absl::flat_hash_map<uint32_t, std::unique_ptr<Caller>> Callers; // by session id
  absl::flat_hash_map<uint32_t, uint32_t> SessionByProcessId;     // by process id of the cancel key
  bool Interrupted = false;    // the drain deadline has interrupted a request or a transaction
  std::vector<TimerId> Timers; // for accept pauses and the drain deadline
  callers::CallerBudget Budget;
  callers::CallerTimes Times;
  size_t FullKernelBytes;                   // what a full kernel buffer of a caller takes
  absl::flat_hash_set<uint32_t> Restricted; // sessions that the budget holds back
  std::vector<uint32_t> Resuming;           // sessions that are no longer held back
  std::optional<TimerId> ResumeTimer;       // set while Resuming is not empty
  bool ClosesHeaviest = false;
  std::optional<TimerId> CheckTimer;
  Instant NextDeadlineCheck = absl::InfinitePast();
  RequestLog Lines;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_ENTRY_IMPL_H
