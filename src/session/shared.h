// What all sessions of an instance share. Belongs to the entry loop.
#ifndef TOUCAN_SESSION_SHARED_H
#define TOUCAN_SESSION_SHARED_H

#include "session/session.h"
#include "session/token.h"
#include "sql/sql.h"

#include <algorithm>
#include <random>

namespace toucan::session {

// Limits retries to a share of the requests, so that they cannot multiply the load of an outage.
class RetryBudget {
public:
  void onRequest() { this->Balance = std::min(this->Balance + SharePerRequest, MaxBalance); }
  bool take() {
    if (this->Balance < 1)
      return false;
    this->Balance -= 1;
    return true;
  }

private:
  static constexpr double SharePerRequest = 0.1;
  // Allows an instance with little load to retry through one change of primary.
  static constexpr double MaxBalance = 100;

  double Balance = MaxBalance;
};

struct Shared {
  explicit Shared(EntryOptions Given)
      : Options(std::move(Given)), Signer(Options.TokenKey), Random(Options.Seed) {}

  EntryOptions Options;
  TokenSigner Signer;
  std::mt19937_64 Random; // of the retry jitter
  RetryBudget Budget;
  sql::Classifier Classifier;
  member::ViewPtr View; // null before the first view
  bool Draining = false;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SHARED_H
