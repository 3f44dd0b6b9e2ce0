// Weighted fair sharing of a service's connections among client accounts.
#ifndef TOUCAN_PLACEMENT_FAIR_H
#define TOUCAN_PLACEMENT_FAIR_H

#include "base/base.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <map>
#include <vector>

namespace toucan::placement {

// Start-time fair queuing: each account has a virtual time, which grows with the connection time
// that it gets, divided by its weight. The account with the lowest virtual time is next. An account
// that did not wait starts at the present virtual time of the others, so that it cannot save up
// a claim. Load pattern: one account sends many times its usual rate; in arrival order its
// statements fill the queue and those of all other accounts wait behind them.
class FairShare {
public:
  // A statement of the account got a connection. Cost is the time for which it is expected to hold
  // it, in milliseconds.
  void onGranted(const AccountName &Account, double CostMs, double Weight);
  // Virtual time from the present one until the account's first waiting statement is due; 0 if its
  // turn is now.
  double dueIn(const AccountName &Account) const;

private:
  absl::flat_hash_map<AccountName, double> VirtualTimes;
  double Present = 0; // virtual time of the statement granted last
};

// Weight of an account whose configured priority is Priority; 0 is the most urgent. Each step
// halves the share.
double shareWeight(int Priority);

// The waiting statements of one account.
struct AccountQueue {
  size_t Count = 0;
  double Weight = 1;
};

// Number of waiting statements that are served before a new one of the account: its own, and of
// each other account as many in the ratio of the weights. Weight: of the account.
size_t waitingAhead(const std::map<AccountName, AccountQueue> &Waiting, const AccountName &Account,
                    double Weight);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_FAIR_H
