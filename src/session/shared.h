// State that all sessions of an instance share. Accessed only in the entry loop.
#ifndef TOUCAN_SESSION_SHARED_H
#define TOUCAN_SESSION_SHARED_H

#include "session/session.h"
#include "session/token.h"
#include "sql/sql.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace toucan::session {

// Limits retries to a fraction of the requests, so that they do not multiply the load during an
// outage.
class RetryBudget {
public:
  void onRequest() {
    this->AvailableRetries =
        std::min(this->AvailableRetries + RetriesPerRequest, MaxAvailableRetries);
  }
  bool tryTake() {
    if (this->AvailableRetries < 1)
      return false;
    this->AvailableRetries -= 1;
    return true;
  }

private:
  static constexpr double RetriesPerRequest = 0.1;
  // Lets an instance with little load retry during one change of primary.
  static constexpr double MaxAvailableRetries = 100;

  double AvailableRetries = MaxAvailableRetries;
};

// Names an instance that reaches the primary of a database while the owner does not.
struct ObserverHint {
  InstanceId Id;
  Instant Until; // end of validity, exclusive
};

struct SharedState {
  explicit SharedState(EntryOptions Given)
      : Options(std::move(Given)), Signer(Options.TokenKey), Random(Options.Seed) {}

  EntryOptions Options;
  TokenSigner Signer;
  std::mt19937_64 Random; // of the retry jitter
  RetryBudget Budget;
  sql::Classifier Classifier;
  member::ViewPtr View; // null until the first view arrives
  bool Draining = false;

  // Stores a hint sent by the owner of a database; returns false when it is not usable.
  bool recordObserver(const DatabaseName &Database, const InstanceId &From,
                      const ObserverHint &Hint, Instant Now);
  // Returns the instance that receives requests for the primary while a hint is valid.
  std::optional<InstanceId> observerOf(const DatabaseName &Database, Instant Now);
  // Removes all hints that name this instance.
  void removeObserver(const InstanceId &Id);

private:
  bool reachable(const InstanceId &Id) const;

  std::map<DatabaseName, ObserverHint> Observers;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SHARED_H
