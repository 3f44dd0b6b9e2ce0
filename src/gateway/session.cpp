#include "gateway/session.h"
#include "gateway/session_limits.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

// Part of a statement's timeout in which it may wait for its start; the rest is for its answer.
constexpr double StartShare = 0.85;
// Attempts of a read that failed or were lost. Refusals that promise that it was not run are
// limited by its time only.
constexpr int MaxFailures = 3;

std::string counterName(std::string_view Prefix, std::string_view Cause) {
  return std::string(Prefix).append(Cause);
}

} // namespace

Session::Session(SessionDependencies Given, SessionId Id) : Given(Given), Id(Id) {}

bool Session::restful() const {
  return !this->Op && this->Tx.Is == TxState::None && !this->AwaitsConfiguration;
}

TransactionState Session::outwardState() const {
  switch (this->Tx.Is) {
  case TxState::None:
    return TransactionState::None;
  case TxState::Begun:
  case TxState::Open:
    return TransactionState::Open;
  case TxState::Failed:
    return TransactionState::Failed;
  }
  return TransactionState::Failed;
}

void Session::onBytes(std::string_view Bytes) {
  this->In.append(Bytes);
  this->pump();
}

void Session::onConfiguration() {
  if (!this->AwaitsConfiguration)
    return;
  this->AwaitsConfiguration = false;
  this->onStart(this->Database);
  this->pump();
}

// Handles messages one at a time: the next one waits until the present statement is answered.
void Session::pump() {
  while (!this->Dropped && !this->Op && !this->AwaitsConfiguration) {
    std::optional<CallerMessage> Message =
        this->Given.Protocol.takeCallerMessage(this->In, this->Consumed);
    if (!Message)
      break;
    this->onMessage(std::move(*Message));
  }
  this->In.erase(0, this->Consumed);
  this->Consumed = 0;
}

void Session::onMessage(CallerMessage &&Message) {
  bool Expected =
      Message.Kind == (this->Started ? CallerMessageKind::Query : CallerMessageKind::Start);
  if (Message.Kind == CallerMessageKind::Terminate) {
    this->Given.Host.end(this->Id, "goodbye");
    return;
  }
  if (!Expected) {
    bool Large = Message.Kind == CallerMessageKind::TooLarge;
    std::string Out;
    this->Given.Protocol.appendSessionRefused(
        Out,
        {.Code = Large ? ErrorCode::TooLarge : ErrorCode::Malformed, .Text = "message refused"});
    LogEvent(LogLevel::Info, "caller_refused")
        .kv("session", this->Id.Value)
        .kv("cause", Large ? "message_too_large" : "malformed_message");
    this->Given.Host.send(this->Id, std::move(Out));
    this->Given.Host.end(this->Id, "malformed message");
    return;
  }
  if (this->Started)
    Message.Parsed ? this->onQuery(Message.Id, std::move(*Message.Parsed))
                   : this->replyError(ErrorCode::Malformed, "unknown statement");
  else
    this->onStart(Message.Database);
}

void Session::onStart(const std::string &Name) {
  this->Database = Name;
  const catalog::Configuration *Config = this->Given.Host.configuration();
  if (!Config) {
    this->AwaitsConfiguration = true;
    return;
  }
  std::string Out;
  if (!Config->route(DatabaseName(Name))) {
    LogEvent(LogLevel::Info, "caller_refused")
        .kv("session", this->Id.Value)
        .kv("database", Name)
        .kv("cause", "unknown_database")
        .kv("version", Config->Version.Value);
    this->Given.Protocol.appendSessionRefused(
        Out, {.Code = ErrorCode::UnknownDatabase, .Text = "database is not configured"});
    this->Given.Host.send(this->Id, std::move(Out));
    this->Given.Host.end(this->Id, "unknown database");
    return;
  }
  this->Started = true;
  this->Given.Protocol.appendSessionReady(Out);
  this->Given.Host.send(this->Id, std::move(Out));
}

std::optional<Session::OpKind> Session::kindOf(const Statement &Asked) const {
  if (Asked.Kind == StatementKind::Read)
    return OpKind::Read;
  if (Asked.Kind == StatementKind::Write)
    return OpKind::Write;
  auto It = this->Prepared.find(Asked.Name);
  if (It == this->Prepared.end())
    return std::nullopt;
  return It->second.Writes ? OpKind::Write : OpKind::Read;
}

void Session::onQuery(const std::string &Id, Statement &&Asked) {
  if (this->Tx.Is == TxState::Failed && Asked.Kind != StatementKind::Commit &&
      Asked.Kind != StatementKind::Rollback) {
    this->replyError(ErrorCode::Malformed, "the transaction has failed");
    return;
  }
  switch (Asked.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    this->begin(Asked);
    return;
  case StatementKind::Commit:
  case StatementKind::Rollback:
    this->endTransaction(Id, std::move(Asked));
    return;
  case StatementKind::Set:
    this->Values[Asked.Name] = Asked.Value;
    this->replyOwn();
    return;
  case StatementKind::Prepare:
    this->Prepared[Asked.Name] = {.Writes = Asked.PreparedWrites, .Shape = Asked.Value};
    this->replyOwn();
    return;
  case StatementKind::Deallocate:
    if (this->Prepared.erase(Asked.Name) > 0)
      this->replyOwn();
    else
      this->replyError(ErrorCode::UnknownStatement, "no such prepared statement");
    return;
  case StatementKind::Read:
  case StatementKind::Write:
  case StatementKind::Execute: {
    std::optional<OpKind> Kind = this->kindOf(Asked);
    if (!Kind) {
      this->replyError(ErrorCode::UnknownStatement, "no such prepared statement");
      return;
    }
    this->execute(Id, std::move(Asked), *Kind);
    return;
  }
  }
}

void Session::execute(const std::string &Id, Statement &&Asked, OpKind Kind) {
  catalog::Route Route;
  if (this->Tx.Is == TxState::None) {
    const catalog::Route *R = this->Given.Host.configuration()->route(DatabaseName(this->Database));
    if (!R) {
      this->replyError(ErrorCode::UnknownDatabase, "database is not configured");
      return;
    }
    Route = *R;
  } else {
    Route = this->Tx.Route;
  }
  // The loop's time is that of the round's start; bytes may have been sent after it.
  Instant Now = monotonicNow();
  this->Given.InLoop.cancel(this->Tx.IdleTimer);
  this->Op = Operation{.Number = this->NextNumber++,
                       .Id = Id,
                       .Asked = std::move(Asked),
                       .Kind = Kind,
                       .Route = std::move(Route),
                       .Arrived = Now};
  Operation &O = *this->Op;
  O.AnswerBy = Now + O.Route.StatementTimeout;
  O.AnswerTimer =
      this->Given.InLoop.at(O.AnswerBy, [Self = this->weak_from_this(), Number = O.Number] {
        if (auto S = Self.lock())
          S->onAnswerTimeout(Number);
      });
  if (this->Tx.Is == TxState::Open)
    this->sendInTransaction();
  else
    this->enqueue();
}

// Asks the router for a link to a target that may serve the statement.
void Session::enqueue() {
  Operation &O = *this->Op;
  ServiceRouter *Router = this->Given.Host.router(O.Route.Service);
  if (!Router) {
    this->finishError(ErrorCode::Busy, "service has no targets", "unknown_service");
    return;
  }
  bool ReadsOnly = this->Tx.Is == TxState::None ? O.Kind == OpKind::Read : this->Tx.ReadOnly;
  ConnectionRequest W;
  W.Wait.Priority = O.Route.Priority;
  W.Wait.Transaction = this->Tx.Is != TxState::None;
  W.Wait.Arrived = O.Arrived;
  W.Wait.ObjectiveAt = O.Arrived + O.Route.LatencyObjective;
  W.Wait.StartBefore = O.Arrived + O.Route.StatementTimeout * StartShare;
  if (ReadsOnly && O.Route.ReadConsistency != catalog::Consistency::Primary)
    W.MaxAge = O.Route.MaxAge;
  W.SessionFloor = this->OwnCommits;
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
  // The grant or rejection may have come, and ended the operation, inside the call.
  if (this->lives(Number) && Router->isQueued(Id))
    this->Op->Queued = Id;
}

void Session::onReject(uint64_t Number, Rejection R) {
  if (!this->lives(Number))
    return;
  this->Op->Queued.reset();
  if (this->Op->Sent > 0)
    return; // a second attempt was rejected, the first one may still be answered
  this->finishUnserved(rejectionName(R));
}

void Session::onGrant(uint64_t Number, const Grant &G) {
  if (!this->lives(Number))
    return;
  Operation &O = *this->Op;
  O.Queued.reset();
  ++O.Sent;
  ++O.Attempts;
  O.LastTarget = G.Pool->entry().Id;
  O.Floor = G.Floor;
  if (this->Tx.Is == TxState::Begun)
    this->openTransaction(G);
  else
    this->sendSingle(G);
}

// Brings the link to the session's values and prepared statements.
void Session::appendPrelude(TargetLink &Link, const Statement &Asked,
                            std::vector<LinkRequest> &Out) {
  auto Check = [&Link](const Answer *Reply) {
    if (Reply && Reply->Error)
      Link.close("session state refused");
  };
  bool Foreign = std::any_of(Link.Values.begin(), Link.Values.end(),
                             [&](const auto &V) { return !this->Values.contains(V.first); });
  if (Foreign) {
    Out.push_back({.Request = {.Command = TargetCommand::ResetSession}, .OnAnswer = Check});
    Link.Values.clear();
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : this->Values) {
    auto [It, New] = Link.Values.try_emplace(Name, Value);
    if (!New && It->second == Value)
      continue;
    It->second = Value;
    Out.push_back({.Request = {.Command = TargetCommand::Set, .Name = Name, .Value = Value},
                   .OnAnswer = Check});
  }
  if (Asked.Kind != StatementKind::Execute)
    return;
  const PreparedStatement &P = this->Prepared.at(Asked.Name);
  std::string Name = this->statementRequest(Asked, std::nullopt).Name;
  if (Link.Prepared.insert(Name).second)
    Out.push_back({.Request = {.Command = TargetCommand::Prepare,
                               .Name = Name,
                               .Value = P.Shape,
                               .PreparedWrites = P.Writes},
                   .OnAnswer = Check});
}

// Prepared statements get a name by kind and shape, so that sessions with the same ones share them.
TargetRequest Session::statementRequest(const Statement &Asked,
                                        std::optional<LogPosition> After) const {
  TargetRequest Out{.CallerId = this->Op->Id, .Text = Asked.Text, .RequiredPosition = After};
  if (Asked.Kind == StatementKind::Execute) {
    const PreparedStatement &P = this->Prepared.at(Asked.Name);
    Out.Name = absl::StrCat(P.Writes ? "w" : "r",
                            absl::Hex(absl::Hash<std::string>()(P.Shape), absl::kZeroPad16));
    Out.Text = absl::StrCat("EXEC ", Out.Name, " ", Asked.Value);
  }
  return Out;
}

// A single statement. A read at a primary goes inside a transaction of its own: a target that has
// lost its lead refuses to open one, but would answer a plain read.
void Session::sendSingle(const Grant &G) {
  Operation &O = *this->Op;
  std::vector<LinkRequest> Requests;
  this->appendPrelude(*G.Link, O.Asked, Requests);
  auto Self = this->weak_from_this();
  uint64_t Number = O.Number;
  TargetPool *Pool = G.Pool;
  Instant AskedAt = this->Given.InLoop.now();
  bool ProvesLead = O.Kind == OpKind::Read && !G.Floor;
  auto Lead = std::make_shared<bool>(!ProvesLead);
  if (ProvesLead)
    Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                        .OnAnswer = [this, Self, Pool, AskedAt, Lead,
                                     Service = O.Route.Service](const Answer *Reply) {
                          auto S = Self.lock();
                          if (!Reply || !S)
                            return;
                          ServiceRouter *Router = this->Given.Host.router(Service);
                          if (!Reply->Error) {
                            *Lead = true;
                            Router->onPrimaryConfirmed(*Pool, *Reply, AskedAt);
                          } else if (Reply->Error->Code == ErrorCode::ReadOnly) {
                            Router->onPrimaryDenied(*Pool);
                          }
                        }});
  Requests.push_back({.Request = this->statementRequest(O.Asked, G.Floor),
                      .OnAnswer = [Self, Number, G, AskedAt, Lead](const Answer *Reply) {
                        if (auto S = Self.lock())
                          S->onSingleAnswer(Number, Reply, G, AskedAt, *Lead);
                      }});
  if (ProvesLead)
    Requests.push_back(
        {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  if (O.Kind == OpKind::Read && O.Sent == 1 && !O.Hedged) {
    absl::Duration Delay =
        placement::hedgeDelay(Pool->record(), placement::Distance::OtherRegion, AskedAt);
    O.HedgeTimer = this->Given.InLoop.at(AskedAt + Delay, [Self, Number] {
      if (auto S = Self.lock())
        S->hedge(Number);
    });
    O.Tried.push_back(Pool->entry().Id);
  }
  G.Link->submit(std::move(Requests), O.AnswerBy);
}

// Sends a read whose answer is overdue to a second target; the first answer counts.
void Session::hedge(uint64_t Number) {
  if (!this->lives(Number) || this->Op->Sent != 1 || this->Op->Queued || this->Op->Hedged)
    return;
  this->Op->Hedged = true;
  this->Given.Counters.add("reads_hedged");
  if (this->Given.Lines.allows(this->Given.InLoop.now()))
    LogEvent(LogLevel::Info, "read_hedged")
        .kv("request", this->Op->Id)
        .kv("session", this->Id.Value)
        .kv("target", this->Op->LastTarget.Value)
        .kv("waited_ms", absl::ToInt64Milliseconds(this->Given.InLoop.now() - this->Op->Arrived));
  this->enqueue();
}

void Session::onSingleAnswer(uint64_t Number, const Answer *Reply, const Grant &G, Instant AskedAt,
                             bool LeadProved) {
  TargetPool *Pool = G.Pool;
  Instant Now = this->Given.InLoop.now();
  ServiceRouter *Router = nullptr;
  if (this->lives(Number))
    Router = this->Given.Host.router(this->Op->Route.Service);
  if (Reply && !Reply->Error)
    Pool->record().onAnswer(Now - AskedAt, Now);
  if (!Router)
    return;
  Operation &O = *this->Op;
  --O.Sent;
  bool Read = O.Kind == OpKind::Read;
  bool Unsure = !Reply || (Reply->Error && verdictOf(Reply->Error->Code) != Verdict::NotRun);
  if (!Read && Unsure && Now - AskedAt >= HeldUpWrite)
    Pool->onWriteTimedOut();
  if (!Reply) {
    Pool->record().onFailure(Now);
    ++O.Failures;
    O.MayHaveRun = true;
    if (Read)
      this->retry(Pool, "connection_lost");
    else
      this->finishError(ErrorCode::InDoubt, "connection to the target lost", "connection_lost");
    return;
  }
  if (Reply->Error) {
    ErrorCode Code = Reply->Error->Code;
    if (Code == ErrorCode::ReplicaBehind && G.Floor)
      Pool->record().onPositionRefused(*G.Floor, Now);
    if (Code == ErrorCode::ReadOnly)
      Router->onPrimaryDenied(*Pool);
    if (verdictOf(Code) != Verdict::NotRun) {
      Pool->record().onFailure(Now);
      ++O.Failures;
      O.MayHaveRun = true;
    }
    bool Repeat = verdictOf(Code) == Verdict::NotRun
                      ? Code != ErrorCode::Malformed && Code != ErrorCode::TooLarge
                      : Read;
    if (Repeat)
      this->retry(Pool, errorName(Code));
    else
      this->finish(*Reply);
    return;
  }
  if (!LeadProved) {
    // The read ran outside the transaction that should have proved the lead.
    O.MayHaveRun = true;
    this->retry(Pool, "lead_not_proved");
    return;
  }
  if (!Read) {
    Pool->onWriteDone();
    Router->onPrimaryConfirmed(*Pool, *Reply, AskedAt);
    if (Reply->Position)
      this->OwnCommits = std::max(this->OwnCommits, *Reply->Position);
  }
  this->finish(*Reply);
}

// Sends a statement again that was not run or that only reads.
void Session::retry(TargetPool *Pool, std::string_view Why) {
  Operation &O = *this->Op;
  if (O.Sent > 0 || O.Queued)
    return; // another attempt is under way
  Instant Now = this->Given.InLoop.now();
  this->Given.Counters.add(counterName("statements_retried_", Why));
  LogEvent(LogLevel::Debug, "statement_retried")
      .kv("request", O.Id)
      .kv("target", Pool->entry().Id.Value)
      .kv("cause", Why)
      .kv("attempt", O.Attempts);
  if (O.Failures >= MaxFailures || Now >= O.Arrived + O.Route.StatementTimeout * StartShare) {
    this->finishUnserved(Why);
    return;
  }
  if (std::find(O.Tried.begin(), O.Tried.end(), Pool->entry().Id) == O.Tried.end())
    O.Tried.push_back(Pool->entry().Id);
  if (Why != errorName(ErrorCode::Busy)) {
    this->enqueue();
    return;
  }
  this->Given.InLoop.at(Now + BusyPause, [Self = this->weak_from_this(), Number = O.Number] {
    auto S = Self.lock();
    if (S && S->lives(Number) && S->Op->Sent == 0 && !S->Op->Queued)
      S->enqueue();
  });
}

// The route's time for the statement is over.
void Session::onAnswerTimeout(uint64_t Number) {
  if (!this->lives(Number))
    return;
  Operation &O = *this->Op;
  if (this->Tx.Is == TxState::Open) {
    bool Commit = O.Kind == OpKind::Commit;
    bool Kept = Commit && this->Tx.Wrote && O.Sent > 0;
    TargetPool *Pool = this->Tx.Pool;
    TargetLink *Link = this->Tx.Link;
    if (Kept)
      Pool->onWriteTimedOut();
    this->leaveTransaction(Commit ? TxState::None : TxState::Failed);
    this->finishError(Kept ? ErrorCode::InDoubt : ErrorCode::Aborted, "no answer in time",
                      "statement_timeout");
    // Closing rolls back; a commit that was sent is left to finish.
    if (Link && !Commit)
      Link->close("statement timed out in a transaction");
    return;
  }
  if (O.Sent == 0) {
    this->finishUnserved("started_late");
    return;
  }
  if (this->Tx.Is == TxState::Begun) {
    // The transaction was being opened; no statement of it was sent.
    this->finishError(ErrorCode::Busy, "not run", "begin_timeout");
    return;
  }
  bool Read = O.Kind == OpKind::Read;
  if (!Read) {
    ServiceRouter *Router = this->Given.Host.router(O.Route.Service);
    if (TargetPool *P = Router ? Router->primary() : nullptr)
      P->onWriteTimedOut();
  }
  this->finishError(Read ? ErrorCode::Timeout : ErrorCode::InDoubt, "no answer in time",
                    "statement_timeout");
}

void Session::expireStatement() {
  if (this->Op)
    this->onAnswerTimeout(this->Op->Number);
}

void Session::clearOperation() {
  Operation &O = *this->Op;
  this->Given.InLoop.cancel(O.AnswerTimer);
  this->Given.InLoop.cancel(O.HedgeTimer);
  if (O.Queued)
    if (ServiceRouter *Router = this->Given.Host.router(O.Route.Service))
      Router->cancel(*O.Queued);
  this->Op.reset();
}

void Session::finish(Answer Reply) {
  if (Reply.Error) {
    this->logOutcome(errorName(Reply.Error->Code), "target");
    this->Given.Counters.add(counterName("statements_failed_", errorName(Reply.Error->Code)));
  } else {
    this->Given.Counters.latency("statement", monotonicNow() - this->Op->Arrived);
  }
  this->clearOperation();
  Reply.State = this->outwardState();
  this->reply(Reply);
  this->armIdleTimer();
  this->pump();
}

void Session::finishError(ErrorCode Code, std::string_view Text, std::string_view Cause) {
  this->logOutcome(errorName(Code), Cause);
  this->Given.Counters.add(counterName("statements_rejected_", Cause));
  // A refused first statement leaves nothing of its transaction.
  if (this->Tx.Is == TxState::Begun || this->Tx.Is == TxState::Open)
    this->leaveTransaction(TxState::Failed);
  this->clearOperation();
  this->replyError(Code, Text);
  this->pump();
}

// Only a statement that no target has run is refused as not run.
void Session::finishUnserved(std::string_view Cause) {
  if (this->Op->MayHaveRun)
    this->finishError(ErrorCode::Failed, "the read failed at its targets", Cause);
  else
    this->finishError(ErrorCode::Busy, "not run", Cause);
}

void Session::logOutcome(std::string_view Outcome, std::string_view Cause) {
  const Operation &O = *this->Op;
  if (!this->Given.Lines.allows(this->Given.InLoop.now()))
    return;
  ServiceRouter *Router = this->Given.Host.router(O.Route.Service);
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
      .kv("configuration", this->Given.Host.configuration()->Version.Value)
      .kv("attempts", O.Attempts)
      .kv("elapsed_ms", absl::ToInt64Milliseconds(this->Given.InLoop.now() - O.Arrived));
}

void Session::replyOwn() { this->reply({.State = this->outwardState()}); }

void Session::replyError(ErrorCode Code, std::string_view Text) {
  this->reply({.Error = StatementError{.Code = Code, .Text = std::string(Text)},
               .State = this->outwardState()});
}

void Session::reply(const Answer &A) {
  if (this->Dropped)
    return;
  std::string Out;
  this->Given.Protocol.appendAnswer(Out, A);
  this->Given.Host.send(this->Id, std::move(Out));
}

void Session::drop() {
  if (std::exchange(this->Dropped, true))
    return;
  if (this->Op)
    this->clearOperation();
  this->leaveTransaction(TxState::None);
}

} // namespace toucan::gateway
