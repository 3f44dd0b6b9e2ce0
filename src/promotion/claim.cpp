#include "promotion/claim.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <utility>
#include <vector>

namespace toucan::promotion {

namespace {

const char *const ClaimTable = "primary-claims";
// Conditional writes per claim. The first can conflict because the version of the row is not known
// yet, the second because another instance has just written the row.
constexpr int MaxClaimWrites = 3;

} // namespace

std::string encodeClaim(const ClaimRow &Claim) {
  return absl::StrCat(Claim.TakenAtMs, " ", Claim.Holder.Value);
}

std::optional<ClaimRow> decodeClaim(const std::string &Text) {
  std::vector<std::string> Fields = absl::StrSplit(Text, absl::MaxSplits(' ', 1));
  ClaimRow Out;
  if (Fields.size() != 2 || !absl::SimpleAtoi(Fields[0], &Out.TakenAtMs))
    return std::nullopt;
  Out.Holder = InstanceId(Fields[1]);
  return Out;
}

bool canTakeClaim(const std::optional<ClaimRow> &Found, const InstanceId &Self,
                  int64_t StoreNowMs) {
  return !Found || Found->Holder == Self || StoreNowMs - Found->TakenAtMs >= ClaimHoldMs;
}

void Claimer::claim(const std::string &Service, int64_t StoreNowMs,
                    std::function<void(ClaimResult)> Done) {
  this->tryClaim(Service, StoreNowMs, MaxClaimWrites, std::move(Done));
}

void Claimer::tryClaim(const std::string &Service, int64_t StoreNowMs, int AttemptsLeft,
                       std::function<void(ClaimResult)> Done) {
  KnownClaim &Cached = this->KnownClaims[Service];
  if (Cached.Row && !canTakeClaim(Cached.Row, this->Self, StoreNowMs)) {
    Done({.Outcome = ClaimOutcome::HeldByOther, .Detail = Cached.Row->Holder.Value});
    return;
  }
  bool TakenOver = Cached.Row && Cached.Row->Holder != this->Self &&
                   StoreNowMs - Cached.Row->TakenAtMs < MaxOrderDelayMs;
  ClaimRow NewClaim{.Holder = this->Self, .TakenAtMs = StoreNowMs};
  this->Rows.write(
      ClaimTable, Service, Cached.Version, encodeClaim(NewClaim),
      [this, Service, AttemptsLeft, NewClaim, TakenOver,
       Done = std::move(Done)](const store::WriteResult &R) {
        KnownClaim &Latest = this->KnownClaims[Service];
        if (R.Outcome == store::WriteOutcome::Done) {
          Latest = {.Version = R.Version, .Row = NewClaim};
          Done({.Outcome = ClaimOutcome::Granted,
                .Token = FencingToken(R.Version.Value),
                .TakenOver = TakenOver});
          return;
        }
        if (R.Outcome != store::WriteOutcome::Conflict) {
          Done({.Outcome = ClaimOutcome::StoreFailed, .Detail = R.Cause});
          return;
        }
        Latest = {.Version = R.Found.Version, .Row = decodeClaim(R.Found.Value)};
        if (AttemptsLeft > 1)
          this->tryClaim(Service, R.StoreMs, AttemptsLeft - 1, Done);
        else
          Done({.Outcome = ClaimOutcome::HeldByOther,
                .Detail = Latest.Row ? Latest.Row->Holder.Value : std::string("unreadable")});
      });
}

} // namespace toucan::promotion
