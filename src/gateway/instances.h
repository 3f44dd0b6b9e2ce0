// Which instances of the proxy are alive, by rows that each renews in the store.
#ifndef TOUCAN_GATEWAY_INSTANCES_H
#define TOUCAN_GATEWAY_INSTANCES_H

#include "store/store.h"

#include <functional>
#include <map>
#include <string>

namespace toucan::gateway {

// An instance renews its row this often.
inline constexpr int64_t InstanceRenewMs = 25000;
// A row that was not renewed for this long counts as that of a dead instance.
inline constexpr int64_t InstanceLifetimeMs = 60000;

// Number of instances alive by the rows read; at least one, this instance.
size_t countAlive(const std::vector<store::Row> &Rows, int64_t StoreNowMs);
// The store's clock at the last renewal, as the row's value.
std::string encodeRenewal(int64_t StoreNowMs);

// Keeps this instance's row and reads those of the others. The shares of connections follow from
// the number; a wrong one costs refused connections, never a broken promise.
class InstanceRegistry {
public:
  InstanceRegistry(Loop &InLoop, store::RowStore &Rows, InstanceId Self);

  void start();
  // Writes that this instance is gone.
  void leave();
  size_t aliveCount() const { return this->AliveCount; }
  // The store's clock, estimated from its last answer; 0 before the first.
  int64_t storeNowMs() const;

  std::function<void(size_t)> OnAliveCount;

private:
  void renew();
  void read();

  Loop &InLoop;
  store::RowStore &Rows;
  InstanceId Self;
  size_t AliveCount = 1;
  int64_t LastStoreTimeMs = 0;
  Instant LastStoreTimeAt;
  bool HasLeft = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_INSTANCES_H
