// Changes the primary of a service: runs the state machine of the promotion library and carries out
// its actions at the store, the targets and the platform.
#ifndef TOUCAN_GATEWAY_CHANGES_H
#define TOUCAN_GATEWAY_CHANGES_H

#include "gateway/observers.h"
#include "gateway/router.h"
#include "promotion/promotion.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::gateway {

// Promotes a target to primary. Implementations call Done on the loop's thread.
class Promoter {
public:
  virtual ~Promoter() = default;
  virtual void promote(const catalog::ServiceName &Service, const TargetId &Target,
                       const InstanceId &Holder, promotion::FencingToken Token,
                       std::function<void(promotion::PromoteOutcome, std::string Detail)> Done) = 0;
};

// Reads the registrations of all targets anew from the directory. Done runs on the loop's thread.
class TargetReader {
public:
  using Handler = std::function<void(const std::optional<std::vector<catalog::Registration>> &)>;
  virtual ~TargetReader() = default;
  virtual void readTargets(Handler Done) = 0;
};

struct ChangeDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  promotion::Claimer &Claims;
  Promoter &Promotions;
  LeaderObservers &Observers;
  InstanceId Self;
  std::function<int64_t()> StoreNowMs;   // estimate of the store's clock
  std::function<size_t()> InstanceCount; // live instances
  bool TokensChecked = false;            // the platform refuses lower fencing tokens
  // Updates the list of targets from the directory; Done tells whether that succeeded.
  std::function<void(std::function<void(bool Read)> Done)> ReadTargets;
};

// Time between 0 and 400 ms. It differs between instances and services, so that the first instance
// to act is seen by the others, and grows with the number of instances.
absl::Duration spreadDelay(const InstanceId &Self, const catalog::ServiceName &Service,
                           size_t Instances);

class ChangeRunner {
public:
  ChangeRunner(ChangeDependencies Deps, ServiceRouter &Router);

  // Diagnoses the primary, and begins or continues a change. Called periodically.
  void tick();
  // The process was suspended for a while. Targets that seemed unresponsive may have answered
  // meanwhile, so failure detection is restarted.
  void onStall();
  bool running() const { return this->Change != nullptr; }

private:
  void begin(const promotion::Diagnosis &D);
  void perform(const std::vector<promotion::Action> &Actions);
  void takeClaim();
  void readTargets(const promotion::ClaimResult &R);
  void endClaim();
  void recordOrder(const promotion::Action &A);
  void promote(const promotion::Action &A);
  void sendCommand(const promotion::Action &A);
  void observe(const promotion::Action &A);
  void fence(const promotion::Action &A);
  void finish(std::string_view Outcome);

  ChangeDependencies Deps;
  ServiceRouter &Router;
  std::unique_ptr<promotion::PrimaryChange> Change;
  promotion::ChangeKind ChangeTrigger = promotion::ChangeKind::Failover;
  bool HasClaim = false;
  uint64_t Generation = 0; // number of the change; late answers to earlier ones are ignored
  Instant EarliestNextChange = absl::InfinitePast();
  Instant BeginAt = absl::InfiniteFuture(); // when a change that was found necessary begins
  Instant YieldedAt = absl::InfinitePast();
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_CHANGES_H
