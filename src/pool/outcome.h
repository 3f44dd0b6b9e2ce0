// Decides how a request ends or is retried after the loss of its target connection. Performs no
// I/O.
#ifndef TOUCAN_POOL_OUTCOME_H
#define TOUCAN_POOL_OUTCOME_H

#include "base/verdict.h"

#include <cstdint>

namespace toucan::pool {

// State of a request whose connection ended before the answer was complete.
struct LossFacts {
  bool Written = false;    // the kernel has accepted the whole request, so the target may have it
  bool Relayed = false;    // part of the answer was sent to the caller
  bool Repeatable = false; // safe to repeat
  bool InTransaction = false; // ran in a transaction, which ended with the connection
  bool TermOver = false;      // the connection was closed because its term ended
};

enum class LossStep : uint8_t {
  Requeue, // not run: use another connection
  Retry,   // safe to repeat: retry within the retry budget
  Fail,
};

struct LossOutcome {
  LossStep Step = LossStep::Fail;
  Reason Why = Reason::None; // for Fail, and for Retry when the budget is exhausted
  Verdict Outcome = Verdict::MayHaveRun;
};

LossOutcome outcomeOfLoss(const LossFacts &Facts);

// Token bucket that limits retries to a fraction of the requests. The initial tokens allow retries
// on a database with few requests.
class RetryBudget {
public:
  void onRequest();
  // Takes the token of one retry; returns false when there is none left.
  bool take();

private:
  static constexpr double TokensPerRequest = 0.1; // added per request
  static constexpr double MaxTokens = 100;
  double Tokens = 10;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_OUTCOME_H
