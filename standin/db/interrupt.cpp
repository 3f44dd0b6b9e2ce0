#include "interrupt.h"

#include <algorithm>
#include <utility>

namespace toucan::standin {

namespace {

// A request that waits for a slot checks for an interrupt at this interval.
constexpr std::chrono::milliseconds InterruptCheckInterval{10};

} // namespace

void Interrupt::beginRequest() {
  std::lock_guard Lock(this->Mutex);
  if (!this->RequestRunning)
    this->Cancelled = false;
  this->RequestRunning = true;
}

void Interrupt::endRequest() {
  std::lock_guard Lock(this->Mutex);
  this->RequestRunning = false;
  this->Cancelled = false;
}

void Interrupt::cancel() {
  std::lock_guard Lock(this->Mutex);
  if (!this->RequestRunning)
    return;
  this->Cancelled = true;
  this->StateChanged.notify_all();
}

void Interrupt::end(std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->Ended)
    return;
  this->Reason = std::move(Text);
  this->Ended = true;
  this->StateChanged.notify_all();
}

std::string Interrupt::reason() const {
  std::lock_guard Lock(this->Mutex);
  return this->Reason;
}

bool Interrupt::sleep(std::chrono::milliseconds Time) {
  std::unique_lock Lock(this->Mutex);
  return !this->StateChanged.wait_for(Lock, Time, [this] { return this->interrupted(); });
}

bool Slots::acquire(const Interrupt &I) {
  std::unique_lock Lock(this->Mutex);
  uint64_t Ticket = this->NextTicket++;
  this->WaitQueue.push_back(Ticket);
  while (!I.interrupted() && !(this->FreeCount > 0 && this->WaitQueue.front() == Ticket))
    this->Changed.wait_for(Lock, InterruptCheckInterval);
  this->WaitQueue.erase(std::find(this->WaitQueue.begin(), this->WaitQueue.end(), Ticket));
  bool Granted = !I.interrupted();
  if (Granted)
    --this->FreeCount;
  this->Changed.notify_all();
  return Granted;
}

void Slots::release() {
  std::lock_guard Lock(this->Mutex);
  ++this->FreeCount;
  this->Changed.notify_all();
}

bool SlotGuard::acquire() {
  if (!this->Held)
    this->Held = this->Source.acquire(this->I);
  return this->Held;
}

void SlotGuard::release() {
  if (this->Held)
    this->Source.release();
  this->Held = false;
}

} // namespace toucan::standin
