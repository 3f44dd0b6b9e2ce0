// What all sessions of an instance share. Belongs to the entry loop.
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

// Limits retries to a share of the requests, so that they cannot multiply the load of an outage.
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
  // Allows an instance with little load to retry through one change of primary.
  static constexpr double MaxAvailableRetries = 100;

  double AvailableRetries = MaxAvailableRetries;
};

// An instance that reaches the primary of a database while the owner does not.
struct ObserverHint {
  InstanceId Id;
  Instant Until; // valid before this moment
};

struct SharedState {
  explicit SharedState(EntryOptions Given)
      : Options(std::move(Given)), Signer(Options.TokenKey), Random(Options.Seed) {}

  EntryOptions Options;
  TokenSigner Signer;
  std::mt19937_64 Random; // of the retry jitter
  RetryBudget Budget;
  sql::Classifier Classifier;
  member::ViewPtr View; // null before the first view
  bool Draining = false;

  // Keeps a hint that the owner of a database has sent; false when it is not usable.
  bool recordObserver(const DatabaseName &Database, const InstanceId &From,
                      const ObserverHint &Hint, Instant Now);
  // The instance that gets requests which need the primary, while a hint is valid.
  std::optional<InstanceId> observerOf(const DatabaseName &Database, Instant Now);
  // Drops the hints that name an instance.
  void removeObserver(const InstanceId &Id);

private:
  bool reachable(const InstanceId &Id) const;

  std::map<DatabaseName, ObserverHint> Observers;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SHARED_H
