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

std::string callSql(const Call &What) {
  switch (What.Kind) {
  case CallKind::Status:
    return "SELECT * FROM group_status()";
  case CallKind::Accept:
    return absl::StrFormat("SELECT * FROM group_accept_term(%d, %s)", What.InTerm.Value,
                           quoted(What.Proposer));
  case CallKind::Promote:
    return absl::StrFormat("SELECT * FROM group_promote(%d, %s)", What.InTerm.Value,
                           quoted(What.Proposer));
  case CallKind::Follow:
    return absl::StrFormat("SELECT * FROM group_follow(%d, %s, %d)", What.InTerm.Value,
                           quoted(What.Host), What.Port);
  case CallKind::Wait:
    return absl::StrFormat("SELECT * FROM group_wait(%d, %d, %d)", What.InTerm.Value, What.Position,
                           absl::ToInt64Milliseconds(What.WaitLimit));
  }
  return "";
}

std::string addressOf(const std::string &Host, uint16_t Port) {
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
