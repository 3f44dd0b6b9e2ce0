#include "base/verdict.h"

#include "absl/strings/str_format.h"

#include <array>
#include <cassert>

namespace toucan {

namespace {

enum class Use : uint8_t { Refusal, Retry };

struct ReasonRow {
  Reason Id;
  std::string_view Name;
  std::string_view SqlState;
  Verdict Outcome;
  Use CountedAs;
  std::string_view Text;
};

constexpr Verdict Not = Verdict::NotRun;
constexpr Verdict Ran = Verdict::Ran;
constexpr Verdict May = Verdict::MayHaveRun;
constexpr Use Refuse = Use::Refusal;
constexpr Use Retry = Use::Retry;

constexpr std::array<ReasonRow, ReasonCount> Rows = {{
    {Reason::None, "none", "00000", Ran, Refuse, "no error"},
    {Reason::QueueFull, "queue_full", "53300", Not, Refuse, "the queue of the database is full"},
    {Reason::QueueDeadline, "queue_deadline", "57014", Not, Refuse,
     "the request cannot start before its deadline"},
    {Reason::NoOwner, "no_owner", "57P03", Not, Refuse, "no live instance owns the database"},
    {Reason::UnknownDatabase, "unknown_database", "3D000", Not, Refuse, "unknown database"},
    {Reason::NoPrimary, "no_primary", "57P03", Not, Refuse,
     "the database has no confirmed primary"},
    {Reason::TargetUnreachable, "target_unreachable", "08001", Not, Refuse,
     "no eligible target can be reached"},
    {Reason::FloorUnreachable, "floor_unreachable", "57P03", Not, Refuse,
     "no target has reached the position of the session"},
    {Reason::LinkDown, "link_down", "08001", Not, Refuse, "the owning instance cannot be reached"},
    {Reason::Draining, "draining", "57P01", Not, Refuse, "the instance is shutting down"},
    {Reason::RulesUnknown, "rules_unknown", "57P03", Not, Refuse,
     "the instance cannot know the rules in force"},
    {Reason::NotSupported, "not_supported", "0A000", Not, Refuse, "not supported by the proxy"},
    {Reason::TooLarge, "too_large", "54000", Not, Refuse, "message or request over the limit"},
    {Reason::ProtocolViolation, "protocol_violation", "08P01", Not, Refuse, "protocol violation"},
    {Reason::TooManyCallers, "too_many_callers", "53300", Not, Refuse,
     "the instance has reached its caller limit"},
    {Reason::BadToken, "bad_token", "22023", Not, Refuse, "malformed session token"},
    {Reason::LeaseUnknown, "lease_unknown", "25P03", Not, Refuse,
     "the transaction was rolled back because its target connection ended"},
    {Reason::Canceled, "canceled", "57014", Not, Refuse, "canceled by the caller"},
    {Reason::TargetLost, "target_lost", "08007", May, Refuse,
     "the target connection was lost after the request was sent"},
    {Reason::LinkLost, "link_lost", "08007", May, Refuse,
     "the link to the owning instance was lost after the request was sent"},
    {Reason::TermChanged, "term_changed", "08007", May, Refuse,
     "the primary was replaced before the write was confirmed"},
    {Reason::ConfirmDeadline, "confirm_deadline", "08007", May, Refuse,
     "no majority confirmed the write before the deadline"},
    {Reason::RequestDeadline, "request_deadline", "08007", May, Refuse,
     "the target did not answer before the deadline"},
    {Reason::AnswerIncomplete, "answer_incomplete", "08006", May, Refuse,
     "the answer is incomplete because the target was lost"},
    {Reason::RetryTargetLost, "retry_target_lost", "00000", Not, Retry, "target lost"},
    {Reason::RetryOwnerMoved, "retry_owner_moved", "00000", Not, Retry, "owner moved"},
    {Reason::RetryLinkLost, "retry_link_lost", "00000", Not, Retry, "link lost"},
    {Reason::RetryReplicaBehind, "retry_replica_behind", "00000", Not, Retry, "replica behind"},
    {Reason::SafePath, "safe_path", "00000", Not, Retry, "session token not valid"},
    {Reason::PrimaryNotReached, "primary_not_reached", "57P03", Not, Refuse,
     "the owning instance does not reach the primary"},
    {Reason::RetryRedirected, "retry_redirected", "00000", Not, Retry,
     "another instance reaches the primary"},
    {Reason::MemoryLimit, "memory_limit", "53200", Not, Refuse,
     "the instance has reached its memory limit for callers"},
    {Reason::CallerTimeout, "caller_timeout", "08P01", Not, Refuse,
     "the caller has exceeded a time bound"},
}};

// Rows are found by index, so the table must follow the enumeration.
constexpr bool rowsInOrder() {
  for (size_t I = 0; I < Rows.size(); ++I)
    if (Rows[I].Id != static_cast<Reason>(I))
      return false;
  return true;
}
static_assert(rowsInOrder());

const ReasonRow &row(Reason R) {
  assert(R < Reason::Count);
  return Rows[static_cast<size_t>(R)];
}

std::string_view verdictSentence(Verdict V) {
  switch (V) {
  case Verdict::NotRun:
    return "the request has not run and may be sent again";
  case Verdict::Ran:
    return "the request ran";
  case Verdict::MayHaveRun:
    return "the request may have run";
  }
  return "";
}

} // namespace

std::string_view reasonName(Reason R) { return row(R).Name; }

std::string_view reasonSqlState(Reason R) { return row(R).SqlState; }

Verdict reasonVerdict(Reason R) { return row(R).Outcome; }

bool reasonIsRetry(Reason R) { return row(R).CountedAs == Use::Retry; }

std::string reasonText(Reason R, std::string_view Detail) {
  const ReasonRow &Row = row(R);
  if (Detail.empty())
    return absl::StrFormat("%s; %s", Row.Text, verdictSentence(Row.Outcome));
  return absl::StrFormat("%s: %s; %s", Row.Text, Detail, verdictSentence(Row.Outcome));
}

std::string_view verdictName(Verdict V) {
  switch (V) {
  case Verdict::NotRun:
    return "not_run";
  case Verdict::Ran:
    return "ran";
  case Verdict::MayHaveRun:
    return "may_have_run";
  }
  return "";
}

} // namespace toucan
