#include "callers/caller_budget.h"

#include <algorithm>

namespace toucan::callers {

namespace {

constexpr uint64_t CallerMemoryDivisor = 4;
constexpr size_t CallerShareDivisor = 16;
constexpr size_t SocketDivisor = 1024;
constexpr size_t MaxSocketBytes = size_t{256} * 1024;
constexpr size_t MaxCallerBytes = size_t{4} << 20;
// Session object, watch, timers and the kernel's socket.
constexpr size_t IdleCallerBytes = 4096;
// A caller with less than this is not paused for the others' use of memory.
constexpr size_t MinEqualShare = 64 * 1024;
// A caller with less than this is not closed either, unless many of them together hold too much:
// closing it would free little.
constexpr size_t LightCallerBytes = 16 * 1024;
constexpr uint64_t MinReservedDescriptors = 32;

void addTo(CallerBytes &Sum, const CallerBytes &B) {
  Sum.Input += B.Input;
  Sum.Statement += B.Statement;
  Sum.State += B.State;
  Sum.Unsent += B.Unsent;
  Sum.Kernel += B.Kernel;
  Sum.Unread += B.Unread;
}

void subtractFrom(CallerBytes &Sum, const CallerBytes &B) {
  Sum.Input -= B.Input;
  Sum.Statement -= B.Statement;
  Sum.State -= B.State;
  Sum.Unsent -= B.Unsent;
  Sum.Kernel -= B.Kernel;
  Sum.Unread -= B.Unread;
}

} // namespace

CallerLimits callerLimits(uint64_t MemoryLimitBytes, size_t MaxMessageBytes) {
  uint64_t Memory = MemoryLimitBytes == 0 ? AssumedMemoryBytes : MemoryLimitBytes;
  auto Total = static_cast<size_t>(Memory / CallerMemoryDivisor);
  // The largest message and one read behind it, in a buffer that grows by doubling.
  size_t MinCallerBytes = MaxMessageBytes / 2 * 5;
  return {.TotalBytes = Total,
          .CallerBytes = std::clamp(Total / CallerShareDivisor, MinCallerBytes,
                                    std::max(MinCallerBytes, MaxCallerBytes))};
}

size_t maxCallers(uint64_t Descriptors) {
  uint64_t Reserved = std::max(Descriptors / 4, MinReservedDescriptors);
  return Descriptors > Reserved ? static_cast<size_t>(Descriptors - Reserved) : 1;
}

int callerSocketBytes(const CallerLimits &Limits) {
  return static_cast<int>(std::clamp(Limits.TotalBytes / SocketDivisor,
                                     static_cast<size_t>(CallerSocketBytes), MaxSocketBytes));
}

void CallerBudget::update(SessionId Id, const CallerBytes &Reported) {
  CallerBytes Now = Reported;
  // A caller below the least share is not read only until the heaviest are closed, in the same
  // iteration of the loop. The allowance must not make it one of them.
  if (Now.work() <= MinEqualShare)
    Now.Unread = 0;
  auto [It, New] = this->Callers.try_emplace(Id);
  if (!New && It->second == Now)
    return;
  if (!New) {
    subtractFrom(this->Sum, It->second);
    this->ByBytes.erase({It->second.total(), Id});
  }
  It->second = Now;
  addTo(this->Sum, Now);
  this->ByBytes.emplace(Now.total(), Id);
}

void CallerBudget::remove(SessionId Id) {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return;
  subtractFrom(this->Sum, It->second);
  this->ByBytes.erase({It->second.total(), Id});
  this->Callers.erase(It);
}

size_t CallerBudget::totalBytes() const {
  return this->Sum.total() + this->Callers.size() * IdleCallerBytes;
}

size_t CallerBudget::equalShare() const {
  return std::max(this->pressedBytes() / std::max<size_t>(this->Callers.size(), 1), MinEqualShare);
}

bool CallerBudget::overShare(SessionId Id) const {
  auto It = this->Callers.find(Id);
  return It != this->Callers.end() && this->pressed() && It->second.work() > this->equalShare();
}

bool CallerBudget::mayRead(SessionId Id) const {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return true;
  const CallerBytes &B = It->second;
  if (B.Input > this->Limits.CallerBytes || B.Unsent > this->Limits.CallerBytes)
    return false;
  // Above the total, heavy callers are closed in the same iteration of the loop. Nothing is read
  // until then, so that one iteration does not add a read of each caller.
  return this->totalBytes() <= this->Limits.TotalBytes && !this->overShare(Id);
}

bool CallerBudget::mayProcess(SessionId Id) const {
  auto It = this->Callers.find(Id);
  if (It == this->Callers.end())
    return true;
  const CallerBytes &B = It->second;
  return B.Unsent <= this->Limits.CallerBytes && !(B.Unsent > 0 && this->overShare(Id));
}

std::optional<SessionId> CallerBudget::toClose() const {
  if (this->totalBytes() <= this->Limits.TotalBytes || this->ByBytes.empty())
    return std::nullopt;
  auto [Bytes, Id] = *this->ByBytes.rbegin();
  // Above the total, at least one caller holds more than the mean.
  size_t Mean = this->Limits.TotalBytes / this->Callers.size();
  size_t Light = std::min(LightCallerBytes, Mean - std::min(Mean, IdleCallerBytes));
  return Bytes > Light ? std::optional(Id) : std::nullopt;
}

void CallerDeadlines::postpone(absl::Duration Stalled) {
  this->Accepted += Stalled;
  this->MessageSince += Stalled;
  this->DrainSince += Stalled;
}

std::string_view CallerDeadlines::check(Instant Now, const CallerProgress &P,
                                        const CallerTimes &Times) {
  if (!P.Opened && Now - this->Accepted > Times.Open)
    return "open_timeout";
  if (!P.InMessage) {
    this->MessageSince = absl::InfiniteFuture();
  } else if (this->MessageSince == absl::InfiniteFuture() || this->MessageNumber != P.Messages) {
    this->MessageSince = Now;
    this->MessageNumber = P.Messages;
  } else if (P.Opened && Now - this->MessageSince > Times.Message) {
    return "message_timeout";
  }
  if (!P.HasUnsent) {
    this->DrainSince = absl::InfiniteFuture();
  } else if (this->DrainSince == absl::InfiniteFuture() ||
             P.SentBytes - this->DrainMark >= Times.DrainBytes) {
    this->DrainSince = Now;
    this->DrainMark = P.SentBytes;
  } else if (Now - this->DrainSince > Times.DrainWindow) {
    return "drain_timeout";
  }
  return {};
}

} // namespace toucan::callers
