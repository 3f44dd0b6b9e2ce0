#include "gateway/rate_limits.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

using ratelimit::LeaseState;
using ratelimit::PartitionCount;

namespace {

const char *const PartitionTable = "rate-partitions";
constexpr absl::Duration TickInterval = absl::Milliseconds(100);
constexpr absl::Duration AnnouncementInterval = absl::Seconds(2);
// Between two instances that claim the same partition, in the order of their ranks.
constexpr absl::Duration RankDelay = absl::Milliseconds(200);
// Added for each partition that the claimant holds already, so that they are held by different
// instances although the first one to start knows of no other.
constexpr absl::Duration HeldDelay = absl::Seconds(1);
// Between two attempts to claim a partition whose row names another holder.
constexpr absl::Duration MinClaimInterval = absl::Seconds(1);
// Between two questions to an instance that has not answered whether it holds a partition.
constexpr absl::Duration QueryInterval = absl::Milliseconds(500);
// A holder that has not answered for this long is passed over until its next announcement. A round
// trip between regions takes 40 ms; the rest is for a holder that waits for CPU time.
constexpr absl::Duration RequestTimeout = absl::Milliseconds(250);
// Retry time if no holder is reached: announcements arrive every 2 s.
constexpr absl::Duration NoPartitionRetry = absl::Seconds(1);
// Bounds the time until the next token that a holder reports.
constexpr absl::Duration MaxEmptyTime = absl::Minutes(10);
// Below this, a holder would be asked again in the same round of the loop.
constexpr absl::Duration MinEmptyTime = absl::Milliseconds(5);
// An instance that got no token several times in a row asks less often, up to this interval: the
// other instances compete for each token of an account above its limit.
constexpr absl::Duration MaxEmptyBackoff = absl::Milliseconds(200);
// An account at which fewer tokens than this are requested at a time gets no tokens ahead, because
// most of them would expire unused.
constexpr uint32_t MinTokensAhead = 2;

constexpr std::string_view CauseLimit = "rate_limit";
constexpr std::string_view CauseNoPartition = "no_rate_partition";

uint64_t toMicroseconds(absl::Duration D) {
  return static_cast<uint64_t>(std::max<int64_t>(0, absl::ToInt64Microseconds(D)));
}

absl::Duration fromMicroseconds(uint64_t Us, absl::Duration Max) {
  return Us > toMicroseconds(Max) ? Max : absl::Microseconds(Us);
}

} // namespace

std::string refusalText(const Admission &Refused) {
  if (Refused.RetryAfter == absl::InfiniteDuration())
    return "the account's rate is 0";
  int64_t Ms = absl::ToInt64Milliseconds(absl::Ceil(Refused.RetryAfter, absl::Milliseconds(1)));
  return absl::StrCat("retry after ", std::max<int64_t>(1, Ms), " ms");
}

RateLimits::RateLimits(RateEnvironment &Env, store::RowStore &Rows, Metrics &Counters,
                       ratelimit::Bounds Within)
    : Env(Env), Rows(Rows), Counters(Counters), Within(Within), NextRequest(Env.incarnation() + 1) {
  for (uint32_t P = 0; P < PartitionCount; ++P)
    this->Partitions.emplace_back(Env.self(), Env.incarnation());
}

void RateLimits::onMessage(const InstanceId &From, const proto::Envelope &Message) {
  if (Message.has_rate_request())
    this->onRateRequest(From, Message.rate_request());
  else if (Message.has_rate_grant())
    this->onRateGrant(From, Message.rate_grant());
  else if (Message.has_rate_holder())
    this->onRateHolder(From, Message.rate_holder());
}

RateLimits::~RateLimits() {
  *this->Alive = false;
  this->Env.cancel(this->TickTimer);
  for (const auto &[Id, R] : this->Requests)
    this->Env.cancel(R.Timer);
}

void RateLimits::setLimits(const LimitMap &New) {
  Instant Now = this->Env.now();
  this->Limits = New;
  for (auto It = this->Accounts.begin(); It != this->Accounts.end();) {
    if (New.contains(It->first)) {
      ++It;
      continue;
    }
    // The account has no limit any more, or no longer exists. Sessions decide about the latter.
    this->dropRequested(It->first);
    std::deque<Waiter> Waiting = std::move(It->second.Waiting);
    It = this->Accounts.erase(It);
    for (const Waiter &W : Waiting)
      W.Done({.Admitted = true});
  }
  for (const auto &[Name, L] : New) {
    Account &A = this->Accounts[Name];
    // Tokens of a higher limit would be used on top of those of the new one.
    if (L.PerSecond < A.Limit.PerSecond || L.Burst < A.Limit.Burst) {
      A.Tokens.clear();
      this->dropRequested(Name);
    }
    if (!(L == A.Limit)) {
      A.HolderLimitDiffers = false;
      A.EmptyUntil.fill(absl::InfinitePast());
      A.EmptyAnswers.fill(0);
      for (Waiter &W : A.Waiting)
        W.Answers = 0;
    }
    A.Limit = L;
  }
  for (PartitionState &S : this->Partitions)
    if (S.Buckets)
      S.Buckets->setLimits(New, Now);
  bool WasActive = std::exchange(
      this->Active,
      std::any_of(New.begin(), New.end(), [](const auto &L) { return L.second.PerSecond > 0; }));
  if (this->Active && !WasActive) {
    this->Released = false;
    for (PartitionState &S : this->Partitions)
      S.ClaimDelayed = false;
    // The rows name the holders before their next announcements arrive.
    this->readRows();
    this->scheduleTick();
  } else if (!this->Active && WasActive) {
    this->release();
  }
}

void RateLimits::onInstances() {
  this->InstancesKnown = true;
  // Instances that were not known before learn the holders at once.
  for (PartitionState &S : this->Partitions)
    S.NextAnnouncement = absl::InfinitePast();
}

void RateLimits::drain() {
  // Without another instance, nobody else could grant tokens for the operations of the drain.
  if (!this->Env.peers().empty())
    this->release();
}

void RateLimits::release() {
  this->Released = true;
  Instant Now = this->Env.now();
  for (uint32_t P = 0; P < PartitionCount; ++P) {
    PartitionState &S = this->Partitions[P];
    bool Held = S.Lease.phase() != LeaseState::Phase::None;
    std::optional<ratelimit::LeaseWrite> W = S.Lease.release(Now);
    S.Buckets.reset();
    if (W)
      this->write(P, *W);
    if (!Held)
      continue;
    LogEvent(LogLevel::Info, "rate_partition_released").kv("partition", P);
    this->announce(P, absl::ZeroDuration());
  }
  this->Counters.set("rate_partitions_held", 0);
}

// --- Leases on partitions -----------------------------------------------------------------------

void RateLimits::scheduleTick() {
  this->Env.cancel(this->TickTimer);
  this->TickTimer = this->Env.at(this->Env.now() + TickInterval, [this] { this->tick(); });
}

void RateLimits::tick() {
  if (!this->Active)
    return;
  Instant Now = this->Env.now();
  bool Claims = false;
  if (!this->Released)
    for (uint32_t P = 0; P < PartitionCount; ++P) {
      this->tickPartition(P, Now);
      Claims |= this->claimDue(P, Now);
    }
  if (Claims)
    this->readRows();
  std::erase_if(this->Requests, [&](const auto &R) {
    return R.second.AskedAt + ratelimit::MaxTokenLifetime < Now;
  });
  this->Counters.set("rate_partitions_held", static_cast<int64_t>(this->heldCount(Now)));
  this->scheduleTick();
}

size_t RateLimits::heldCount(Instant Now) const {
  return static_cast<size_t>(
      std::count_if(this->Partitions.begin(), this->Partitions.end(),
                    [&](const PartitionState &S) { return S.Lease.grants(Now); }));
}

absl::Duration RateLimits::claimDelay(uint32_t P) const {
  size_t Rank = ratelimit::claimRank(this->Env.self(), this->Env.peers(), P);
  auto Owned =
      std::count_if(this->Partitions.begin(), this->Partitions.end(), [](const PartitionState &S) {
        return S.Lease.phase() != LeaseState::Phase::None || S.Lease.writing();
      });
  return static_cast<double>(Rank) * RankDelay + static_cast<double>(Owned) * HeldDelay;
}

void RateLimits::tickPartition(uint32_t P, Instant Now) {
  PartitionState &S = this->Partitions[P];
  this->onChange(P, S.Lease.expire(Now), "lease_lapsed");
  if (std::optional<ratelimit::LeaseWrite> W = S.Lease.renewal(Now))
    this->write(P, *W);
  if (S.Lease.phase() == LeaseState::Phase::Claimed && Now >= S.NextQuery)
    this->queryPeers(P, Now);
  if (S.Lease.grants(Now) && Now >= S.NextAnnouncement) {
    S.NextAnnouncement = Now + AnnouncementInterval;
    this->announce(P, S.Lease.leaseEnd() - Now);
  }
}

// Whether the partition has no known holder and it is this instance's turn to claim it.
bool RateLimits::claimDue(uint32_t P, Instant Now) {
  PartitionState &S = this->Partitions[P];
  if (S.Lease.phase() != LeaseState::Phase::None || S.Lease.writing() || Now < S.Known.ValidUntil) {
    S.ClaimDelayed = false;
    return false;
  }
  if (!std::exchange(S.ClaimDelayed, true))
    S.NextClaim = Now + this->claimDelay(P);
  return this->InstancesKnown && Now >= S.NextClaim;
}

void RateLimits::readRows() {
  if (std::exchange(this->Reading, true))
    return;
  this->Counters.add("rate_partitions_read");
  this->Rows.readAll(PartitionTable, [this, Alive = this->Alive,
                                      AskedAt = this->Env.now()](const store::ReadResult &R) {
    if (!*Alive)
      return;
    this->Reading = false;
    this->onRows(R, AskedAt);
  });
}

void RateLimits::onRows(const store::ReadResult &R, Instant AskedAt) {
  Instant Now = this->Env.now();
  if (!R.Done) {
    LogEvent(LogLevel::Warn, "rate_partitions_not_read").kv("cause", R.Cause);
    for (PartitionState &S : this->Partitions)
      S.NextClaim = std::max(S.NextClaim, Now + MinClaimInterval);
    return;
  }
  for (uint32_t P = 0; P < PartitionCount; ++P) {
    PartitionState &S = this->Partitions[P];
    auto It = std::find_if(R.Rows.begin(), R.Rows.end(),
                           [&](const store::Row &Row) { return Row.Key == absl::StrCat(P); });
    store::Row Found = It == R.Rows.end() ? store::Row{.Key = absl::StrCat(P)} : *It;
    std::optional<ratelimit::LeaseRow> Lease = ratelimit::decodeLease(Found.Value);
    bool Valid = Lease && Lease->State == ratelimit::RowState::Held &&
                 Lease->ExpiresMs > R.StoreMs && !(Lease->Holder == this->Env.self());
    if (Valid && (Now >= S.Known.ValidUntil || Found.Version > S.Known.Version))
      S.Known = {.Holder = Lease->Holder,
                 .Version = Found.Version,
                 .ValidUntil = Now + std::min(absl::Milliseconds(Lease->ExpiresMs - R.StoreMs),
                                              ratelimit::LeaseDuration)};
    // The row of this instance's former process needs neither the other instances nor a delay.
    bool Former = Lease && Lease->Holder == this->Env.self() &&
                  Lease->Incarnation < this->Env.incarnation() &&
                  Lease->State == ratelimit::RowState::Held && Lease->ExpiresMs > R.StoreMs;
    if (!this->Active || this->Released || !(Former || this->claimDue(P, Now)))
      continue;
    if (std::optional<ratelimit::LeaseWrite> W = S.Lease.claim(Found, R.StoreMs, AskedAt, Now)) {
      this->write(P, *W);
      for (PartitionState &Other : this->Partitions)
        if (Other.ClaimDelayed)
          Other.NextClaim = std::max(Other.NextClaim, Now) + HeldDelay;
    } else if (Lease) {
      // Claimed by another instance that does not grant tokens yet.
      absl::Duration Left = absl::Milliseconds(std::clamp<int64_t>(
          Lease->ExpiresMs - R.StoreMs, 0, absl::ToInt64Milliseconds(ratelimit::LeaseDuration)));
      S.NextClaim = Now + std::max(MinClaimInterval, Left) + this->claimDelay(P);
    }
  }
}

void RateLimits::write(uint32_t P, const ratelimit::LeaseWrite &W) {
  this->Rows.write(PartitionTable, absl::StrCat(P), W.Expected, W.Value,
                   [this, Alive = this->Alive, P, Number = W.Number](const store::WriteResult &R) {
                     if (!*Alive)
                       return;
                     LeaseState &Lease = this->Partitions[P].Lease;
                     bool Known = R.Outcome == store::WriteOutcome::Done ||
                                  R.Outcome == store::WriteOutcome::Conflict;
                     if (!Known)
                       LogEvent(LogLevel::Info, "rate_partition_not_written")
                           .kv("partition", P)
                           .kv("cause", R.Cause);
                     this->onChange(P, Lease.onWritten(Number, R, this->Env.now()), "row_changed");
                   });
}

void RateLimits::onChange(uint32_t P, LeaseState::Change C, std::string_view Cause) {
  PartitionState &S = this->Partitions[P];
  Instant Now = this->Env.now();
  switch (C) {
  case LeaseState::Change::None:
    return;
  case LeaseState::Change::Claimed:
    LogEvent(LogLevel::Info, "rate_partition_claimed")
        .kv("partition", P)
        .kv("version", S.Lease.version().Value)
        .kv("peers", this->Env.peers().size());
    S.Undecided = {this->Env.peers().begin(), this->Env.peers().end()};
    S.QueryId = this->NextRequest++;
    this->queryPeers(P, Now);
    return;
  case LeaseState::Change::Held:
    S.Buckets.emplace(this->Limits, S.Lease.initialTokens(), Now);
    S.Undecided.clear();
    S.Known = {};
    this->Counters.add("rate_partitions_taken");
    this->Counters.set("rate_partitions_held", static_cast<int64_t>(this->heldCount(Now)));
    LogEvent(LogLevel::Info, "rate_partition_held")
        .kv("partition", P)
        .kv("version", S.Lease.version().Value);
    S.NextAnnouncement = Now + AnnouncementInterval;
    this->announce(P, S.Lease.leaseEnd() - Now);
    return;
  case LeaseState::Change::Lost:
    S.Undecided.clear();
    if (std::exchange(S.Buckets, std::nullopt))
      this->announce(P, absl::ZeroDuration());
    this->Counters.add("rate_partitions_lost");
    LogEvent(LogLevel::Warn, "rate_partition_lost").kv("partition", P).kv("cause", Cause);
    return;
  }
}

// Asks the instances that have not denied yet that they hold the partition.
void RateLimits::queryPeers(uint32_t P, Instant Now) {
  PartitionState &S = this->Partitions[P];
  S.NextQuery = Now + QueryInterval;
  for (const InstanceId &Peer : S.Undecided) {
    proto::Envelope Message;
    proto::RateRequest &R = *Message.mutable_rate_request();
    R.set_request_id(S.QueryId);
    R.set_partition(P);
    this->Env.send(Peer, std::move(Message));
  }
  if (S.Undecided.empty())
    this->onChange(P, S.Lease.onAllDenied(Now), "");
}

// Tells the other instances for how long this one holds the partition; zero: no longer.
void RateLimits::announce(uint32_t P, absl::Duration Valid) {
  PartitionState &S = this->Partitions[P];
  proto::Envelope Message;
  proto::RateHolder &H = *Message.mutable_rate_holder();
  H.set_partition(P);
  H.set_version(S.Lease.version().Value);
  H.set_valid_us(toMicroseconds(Valid));
  for (const InstanceId &Peer : this->Env.peers())
    this->Env.send(Peer, Message);
}

void RateLimits::onRateHolder(const InstanceId &From, const proto::RateHolder &H) {
  if (H.partition() >= PartitionCount)
    return;
  Instant Now = this->Env.now();
  PartitionState &S = this->Partitions[H.partition()];
  store::RowVersion Version(H.version());
  if (H.valid_us() == 0) {
    if (S.Known.Holder == From)
      S.Known.ValidUntil = absl::InfinitePast();
    return;
  }
  S.Lease.onAnnouncement(Now);
  bool Replaces = Now >= S.Known.ValidUntil || S.Known.Holder == From || Version > S.Known.Version;
  if (!Replaces)
    return;
  S.Known = {.Holder = From,
             .Version = Version,
             .ValidUntil = Now + fromMicroseconds(H.valid_us(), ratelimit::LeaseDuration)};
}

// --- Tokens -------------------------------------------------------------------------------------

void RateLimits::onRateRequest(const InstanceId &From, const proto::RateRequest &R) {
  if (R.partition() >= PartitionCount)
    return;
  PartitionState &S = this->Partitions[R.partition()];
  proto::Envelope Message;
  proto::RateGrant &G = *Message.mutable_rate_grant();
  G.set_request_id(R.request_id());
  G.set_partition(R.partition());
  // The clock is read here, because the process may have been suspended since the message arrived.
  Instant Now = this->Env.now();
  if (R.tokens() == 0) {
    bool Claimed = S.Lease.phase() != LeaseState::Phase::None;
    G.set_holder(S.Lease.onQuery(Now));
    if (Claimed && !G.holder())
      this->onChange(R.partition(), LeaseState::Change::Lost, "claimed_by_peer");
  } else if (S.Buckets && S.Lease.grants(Now)) {
    ratelimit::Partition::Taken T = S.Buckets->take(AccountName(R.account()), R.tokens(), Now);
    G.set_holder(true);
    G.set_tokens(T.Tokens);
    G.set_next_token_us(toMicroseconds(std::min(T.Next, MaxEmptyTime)));
    auto L = this->Limits.find(AccountName(R.account()));
    // The receiver bounds it by MaxTokenLifetime and takes it for a mark of the limit.
    if (L != this->Limits.end())
      G.set_valid_us(toMicroseconds(ratelimit::toleratedLifetime(L->second, this->Within)));
    this->Counters.add("rate_tokens_granted", T.Tokens);
  }
  this->Env.send(From, std::move(Message));
}

void RateLimits::onRateGrant(const InstanceId &From, const proto::RateGrant &G) {
  if (G.partition() >= PartitionCount)
    return;
  Instant Now = this->Env.now();
  PartitionState &S = this->Partitions[G.partition()];
  if (G.request_id() == S.QueryId && S.Undecided.contains(From)) {
    if (G.holder()) {
      S.Lease.onAnnouncement(Now);
    } else {
      S.Undecided.erase(From);
      if (S.Undecided.empty())
        this->onChange(G.partition(), S.Lease.onAllDenied(Now), "");
    }
    return;
  }
  auto It = this->Requests.find(G.request_id());
  if (It == this->Requests.end() || !(It->second.Holder == From) ||
      It->second.Partition != G.partition())
    return;
  TokenRequest R = std::move(It->second);
  this->Requests.erase(It);
  this->Env.cancel(R.Timer);
  this->noteAnswered(From);
  if (!G.holder() && S.Known.Holder == From)
    S.Known.ValidUntil = absl::InfinitePast();
  auto Found = this->Accounts.find(R.Account);
  if (Found == this->Accounts.end())
    return;
  Account &A = Found->second;
  bool Awaited = A.Asked == G.request_id();
  if (Awaited)
    A.Asked.reset();
  if (G.holder() && !R.Dropped) {
    absl::Duration Valid = std::min(fromMicroseconds(G.valid_us(), ratelimit::MaxTokenLifetime),
                                    ratelimit::tokenLifetime(A.Limit, this->Within));
    // Counted from the request, because the tokens were granted at some time after it.
    uint32_t Usable = std::min(G.tokens(), R.Tokens);
    // If the holder has not applied a lower limit yet, tokens that are kept would be used after it
    // has.
    A.HolderLimitDiffers =
        G.valid_us() != toMicroseconds(ratelimit::toleratedLifetime(A.Limit, this->Within));
    if (A.HolderLimitDiffers)
      Usable = static_cast<uint32_t>(std::min<size_t>(Usable, A.Waiting.size()));
    A.Tokens.add(Usable, R.AskedAt + Valid);
    if (G.tokens() > 0)
      A.EmptyAnswers[R.Partition] = 0;
    if (G.tokens() < R.Tokens)
      this->noteEmpty(A, R.Partition, fromMicroseconds(G.next_token_us(), MaxEmptyTime), Now);
  }
  // A late answer was counted at its time-out.
  if (Awaited && !R.Dropped)
    for (Waiter &W : A.Waiting)
      ++W.Answers;
  this->pump(R.Account);
}

// Tokens of the account that are still to arrive were granted under another limit.
void RateLimits::dropRequested(const AccountName &Name) {
  for (auto &[Id, R] : this->Requests)
    R.Dropped |= R.Account == Name;
}

void RateLimits::noteAnswered(const InstanceId &Holder) {
  for (PartitionState &S : this->Partitions)
    if (S.Known.Holder == Holder)
      S.Known.Silent = false;
}

void RateLimits::onRequestTimeout(uint64_t Id) {
  auto It = this->Requests.find(Id);
  if (It == this->Requests.end())
    return;
  const TokenRequest &R = It->second;
  this->Counters.add("rate_requests_unanswered");
  for (PartitionState &S : this->Partitions)
    if (S.Known.Holder == R.Holder)
      S.Known.Silent = true;
  auto Found = this->Accounts.find(R.Account);
  if (Found == this->Accounts.end() || Found->second.Asked != Id)
    return;
  Found->second.Asked.reset();
  for (Waiter &W : Found->second.Waiting)
    ++W.Answers;
  this->pump(AccountName(R.Account));
}

std::optional<RateLimits::AdmissionId> RateLimits::admit(const AccountName &Name, Instant Deadline,
                                                         Handler Done) {
  auto It = this->Accounts.find(Name);
  if (It == this->Accounts.end()) {
    Done({.Admitted = true});
    return std::nullopt;
  }
  Instant Now = this->Env.now();
  Account &A = It->second;
  if (!(A.Limit.PerSecond > 0)) {
    this->finish({.Done = std::move(Done)},
                 {.RetryAfter = absl::InfiniteDuration(), .Cause = CauseLimit});
    return std::nullopt;
  }
  A.Arrivals.onOperation(Now);
  AdmissionId Id(this->NextAdmission++);
  A.Waiting.push_back({.Id = Id, .Deadline = Deadline, .Done = std::move(Done)});
  this->pump(Name);
  It = this->Accounts.find(Name);
  bool Waits = It != this->Accounts.end() &&
               std::any_of(It->second.Waiting.begin(), It->second.Waiting.end(),
                           [&](const Waiter &W) { return W.Id == Id; });
  if (!Waits)
    return std::nullopt;
  this->Counters.add("rate_admissions_waited");
  return Id;
}

void RateLimits::cancel(const AccountName &Name, AdmissionId Id) {
  auto It = this->Accounts.find(Name);
  if (It != this->Accounts.end())
    std::erase_if(It->second.Waiting, [&](const Waiter &W) { return W.Id == Id; });
}

void RateLimits::finish(const Waiter &W, const Admission &A) {
  if (A.Admitted)
    this->Counters.add("rate_operations_admitted");
  else
    this->Counters.add(std::string("rate_operations_refused_").append(A.Cause));
  W.Done(A);
}

// Admits waiting operations while there are tokens, and asks a holder for more. Handlers may call
// admit() and cancel(), so nothing is kept over a call of one.
void RateLimits::pump(const AccountName &Name) {
  while (true) {
    auto It = this->Accounts.find(Name);
    if (It == this->Accounts.end())
      return;
    Account &A = It->second;
    Instant Now = this->Env.now();
    if (!A.Waiting.empty() && A.Waiting.front().Deadline <= Now) {
      Waiter W = std::move(A.Waiting.front());
      A.Waiting.pop_front();
      this->finish(W, this->refusal(A, Now));
      continue;
    }
    if (!A.Waiting.empty() && A.Tokens.take(Now)) {
      Waiter W = std::move(A.Waiting.front());
      A.Waiting.pop_front();
      this->finish(W, {.Admitted = true});
      continue;
    }
    if (A.Asked)
      return;
    // An operation for which each holder was asked without success is not held any longer.
    if (!A.Waiting.empty() && A.Waiting.front().Answers >= PartitionCount) {
      this->refuse(Name, Now, PartitionCount);
      continue;
    }
    uint32_t Wanted =
        ratelimit::tokensWanted(A.Arrivals.perSecond(Now),
                                ratelimit::tokenLifetime(A.Limit, this->Within), A.Waiting.size());
    if (A.HolderLimitDiffers)
      Wanted = static_cast<uint32_t>(A.Waiting.size());
    bool Ahead = Wanted >= MinTokensAhead && A.Tokens.held(Now) < Wanted / 2;
    if (A.Waiting.empty() && !Ahead)
      return;
    if (this->requestTokens(Name, A, Wanted, Now))
      continue;
    if (!A.Asked && !A.Waiting.empty())
      this->refuse(Name, Now, 0);
    return;
  }
}

// The next partition whose holder may have a token. They are asked in turn, so that all buckets are
// used alike.
std::optional<uint32_t> RateLimits::choosePartition(Account &A, Instant Now) {
  for (uint32_t I = 0; I < PartitionCount; ++I) {
    uint32_t P = (A.NextPartition + I) % PartitionCount;
    const PartitionState &S = this->Partitions[P];
    bool Reached = S.Lease.grants(Now) || (Now < S.Known.ValidUntil && !S.Known.Silent);
    if (!Reached || Now < A.EmptyUntil[P])
      continue;
    A.NextPartition = (P + 1) % PartitionCount;
    return P;
  }
  return std::nullopt;
}

// Takes tokens from a partition that this instance holds, or asks another holder. True if tokens
// were taken.
bool RateLimits::requestTokens(const AccountName &Name, Account &A, uint32_t Wanted, Instant Now) {
  while (std::optional<uint32_t> P = this->choosePartition(A, Now)) {
    PartitionState &S = this->Partitions[*P];
    if (S.Buckets && S.Lease.grants(Now)) {
      ratelimit::Partition::Taken T = S.Buckets->take(Name, Wanted, Now);
      this->Counters.add("rate_tokens_granted", T.Tokens);
      A.Tokens.add(T.Tokens, Now + ratelimit::tokenLifetime(A.Limit, this->Within));
      if (T.Tokens > 0)
        A.EmptyAnswers[*P] = 0;
      if (T.Tokens < Wanted)
        this->noteEmpty(A, *P, std::min(T.Next, MaxEmptyTime), Now);
      if (T.Tokens > 0)
        return true;
      continue;
    }
    uint64_t Id = this->NextRequest++;
    proto::Envelope Message;
    proto::RateRequest &R = *Message.mutable_rate_request();
    R.set_request_id(Id);
    R.set_partition(*P);
    R.set_account(Name.Value);
    R.set_tokens(Wanted);
    R.set_budget_us(toMicroseconds(RequestTimeout));
    if (!this->Env.send(S.Known.Holder, std::move(Message))) {
      S.Known.Silent = true;
      continue;
    }
    this->Requests[Id] = {
        .Account = Name,
        .Holder = S.Known.Holder,
        .Partition = *P,
        .Tokens = Wanted,
        .AskedAt = Now,
        .Timer = this->Env.at(Now + RequestTimeout, [this, Id] { this->onRequestTimeout(Id); })};
    A.Asked = Id;
    return false;
  }
  return false;
}

Admission RateLimits::refusal(const Account &A, Instant Now) const {
  Instant Next = absl::InfiniteFuture();
  for (Instant Until : A.EmptyUntil)
    if (Until > Now)
      Next = std::min(Next, Until);
  if (Next == absl::InfiniteFuture())
    return {.RetryAfter = NoPartitionRetry, .Cause = CauseNoPartition};
  return {.RetryAfter = Next - Now, .Cause = CauseLimit};
}

void RateLimits::noteEmpty(Account &A, uint32_t P, absl::Duration Next, Instant Now) {
  constexpr uint32_t MaxShift = 8;
  uint32_t Shift = std::min(A.EmptyAnswers[P]++, MaxShift);
  // A holder that has not applied this limit yet may expect its next token much later.
  if (A.Limit.PerSecond > 0)
    Next = std::min(Next, absl::Seconds(PartitionCount / A.Limit.PerSecond));
  absl::Duration Wait = std::max(Next, MinEmptyTime);
  A.EmptyUntil[P] =
      Now + std::max(Wait, std::min(Wait * static_cast<double>(1U << Shift), MaxEmptyBackoff));
}

// Refuses the waiting operations that have at least MinAnswers answers: no holder that is reached
// has a token for them.
void RateLimits::refuse(const AccountName &Name, Instant Now, uint32_t MinAnswers) {
  Account &A = this->Accounts.at(Name);
  Admission Refused = this->refusal(A, Now);
  AdmissionId Last = A.Waiting.back().Id;
  while (true) {
    // A handler may have changed the limits, or cancelled others.
    auto It = this->Accounts.find(Name);
    if (It == this->Accounts.end() || It->second.Waiting.empty() ||
        Last < It->second.Waiting.front().Id || It->second.Waiting.front().Answers < MinAnswers)
      return;
    Waiter W = std::move(It->second.Waiting.front());
    It->second.Waiting.pop_front();
    this->finish(W, Refused);
  }
}

} // namespace toucan::gateway
