#include "group/status.h"

#include "absl/strings/str_format.h"

namespace toucan::group {

namespace {

// Quotes a text literal. Backslashes need no escape: the servers treat them as plain characters.
std::string quoted(const std::string &Text) {
  std::string Out = "'";
  for (char C : Text) {
    if (C == '\'')
      Out += '\'';
    Out += C;
  }
  return Out + "'";
}

} // namespace

std::string sqlForCall(const Call &Request) {
  switch (Request.Kind) {
  case CallKind::Status:
    return "SELECT * FROM group_status()";
  case CallKind::Accept:
    return absl::StrFormat("SELECT * FROM group_accept_term(%d, %s)", Request.InTerm.Value,
                           quoted(Request.Proposer));
  case CallKind::Promote:
    return absl::StrFormat("SELECT * FROM group_promote(%d, %s)", Request.InTerm.Value,
                           quoted(Request.Proposer));
  case CallKind::Follow:
    return absl::StrFormat("SELECT * FROM group_follow(%d, %s, %d)", Request.InTerm.Value,
                           quoted(Request.Host), Request.Port);
  case CallKind::Wait:
    return absl::StrFormat("SELECT * FROM group_wait(%d, %d, %d)", Request.InTerm.Value,
                           Request.Position, absl::ToInt64Milliseconds(Request.WaitLimit));
  }
  return "";
}

std::string formatAddress(const std::string &Host, uint16_t Port) {
  return absl::StrFormat("%s:%d", Host, Port);
}

Role parseRole(const std::string &Text) {
  if (Text == "primary")
    return Role::Primary;
  if (Text == "replica")
    return Role::Replica;
  return Text == "fenced" ? Role::Fenced : Role::Unknown;
}

} // namespace toucan::group
