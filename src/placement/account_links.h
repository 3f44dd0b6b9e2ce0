// Decides which connection of another client account is closed for a statement that waits, where a
// target accepts fewer connections than there are accounts.
#ifndef TOUCAN_PLACEMENT_ACCOUNT_LINKS_H
#define TOUCAN_PLACEMENT_ACCOUNT_LINKS_H

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace toucan::placement {

// Learns how often the statements of each account use this instance's connections to one target.
class AccountUse {
public:
  // A statement of the account arrived that may run at the target.
  void onArrival(const AccountName &Account, Instant Now);
  // A statement of the account was given a connection.
  void onUsed(const AccountName &Account, Instant Now);
  // Recent uses per second.
  double rate(const AccountName &Account, Instant Now) const;
  // True if statements of a client account arrived recently. Without client accounts,
  // all connections are of the default account, and none is closed for another one.
  bool severalAccounts(Instant Now) const {
    return Now < this->LastClientArrival + AccountUseWindow;
  }

  static constexpr absl::Duration AccountUseWindow = absl::Seconds(60);

private:
  struct Use {
    double Recent = 0; // uses with exponential decay
    Instant At;
  };
  std::map<AccountName, Use> Uses;
  Instant LastClientArrival = absl::InfinitePast();
};

struct IdleConnection {
  AccountName Account;
  Instant IdleSince;
};

// Returns the index of the connection that is closed for a statement of the account For, or nothing
// if none may be. It is the one with the least expected reuse: longest idle in relation to the rate
// at which its account uses each of its idle connections. Accounts in Waiting have statements that
// wait at the target, and keep their connections. Load pattern: 80 accounts, of which one sends a
// quarter of the statements, at an instance with two or three connections to a target.
std::optional<size_t> connectionToReplace(std::span<const IdleConnection> Idle,
                                          const AccountName &For, const AccountUse &Use,
                                          const std::set<AccountName> &Waiting, Instant Now);

// Idle time after which a connection within the share is closed where several accounts are used.
// Opening one again takes 12 ms of a slot, but a connection of an account that is not used any more
// must not stay for good.
inline constexpr absl::Duration AccountIdleLimit = absl::Seconds(30);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_ACCOUNT_LINKS_H
