#include "session/collector.h"

#include "absl/strings/str_format.h"

namespace toucan::session {

namespace {

using Next = Collected::Next;
using sql::Kind;

Collected fail(LocalError Error) { return {.Is = Next::Fail, .Error = std::move(Error)}; }

Collected serverError(std::string SqlState, std::string Text) {
  return fail({.SqlState = std::move(SqlState), .Text = std::move(Text)});
}

Collected violation(std::string Detail) {
  return {.Is = Next::Violation,
          .Error = {.Of = Reason::ProtocolViolation, .Text = std::move(Detail)}};
}

Collected malformed(char Type) {
  return violation(absl::StrFormat("malformed message of type \"%c\"", Type));
}

// The parser does not read such a text, so its statements would not be known.
Collected invalidEncoding() {
  return serverError("22021", "invalid byte sequence for encoding \"UTF8\"");
}

// The id is the key of a row at the target and is sent with each request.
constexpr size_t MaxRequestKeyBytes = 256;

// Reads the request id comment of a text into Out.
Collected readRequestKey(const std::string &Sql, std::string &Out) {
  auto Comment = sql::findRequestId(Sql);
  if (!Comment)
    return {};
  if (Comment->Id.size() > MaxRequestKeyBytes)
    return fail({.Of = Reason::TooLarge,
                 .Text = absl::StrFormat("request id of more than %d bytes", MaxRequestKeyBytes)});
  Out = std::move(Comment->Id);
  return {};
}

} // namespace

Collected Collector::onFrame(const wire::Frame &F) {
  if (F.Type == 'X')
    return {.Is = Next::Terminate};
  if (this->Skipping) {
    if (F.Type != 'S')
      return {};
    this->Skipping = false;
    return this->finish(BatchEnd::Sync);
  }
  this->Started = true;
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
    // A server ignores copy messages outside of COPY, which may arrive after its error.
    this->Started = !this->Current.Frames.empty() || !this->Current.LocalReply.empty();
    return {};
  case 'F':
    return fail({.Of = Reason::NotSupported, .Text = "the function call message"});
  default:
    return violation(
        absl::StrFormat("unexpected message type 0x%02x", static_cast<unsigned char>(F.Type)));
  }
}

Batch Collector::take() {
  Batch Out = std::move(this->Current);
  this->Current = Batch{};
  this->Started = false;
  this->ParsedHere.clear();
  this->Portals.clear();
  return Out;
}

void Collector::skipToSync() {
  this->take();
  this->Skipping = true;
}

Collected Collector::onQuery(const wire::Frame &F) {
  auto Sql = wire::parseQuery(F.Body);
  if (!Sql)
    return malformed(F.Type);
  if (!isUtf8(*Sql))
    return invalidEncoding();
  auto What = this->Classify(*Sql);
  if (What->Statements.empty() && !this->Current.Remote) {
    this->Current.LocalReply += wire::emptyQueryResponse();
    return this->finish(BatchEnd::Query);
  }
  Place Where = Place::Remote;
  if (Collected C = this->placeAll(*What, Where); C.Is != Next::More)
    return C;
  if (Where == Place::Local)
    return this->queryLocal(*What);
  if (this->Current.RequestKey.empty())
    if (Collected C = readRequestKey(*Sql, this->Current.RequestKey); C.Is != Next::More)
      return C;
  this->noteRemote(*What);
  if (Collected C = this->sendRemote(F.Whole); C.Is != Next::More)
    return C;
  return this->finish(BatchEnd::Query);
}

Collected Collector::queryLocal(const sql::Classified &What) {
  for (const sql::Statement &S : What.Statements) {
    std::string Reply = runLocal(S, this->State, true);
    if (Collected C = this->answerLocal(Reply); C.Is != Next::More)
      return C;
  }
  return this->finish(BatchEnd::Query);
}

// Decides who answers a text; all statements of a text must be answered by the same side.
Collected Collector::placeAll(const sql::Classified &What, Place &Where) {
  bool Local = false;
  bool Remote = false;
  bool InBlock = this->inBlock();
  for (const sql::Statement &S : What.Statements) {
    InBlock = InBlock || S.Is == Kind::Begin || S.Is == Kind::BeginReadOnly;
    Placement P = placeStatement(S, this->State, InBlock);
    if (P.At == Place::Refused)
      return fail(std::move(P.Error));
    (P.At == Place::Local ? Local : Remote) = true;
  }
  if (Local && Remote)
    return fail({.Of = Reason::NotSupported,
                 .Text = "session settings and other statements in one query text"});
  Where = Local ? Place::Local : Place::Remote;
  return {};
}

Collected Collector::onParse(const wire::Frame &F) {
  auto M = wire::parseParse(F.Body);
  if (!M)
    return malformed(F.Type);
  if (!M->Statement.empty() && this->State.Statements.contains(M->Statement))
    return serverError("42P05",
                       absl::StrFormat("prepared statement \"%s\" already exists", M->Statement));
  if (!isUtf8(M->Sql))
    return invalidEncoding();
  auto What = this->Classify(M->Sql);
  if (What->Statements.size() > 1)
    return serverError("42601", "cannot insert multiple commands into a prepared statement");
  Place Where = Place::Remote;
  if (Collected C = this->placeAll(*What, Where); C.Is != Next::More)
    return C;
  // An empty text needs no target, whatever state the session is in.
  if (What->Statements.empty())
    Where = Place::Local;
  auto Statement = std::make_shared<PreparedStatement>();
  Statement->ParseFrame = std::string(F.Whole);
  Statement->Classification = std::move(What);
  if (Collected C = readRequestKey(M->Sql, Statement->RequestKey); C.Is != Next::More)
    return C;
  return this->defineStatement(M->Statement, std::move(Statement), Where);
}

Collected Collector::defineStatement(const std::string &Name, PreparedStatementPtr Statement,
                                     Place Where) {
  size_t Replaced = 0;
  if (auto It = this->State.Statements.find(Name); It != this->State.Statements.end())
    Replaced = It->second->ParseFrame.size();
  size_t Bytes = this->State.StatementBytes - Replaced + Statement->ParseFrame.size();
  if (Bytes > this->MaxRequestBytes)
    return fail({.Of = Reason::TooLarge,
                 .Text = absl::StrFormat("prepared statements of the session exceed %d bytes",
                                         this->MaxRequestBytes)});
  Collected Out;
  if (Where == Place::Local) {
    Out = this->answerLocal(wire::emptyMessage('1'));
  } else {
    // Another session may have left a statement of this name on the target connection.
    if (!Name.empty())
      this->appendHidden(wire::closeObject({.Kind = 'S', .Name = Name}));
    Out = this->sendRemote(Statement->ParseFrame);
  }
  if (Out.Is != Next::More)
    return Out;
  this->State.StatementBytes = Bytes;
  this->State.Statements[Name] = Statement;
  if (Where == Place::Remote) {
    this->ParsedHere.insert(Name);
    this->Current.Defined.emplace_back(Name, std::move(Statement));
  }
  return Out;
}

// Finds a statement of the session, as a server would.
Collected Collector::useStatement(const std::string &Name, PreparedStatementPtr &Out) {
  auto It = this->State.Statements.find(Name);
  if (It == this->State.Statements.end())
    return serverError(
        "26000", Name.empty() ? std::string("unnamed prepared statement does not exist")
                              : absl::StrFormat("prepared statement \"%s\" does not exist", Name));
  Out = It->second;
  return {};
}

Collected Collector::onBind(const wire::Frame &F) {
  auto M = wire::parseBind(F.Body);
  if (!M)
    return malformed(F.Type);
  PreparedStatementPtr P;
  if (Collected C = this->useStatement(M->Statement, P); C.Is != Next::More)
    return C;
  Place Where = Place::Remote;
  if (Collected C = this->placeAll(*P->Classification, Where); C.Is != Next::More)
    return C;
  if (P->Classification->Statements.empty())
    Where = Place::Local;
  this->Portals[M->Portal] = {.Of = P, .Local = Where == Place::Local};
  if (Where == Place::Local)
    return this->answerLocal(wire::emptyMessage('2'));
  this->ensureParsed(M->Statement, *P);
  this->Current.Executes = true;
  if (this->Current.RequestKey.empty())
    this->Current.RequestKey = P->RequestKey;
  this->noteRemote(*P->Classification);
  return this->sendRemote(F.Whole);
}

Collected Collector::onDescribe(const wire::Frame &F) {
  auto M = wire::parseNamedObject(F.Body);
  if (!M)
    return malformed(F.Type);
  if (M->Kind == 'P') {
    auto It = this->Portals.find(M->Name);
    if (It != this->Portals.end() && It->second.Local)
      return this->answerLocal(
          It->second.Of->Classification->Statements.empty()
              ? wire::emptyMessage('n')
              : describeLocal(It->second.Of->Classification->Statements[0], 'P'));
    return this->sendRemote(F.Whole);
  }
  PreparedStatementPtr P;
  if (Collected C = this->useStatement(M->Name, P); C.Is != Next::More)
    return C;
  Place Where = Place::Remote;
  if (Collected C = this->placeAll(*P->Classification, Where); C.Is != Next::More)
    return C;
  if (P->Classification->Statements.empty())
    return this->answerLocal(describeLocal({.Is = Kind::Set}, 'S'));
  if (Where == Place::Local)
    return this->answerLocal(describeLocal(P->Classification->Statements[0], 'S'));
  this->ensureParsed(M->Name, *P);
  return this->sendRemote(F.Whole);
}

Collected Collector::onExecute(const wire::Frame &F) {
  auto M = wire::parseExecute(F.Body);
  if (!M)
    return malformed(F.Type);
  auto It = this->Portals.find(M->Portal);
  if (It != this->Portals.end() && It->second.Local) {
    const auto &Statements = It->second.Of->Classification->Statements;
    return this->answerLocal(Statements.empty() ? wire::emptyQueryResponse()
                                                : runLocal(Statements[0], this->State, false));
  }
  // A portal lives as long as its transaction.
  if (It == this->Portals.end() && (!this->State.Tx.open() || this->State.Tx.lost()))
    return serverError("34000", absl::StrFormat("portal \"%s\" does not exist", M->Portal));
  this->Current.Executes = true;
  return this->sendRemote(F.Whole);
}

Collected Collector::onClose(const wire::Frame &F) {
  auto M = wire::parseNamedObject(F.Body);
  if (!M)
    return malformed(F.Type);
  if (M->Kind == 'S') {
    auto It = this->State.Statements.find(M->Name);
    if (It != this->State.Statements.end()) {
      this->State.StatementBytes -= It->second->ParseFrame.size();
      this->State.Statements.erase(It);
    }
    this->ParsedHere.erase(M->Name);
  } else {
    this->Portals.erase(M->Name);
  }
  // The session carries statements, so a target is asked only when it must keep the order of
  // replies, or when it may hold the portal.
  bool PortalOnTarget = M->Kind == 'P' && this->State.Tx.open() && !this->State.Tx.lost();
  if (this->Current.Remote || PortalOnTarget)
    return this->sendRemote(F.Whole);
  return this->answerLocal(wire::emptyMessage('3'));
}

Collected Collector::onFlush() {
  if (!this->Started || (!this->Current.Remote && this->Current.LocalReply.empty())) {
    this->Started = false;
    return {};
  }
  // The target gets a Sync in place of the Flush, which would commit what has been executed.
  if (this->Current.Executes && !this->State.Tx.open())
    return fail({.Of = Reason::NotSupported,
                 .Text = "Flush after Bind or Execute outside a transaction; use Sync"});
  if (this->Current.Remote)
    this->append(wire::sync());
  return this->finish(BatchEnd::Flush);
}

Collected Collector::onSync() {
  if (this->Current.Remote)
    this->append(wire::sync());
  return this->finish(BatchEnd::Sync);
}

Collected Collector::finish(BatchEnd End) {
  this->Current.End = End;
  return {.Is = Next::Complete};
}

// Adds a reply of the session. It would overtake replies of the target that come before it.
Collected Collector::answerLocal(std::string_view Frames) {
  if (this->Current.Remote)
    return fail({.Of = Reason::NotSupported,
                 .Text = "a session setting after other statements in one request"});
  this->Current.LocalReply += Frames;
  return {};
}

Collected Collector::sendRemote(std::string_view Frame) {
  if (this->Current.Frames.size() + Frame.size() > this->MaxRequestBytes)
    return fail({.Of = Reason::TooLarge,
                 .Text = absl::StrFormat("request of more than %d bytes", this->MaxRequestBytes)});
  this->append(Frame);
  return {};
}

void Collector::append(std::string_view Frame) {
  this->Current.Remote = true;
  this->Current.Frames.append(Frame);
  ++this->Current.FrameCount;
}

void Collector::appendHidden(std::string_view Frame) {
  this->Current.Hidden.push_back(this->Current.FrameCount);
  this->append(Frame);
}

// Prepares a statement on the target connection unless this request has done so.
void Collector::ensureParsed(const std::string &Name, const PreparedStatement &P) {
  if (!this->ParsedHere.insert(Name).second)
    return;
  if (!Name.empty())
    this->appendHidden(wire::closeObject({.Kind = 'S', .Name = Name}));
  this->appendHidden(P.ParseFrame);
}

void Collector::noteRemote(const sql::Classified &What) {
  Batch &B = this->Current;
  B.TablesUnknown = B.TablesUnknown || !What.Parsed;
  for (const sql::Statement &S : What.Statements) {
    B.Begins = B.Begins || S.Is == Kind::Begin || S.Is == Kind::BeginReadOnly;
    B.Ends = B.Ends || S.Is == Kind::Commit || S.Is == Kind::Rollback;
    B.Writes = B.Writes || S.Is == Kind::Write;
    B.AllRead = B.AllRead && (S.Is == Kind::Read || S.Is == Kind::Show);
    B.Facts.push_back({.Tables = S.Tables, .Fingerprint = What.Fingerprint});
  }
}

} // namespace toucan::session
