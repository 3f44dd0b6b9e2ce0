#include "gateway/session.h"
#include "gateway/session_limits.h"
#include "gateway/socket.h"

#include "absl/strings/str_cat.h"

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

// Bytes of a statement and its answer, without the framing.
size_t payloadBytes(const Statement &Stmt, const Answer &Reply) {
  size_t Bytes = Stmt.Text.size();
  for (const std::string &Row : Reply.Rows)
    Bytes += Row.size();
  return Bytes;
}

// Allocation of one session value or prepared statement beside its texts.
constexpr size_t StateEntryBytes = 96;

std::string counterName(std::string_view Prefix, std::string_view Cause) {
  return std::string(Prefix).append(Cause);
}

} // namespace

Session::Session(SessionDependencies Deps, SessionId Id) : Deps(Deps), Id(Id) {}

bool Session::idle() const {
  return !this->Op && this->Tx.State == TxState::None && !this->AwaitsConfiguration;
}

TransactionState Session::reportedState() const {
  switch (this->Tx.State) {
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
  if (this->Closed)
    return;
  this->Input.append(Bytes);
  if (this->Incomplete && !this->Deps.Protocol.mayComplete(Bytes, this->buffered()))
    return;
  this->Incomplete = false;
  this->processMessages();
}

void Session::resume() {
  if (this->HeldBack)
    this->processMessages();
}

size_t Session::statementBytes() const {
  if (!this->Op)
    return 0;
  const Statement &S = this->Op->Stmt;
  // The text and the id are copied once for the link to the target.
  return 2 * (S.Text.capacity() + this->Op->Id.capacity()) + S.Value.capacity() + S.Name.capacity();
}

void Session::updateAccount() {
  if (!this->Started || this->Closed || this->KeyWithdrawn)
    return;
  std::optional<AccountName> New = this->accountIn(*this->Deps.Host.configuration());
  if (New && *New == this->Account)
    return;
  if (New) {
    if (this->Deps.Log.allows(this->Deps.InLoop.now()))
      LogEvent(LogLevel::Info, "session_account_changed")
          .kv("session", this->Id.Value)
          .kv("former_account", this->Account.Value)
          .kv("account", New->Value);
    this->Deps.Counters.add("sessions_account_changed");
    this->Account = *New;
    this->Tx.AccountChanged = this->Tx.State == TxState::Begun || this->Tx.State == TxState::Open;
  } else {
    this->KeyWithdrawn = true;
  }
  if (!this->Op || !this->Op->Queued || !(this->KeyWithdrawn || this->Tx.AccountChanged))
    return;
  if (ServiceRouter *Router = this->Deps.Host.router(this->Op->Route.Service))
    Router->cancel(*this->Op->Queued);
  this->Op->Queued.reset();
}

void Session::onConfiguration() {
  if (this->AwaitsConfiguration) {
    this->AwaitsConfiguration = false;
    this->onStart(this->Database);
    this->processMessages();
    return;
  }
  if (this->Closed || !(this->KeyWithdrawn || this->Tx.AccountChanged))
    return;
  if (this->Op) {
    // The first statement of a transaction is sent only after the target has opened it.
    bool Sent = this->Op->AttemptsInFlight > 0 && this->Tx.State != TxState::Begun;
    if (!Sent)
      this->finishOnAccountChange();
  } else if (this->KeyWithdrawn) {
    this->endWithKeyWithdrawn();
  } else {
    this->Deps.Counters.add("transactions_ended_account_changed");
    this->leaveTransaction(TxState::Failed);
    this->Tx.FailureUntold = true;
  }
}

std::optional<AccountName> Session::accountIn(const catalog::Configuration &Config) const {
  if (const accounts::Account *Found = this->Key ? Config.Accounts.byKey(*this->Key) : nullptr)
    return Found->Name;
  // A route that is gone exempts nobody, because a transaction may still be open on it.
  const catalog::Route *R = Config.route(DatabaseName(this->Database));
  bool Required = R ? R->KeyRequired : !Config.Accounts.empty();
  return Required ? std::nullopt : std::optional(defaultAccount());
}

// Processes the messages in order. The next one waits until the current statement is answered. A
// statement that ends while this function runs, such as one that is refused at once, does not enter
// it again: the loop below goes on. After some messages other callers are served first.
void Session::processMessages() {
  if (this->KeyWithdrawn && !this->Op && !this->Closed) {
    this->endWithKeyWithdrawn();
    return;
  }
  if (this->Processing || this->ContinuesLater)
    return;
  this->Processing = true;
  this->HeldBack = false;
  int Left = MaxMessagesPerRound;
  size_t BytesLeft = MaxBytesPerRound;
  while (Left > 0 && BytesLeft > 0 && !this->Closed && !this->Op && !this->AwaitsConfiguration) {
    if (this->buffered() > 0 && !this->Deps.Host.mayProcess(this->Id)) {
      this->HeldBack = true;
      break;
    }
    size_t Before = this->Consumed;
    std::optional<CallerMessage> Message =
        this->Deps.Protocol.takeCallerMessage(this->Input, this->Consumed);
    if (!Message) {
      this->Incomplete = this->buffered() > 0;
      break;
    }
    --Left;
    this->dropKeyText(*Message, Before);
    ++this->MessagesTaken;
    BytesLeft -= std::min(BytesLeft, this->Consumed - Before);
    this->onMessage(std::move(*Message));
  }
  this->Processing = false;
  this->discardProcessed();
  if ((Left > 0 && BytesLeft > 0) || this->Closed)
    return;
  this->ContinuesLater = true;
  this->Deps.InLoop.post([Self = this->weak_from_this()] {
    if (auto S = Self.lock()) {
      S->ContinuesLater = false;
      S->processMessages();
    }
  });
}

void Session::dropKeyText(CallerMessage &Message, size_t Begin) {
  if (Message.Key.empty())
    return;
  if (!this->Started)
    this->Key = accounts::KeyDigest::of(Message.Key);
  accounts::wipe(Message.Key.data(), Message.Key.size());
  Message.Key.clear();
  accounts::wipe(this->Input.data() + Begin, this->Consumed - Begin);
}

// Moves the rest of the input to the front only if it is the smaller part, so that a caller that
// has sent many statements ahead does not cost a copy of all of them for each. An incomplete
// message is always moved: otherwise it could reach the caller's share before its end.
void Session::discardProcessed() {
  if (this->Consumed < this->buffered() && !this->Incomplete)
    return;
  this->Input.erase(0, this->Consumed);
  this->Consumed = 0;
  releaseSpareCapacity(this->Input);
}

void Session::onMessage(CallerMessage &&Message) {
  if (Message.Kind == CallerMessageKind::Terminate) {
    this->close();
    this->Deps.Host.end(this->Id);
    return;
  }
  if (Message.Kind == CallerMessageKind::TooLarge) {
    this->refuse({.Code = ErrorCode::TooLarge, .Text = "message refused"}, "message_too_large");
    return;
  }
  if (Message.Kind != (this->Started ? CallerMessageKind::Query : CallerMessageKind::Start)) {
    this->refuse({.Code = ErrorCode::Malformed, .Text = "message refused"}, "malformed_message");
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
  const catalog::Configuration *Config = this->Deps.Host.configuration();
  if (!Config) {
    this->AwaitsConfiguration = true;
    return;
  }
  if (!Config->route(DatabaseName(Name))) {
    this->refuse({.Code = ErrorCode::UnknownDatabase, .Text = "database is not configured"},
                 "unknown_database");
    return;
  }
  std::optional<AccountName> Found = this->accountIn(*Config);
  if (!Found) {
    this->refuse({.Code = ErrorCode::UnknownKey, .Text = ""}, "unknown_key");
    return;
  }
  this->Account = std::move(*Found);
  this->Started = true;
  std::string Out;
  this->Deps.Protocol.appendSessionReady(Out);
  this->sendToCaller(std::move(Out));
}

std::optional<Session::OpKind> Session::operationKind(const Statement &Stmt) const {
  if (Stmt.Kind == StatementKind::Read)
    return OpKind::Read;
  if (Stmt.Kind == StatementKind::Write)
    return OpKind::Write;
  auto It = this->Prepared.find(Stmt.Name);
  if (It == this->Prepared.end())
    return std::nullopt;
  return It->second.Writes ? OpKind::Write : OpKind::Read;
}

void Session::onQuery(const std::string &Id, Statement &&Stmt) {
  if (this->Tx.State == TxState::Failed && Stmt.Kind != StatementKind::Commit &&
      Stmt.Kind != StatementKind::Rollback) {
    if (std::exchange(this->Tx.FailureUntold, false))
      this->replyError(ErrorCode::Aborted, "the transaction was rolled back");
    else
      this->replyError(ErrorCode::Malformed, "the transaction has failed");
    return;
  }
  switch (Stmt.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    this->beginTransaction(Stmt);
    return;
  case StatementKind::Commit:
  case StatementKind::Rollback:
    this->endTransaction(Id, std::move(Stmt));
    return;
  case StatementKind::Set:
  case StatementKind::Prepare:
    this->storeState(std::move(Stmt));
    return;
  case StatementKind::Deallocate:
    if (auto It = this->Prepared.find(Stmt.Name); It != this->Prepared.end()) {
      this->StateBytes -= StateEntryBytes + It->first.size() + It->second.Shape.size();
      this->Prepared.erase(It);
      this->replySuccess();
    } else {
      this->replyError(ErrorCode::UnknownStatement, "no such prepared statement");
    }
    return;
  case StatementKind::Read:
  case StatementKind::Write:
  case StatementKind::Execute: {
    std::optional<OpKind> Kind = this->operationKind(Stmt);
    if (!Kind) {
      this->replyError(ErrorCode::UnknownStatement, "no such prepared statement");
      return;
    }
    this->execute(Id, std::move(Stmt), *Kind);
    return;
  }
  }
}

// Stores a session value or a prepared statement, unless the session would hold too much.
void Session::storeState(Statement &&Stmt) {
  bool IsValue = Stmt.Kind == StatementKind::Set;
  size_t Former = 0;
  if (auto It = this->Values.find(Stmt.Name); IsValue && It != this->Values.end())
    Former = StateEntryBytes + It->first.size() + It->second.size();
  if (auto It = this->Prepared.find(Stmt.Name); !IsValue && It != this->Prepared.end())
    Former = StateEntryBytes + It->first.size() + It->second.Shape.size();
  size_t Size = this->StateBytes - Former + StateEntryBytes + Stmt.Name.size() + Stmt.Value.size();
  if (Size > this->Deps.Host.maxStateBytes()) {
    this->Deps.Counters.add("statements_rejected_session_state");
    this->replyError(ErrorCode::TooLarge, "session values and prepared statements are too large");
    return;
  }
  this->StateBytes = Size;
  // An assignment would keep the memory of a longer former text, which is not counted any more.
  if (IsValue) {
    std::string(Stmt.Value).swap(this->Values[Stmt.Name]);
  } else {
    PreparedStatement &P = this->Prepared[Stmt.Name];
    P.Writes = Stmt.PreparedWrites;
    std::string(Stmt.Value).swap(P.Shape);
  }
  this->replySuccess();
}

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

// Appends the requests that set the session's values and prepared statement on the link.
void Session::appendSessionState(TargetLink &Link, const Statement &Stmt,
                                 std::vector<LinkRequest> &Out) {
  auto Check = [&Link](const Answer *Reply) {
    if (Reply && Reply->Error)
      Link.close("target refused the session's values or prepared statement");
  };
  bool HasExtraValues = std::any_of(Link.Values.begin(), Link.Values.end(),
                                    [&](const auto &V) { return !this->Values.contains(V.first); });
  if (HasExtraValues) {
    Out.push_back({.Request = {.Command = TargetCommand::ResetSession}, .OnAnswer = Check});
    Link.Values.clear();
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : this->Values) {
    auto [It, New] = Link.Values.try_emplace(Name, Value);
    if (!New && It->second == Value)
      continue;
    std::string(Value).swap(It->second); // see storeState
    Out.push_back({.Request = {.Command = TargetCommand::Set, .Name = Name, .Value = Value},
                   .OnAnswer = Check});
  }
  if (Stmt.Kind != StatementKind::Execute)
    return;
  const PreparedStatement &P = this->Prepared.at(Stmt.Name);
  std::string Name = this->statementRequest(Stmt, std::nullopt).Name;
  if (Link.Prepared.insert(Name).second)
    Out.push_back({.Request = {.Command = TargetCommand::Prepare,
                               .Name = Name,
                               .Value = P.Shape,
                               .PreparedWrites = P.Writes},
                   .OnAnswer = Check});
}

// Prepared statements are named by kind and shape, so that sessions with equal statements share
// them on a link.
TargetRequest Session::statementRequest(const Statement &Stmt,
                                        std::optional<LogPosition> After) const {
  TargetRequest Out{.CallerId = this->Op->Id, .Text = Stmt.Text, .RequiredPosition = After};
  if (Stmt.Kind == StatementKind::Execute) {
    const PreparedStatement &P = this->Prepared.at(Stmt.Name);
    Out.Name = absl::StrCat(P.Writes ? "w" : "r",
                            absl::Hex(absl::Hash<std::string>()(P.Shape), absl::kZeroPad16));
    Out.Text = absl::StrCat("EXEC ", Out.Name, " ", Stmt.Value);
  }
  return Out;
}

// Sends a statement outside a transaction. A read at the primary is wrapped in a read-write
// transaction: a target that knows that it is no longer primary refuses to open one, but would
// answer a plain read. The term of the transaction is compared with those of the witnesses.
void Session::sendSingle(const Grant &G) {
  Operation &O = *this->Op;
  std::vector<LinkRequest> Requests;
  this->appendSessionState(*G.Link, O.Stmt, Requests);
  auto Self = this->weak_from_this();
  uint64_t Number = O.Number;
  TargetPool *Pool = G.Pool;
  Instant SentAt = this->Deps.InLoop.now();
  bool ProvesLead = O.Kind == OpKind::Read && !G.Floor;
  SentRequest Sent{.At = SentAt, .To = Pool->lead()};
  auto Confirmed = std::make_shared<std::optional<placement::Lead>>();
  if (ProvesLead) {
    this->Deps.Host.router(O.Route.Service)->prover().ask(O.ProveSince);
    Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                        .OnAnswer = [this, Self, Pool, Sent, Confirmed,
                                     Service = O.Route.Service](const Answer *Reply) {
                          auto S = Self.lock();
                          if (!Reply || !S)
                            return;
                          ServiceRouter *Router = this->Deps.Host.router(Service);
                          if (!Reply->Error) {
                            *Confirmed = confirmedLead(Sent, *Reply);
                            Router->onPrimaryConfirmed(*Pool, *Reply, Sent);
                          } else if (Reply->Error->Code == ErrorCode::ReadOnly) {
                            Router->onPrimaryDenied(*Pool);
                          }
                        }});
  }
  Requests.push_back({.Request = this->statementRequest(O.Stmt, G.Floor),
                      .OnAnswer = [Self, Number, G, Sent, Confirmed](const Answer *Reply) {
                        if (auto S = Self.lock())
                          S->onSingleAnswer(Number, Reply, G, Sent, *Confirmed);
                      }});
  if (ProvesLead)
    Requests.push_back(
        {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  if (O.Kind == OpKind::Read && O.AttemptsInFlight == 1 && !O.Hedged) {
    absl::Duration Delay =
        placement::hedgeDelay(Pool->statistics(), placement::Distance::OtherRegion, SentAt);
    O.HedgeTimer = this->Deps.InLoop.at(SentAt + Delay, [Self, Number] {
      if (auto S = Self.lock())
        S->hedge(Number);
    });
    O.Tried.push_back(Pool->entry().Id);
  }
  G.Link->submit(std::move(Requests), O.AnswerDeadline);
}

// Sends a read whose answer is overdue to a second target. The first answer is used.
void Session::hedge(uint64_t Number) {
  if (!this->isCurrent(Number) || this->Op->AttemptsInFlight != 1 || this->Op->Queued ||
      this->Op->Hedged || this->KeyWithdrawn)
    return;
  this->Op->Hedged = true;
  this->Deps.Counters.add("reads_hedged");
  if (this->Deps.Log.allows(this->Deps.InLoop.now()))
    LogEvent(LogLevel::Info, "read_hedged")
        .kv("request", this->Op->Id)
        .kv("session", this->Id.Value)
        .kv("target", this->Op->LastTarget.Value)
        .kv("waited_ms", absl::ToInt64Milliseconds(this->Deps.InLoop.now() - this->Op->Arrived));
  this->enqueue();
}

void Session::onSingleAnswer(uint64_t Number, const Answer *Reply, const Grant &G,
                             const SentRequest &Sent,
                             const std::optional<placement::Lead> &Confirmed) {
  TargetPool *Pool = G.Pool;
  Instant Now = this->Deps.InLoop.now();
  ServiceRouter *Router = nullptr;
  if (this->isCurrent(Number))
    Router = this->Deps.Host.router(this->Op->Route.Service);
  if (Reply && !Reply->Error)
    Pool->statistics().onAnswer(Now - Sent.At, Now);
  if (!Router)
    return;
  Operation &O = *this->Op;
  --O.AttemptsInFlight;
  bool Read = O.Kind == OpKind::Read;
  bool OutcomeUnknown =
      !Reply || (Reply->Error && verdictOf(Reply->Error->Code) != Verdict::NotRun);
  if (!Read && OutcomeUnknown && Now - Sent.At >= BlockedWriteThreshold)
    Pool->onWriteTimedOut();
  if (!Reply) {
    Pool->statistics().onFailure(Now);
    ++O.Failures;
    O.MayHaveRun = true;
    if (Read)
      this->retry(Pool->entry().Id, "connection_lost");
    else
      this->finishError(ErrorCode::InDoubt, "connection to the target lost", "connection_lost");
    return;
  }
  if (Reply->Error) {
    ErrorCode Code = Reply->Error->Code;
    if (Code == ErrorCode::ReplicaBehind && G.Floor)
      Pool->statistics().onPositionRefused(*G.Floor, Now);
    if (Code == ErrorCode::ReadOnly)
      Router->onPrimaryDenied(*Pool);
    if (verdictOf(Code) != Verdict::NotRun) {
      Pool->statistics().onFailure(Now);
      ++O.Failures;
      O.MayHaveRun = true;
    }
    bool Retryable = verdictOf(Code) == Verdict::NotRun
                         ? Code != ErrorCode::Malformed && Code != ErrorCode::TooLarge
                         : Read;
    if (Retryable)
      this->retry(Pool->entry().Id, errorName(Code));
    else
      this->finish(*Reply);
    return;
  }
  if (!Read) {
    Router->onCommitAcknowledged(*Pool, *Reply, Sent);
    this->finishProvenCommit(*Reply, Pool->entry().Id);
    return;
  }
  if (G.Floor) {
    Router->onReadAnswered(*Pool, payloadBytes(O.Stmt, *Reply));
    this->finish(*Reply);
    return;
  }
  if (!Confirmed) {
    // The target refused the transaction that should have shown that it is primary, and then ran
    // the read outside of it. Its rows are not used.
    O.MayHaveRun = true;
    this->retry(Pool->entry().Id, "lead_not_proved");
    return;
  }
  this->finishProvenRead(*Reply, G, *Confirmed);
}

// Answers a read that the primary of By served, once it is known that the primary had not been
// replaced. Load pattern: a primary that is cut off with some instances and does not know that
// another one was promoted.
void Session::finishProvenRead(Answer Reply, const Grant &G, const placement::Lead &By) {
  Operation &O = *this->Op;
  ++O.AttemptsInFlight; // until the proof is there
  Instant Deadline = std::min(O.AnswerDeadline, this->Deps.InLoop.now() + ProofTimeout);
  this->Deps.Host.router(O.Route.Service)
      ->prover()
      .prove(By, O.ProveSince, Deadline,
             [Self = this->weak_from_this(), Number = O.Number, Reply = std::move(Reply),
              Target = G.Pool->entry().Id](LeadProof Result) {
               auto S = Self.lock();
               if (!S || !S->isCurrent(Number))
                 return;
               --S->Op->AttemptsInFlight;
               if (Result == LeadProof::Proven) {
                 S->finish(Reply);
                 return;
               }
               S->Op->MayHaveRun = true;
               ++S->Op->Failures;
               S->retry(Target, leadProofName(Result));
             });
}

// Answers a commit that Leader acknowledged, once it is known that no change of primary drops it.
// Load pattern: a server that joins while the primary is being replaced confirms commits to the old
// one.
void Session::finishProvenCommit(Answer Reply, const TargetId &Leader) {
  Operation &O = *this->Op;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  if (!Reply.Position) {
    this->finishError(ErrorCode::InDoubt, "the target gave no log position", "commit_unproved");
    return;
  }
  LogPosition Commit = *Reply.Position;
  this->OwnCommitPosition = std::max(this->OwnCommitPosition, Commit);
  ++O.AttemptsInFlight; // until the proof is there
  Router->commits().prove(Leader, Commit, O.AnswerDeadline,
                          [Self = this->weak_from_this(), Number = O.Number, Router, Leader, Commit,
                           Reply = std::move(Reply)](bool Proven) {
                            TargetPool *Pool = Router->pool(Leader);
                            if (Proven && Pool)
                              Pool->onWriteDone();
                            auto S = Self.lock();
                            if (!S || !S->isCurrent(Number))
                              return;
                            --S->Op->AttemptsInFlight;
                            if (!Proven) {
                              S->finishError(ErrorCode::InDoubt, "the commit may be dropped",
                                             "commit_unproved");
                              return;
                            }
                            Router->onCommitTold(Commit);
                            S->finish(Reply);
                          });
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

// A statement of a transaction that is rolled back leaves no effect, also if it ran.
void Session::finishOnAccountChange() {
  if (this->Op->Kind == OpKind::Commit)
    this->leaveTransaction(TxState::None);
  if (!this->KeyWithdrawn)
    this->finishError(ErrorCode::Aborted, "the transaction was rolled back", "account_changed");
  else if (this->Op->MayHaveRun)
    this->finishNotServed("key_withdrawn");
  else
    this->finishError(ErrorCode::UnknownKey, "", "key_withdrawn");
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

void Session::replySuccess() { this->reply({.State = this->reportedState()}); }

void Session::replyError(ErrorCode Code, std::string_view Text) {
  this->reply({.Error = StatementError{.Code = Code, .Text = std::string(Text)},
               .State = this->reportedState()});
}

void Session::reply(const Answer &A) {
  std::string Out;
  this->Deps.Protocol.appendAnswer(Out, A);
  this->sendToCaller(std::move(Out));
}

void Session::sendToCaller(std::string Bytes) {
  if (!this->Closed && !this->Deps.Host.send(this->Id, std::move(Bytes)))
    this->close();
}

void Session::refuse(const StatementError &Error, std::string_view Cause) {
  this->Deps.Counters.add(counterName("callers_refused_", Cause));
  if (this->Deps.Log.allows(this->Deps.InLoop.now())) {
    const catalog::Configuration *Config = this->Deps.Host.configuration();
    // A caller that gives its key in the place of the database must not have it logged.
    bool MayBeKey =
        Config && !Config->Accounts.empty() && !Config->route(DatabaseName(this->Database));
    LogEvent(LogLevel::Info, "caller_refused")
        .kv("session", this->Id.Value)
        .kv("database", MayBeKey ? "not_configured" : std::string_view(this->Database))
        .kv("cause", Cause)
        .kv("configuration", Config ? Config->Version.Value : 0);
  }
  this->refuseAndClose(Error);
}

void Session::refuseAndClose(const StatementError &Error) {
  std::string Out;
  this->Deps.Protocol.appendSessionRefused(Out, Error);
  this->sendToCaller(std::move(Out));
  this->close();
  this->Deps.Host.end(this->Id);
}

void Session::endWithKeyWithdrawn() {
  this->Deps.Counters.add("sessions_ended_key_withdrawn");
  if (this->Deps.Log.allows(this->Deps.InLoop.now()))
    LogEvent(LogLevel::Info, "session_ended")
        .kv("session", this->Id.Value)
        .kv("database", this->Database)
        .kv("account", this->Account.Value)
        .kv("cause", "key_withdrawn")
        .kv("configuration", this->Deps.Host.configuration()->Version.Value);
  this->refuseAndClose({.Code = ErrorCode::UnknownKey, .Text = ""});
}

void Session::close() {
  if (std::exchange(this->Closed, true))
    return;
  if (this->Op)
    this->clearOperation();
  this->leaveTransaction(TxState::None);
  this->AwaitsConfiguration = false;
  this->HeldBack = false;
  std::string().swap(this->Input);
  this->Consumed = 0;
  this->Values.clear();
  this->Prepared.clear();
  this->StateBytes = 0;
}

} // namespace toucan::gateway
