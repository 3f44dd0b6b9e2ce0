#include "gateway/instances.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

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

size_t countAlive(const std::vector<store::Row> &Rows, int64_t StoreNowMs) {
  size_t Alive = 0;
  for (const store::Row &R : Rows) {
    int64_t RenewedMs = 0;
    // A malformed row does not count.
    if (absl::SimpleAtoi(R.Value, &RenewedMs) && RenewedMs > 0 &&
        StoreNowMs - RenewedMs < InstanceLifetimeMs)
      ++Alive;
  }
  return std::max<size_t>(1, Alive);
}

std::string encodeRenewal(int64_t StoreNowMs) { return absl::StrCat(StoreNowMs); }

InstanceRegistry::InstanceRegistry(Loop &InLoop, store::RowStore &Rows, InstanceId Self)
    : InLoop(InLoop), Rows(Rows), Self(std::move(Self)), LastStoreTimeAt(InLoop.now()) {}

int64_t InstanceRegistry::storeNowMs() const {
  return this->LastStoreTimeMs == 0
             ? 0
             : this->LastStoreTimeMs +
                   absl::ToInt64Milliseconds(this->InLoop.now() - this->LastStoreTimeAt);
}

// Reads first, because the row of this instance holds a time of the store's clock.
void InstanceRegistry::start() { this->read(); }

void InstanceRegistry::renew() {
  if (this->HasLeft)
    return;
  this->Rows.overwrite(InstanceTable, this->Self.Value, encodeRenewal(this->storeNowMs()),
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
    size_t Count = countAlive(R.Rows, R.StoreMs);
    if (Count != this->AliveCount)
      LogEvent(LogLevel::Info, "instances_alive").kv("count", Count).kv("before", this->AliveCount);
    this->AliveCount = Count;
    if (this->OnAliveCount)
      this->OnAliveCount(Count);
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
