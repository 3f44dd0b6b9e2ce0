// A caller's session: its values, prepared statements, transaction and the statement in progress.
#ifndef TOUCAN_GATEWAY_SESSION_H
#define TOUCAN_GATEWAY_SESSION_H

#include "gateway/router.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucan::gateway {

// What sessions need of the gateway.
class SessionHost {
public:
  virtual ~SessionHost() = default;
  // The configuration in force; null before one is known.
  virtual const catalog::Configuration *configuration() const = 0;
  virtual ServiceRouter *router(const catalog::ServiceName &Service) = 0;
  // Bytes for the caller; the host sends them.
  virtual void send(SessionId Id, std::string Bytes) = 0;
  // Ends the session once its bytes are sent.
  virtual void end(SessionId Id, std::string_view Why) = 0;
};

struct SessionDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  SessionHost &Host;
  RequestLog &Log;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(SessionDependencies Deps, SessionId Id);

  void onBytes(std::string_view Bytes);
  // The configuration became known: a waiting start goes on.
  void onConfiguration();
  // The caller is gone, or the session is ended: lets everything go.
  void close();
  // No transaction and no request outstanding.
  bool idle() const;
  bool inTransaction() const { return this->Tx.State != TxState::None; }
  // Answers the statement in progress as if its time were over.
  void expireStatement();
  // Rolls back an open transaction that has no statement in progress.
  void abortIdleTransaction(std::string_view Why);
  SessionId id() const { return this->Id; }
  // Bytes received and not handled yet.
  size_t buffered() const { return this->Input.size() - this->Consumed; }

private:
  enum class TxState : uint8_t {
    None,
    Begun,  // begun by the caller, not yet at a target
    Open,   // a link is pinned
    Failed, // only its end is accepted
  };
  struct Transaction {
    TxState State = TxState::None;
    bool ReadOnly = false;
    bool Wrote = false;
    bool AtPrimary = false; // opened as one that only a primary serves
    catalog::Route Route;
    TargetLink *Link = nullptr;
    TargetPool *Pool = nullptr;
    TimerId IdleTimer;
  };
  enum class OpKind : uint8_t { Read, Write, Commit };
  // The statement in progress.
  struct Operation {
    uint64_t Number = 0;
    std::string Id; // of the caller
    Statement Stmt;
    OpKind Kind = OpKind::Read;
    catalog::Route Route;
    Instant Arrived;
    Instant AnswerDeadline;
    std::optional<placement::WaitingId> Queued;
    int AttemptsInFlight = 0; // attempts without an answer so far
    int Attempts = 0;         // that reached a target
    int Failures = 0;         // attempts that ran or were lost
    bool MayHaveRun = false;  // of a read: a target may have run it, and its rows were not used
    bool Hedged = false;
    std::vector<TargetId> Tried;
    TargetId LastTarget;              // for logs
    std::optional<LogPosition> Floor; // asked of it
    TimerId AnswerTimer;
    TimerId HedgeTimer;
  };

  void processMessages();
  void onMessage(CallerMessage &&Message);
  void onStart(const std::string &Database);
  void onQuery(const std::string &Id, Statement &&Stmt);
  void beginTransaction(const Statement &Stmt);
  void endTransaction(const std::string &Id, Statement &&Stmt);
  void execute(const std::string &Id, Statement &&Stmt, OpKind Kind);
  std::optional<OpKind> operationKind(const Statement &Stmt) const;

  void enqueue();
  void onGrant(uint64_t Number, const Grant &G);
  void onReject(uint64_t Number, Rejection R);
  void sendSingle(const Grant &G);
  void openTransaction(const Grant &G);
  void onBeginAnswer(uint64_t Number, const Answer *Reply, const Grant &G, Instant SentAt);
  void sendInTransaction();
  void onSingleAnswer(uint64_t Number, const Answer *Reply, const Grant &G, Instant SentAt,
                      bool LeadProved);
  void onTransactionAnswer(uint64_t Number, const Answer *Reply, Instant SentAt);
  void retry(TargetPool *Pool, std::string_view Why);
  void onAnswerTimeout(uint64_t Number);
  void hedge(uint64_t Number);
  void appendSessionState(TargetLink &Link, const Statement &Stmt, std::vector<LinkRequest> &Out);
  TargetRequest statementRequest(const Statement &Stmt, std::optional<LogPosition> After) const;

  void finish(Answer Reply);
  void finishError(ErrorCode Code, std::string_view Text, std::string_view Cause);
  // Ends a statement that no target is to try any more.
  void finishNotServed(std::string_view Cause);
  void replySuccess();
  void replyError(ErrorCode Code, std::string_view Text);
  void reply(const Answer &A);
  void clearOperation();
  void leaveTransaction(TxState Next);
  void armIdleTimer();
  TransactionState reportedState() const;
  bool isCurrent(uint64_t Number) const { return this->Op && this->Op->Number == Number; }
  void logOutcome(std::string_view Outcome, std::string_view Cause);

  SessionDependencies Deps;
  SessionId Id;
  std::string Input;
  size_t Consumed = 0; // of Input, by messages handled already
  std::string Database;
  bool Started = false;
  bool AwaitsConfiguration = false;
  bool Closed = false;
  absl::flat_hash_map<std::string, std::string> Values;
  struct PreparedStatement {
    bool Writes = false;
    std::string Shape;
  };
  absl::flat_hash_map<std::string, PreparedStatement> Prepared;
  LogPosition OwnCommitPosition; // position that covers the session's own commits
  Transaction Tx;
  std::optional<Operation> Op;
  uint64_t NextNumber = 1;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SESSION_H
