// Whether a request may have run, and why it was refused or retried.
#ifndef TOUCAN_BASE_VERDICT_H
#define TOUCAN_BASE_VERDICT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucan {

// NotRun is a promise: no target has executed any part of the request.
enum class Verdict : uint8_t { NotRun = 1, Ran = 2, MayHaveRun = 3 };

// Why a request ended without the target's own answer, or why it was tried again.
// Each value has one counter, one SQLSTATE and one text (table in verdict.cpp).
enum class Reason : uint8_t {
  None,
  // Refusals: the request has not run.
  QueueFull,         // the queue of the database and class is full
  QueueDeadline,     // the request cannot start, or did not start, before its deadline
  NoOwner,           // no live instance owns the database
  UnknownDatabase,   // no such database group
  NoPrimary,         // the group has no confirmed primary at present
  TargetUnreachable, // no connection to an eligible target
  FloorUnreachable,  // no target has reached the position of the session
  LinkDown,          // the link to the owner is down and the request was not sent
  Draining,          // this instance is shutting down
  RulesUnknown,      // this instance cannot know the rules in force
  NotSupported,      // session state that cannot be carried between target connections
  TooLarge,          // frame or request over the limit
  ProtocolViolation, // malformed frame or frame out of sequence
  TooManyCallers,    // caller limit of the instance
  BadToken,          // token malformed (a forged one is ignored, see SafePath)
  LeaseUnknown,      // the transaction's target connection no longer exists
  Canceled,          // cancelled by the caller before it ran
  // Unknown outcomes: the request may have run.
  TargetLost,      // target connection lost after the request was sent
  LinkLost,        // link to the owner lost after the request was sent
  TermChanged,     // the primary was replaced before the write was confirmed
  ConfirmDeadline, // no majority confirmed the write before the deadline
  RequestDeadline, // the target did not answer before the deadline
  // Definite failure of an answer: the request ran or its transaction was rolled back.
  AnswerIncomplete, // part of the answer was relayed, then the target or the link was lost
  // Retries.
  RetryTargetLost,    // read sent again after its target was lost
  RetryOwnerMoved,    // request not run at an instance that is not the owner any more
  RetryLinkLost,      // read sent again after its link was lost
  RetryReplicaBehind, // replica did not reach the floor in time, primary tried
  SafePath,           // token not valid: the floor was read from the primary
  // Added later: messages between instances carry the number of a reason.
  PrimaryNotReached, // refusal: the owner does not reach the primary, another instance does
  RetryRedirected,   // retry: request not run at the owner, sent to an instance that reaches it
  MemoryLimit,       // refusal: the callers of this instance use too much memory
  CallerTimeout,     // refusal: a message was not completed, or answers were not taken, in time
  Count
};

inline constexpr size_t ReasonCount = static_cast<size_t>(Reason::Count);

// Name for logs and counters, lower case with underscores.
std::string_view reasonName(Reason R);
// Five-character SQLSTATE that the caller sees.
std::string_view reasonSqlState(Reason R);
// Whether the request may have run when it ends with this reason.
Verdict reasonVerdict(Reason R);
// True for reasons that are counted as retries rather than refusals.
bool reasonIsRetry(Reason R);
// Text for the caller; names the verdict. Detail may be empty.
std::string reasonText(Reason R, std::string_view Detail);

std::string_view verdictName(Verdict V);

} // namespace toucan

#endif // TOUCAN_BASE_VERDICT_H
