#include "gateway/groups.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace toucan::gateway {

namespace {

const char *const GroupTable = "group-sizes";
constexpr absl::Duration RetryInterval = absl::Seconds(1);
// All targets register within this time when the whole system starts for the first time.
constexpr absl::Duration FirstStartWindow = absl::Seconds(8);

} // namespace

void GroupSizes::start() { this->read(); }

void GroupSizes::read() {
  this->Rows.readAll(GroupTable, [this](const store::ReadResult &R) {
    if (!R.Done) {
      LogEvent(LogLevel::Warn, "group_sizes_not_read").kv("cause", R.Cause);
      this->InLoop.at(this->InLoop.now() + RetryInterval, [this] { this->read(); });
      return;
    }
    this->Loaded = true;
    this->onRows(R.Rows);
  });
}

void GroupSizes::onRows(const std::vector<store::Row> &Found) {
  for (const store::Row &Row : Found) {
    uint32_t Size = 0;
    if (!absl::SimpleAtoi(Row.Value, &Size)) {
      LogEvent(LogLevel::Warn, "group_size_unreadable").kv("service", Row.Key);
      continue;
    }
    catalog::ServiceName Service(Row.Key);
    this->Saved[Service] = {.Size = Size, .Version = Row.Version};
    bool WasEstimated = this->Estimated.erase(Service) > 0;
    this->Sizes[Service] = WasEstimated ? Size : std::max(this->Sizes[Service], Size);
    if (auto Known = this->Registered.find(Service); Known != this->Registered.end())
      this->onRegisteredCount(Service, Known->second);
  }
}

void GroupSizes::onRegisteredCount(const catalog::ServiceName &Service, uint32_t Count) {
  Instant Now = this->InLoop.now();
  this->Registered[Service] = Count;
  if (Count <= this->Sizes[Service]) {
    this->LargerSince.erase(Service);
    return;
  }
  if (!this->Saved.contains(Service) && Now - this->Started < FirstStartWindow) {
    this->Sizes[Service] = Count;
    this->Estimated.insert(Service);
    this->scheduleSave(this->Started + FirstStartWindow - Now);
    return;
  }
  if (this->LargerSince.try_emplace(Service, Now).second)
    this->InLoop.at(Now + this->GrowthDelay,
                    [this, Service, Now] { this->confirmGrowth(Service, Now); });
}

bool GroupSizes::settled(const catalog::ServiceName &Service) const {
  return this->Loaded &&
         (this->Saved.contains(Service) || this->InLoop.now() - this->Started >= FirstStartWindow);
}

void GroupSizes::scheduleSave(absl::Duration Delay) {
  if (std::exchange(this->SaveScheduled, true))
    return;
  this->InLoop.at(this->InLoop.now() + Delay + this->WriteDelay, [this] { this->saveMissing(); });
}

// Reads the table first, because with many instances another one has usually written it already.
void GroupSizes::saveMissing() {
  this->Rows.readAll(GroupTable, [this](const store::ReadResult &R) {
    if (!R.Done) {
      LogEvent(LogLevel::Warn, "group_sizes_not_read").kv("cause", R.Cause);
      this->InLoop.at(this->InLoop.now() + RetryInterval, [this] { this->saveMissing(); });
      return;
    }
    this->SaveScheduled = false;
    this->Loaded = true;
    this->onRows(R.Rows);
    for (const auto &[Service, Size] : this->Sizes)
      this->save(Service);
  });
}

void GroupSizes::confirmGrowth(const catalog::ServiceName &Service, Instant Since) {
  auto It = this->LargerSince.find(Service);
  if (It == this->LargerSince.end() || It->second != Since)
    return;
  this->LargerSince.erase(It);
  this->Sizes[Service] = this->Registered[Service];
  this->scheduleSave(absl::ZeroDuration());
}

uint32_t GroupSizes::size(const catalog::ServiceName &Service) const {
  auto It = this->Sizes.find(Service);
  return It == this->Sizes.end() ? 0 : It->second;
}

void GroupSizes::save(const catalog::ServiceName &Service) {
  uint32_t Size = this->Sizes[Service];
  SavedSize Found;
  if (auto It = this->Saved.find(Service); It != this->Saved.end())
    Found = It->second;
  if (Found.Size >= Size)
    return;
  this->Rows.write(GroupTable, Service.Value, Found.Version, absl::StrCat(Size),
                   [this, Service, Size](const store::WriteResult &R) {
                     if (R.Outcome == store::WriteOutcome::Done) {
                       this->Saved[Service] = {.Size = Size, .Version = R.Version};
                       this->Estimated.erase(Service);
                       return;
                     }
                     LogEvent(LogLevel::Warn, "group_size_not_written")
                         .kv("service", Service.Value)
                         .kv("cause", R.Cause);
                     this->scheduleSave(RetryInterval);
                   });
}

} // namespace toucan::gateway
