// Transactions of a session: from the first statement, which takes a connection, to the end, which
// gives it back.
#include "gateway/session.h"
#include "gateway/session_limits.h"

#include <utility>

namespace toucan::gateway {

namespace {

// Added to the idle limit of transactions: the caller measures from when the answer reaches it.
constexpr absl::Duration IdleMargin = absl::Milliseconds(150);

} // namespace

// A transaction reaches a target with its first statement; until then it holds nothing.
void Session::begin(const Statement &Asked) {
  if (this->Tx.Is != TxState::None) {
    this->replyError(ErrorCode::Malformed, "a transaction is open already");
    return;
  }
  const catalog::Route *R = this->Given.Host.configuration()->route(DatabaseName(this->Database));
  if (!R) {
    this->replyError(ErrorCode::UnknownDatabase, "database is not configured");
    return;
  }
  this->Tx = {
      .Is = TxState::Begun, .ReadOnly = Asked.Kind == StatementKind::BeginRead, .Route = *R};
  this->replyOwn();
}

void Session::endTransaction(const std::string &Id, Statement &&Asked) {
  if (this->Tx.Is == TxState::None) {
    this->replyError(ErrorCode::Malformed, "no transaction is open");
    return;
  }
  if (Asked.Kind == StatementKind::Commit && this->Tx.Is != TxState::Failed) {
    this->execute(Id, std::move(Asked), OpKind::Commit);
    return;
  }
  bool Failed = this->Tx.Is == TxState::Failed;
  this->leaveTransaction(TxState::None);
  if (Failed && Asked.Kind == StatementKind::Commit)
    this->replyError(ErrorCode::Aborted, "the transaction was rolled back");
  else
    this->replyOwn();
}

void Session::openTransaction(const Grant &G) {
  Operation &O = *this->Op;
  this->Tx.Link = G.Link;
  this->Tx.Pool = G.Pool;
  G.Link->Pinned = true;
  G.Link->OnLostWhilePinned = [Self = this->weak_from_this()] {
    auto S = Self.lock();
    if (!S || S->Tx.Is != TxState::Open)
      return;
    S->Tx.Link = nullptr;
    if (!S->Op) {
      S->leaveTransaction(TxState::Failed);
      LogEvent(LogLevel::Info, "transaction_lost")
          .kv("session", S->Id.Value)
          .kv("cause", "connection_lost");
    }
  };
  Instant AskedAt = this->Given.InLoop.now();
  std::vector<LinkRequest> Requests;
  this->appendPrelude(*G.Link, O.Asked, Requests);
  TargetRequest Begin{.Command = G.Floor ? TargetCommand::BeginRead : TargetCommand::Begin,
                      .RequiredPosition = G.Floor};
  Requests.push_back({.Request = std::move(Begin),
                      .OnAnswer = [Self = this->weak_from_this(), Number = O.Number, G,
                                   AskedAt](const Answer *Reply) {
                        auto S = Self.lock();
                        if (S && S->lives(Number))
                          S->onBegun(Number, Reply, G, AskedAt);
                        else if (Reply)
                          G.Pool->release(*G.Link);
                      }});
  G.Link->submit(std::move(Requests), O.AnswerBy);
}

void Session::onBegun(uint64_t Number, const Answer *Reply, const Grant &G, Instant AskedAt) {
  (void)Number;
  Operation &O = *this->Op;
  --O.Sent;
  ServiceRouter *Router = this->Given.Host.router(O.Route.Service);
  if (Reply && !Reply->Error) {
    this->Tx.AtPrimary = !G.Floor;
    if (this->Tx.AtPrimary)
      Router->onPrimaryConfirmed(*G.Pool, *Reply, AskedAt);
    this->Tx.Is = TxState::Open;
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
  // Nothing of the transaction has run.
  this->retry(G.Pool, Reply ? errorName(Reply->Error->Code) : std::string_view("connection_lost"));
}

void Session::sendInTransaction() {
  Operation &O = *this->Op;
  if (!this->Tx.Link) {
    this->leaveTransaction(TxState::Failed);
    this->finishError(ErrorCode::Aborted, "connection to the target lost", "connection_lost");
    return;
  }
  ++O.Sent;
  if (O.Kind == OpKind::Write)
    this->Tx.Wrote = true;
  std::vector<LinkRequest> Requests;
  this->appendPrelude(*this->Tx.Link, O.Asked, Requests);
  Requests.push_back({.Request = this->statementRequest(O.Asked, std::nullopt),
                      .OnAnswer = [Self = this->weak_from_this(), Number = O.Number,
                                   AskedAt = this->Given.InLoop.now()](const Answer *Reply) {
                        auto S = Self.lock();
                        if (S && S->lives(Number))
                          S->onTransactionAnswer(Number, Reply, AskedAt);
                      }});
  this->Tx.Link->submit(std::move(Requests), O.AnswerBy);
}

void Session::onTransactionAnswer(uint64_t Number, const Answer *Reply, Instant AskedAt) {
  Instant Now = this->Given.InLoop.now();
  Operation &O = *this->Op;
  --O.Sent;
  bool Commit = O.Kind == OpKind::Commit;
  TargetPool *Pool = this->Tx.Pool;
  ServiceRouter *Router = this->Given.Host.router(O.Route.Service);
  bool Unsure = !Reply || (Reply->Error && verdictOf(Reply->Error->Code) != Verdict::NotRun);
  if (Commit && this->Tx.Wrote && Unsure && Now - AskedAt >= HeldUpWrite)
    Pool->onWriteTimedOut();
  if (!Reply) {
    Pool->record().onFailure(Now);
    bool Kept = Commit && this->Tx.Wrote;
    this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
    this->finishError(Kept ? ErrorCode::InDoubt : ErrorCode::Aborted,
                      "connection to the target lost", "connection_lost");
    return;
  }
  if (!Reply->Error) {
    Pool->record().onAnswer(Now - AskedAt, Now);
    // A target that has lost its lead refuses all of such a transaction but an empty commit.
    if (this->Tx.AtPrimary && (!Commit || this->Tx.Wrote))
      Router->onPrimaryConfirmed(*Pool, *Reply, AskedAt);
    if (Commit) {
      if (this->Tx.Wrote) {
        Pool->onWriteDone();
        if (Reply->Position)
          this->OwnCommits = std::max(this->OwnCommits, *Reply->Position);
      }
      this->leaveTransaction(TxState::None);
    }
    this->finish(*Reply);
    return;
  }
  ErrorCode Code = Reply->Error->Code;
  if (Code == ErrorCode::ReadOnly)
    Router->onPrimaryDenied(*Pool);
  // Not run, and the transaction is still open: the same statement may be sent again.
  if (Code == ErrorCode::Busy && Reply->State == TransactionState::Open &&
      Now + BusyPause < O.AnswerBy) {
    this->Given.InLoop.at(Now + BusyPause, [Self = this->weak_from_this(), Number] {
      auto S = Self.lock();
      if (S && S->lives(Number) && S->Op->Sent == 0)
        S->sendInTransaction();
    });
    return;
  }
  bool MayBeKept = Commit && this->Tx.Wrote && verdictOf(Code) != Verdict::NotRun;
  this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
  if (MayBeKept || Code == ErrorCode::Failed || Code == ErrorCode::Timeout ||
      Code == ErrorCode::Malformed)
    this->finish(*Reply);
  else
    this->finishError(ErrorCode::Aborted, "the transaction was rolled back", errorName(Code));
}

// Leaves the transaction; the pool rolls back what is open at the target.
void Session::leaveTransaction(TxState Next) {
  this->Given.InLoop.cancel(this->Tx.IdleTimer);
  TargetLink *Link = std::exchange(this->Tx.Link, nullptr);
  TargetPool *Pool = std::exchange(this->Tx.Pool, nullptr);
  this->Tx.Is = Next;
  if (Link && Pool)
    Pool->release(*Link);
}

void Session::armIdleTimer() {
  absl::Duration Limit = this->Given.Host.configuration()->TransactionIdleLimit;
  if (this->Tx.Is != TxState::Open || Limit <= absl::ZeroDuration())
    return;
  this->Given.InLoop.cancel(this->Tx.IdleTimer);
  this->Tx.IdleTimer = this->Given.InLoop.at(this->Given.InLoop.now() + Limit + IdleMargin,
                                             [Self = this->weak_from_this()] {
                                               if (auto S = Self.lock())
                                                 S->abortIdleTransaction("idle_limit");
                                             });
}

void Session::abortIdleTransaction(std::string_view Why) {
  if (this->Tx.Is != TxState::Open || this->Op)
    return;
  LogEvent(LogLevel::Info, "transaction_ended").kv("session", this->Id.Value).kv("cause", Why);
  this->Given.Counters.add("transactions_ended_idle");
  this->leaveTransaction(TxState::Failed);
}

} // namespace toucan::gateway
