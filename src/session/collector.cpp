#include "session/collector.h"

#include "absl/strings/str_format.h"

namespace toucan::session {

namespace {

using Status = FrameResult::Status;
using sql::StatementKind;

FrameResult reject(LocalError Error) {
  return {.Code = Status::Rejected, .Error = std::move(Error)};
}

FrameResult serverError(std::string SqlState, std::string Text) {
  return reject({.SqlState = std::move(SqlState), .Text = std::move(Text)});
}

FrameResult violation(std::string Detail) {
  return {.Code = Status::Violation,
          .Error = {.Refusal = Reason::ProtocolViolation, .Text = std::move(Detail)}};
}

FrameResult malformed(char Type) {
  return violation(absl::StrFormat("malformed message of type \"%c\"", Type));
}

// The SQL parser does not accept invalid UTF-8, so the statements of the text would be unknown.
FrameResult invalidEncoding() {
  return serverError("22021", "invalid byte sequence for encoding \"UTF8\"");
}

// Limits the request id, which is a row key at the target and is sent with each request.
constexpr size_t MaxRequestKeyBytes = 256;

// Extracts the request id comment of an SQL text into Out, if there is one.
FrameResult readRequestKey(const std::string &Sql, std::string &Out) {
  auto Comment = sql::findRequestId(Sql);
  if (!Comment)
    return {};
  if (Comment->Id.size() > MaxRequestKeyBytes)
    return reject(
        {.Refusal = Reason::TooLarge,
         .Text = absl::StrFormat("request id of more than %d bytes", MaxRequestKeyBytes)});
  Out = std::move(Comment->Id);
  return {};
}

} // namespace

FrameResult Collector::onFrame(const wire::Frame &F) {
  if (F.Type == 'X')
    return {.Code = Status::Terminate};
  if (this->SkippingToSync) {
    if (F.Type != 'S')
      return {};
    this->SkippingToSync = false;
    return this->finish(BatchEnd::Sync);
  }
  this->RequestStarted = true;
  switch (F.Type) {
  case 'Q':
    return this->onQuery(F);
  case 'P':
    return this->onParse(F);
  case 'B':
    return this->onBind(F);
  case 'D':
    return this->onDescribe(F);
  case 'E':
    return this->onExecute(F);
  case 'C':
    return this->onClose(F);
  case 'H':
    return this->onFlush();
  case 'S':
    return this->onSync();
  case 'd':
  case 'c':
  case 'f':
    // As at a server, copy messages outside COPY are ignored: they may arrive after COPY has
    // failed.
    this->RequestStarted = !this->Current.Frames.empty() || !this->Current.LocalReply.empty();
    return {};
  case 'F':
    return reject({.Refusal = Reason::NotSupported, .Text = "the function call message"});
  default:
    return violation(
        absl::StrFormat("unexpected message type 0x%02x", static_cast<unsigned char>(F.Type)));
  }
}

Batch Collector::take() {
  Batch Out = std::move(this->Current);
  this->Current = Batch{};
  this->RequestStarted = false;
  this->ParsedInRequest.clear();
  this->Portals.clear();
  return Out;
}

void Collector::skipToSync() {
  this->take();
  this->SkippingToSync = true;
}

size_t Collector::bytes() const {
  // A node of a map or set, with a short name.
  constexpr size_t EntryBytes = 160;
  const Batch &B = this->Current;
  return B.Frames.capacity() + B.LocalReply.capacity() + B.FactBytes +
         B.Facts.capacity() * sizeof(rules::RequestFacts) + B.Hidden.capacity() * sizeof(uint32_t) +
         (this->Portals.size() + this->ParsedInRequest.size() + B.DefinedStatements.size()) *
             EntryBytes;
}

FrameResult Collector::onQuery(const wire::Frame &F) {
  auto Sql = wire::parseQuery(F.Body);
  if (!Sql)
    return malformed(F.Type);
  if (!isUtf8(*Sql))
    return invalidEncoding();
  auto Classification = this->Classify(*Sql);
  if (Classification->Statements.empty() && !this->Current.NeedsTarget) {
    this->Current.LocalReply += wire::emptyQueryResponse();
    return this->finish(BatchEnd::Query);
  }
  Route Destination = Route::Target;
  if (FrameResult R = this->routeStatements(*Classification, Destination);
      R.Code != Status::NeedMore)
    return R;
  if (Destination == Route::Local)
    return this->queryLocal(*Classification);
  if (this->Current.RequestKey.empty())
    if (FrameResult R = readRequestKey(*Sql, this->Current.RequestKey); R.Code != Status::NeedMore)
      return R;
  this->recordStatements(*Classification);
  if (FrameResult R = this->appendTargetFrame(F.Encoded); R.Code != Status::NeedMore)
    return R;
  return this->finish(BatchEnd::Query);
}

FrameResult Collector::queryLocal(const sql::Classification &Classification) {
  for (const sql::Statement &S : Classification.Statements) {
    std::string Reply = runLocal(S, this->State, true);
    if (FrameResult R = this->appendLocalReply(Reply); R.Code != Status::NeedMore)
      return R;
  }
  return this->finish(BatchEnd::Query);
}

// Routes an SQL text. All its statements must be answered either by the session or by the target.
FrameResult Collector::routeStatements(const sql::Classification &Classification,
                                       Route &Destination) {
  bool HasLocal = false;
  bool HasTarget = false;
  bool InTransaction = this->inTransaction();
  for (const sql::Statement &S : Classification.Statements) {
    InTransaction =
        InTransaction || S.Kind == StatementKind::Begin || S.Kind == StatementKind::BeginReadOnly;
    RouteDecision Decision = routeStatement(S, this->State, InTransaction);
    if (Decision.Destination == Route::Refused)
      return reject(std::move(Decision.Error));
    (Decision.Destination == Route::Local ? HasLocal : HasTarget) = true;
  }
  if (HasLocal && HasTarget)
    return reject({.Refusal = Reason::NotSupported,
                   .Text = "session settings and other statements in one query text"});
  Destination = HasLocal ? Route::Local : Route::Target;
  return {};
}

FrameResult Collector::onParse(const wire::Frame &F) {
  auto M = wire::parseParse(F.Body);
  if (!M)
    return malformed(F.Type);
  if (!M->Statement.empty() && this->State.Statements.contains(M->Statement))
    return serverError("42P05",
                       absl::StrFormat("prepared statement \"%s\" already exists", M->Statement));
  if (!isUtf8(M->Sql))
    return invalidEncoding();
  auto Classification = this->Classify(M->Sql);
  if (Classification->Statements.size() > 1)
    return serverError("42601", "cannot insert multiple commands into a prepared statement");
  Route Destination = Route::Target;
  if (FrameResult R = this->routeStatements(*Classification, Destination);
      R.Code != Status::NeedMore)
    return R;
  // An empty text needs no target in any transaction state.
  if (Classification->Statements.empty())
    Destination = Route::Local;
  auto Statement = std::make_shared<PreparedStatement>();
  Statement->ParseFrame = std::string(F.Encoded);
  Statement->Classification = std::move(Classification);
  if (FrameResult R = readRequestKey(M->Sql, Statement->RequestKey); R.Code != Status::NeedMore)
    return R;
  return this->defineStatement(M->Statement, std::move(Statement), Destination);
}

FrameResult Collector::defineStatement(const std::string &Name, PreparedStatementPtr Statement,
                                       Route Destination) {
  size_t Replaced = 0;
  if (auto It = this->State.Statements.find(Name); It != this->State.Statements.end())
    Replaced = It->second->ParseFrame.size();
  size_t Bytes = this->State.StatementBytes - Replaced + Statement->ParseFrame.size();
  if (Bytes > this->MaxRequestBytes)
    return reject({.Refusal = Reason::TooLarge,
                   .Text = absl::StrFormat("prepared statements of the session exceed %d bytes",
                                           this->MaxRequestBytes)});
  FrameResult Out;
  if (Destination == Route::Local) {
    Out = this->appendLocalReply(wire::emptyMessage('1'));
  } else {
    // Another session may have left a statement with this name on the shared target connection.
    if (!Name.empty())
      this->appendHidden(wire::closeObject({.Kind = 'S', .Name = Name}));
    Out = this->appendTargetFrame(Statement->ParseFrame);
  }
  if (Out.Code != Status::NeedMore)
    return Out;
  this->State.StatementBytes = Bytes;
  this->State.Statements[Name] = Statement;
  if (Destination == Route::Target) {
    this->ParsedInRequest.insert(Name);
    this->Current.DefinedStatements.emplace_back(Name, std::move(Statement));
  }
  return Out;
}

// Looks up a prepared statement of the session; reports the error of a server if there is none.
FrameResult Collector::findStatement(const std::string &Name, PreparedStatementPtr &Out) {
  auto It = this->State.Statements.find(Name);
  if (It == this->State.Statements.end())
    return serverError(
        "26000", Name.empty() ? std::string("unnamed prepared statement does not exist")
                              : absl::StrFormat("prepared statement \"%s\" does not exist", Name));
  Out = It->second;
  return {};
}

FrameResult Collector::onBind(const wire::Frame &F) {
  auto M = wire::parseBind(F.Body);
  if (!M)
    return malformed(F.Type);
  PreparedStatementPtr P;
  if (FrameResult R = this->findStatement(M->Statement, P); R.Code != Status::NeedMore)
    return R;
  Route Destination = Route::Target;
  if (FrameResult R = this->routeStatements(*P->Classification, Destination);
      R.Code != Status::NeedMore)
    return R;
  if (P->Classification->Statements.empty())
    Destination = Route::Local;
  this->Portals[M->Portal] = {.Statement = P, .Local = Destination == Route::Local};
  if (Destination == Route::Local)
    return this->appendLocalReply(wire::emptyMessage('2'));
  this->ensureParsed(M->Statement, *P);
  this->Current.Executes = true;
  if (this->Current.RequestKey.empty())
    this->Current.RequestKey = P->RequestKey;
  this->recordStatements(*P->Classification);
  return this->appendTargetFrame(F.Encoded);
}

FrameResult Collector::onDescribe(const wire::Frame &F) {
  auto M = wire::parseNamedObject(F.Body);
  if (!M)
    return malformed(F.Type);
  if (M->Kind == 'P') {
    auto It = this->Portals.find(M->Name);
    if (It != this->Portals.end() && It->second.Local)
      return this->appendLocalReply(
          It->second.Statement->Classification->Statements.empty()
              ? wire::emptyMessage('n')
              : describeLocal(It->second.Statement->Classification->Statements[0], 'P'));
    return this->appendTargetFrame(F.Encoded);
  }
  PreparedStatementPtr P;
  if (FrameResult R = this->findStatement(M->Name, P); R.Code != Status::NeedMore)
    return R;
  Route Destination = Route::Target;
  if (FrameResult R = this->routeStatements(*P->Classification, Destination);
      R.Code != Status::NeedMore)
    return R;
  if (P->Classification->Statements.empty())
    return this->appendLocalReply(describeLocal({.Kind = StatementKind::Set}, 'S'));
  if (Destination == Route::Local)
    return this->appendLocalReply(describeLocal(P->Classification->Statements[0], 'S'));
  this->ensureParsed(M->Name, *P);
  return this->appendTargetFrame(F.Encoded);
}

FrameResult Collector::onExecute(const wire::Frame &F) {
  auto M = wire::parseExecute(F.Body);
  if (!M)
    return malformed(F.Type);
  auto It = this->Portals.find(M->Portal);
  if (It != this->Portals.end() && It->second.Local) {
    const auto &Statements = It->second.Statement->Classification->Statements;
    return this->appendLocalReply(Statements.empty() ? wire::emptyQueryResponse()
                                                     : runLocal(Statements[0], this->State, false));
  }
  // A portal of an earlier request exists only while its transaction is open.
  if (It == this->Portals.end() && (!this->State.Tx.open() || this->State.Tx.lost()))
    return serverError("34000", absl::StrFormat("portal \"%s\" does not exist", M->Portal));
  this->Current.Executes = true;
  return this->appendTargetFrame(F.Encoded);
}

FrameResult Collector::onClose(const wire::Frame &F) {
  auto M = wire::parseNamedObject(F.Body);
  if (!M)
    return malformed(F.Type);
  if (M->Kind == 'S') {
    auto It = this->State.Statements.find(M->Name);
    if (It != this->State.Statements.end()) {
      this->State.StatementBytes -= It->second->ParseFrame.size();
      this->State.Statements.erase(It);
    }
    this->ParsedInRequest.erase(M->Name);
  } else {
    this->Portals.erase(M->Name);
  }
  // The session stores prepared statements itself. Close goes to a target only to keep the order of
  // replies, or when the target may hold the portal.
  bool PortalOnTarget = M->Kind == 'P' && this->State.Tx.open() && !this->State.Tx.lost();
  if (this->Current.NeedsTarget || PortalOnTarget)
    return this->appendTargetFrame(F.Encoded);
  return this->appendLocalReply(wire::emptyMessage('3'));
}

FrameResult Collector::onFlush() {
  if (!this->RequestStarted || (!this->Current.NeedsTarget && this->Current.LocalReply.empty())) {
    this->RequestStarted = false;
    return {};
  }
  // The target receives a Sync instead of the Flush, and a Sync outside a transaction block
  // commits.
  if (this->Current.Executes && !this->State.Tx.open())
    return reject({.Refusal = Reason::NotSupported,
                   .Text = "Flush after Bind or Execute outside a transaction; use Sync"});
  if (this->Current.NeedsTarget)
    this->append(wire::sync());
  return this->finish(BatchEnd::Flush);
}

FrameResult Collector::onSync() {
  if (this->Current.NeedsTarget)
    this->append(wire::sync());
  return this->finish(BatchEnd::Sync);
}

FrameResult Collector::finish(BatchEnd End) {
  this->Current.End = End;
  return {.Code = Status::Complete};
}

// Appends a reply of the session. Rejected after target frames: local replies are sent first, so it
// would precede the replies of those frames.
FrameResult Collector::appendLocalReply(std::string_view Frames) {
  if (this->Current.NeedsTarget)
    return reject({.Refusal = Reason::NotSupported,
                   .Text = "a session setting after other statements in one request"});
  this->Current.LocalReply += Frames;
  return {};
}

FrameResult Collector::appendTargetFrame(std::string_view Frame) {
  if (this->Current.Frames.size() + Frame.size() > this->MaxRequestBytes)
    return reject(
        {.Refusal = Reason::TooLarge,
         .Text = absl::StrFormat("request of more than %d bytes", this->MaxRequestBytes)});
  this->append(Frame);
  return {};
}

void Collector::append(std::string_view Frame) {
  this->Current.NeedsTarget = true;
  this->Current.Frames.append(Frame);
  ++this->Current.FrameCount;
}

void Collector::appendHidden(std::string_view Frame) {
  this->Current.Hidden.push_back(this->Current.FrameCount);
  this->append(Frame);
}

// Prepares a statement on the target connection unless this request has already done so.
void Collector::ensureParsed(const std::string &Name, const PreparedStatement &P) {
  if (!this->ParsedInRequest.insert(Name).second)
    return;
  if (!Name.empty())
    this->appendHidden(wire::closeObject({.Kind = 'S', .Name = Name}));
  this->appendHidden(P.ParseFrame);
}

void Collector::recordStatements(const sql::Classification &Classification) {
  Batch &B = this->Current;
  B.TablesUnknown = B.TablesUnknown || !Classification.Parsed;
  for (const sql::Statement &S : Classification.Statements) {
    B.BeginsTransaction = B.BeginsTransaction || S.Kind == StatementKind::Begin ||
                          S.Kind == StatementKind::BeginReadOnly;
    B.EndsTransaction =
        B.EndsTransaction || S.Kind == StatementKind::Commit || S.Kind == StatementKind::Rollback;
    B.Writes = B.Writes || S.Kind == StatementKind::Write;
    B.ReadOnly = B.ReadOnly && (S.Kind == StatementKind::Read || S.Kind == StatementKind::Show);
    for (const auto &Table : S.Tables)
      B.FactBytes += sizeof(std::string) + Table.capacity();
    B.Facts.push_back({.Tables = S.Tables, .Fingerprint = Classification.Fingerprint});
  }
}

} // namespace toucan::session
