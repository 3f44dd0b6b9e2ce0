// Rate limits of accounts over all instances: admits operations from tokens that the holders of the
// partitions grant, and holds partitions itself.
#ifndef TOUCAN_GATEWAY_RATE_LIMITS_H
#define TOUCAN_GATEWAY_RATE_LIMITS_H

#include "gateway/peers.h"
#include "ratelimit/ratelimit.h"
#include "store/store.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace toucan::gateway {

// Result of a request for admission.
struct Admission {
  bool Admitted = false;
  // Refused: time until a token is expected; infinite if none is.
  absl::Duration RetryAfter = absl::ZeroDuration();
  std::string_view Cause; // Refused: for logs and counters
};

// Text of the error for a refusal.
std::string refusalText(const Admission &Refused);

// What RateLimits needs of the process that runs it. Tests replace it by a simulated time and link.
class RateEnvironment {
public:
  virtual ~RateEnvironment() = default;
  // Time on the monotonic clock, read anew at each call: it includes the time for which the process
  // was suspended.
  virtual Instant now() const = 0;
  virtual TimerId at(Instant Deadline, std::function<void()> Task) = 0;
  virtual void cancel(TimerId Id) = 0;
  virtual const InstanceId &self() const = 0;
  virtual uint64_t incarnation() const = 0;
  virtual const std::vector<InstanceId> &peers() const = 0;
  // False if the message was certainly not sent.
  virtual bool send(const InstanceId &To, proto::Envelope Message) = 0;
};

// The event loop and the link of a gateway.
class LinkedRateEnvironment : public RateEnvironment {
public:
  LinkedRateEnvironment(Loop &InLoop, PeerLink &Peers) : InLoop(InLoop), Peers(Peers) {}
  Instant now() const override { return monotonicNow(); }
  TimerId at(Instant Deadline, std::function<void()> Task) override {
    return this->InLoop.at(Deadline, std::move(Task));
  }
  void cancel(TimerId Id) override { this->InLoop.cancel(Id); }
  const InstanceId &self() const override { return this->Peers.self(); }
  uint64_t incarnation() const override { return this->Peers.incarnation(); }
  const std::vector<InstanceId> &peers() const override { return this->Peers.peers(); }
  bool send(const InstanceId &To, proto::Envelope Message) override {
    return this->Peers.send(To, std::move(Message));
  }

private:
  Loop &InLoop;
  PeerLink &Peers;
};

// All calls happen on the loop's thread. Without an account that has a rate, nothing is read,
// written or sent.
class RateLimits {
public:
  using Handler = std::function<void(const Admission &)>;
  using AdmissionId = StrongId<struct AdmissionTag, uint64_t>;
  using LimitMap = std::map<AccountName, ratelimit::Limit>;

  RateLimits(RateEnvironment &Env, store::RowStore &Rows, Metrics &Counters,
             ratelimit::Bounds Within);
  ~RateLimits();

  // Handles a RateRequest, RateGrant or RateHolder of another instance.
  void onMessage(const InstanceId &From, const proto::Envelope &Message);
  // Sets the accounts that have a limit. Lower limits take effect at once.
  void setLimits(const LimitMap &New);
  // Whether this instance grants tokens of a partition now.
  bool holds(uint32_t Partition) const {
    return this->Partitions.at(Partition).Lease.grants(this->Env.now());
  }
  bool limited(const AccountName &Account) const { return this->Accounts.contains(Account); }
  // Calls Done with the result, at once if no other instance needs to be asked. A token is consumed
  // when the operation is admitted. Deadline: when the result is of no use any more. The id is that
  // of a request that waits.
  std::optional<AdmissionId> admit(const AccountName &Account, Instant Deadline, Handler Done);
  // Forgets a request that waits. Done is not called.
  void cancel(const AccountName &Account, AdmissionId Id);
  // The live instances are known. No partition is claimed before that, because a claimant asks them
  // all.
  void onInstances();
  // The process stops soon: other instances may claim its partitions.
  void drain();

private:
  struct Waiter {
    AdmissionId Id;
    Instant Deadline;
    Handler Done;
    uint32_t Answers = 0; // of holders, since it waits
  };
  struct Account {
    ratelimit::Limit Limit;
    ratelimit::Allowance Tokens;
    ratelimit::Demand Arrivals;
    std::deque<Waiter> Waiting;
    std::optional<uint64_t> Asked; // the request that is awaited
    // When each partition's holder is expected to have a token again.
    std::array<Instant, ratelimit::PartitionCount> EmptyUntil;
    // Consecutive answers of each holder without a token.
    std::array<uint32_t, ratelimit::PartitionCount> EmptyAnswers{};
    uint32_t NextPartition = 0;
    // The last grant came from a holder that applies another limit, such as the former one.
    bool HolderLimitDiffers = false;
  };
  // A request for tokens. It is kept after its time-out, because a late grant is still valid.
  struct TokenRequest {
    AccountName Account;
    InstanceId Holder;
    uint32_t Partition = 0;
    uint32_t Tokens = 0;
    Instant AskedAt;
    TimerId Timer;
    bool Dropped = false; // the limit was lowered since: its tokens are not used
  };
  struct KnownHolder {
    InstanceId Holder;
    store::RowVersion Version;
    Instant ValidUntil = absl::InfinitePast();
    bool Silent = false; // did not answer; not asked until something is heard from it
  };
  struct PartitionState {
    PartitionState(const InstanceId &Self, uint64_t Incarnation) : Lease(Self, Incarnation) {}
    ratelimit::LeaseState Lease;
    std::optional<ratelimit::Partition> Buckets; // while tokens may be granted
    KnownHolder Known;
    Instant NextClaim;         // earliest next attempt
    bool ClaimDelayed = false; // NextClaim is that of the partition that is free now
    Instant NextAnnouncement = absl::InfinitePast();
    std::set<InstanceId> Undecided; // Claimed: peers that have not denied that they hold it
    uint64_t QueryId = 0;
    Instant NextQuery = absl::InfinitePast();
  };

  void release();
  void tick();
  void scheduleTick();
  void tickPartition(uint32_t P, Instant Now);
  bool claimDue(uint32_t P, Instant Now);
  void readRows();
  void onRows(const store::ReadResult &R, Instant AskedAt);
  void write(uint32_t P, const ratelimit::LeaseWrite &W);
  void onChange(uint32_t P, ratelimit::LeaseState::Change C, std::string_view Cause);
  void queryPeers(uint32_t P, Instant Now);
  void announce(uint32_t P, absl::Duration Valid);
  size_t heldCount(Instant Now) const;
  absl::Duration claimDelay(uint32_t P) const;

  void pump(const AccountName &Name);
  bool requestTokens(const AccountName &Name, Account &A, uint32_t Wanted, Instant Now);
  std::optional<uint32_t> choosePartition(Account &A, Instant Now);
  void dropRequested(const AccountName &Name);
  void noteAnswered(const InstanceId &Holder);
  void noteEmpty(Account &A, uint32_t P, absl::Duration Next, Instant Now);
  void refuse(const AccountName &Name, Instant Now, uint32_t MinAnswers);
  Admission refusal(const Account &A, Instant Now) const;
  void finish(const Waiter &W, const Admission &A);
  void onRequestTimeout(uint64_t Id);

  void onRateRequest(const InstanceId &From, const proto::RateRequest &R);
  void onRateGrant(const InstanceId &From, const proto::RateGrant &G);
  void onRateHolder(const InstanceId &From, const proto::RateHolder &H);

  RateEnvironment &Env;
  store::RowStore &Rows;
  Metrics &Counters;
  ratelimit::Bounds Within;
  LimitMap Limits;
  bool Active = false;   // an account has a rate
  bool Released = false; // claims no partition
  bool InstancesKnown = false;
  bool Reading = false;
  std::map<AccountName, Account> Accounts;
  std::vector<PartitionState> Partitions;
  std::map<uint64_t, TokenRequest> Requests;
  uint64_t NextRequest; // starts at the incarnation, so that ids differ from a former process's
  uint64_t NextAdmission = 1;
  TimerId TickTimer;
  // Writes and reads may be answered after this object's end.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_RATE_LIMITS_H
