// Public header of the ratelimit library: decisions about rate limits that all instances share.
// Nothing here reads a clock or a socket; the time is an argument.
#ifndef TOUCAN_RATELIMIT_RATELIMIT_H
#define TOUCAN_RATELIMIT_RATELIMIT_H

#include "base/base.h"
#include "store/store.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::ratelimit {

// Number of partitions over which the rate of each account is divided.
inline constexpr uint32_t PartitionCount = 4;
// Validity of a lease on a partition.
inline constexpr absl::Duration LeaseDuration = absl::Seconds(10);
inline constexpr absl::Duration RenewalInterval = absl::Seconds(3);
// Longest time for which an instance may keep a token.
inline constexpr absl::Duration MaxTokenLifetime = absl::Seconds(5);

// Limit of one account.
struct Limit {
  double PerSecond = 0; // 0: nothing is admitted
  double Burst = 0;
  bool operator==(const Limit &) const = default;
};

// In each sliding window, the operations admitted by all instances stay within
// (rate x Window + burst) x (1 + Overage) + Slack.
struct Bounds {
  absl::Duration Window = absl::Seconds(5);
  double Overage = 0.1;
  double Slack = 20;
};

// How long an instance may keep a token. Tokens that were granted before a window and are used in
// it exceed the limit by at most rate x lifetime, which is 60 % of the tolerance. The rest covers
// the extra token of each partition's bucket and the first token of a partition that changes hands.
absl::Duration tokenLifetime(const Limit &Of, const Bounds &In);
// The same without MaxTokenLifetime. It differs between two limits, except for rare pairs.
absl::Duration toleratedLifetime(const Limit &Of, const Bounds &In);

class TokenBucket {
public:
  TokenBucket(double PerSecond, double Cap, double Tokens, Instant Now);
  // Tokens above the new cap are lost.
  void setLimit(double NewPerSecond, double NewCap, Instant Now);
  // Takes up to Wanted whole tokens.
  uint32_t take(uint32_t Wanted, Instant Now);
  // Time until one whole token is there; infinite if there will be none.
  absl::Duration untilNext(Instant Now);

private:
  void fill(Instant Now);

  double PerSecond;
  double Cap;
  double Tokens;
  Instant FilledAt;
};

// The buckets of one partition, at the instance that holds it.
class Partition {
public:
  struct Taken {
    uint32_t Tokens = 0;
    absl::Duration Next = absl::ZeroDuration(); // fewer tokens than wanted: time until the next one
  };

  // InitialTokens: content of the buckets of the accounts that have a limit now. Accounts that
  // appear later start with empty buckets.
  Partition(const std::map<AccountName, Limit> &Limits, double InitialTokens, Instant Now);
  void setLimits(const std::map<AccountName, Limit> &Limits, Instant Now);
  Taken take(const AccountName &Account, uint32_t Wanted, Instant Now);

private:
  void apply(const std::map<AccountName, Limit> &Limits, double InitialTokens, Instant Now);

  std::map<AccountName, TokenBucket> Buckets;
};

// The tokens of one account that an instance holds.
class Allowance {
public:
  void add(uint32_t Tokens, Instant ExpiresAt);
  // Takes the token that expires first. False if none is left.
  bool take(Instant Now);
  uint32_t held(Instant Now);
  void clear() { this->Batches.clear(); }

private:
  struct Batch {
    uint32_t Tokens = 0;
    Instant ExpiresAt;
  };
  void expire(Instant Now);

  std::deque<Batch> Batches; // by expiry
};

// Demand of one account at an instance, in operations per second, averaged over some seconds.
class Demand {
public:
  void onOperation(Instant Now);
  double perSecond(Instant Now) const;

private:
  double Rate = 0;
  Instant UpdatedAt = absl::InfinitePast();
};

// Number of tokens that an instance asks for.
uint32_t tokensWanted(double DemandPerSecond, absl::Duration Lifetime, size_t Waiting);

enum class RowState : uint8_t {
  Claimed,  // the holder does not grant tokens yet
  Held,     // the holder grants tokens
  Released, // the holder has stopped to grant tokens
};

// Value of the row of a partition.
struct LeaseRow {
  InstanceId Holder;
  uint64_t Incarnation = 0;
  int64_t ExpiresMs = 0; // by the store's clock
  RowState State = RowState::Claimed;
};

std::string encodeLease(const LeaseRow &Row);
std::optional<LeaseRow> decodeLease(const std::string &Value);

// A conditional write of the row of a partition.
struct LeaseWrite {
  uint64_t Number = 0; // identifies the write in onWritten()
  store::RowVersion Expected;
  std::string Value;
};

// What this instance knows of its lease on one partition.
//
// The store may be restored from an older copy, so that a row says nothing about leases that were
// granted in the lost part of its history. A lease is therefore never used on the strength of the
// row alone. After its write of the row, a claimant grants no tokens until each lease that may have
// existed before that write has ended: after one LeaseDuration and one further renewal, or as soon
// as every live instance has answered that it does not hold the partition. An instance that gives
// this answer abandons its own claim. There are two exceptions, in which no other instance can have
// begun to grant tokens:
// - A holder whose lease lapsed resumes it if its row is unchanged, within ResumeLimit.
// - A restarted instance takes over the unexpired row of its own former process.
class LeaseState {
public:
  enum class Phase : uint8_t {
    None,
    Claimed, // the row names this instance; it does not grant tokens yet
    Held,    // grants tokens until the lease lapses
  };
  enum class Change : uint8_t { None, Claimed, Held, Lost };
  // How long after the end of its lease a holder may resume it. Another instance may claim the row
  // from that end on and may grant tokens one LeaseDuration later. The remainder covers a write
  // that is under way.
  static constexpr absl::Duration ResumeLimit = absl::Seconds(8);

  LeaseState(InstanceId Self, uint64_t Incarnation);

  Phase phase() const { return this->Current; }
  // Whether tokens may be granted at Now.
  bool grants(Instant Now) const;
  // End of the lease, by this process's clock.
  Instant leaseEnd() const { return this->LeaseEnd; }
  store::RowVersion version() const { return this->Version; }
  bool writing() const { return this->PendingNumber != 0; }
  // Content of the buckets when the phase becomes Held. One token makes an account with a low rate
  // usable at once. Takeovers that may follow each other quickly start with empty buckets.
  double initialTokens() const { return this->InitialTokens; }

  // Decides on the row that a read, sent at ReadAt, found. The write claims the partition; none if
  // it cannot be claimed now.
  std::optional<LeaseWrite> claim(const store::Row &Found, int64_t StoreMs, Instant ReadAt,
                                  Instant Now);
  // The next renewal, if it is due.
  std::optional<LeaseWrite> renewal(Instant Now);
  // Makes the next renewal due at once, to learn whether the row still names this instance.
  void checkSoon(Instant Now);
  // Stops granting tokens. The write lets other instances claim the partition.
  std::optional<LeaseWrite> release(Instant Now);
  Change onWritten(uint64_t Number, const store::WriteResult &Result, Instant Now);
  // Another instance has announced that it holds the partition.
  void onAnnouncement(Instant Now);
  // Another instance asks whether this one holds the partition. If the answer is no, this instance
  // abandons its claim.
  bool onQuery(Instant Now);
  // Every live instance has answered, after the claim, that it does not hold the partition.
  Change onAllDenied(Instant Now);
  // Drops a claim or a lease that has lapsed for too long.
  Change expire(Instant Now);

private:
  LeaseWrite write(store::RowVersion Expected, RowState State, Instant Now);
  int64_t storeMs(Instant Now) const;
  Change onRenewed(const store::WriteResult &Result, Instant Now);
  void drop();

  InstanceId Self;
  uint64_t Incarnation;
  Phase Current = Phase::None;
  store::RowVersion Version;
  Instant LeaseEnd = absl::InfinitePast();
  Instant WaitUntil = absl::InfinitePast(); // Claimed: earlier leases have ended by then
  Instant NextRenewal = absl::InfinitePast();
  double InitialTokens = 0;
  bool HeldAtOnce = false; // the pending claim takes over the row of the former process
  // The store's clock is not later than StoreMs + (Now - StoreAt), so that the expiry in the row is
  // not earlier than the end of the lease by this process's clock.
  int64_t StoreMs = 0;
  Instant StoreAt = absl::InfinitePast();
  uint64_t NextNumber = 1;
  uint64_t PendingNumber = 0; // write that is under way; 0: none
  Instant PendingAt;
};

// Position of Self in the order in which the live instances claim a partition; 0 is first.
size_t claimRank(const InstanceId &Self, const std::vector<InstanceId> &Others, uint32_t Partition);

} // namespace toucan::ratelimit

#endif // TOUCAN_RATELIMIT_RATELIMIT_H
