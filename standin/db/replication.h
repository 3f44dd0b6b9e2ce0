// Replicates the primary's log to a replica.
#ifndef TOUCAN_STANDIN_DB_REPLICATION_H
#define TOUCAN_STANDIN_DB_REPLICATION_H

#include "group.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace toucan::standin {

class PrimaryConnection;

struct ReplicationOptions {
  uint64_t Term = 0;
  std::string Host;
  uint16_t Port = 0;
  std::chrono::milliseconds ShipDelay{0};
};

// Runs three threads from construction to destruction. The first fetches entries from the primary,
// the second appends them to the local log after the shipping delay, and the third applies them
// after the lag.
class Replication {
public:
  Replication(Group &LocalGroup, ReplicationOptions Options);
  ~Replication();
  Replication(const Replication &) = delete;
  Replication &operator=(const Replication &) = delete;

private:
  struct Batch {
    SteadyTime Due;
    uint64_t After = 0;
    std::vector<LogEntry> Entries;
  };

  void fetchLoop();
  void fetchFrom(PrimaryConnection &Primary);
  void receiveLoop();
  void applyLoop();
  void enqueue(Batch B);
  void pause(std::chrono::milliseconds Time);

  Group &LocalGroup;
  const ReplicationOptions Options;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Batch> PendingBatches; // fetched, not yet appended to the log
  Group::EntryId LastFetched;       // last fetched entry; accessed only by the fetch thread
  bool LogsMatch = false;           // LastFetched is known to be in the primary's log
  std::thread FetchThread;
  std::thread ReceiveThread;
  std::thread ApplyThread;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_REPLICATION_H
