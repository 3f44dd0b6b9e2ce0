// Event loop of one thread: file descriptors, timers, and messages from other threads.
#ifndef TOUCAN_BASE_LOOP_H
#define TOUCAN_BASE_LOOP_H

#include "base/ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace toucan {

using TimerId = StrongId<struct TimerTag, uint64_t>;

// All members but post() and stop() belong to the thread that calls run().
class Loop {
public:
  using Task = std::function<void()>;
  // Receives the EPOLL* bits that are ready.
  using FdHandler = std::function<void(uint32_t Events)>;

  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  // Runs until stop(). Tasks posted before stop() are run first.
  void run();
  // Ends run(); callable from any thread and from a signal-handling thread.
  void stop();
  // Runs Fn in the loop's thread; callable from any thread.
  void post(Task Fn);

  // Watches Fd for the given EPOLL* events (level triggered). The handler may unwatch any Fd.
  void watch(int Fd, uint32_t Events, FdHandler Handler);
  // Changes the events of a watched Fd.
  void rewatch(int Fd, uint32_t Events);
  // Stops watching; must be called before the Fd is closed.
  void unwatch(int Fd);

  // Runs Fn once at or after Deadline.
  TimerId at(Instant Deadline, Task Fn);
  // Does nothing if the timer has fired.
  void cancel(TimerId Id);

  // Time read once for each round of events.
  Instant now() const { return this->Now; }

private:
  void runPosted();
  void runTimers();
  int pollTimeoutMs() const;

  struct Watch {
    uint64_t Generation;
    FdHandler Handler;
  };

  int EpollFd;
  int WakeFd;
  Instant Now;
  uint64_t NextGeneration = 1;
  uint64_t NextTimer = 1;
  bool Stopped = false;
  absl::flat_hash_map<int, std::shared_ptr<Watch>> Watches;
  std::map<std::pair<Instant, TimerId>, Task> Timers;
  absl::flat_hash_map<TimerId, Instant> TimerDeadlines;
  // Debian builds absl::Mutex without the thread sanitizer, which would report its users as races.
  std::mutex Mutex; // guards Posted
  std::vector<Task> Posted;
};

} // namespace toucan

#endif // TOUCAN_BASE_LOOP_H
