// Cancellation of a running request, and limits on what runs at once.
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

// Thread-safe. One object for each connection.
class Interrupt {
public:
  // A request begins or ends; a cancel request outside of a request has no effect.
  void beginRequest();
  void endRequest();
  void cancel();
  // Ends the connection; Reason is the text of the FATAL error.
  void end(std::string Reason);

  bool cancelled() const { return this->Cancelled; }
  bool ended() const { return this->Ended; }
  bool raised() const { return this->Cancelled || this->Ended; }
  std::string reason() const;
  // Waits; false when interrupted before the time is over.
  bool sleep(std::chrono::milliseconds Time);

private:
  mutable std::mutex Mutex;
  std::condition_variable Raised;
  bool Running = false;
  std::atomic<bool> Cancelled = false;
  std::atomic<bool> Ended = false;
  std::string Reason;
};

// Counting semaphore that serves in order of arrival.
class Slots {
public:
  explicit Slots(int64_t Count) : Free(Count) {}
  // False when interrupted; then nothing is held.
  bool acquire(const Interrupt &I);
  void release();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int64_t Free;
  uint64_t NextTicket = 0;
  std::deque<uint64_t> Waiting;
};

// Holds at most one slot and gives it back at the end.
class SlotHold {
public:
  SlotHold(Slots &From, const Interrupt &I) : From(From), I(I) {}
  ~SlotHold() { this->release(); }
  SlotHold(const SlotHold &) = delete;
  SlotHold &operator=(const SlotHold &) = delete;
  bool acquire();
  void release();
  bool held() const { return this->Held; }

private:
  Slots &From;
  const Interrupt &I;
  bool Held = false;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_INTERRUPT_H
