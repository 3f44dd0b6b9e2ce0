// Carries out changes of primary: runs the state machine of the promotion library against the
// store, the targets and the platform.
#ifndef TOUCAN_GATEWAY_CHANGES_H
#define TOUCAN_GATEWAY_CHANGES_H

#include "gateway/router.h"
#include "promotion/promotion.h"

#include <functional>
#include <memory>
#include <string>

namespace toucan::gateway {

// Orders a target to lead. Implementations call back in the loop's thread.
class Promoter {
public:
  virtual ~Promoter() = default;
  virtual void promote(const catalog::ServiceName &Service, const TargetId &Target,
                       const InstanceId &Holder, promotion::FencingToken Token,
                       std::function<void(promotion::PromoteOutcome, std::string Detail)> Done) = 0;
};

struct ChangeDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  promotion::Claimer &Claims;
  Promoter &Promotions;
  InstanceId Self;
  std::function<int64_t()> StoreNowMs; // the store's clock, estimated
  // Targets that the service has when all are registered.
  std::function<uint32_t(const catalog::ServiceName &)> GroupSize;
};

class ChangeRunner {
public:
  ChangeRunner(ChangeDependencies Deps, ServiceRouter &Router);

  // Looks at the signs of the primary and begins or continues a change.
  void tick();
  // The process did not run for a while: silence seen before proves nothing.
  void onStall();

private:
  void begin(const promotion::Diagnosis &D);
  void perform(const std::vector<promotion::Action> &Actions);
  void sendCommand(const promotion::Action &A);
  void finish(std::string_view Outcome);

  ChangeDependencies Deps;
  ServiceRouter &Router;
  std::unique_ptr<promotion::PrimaryChange> Change;
  promotion::Trigger ChangeTrigger = promotion::Trigger::Lost;
  uint64_t Generation = 0; // of the change; answers to an older one are dropped
  Instant EarliestNextChange = absl::InfinitePast();
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_CHANGES_H
