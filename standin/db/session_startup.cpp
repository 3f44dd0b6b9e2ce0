#include "session.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <utility>
#include <vector>

namespace toucan::standin {

namespace {

using Assignment = std::pair<std::string, std::string>;

// Parses the start-up parameter "options": "-c name=value", "-cname=value" and "--name=value".
std::vector<Assignment> parseOptions(const std::string &Options) {
  std::vector<Assignment> Out;
  bool AfterFlag = false;
  for (std::string Word :
       std::vector<std::string>(absl::StrSplit(Options, ' ', absl::SkipEmpty()))) {
    if (Word == "-c") {
      AfterFlag = true;
      continue;
    }
    if (!AfterFlag && Word.size() > 2 && (Word.substr(0, 2) == "-c" || Word.substr(0, 2) == "--"))
      Word = Word.substr(2);
    else if (!AfterFlag)
      continue;
    AfterFlag = false;
    size_t At = Word.find('=');
    if (At != std::string::npos)
      Out.emplace_back(absl::AsciiStrToLower(Word.substr(0, At)), Word.substr(At + 1));
  }
  return Out;
}

} // namespace

bool Session::startUp() {
  wire::StartupPacket Packet;
  for (;;) {
    if (!this->Io.readStartup(Packet))
      return false;
    if (Packet.RequestCode != wire::SslRequestCode && Packet.RequestCode != wire::GssEncRequestCode)
      break;
    if (!this->Io.write("N") || !this->Io.flush())
      return false;
  }
  if (Packet.RequestCode == wire::CancelRequestCode) {
    this->Context.CancelSession(Packet.ProcessId, Packet.SecretKey);
    return false;
  }
  std::optional<SqlError> E;
  if (Packet.RequestCode >> 16 != wire::ProtocolVersion3 >> 16)
    E = SqlError{.State = "0A000", .Message = "unsupported frontend protocol"};
  else
    E = this->admit(Packet);
  if (E) {
    E->Fatal = true;
    this->sendError(*E);
    return false;
  }
  this->Io.write(wire::authenticationOk());
  for (const auto &[Name, Value] : this->Settings.takeChangedSettings())
    this->Io.write(wire::parameterStatus(Name, Value));
  this->Io.write(wire::backendKeyData(this->Key.ProcessId, this->Key.SecretKey));
  this->sendReady();
  return this->Io.canSend();
}

std::optional<SqlError> Session::admit(const wire::StartupPacket &Packet) {
  if (std::optional<SqlError> E = this->readParameters(Packet))
    return E;
  if (this->Term != 0) {
    if (std::optional<SqlError> E = this->Context.G.connectionError(this->Term))
      return E;
    this->CountedAsWork = this->Context.AddWorkConnection();
    if (!this->CountedAsWork)
      return SqlError{.State = "53300", .Message = "sorry, too many clients already"};
  }
  if (!this->SessionInterrupt.sleep(this->Context.Options.ConnectDelay))
    return SqlError{.State = "57P01", .Message = this->SessionInterrupt.reason()};
  // Checked again because the term may have changed during ConnectDelay.
  return this->Term == 0 ? std::nullopt : this->Context.G.connectionError(this->Term);
}

std::optional<SqlError> Session::readParameters(const wire::StartupPacket &Packet) {
  std::vector<Assignment> Assignments;
  for (const auto &[Name, Value] : Packet.Parameters) {
    if (Name == "options") {
      for (Assignment &A : parseOptions(Value))
        Assignments.push_back(std::move(A));
    } else if (Name != "user" && Name != "database" && Name != "replication") {
      Assignments.emplace_back(absl::AsciiStrToLower(Name), Value);
    }
  }
  for (const auto &[Name, Value] : Assignments) {
    if (std::optional<SqlError> E = this->Settings.setStartValue(Name, Value))
      return E;
    uint64_t Term = 0;
    if (Name != "group_term")
      continue;
    if (!absl::SimpleAtoi(Value, &Term) || Term == 0)
      return SqlError{
          .State = "22023",
          .Message = absl::StrFormat("group_term must be a positive integer, got \"%s\"", Value)};
    this->Term = Term;
    this->Txn.setTerm(Term);
  }
  return std::nullopt;
}

} // namespace toucan::standin
