// The number of targets of each service, kept in the store. An instance that starts while some
// targets are down would otherwise take the remaining ones for the whole group.
#ifndef TOUCAN_GATEWAY_GROUPS_H
#define TOUCAN_GATEWAY_GROUPS_H

#include "catalog/catalog.h"
#include "store/store.h"

#include <cstdint>
#include <map>
#include <set>

namespace toucan::gateway {

// Sizes never decrease: with a smaller size, a change of primary could lose a commit that only a
// target which is down holds. Until the store was read, the size is estimated from the
// registrations. A row takes precedence over the estimate, which may count a target and its
// replacement.
class GroupSizes {
public:
  // WriteDelay postpones the writes of this instance. It differs between instances, so that one
  // instance writes first and the others find its rows. GrowthDelay: a target and its replacement
  // are both registered for some seconds; the group has grown only if the larger count lasts
  // longer.
  GroupSizes(Loop &InLoop, store::RowStore &Rows, absl::Duration WriteDelay,
             absl::Duration GrowthDelay = absl::Seconds(20))
      : InLoop(InLoop), Rows(Rows), WriteDelay(WriteDelay), GrowthDelay(GrowthDelay),
        Started(InLoop.now()) {}

  void start();
  // Count targets of the service are registered and not leaving.
  void onRegisteredCount(const catalog::ServiceName &Service, uint32_t Count);
  // The known size; 0 if neither the store nor the registrations gave one.
  uint32_t size(const catalog::ServiceName &Service) const;
  // Whether the size is reliable: it was read from the store, or the period of the first start is
  // over. Before that, a missing primary may simply not have registered yet.
  bool settled(const catalog::ServiceName &Service) const;

private:
  void read();
  void scheduleSave(absl::Duration Delay);
  void saveMissing();
  void onRows(const std::vector<store::Row> &Found);
  void save(const catalog::ServiceName &Service);
  void confirmGrowth(const catalog::ServiceName &Service, Instant Since);

  Loop &InLoop;
  store::RowStore &Rows;
  struct SavedSize {
    uint32_t Size = 0;
    store::RowVersion Version;
  };
  std::map<catalog::ServiceName, uint32_t> Sizes;
  std::set<catalog::ServiceName> Estimated; // sizes that no row has given
  std::map<catalog::ServiceName, SavedSize> Saved;
  std::map<catalog::ServiceName, uint32_t> Registered;
  std::map<catalog::ServiceName, Instant> LargerSince;
  absl::Duration WriteDelay;
  absl::Duration GrowthDelay;
  Instant Started;
  bool Loaded = false;
  bool SaveScheduled = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_GROUPS_H
