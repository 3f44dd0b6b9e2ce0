// The claim to change a service's primary: a row of the store that one instance holds at a time.
#ifndef TOUCAN_PROMOTION_CLAIM_H
#define TOUCAN_PROMOTION_CLAIM_H

#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace toucan::promotion {

// Fencing token of a claim; grows whenever a claim is taken. It is the version of the claim's row.
using FencingToken = StrongId<struct FencingTokenTag, uint64_t>;

// How long a claim keeps other instances off; longer than a change takes when nothing else fails.
inline constexpr int64_t ClaimHoldMs = 4000;

// Orders are carried out at most this long after they were sent.
inline constexpr int64_t MaxOrderDelayMs = 15000;

struct ClaimRow {
  InstanceId Holder;
  int64_t TakenAtMs = 0; // on the store's clock
};

std::string encodeClaim(const ClaimRow &Claim);
std::optional<ClaimRow> decodeClaim(const std::string &Text);
// Whether an instance may take a claim that it found. A claim that cannot be read is taken over.
bool canTakeClaim(const std::optional<ClaimRow> &Found, const InstanceId &Self, int64_t StoreNowMs);

enum class ClaimOutcome : uint8_t { Granted, HeldByOther, StoreFailed };

struct ClaimResult {
  ClaimOutcome Outcome = ClaimOutcome::StoreFailed;
  FencingToken Token;
  // Granted: another instance held the claim a short time ago, so that an order of its may still be
  // on its way.
  bool TakenOver = false;
  std::string Detail; // the holder, or why the store failed
};

// Takes claims through the store. After an unanswered write the next claim takes a new token: the
// row's version has changed if the write was done, and the condition makes a late one fail.
class Claimer {
public:
  Claimer(store::RowStore &Rows, InstanceId Self) : Rows(Rows), Self(std::move(Self)) {}

  // StoreNowMs: the store's clock, as estimated from its answers.
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
