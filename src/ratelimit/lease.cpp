#include "ratelimit/ratelimit.h"

#include "base/hash.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <array>

namespace toucan::ratelimit {

namespace {

// Delay after a renewal without a usable answer. The store is unavailable for some seconds at most,
// and the lease must be renewed soon after that.
constexpr absl::Duration RetryInterval = absl::Milliseconds(500);

// The order is that of RowState.
const std::array<std::string, 3> StateNames{"claimed", "held", "released"};

// Equal in every version, because all instances must get the same order. The final mix is the first
// half of that of MurmurHash3.
uint64_t claimWeight(const InstanceId &Instance, uint32_t Partition) {
  uint64_t Hash = fnv1a(absl::StrCat(Partition, "/", Instance.Value));
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

std::string encodeLease(const LeaseRow &Row) {
  return absl::StrCat(Row.Holder.Value, " ", Row.Incarnation, " ", Row.ExpiresMs, " ",
                      StateNames[static_cast<size_t>(Row.State)]);
}

std::optional<LeaseRow> decodeLease(const std::string &Value) {
  std::vector<std::string> Fields = absl::StrSplit(Value, ' ');
  LeaseRow Out;
  if (Fields.size() != 4 || Fields[0].empty() || !absl::SimpleAtoi(Fields[1], &Out.Incarnation) ||
      !absl::SimpleAtoi(Fields[2], &Out.ExpiresMs))
    return std::nullopt;
  const auto *Name = std::find(StateNames.begin(), StateNames.end(), Fields[3]);
  if (Name == StateNames.end())
    return std::nullopt;
  Out.Holder = InstanceId(Fields[0]);
  Out.State = static_cast<RowState>(Name - StateNames.begin());
  return Out;
}

LeaseState::LeaseState(InstanceId Self, uint64_t Incarnation)
    : Self(std::move(Self)), Incarnation(Incarnation) {}

bool LeaseState::grants(Instant Now) const {
  return this->Current == Phase::Held && Now < this->LeaseEnd;
}

int64_t LeaseState::storeMs(Instant Now) const {
  return this->StoreMs +
         absl::ToInt64Milliseconds(absl::Ceil(Now - this->StoreAt, absl::Milliseconds(1)));
}

LeaseWrite LeaseState::write(store::RowVersion Expected, RowState State, Instant Now) {
  this->PendingNumber = this->NextNumber++;
  this->PendingAt = Now;
  int64_t Validity = State == RowState::Released ? 0 : absl::ToInt64Milliseconds(LeaseDuration);
  return {.Number = this->PendingNumber,
          .Expected = Expected,
          .Value = encodeLease({.Holder = this->Self,
                                .Incarnation = this->Incarnation,
                                .ExpiresMs = this->storeMs(Now) + Validity,
                                .State = State})};
}

std::optional<LeaseWrite> LeaseState::claim(const store::Row &Found, int64_t StoreMs,
                                            Instant ReadAt, Instant Now) {
  if (this->Current != Phase::None || this->writing())
    return std::nullopt;
  std::optional<LeaseRow> Row = Found.Version.Value == 0 ? std::nullopt : decodeLease(Found.Value);
  bool Expired = !Row || Row->State == RowState::Released || Row->ExpiresMs <= StoreMs;
  bool Own = Row && Row->Holder == this->Self;
  if (!Expired && !Own)
    return std::nullopt;
  this->StoreMs = StoreMs;
  this->StoreAt = ReadAt;
  this->HeldAtOnce =
      Own && !Expired && Row->Incarnation < this->Incarnation && Row->State == RowState::Held;
  this->InitialTokens = !Row || (!Own && Row->State == RowState::Held) ? 1 : 0;
  return this->write(Found.Version, this->HeldAtOnce ? RowState::Held : RowState::Claimed, Now);
}

std::optional<LeaseWrite> LeaseState::renewal(Instant Now) {
  if (this->Current == Phase::None || this->writing() || Now < this->NextRenewal)
    return std::nullopt;
  // The renewal that ends the wait records that tokens are granted from then on.
  bool Holds = this->Current == Phase::Held || Now >= this->WaitUntil;
  return this->write(this->Version, Holds ? RowState::Held : RowState::Claimed, Now);
}

void LeaseState::checkSoon(Instant Now) { this->NextRenewal = std::min(this->NextRenewal, Now); }

std::optional<LeaseWrite> LeaseState::release(Instant Now) {
  bool Owned = this->Current != Phase::None;
  store::RowVersion Expected = this->Version;
  this->drop();
  if (!Owned)
    return std::nullopt;
  LeaseWrite Out = this->write(Expected, RowState::Released, Now);
  this->PendingNumber = 0; // nothing depends on its result
  return Out;
}

// A write that is under way is ignored when it is answered.
void LeaseState::drop() {
  this->Current = Phase::None;
  this->PendingNumber = 0;
  this->LeaseEnd = absl::InfinitePast();
}

LeaseState::Change LeaseState::onWritten(uint64_t Number, const store::WriteResult &Result,
                                         Instant Now) {
  if (Number == 0 || Number != this->PendingNumber)
    return Change::None;
  this->PendingNumber = 0;
  bool Done = Result.Outcome == store::WriteOutcome::Done;
  if (Done) {
    this->StoreMs = Result.StoreMs;
    this->StoreAt = this->PendingAt;
  }
  if (this->Current != Phase::None)
    return this->onRenewed(Result, Now);
  Instant End = this->PendingAt + LeaseDuration;
  if (!Done || Now >= End)
    return Change::None;
  this->Version = Result.Version;
  this->LeaseEnd = End;
  this->WaitUntil = this->PendingAt + LeaseDuration;
  this->NextRenewal = this->PendingAt + RenewalInterval;
  this->Current = this->HeldAtOnce ? Phase::Held : Phase::Claimed;
  return this->HeldAtOnce ? Change::Held : Change::Claimed;
}

LeaseState::Change LeaseState::onRenewed(const store::WriteResult &Result, Instant Now) {
  if (Result.Outcome == store::WriteOutcome::Conflict) {
    std::optional<LeaseRow> Row = decodeLease(Result.Found.Value);
    // An earlier write of this process was executed although its answer was lost. The lease is
    // renewed again on that row and ends as before until then.
    if (Result.Found.Version.Value != 0 && Row && Row->Holder == this->Self &&
        Row->Incarnation == this->Incarnation && Now < this->LeaseEnd) {
      this->Version = Result.Found.Version;
      this->NextRenewal = Now;
      return Change::None;
    }
    this->drop();
    return Change::Lost;
  }
  if (Result.Outcome != store::WriteOutcome::Done) {
    this->NextRenewal = Now + RetryInterval;
    return Change::None;
  }
  // A lower version shows that the store was restored, so that others may have seen another row.
  bool Restored = Result.Version <= this->Version;
  bool Late = this->PendingAt >=
              this->LeaseEnd + (this->Current == Phase::Held ? ResumeLimit : absl::ZeroDuration());
  if (Restored || Late) {
    this->drop();
    return Change::Lost;
  }
  this->Version = Result.Version;
  this->LeaseEnd = this->PendingAt + LeaseDuration;
  this->NextRenewal = this->PendingAt + RenewalInterval;
  if (this->Current == Phase::Held)
    return Change::None;
  if (this->PendingAt < this->WaitUntil) {
    this->NextRenewal = std::min(this->NextRenewal, this->WaitUntil);
    return Change::None;
  }
  this->Current = Phase::Held;
  return Change::Held;
}

void LeaseState::onAnnouncement(Instant Now) {
  this->WaitUntil = std::max(this->WaitUntil, Now + LeaseDuration);
  this->checkSoon(Now);
}

bool LeaseState::onQuery(Instant Now) {
  if (this->grants(Now))
    return true;
  this->drop();
  return false;
}

LeaseState::Change LeaseState::onAllDenied(Instant Now) {
  if (this->Current != Phase::Claimed || Now >= this->LeaseEnd)
    return Change::None;
  this->Current = Phase::Held;
  this->checkSoon(Now); // records in the row that tokens are granted
  return Change::Held;
}

LeaseState::Change LeaseState::expire(Instant Now) {
  absl::Duration Kept = this->Current == Phase::Held ? ResumeLimit : absl::ZeroDuration();
  if (this->Current == Phase::None || Now < this->LeaseEnd + Kept)
    return Change::None;
  this->drop();
  return Change::Lost;
}

size_t claimRank(const InstanceId &Self, const std::vector<InstanceId> &Others,
                 uint32_t Partition) {
  auto Weight = std::pair(claimWeight(Self, Partition), Self);
  return static_cast<size_t>(
      std::count_if(Others.begin(), Others.end(), [&](const InstanceId &Other) {
        return std::pair(claimWeight(Other, Partition), Other) > Weight;
      }));
}

} // namespace toucan::ratelimit
