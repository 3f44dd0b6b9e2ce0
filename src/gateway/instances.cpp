#include "gateway/instances.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace toucan::gateway {

namespace {

const char *const InstanceTable = "instances";
// All instances of a deployment start within a second; the first list is read after that.
constexpr absl::Duration FirstRead = absl::Milliseconds(1500);
constexpr absl::Duration RenewInterval = absl::Milliseconds(InstanceRenewMs);
constexpr absl::Duration RetryInterval = absl::Seconds(2);

} // namespace

size_t countAlive(const std::vector<store::Row> &Rows, int64_t StoreNowMs) {
  size_t Alive = 0;
  for (const store::Row &R : Rows) {
    int64_t RenewedMs = 0;
    // A row that cannot be read does not count.
    if (absl::SimpleAtoi(R.Value, &RenewedMs) && RenewedMs > 0 &&
        StoreNowMs - RenewedMs < InstanceLifetimeMs)
      ++Alive;
  }
  return std::max<size_t>(1, Alive);
}

std::string encodeRenewal(int64_t StoreNowMs) { return absl::StrCat(StoreNowMs); }

InstanceRegistry::InstanceRegistry(Loop &InLoop, store::RowStore &Rows, InstanceId Self)
    : InLoop(InLoop), Rows(Rows), Self(std::move(Self)), StoreMsAt(InLoop.now()) {}

int64_t InstanceRegistry::storeNowMs() const {
  return this->StoreMs == 0
             ? 0
             : this->StoreMs + absl::ToInt64Milliseconds(this->InLoop.now() - this->StoreMsAt);
}

// The first read tells the store's clock, which the row needs.
void InstanceRegistry::start() { this->read(); }

void InstanceRegistry::renew() {
  if (this->Left)
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
  if (this->Left)
    return;
  bool First = this->StoreMs == 0;
  this->Rows.readAll(InstanceTable, [this, First](const store::ReadResult &R) {
    if (!R.Done) {
      LogEvent(LogLevel::Warn, "instances_not_read").kv("cause", R.Cause);
      this->InLoop.at(this->InLoop.now() + RetryInterval, [this] { this->read(); });
      return;
    }
    this->StoreMs = R.StoreMs;
    this->StoreMsAt = this->InLoop.now();
    size_t Count = countAlive(R.Rows, R.StoreMs);
    if (Count != this->Alive)
      LogEvent(LogLevel::Info, "instances_alive").kv("count", Count).kv("before", this->Alive);
    this->Alive = Count;
    if (this->OnCount)
      this->OnCount(Count);
    if (First)
      this->renew();
    this->InLoop.at(this->InLoop.now() + (First ? FirstRead : RenewInterval),
                    [this] { this->read(); });
  });
}

void InstanceRegistry::leave() {
  this->Left = true;
  this->Rows.overwrite(InstanceTable, this->Self.Value, encodeRenewal(0),
                       [](const store::WriteResult &R) {
                         if (R.Outcome != store::WriteOutcome::Done)
                           LogEvent(LogLevel::Info, "instance_row_left").kv("cause", R.Cause);
                       });
}

} // namespace toucan::gateway
