#include "placement/account_links.h"

#include <algorithm>
#include <cmath>

namespace toucan::placement {

namespace {

// Half-life of the learned rates. Spans a burst of one account, which lasts 5 to 8 s.
constexpr absl::Duration RateHalfLife = absl::Seconds(10);
// Accounts that are remembered at a target. The least used one is forgotten.
constexpr size_t MaxAccounts = 256;
// Added to the rate, so that accounts that were used once compare by their idle time.
constexpr double LeastRate = 0.02;

double decay(absl::Duration Since) { return std::exp2(-absl::FDivDuration(Since, RateHalfLife)); }

} // namespace

void AccountUse::onArrival(const AccountName &Account, Instant Now) {
  if (Account != defaultAccount())
    this->LastClientArrival = Now;
}

void AccountUse::onUsed(const AccountName &Account, Instant Now) {
  if (this->Uses.size() >= MaxAccounts && !this->Uses.contains(Account)) {
    auto Least =
        std::min_element(this->Uses.begin(), this->Uses.end(), [Now](const auto &A, const auto &B) {
          return A.second.Recent * decay(Now - A.second.At) <
                 B.second.Recent * decay(Now - B.second.At);
        });
    this->Uses.erase(Least);
  }
  Use &U = this->Uses.try_emplace(Account, Use{.At = Now}).first->second;
  U.Recent = U.Recent * decay(Now - U.At) + 1;
  U.At = Now;
}

double AccountUse::rate(const AccountName &Account, Instant Now) const {
  auto It = this->Uses.find(Account);
  if (It == this->Uses.end())
    return 0;
  // At a steady rate, Recent approaches the rate times the mean life, half-life / ln 2.
  double MeanLife = absl::ToDoubleSeconds(RateHalfLife) / std::log(2.0);
  return It->second.Recent * decay(Now - It->second.At) / MeanLife;
}

std::optional<size_t> connectionToReplace(std::span<const IdleConnection> Idle,
                                          const AccountName &For, const AccountUse &Use,
                                          const std::set<AccountName> &Waiting, Instant Now) {
  std::map<AccountName, size_t> Count;
  for (const IdleConnection &C : Idle)
    ++Count[C.Account];
  std::optional<size_t> Best;
  double BestScore = 0;
  for (size_t I = 0; I < Idle.size(); ++I) {
    const IdleConnection &C = Idle[I];
    if (C.Account == For || Waiting.contains(C.Account))
      continue;
    double Rate = Use.rate(C.Account, Now) / static_cast<double>(Count[C.Account]);
    // A connection that has just become idle still differs from others by its rate.
    double IdleSeconds = absl::ToDoubleSeconds(std::max(Now - C.IdleSince, absl::Milliseconds(1)));
    double Score = IdleSeconds / (Rate + LeastRate);
    if (!Best || Score > BestScore) {
      Best = I;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace toucan::placement
