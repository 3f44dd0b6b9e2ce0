#include "session/transcript_test.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace toucan::session {

namespace {

constexpr const char *TestKey = "test-key";
constexpr uint32_t TestSession = 7;

std::pair<std::string, std::string> splitAt(const std::string &Text, char At) {
  size_t Found = Text.find(At);
  if (Found == std::string::npos)
    return {Text, ""};
  return {Text.substr(0, Found), Text.substr(Found + 1)};
}

uint64_t parseNumber(const std::string &Text) {
  uint64_t Out = 0;
  REQUIRE_MESSAGE(absl::SimpleAtoi(Text, &Out), Text);
  return Out;
}

LogPosition parsePosition(const std::string &Text) {
  auto [InTerm, At] = splitAt(Text, '/');
  return {.InTerm = Term(parseNumber(InTerm)), .Position = parseNumber(At)};
}

std::map<std::string, std::string> parsePairs(const std::string &Text) {
  std::map<std::string, std::string> Out;
  for (const std::string &Word :
       std::vector<std::string>(absl::StrSplit(Text, ' ', absl::SkipEmpty()))) {
    auto [Name, Value] = splitAt(Word, '=');
    Out[Name] = Value;
  }
  return Out;
}

// Builds a target frame from TYPE or TYPE:TEXT; "_" stands for a blank, "cut" for a truncated
// frame.
std::string targetFrame(const std::string &Word) {
  auto [Type, Text] = splitAt(Word, ':');
  for (char &C : Text)
    C = C == '_' ? ' ' : C;
  if (Type == "C")
    return wire::commandComplete(Text);
  if (Type == "E")
    return wire::error("ERROR", Text, "target error");
  if (Type == "cut")
    return wire::commandComplete("SELECT 1").substr(0, 6);
  return wire::emptyMessage(Type[0]);
}

std::string frameTypes(std::string_view Bytes) {
  wire::FrameReader Reader(1 << 20);
  Reader.append(Bytes);
  std::string Out;
  wire::Frame F;
  while (Reader.next(F) == wire::ReadStatus::Ready)
    Out.push_back(F.Type);
  CHECK(Reader.pending() == 0);
  return Out;
}

Reason reasonNamed(const std::string &Name) {
  for (size_t I = 0; I < ReasonCount; ++I)
    if (reasonName(static_cast<Reason>(I)) == Name)
      return static_cast<Reason>(I);
  FAIL("unknown reason " << Name);
  return Reason::None;
}

std::string printFrame(const wire::Frame &F) {
  std::string Type(1, F.Type);
  if (F.Type == 'E' || F.Type == 'N') {
    auto Fields = wire::parseError(F.Body);
    return absl::StrFormat("%s %s %s: %s", Type, (*Fields)['S'], (*Fields)['C'], (*Fields)['M']);
  }
  if (F.Type == 'S') {
    auto Pair = wire::parseParameterStatus(F.Body);
    return absl::StrFormat("S %s=%s", Pair->first, Pair->second.substr(0, 12));
  }
  if (F.Type == 'C')
    return absl::StrFormat("C %s", std::string(F.Body.data()));
  if (F.Type == 'Z')
    return absl::StrFormat("Z %s", std::string(F.Body));
  return Type;
}

} // namespace

Transcript::Transcript() : Common({.Self = InstanceId("a"), .TokenKey = TestKey}) {
  this->setView();
  Actions Ignored;
  this->M = std::make_unique<Machine>(
      this->Common,
      MachineOptions{
          .Session = TestSession, .ProcessId = 11, .SecretKey = 22, .Address = "192.0.2.1"},
      this->Now, Ignored);
}

// Databases are assigned by rendezvous hashing, so the only live member owns all of them.
void Transcript::setView() {
  auto View = std::make_shared<member::View>();
  View->Self = InstanceId("a");
  if (this->Owner != "none")
    View->Members.push_back({.Id = InstanceId(this->Owner)});
  // A suspect member owns no database.
  if (!this->Observer.empty())
    View->Members.push_back({.Id = InstanceId(this->Observer), .Status = member::State::Suspect});
  View->Groups.push_back({.Name = DatabaseName("orders")});
  auto Parsed = capture([&] { return rules::RuleSet::parse(this->Rules, "rules"); });
  REQUIRE_MESSAGE(Parsed, Parsed.Problem.Message);
  View->Rules = std::make_shared<rules::RuleSet>(std::move(*Parsed));
  View->RulesKnown = this->RulesKnown;
  this->Common.View = View;
}

bool Transcript::viewEvent(const std::string &Name, const std::string &Rest) {
  if (Name == "rules")
    this->Rules += Rest + "\n";
  else if (Name == "owner")
    this->Owner = Rest;
  else if (Name == "observer")
    this->Observer = Rest;
  else if (Name == "rules_known")
    this->RulesKnown = Rest == "1";
  else
    return false;
  this->setView();
  return true;
}

std::string Transcript::startupPacket(const std::string &Rest) {
  std::map<std::string, std::string> Parameters;
  for (const std::string &Word : std::vector<std::string>(absl::StrSplit(Rest, ' '))) {
    auto [Name, Value] = splitAt(Word, '=');
    for (char &C : Value)
      C = C == '_' ? ' ' : C;
    if (size_t At = Value.find('@'); At != std::string::npos)
      Value = Value.substr(0, At) +
              this->Common.Signer.sign(DatabaseName("orders"), parsePosition(Value.substr(At + 1)));
    Parameters[Name] = Value;
  }
  return wire::startup(Parameters);
}

bool Transcript::packetEvent(const std::string &Name, const std::string &Rest, Actions &Out) {
  auto [First, Second] = splitAt(Rest, '|');
  auto [Kind, Object] = splitAt(Rest, ' ');
  std::string Bytes;
  if (Name == "startup")
    Bytes = this->startupPacket(Rest);
  else if (Name == "ssl")
    Bytes = std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8);
  else if (Name == "raw")
    Bytes = absl::HexStringToBytes(Rest);
  else if (Name == "query")
    Bytes = wire::query(Rest);
  else if (Name == "parse")
    Bytes = wire::parse({.Statement = First, .Sql = Second});
  else if (Name == "bind")
    Bytes =
        wire::bind({.Portal = First, .Statement = Second, .FormatsAndValues = {"\0\0\0\0\0\0", 6}});
  else if (Name == "describe")
    Bytes = wire::describe({.Kind = Kind[0], .Name = Object});
  else if (Name == "close")
    Bytes = wire::closeObject({.Kind = Kind[0], .Name = Object});
  else if (Name == "execute")
    Bytes = wire::execute({.Portal = Rest});
  else if (Name == "sync")
    Bytes = wire::sync();
  else if (Name == "flush")
    Bytes = wire::emptyMessage('H');
  else if (Name == "frame")
    Bytes = wire::emptyMessage(Rest[0]);
  else
    return false;
  this->M->onBytes(Bytes, this->Now, Out);
  return true;
}

proto::Done Transcript::parseDone(const std::string &Rest) const {
  auto Fields = parsePairs(Rest);
  proto::Done D;
  D.set_request_id(Fields.contains("id") ? uint64_t{TestSession} << 32 | parseNumber(Fields["id"])
                                         : this->LastRequest);
  D.set_verdict(proto::RAN);
  if (Fields.contains("verdict"))
    D.set_verdict(Fields["verdict"] == "not_run" ? proto::NOT_RUN : proto::MAY_HAVE_RUN);
  if (Fields.contains("reason"))
    D.set_reason(static_cast<uint32_t>(reasonNamed(Fields["reason"])));
  D.set_tx_status(Fields.contains("tx") ? static_cast<uint32_t>(Fields["tx"][0]) : 'I');
  if (Fields.contains("lease"))
    D.set_lease(parseNumber(Fields["lease"]));
  if (Fields.contains("at")) {
    LogPosition At = parsePosition(Fields["at"]);
    D.mutable_observed()->set_term(At.InTerm.Value);
    D.mutable_observed()->set_position(At.Position);
  }
  if (Fields.contains("observer")) {
    D.set_observer(Fields["observer"]);
    D.set_observer_valid_us(2'000'000);
  }
  D.set_wrote(Fields.contains("wrote"));
  D.set_chunks(Fields.contains("chunks") ? parseNumber(Fields["chunks"]) : 1);
  return D;
}

bool Transcript::poolEvent(const std::string &Name, const std::string &Rest, Actions &Out) {
  if (Name == "chunk") {
    auto [Sequence, Frames] = splitAt(Rest, ' ');
    proto::Chunk C;
    C.set_request_id(this->LastRequest);
    C.set_sequence(parseNumber(Sequence));
    for (const std::string &Word :
         std::vector<std::string>(absl::StrSplit(Frames, ' ', absl::SkipEmpty())))
      C.mutable_frames()->append(targetFrame(Word));
    this->M->onChunk(C, this->Now, Out);
  } else if (Name == "done") {
    auto Fields = parsePairs(Rest);
    InstanceId From(Fields.contains("from") ? Fields["from"] : this->Owner);
    this->M->onDone(From, this->parseDone(Rest), this->Now, Out);
  } else if (Name == "unsent") {
    this->M->onSendFailed(this->LastRequest, this->Now, Out);
  } else if (Name == "lost") {
    this->M->onPeerLost(InstanceId(Rest), this->Now, Out);
  } else {
    return false;
  }
  return true;
}

bool Transcript::otherEvent(const std::string &Name, const std::string &Rest, Actions &Out) {
  if (Name == "written") {
    size_t Bytes = std::min<size_t>(parseNumber(Rest), this->Unwritten);
    this->Unwritten -= Bytes;
    this->M->onWritten(Bytes, this->Now, Out);
  } else if (Name == "wait") {
    this->Now += absl::Milliseconds(static_cast<int64_t>(parseNumber(Rest)));
  } else if (Name == "timer") {
    REQUIRE(this->Timer != absl::InfiniteFuture());
    this->Now = std::max(this->Now, this->Timer);
    this->Timer = absl::InfiniteFuture();
    this->M->onTimer(this->Now, Out);
  } else if (Name == "cancel") {
    this->M->onCancel(this->Now, Out);
  } else if (Name == "drain") {
    this->Common.Draining = true;
    this->M->onDrain(Out);
  } else if (Name == "drain_deadline") {
    this->M->onDrainDeadline(Out);
  } else if (Name == "gone") {
    this->M->onDisconnected(Out);
  } else {
    return false;
  }
  return true;
}

std::vector<std::string> Transcript::event(const std::string &Line) {
  auto [Name, Rest] = splitAt(Line, ' ');
  Actions Out;
  bool Known = this->viewEvent(Name, Rest) || this->packetEvent(Name, Rest, Out) ||
               this->poolEvent(Name, Rest, Out) || this->otherEvent(Name, Rest, Out);
  REQUIRE_MESSAGE(Known, Line);
  std::vector<std::string> Lines;
  for (const Action &One : Out)
    if (std::string Text = this->print(One); !Text.empty())
      Lines.push_back(std::move(Text));
  return Lines;
}

std::string Transcript::run(const std::string &Text) {
  std::string Out;
  for (const std::string &Line : std::vector<std::string>(absl::StrSplit(Text, '\n'))) {
    if (Line.starts_with("  "))
      continue;
    if (!Line.empty() || !Out.ends_with("\n\n"))
      absl::StrAppendFormat(&Out, "%s\n", Line);
    if (Line.starts_with("> "))
      for (const std::string &Result : this->event(Line.substr(2)))
        absl::StrAppendFormat(&Out, "  %s\n", Result);
  }
  while (Out.ends_with("\n\n"))
    Out.pop_back();
  return Out;
}

// Omits log and latency actions, which repeat information of the other actions.
std::string Transcript::print(const Action &One) {
  if (const auto *Write = std::get_if<WriteAction>(&One)) {
    this->Unwritten += Write->Bytes.size();
    return absl::StrFormat("caller %s", this->printFrames(Write->Bytes));
  }
  if (const auto *Send = std::get_if<SendAction>(&One))
    return this->printSend(*Send);
  if (std::holds_alternative<CloseAction>(One))
    return "close";
  if (const auto *Set = std::get_if<TimerAction>(&One)) {
    this->Timer = Set->At;
    return "";
  }
  if (const auto *Count = std::get_if<CountAction>(&One))
    return absl::StrFormat("count %s", reasonName(Count->Counted));
  if (const auto *Cancel = std::get_if<CancelAction>(&One))
    return absl::StrFormat("cancel_request %d %d", Cancel->ProcessId, Cancel->SecretKey);
  if (const auto *Pause = std::get_if<PauseAction>(&One))
    return Pause->Paused ? "pause" : "resume";
  return "";
}

std::string Transcript::printSend(const SendAction &One) {
  const proto::Envelope &E = One.Message;
  if (E.has_release())
    return absl::StrFormat("release %s lease=%d", One.To.Value, E.release().lease());
  if (E.has_cancel())
    return absl::StrFormat("cancel %s id=%d", One.To.Value, E.cancel().request_id() & 0xffffffffU);
  if (E.has_credit())
    return absl::StrFormat("credit %s bytes=%d", One.To.Value, E.credit().bytes());
  const proto::ExecRequest &R = E.exec();
  this->LastRequest = R.request_id();
  std::string Out =
      absl::StrFormat("exec %s id=%d %s %s", One.To.Value, R.request_id() & 0xffffffffU,
                      proto::RequestKind_Name(R.kind()), frameTypes(R.frames()));
  if (R.hidden_size() > 0)
    absl::StrAppendFormat(&Out, " hidden=%s", absl::StrJoin(R.hidden(), ","));
  if (R.lease() != 0)
    absl::StrAppendFormat(&Out, " lease=%d", R.lease());
  if (R.floor().term() != 0)
    absl::StrAppendFormat(&Out, " floor=%d/%d", R.floor().term(), R.floor().position());
  if (R.verify_floor())
    Out += " verify";
  if (R.max_age_us() != 0)
    absl::StrAppendFormat(&Out, " max_age=%dms", R.max_age_us() / 1000);
  if (R.once())
    Out += " once";
  if (!R.request_key().empty())
    absl::StrAppendFormat(&Out, " key=%s", R.request_key());
  if (R.work_class() == proto::LONG)
    Out += " long";
  if (R.class_by_rule())
    Out += " class_by_rule";
  return Out;
}

std::string Transcript::printFrames(std::string_view Bytes) {
  // The reply to SSLRequest is a single byte without a frame header.
  std::vector<std::string> Parts;
  if (!this->Started && Bytes == "N")
    return "N";
  this->Started = true;
  wire::FrameReader Reader(1 << 20);
  Reader.append(Bytes);
  wire::Frame F;
  while (Reader.next(F) == wire::ReadStatus::Ready)
    Parts.push_back(printFrame(F));
  return absl::StrJoin(Parts, " | ");
}

// Guards against changes of behaviour that no other test covers. To accept a change, run with
// TOUCAN_UPDATE_GOLDEN=1 and review the difference.
TEST_CASE("session transcripts match the golden files") {
  std::string Dir = std::string(TOUCAN_SOURCE_DIR) + "/src/session/golden";
  size_t Count = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Dir)) {
    CAPTURE(Entry.path().string());
    std::ifstream In(Entry.path());
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Actual = Transcript().run(Text.str());
    if (std::getenv("TOUCAN_UPDATE_GOLDEN"))
      std::ofstream(Entry.path()) << Actual;
    else
      CHECK(Actual == Text.str());
    ++Count;
  }
  CHECK(Count > 0);
}

} // namespace toucan::session
