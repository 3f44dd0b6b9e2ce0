// The claim to change the primary of a service: a lease in the store, one row per service, held by
// one instance at a time.
#ifndef TOUCAN_PROMOTION_CLAIM_H
#define TOUCAN_PROMOTION_CLAIM_H

#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace toucan::promotion {

// Fencing token of a claim: the version of its row. It increases each time the claim is taken.
using FencingToken = StrongId<struct FencingTokenTag, uint64_t>;

// Time for which a claim excludes other instances. Longer than a change takes if nothing else
// fails.
inline constexpr int64_t ClaimHoldMs = 4000;

// Longest time between sending a promote order and its execution by the platform.
inline constexpr int64_t MaxOrderDelayMs = 15000;

struct ClaimRow {
  InstanceId Holder;
  int64_t TakenAtMs = 0; // on the store's clock
};

std::string encodeClaim(const ClaimRow &Claim);
std::optional<ClaimRow> decodeClaim(const std::string &Text);
// Whether Self may take the claim found in the store: it is its own, expired or unreadable.
bool canTakeClaim(const std::optional<ClaimRow> &Found, const InstanceId &Self, int64_t StoreNowMs);

enum class ClaimOutcome : uint8_t { Granted, HeldByOther, StoreFailed };

struct ClaimResult {
  ClaimOutcome Outcome = ClaimOutcome::StoreFailed;
  FencingToken Token;
  // Granted only: another instance took the claim less than MaxOrderDelayMs ago, so one of its
  // promote orders can still be in flight.
  bool TakenOver = false;
  std::string Detail; // the other holder, or the store error
};

// Takes claims by conditional writes to the store. After an unanswered write, the next claim gets a
// new token: if the write was done, the version of the row has changed; if it arrives late, its
// version condition fails.
class Claimer {
public:
  Claimer(store::RowStore &Rows, InstanceId Self) : Rows(Rows), Self(std::move(Self)) {}

  // StoreNowMs: the time on the store's clock, estimated from its answers.
  void claim(const std::string &Service, int64_t StoreNowMs, std::function<void(ClaimResult)> Done);

private:
  struct KnownClaim {
    store::RowVersion Version;
    std::optional<ClaimRow> Row;
  };
  void tryClaim(const std::string &Service, int64_t StoreNowMs, int AttemptsLeft,
                std::function<void(ClaimResult)> Done);

  store::RowStore &Rows;
  InstanceId Self;
  std::map<std::string, KnownClaim> KnownClaims; // claims as last read or written
};

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_CLAIM_H
