// Internal state of PoolService; included only by the files that implement it.
#ifndef TOUCAN_POOL_SERVICE_H
#define TOUCAN_POOL_SERVICE_H

#include "pool/connection.h"
#include "pool/dispatch.h"
#include "pool/keyed.h"
#include "pool/outcome.h"
#include "pool/pool.h"
#include "pool/relay.h"
#include "pool/runtime.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::pool {

enum class Stage : uint8_t {
  Verifying,  // waiting for the confirmed position of the primary
  Held,       // would open a transaction on a leaving primary
  Queued,     // waiting in the dispatcher
  Running,    // assigned to a connection
  Confirming, // answer complete, connection released
};

struct DatabaseState;

struct Request {
  PoolRequestId Id;
  InstanceId From;
  uint64_t Incarnation = 0; // of the sender
  proto::ExecRequest Exec;
  DatabaseState *Database = nullptr;
  std::vector<Expected> Plan;
  Instant Arrived;
  Instant Deadline;
  Instant Started; // on the current connection
  Stage CurrentStage = Stage::Queued;
  rules::WorkClass Class = rules::WorkClass::Short; // fixed when the request is queued
  Connection *Conn = nullptr;                       // while running
  bool Sent = false;                                // the frames were passed to the connection
  std::unique_ptr<Relay> Reply;
  std::unique_ptr<KeyedRequest> Keyed; // set for a once-only request with a request id
  TargetId Target;
  bool AtPrimary = true;
  bool Abandoned = false;                // the answer is read and discarded
  bool EarlierAttemptMayHaveRun = false; // an attempt of unknown outcome is being repeated
  uint64_t Lease = 0;                    // transaction that is open after the request
  TimerId Timer;                         // deadline while running or verifying

  bool isRead() const { return this->Exec.kind() == proto::READ; }
  // A request with a recorded id returns its first outcome when it is sent again.
  bool repeatable() const {
    return this->Exec.lease() == 0 && (this->Keyed || (this->isRead() && !this->Exec.once()));
  }
  // Requests of open transactions and requests that execute nothing keep their original class,
  // because their run time does not characterize the statement.
  bool learnsWorkClass() const {
    return this->Exec.lease() == 0 && !this->Exec.class_by_rule() && executes(this->Plan);
  }
};

// A target connection pinned by an open transaction.
struct Lease {
  LeaseId Id;
  InstanceId Holder;
  uint64_t Session = 0;
  Connection *Conn = nullptr;
  char Status = 'T'; // 'T' or 'E'
  TimerId Timer;     // idle-in-transaction deadline; 0 while a request waits or runs
};

struct DatabaseState {
  DatabaseState(member::Group G, DispatchOptions Options)
      : Group(std::move(G)), Dispatch(Options) {}
  member::Group Group;
  Dispatcher Dispatch;
  RunTimeEstimator StatementRunTimes;
  std::optional<Term> CurrentTerm;
  std::optional<TargetId> Primary;
  std::vector<Connection *> Idle; // least recently used first
  LogPosition Confirmed;          // highest position that a majority is known to have
  Instant LastRequest = absl::InfinitePast();
  bool ReportedInUse = false;                // last value passed to Watcher::setInUse()
  bool PrimaryIsDraining = false;            // see GroupState
  std::optional<group::Observer> RedirectTo; // see GroupState
  // Last value passed to Watcher::setPrimaryUse().
  group::PrimaryUse ReportedUse = group::PrimaryUse::None;
  TimerId DispatchTimer;
  bool Dispatching = false;
  bool DispatchAgain = false;
};

struct PoolService::Impl : ConnectionListener {
  Impl(Loop &InLoop, PoolOptions Options, member::SendFn Send, group::Watcher &Groups,
       Metrics &Counters);
  ~Impl() override;

  // pool.cpp: messages and admission
  void onView(member::ViewPtr New);
  void onEnvelope(const InstanceId &From, proto::Envelope Message);
  void reportInUse(DatabaseState &D, bool InUse);
  bool inUse(const DatabaseState &D) const;
  void onExec(const InstanceId &From, uint64_t Incarnation, proto::ExecRequest Exec);
  Reason admissionProblem(const InstanceId &From, const proto::ExecRequest &Exec) const;
  void onCredit(const InstanceId &From, const proto::Credit &Message);
  void onCancel(const InstanceId &From, uint64_t RequestId);
  void onPeerLost(const InstanceId &Peer);
  void beginDrain(Instant Deadline);
  void endDrain();
  DatabaseState *database(const DatabaseName &Name);
  Request *find(const InstanceId &From, uint64_t RequestId);
  Request *find(PoolRequestId Id);
  void verify(Request &R);
  void onVerified(PoolRequestId Id, std::optional<LogPosition> Floor);
  bool redirectsToObserver(const DatabaseState &D) const;
  void refuseVerifying(DatabaseState &D);
  void enqueue(Request &R);
  void hold(Request &R);
  group::PrimaryUse primaryUse(const DatabaseState &D) const;
  void reportUse(DatabaseState &D);
  rules::WorkClass classOf(const Request &R);
  DispatchRequest dispatchRequestOf(const Request &R) const;
  void countRefusal(Reason Why);
  // Refuses a request that is not registered in Requests.
  void refuse(const InstanceId &To, uint64_t Incarnation, const proto::ExecRequest &Exec,
              Reason Why);
  // Ends a request with a failure instead of the target's answer.
  void fail(Request &R, Reason Why, Verdict Outcome, std::string Detail = "",
            absl::Duration RetryAfter = absl::ZeroDuration());
  void erase(Request &R);
  // Ends a request whose caller is gone, without sending a Done.
  void abandon(Request &R);
  void describeLease(uint64_t Id, const InstanceId &Holder, proto::Done &D) const;
  void maintain();

  // execute.cpp: one request on a connection
  void runDispatcher(DatabaseState &D);
  void assign(DatabaseState &D, const Action &A);
  void refuseWaiting(Request &R, Reason Why);
  void startRequest(PoolRequestId Id);
  void cancelAtTarget(Connection &C);
  std::unique_ptr<Relay> newRelay(const Request &R, LogPosition Last) const;
  // Sends the next step of a request with an id. Returns false after the last step.
  bool sendNextStep(Request &R);
  void onRequestDeadline(PoolRequestId Id);
  void onInput(Connection &C) override;
  void onIdleInput(Connection &C);
  void advance(PoolRequestId Id);
  void confirm(Request &R);
  void onConfirmed(PoolRequestId Id, LogPosition Position, group::ConfirmResult Result);
  void sendChunks(Request &R);
  void onAnswerComplete(Request &R);
  // Records the run time of a request that has ended at its target.
  void recordRunTime(const Request &R, RunEnd End);
  void finish(Request &R);
  void onConnectionEnd(Request &R, bool TermOver, bool Written, const std::string &Cause);
  void requeue(Request &R);

  // connections.cpp: connections and leases
  DatabaseState &databaseOf(const Connection &C);
  void openConnection(DatabaseState &D, const TargetId &At);
  void onOpened(Connection &C) override;
  void onLost(Connection &C, const std::string &Cause) override;
  // Makes a connection available to other requests.
  void release(Connection &C, DatabaseState &D);
  // Closes a connection; its request, if any, is failed or retried.
  void closeConnection(Connection &C, bool TermOver, const std::string &Cause);
  void removeConnection(Connection &C, DatabaseState &D, bool Failed);
  void onGroup(const group::GroupState &S);
  void pinConnection(Request &R, Connection &C);
  void startLeaseTimer(Lease &L);
  void endLease(LeaseId Id);
  void onRelease(const InstanceId &From, LeaseId Id);
  proto::TargetsReply targets() const;

  Loop &InLoop;
  PoolOptions Options;
  member::SendFn Send;
  group::Watcher &Groups;
  Metrics &Counters;
  member::ViewPtr View;
  std::map<DatabaseName, std::unique_ptr<DatabaseState>> Databases;
  absl::flat_hash_map<PoolRequestId, std::unique_ptr<Request>> Requests;
  absl::flat_hash_map<std::pair<InstanceId, uint64_t>, PoolRequestId> ByCaller;
  absl::flat_hash_map<ConnectionId, std::unique_ptr<Connection>> Connections;
  absl::flat_hash_map<LeaseId, Lease> Leases;
  // Closed connections, freed after the handlers on the call stack have returned.
  std::vector<std::unique_ptr<Connection>> Closed;
  CancelSender Cancels;
  RetryBudget Budget;
  uint64_t NextRequestId = 1;
  uint64_t NextConnection = 1;
  uint64_t NextLease;
  bool Draining = false;
  TimerId Maintenance;
  TimerId DrainTimer;
  // Expires on destruction, so that callbacks that run later do not access this object.
  std::shared_ptr<Impl *> SelfHandle;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_SERVICE_H
