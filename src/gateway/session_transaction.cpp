// Transactions of a session. The first statement takes a link to a target, and the end of the
// transaction releases it.
#include "gateway/session.h"
#include "gateway/session_limits.h"

#include <utility>

namespace toucan::gateway {

namespace {

// Added to the idle limit of transactions, because the caller measures idle time from the moment
// the answer reaches it.
constexpr absl::Duration IdleMargin = absl::Milliseconds(150);

} // namespace

// The transaction is opened at a target with its first statement. Until then it holds no link.
void Session::beginTransaction(const Statement &Stmt) {
  if (this->Tx.State != TxState::None) {
    this->replyError(ErrorCode::Malformed, "a transaction is open already");
    return;
  }
  const catalog::Route *R = this->Deps.Host.configuration()->route(DatabaseName(this->Database));
  if (!R) {
    this->replyError(ErrorCode::UnknownDatabase, "database is not configured");
    return;
  }
  this->Tx = {
      .State = TxState::Begun, .ReadOnly = Stmt.Kind == StatementKind::BeginRead, .Route = *R};
  this->replySuccess();
}

void Session::endTransaction(const std::string &Id, Statement &&Stmt) {
  if (this->Tx.State == TxState::None) {
    this->replyError(ErrorCode::Malformed, "no transaction is open");
    return;
  }
  if (Stmt.Kind == StatementKind::Commit && this->Tx.State != TxState::Failed) {
    this->execute(Id, std::move(Stmt), OpKind::Commit);
    return;
  }
  bool Failed = this->Tx.State == TxState::Failed;
  this->leaveTransaction(TxState::None);
  if (Failed && Stmt.Kind == StatementKind::Commit)
    this->replyError(ErrorCode::Aborted, "the transaction was rolled back");
  else
    this->replySuccess();
}

void Session::openTransaction(const Grant &G) {
  Operation &O = *this->Op;
  this->Tx.Link = G.Link;
  this->Tx.Pool = G.Pool;
  G.Link->Pinned = true;
  G.Link->OnLostWhilePinned = [Self = this->weak_from_this()] {
    auto S = Self.lock();
    if (!S || S->Tx.State != TxState::Open)
      return;
    S->Tx.Link = nullptr;
    if (!S->Op) {
      S->leaveTransaction(TxState::Failed);
      LogEvent(LogLevel::Info, "transaction_lost")
          .kv("session", S->Id.Value)
          .kv("cause", "connection_lost");
    }
  };
  SentRequest Sent{.At = this->Deps.InLoop.now(), .To = G.Pool->lead()};
  std::vector<LinkRequest> Requests;
  this->appendSessionState(*G.Link, O.Stmt, Requests);
  TargetRequest Begin{.Command = G.Floor ? TargetCommand::BeginRead : TargetCommand::Begin,
                      .RequiredPosition = G.Floor};
  Requests.push_back({.Request = std::move(Begin),
                      .OnAnswer = [Self = this->weak_from_this(), Number = O.Number, G,
                                   Sent](const Answer *Reply) {
                        auto S = Self.lock();
                        if (S && S->isCurrent(Number))
                          S->onBeginAnswer(Number, Reply, G, Sent);
                        else if (Reply)
                          G.Pool->release(*G.Link);
                      }});
  this->Tx.ProveSince = O.ProveSince;
  if (!G.Floor && O.Kind == OpKind::Read)
    this->Deps.Host.router(O.Route.Service)->prover().ask(O.ProveSince);
  G.Link->submit(std::move(Requests), O.AnswerDeadline);
}

void Session::onBeginAnswer(uint64_t Number, const Answer *Reply, const Grant &G,
                            const SentRequest &Sent) {
  (void)Number;
  Operation &O = *this->Op;
  --O.AttemptsInFlight;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  if (Reply && !Reply->Error) {
    this->Tx.AtPrimary = !G.Floor;
    if (this->Tx.AtPrimary) {
      this->Tx.By = confirmedLead(Sent, *Reply);
      Router->onPrimaryConfirmed(*G.Pool, *Reply, Sent);
    }
    this->Tx.State = TxState::Open;
    this->sendInTransaction();
    return;
  }
  this->Tx.Link = nullptr;
  this->Tx.Pool = nullptr;
  if (Reply) {
    if (Reply->Error->Code == ErrorCode::ReadOnly)
      Router->onPrimaryDenied(*G.Pool);
    G.Pool->release(*G.Link);
  }
  // No statement of the transaction has run, so it can be opened elsewhere.
  this->retry(G.Pool->entry().Id,
              Reply ? errorName(Reply->Error->Code) : std::string_view("connection_lost"));
}

void Session::sendInTransaction() {
  Operation &O = *this->Op;
  if (!this->Tx.Link) {
    this->leaveTransaction(TxState::Failed);
    this->finishError(ErrorCode::Aborted, "connection to the target lost", "connection_lost");
    return;
  }
  ++O.AttemptsInFlight;
  if (O.Kind == OpKind::Write)
    this->Tx.Wrote = true;
  std::vector<LinkRequest> Requests;
  this->appendSessionState(*this->Tx.Link, O.Stmt, Requests);
  Requests.push_back({.Request = this->statementRequest(O.Stmt, std::nullopt),
                      .OnAnswer = [Self = this->weak_from_this(), Number = O.Number,
                                   SentAt = this->Deps.InLoop.now()](const Answer *Reply) {
                        auto S = Self.lock();
                        if (S && S->isCurrent(Number))
                          S->onTransactionAnswer(Number, Reply, SentAt);
                      }});
  this->Tx.Link->submit(std::move(Requests), O.AnswerDeadline);
}

void Session::onTransactionAnswer(uint64_t Number, const Answer *Reply, Instant SentAt) {
  Instant Now = this->Deps.InLoop.now();
  Operation &O = *this->Op;
  --O.AttemptsInFlight;
  bool Commit = O.Kind == OpKind::Commit;
  TargetPool *Pool = this->Tx.Pool;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  bool OutcomeUnknown =
      !Reply || (Reply->Error && verdictOf(Reply->Error->Code) != Verdict::NotRun);
  if (Commit && this->Tx.Wrote && OutcomeUnknown && Now - SentAt >= BlockedWriteThreshold)
    Pool->onWriteTimedOut();
  if (!Reply) {
    Pool->statistics().onFailure(Now);
    bool MayBeCommitted = Commit && this->Tx.Wrote;
    this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
    this->finishError(MayBeCommitted ? ErrorCode::InDoubt : ErrorCode::Aborted,
                      "connection to the target lost", "connection_lost");
    return;
  }
  if (!Reply->Error) {
    Pool->statistics().onAnswer(Now - SentAt, Now);
    // A target that is no longer primary refuses every statement of a read-write transaction except
    // an empty commit. So any other success proves that it is primary.
    if (this->Tx.AtPrimary && Commit && this->Tx.Wrote)
      Router->onCommitAcknowledged(*Pool, *Reply, {.At = SentAt, .To = this->Tx.By});
    else if (this->Tx.AtPrimary && !Commit)
      Router->onPrimaryConfirmed(*Pool, *Reply, {.At = SentAt, .To = this->Tx.By});
    if (Commit) {
      TargetId Leader = Pool->entry().Id;
      this->leaveTransaction(TxState::None);
      if (this->Tx.Wrote) {
        this->finishProvenCommit(*Reply, Leader);
        return;
      }
    }
    if (this->Tx.AtPrimary && O.Kind == OpKind::Read && !this->Tx.LeadProven)
      this->finishProvenTransactionRead(*Reply);
    else
      this->finish(*Reply);
    return;
  }
  ErrorCode Code = Reply->Error->Code;
  if (Code == ErrorCode::ReadOnly)
    Router->onPrimaryDenied(*Pool);
  // The statement was not run and the transaction is still open, so it can be sent again.
  if (Code == ErrorCode::Busy && Reply->State == TransactionState::Open && !this->KeyWithdrawn &&
      !this->Tx.AccountChanged && Now + BusyRetryDelay < O.AnswerDeadline) {
    this->Deps.InLoop.at(Now + BusyRetryDelay, [Self = this->weak_from_this(), Number] {
      auto S = Self.lock();
      if (S && S->isCurrent(Number) && S->Op->AttemptsInFlight == 0)
        S->sendInTransaction();
    });
    return;
  }
  bool MayBeCommitted = Commit && this->Tx.Wrote && verdictOf(Code) != Verdict::NotRun;
  this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
  if (MayBeCommitted || Code == ErrorCode::Failed || Code == ErrorCode::Timeout ||
      Code == ErrorCode::Malformed)
    this->finish(*Reply);
  else
    this->finishError(ErrorCode::Aborted, "the transaction was rolled back", errorName(Code));
}

// Answers the first read of a transaction at the primary once it is known that the primary had not
// been replaced when the transaction began. Later reads of the transaction need no further proof.
void Session::finishProvenTransactionRead(Answer Reply) {
  Operation &O = *this->Op;
  Instant Deadline = std::min(O.AnswerDeadline, this->Deps.InLoop.now() + ProofTimeout);
  ++O.AttemptsInFlight; // until the proof is there
  this->Deps.Host.router(O.Route.Service)
      ->prover()
      .prove(this->Tx.By, this->Tx.ProveSince, Deadline,
             [Self = this->weak_from_this(), Number = O.Number,
              Reply = std::move(Reply)](LeadProof Result) {
               auto S = Self.lock();
               if (!S || !S->isCurrent(Number))
                 return;
               --S->Op->AttemptsInFlight;
               if (Result == LeadProof::Proven) {
                 S->Tx.LeadProven = true;
                 S->finish(Reply);
                 return;
               }
               S->leaveTransaction(TxState::Failed);
               S->finishError(ErrorCode::Aborted, "the primary was replaced, or may have been",
                              leadProofName(Result));
             });
}

// Leaves the transaction. The pool rolls it back at the target if it is still open there.
void Session::leaveTransaction(TxState Next) {
  this->Deps.InLoop.cancel(this->Tx.IdleTimer);
  TargetLink *Link = std::exchange(this->Tx.Link, nullptr);
  TargetPool *Pool = std::exchange(this->Tx.Pool, nullptr);
  this->Tx.State = Next;
  this->Tx.AccountChanged = false;
  if (Link && Pool)
    Pool->release(*Link);
}

void Session::armIdleTimer() {
  absl::Duration Limit = this->Deps.Host.configuration()->TransactionIdleLimit;
  if (this->Tx.State != TxState::Open || Limit <= absl::ZeroDuration())
    return;
  this->Deps.InLoop.cancel(this->Tx.IdleTimer);
  this->Tx.IdleTimer = this->Deps.InLoop.at(this->Deps.InLoop.now() + Limit + IdleMargin,
                                            [Self = this->weak_from_this()] {
                                              if (auto S = Self.lock())
                                                S->abortIdleTransaction("idle_limit");
                                            });
}

void Session::abortIdleTransaction(std::string_view Cause) {
  if (this->Tx.State != TxState::Open || this->Op)
    return;
  LogEvent(LogLevel::Info, "transaction_ended").kv("session", this->Id.Value).kv("cause", Cause);
  this->Deps.Counters.add("transactions_ended_idle");
  this->leaveTransaction(TxState::Failed);
}

} // namespace toucan::gateway
