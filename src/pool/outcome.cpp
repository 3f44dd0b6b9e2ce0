#include "pool/outcome.h"

#include <algorithm>

namespace toucan::pool {

LossOutcome outcomeOfLoss(const LossFacts &Facts) {
  if (!Facts.Written && Facts.InTransaction)
    return {.Why = Reason::LeaseUnknown, .Outcome = Verdict::NotRun};
  if (!Facts.Written)
    return {
        .Step = LossStep::Requeue, .Why = Reason::TargetUnreachable, .Outcome = Verdict::NotRun};
  Reason Lost = Facts.TermOver ? Reason::TermChanged : Reason::TargetLost;
  if (!Facts.Repeatable || Facts.InTransaction)
    return {.Why = Lost};
  if (Facts.Relayed)
    return {.Why = Reason::AnswerIncomplete};
  return {.Step = LossStep::Retry, .Why = Lost};
}

void RetryBudget::onRequest() {
  this->Tokens = std::min(MaxTokens, this->Tokens + TokensPerRequest);
}

bool RetryBudget::take() {
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace toucan::pool
