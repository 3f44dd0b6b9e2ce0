#include "session.h"

#include "absl/strings/str_format.h"

#include <utility>
#include <vector>

namespace toucan::standin {

Session::Session(SessionContext &Context, int Fd, SessionKey Key)
    : Context(Context), Key(Key), Io(Fd, this->SessionInterrupt),
      Txn(Context.G, this->SessionInterrupt) {}

Session::~Session() {
  this->Portals.clear();
  this->Statements.clear();
  this->Txn.rollback(this->Handle.get());
  if (this->CountedAsWork)
    this->Context.RemoveWorkConnection();
}

void Session::end(const std::string &Reason) {
  this->SessionInterrupt.end(Reason);
  this->Io.stopReading();
}

void Session::run() {
  if (this->startUp()) {
    wire::Frame F;
    while (!this->SentFatal && this->Io.canSend() && this->Io.read(F))
      if (!this->handleMessage(F))
        break;
  }
  if (this->SessionInterrupt.ended() && !this->SentFatal)
    this->sendError({.State = "57P01", .Message = this->SessionInterrupt.reason(), .Fatal = true});
  this->Io.flush();
}

// Processes one message. False when the client has sent Terminate.
bool Session::handleMessage(const wire::Frame &F) {
  if (F.Type == 'X')
    return false;
  this->SessionInterrupt.beginRequest();
  if (F.Type == 'S') {
    this->sync();
    return true;
  }
  if (this->SkippingToSync)
    return true;
  if (F.Type == 'Q') {
    std::optional<std::string> Sql = wire::parseQuery(F.Body);
    if (Sql)
      this->simpleQuery(*Sql);
    else
      this->sendError({.State = "08P01", .Message = "malformed Query message", .Fatal = true});
    return true;
  }
  if (std::optional<SqlError> E = this->handleExtended(F)) {
    this->sendError(*E);
    this->Portals.clear();
    this->Txn.fail(this->Handle.get());
    this->SkippingToSync = true;
  }
  return true;
}

void Session::simpleQuery(const std::string &Sql) {
  this->Portals.erase("");
  std::optional<SqlError> E = this->openHandle();
  std::vector<std::string> Texts = splitStatements(Sql);
  if (Texts.empty() && !E)
    this->Io.write(wire::emptyQueryResponse());
  for (size_t At = 0; At < Texts.size() && !E; ++At)
    E = this->runSimple(Texts[At], At + 1 == Texts.size());
  if (E) {
    this->sendError(*E);
    this->Txn.fail(this->Handle.get());
  }
  if (!this->SentFatal)
    this->sendReady();
}

std::optional<SqlError> Session::runSimple(const std::string &Text, bool Last) {
  Portal P;
  P.Cmd = classify(Text);
  if (std::optional<SqlError> E = this->checkNotFailed(P.Cmd))
    return E;
  if (P.Cmd.Kind == CommandKind::Sql) {
    if (std::optional<SqlError> E = prepareSql(this->Handle.get(), Text, P.Statement))
      return E;
    if (parameterCount(P.Statement.get()) > 0)
      return SqlError{.State = "42P02", .Message = "there is no parameter $1"};
    P.Columns = resultColumns(P.Statement.get());
  }
  if (P.Cmd.Kind == CommandKind::Show)
    P.Columns = {{.Name = P.Cmd.Name}};
  if (!P.Columns.empty())
    this->Io.write(rowDescription(P.Columns, nullptr));
  return this->execute(P, 0, Last);
}

void Session::sendReady() {
  if (!this->Txn.inBlock())
    this->Portals.clear();
  for (const auto &[Name, Value] : this->Settings.takeChangedSettings())
    this->Io.write(wire::parameterStatus(Name, Value));
  this->reportPosition();
  this->SessionInterrupt.endRequest();
  this->Io.write(wire::readyForQuery(this->Txn.status()));
  this->Io.flush();
}

void Session::sendError(const SqlError &E) {
  // Once end() was called, every error is replaced by the reason given to end().
  bool Ended = this->SessionInterrupt.ended();
  bool Fatal = E.Fatal || Ended;
  this->Io.write(wire::error(Fatal ? "FATAL" : "ERROR", Ended ? "57P01" : E.State,
                             Ended ? this->SessionInterrupt.reason() : E.Message));
  this->SentFatal = this->SentFatal || Fatal;
  if (Fatal)
    this->Io.flush();
}

void Session::reportPosition() {
  if (this->Term == 0)
    return;
  std::string Position =
      absl::StrFormat("%d/%d", this->Term.load(), this->Context.G.appliedPosition());
  if (Position == this->ReportedPosition)
    return;
  this->Io.write(wire::parameterStatus("group_position", Position));
  this->ReportedPosition = Position;
}

std::optional<SqlError> Session::openHandle() {
  const auto Database = this->Context.G.database();
  const uint64_t Generation = Database.second;
  if (this->Handle && (this->HandleGeneration == Generation || this->Txn.writing()))
    return std::nullopt;
  this->Portals.clear();
  this->Statements.clear();
  auto Opened = capture([&] { return openSqlite(Database.first, this); });
  if (!Opened)
    return SqlError{.State = "58000", .Message = Opened.Problem.Message};
  this->Handle = std::move(*Opened);
  this->HandleGeneration = Generation;
  return std::nullopt;
}

void Session::notice(std::string_view Text) { this->sendNotice("NOTICE", "00000", Text); }

void Session::sendNotice(std::string_view Severity, std::string_view State, std::string_view Text) {
  this->Io.write(wire::noticeResponse({{'S', std::string(Severity)},
                                       {'V', std::string(Severity)},
                                       {'C', std::string(State)},
                                       {'M', std::string(Text)}}));
  this->Io.flush(); // a notice reaches the client while the statement still runs
}

} // namespace toucan::standin
