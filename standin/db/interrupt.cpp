#include "interrupt.h"

#include <algorithm>
#include <utility>

namespace toucan::standin {

namespace {

// A request that waits for a slot checks for an interrupt at this interval.
constexpr std::chrono::milliseconds CancelCheck{10};

} // namespace

void Interrupt::beginRequest() {
  std::lock_guard Lock(this->Mutex);
  if (!this->Running)
    this->Cancelled = false;
  this->Running = true;
}

void Interrupt::endRequest() {
  std::lock_guard Lock(this->Mutex);
  this->Running = false;
  this->Cancelled = false;
}

void Interrupt::cancel() {
  std::lock_guard Lock(this->Mutex);
  if (!this->Running)
    return;
  this->Cancelled = true;
  this->Raised.notify_all();
}

void Interrupt::end(std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (this->Ended)
    return;
  this->Reason = std::move(Text);
  this->Ended = true;
  this->Raised.notify_all();
}

std::string Interrupt::reason() const {
  std::lock_guard Lock(this->Mutex);
  return this->Reason;
}

bool Interrupt::sleep(std::chrono::milliseconds Time) {
  std::unique_lock Lock(this->Mutex);
  return !this->Raised.wait_for(Lock, Time, [this] { return this->raised(); });
}

bool Slots::acquire(const Interrupt &I) {
  std::unique_lock Lock(this->Mutex);
  uint64_t Ticket = this->NextTicket++;
  this->Waiting.push_back(Ticket);
  while (!I.raised() && !(this->Free > 0 && this->Waiting.front() == Ticket))
    this->Changed.wait_for(Lock, CancelCheck);
  this->Waiting.erase(std::find(this->Waiting.begin(), this->Waiting.end(), Ticket));
  bool Granted = !I.raised();
  if (Granted)
    --this->Free;
  this->Changed.notify_all();
  return Granted;
}

void Slots::release() {
  std::lock_guard Lock(this->Mutex);
  ++this->Free;
  this->Changed.notify_all();
}

bool SlotHold::acquire() {
  if (!this->Held)
    this->Held = this->From.acquire(this->I);
  return this->Held;
}

void SlotHold::release() {
  if (this->Held)
    this->From.release();
  this->Held = false;
}

} // namespace toucan::standin
