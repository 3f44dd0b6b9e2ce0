// Tracks which instances of the proxy are alive, by a row that each instance renews in the store.
#ifndef TOUCAN_GATEWAY_INSTANCES_H
#define TOUCAN_GATEWAY_INSTANCES_H

#include "store/store.h"

#include <functional>
#include <map>
#include <string>

namespace toucan::gateway {

// Interval at which an instance renews its row.
inline constexpr int64_t InstanceRenewMs = 25000;
// An instance whose row was not renewed for this long counts as dead.
inline constexpr int64_t InstanceLifetimeMs = 60000;

// Where other instances reach an instance. An instance without a link has no endpoint.
struct InstanceAddress {
  std::string Endpoint;     // host:port
  uint64_t Incarnation = 0; // start of the process
  DataCentre Centre;        // empty: not known
  uint32_t MilliCores = 0;  // CPU time that it may use; 0: not known
};

// The live instances according to the rows, with their addresses.
std::map<InstanceId, InstanceAddress> aliveInstances(const std::vector<store::Row> &Rows,
                                                     int64_t StoreNowMs);
// Encodes the time of a renewal, by the store's clock, and the address as the value of a row.
std::string encodeRenewal(int64_t StoreNowMs, const InstanceAddress &Address = {});

// Renews the row of this instance and reads those of the others. The number of live instances sets
// each one's share of the connections. A wrong number only causes refused connections; it never
// violates a guarantee to callers.
class InstanceRegistry {
public:
  InstanceRegistry(Loop &InLoop, store::RowStore &Rows, InstanceId Self);

  // Self: where other instances reach this one.
  void start(InstanceAddress Self);
  // Marks this instance as gone in the store.
  void leave();
  size_t aliveCount() const { return this->AliveCount; }
  // Estimate of the store's clock from its last answer; 0 before the first answer.
  int64_t storeNowMs() const;

  // Called with the live instances after each read of the rows.
  std::function<void(const std::map<InstanceId, InstanceAddress> &)> OnAlive;

private:
  void renew();
  void read();

  Loop &InLoop;
  store::RowStore &Rows;
  InstanceId Self;
  InstanceAddress OwnAddress;
  size_t AliveCount = 1;
  int64_t LastStoreTimeMs = 0;
  Instant LastStoreTimeAt;
  bool HasLeft = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_INSTANCES_H
