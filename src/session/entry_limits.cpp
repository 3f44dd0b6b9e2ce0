#include "session/entry_impl.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace toucan::session {

namespace {

// Interval at which callers that the budget holds back are tried again.
constexpr absl::Duration ResumeInterval = absl::Milliseconds(50);
// Interval of the time bounds, each of which is at least 100 ms, and of the metrics.
constexpr absl::Duration DeadlineCheckInterval = absl::Milliseconds(500);
// Connections accepted beyond the limit, to receive an error message or to deliver a cancel
// request. They use a part of the descriptors that are not for callers.
constexpr size_t MinOverLimitCallers = 16;
constexpr size_t MaxOverLimitCallers = 1000;
constexpr uint64_t OverLimitDivisor = 16;

} // namespace

size_t EntryService::Impl::maxCallers() const {
  const EntryOptions &O = this->Common.Options;
  if (O.DescriptorLimit == 0)
    return O.MaxCallers;
  return std::min(O.MaxCallers, callers::maxCallers(O.DescriptorLimit));
}

size_t EntryService::Impl::overLimitCallers() const {
  uint64_t Limit = this->Common.Options.DescriptorLimit;
  if (Limit == 0)
    return MaxOverLimitCallers;
  return std::clamp(static_cast<size_t>(Limit / OverLimitDivisor), MinOverLimitCallers,
                    MaxOverLimitCallers);
}

void EntryService::Impl::account(Caller &C) {
  callers::CallerBytes B{.Input = C.M->inputBytes(),
                         .Statement = C.M->requestBytes(),
                         .State = C.M->stateBytes(),
                         .Unsent = C.WriteBuffer.capacity()};
  // The kernel's buffer is full if it did not take all, and may be full if it is not read.
  if (!C.WriteBuffer.empty())
    B.Kernel = this->FullKernelBytes;
  if ((C.WatchedEvents & EPOLLIN) == 0)
    B.Unread = this->FullKernelBytes;
  this->Budget.update(SessionId(C.M->options().Session), B);
}

bool EntryService::Impl::isUnrestricted(uint32_t Session) const {
  return this->Budget.mayRead(SessionId(Session)) && this->Budget.mayProcess(SessionId(Session));
}

void EntryService::Impl::updateRestriction(uint32_t Session) {
  if (!this->isUnrestricted(Session)) {
    this->Restricted.insert(Session);
    return;
  }
  if (this->Restricted.erase(Session) == 0)
    return;
  this->Resuming.push_back(Session);
  // A timer bounds the nesting: the resumed caller may be held back again.
  if (!this->ResumeTimer)
    this->ResumeTimer = this->EventLoop.at(this->EventLoop.now(), [this] {
      this->ResumeTimer.reset();
      this->resume(std::exchange(this->Resuming, {}));
    });
}

void EntryService::Impl::resume(const std::vector<uint32_t> &Sessions) {
  for (uint32_t Session : Sessions)
    if (this->isUnrestricted(Session))
      this->handleEvent(
          Session, [this](Machine &M, Actions &Out) { M.onResume(this->EventLoop.now(), Out); });
}

void EntryService::Impl::resumeRestricted() {
  this->resume({this->Restricted.begin(), this->Restricted.end()});
}

void EntryService::Impl::closeHeaviest() {
  if (this->ClosesHeaviest || !this->Budget.toClose())
    return;
  this->ClosesHeaviest = true;
  while (std::optional<SessionId> Id = this->Budget.toClose())
    this->closeCaller(static_cast<uint32_t>(Id->Value), "memory", Reason::MemoryLimit);
  this->ClosesHeaviest = false;
}

// Closes a caller that is over a limit. An answer that was begun is cut before its ReadyForQuery,
// so that it cannot look complete.
void EntryService::Impl::closeCaller(uint32_t Session, std::string_view Cause, Reason R) {
  auto It = this->Callers.find(Session);
  if (It == this->Callers.end()) {
    this->Budget.remove(SessionId(Session));
    return;
  }
  Caller &C = *It->second;
  this->Counters.add(std::string("callers_closed_").append(Cause));
  if (this->Lines.allows(this->EventLoop.now()))
    LogEvent(LogLevel::Info, "caller_closed")
        .kv("session", Session)
        .kv("cause", Cause)
        .kv("input", C.M->inputBytes())
        .kv("request", C.M->requestBytes())
        .kv("state", C.M->stateBytes())
        .kv("unsent", C.WriteBuffer.size() - C.WriteOffset)
        .kv("all_callers", this->Budget.totalBytes())
        .kv("limit", this->Budget.limits().TotalBytes);
  bool AnswersWritten = C.WriteBuffer.empty();
  this->handleEvent(Session, [&](Machine &M, Actions &Out) {
    M.onLimit(R, R == Reason::CallerTimeout ? std::string(Cause) : "", AnswersWritten, Out);
  });
  this->removeCaller(Session);
}

void EntryService::Impl::checkCallers() {
  Instant Now = this->EventLoop.now();
  this->CheckTimer = this->EventLoop.at(Now + ResumeInterval, [this] { this->checkCallers(); });
  this->resumeRestricted();
  if (Now < this->NextDeadlineCheck)
    return;
  this->NextDeadlineCheck = Now + DeadlineCheckInterval;
  std::vector<std::pair<uint32_t, std::string_view>> Late;
  for (const auto &[Session, C] : this->Callers) {
    callers::CallerProgress P{.Opened = true,
                              .InMessage = !C->Closing && C->M->inMessage(),
                              .Messages = C->M->framesTaken(),
                              .HasUnsent = !C->WriteBuffer.empty(),
                              .SentBytes = C->WrittenBytes};
    if (std::string_view Cause = C->Deadlines.check(Now, P, this->Times); !Cause.empty())
      Late.emplace_back(Session, Cause);
  }
  for (const auto &[Session, Cause] : Late)
    this->closeCaller(Session, Cause, Reason::CallerTimeout);
  this->publishCallerMetrics();
}

void EntryService::Impl::publishCallerMetrics() {
  const callers::CallerBytes &All = this->Budget.sum();
  auto Set = [this](std::string_view Name, size_t Value) {
    this->Counters.set(Name, static_cast<int64_t>(Value));
  };
  Set("caller_bytes_limit", this->Budget.limits().TotalBytes);
  Set("caller_bytes_input", All.Input);
  Set("caller_bytes_statements", All.Statement);
  Set("caller_bytes_state", All.State);
  Set("caller_bytes_unsent", All.Unsent);
  Set("caller_bytes_kernel", All.Kernel + All.Unread);
  Set("callers_paused", this->Restricted.size());
}

} // namespace toucan::session
