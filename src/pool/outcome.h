// What becomes of a request whose target connection ended. Pure.
#ifndef TOUCAN_POOL_OUTCOME_H
#define TOUCAN_POOL_OUTCOME_H

#include "base/verdict.h"

#include <cstdint>

namespace toucan::pool {

// What is known of a request when its connection ends before the whole answer is there.
struct LossFacts {
  bool Written = false;  // the whole request is with the kernel, so the target may have it
  bool Relayed = false;  // part of the answer went to the caller
  bool Read = false;     // may be repeated
  bool InLease = false;  // ran in a transaction, which ended with the connection
  bool TermOver = false; // the connection was closed because its term is over
};

enum class LossStep : uint8_t {
  Requeue, // it has not run: try it on another connection
  Retry,   // it may be repeated: try it again within the retry budget
  Fail,
};

struct LossOutcome {
  LossStep Step = LossStep::Fail;
  Reason Why = Reason::None; // for Fail, and for Retry without budget
  Verdict Outcome = Verdict::MayHaveRun;
};

LossOutcome outcomeOfLoss(const LossFacts &Facts);

// Limits retries to a share of the requests, with a small allowance for a quiet database.
class RetryBudget {
public:
  void onRequest();
  // Takes one retry; false when the budget is used up.
  bool take();

private:
  static constexpr double TokensPerRequest = 0.1; // of the requests
  static constexpr double MaxTokens = 100;        // retries saved up
  double Tokens = 10;                             // before any request was seen
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_OUTCOME_H
