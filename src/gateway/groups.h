// How many targets each service has, kept in the store so that an instance that starts while some
// are down does not take the rest for all.
#ifndef TOUCAN_GATEWAY_GROUPS_H
#define TOUCAN_GATEWAY_GROUPS_H

#include "catalog/catalog.h"
#include "store/store.h"

#include <cstdint>
#include <map>

namespace toucan::gateway {

// Sizes only grow: a smaller number could let a change of primary lose a commit that a target
// holds which is down.
class GroupSizes {
public:
  // WriteDelay: added to the time at which this instance writes, so that the first of many
  // instances writes and the others find its rows.
  GroupSizes(Loop &InLoop, store::RowStore &Rows, absl::Duration WriteDelay)
      : InLoop(InLoop), Rows(Rows), WriteDelay(WriteDelay), Started(InLoop.now()) {}

  void start();
  // So many targets of the service are registered and stay.
  void onRegisteredCount(const catalog::ServiceName &Service, uint32_t Count);
  // Known size; 0 before the sizes were read from the store.
  uint32_t size(const catalog::ServiceName &Service) const;
  // The size is not about to grow: it was read from the store, or the first start is over. Before
  // that, a missing primary is one that has not registered yet.
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
  std::map<catalog::ServiceName, uint32_t> Sizes;
  std::map<catalog::ServiceName, uint32_t> Saved;
  std::map<catalog::ServiceName, uint32_t> Registered;
  std::map<catalog::ServiceName, Instant> LargerSince;
  absl::Duration WriteDelay;
  Instant Started;
  bool Loaded = false;
  bool SaveScheduled = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_GROUPS_H
