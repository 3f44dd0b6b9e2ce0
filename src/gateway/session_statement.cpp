// The current statement of a session, from its admission to its outcome. It waits for the rate
// limit and for a connection, and is sent again after a failure that allows it.
#include "gateway/session.h"
#include "gateway/session_limits.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

// Fraction of a statement's timeout within which it must be started. The rest is left for its
// answer.
constexpr double StartShare = 0.85;
// Maximum number of attempts of a read that failed or were lost. Refusals which guarantee that the
// read was not run do not count: only the timeout limits those.
constexpr int MaxReadFailures = 3;

std::string counterName(std::string_view Prefix, std::string_view Cause) {
  return std::string(Prefix).append(Cause);
}

} // namespace

void Session::execute(const std::string &Id, Statement &&Stmt, OpKind Kind) {
  catalog::Route Route;
  if (this->Tx.State == TxState::None) {
    const catalog::Route *R = this->Deps.Host.configuration()->route(DatabaseName(this->Database));
    if (!R) {
      this->replyError(ErrorCode::UnknownDatabase, "database is not configured");
      return;
    }
    Route = *R;
  } else {
    Route = this->Tx.Route;
  }
  // The loop's time is that of the start of its iteration. The caller may have sent the statement
  // after that.
  Instant Now = monotonicNow();
  this->Deps.InLoop.cancel(this->Tx.IdleTimer);
  this->Op = Operation{.Number = this->NextNumber++,
                       .Id = Id,
                       .Stmt = std::move(Stmt),
                       .Kind = Kind,
                       .Account = this->Account,
                       .Route = std::move(Route),
                       .Arrived = Now};
  if (this->Stopping) {
    bool InTransaction = this->Tx.State != TxState::None;
    if (Kind == OpKind::Commit)
      this->leaveTransaction(TxState::None);
    this->finishError(InTransaction ? ErrorCode::Aborted : ErrorCode::Busy, "not run", "shutdown");
    return;
  }
  Operation &O = *this->Op;
  O.AnswerDeadline = Now + O.Route.StatementTimeout;
  O.ProveSince = O.Route.ReadConsistency == catalog::Consistency::Primary
                     ? Now
                     : placement::oldestCovered(Now, O.Route.MaxAge);
  O.AnswerTimer =
      this->Deps.InLoop.at(O.AnswerDeadline, [Self = this->weak_from_this(), Number = O.Number] {
        if (auto S = Self.lock())
          S->onAnswerTimeout(Number);
      });
  if (this->Tx.State == TxState::Open)
    this->sendInTransaction();
  else
    this->admit();
}

// Asks once for each operation: a single statement, or the first statement of a transaction.
// Further attempts go through enqueue().
void Session::admit() {
  Operation &O = *this->Op;
  if (!this->Deps.Limits.limited(O.Account)) {
    this->enqueue();
    return;
  }
  auto OnAnswer = [Self = this->weak_from_this(), Number = O.Number](const Admission &A) {
    auto S = Self.lock();
    if (!S || !S->isCurrent(Number))
      return;
    S->Op->Admission.reset();
    if (A.Admitted)
      S->enqueue();
    else
      S->finishError(ErrorCode::Busy, refusalText(A), A.Cause);
  };
  uint64_t Number = O.Number;
  Instant StartBefore = O.Arrived + O.Route.StatementTimeout * StartShare;
  std::optional<RateLimits::AdmissionId> Waits =
      this->Deps.Limits.admit(O.Account, StartBefore, std::move(OnAnswer));
  // admit() may already have answered, which may have ended the operation.
  if (Waits && this->isCurrent(Number))
    this->Op->Admission = Waits;
}

// Requests a link from the router to a target that can serve the statement.
void Session::enqueue() {
  Operation &O = *this->Op;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  if (!Router) {
    this->finishError(ErrorCode::Busy, "service has no targets", "unknown_service");
    return;
  }
  bool ReadsOnly = this->Tx.State == TxState::None ? O.Kind == OpKind::Read : this->Tx.ReadOnly;
  ConnectionRequest W;
  W.Account = O.Account;
  if (const accounts::Account *A = this->Deps.Host.configuration()->Accounts.byName(O.Account))
    W.AccountPriority = A->Priority;
  W.Wait.Priority = O.Route.Priority;
  W.Wait.Transaction = this->Tx.State != TxState::None;
  W.Wait.Arrived = O.Arrived;
  W.Wait.ObjectiveAt = O.Arrived + O.Route.LatencyObjective;
  W.Wait.StartBefore = O.Arrived + O.Route.StatementTimeout * StartShare;
  if (ReadsOnly && O.Route.ReadConsistency != catalog::Consistency::Primary)
    W.MaxAge = O.Route.MaxAge;
  W.SessionFloor = this->OwnCommitPosition;
  W.NeedsLeadProof = O.Kind == OpKind::Read;
  W.Tried = O.Tried;
  W.Values = &this->Values;
  auto Self = this->weak_from_this();
  uint64_t Number = O.Number;
  W.OnGrant = [Self, Number](const Grant &G) {
    if (auto S = Self.lock())
      S->onGrant(Number, G);
  };
  W.OnReject = [Self, Number](Rejection R) {
    if (auto S = Self.lock())
      S->onReject(Number, R);
  };
  placement::WaitingId Id = Router->request(std::move(W));
  // request() may already have granted or rejected the work, which may have ended the operation.
  if (this->isCurrent(Number) && Router->isQueued(Id))
    this->Op->Queued = Id;
}

void Session::onReject(uint64_t Number, Rejection R) {
  if (!this->isCurrent(Number))
    return;
  this->Op->Queued.reset();
  if (this->Op->AttemptsInFlight > 0)
    return; // the second attempt was rejected, but the first one may still be answered
  this->finishNotServed(rejectionName(R));
}

void Session::onGrant(uint64_t Number, const Grant &G) {
  if (!this->isCurrent(Number))
    return;
  Operation &O = *this->Op;
  O.Queued.reset();
  ++O.AttemptsInFlight;
  ++O.Attempts;
  O.LastTarget = G.Pool->entry().Id;
  O.Floor = G.Floor;
  if (this->Tx.State == TxState::Begun)
    this->openTransaction(G);
  else
    this->sendSingle(G);
}

// Sends a statement again. It was not run, or it is a read.
void Session::retry(const TargetId &Target, std::string_view Cause) {
  Operation &O = *this->Op;
  if (O.AttemptsInFlight > 0 || O.Queued)
    return; // another attempt is in flight or queued
  if (this->KeyWithdrawn) {
    this->finishOnAccountChange();
    return;
  }
  Instant Now = this->Deps.InLoop.now();
  this->Deps.Counters.add(counterName("statements_retried_", Cause));
  LogEvent(LogLevel::Debug, "statement_retried")
      .kv("request", O.Id)
      .kv("target", Target.Value)
      .kv("cause", Cause)
      .kv("attempt", O.Attempts);
  if (O.Failures >= MaxReadFailures || Now >= O.Arrived + O.Route.StatementTimeout * StartShare) {
    this->finishNotServed(Cause);
    return;
  }
  if (std::find(O.Tried.begin(), O.Tried.end(), Target) == O.Tried.end())
    O.Tried.push_back(Target);
  if (Cause != errorName(ErrorCode::Busy)) {
    this->enqueue();
    return;
  }
  this->Deps.InLoop.at(Now + BusyRetryDelay, [Self = this->weak_from_this(), Number = O.Number] {
    auto S = Self.lock();
    if (S && S->isCurrent(Number) && S->Op->AttemptsInFlight == 0 && !S->Op->Queued)
      S->enqueue();
  });
}

// The route's statement timeout has expired.
void Session::onAnswerTimeout(uint64_t Number) {
  if (!this->isCurrent(Number))
    return;
  Operation &O = *this->Op;
  if (this->Tx.State == TxState::Open) {
    bool Commit = O.Kind == OpKind::Commit;
    bool MayBeCommitted = Commit && this->Tx.Wrote && O.AttemptsInFlight > 0;
    TargetPool *Pool = this->Tx.Pool;
    TargetLink *Link = this->Tx.Link;
    if (MayBeCommitted)
      Pool->onWriteTimedOut();
    this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
    this->finishError(MayBeCommitted ? ErrorCode::InDoubt : ErrorCode::Aborted, "no answer in time",
                      "statement_timeout");
    // Closing the link rolls the transaction back. A commit that was sent is left to finish.
    if (Link && !Commit)
      Link->close("statement timed out in an open transaction");
    return;
  }
  if (O.AttemptsInFlight == 0) {
    this->finishNotServed("started_late");
    return;
  }
  if (this->Tx.State == TxState::Begun) {
    // The target had not opened the transaction yet, so no statement of it was sent.
    this->finishError(ErrorCode::Busy, "not run", "begin_timeout");
    return;
  }
  bool Read = O.Kind == OpKind::Read;
  if (!Read) {
    ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
    bool AwaitsClaims = Router && Router->commits().awaitsSettled();
    if (TargetPool *P = Router ? Router->primary() : nullptr; P && !AwaitsClaims)
      P->onWriteTimedOut();
  }
  this->finishError(Read ? ErrorCode::Timeout : ErrorCode::InDoubt, "no answer in time",
                    "statement_timeout");
}

void Session::stopServing() {
  this->Stopping = true;
  if (this->Op)
    this->onAnswerTimeout(this->Op->Number);
}

void Session::clearOperation() {
  Operation &O = *this->Op;
  this->Deps.InLoop.cancel(O.AnswerTimer);
  this->Deps.InLoop.cancel(O.HedgeTimer);
  if (O.Admission)
    this->Deps.Limits.cancel(O.Account, *O.Admission);
  if (O.Queued)
    if (ServiceRouter *Router = this->Deps.Host.router(O.Route.Service))
      Router->cancel(*O.Queued);
  this->Op.reset();
}

void Session::finish(Answer Reply) {
  if (this->Tx.State == TxState::Open && this->Tx.AccountChanged) {
    this->finishOnAccountChange();
    return;
  }
  if (Reply.Error) {
    this->logOutcome(errorName(Reply.Error->Code), "target");
    this->Deps.Counters.add(counterName("statements_failed_", errorName(Reply.Error->Code)));
  } else {
    this->Deps.Counters.latency("statement", monotonicNow() - this->Op->Arrived);
  }
  this->clearOperation();
  Reply.State = this->reportedState();
  this->reply(Reply);
  this->armIdleTimer();
  this->processMessages();
}

void Session::finishError(ErrorCode Code, std::string_view Text, std::string_view Cause) {
  this->logOutcome(errorName(Code), Cause);
  this->Deps.Counters.add(counterName("statements_rejected_", Cause));
  // The transaction cannot continue without this statement; a refused first statement fails it too.
  if (this->Tx.State == TxState::Begun || this->Tx.State == TxState::Open)
    this->leaveTransaction(TxState::Failed);
  this->clearOperation();
  this->replyError(Code, Text);
  this->processMessages();
}

// "Not run" is answered only if no target can have run the statement.
void Session::finishNotServed(std::string_view Cause) {
  if (this->Op->MayHaveRun)
    this->finishError(ErrorCode::Failed, "the read failed at its targets", Cause);
  else
    this->finishError(ErrorCode::Busy, "not run", Cause);
}

void Session::logOutcome(std::string_view Outcome, std::string_view Cause) {
  const Operation &O = *this->Op;
  if (!this->Deps.Log.allows(this->Deps.InLoop.now()))
    return;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  TargetPool *Primary = Router ? Router->primary() : nullptr;
  std::string Target = O.LastTarget.Value;
  if (Target.empty() && this->Tx.Pool)
    Target = this->Tx.Pool->entry().Id.Value;
  LogEvent(LogLevel::Info, "statement_ended")
      .kv("request", O.Id)
      .kv("session", this->Id.Value)
      .kv("database", this->Database)
      .kv("service", O.Route.Service.Value)
      .kv("outcome", Outcome)
      .kv("cause", Cause)
      .kv("target", Target.empty() ? std::string("none") : Target)
      .kv("primary", Primary ? Primary->entry().Id.Value : std::string("none"))
      .kv("term", Router ? Router->newestTerm().Value : 0)
      .kv("floor", O.Floor ? O.Floor->Position : 0)
      .kv("configuration", this->Deps.Host.configuration()->Version.Value)
      .kv("attempts", O.Attempts)
      .kv("elapsed_ms", absl::ToInt64Milliseconds(this->Deps.InLoop.now() - O.Arrived));
}

} // namespace toucan::gateway
