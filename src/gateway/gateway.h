// Public header of the gateway library: serves callers over direct connections to the targets.
// Each instance decides on its own, from its own observations and the contents of the store.
#ifndef TOUCAN_GATEWAY_GATEWAY_H
#define TOUCAN_GATEWAY_GATEWAY_H

#include "callers/caller_budget.h"
#include "gateway/changes.h"
#include "gateway/codec.h"
#include "gateway/groups.h"
#include "gateway/instances.h"
#include "gateway/observers.h"
#include "gateway/peers.h"
#include "gateway/rate_limits.h"
#include "gateway/readiness.h"
#include "gateway/router.h"
#include "gateway/samples.h"
#include "gateway/session.h"

#include "absl/container/flat_hash_set.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::gateway {

// The PostgreSQL path uses the same decisions.
using callers::AssumedMemoryBytes;
using callers::CallerBudget;
using callers::CallerBytes;
using callers::CallerDeadlines;
using callers::callerLimits;
using callers::CallerProgress;
using callers::CallerSocketBytes;
using callers::CallerTimes;
using callers::FullKernelBufferBytes;
using callers::MaxCallerReadBytes;
using callers::maxCallers;

struct GatewayOptions {
  InstanceId Self;
  InstanceLocation Location;
  std::string CallerAddress;                           // IP:PORT to listen on
  size_t MaxSessions = 4000;                           // callers beyond this are refused
  uint64_t MemoryLimitBytes = 0;                       // of the process; 0: not known
  CallerTimes Times;                                   // time bounds of callers
  absl::Duration LeavingLimit = absl::Seconds(5);      // how long a leaving target still gets work
  bool TokensChecked = false;                          // the platform refuses lower fencing tokens
  std::string LinkHost;                                // IP address of the link; empty: no link
  uint16_t LinkPort = 0;                               // 0: ephemeral port
  uint64_t Incarnation = 0;                            // start of this process
  uint32_t MilliCores = 0;                             // CPU time it may use; 0: not known
  uint64_t Seed = 1;                                   // of the random choice of targets for reads
  absl::Duration GroupGrowthDelay = absl::Seconds(20); // see GroupSizes
  std::optional<placement::SpillSettings> Spill; // reads sent to other data centres; empty: off
  ratelimit::Bounds RateBounds;
};

class Gateway : public SessionHost {
public:
  Gateway(Loop &InLoop, Codec &Protocol, Metrics &Counters, store::RowStore &Rows,
          Promoter &Promotions, TargetReader &Reader, GatewayOptions Options);
  ~Gateway() override;

  Result<void> start();

  // Input from the control plane. Called on the loop's thread.
  void onConfiguration(catalog::Configuration New);
  // Accounts that have a rate limit.
  void setRateLimits(const RateLimits::LimitMap &New) { this->Limits.setLimits(New); }
  void onTarget(const catalog::Registration &R);
  void onTargetVanished(const TargetId &Id);
  void onTargetList(const std::vector<catalog::Registration> &Registrations);

  // Whether new callers are accepted: the configuration and the targets are known, and the gateway
  // is not draining.
  bool ready() const;
  // Shuts down gracefully. Idle callers are closed once the load balancer has had time to remove
  // this instance. Transactions may finish until TransactionDeadline. Done runs when all callers
  // are gone, at the latest at Deadline.
  void drain(Instant TransactionDeadline, Instant Deadline, std::function<void()> Done);

  const catalog::Configuration *configuration() const override;
  ServiceRouter *router(const catalog::ServiceName &Service) override;
  bool send(SessionId Id, std::string Bytes) override;
  void end(SessionId Id) override;
  bool mayProcess(SessionId Id) const override;
  size_t maxStateBytes() const override { return this->Budget.limits().CallerBytes; }

  // Called with the new value of ready() when it changes.
  std::function<void(bool)> OnReadinessChange;

private:
  struct Caller {
    int Fd = -1;
    std::shared_ptr<Session> CallerSession;
    std::string Unsent;
    bool Ending = false;     // the session has ended; removed once Unsent is written
    bool HalfClosed = false; // the caller has ended its sending side
    bool FlushDue = false;   // flush() is scheduled to look for acknowledgements
    uint32_t WatchedEvents = 0;
    uint64_t SentBytes = 0;
    CallerDeadlines Deadlines{absl::InfiniteFuture()};
  };
  struct ServiceState {
    std::unique_ptr<ServiceRouter> Router;
    std::unique_ptr<ChangeRunner> Changes;
  };

  // Owes its caller nothing: no statement, transaction, input or unsent answer.
  static bool isIdle(const Caller &C);
  void acceptCallers();
  void pauseAccepting();
  void onCallerEvents(SessionId Id, uint32_t Events);
  void flush(SessionId Id);
  void updateWatch(SessionId Id, Caller &C);
  // Reports the caller's sizes to the budget, and schedules the closing of callers if it is spent.
  void account(SessionId Id, const Caller &C);
  // Writes what the socket takes. False if the connection has failed.
  bool write(SessionId Id, Caller &C);
  void flushLater(SessionId Id);
  void closeHeaviest();
  void closeCaller(SessionId Id, std::string_view Cause);
  // Ends a half-closed caller that has its answers.
  void endHalfClosed(Caller &C);
  void resumePaused();
  void checkCallers();
  void remove(SessionId Id);
  void tick();
  void tickSamples(Instant Now);
  void applyChange(const catalog::TargetChange &Change);
  void noteReadability(const catalog::Registration &R);
  ServiceState &service(const catalog::ServiceName &Name);
  ReadinessInputs readinessInputs() const;
  void updateReadiness();
  void updateGroupSize(const catalog::ServiceName &Service);
  void updateListing(const TargetId &Id);
  void updateConnectionMode();
  void applyRateLimits();
  void readTargets(const std::function<void(bool)> &Done);
  void checkClaims();
  using KnownLeads = std::map<catalog::ServiceName, promotion::KnownLead>;
  KnownLeads knownLeads() const;
  void onClaims(const promotion::ClaimTable &Found, const KnownLeads &Leads, Instant Asked);
  void endAbandonedClaim(const catalog::ServiceName &Service,
                         const promotion::ClaimTable::Entry &Found);
  void continueDrain();

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  GatewayOptions Options;
  catalog::RouteTable Routes;
  catalog::TargetDirectory Targets;
  bool TargetsKnown = false;
  InstanceRegistry Instances;
  std::map<InstanceId, InstanceAddress> Alive; // as of the last read of the rows
  size_t ScarceServices = 0;
  size_t RetainedTargets = 0;
  PeerLink Peers;
  LinkedRateEnvironment RateEnv;
  RateLimits Limits;
  LeaderObservers Observers;
  SharedSamples Samples;
  GroupSizes Groups;
  promotion::Claimer Claims;
  Promoter &Promotions;
  TargetReader &Reader;
  Instant NextClaimCheck = absl::InfinitePast();
  bool CheckingClaims = false;
  std::map<catalog::ServiceName, ServiceState> Services;
  std::map<TargetId, catalog::ServiceName> ServiceOf;
  std::map<TargetId, std::string> Unreadable; // targets whose registration is unreadable, and why
  absl::flat_hash_map<SessionId, std::unique_ptr<Caller>> Callers;
  CallerBudget Budget;
  bool ClosesHeaviest = false; // closeHeaviest() is scheduled
  Instant NextCallerCheck = absl::InfinitePast();
  absl::flat_hash_set<SessionId> PausedCallers; // not read or not processed
  RequestLog Log;
  int ListenFd = -1;
  uint64_t NextSession = 1;
  Instant LastTick;
  bool Ready = false;
  bool Draining = false;
  Instant CloseIdleFrom;
  Instant TransactionDeadline;
  Instant DrainDeadline;
  std::function<void()> OnDrained;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_GATEWAY_H
