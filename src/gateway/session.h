// A caller's session: its values, prepared statements, transaction and current statement.
#ifndef TOUCAN_GATEWAY_SESSION_H
#define TOUCAN_GATEWAY_SESSION_H

#include "gateway/rate_limits.h"
#include "gateway/router.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucan::gateway {

// The services that the gateway provides to its sessions.
class SessionHost {
public:
  virtual ~SessionHost() = default;
  // The current configuration; null before the first one is known.
  virtual const catalog::Configuration *configuration() const = 0;
  virtual ServiceRouter *router(const catalog::ServiceName &Service) = 0;
  // Sends bytes to the caller. False if its connection is gone or has failed; the host then removes
  // the session.
  virtual bool send(SessionId Id, std::string Bytes) = 0;
  // Removes the session once all bytes for its caller are sent.
  virtual void end(SessionId Id) = 0;
  // Whether the session may process its next message. If not, the host calls resume() later.
  virtual bool mayProcess(SessionId Id) const = 0;
  // Bytes that the values and prepared statements of one session may hold.
  virtual size_t maxStateBytes() const = 0;
};

struct SessionDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  SessionHost &Host;
  RequestLog &Log;
  RateLimits &Limits;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(SessionDependencies Deps, SessionId Id);

  void onBytes(std::string_view Bytes);
  // Processes messages that were held back because of SessionHost::mayProcess().
  void resume();
  // START was complete.
  bool opened() const { return this->Started || this->AwaitsConfiguration; }
  // Messages that were received completely are still to be processed or answered.
  bool hasWork() const {
    return this->Op || this->AwaitsConfiguration || this->ContinuesLater || this->HeldBack;
  }
  // A statement has been begun and is not answered.
  bool running() const { return this->Op.has_value(); }
  bool heldBack() const { return this->HeldBack; }
  uint64_t messagesTaken() const { return this->MessagesTaken; }
  // Bytes allocated for the input, the current statement, and the values and prepared statements.
  size_t inputBytes() const { return this->Input.capacity(); }
  size_t statementBytes() const;
  size_t stateBytes() const { return this->StateBytes + this->Database.capacity(); }
  // A configuration was applied. Determines the account and withdraws a statement from the queue
  // that must not run under it. Called for all sessions before anything else reacts to the
  // configuration, because the end of one session can start the statement of another.
  void updateAccount();
  // After updateAccount(): ends the session or its transaction if the account requires it, and
  // continues a session start that waits for the configuration.
  void onConfiguration();
  // Sends Error to the caller and ends the session. Cause is for the log and the counters.
  void refuse(const StatementError &Error, std::string_view Cause);
  // Ends the session: cancels the current statement, leaves the transaction and drops the input
  // that was not processed. Nothing that the caller sent after this point is run.
  void close();
  // Has no transaction, no current statement and no session start that waits.
  bool idle() const;
  bool inTransaction() const { return this->Tx.State != TxState::None; }
  // The process ends soon: answers the current statement as if it had timed out, and refuses those
  // that follow it as not run.
  void stopServing();
  // Rolls back an open transaction if no statement of it is running.
  void abortIdleTransaction(std::string_view Cause);
  SessionId id() const { return this->Id; }
  // Number of bytes received but not processed yet.
  size_t buffered() const { return this->Input.size() - this->Consumed; }

private:
  enum class TxState : uint8_t {
    None,
    Begun,  // begun by the caller, not opened at a target yet
    Open,   // opened at a target; its link is pinned
    Failed, // only commit and rollback are accepted
  };
  struct Transaction {
    TxState State = TxState::None;
    bool ReadOnly = false;
    bool Wrote = false;
    bool AtPrimary = false;  // opened read-write, which only a primary accepts
    placement::Lead By;      // AtPrimary: the primary and its term
    bool LeadProven = false; // AtPrimary: the primary had not been replaced at ProveSince
    Instant ProveSince;
    catalog::Route Route;
    TargetLink *Link = nullptr;
    TargetPool *Pool = nullptr;
    TimerId IdleTimer;
    bool AccountChanged = false; // begun under another account: must be rolled back
    bool FailureUntold = false;  // Failed, but no answer has told the caller
  };
  enum class OpKind : uint8_t { Read, Write, Commit };
  // The current statement.
  struct Operation {
    uint64_t Number = 0;
    std::string Id; // given by the caller
    Statement Stmt;
    OpKind Kind = OpKind::Read;
    AccountName Account; // of the session when the statement arrived
    catalog::Route Route;
    Instant Arrived;
    Instant AnswerDeadline;
    std::optional<RateLimits::AdmissionId> Admission; // the rate limit's answer is awaited
    bool AdmitAgain = false; // the account changed before the operation was admitted
    std::optional<placement::WaitingId> Queued;
    int AttemptsInFlight = 0; // sent to a target and not answered yet
    int Attempts = 0;         // granted a link, in total
    int Failures = 0;         // attempts that may have run and did not succeed
    bool MayHaveRun = false;  // a target may have run it without a usable answer
    bool Hedged = false;
    std::vector<TargetId> Tried;
    TargetId LastTarget;              // for logs
    std::optional<LogPosition> Floor; // log position required of LastTarget
    Instant ProveSince;               // a primary that serves it had not been replaced by then
    TimerId AnswerTimer;
    TimerId HedgeTimer;
  };

  void processMessages();
  void onMessage(CallerMessage &&Message);
  // Replaces the text of the key by its digest. The message began at offset Begin of Input.
  void dropKeyText(CallerMessage &Message, size_t Begin);
  // The account that the key identifies in Config; empty if the key is unknown and required.
  std::optional<AccountName> accountIn(const catalog::Configuration &Config) const;
  void onStart(const std::string &Database);
  void onQuery(const std::string &Id, Statement &&Stmt);
  void storeState(Statement &&Stmt);
  void discardProcessed();
  void beginTransaction(const Statement &Stmt);
  void endTransaction(const std::string &Id, Statement &&Stmt);
  void execute(const std::string &Id, Statement &&Stmt, OpKind Kind);
  std::optional<OpKind> operationKind(const Statement &Stmt) const;

  void admit();
  void enqueue();
  void onGrant(uint64_t Number, const Grant &G);
  void onReject(uint64_t Number, Rejection R);
  void sendSingle(const Grant &G);
  void openTransaction(const Grant &G);
  void onBeginAnswer(uint64_t Number, const Answer *Reply, const Grant &G, const SentRequest &Sent);
  void sendInTransaction();
  void onSingleAnswer(uint64_t Number, const Answer *Reply, const Grant &G, const SentRequest &Sent,
                      const std::optional<placement::Lead> &Confirmed);
  void finishProvenRead(Answer Reply, const Grant &G, const placement::Lead &By);
  void finishProvenTransactionRead(Answer Reply);
  void finishProvenCommit(Answer Reply, const TargetId &Leader);
  void onTransactionAnswer(uint64_t Number, const Answer *Reply, Instant SentAt);
  void retry(const TargetId &Target, std::string_view Cause);
  void onAnswerTimeout(uint64_t Number);
  void hedge(uint64_t Number);
  void appendSessionState(TargetLink &Link, const Statement &Stmt, std::vector<LinkRequest> &Out);
  TargetRequest statementRequest(const Statement &Stmt, std::optional<LogPosition> After) const;

  void finish(Answer Reply);
  void finishError(ErrorCode Code, std::string_view Text, std::string_view Cause);
  // Ends a statement that is not sent, or whose transaction is rolled back, because the session's
  // account has changed or its key was withdrawn.
  void finishOnAccountChange();
  void endWithKeyWithdrawn();
  void refuseAndClose(const StatementError &Error);
  // Ends a statement that is not sent to any further target.
  void finishNotServed(std::string_view Cause);
  void replySuccess();
  void replyError(ErrorCode Code, std::string_view Text);
  void reply(const Answer &A);
  void sendToCaller(std::string Bytes);
  void clearOperation();
  void leaveTransaction(TxState Next);
  void armIdleTimer();
  TransactionState reportedState() const;
  bool isCurrent(uint64_t Number) const { return this->Op && this->Op->Number == Number; }
  void logOutcome(std::string_view Outcome, std::string_view Cause);

  SessionDependencies Deps;
  SessionId Id;
  std::string Input;
  size_t Consumed = 0;         // bytes of Input that were processed
  bool Processing = false;     // processMessages() is running
  bool ContinuesLater = false; // processMessages() is posted to the loop
  bool Incomplete = false;     // the input is the beginning of a message
  bool HeldBack = false;       // input is left because the host does not let it be processed
  uint64_t MessagesTaken = 0;
  size_t StateBytes = 0; // of Values and Prepared
  std::string Database;
  std::optional<accounts::KeyDigest> Key; // empty if the caller gave none
  AccountName Account = defaultAccount();
  bool KeyWithdrawn = false; // the session ends as soon as the current statement is answered
  bool Started = false;
  bool AwaitsConfiguration = false;
  bool Stopping = false; // no statement is started any more
  bool Closed = false;   // the session has ended
  absl::flat_hash_map<std::string, std::string> Values;
  struct PreparedStatement {
    bool Writes = false;
    std::string Shape;
  };
  absl::flat_hash_map<std::string, PreparedStatement> Prepared;
  LogPosition OwnCommitPosition; // highest log position of the session's commits
  Transaction Tx;
  std::optional<Operation> Op;
  uint64_t NextNumber = 1;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SESSION_H
