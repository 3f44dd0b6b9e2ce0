#include "ratelimit/ratelimit.h"

#include <algorithm>
#include <cmath>

namespace toucan::ratelimit {

namespace {

// Share of the tolerance that is used for tokens granted before a window and used in it.
constexpr double LifetimeShare = 0.6;
// Added to each partition's share of the burst, so that a small burst leaves whole tokens.
constexpr double ExtraTokens = 1;
// Compensates for rounding of a bucket that fills to exactly one token.
constexpr double RoundingMargin = 1e-9;
// Upper limit of the tokens of one request; bounds the arithmetic for huge rates.
constexpr double MaxTokensWanted = 1e6;
// Time constant of the learned demand. Longer than the token lifetime at usual rates.
constexpr double DemandSeconds = 2;
// Share of the expected demand during a token's lifetime that is requested ahead. Tokens that
// expire unused are lost for all instances.
constexpr double AheadShare = 0.5;

double capOf(const Limit &L) {
  return L.PerSecond > 0 ? L.Burst / PartitionCount + ExtraTokens : 0;
}

} // namespace

absl::Duration toleratedLifetime(const Limit &Of, const Bounds &In) {
  if (!(Of.PerSecond > 0))
    return absl::ZeroDuration();
  double Tolerance =
      In.Overage * (Of.PerSecond * absl::ToDoubleSeconds(In.Window) + Of.Burst) + In.Slack;
  double Seconds = Tolerance * LifetimeShare / Of.PerSecond;
  return absl::Seconds(Seconds);
}

absl::Duration tokenLifetime(const Limit &Of, const Bounds &In) {
  return std::min(MaxTokenLifetime, toleratedLifetime(Of, In));
}

TokenBucket::TokenBucket(double PerSecond, double Cap, double Tokens, Instant Now)
    : PerSecond(PerSecond), Cap(Cap), Tokens(std::min(Tokens, Cap)), FilledAt(Now) {}

void TokenBucket::fill(Instant Now) {
  if (Now <= this->FilledAt)
    return;
  double Added = this->PerSecond * absl::ToDoubleSeconds(Now - this->FilledAt);
  this->Tokens = std::min(this->Cap, this->Tokens + Added);
  this->FilledAt = Now;
}

void TokenBucket::setLimit(double NewPerSecond, double NewCap, Instant Now) {
  this->fill(Now);
  this->PerSecond = NewPerSecond;
  this->Cap = NewCap;
  this->Tokens = std::min(this->Tokens, NewCap);
}

uint32_t TokenBucket::take(uint32_t Wanted, Instant Now) {
  this->fill(Now);
  double Whole = std::floor(this->Tokens + RoundingMargin);
  double Taken = std::min<double>(Wanted, Whole);
  this->Tokens = std::max(0.0, this->Tokens - Taken);
  return static_cast<uint32_t>(Taken);
}

absl::Duration TokenBucket::untilNext(Instant Now) {
  this->fill(Now);
  double Missing = 1 - this->Tokens;
  if (Missing <= RoundingMargin)
    return absl::ZeroDuration();
  if (!(this->PerSecond > 0) || this->Cap < 1)
    return absl::InfiniteDuration();
  return absl::Seconds(Missing / this->PerSecond);
}

Partition::Partition(const std::map<AccountName, Limit> &Limits, double InitialTokens,
                     Instant Now) {
  this->apply(Limits, InitialTokens, Now);
}

void Partition::setLimits(const std::map<AccountName, Limit> &Limits, Instant Now) {
  this->apply(Limits, 0, Now);
}

void Partition::apply(const std::map<AccountName, Limit> &Limits, double InitialTokens,
                      Instant Now) {
  std::erase_if(this->Buckets, [&](const auto &B) { return !Limits.contains(B.first); });
  for (const auto &[Account, L] : Limits) {
    double PerSecond = L.PerSecond / PartitionCount;
    auto [It, New] = this->Buckets.try_emplace(Account, PerSecond, capOf(L), InitialTokens, Now);
    if (!New)
      It->second.setLimit(PerSecond, capOf(L), Now);
  }
}

Partition::Taken Partition::take(const AccountName &Account, uint32_t Wanted, Instant Now) {
  auto It = this->Buckets.find(Account);
  if (It == this->Buckets.end())
    return {.Tokens = 0, .Next = absl::InfiniteDuration()};
  Taken Out{.Tokens = It->second.take(Wanted, Now)};
  if (Out.Tokens < Wanted)
    Out.Next = It->second.untilNext(Now);
  return Out;
}

void Allowance::add(uint32_t Tokens, Instant ExpiresAt) {
  if (Tokens == 0)
    return;
  auto At = std::find_if(this->Batches.begin(), this->Batches.end(),
                         [&](const Batch &B) { return ExpiresAt < B.ExpiresAt; });
  this->Batches.insert(At, {.Tokens = Tokens, .ExpiresAt = ExpiresAt});
}

void Allowance::expire(Instant Now) {
  while (!this->Batches.empty() && this->Batches.front().ExpiresAt <= Now)
    this->Batches.pop_front();
}

bool Allowance::take(Instant Now) {
  this->expire(Now);
  if (this->Batches.empty())
    return false;
  if (--this->Batches.front().Tokens == 0)
    this->Batches.pop_front();
  return true;
}

uint32_t Allowance::held(Instant Now) {
  this->expire(Now);
  uint32_t Out = 0;
  for (const Batch &B : this->Batches)
    Out += B.Tokens;
  return Out;
}

double Demand::perSecond(Instant Now) const {
  if (this->Rate == 0)
    return 0;
  double Elapsed = std::max(0.0, absl::ToDoubleSeconds(Now - this->UpdatedAt));
  return this->Rate * std::exp(-Elapsed / DemandSeconds);
}

void Demand::onOperation(Instant Now) {
  this->Rate = this->perSecond(Now) + 1 / DemandSeconds;
  this->UpdatedAt = Now;
}

uint32_t tokensWanted(double DemandPerSecond, absl::Duration Lifetime, size_t Waiting) {
  double Ahead = std::floor(DemandPerSecond * absl::ToDoubleSeconds(Lifetime) * AheadShare);
  double Wanted = std::max({1.0, Ahead, static_cast<double>(Waiting)});
  return static_cast<uint32_t>(std::min(Wanted, MaxTokensWanted));
}

} // namespace toucan::ratelimit
