// The life of a session: takes the messages of its caller from the input, answers those that need
// no target, and sends the answers.
#include "gateway/session.h"
#include "gateway/session_limits.h"
#include "gateway/socket.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

// Allocation of one session value or prepared statement beside its texts.
constexpr size_t StateEntryBytes = 96;

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
  this->Deps.Counters.add(std::string("callers_refused_").append(Cause));
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
