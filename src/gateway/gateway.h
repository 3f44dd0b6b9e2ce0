// Public header of the gateway library: serves callers over direct connections to the targets.
// Each instance decides on its own, from its own observations and the contents of the store.
#ifndef TOUCAN_GATEWAY_GATEWAY_H
#define TOUCAN_GATEWAY_GATEWAY_H

#include "gateway/callers.h"
#include "gateway/changes.h"
#include "gateway/codec.h"
#include "gateway/groups.h"
#include "gateway/instances.h"
#include "gateway/members.h"
#include "gateway/observers.h"
#include "gateway/peers.h"
#include "gateway/rate_limits.h"
#include "gateway/readiness.h"
#include "gateway/router.h"
#include "gateway/samples.h"
#include "gateway/session.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::gateway {

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
  bool send(SessionId Id, std::string Bytes) override {
    return this->Callers.send(Id, std::move(Bytes));
  }
  void end(SessionId Id) override { this->Callers.end(Id); }
  bool mayProcess(SessionId Id) const override { return this->Callers.mayProcess(Id); }
  size_t maxStateBytes() const override { return this->Callers.maxStateBytes(); }

  // Called with the new value of ready() when it changes.
  std::function<void(bool)> OnReadinessChange;

private:
  struct ServiceState {
    std::unique_ptr<ServiceRouter> Router;
    std::unique_ptr<ChangeRunner> Changes;
    std::unique_ptr<MemberKeeper> Members;
  };

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
  absl::Duration memberDelay(const catalog::ServiceName &Service) const;
  void noteMembers(const promotion::ClaimTable &Found, Instant Asked);
  ClaimReader::KnownLeads knownLeads() const;
  void onClaims(const ClaimReader::Answer &Read);
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
  ClaimReader ReadClaims;
  Promoter &Promotions;
  TargetReader &Reader;
  Instant NextClaimCheck = absl::InfinitePast();
  bool CheckingClaims = false;
  std::map<catalog::ServiceName, ServiceState> Services;
  std::map<TargetId, catalog::ServiceName> ServiceOf;
  std::map<TargetId, std::string> Unreadable; // targets whose registration is unreadable, and why
  Instant LastTick;
  bool Ready = false;
  bool Draining = false;
  Instant CloseIdleFrom;
  Instant TransactionDeadline;
  Instant DrainDeadline;
  std::function<void()> OnDrained;
  // Destroyed first, because closing its sessions uses the members above.
  CallerConnections Callers;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_GATEWAY_H
