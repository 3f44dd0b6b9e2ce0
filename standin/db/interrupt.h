// Cancellation of a running request, and limits on the number of concurrent requests.
#ifndef TOUCAN_STANDIN_DB_INTERRUPT_H
#define TOUCAN_STANDIN_DB_INTERRUPT_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace toucan::standin {

// Interrupt state of one connection. Thread-safe.
class Interrupt {
public:
  // Mark the start and the end of a request. cancel() has no effect outside of a request.
  void beginRequest();
  void endRequest();
  void cancel();
  // Ends the connection; Reason is the text of the FATAL error.
  void end(std::string Reason);

  bool cancelled() const { return this->Cancelled; }
  bool ended() const { return this->Ended; }
  bool interrupted() const { return this->Cancelled || this->Ended; }
  std::string reason() const;
  // Waits for Time. Returns false if interrupted earlier.
  bool sleep(std::chrono::milliseconds Time);

private:
  mutable std::mutex Mutex;
  std::condition_variable StateChanged;
  bool RequestRunning = false;
  std::atomic<bool> Cancelled = false;
  std::atomic<bool> Ended = false;
  std::string Reason;
};

// Counting semaphore that grants slots in order of arrival.
class Slots {
public:
  explicit Slots(int64_t Count) : FreeCount(Count) {}
  // Returns false, without a slot, if interrupted.
  bool acquire(const Interrupt &I);
  void release();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int64_t FreeCount;
  uint64_t NextTicket = 0;
  std::deque<uint64_t> WaitQueue;
};

// Holds at most one slot and releases it on destruction.
class SlotGuard {
public:
  SlotGuard(Slots &Source, const Interrupt &I) : Source(Source), I(I) {}
  ~SlotGuard() { this->release(); }
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;
  bool acquire();
  void release();
  bool held() const { return this->Held; }

private:
  Slots &Source;
  const Interrupt &I;
  bool Held = false;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_INTERRUPT_H
