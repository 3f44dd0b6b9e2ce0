#include "session/machine.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace toucan::session {

namespace {

constexpr uint32_t MajorShift = 16;
// Limit of pipelined input that is read ahead while a request is active.
constexpr size_t MaxReadAheadBytes = 64 * 1024;
constexpr size_t MaxIdleBufferBytes = 4 * 1024;
// Messages of one caller, and bytes of them, that are processed before others are served. A message
// that is larger is still processed.
constexpr size_t MaxFramesPerEvent = 64;
constexpr size_t MaxBytesPerEvent = 64 * 1024;
constexpr std::string_view InvalidAuthorization = "28000";

// Splits the "options" parameter at white space; a backslash escapes the next character.
std::vector<std::string> splitOptions(const std::string &Text) {
  std::vector<std::string> Words;
  bool InWord = false;
  for (size_t I = 0; I < Text.size(); ++I) {
    bool Escaped = Text[I] == '\\' && I + 1 < Text.size();
    if (!Escaped && absl::ascii_isspace(Text[I])) {
      InWord = false;
      continue;
    }
    if (!InWord)
      Words.emplace_back();
    InWord = true;
    Words.back().push_back(Escaped ? Text[++I] : Text[I]);
  }
  return Words;
}

// Parses "-c name=value", "-cname=value" and "--name=value".
std::optional<std::map<std::string, std::string>> parseOptions(const std::string &Text) {
  std::map<std::string, std::string> Out;
  std::vector<std::string> Words = splitOptions(Text);
  for (size_t I = 0; I < Words.size(); ++I) {
    std::string Pair = Words[I];
    if (Pair == "-c") {
      if (++I == Words.size())
        return std::nullopt;
      Pair = Words[I];
    } else if (Pair.starts_with("--") || Pair.starts_with("-c")) {
      Pair = Pair.substr(2);
    } else {
      return std::nullopt;
    }
    size_t Equals = Pair.find('=');
    if (Equals == std::string::npos || Equals == 0)
      return std::nullopt;
    std::string Name = absl::AsciiStrToLower(Pair.substr(0, Equals));
    for (char &C : Name)
      C = C == '-' ? '_' : C;
    Out[Name] = Pair.substr(Equals + 1);
  }
  return Out;
}

// Builds NegotiateProtocolVersion for a caller that requests a newer minor version or protocol
// options.
std::string negotiateProtocolVersion(const std::vector<std::string> &Unknown) {
  wire::Writer W;
  W.begin('v').int32(static_cast<int32_t>(wire::ProtocolVersion3));
  W.int32(static_cast<int32_t>(Unknown.size()));
  for (const std::string &Name : Unknown)
    W.cstring(Name);
  return W.end().take();
}

} // namespace

// Processes input until a request is active, the output is blocked, the input is used up, the bound
// on the work of one event is reached or the session ends.
void Machine::processInput(Instant Now, Actions &Out) {
  while (this->Phase == PhaseKind::Startup && this->processStartup(Now, Out)) {
  }
  size_t PendingBefore = this->Reader.pending();
  size_t Frames = 0;
  this->HasMoreInput = false;
  while (this->Phase == PhaseKind::Ready && !this->Request && !this->isOutputBlocked() &&
         !this->Held) {
    if (Frames++ == MaxFramesPerEvent ||
        PendingBefore - this->Reader.pending() > MaxBytesPerEvent) {
      this->HasMoreInput = this->Reader.pending() > 0;
      break;
    }
    if (!this->processFrame(Now, Out))
      break;
  }
  if (this->HasMoreInput)
    this->armTimer(Now, Out);
  if (this->closed())
    return;
  this->shrinkReader();
  this->updatePause(Out);
  if (this->Common.Draining && this->Phase == PhaseKind::Ready)
    this->onDrain(Out);
}

// Continues with pipelined input after a request has ended.
void Machine::resumeInput(Instant Now, Actions &Out) {
  if (this->Phase == PhaseKind::Ready && !this->Request)
    this->processInput(Now, Out);
}

// Frees the buffer of a large message, so that an idle session keeps at most a small one.
void Machine::shrinkReader() {
  this->HasHeldLargeMessage =
      this->HasHeldLargeMessage || this->Reader.pending() > MaxIdleBufferBytes;
  if (!this->HasHeldLargeMessage || this->Reader.pending() > 0)
    return;
  this->Reader = wire::FrameReader(this->Common.Options.MaxFrameBytes);
  this->HasHeldLargeMessage = false;
}

void Machine::updatePause(Actions &Out) {
  bool Waiting = this->Request || this->isOutputBlocked() || this->Held || this->HasMoreInput;
  bool Want = Waiting && this->Reader.pending() > MaxReadAheadBytes;
  if (Want == this->Paused)
    return;
  this->Paused = Want;
  Out.emplace_back(PauseAction{.Paused = Want});
}

// Returns true when there may be more input to process.
bool Machine::processStartup(Instant Now, Actions &Out) {
  wire::StartupPacket P;
  switch (this->Reader.nextStartup(P)) {
  case wire::ReadStatus::NeedMore:
    return false;
  case wire::ReadStatus::Malformed:
    this->fatal(Reason::ProtocolViolation,
                reasonText(Reason::ProtocolViolation, "malformed start-up packet"), Out);
    return false;
  case wire::ReadStatus::TooLarge:
    this->fatal(
        Reason::TooLarge,
        reasonText(Reason::TooLarge,
                   absl::StrFormat("start-up packet of more than %d bytes", wire::MaxStartupBytes)),
        Out);
    return false;
  case wire::ReadStatus::Ready:
    this->onStartupPacket(P, Now, Out);
    return true;
  }
  return false;
}

void Machine::onStartupPacket(wire::StartupPacket &P, Instant Now, Actions &Out) {
  if (P.RequestCode == wire::SslRequestCode || P.RequestCode == wire::GssEncRequestCode) {
    this->write("N", Out);
  } else if (P.RequestCode == wire::CancelRequestCode) {
    Out.emplace_back(CancelAction{.ProcessId = P.ProcessId, .SecretKey = P.SecretKey});
    this->close("cancel_request", Out);
  } else if (P.RequestCode >> MajorShift != wire::ProtocolVersion3 >> MajorShift) {
    this->fatal(Reason::NotSupported,
                reasonText(Reason::NotSupported,
                           absl::StrFormat("protocol version %d.%d", P.RequestCode >> MajorShift,
                                           P.RequestCode & 0xffffU)),
                Out);
  } else {
    this->startSession(P, Now, Out);
  }
}

void Machine::startSession(wire::StartupPacket &P, Instant, Actions &Out) {
  if (this->Common.Draining)
    return this->fatal(Reason::Draining, reasonText(Reason::Draining, ""), Out);
  if (this->Options.OverLimit)
    return this->fatal(Reason::TooManyCallers, reasonText(Reason::TooManyCallers, ""), Out);
  if (auto Error = this->applyStartupParameters(P, Out)) {
    if (Error->Refusal != Reason::None)
      return this->fatal(Error->Refusal, reasonText(Error->Refusal, Error->Text), Out);
    this->write(wire::error("FATAL", Error->SqlState, Error->Text), Out);
    return this->close("startup_refused", Out);
  }
  this->Phase = PhaseKind::Ready;
  this->write(this->startupResponse(), Out);
  Out.emplace_back(LogAction{.Level = LogLevel::Debug,
                             .Event = "caller_open",
                             .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                       {"address", this->Options.Address},
                                       {"database", this->Database.Value},
                                       {"user", this->User}}});
}

std::optional<LocalError> Machine::applyStartupParameters(const wire::StartupPacket &P,
                                                          Actions &Out) {
  auto Find = [&](const char *Name) {
    auto It = P.Parameters.find(Name);
    return It == P.Parameters.end() ? std::string() : It->second;
  };
  this->User = Find("user");
  if (this->User.empty())
    return LocalError{.SqlState = std::string(InvalidAuthorization),
                      .Text = "no user name in the start-up packet"};
  if (!isUtf8(this->User))
    return LocalError{.SqlState = std::string(InvalidAuthorization),
                      .Text = "the user name is not valid UTF-8"};
  this->Database.Value = Find("database");
  if (this->Database.Value.empty())
    this->Database.Value = this->User;
  if (!this->Common.View)
    return LocalError{.Refusal = Reason::RulesUnknown};
  if (!this->Common.View->findGroup(this->Database))
    return LocalError{.Refusal = Reason::UnknownDatabase, .Text = this->Database.Value};
  std::vector<std::string> Unknown;
  for (const auto &[Name, Value] : P.Parameters) {
    if (Name.starts_with("_pq_."))
      Unknown.push_back(Name);
    else if (auto Error = this->applyStartupParameter(Name, Value, Out))
      return Error;
  }
  if (!Unknown.empty() || P.RequestCode != wire::ProtocolVersion3)
    this->write(negotiateProtocolVersion(Unknown), Out);
  return std::nullopt;
}

std::optional<LocalError> Machine::applyStartupParameter(const std::string &Name,
                                                         const std::string &Value, Actions &Out) {
  if (Name == "user" || Name == "database")
    return std::nullopt;
  if (Name == "toucanrun.token")
    return this->applyToken(Value, Out);
  if (Name == "options") {
    auto Pairs = parseOptions(Value);
    if (!Pairs)
      return LocalError{.Refusal = Reason::NotSupported,
                        .Text = absl::StrFormat("start-up options \"%s\"", Value)};
    for (const auto &[Inner, InnerValue] : *Pairs)
      if (Inner == "options" || Inner == "user" || Inner == "database")
        return LocalError{.Refusal = Reason::NotSupported,
                          .Text = absl::StrFormat("start-up option \"%s\"", Inner)};
      else if (auto Error = this->applyStartupParameter(Inner, InnerValue, Out))
        return Error;
    return std::nullopt;
  }
  std::string Lower = absl::AsciiStrToLower(Value);
  if (Name == "replication" &&
      (Lower == "false" || Lower == "off" || Lower == "no" || Lower == "0"))
    return std::nullopt;
  if (!isUtf8(Value))
    return LocalError{.SqlState = "22021",
                      .Text =
                          absl::StrFormat("start-up parameter \"%s\" is not valid UTF-8", Name)};
  auto Outcome = this->State.Settings.set(absl::AsciiStrToLower(Name), Value);
  if (Outcome == SessionSettings::Outcome::Done)
    return std::nullopt;
  return LocalError{
      .Refusal = Reason::NotSupported,
      .Text = absl::StrFormat("start-up parameter \"%s\" with value \"%s\"", Name, Value)};
}

// An untrusted token is ignored; the first read then requests verification of the floor.
std::optional<LocalError> Machine::applyToken(const std::string &Value, Actions &Out) {
  if (Value.empty())
    return std::nullopt;
  CheckedToken Token = this->Common.Signer.check(Value, this->Database);
  if (Token.Status == TokenCheck::Malformed)
    return LocalError{.Refusal = Reason::BadToken};
  if (Token.Status == TokenCheck::NotTrusted) {
    this->count(Reason::SafePath, Out);
    return std::nullopt;
  }
  this->Floor = std::max(this->Floor, Token.At);
  this->FloorKnown = true;
  this->HasWritten = true;
  return std::nullopt;
}

std::string Machine::startupResponse() const {
  std::string Text = wire::authenticationOk();
  for (const char *Name :
       {"server_version", "server_encoding", "client_encoding", "application_name", "datestyle",
        "intervalstyle", "timezone", "integer_datetimes", "standard_conforming_strings",
        "default_transaction_read_only"})
    Text +=
        wire::parameterStatus(SessionSettings::reportName(Name), *this->State.Settings.get(Name));
  Text += wire::parameterStatus("session_authorization", this->User);
  Text += wire::parameterStatus("is_superuser", "off");
  Text += wire::parameterStatus("in_hot_standby", "off");
  Text += wire::backendKeyData(this->Options.ProcessId, this->Options.SecretKey);
  return Text + wire::readyForQuery('I');
}

// Returns true when there may be more input to process.
bool Machine::processFrame(Instant Now, Actions &Out) {
  wire::Frame F;
  wire::ReadStatus Status = this->Reader.next(F);
  if (Status == wire::ReadStatus::NeedMore)
    return false;
  ++this->FrameCount;
  if (Status != wire::ReadStatus::Ready) {
    bool TooLarge = Status == wire::ReadStatus::TooLarge;
    Reason R = TooLarge ? Reason::TooLarge : Reason::ProtocolViolation;
    this->fatal(R,
                reasonText(R, TooLarge ? absl::StrFormat("message of more than %d bytes",
                                                         this->Common.Options.MaxFrameBytes)
                                       : "malformed message length"),
                Out);
    return false;
  }
  FrameResult C = this->RequestCollector.onFrame(F);
  switch (C.Code) {
  case FrameResult::Status::NeedMore:
    break;
  case FrameResult::Status::Complete:
    this->startRequest(this->RequestCollector.take(), Now, Out);
    break;
  case FrameResult::Status::Rejected:
    this->rejectBatch(F.Type, C.Error, Out);
    break;
  case FrameResult::Status::Terminate:
    this->close("terminate", Out);
    break;
  case FrameResult::Status::Violation:
    this->fatal(C.Error.Refusal, reasonText(C.Error.Refusal, C.Error.Text), Out);
    break;
  }
  return !this->closed();
}

// Reports an error that was found before the request was sent. As on a server, an open transaction
// fails, because later statements must not run as if the refused one had run.
void Machine::rejectBatch(char FrameType, const LocalError &Error, Actions &Out) {
  Batch Dropped = this->RequestCollector.take();
  if (!Dropped.NeedsTarget)
    this->write(std::move(Dropped.LocalReply), Out);
  for (const auto &[Name, Statement] : Dropped.DefinedStatements) {
    auto It = this->State.Statements.find(Name);
    if (It == this->State.Statements.end() || It->second != Statement)
      continue;
    this->State.StatementBytes -= Statement->ParseFrame.size();
    this->State.Statements.erase(It);
  }
  if (Error.Refusal == Reason::None) {
    this->write(wire::error("ERROR", Error.SqlState, Error.Text), Out);
  } else {
    this->write(
        wire::error("ERROR", reasonSqlState(Error.Refusal), reasonText(Error.Refusal, Error.Text)),
        Out);
    this->count(Error.Refusal, Out);
    this->logRefusal(Error.Refusal, Error.Text, Out);
  }
  this->endTransactionAfterError(Out);
  if (FrameType == 'Q' || FrameType == 'F')
    this->write(wire::readyForQuery(this->State.Tx.Status), Out);
  else
    this->RequestCollector.skipToSync();
}

} // namespace toucan::session
