// Assigns connections to the statements of one service. The placement library decides the order and
// the targets.
#ifndef TOUCAN_GATEWAY_ROUTER_H
#define TOUCAN_GATEWAY_ROUTER_H

#include "gateway/commits.h"
#include "gateway/instances.h"
#include "gateway/pool.h"
#include "gateway/prover.h"
#include "gateway/read_spill.h"
#include "gateway/samples.h"
#include "roster/roster.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucan::gateway {

// This instance's data centre, and the region of each data centre.
struct InstanceLocation {
  DataCentre Centre;
  std::map<DataCentre, Region> Regions;

  placement::Distance distanceTo(const DataCentre &Other) const;
  placement::Distance distance(const DataCentre &From, const DataCentre &Other) const;
};

struct Grant {
  TargetLink *Link = nullptr;
  TargetPool *Pool = nullptr;
  // Position that the target's log must have reached for this read. Empty at the primary, which
  // confirms its role by opening a transaction.
  std::optional<LogPosition> Floor;
};

enum class Rejection : uint8_t {
  QueueFull,    // at the current rate it would start too late
  NoPrimary,    // the service has no primary, and none is expected in time
  NoWitness,    // too few targets can be asked whether the primary was replaced
  StartedLate,  // it was still queued at its waiting limit
  NoConnection, // its targets accept no connection before it must start
};

std::string_view rejectionName(Rejection R);

// Requirements of a statement or transaction that waits for a connection.
struct ConnectionRequest {
  AccountName Account = defaultAccount();
  int AccountPriority = 0;              // as configured; decides the weight of the account
  placement::WaitingStatement Wait;     // the router sets Id, Account and Weight
  std::optional<absl::Duration> MaxAge; // for reads of bounded age; if empty, the primary is needed
  LogPosition SessionFloor;             // oldest position that a read may see
  bool NeedsLeadProof = false;          // if the primary serves it, it must not have been replaced
  std::vector<TargetId> Tried;          // targets that refused it or failed
  const absl::flat_hash_map<std::string, std::string> *Values = nullptr; // session values
  std::function<void(const Grant &)> OnGrant;
  std::function<void(Rejection)> OnReject;
};

// A request to a primary: when it was sent, and the lead known then, which the answer confirms.
struct SentRequest {
  Instant At;
  placement::Lead To;
};

// The lead that an answer confirms: the term known before, or a later one of which the primary's
// log has a commit.
placement::Lead confirmedLead(const SentRequest &Sent, const Answer &Reply);

class ServiceRouter : public PoolOwner, public SampleSource {
public:
  ServiceRouter(Loop &InLoop, Codec &Protocol, Metrics &Counters,
                const InstanceLocation &OwnLocation, catalog::ServiceName Name, uint64_t Seed);

  const catalog::ServiceName &name() const { return this->Name; }
  void setLimits(const catalog::ServiceLimits &New, size_t Instances);
  const catalog::ServiceLimits &limits() const { return this->Limits; }
  // The live instances, of which some retain idle connections while connections are scarce.
  void setInstances(const InstanceId &Self, const std::map<InstanceId, InstanceAddress> &Alive);
  bool connectionsScarce() const;
  // Number of targets to which this instance retains an idle connection while they are scarce.
  size_t retainedTargets() const;

  void addTarget(const catalog::TargetEntry &Entry);
  void changeTarget(const catalog::TargetEntry &Entry);
  void removeTarget(const TargetId &Id);
  // Whether the target is listed and stays, so that a commit which it holds is kept.
  void setKeepsCommits(const TargetId &Id, bool Keeps) {
    this->Commits.evidence().setEligible(Id, Keeps);
  }

  // Sends reads to other data centres by these rules. Without a call, reads go where
  // chooseForRead() expects the lowest cost.
  void setSpill(const placement::SpillSettings &Rules);
  // A target answered a read of bounded age. Bytes: of the request and the answer.
  void onReadAnswered(const TargetPool &Pool, size_t Bytes);

  // Queues a request. It may be granted or rejected before this returns. The id is for cancel().
  placement::WaitingId request(ConnectionRequest W);
  void cancel(placement::WaitingId Id);
  bool isQueued(placement::WaitingId Id) const { return this->Waiting.contains(Id); }
  // Grants all queued requests that can be granted now.
  void dispatch();
  // Maintains connections, samples the primary's position and dispatches. Called every few tens of
  // milliseconds.
  void tick();

  // The target accepted a request that only a primary accepts. It can have been replaced without
  // knowing; see LeadProver. Sent tells what was known when the request was sent.
  void onPrimaryConfirmed(TargetPool &Pool, const Answer &Reply, const SentRequest &Sent);
  // As onPrimaryConfirmed(), and the target acknowledged a commit.
  void onCommitAcknowledged(TargetPool &Pool, const Answer &Reply, const SentRequest &Sent);
  // A caller is told of a commit.
  void onCommitTold(LogPosition At);
  // The target reported its role and term.
  void onTargetStatus(const TargetId &Id, const TargetStatus &Status, Instant SentAt);
  // The target reported that it is the primary of a term.
  void onPrimaryReported(const TargetId &Id, Term InTerm);
  // The target refused a request because it is not the primary.
  void onPrimaryDenied(TargetPool &Pool);
  // The target answers as primary, but a later term has begun.
  void onPrimarySuperseded(TargetPool &Pool);

  TargetPool *primary();
  TargetPool *pool(const TargetId &Id);
  const std::map<TargetId, std::unique_ptr<TargetPool>> &pools() const { return this->Pools; }
  promotion::PrimaryHealth primaryHealth() const;
  Term newestTerm() const { return this->NewestTerm; }
  // Start of the newest term, if this instance saw its primary lead.
  const std::optional<promotion::TermStart> &termStart() const { return this->Start; }
  void noteTermStart(const promotion::TermStart &New);
  const placement::LeadEvidence &lead() const { return this->Lead; }
  LeadProver &prover() { return this->Prover; }
  CommitProver &commits() { return this->Commits; }
  placement::Distance distanceTo(const TargetPool &Pool) const;
  // Number of servers of the group, of which some may not be registered.
  void setGroupSize(uint32_t Size);
  // The row of the service's claim, as asked for or written at Asked, names these members.
  void noteMembers(const roster::Members &Named, Instant Asked);
  const roster::Roster &group() const { return this->Group; }
  // As in the row; empty until it was read.
  const std::optional<roster::Members> &namedMembers() const { return this->NamedMembers; }
  // Named, with the ids of the servers that are listed at their addresses now.
  roster::Members resolveMembers(const roster::Members &Named) const {
    return roster::atSameAddress(Named, this->listing());
  }
  roster::Listing listing() const;
  // Since when the target is known to leave; infinite future if it is not.
  Instant leavingSince(const TargetId &Id) const;
  // Sets when a change of primary is expected to have finished.
  void setPrimaryExpected(Instant At) { this->PrimaryExpected = At; }
  // Restarts failure detection for all targets.
  void resetFailureDetection();
  std::function<void(const TargetPool &)> OnTargetAdded;
  std::function<void(const TargetId &)> OnTargetRemoved;
  // Called when this instance learns of a new primary.
  std::function<void(const TargetId &)> OnPrimaryChanged;
  // Longest time for which a leaving primary still gets work.
  void setLeavingLimit(absl::Duration Limit) { this->LeavingLimit = Limit; }

  bool sharesSamples() const override;
  placement::SampleTimes sampleTimes() const override;
  std::optional<placement::SharedSample> ownSample() const override { return this->OwnSample; }
  void onSampleAsked(Instant Now) override { this->SampleAsked = Now; }
  bool onSharedSample(const placement::SharedSample &Sample) override;
  void setSampledElsewhere(bool Elsewhere) override { this->SampledElsewhere = Elsewhere; }

  void onPoolReady(TargetPool &Pool) override;
  void onPoolPosition(TargetPool &Pool, LogPosition At, Instant SentAt) override;

private:
  struct QueuedRequest {
    ConnectionRequest Request;
    double Draw = 0; // random number in [0, 1) by which the data centre of a read is chosen
  };
  // A round of dispatch(): the accounts of the statements that wait at its begin, and the number of
  // those that got no connection. The accounts are empty if there are no client accounts.
  struct DispatchRound {
    std::set<AccountName> WaitingForPrimary;
    std::set<AccountName> WaitingForAny;
    std::map<TargetId, uint32_t> Unserved;
    std::map<std::pair<TargetId, AccountName>, uint32_t> UnservedOfAccount;

    // The accounts that have statements which may run at the target.
    const std::set<AccountName> &waitingAt(const TargetPool &Pool) const {
      return Pool.isPrimary() ? this->WaitingForPrimary : this->WaitingForAny;
    }
  };
  bool usable(const TargetPool &Pool) const;
  DispatchRound beginRound() const;
  // True if the connections of a target are scarce, or used by several accounts.
  bool opensOnDemand() const;
  placement::QueueLoad loadFor(bool NeedsPrimary, const placement::WaitingStatement &W);
  bool tryGrant(QueuedRequest &H, DispatchRound &Round);
  bool grantAt(QueuedRequest &H, TargetPool &Pool, std::optional<LogPosition> Floor,
               DispatchRound &Round);
  std::optional<LogPosition> readFloor(const ConnectionRequest &W) const;
  void updateRetained();
  // When a connection can be expected for the statement; empty if opening connections does not
  // decide that.
  std::optional<Instant> connectionExpected(const ConnectionRequest &W, bool OnlyPrimary);
  // Rejects the waiting statements that can get no connection before they must start.
  void rejectWithoutConnection();
  void rearmExpiryTimer();
  void rejectExpired();
  void samplePrimary();
  ReadTarget readTarget(const TargetPool &Pool) const;
  void decideSpill();
  void onPrimaryAnswer(TargetPool &Pool, Term InTerm);
  void noteTerm(Term InTerm, const TargetId &Leader);
  void noteCovered(const std::optional<placement::CoveredPosition> &Covered);
  void demote(TargetPool &Pool);
  void updateGroup();
  void updatePrimary();
  void updateRegularUse();

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  const InstanceLocation &OwnLocation;
  catalog::ServiceName Name;
  catalog::ServiceLimits Limits;
  size_t Instances = 1;
  InstanceId Self;
  std::map<InstanceId, InstanceAddress> Alive;
  std::map<TargetId, std::unique_ptr<TargetPool>> Pools;
  std::vector<std::unique_ptr<TargetPool>> Retired; // removed targets whose links are still open
  placement::WaitQueue Queue;
  placement::PositionHistory Positions;
  placement::LeadEvidence Lead;
  LeadProver Prover;
  CommitProver Commits;
  uint32_t GroupSize = 0;
  std::optional<roster::Members> NamedMembers; // empty until the claim's row was read
  Instant MembersAsked = absl::InfinitePast();
  roster::Roster Group;
  absl::flat_hash_map<placement::WaitingId, QueuedRequest> Waiting;
  std::mt19937_64 Random;
  uint64_t NextId = 1;
  Term NewestTerm;
  std::optional<promotion::TermStart> Start;
  // The newest commit of which a caller of this instance was told.
  struct ToldCommit {
    LogPosition At;
    Instant ToldAt = absl::InfinitePast();
  };
  ToldCommit LastTold;
  std::optional<TargetId> KnownPrimary;
  Instant PrimaryUnknownSince;
  Instant PrimaryExpected = absl::InfiniteFuture();
  Instant SampleSentAt = absl::InfinitePast();
  Instant SampleAsked = absl::InfinitePast(); // by another instance
  bool SampledElsewhere = false;
  // The newest covered position by this instance's own evidence.
  std::optional<placement::SharedSample> OwnSample;
  Instant LastBoundedRead = absl::InfinitePast();
  Instant LastShortBound = absl::InfinitePast(); // last one below ShortestSharedBound
  absl::Duration LeavingLimit = absl::Seconds(5);
  std::map<TargetId, Instant> LeavingSince;
  std::optional<ReadSpill> Spill;
  TimerId ExpiryTimer;
  bool Dispatching = false;
  bool DispatchAgain = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_ROUTER_H
