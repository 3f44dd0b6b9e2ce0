#include "replication.h"

#include "primary_connection.h"

#include "base/log.h"

#include <utility>

namespace toucan::standin {

namespace {

constexpr uint64_t MaxFetchEntries = 1000; // entries per request
constexpr std::chrono::milliseconds ReconnectInterval{50};

} // namespace

Replication::Replication(Group &LocalGroup, ReplicationOptions Options)
    : LocalGroup(LocalGroup), Options(std::move(Options)), LastFetched(LocalGroup.logEnd()) {
  this->FetchThread = std::thread([this] { this->fetchLoop(); });
  this->ReceiveThread = std::thread([this] { this->receiveLoop(); });
  this->ApplyThread = std::thread([this] { this->applyLoop(); });
}

Replication::~Replication() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
    this->Changed.notify_all();
  }
  this->FetchThread.join();
  this->ReceiveThread.join();
  this->ApplyThread.join();
}

void Replication::pause(std::chrono::milliseconds Time) {
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait_for(Lock, Time, [this] { return this->Stopping.load(); });
}

void Replication::enqueue(Batch B) {
  std::lock_guard Lock(this->Mutex);
  this->PendingBatches.push_back(std::move(B));
  this->Changed.notify_all();
}

// Reconnects until stopped, so that a broken connection does not end replication.
void Replication::fetchLoop() {
  while (!this->Stopping) {
    PrimaryConnection Primary(this->Stopping);
    if (Primary.open(this->Options.Host, this->Options.Port))
      this->fetchFrom(Primary);
    this->pause(ReconnectInterval);
  }
}

void Replication::fetchFrom(PrimaryConnection &Primary) {
  while (!this->Stopping) {
    std::optional<LogSlice> Slice = Primary.fetch({.Term = this->Options.Term,
                                                   .After = this->LastFetched.Position,
                                                   .LastTerm = this->LastFetched.Term,
                                                   .Limit = MaxFetchEntries});
    if (!Slice)
      return;
    if (!Slice->Matches) {
      this->LastFetched = this->LocalGroup.lastEntryAtMost(
          {.Position = Slice->HintPosition, .Term = Slice->HintTerm});
      continue;
    }
    if (this->LogsMatch && Slice->Entries.empty())
      continue;
    Batch B{.Due = std::chrono::steady_clock::now() + this->Options.ShipDelay,
            .After = this->LastFetched.Position,
            .Entries = std::move(Slice->Entries)};
    if (!B.Entries.empty())
      this->LastFetched = {.Position = B.Entries.back().Position, .Term = B.Entries.back().Term};
    this->LogsMatch = true;
    this->enqueue(std::move(B));
  }
}

// Appends each batch to the local log once its shipping delay is over.
void Replication::receiveLoop() {
  std::unique_lock Lock(this->Mutex);
  while (!this->Stopping) {
    if (this->PendingBatches.empty()) {
      this->Changed.wait(Lock);
    } else if (SteadyTime Due = this->PendingBatches.front().Due;
               std::chrono::steady_clock::now() < Due) {
      this->Changed.wait_until(Lock, Due);
    } else {
      Batch B = std::move(this->PendingBatches.front());
      this->PendingBatches.pop_front();
      Lock.unlock();
      if (!this->LocalGroup.receive(this->Options.Term, B.After, std::move(B.Entries)))
        return;
      Lock.lock();
    }
  }
}

void Replication::applyLoop() {
  while (!this->Stopping && this->LocalGroup.applyNext(this->Options.Term)) {
  }
}

} // namespace toucan::standin
