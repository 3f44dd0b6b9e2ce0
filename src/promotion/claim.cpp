#include "promotion/claim.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <utility>

namespace toucan::promotion {

namespace {

const char *const TableName = "primary-claims";
// Conditional writes per claim. The first can conflict because the version of the row is not known
// yet, the second because another instance has just written the row.
constexpr int MaxClaimWrites = 3;
// Marks after the holder in the first line of a row.
constexpr absl::string_view EndedMark = "ended";
constexpr absl::string_view StartMark = "start ";
constexpr absl::string_view MemberMark = "member ";

bool mayStillRun(const RecordedOrder &Order, int64_t StoreNowMs) {
  return StoreNowMs - Order.RecordedAtMs < MaxOrderDelayMs;
}

void appendStart(std::string &Out, const TermStart &Start) {
  absl::StrAppend(&Out, "\t", StartMark, Start.InTerm.Value, " ", Start.At.InTerm.Value, " ",
                  Start.At.Position);
}

std::optional<TermStart> decodeStart(absl::string_view Text) {
  std::vector<std::string> Fields = absl::StrSplit(Text, ' ');
  TermStart Out;
  if (Fields.size() != 3 || !absl::SimpleAtoi(Fields[0], &Out.InTerm.Value) ||
      !absl::SimpleAtoi(Fields[1], &Out.At.InTerm.Value) ||
      !absl::SimpleAtoi(Fields[2], &Out.At.Position))
    return std::nullopt;
  return Out;
}

void addMember(roster::Members &Out, absl::string_view Text) {
  std::vector<std::string> Fields = absl::StrSplit(Text, absl::MaxSplits(' ', 1));
  if (Fields.size() == 2)
    Out[TargetId(Fields[1])] = Fields[0];
}

std::optional<RecordedOrder> decodeOrder(const std::string &Text) {
  std::vector<std::string> Fields = absl::StrSplit(Text, absl::MaxSplits(' ', 2));
  RecordedOrder Out;
  if (Fields.size() != 3 || !absl::SimpleAtoi(Fields[0], &Out.RecordedAtMs) ||
      !absl::SimpleAtoi(Fields[1], &Out.AboveTerm.Value) || Fields[2].empty())
    return std::nullopt;
  std::vector<std::string> Marks = absl::StrSplit(Fields[2], '\t');
  Out.Target = TargetId(Marks[0]);
  absl::string_view Mark = Marks.back();
  if (std::optional<TermStart> Start;
      absl::ConsumePrefix(&Mark, StartMark) && (Start = decodeStart(Mark)))
    Out.Start = Start->At;
  return Out;
}

} // namespace

// The first line holds the time, the holder, a mark if its change has ended and a mark for each
// member with its address; each further line an order. Versions of this program that do not know a
// mark ignore it.
std::string encodeClaim(const ClaimRow &Claim) {
  std::string Out = absl::StrCat(Claim.TakenAtMs, " ", Claim.Holder.Value);
  if (Claim.Ended)
    absl::StrAppend(&Out, "\t", EndedMark);
  if (Claim.Start)
    appendStart(Out, *Claim.Start);
  for (const auto &[Id, Address] : Claim.Members)
    absl::StrAppend(&Out, "\t", MemberMark, Address, " ", Id.Value);
  for (const RecordedOrder &O : Claim.Orders) {
    absl::StrAppend(&Out, "\n", O.RecordedAtMs, " ", O.AboveTerm.Value, " ", O.Target.Value);
    if (O.Start)
      appendStart(Out, {.InTerm = O.AboveTerm, .At = *O.Start});
  }
  return Out;
}

std::optional<ClaimRow> decodeClaim(const std::string &Text) {
  std::vector<std::string> Lines = absl::StrSplit(Text, '\n');
  std::vector<std::string> Fields = absl::StrSplit(Lines[0], absl::MaxSplits(' ', 1));
  ClaimRow Out;
  if (Fields.size() != 2 || !absl::SimpleAtoi(Fields[0], &Out.TakenAtMs))
    return std::nullopt;
  std::vector<std::string> Marks = absl::StrSplit(Fields[1], '\t');
  Out.Holder = InstanceId(Marks[0]);
  for (size_t I = 1; I < Marks.size(); ++I) {
    absl::string_view Mark = Marks[I];
    if (Mark == EndedMark)
      Out.Ended = true;
    else if (absl::ConsumePrefix(&Mark, StartMark))
      Out.Start = decodeStart(Mark);
    else if (absl::ConsumePrefix(&Mark, MemberMark))
      addMember(Out.Members, Mark);
  }
  for (size_t I = 1; I < Lines.size(); ++I) {
    std::optional<RecordedOrder> Order = decodeOrder(Lines[I]);
    if (!Order)
      return std::nullopt;
    Out.Orders.push_back(std::move(*Order));
  }
  return Out;
}

bool canTakeClaim(const std::optional<ClaimRow> &Found, const InstanceId &Self,
                  int64_t StoreNowMs) {
  return !Found || Found->Holder == Self || StoreNowMs - Found->TakenAtMs >= ClaimHoldMs;
}

bool allExecuted(const std::vector<RecordedOrder> &Orders, Term Newest) {
  Term Lowest = Newest;
  for (const RecordedOrder &O : Orders)
    Lowest = std::min(Lowest, O.AboveTerm);
  return Newest.Value >= Lowest.Value + Orders.size();
}

// An order changes nothing while its target leads a term that has risen since.
ClaimState claimState(const ClaimRow &Row, const KnownLead &Lead, int64_t StoreNowMs) {
  if (Row.Start && Row.Start->InTerm > Lead.NewestTerm)
    return ClaimState::Changing;
  std::vector<RecordedOrder> Orders = Row.Orders;
  std::erase_if(Orders, [&](const RecordedOrder &O) { return !mayStillRun(O, StoreNowMs); });
  bool Effective = std::any_of(Orders.begin(), Orders.end(), [&](const RecordedOrder &O) {
    return Lead.NewestTerm <= O.AboveTerm || Lead.Leader != O.Target;
  });
  if (Effective && !allExecuted(Orders, Lead.NewestTerm))
    return ClaimState::Changing;
  if (Row.Ended)
    return ClaimState::Settled;
  return StoreNowMs - Row.TakenAtMs < ClaimHoldMs ? ClaimState::Changing : ClaimState::Abandoned;
}

void Claimer::claim(const std::string &Service, int64_t StoreNowMs, const Handler &Done) {
  this->tryClaim(Service, StoreNowMs, MaxClaimWrites, Done);
}

void Claimer::tryClaim(const std::string &Service, int64_t StoreNowMs, int AttemptsLeft,
                       const Handler &Done) {
  KnownClaim &Cached = this->KnownClaims[Service];
  if (Cached.Row && !canTakeClaim(Cached.Row, this->Self, StoreNowMs)) {
    Done({.Outcome = ClaimOutcome::HeldByOther, .Detail = Cached.Row->Holder.Value});
    return;
  }
  ClaimRow New = Cached.Row.value_or(ClaimRow());
  New.Holder = this->Self;
  New.TakenAtMs = StoreNowMs;
  New.Ended = false;
  std::erase_if(New.Orders, [&](const RecordedOrder &O) { return !mayStillRun(O, StoreNowMs); });
  auto OnConflict = [this, Service, AttemptsLeft, Done](const store::WriteResult &R) {
    const KnownClaim &Latest = this->KnownClaims[Service];
    if (AttemptsLeft > 1)
      this->tryClaim(Service, R.StoreMs, AttemptsLeft - 1, Done);
    else
      Done({.Outcome = ClaimOutcome::HeldByOther,
            .Detail = Latest.Row ? Latest.Row->Holder.Value : std::string("unreadable")});
  };
  this->write(Service, std::move(New), StoreNowMs, OnConflict, Done);
}

void Claimer::recordOrder(const std::string &Service, int64_t StoreNowMs, RecordedOrder Order,
                          const std::string &Address, const std::vector<RecordedOrder> &Void,
                          const Handler &Done) {
  const KnownClaim &Cached = this->KnownClaims[Service];
  if (!Cached.Row || Cached.Row->Holder != this->Self) {
    Done({.Outcome = ClaimOutcome::HeldByOther,
          .Detail = Cached.Row ? Cached.Row->Holder.Value : std::string("none")});
    return;
  }
  ClaimRow New = *Cached.Row;
  New.TakenAtMs = StoreNowMs;
  New.Ended = false;
  std::erase_if(New.Orders, [&](const RecordedOrder &O) {
    return !mayStillRun(O, StoreNowMs) || std::find(Void.begin(), Void.end(), O) != Void.end();
  });
  Order.RecordedAtMs = StoreNowMs;
  // While the row names nobody, every server counts.
  if (!New.Members.empty())
    New.Members[Order.Target] = Address;
  New.Orders.push_back(std::move(Order));
  auto OnConflict = [this, Service, Done](const store::WriteResult &) {
    const KnownClaim &Latest = this->KnownClaims[Service];
    Done({.Outcome = ClaimOutcome::HeldByOther,
          .Detail = Latest.Row ? Latest.Row->Holder.Value : std::string("unreadable")});
  };
  this->write(Service, std::move(New), StoreNowMs, OnConflict, Done);
}

void Claimer::end(const std::string &Service, int64_t StoreNowMs,
                  const std::optional<TermStart> &Start, const Handler &Done) {
  ClaimTable::Entry Found = this->KnownClaims[Service];
  if (!Found.Row || Found.Row->Holder != this->Self) {
    Done({.Outcome = ClaimOutcome::HeldByOther});
    return;
  }
  if (Start && (!Found.Row->Start || Start->InTerm > Found.Row->Start->InTerm))
    Found.Row->Start = Start;
  this->endAbandoned(Service, Found, StoreNowMs, Done);
}

void Claimer::endAbandoned(const std::string &Service, const ClaimTable::Entry &Found,
                           int64_t StoreNowMs, const Handler &Done) {
  ClaimRow New = Found.Row.value_or(ClaimRow{.Holder = this->Self, .TakenAtMs = StoreNowMs});
  New.Ended = true;
  std::erase_if(New.Orders, [&](const RecordedOrder &O) { return !mayStillRun(O, StoreNowMs); });
  this->writeFound(Service, Found.Version, std::move(New), StoreNowMs, Done);
}

void Claimer::setMembers(const std::string &Service, const ClaimTable::Entry &Found,
                         roster::Members Members, int64_t StoreNowMs, const Handler &Done) {
  // A row that names members only excludes nobody from the claim.
  ClaimRow New = Found.Row.value_or(
      ClaimRow{.Holder = this->Self, .TakenAtMs = StoreNowMs - ClaimHoldMs, .Ended = true});
  New.Members = std::move(Members);
  this->writeFound(Service, Found.Version, std::move(New), StoreNowMs, Done);
}

// Writes a row that was read at version Found.
void Claimer::writeFound(const std::string &Service, store::RowVersion Found, ClaimRow New,
                         int64_t StoreNowMs, const Handler &Done) {
  this->KnownClaims[Service] = {.Version = Found, .Row = New};
  this->write(
      Service, std::move(New), StoreNowMs,
      [Done](const store::WriteResult &) { Done({.Outcome = ClaimOutcome::HeldByOther}); }, Done);
}

void Claimer::readAll(std::function<void(const std::optional<ClaimTable> &)> Done) {
  this->Rows.readAll(TableName, [Done = std::move(Done)](const store::ReadResult &R) {
    if (!R.Done) {
      Done(std::nullopt);
      return;
    }
    ClaimTable Out{.StoreNowMs = R.StoreMs};
    for (const store::Row &Row : R.Rows)
      Out.Claims[Row.Key] = {.Version = Row.Version, .Row = decodeClaim(Row.Value)};
    Done(Out);
  });
}

// Writes the row at its known version. A conflict updates the known version before OnConflict.
void Claimer::write(const std::string &Service, ClaimRow New, int64_t StoreNowMs,
                    std::function<void(const store::WriteResult &)> OnConflict,
                    const Handler &Done) {
  std::string Value = encodeClaim(New);
  this->Rows.write(TableName, Service, this->KnownClaims[Service].Version, Value,
                   [this, Service, StoreNowMs, New = std::move(New),
                    OnConflict = std::move(OnConflict), Done](const store::WriteResult &R) {
                     KnownClaim &Latest = this->KnownClaims[Service];
                     if (R.Outcome == store::WriteOutcome::Done) {
                       Latest = {.Version = R.Version, .Row = New};
                       Done({.Outcome = ClaimOutcome::Granted,
                             .Token = FencingToken(R.Version.Value),
                             .Orders = New.Orders,
                             .Start = New.Start,
                             .Members = New.Members,
                             .StoreNowMs = StoreNowMs});
                     } else if (R.Outcome == store::WriteOutcome::Conflict) {
                       Latest = {.Version = R.Found.Version, .Row = decodeClaim(R.Found.Value)};
                       OnConflict(R);
                     } else {
                       Done({.Outcome = ClaimOutcome::StoreFailed, .Detail = R.Cause});
                     }
                   });
}

} // namespace toucan::promotion
