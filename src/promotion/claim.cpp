#include "promotion/claim.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <utility>
#include <vector>

namespace toucan::promotion {

namespace {

const char *const ClaimTable = "primary-claims";
// Writes of one claim: the first may meet an unknown version, the second one that has just changed.
constexpr int ClaimAttempts = 3;

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

bool mayTake(const std::optional<ClaimRow> &Found, const InstanceId &Self, int64_t StoreNowMs) {
  return !Found || Found->Holder == Self || StoreNowMs - Found->TakenAtMs >= ClaimHoldMs;
}

void Claimer::claim(const std::string &Service, int64_t StoreNowMs,
                    std::function<void(ClaimResult)> Done) {
  this->attempt(Service, StoreNowMs, ClaimAttempts, std::move(Done));
}

void Claimer::attempt(const std::string &Service, int64_t StoreNowMs, int Left,
                      std::function<void(ClaimResult)> Done) {
  Seen &Before = this->Known[Service];
  if (Before.Row && !mayTake(Before.Row, this->Self, StoreNowMs)) {
    Done({.Is = ClaimOutcome::HeldByOther, .Detail = Before.Row->Holder.Value});
    return;
  }
  bool TakenOver = Before.Row && Before.Row->Holder != this->Self &&
                   StoreNowMs - Before.Row->TakenAtMs < LateOrderMs;
  ClaimRow Mine{.Holder = this->Self, .TakenAtMs = StoreNowMs};
  this->Rows.write(
      ClaimTable, Service, Before.Version, encodeClaim(Mine),
      [this, Service, Left, Mine, TakenOver, Done = std::move(Done)](const store::WriteResult &R) {
        Seen &Now = this->Known[Service];
        if (R.Outcome == store::WriteOutcome::Done) {
          Now = {.Version = R.Version, .Row = Mine};
          Done({.Is = ClaimOutcome::Granted,
                .Token = FencingToken(R.Version.Value),
                .TakenOver = TakenOver});
          return;
        }
        if (R.Outcome != store::WriteOutcome::Conflict) {
          Done({.Is = ClaimOutcome::StoreFailed, .Detail = R.Cause});
          return;
        }
        Now = {.Version = R.Found.Version, .Row = decodeClaim(R.Found.Value)};
        if (Left > 1)
          this->attempt(Service, R.StoreMs, Left - 1, Done);
        else
          Done({.Is = ClaimOutcome::HeldByOther,
                .Detail = Now.Row ? Now.Row->Holder.Value : std::string("unreadable")});
      });
}

} // namespace toucan::promotion
