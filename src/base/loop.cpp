#include "base/loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace toucan {

namespace {

constexpr int MaxEventsPerRound = 256;
constexpr int MaxPollMs = 1000;

// Packs an fd and the generation of its watch, so that an event of a closed fd is told apart
// from one of a new fd with the same number.
uint64_t packEvent(int Fd, uint64_t Generation) {
  return (Generation << 32) | static_cast<uint32_t>(Fd);
}

} // namespace

Loop::Loop()
    : EpollFd(epoll_create1(EPOLL_CLOEXEC)), WakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(this->EpollFd >= 0 && this->WakeFd >= 0);
  this->Now = monotonicNow();
  this->watch(this->WakeFd, EPOLLIN, [this](uint32_t) {
    uint64_t Count = 0;
    while (read(this->WakeFd, &Count, sizeof Count) > 0) {
    }
  });
}

Loop::~Loop() {
  close(this->WakeFd);
  close(this->EpollFd);
}

void Loop::run() {
  std::array<epoll_event, MaxEventsPerRound> Events;
  while (!this->Stopped) {
    int Count = epoll_wait(this->EpollFd, Events.data(), MaxEventsPerRound, this->pollTimeoutMs());
    this->Now = monotonicNow();
    for (int I = 0; I < Count; ++I) {
      int Fd = static_cast<int>(Events[I].data.u64 & 0xffffffffU);
      uint64_t Generation = Events[I].data.u64 >> 32;
      auto It = this->Watches.find(Fd);
      if (It == this->Watches.end() || (It->second->Generation & 0xffffffffU) != Generation)
        continue;
      // Keeps the handler alive when it unwatches its own fd.
      std::shared_ptr<Watch> Held = It->second;
      Held->Handler(Events[I].events);
    }
    this->runPosted();
    this->runTimers();
  }
}

void Loop::stop() {
  this->post([this] { this->Stopped = true; });
}

void Loop::post(Task Fn) {
  bool WasEmpty;
  {
    std::lock_guard Lock(this->Mutex);
    WasEmpty = this->Posted.empty();
    this->Posted.push_back(std::move(Fn));
  }
  if (!WasEmpty)
    return;
  uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = write(this->WakeFd, &One, sizeof One);
}

void Loop::watch(int Fd, uint32_t Events, FdHandler Handler) {
  assert(!this->Watches.contains(Fd));
  uint64_t Generation = this->NextGeneration++;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = packEvent(Fd, Generation);
  [[maybe_unused]] int Rc = epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, Fd, &Event);
  assert(Rc == 0);
  this->Watches[Fd] =
      std::make_shared<Watch>(Watch{.Generation = Generation, .Handler = std::move(Handler)});
}

void Loop::rewatch(int Fd, uint32_t Events) {
  auto It = this->Watches.find(Fd);
  assert(It != this->Watches.end());
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = packEvent(Fd, It->second->Generation);
  epoll_ctl(this->EpollFd, EPOLL_CTL_MOD, Fd, &Event);
}

void Loop::unwatch(int Fd) {
  if (this->Watches.erase(Fd) > 0)
    epoll_ctl(this->EpollFd, EPOLL_CTL_DEL, Fd, nullptr);
}

TimerId Loop::at(Instant Deadline, Task Fn) {
  TimerId Id(this->NextTimer++);
  this->Timers.emplace(std::make_pair(Deadline, Id), std::move(Fn));
  this->TimerDeadlines[Id] = Deadline;
  return Id;
}

void Loop::cancel(TimerId Id) {
  auto It = this->TimerDeadlines.find(Id);
  if (It == this->TimerDeadlines.end())
    return;
  this->Timers.erase(std::make_pair(It->second, Id));
  this->TimerDeadlines.erase(It);
}

void Loop::runPosted() {
  std::vector<Task> Ready;
  {
    std::lock_guard Lock(this->Mutex);
    Ready.swap(this->Posted);
  }
  for (Task &Fn : Ready)
    Fn();
}

void Loop::runTimers() {
  // A timer set by a timer runs in a later round, so that it cannot starve the sockets.
  Instant Until = this->Now;
  std::vector<Task> Due;
  while (!this->Timers.empty() && this->Timers.begin()->first.first <= Until) {
    auto Node = this->Timers.extract(this->Timers.begin());
    this->TimerDeadlines.erase(Node.key().second);
    Due.push_back(std::move(Node.mapped()));
  }
  for (Task &Fn : Due)
    Fn();
}

int Loop::pollTimeoutMs() const {
  if (this->Timers.empty())
    return MaxPollMs;
  absl::Duration Left = this->Timers.begin()->first.first - monotonicNow();
  // Rounds up: a wait cut short would spin until the deadline.
  int64_t Ms = absl::ToInt64Milliseconds(Left + absl::Microseconds(999));
  return static_cast<int>(std::clamp<int64_t>(Ms, 0, MaxPollMs));
}

} // namespace toucan
