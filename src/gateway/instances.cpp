#include "gateway/instances.h"
#include "gateway/socket.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>

namespace toucan::gateway {

namespace {

const char *const InstanceTable = "instances";
// Delay of the second read. All instances of a deployment start within a second, so that read finds
// all of them.
constexpr absl::Duration FirstRereadDelay = absl::Milliseconds(1500);
constexpr absl::Duration RenewInterval = absl::Milliseconds(InstanceRenewMs);
constexpr absl::Duration RetryInterval = absl::Seconds(2);

} // namespace

// A row without a valid time does not count; one with an invalid address is not asked. The fields
// of a row are separated by blanks: time of the renewal and, if the instance has a link, endpoint,
// incarnation, data centre and CPU time. Rows of older versions lack the last two.
std::map<InstanceId, InstanceAddress> aliveInstances(const std::vector<store::Row> &Rows,
                                                     int64_t StoreNowMs) {
  std::map<InstanceId, InstanceAddress> Out;
  for (const store::Row &R : Rows) {
    std::vector<std::string> Fields = absl::StrSplit(R.Value, ' ');
    int64_t RenewedMs = 0;
    if (!absl::SimpleAtoi(Fields[0], &RenewedMs) || RenewedMs <= 0 ||
        StoreNowMs - RenewedMs >= InstanceLifetimeMs)
      continue;
    InstanceAddress &Address = Out[InstanceId(R.Key)];
    uint64_t Incarnation = 0;
    bool Known = Fields.size() == 3 || Fields.size() == 5;
    if (!Known || !isSocketAddress(Fields[1]) || !absl::SimpleAtoi(Fields[2], &Incarnation))
      continue;
    Address = {.Endpoint = Fields[1], .Incarnation = Incarnation};
    uint32_t MilliCores = 0;
    if (Fields.size() == 5 && absl::SimpleAtoi(Fields[4], &MilliCores)) {
      Address.Centre = DataCentre(Fields[3]);
      Address.MilliCores = MilliCores;
    }
  }
  return Out;
}

std::string encodeRenewal(int64_t StoreNowMs, const InstanceAddress &Address) {
  return Address.Endpoint.empty()
             ? absl::StrCat(StoreNowMs)
             : absl::StrCat(StoreNowMs, " ", Address.Endpoint, " ", Address.Incarnation,
                            Address.Centre.Value.empty()
                                ? ""
                                : absl::StrCat(" ", Address.Centre.Value, " ", Address.MilliCores));
}

InstanceRegistry::InstanceRegistry(Loop &InLoop, store::RowStore &Rows, InstanceId Self)
    : InLoop(InLoop), Rows(Rows), Self(std::move(Self)), LastStoreTimeAt(InLoop.now()) {}

int64_t InstanceRegistry::storeNowMs() const {
  return this->LastStoreTimeMs == 0
             ? 0
             : this->LastStoreTimeMs +
                   absl::ToInt64Milliseconds(this->InLoop.now() - this->LastStoreTimeAt);
}

// Reads first, because the row of this instance holds a time of the store's clock.
void InstanceRegistry::start(InstanceAddress Address) {
  this->OwnAddress = std::move(Address);
  this->read();
}

void InstanceRegistry::renew() {
  if (this->HasLeft)
    return;
  this->Rows.overwrite(InstanceTable, this->Self.Value,
                       encodeRenewal(this->storeNowMs(), this->OwnAddress),
                       [this](const store::WriteResult &R) {
                         bool Done = R.Outcome == store::WriteOutcome::Done;
                         if (!Done)
                           LogEvent(LogLevel::Warn, "instance_not_renewed").kv("cause", R.Cause);
                         Instant Next = this->InLoop.now() + (Done ? RenewInterval : RetryInterval);
                         this->InLoop.at(Next, [this] { this->renew(); });
                       });
}

void InstanceRegistry::read() {
  if (this->HasLeft)
    return;
  bool First = this->LastStoreTimeMs == 0;
  this->Rows.readAll(InstanceTable, [this, First](const store::ReadResult &R) {
    if (!R.Done) {
      LogEvent(LogLevel::Warn, "instances_not_read").kv("cause", R.Cause);
      this->InLoop.at(this->InLoop.now() + RetryInterval, [this] { this->read(); });
      return;
    }
    this->LastStoreTimeMs = R.StoreMs;
    this->LastStoreTimeAt = this->InLoop.now();
    std::map<InstanceId, InstanceAddress> Alive = aliveInstances(R.Rows, R.StoreMs);
    size_t Count = std::max<size_t>(1, Alive.size());
    if (Count != this->AliveCount)
      LogEvent(LogLevel::Info, "instances_alive").kv("count", Count).kv("before", this->AliveCount);
    this->AliveCount = Count;
    if (this->OnAlive)
      this->OnAlive(Alive);
    if (First)
      this->renew();
    this->InLoop.at(this->InLoop.now() + (First ? FirstRereadDelay : RenewInterval),
                    [this] { this->read(); });
  });
}

void InstanceRegistry::leave() {
  this->HasLeft = true;
  this->Rows.overwrite(InstanceTable, this->Self.Value, encodeRenewal(0),
                       [](const store::WriteResult &R) {
                         if (R.Outcome != store::WriteOutcome::Done)
                           LogEvent(LogLevel::Info, "instance_row_left").kv("cause", R.Cause);
                       });
}

} // namespace toucan::gateway
