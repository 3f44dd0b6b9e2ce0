#include "daemon/platform_thread.h"

#include "absl/strings/str_format.h"

#include <algorithm>

namespace toucan::daemon {

namespace {

constexpr size_t MaxAnnouncements = 1000;
const std::string RulesKey = "config/rules";

} // namespace

PlatformThread::PlatformThread(platform::ClientOptions O, PlatformHandlers H, Metrics &M)
    : Client(std::move(O)), Handlers(std::move(H)), Counters(M) {}

PlatformThread::~PlatformThread() { this->stop(); }

void PlatformThread::start() {
  this->Thread = std::thread([this] { this->run(); });
}

void PlatformThread::stop() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopped = true;
  }
  this->Wake.notify_one();
  if (this->Thread.joinable())
    this->Thread.join();
}

void PlatformThread::setInterval(absl::Duration NewInterval) {
  std::lock_guard Lock(this->Mutex);
  this->Interval = NewInterval;
}

void PlatformThread::announcePrimary(const DatabaseName &Database, Term InTerm,
                                     const TargetId &Primary) {
  std::lock_guard Lock(this->Mutex);
  if (this->Announcements.size() >= MaxAnnouncements)
    this->Announcements.pop_front();
  this->Announcements.push_back(
      {.Key = absl::StrFormat("group/%s", Database.Value),
       .Value = absl::StrFormat("{\"term\":%d,\"primary\":\"%s\"}", InTerm.Value, Primary.Value)});
  this->Wake.notify_one();
}

void PlatformThread::run() {
  Instant NextRead = absl::InfinitePast();
  while (true) {
    std::deque<Announcement> Pending;
    {
      std::unique_lock Lock(this->Mutex);
      absl::Duration Wait = std::max(absl::ZeroDuration(), NextRead - monotonicNow());
      this->Wake.wait_for(Lock, absl::ToChronoMicroseconds(Wait),
                          [this] { return this->Stopped || !this->Announcements.empty(); });
      if (this->Stopped)
        return;
      Pending.swap(this->Announcements);
    }
    for (const Announcement &A : Pending)
      this->writeAnnouncement(A);
    if (monotonicNow() < NextRead)
      continue;
    this->readPlatform();
    std::lock_guard Lock(this->Mutex);
    NextRead = monotonicNow() + this->Interval;
  }
}

void PlatformThread::readPlatform() {
  Captured<platform::Directory> Lists = capture([&] { return this->Client.directory(); });
  this->recordReadResult(static_cast<bool>(Lists), Lists.Problem.Message);
  if (Lists)
    this->Handlers.OnDirectory(std::move(*Lists));
  Captured<platform::Row> Rules = capture([&] { return this->Client.read(RulesKey); });
  if (Rules)
    this->Handlers.OnRules(std::move(*Rules));
}

// Writes a discovery row unless it has this value already. The row is only a cache, so a write that
// fails or whose answer is lost is not repeated.
void PlatformThread::writeAnnouncement(const Announcement &A) {
  Captured<platform::Row> Old = capture([&] { return this->Client.read(A.Key); });
  if (!Old || Old->Value == A.Value)
    return;
  platform::WriteOutcome Out = this->Client.compareAndSet(A.Key, Old->Version, A.Value);
  if (Out.Status != platform::WriteStatus::Written)
    this->Counters.add("platform_announcement_failures_total");
}

// Counts each read, and logs when the platform becomes reachable or unreachable.
void PlatformThread::recordReadResult(bool Succeeded, std::string_view Cause) {
  this->Counters.add(Succeeded ? "platform_reads_total" : "platform_failures_total");
  if (Succeeded == this->PlatformReachable)
    return;
  this->PlatformReachable = Succeeded;
  LogEvent(Succeeded ? LogLevel::Info : LogLevel::Warn,
           Succeeded ? "platform_back" : "platform_down")
      .kv("cause", Cause);
}

} // namespace toucan::daemon
