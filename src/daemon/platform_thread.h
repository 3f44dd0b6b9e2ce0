// Thread that reads the platform's lists and the rules row and writes discovery rows, so that no
// other thread waits for the platform.
#ifndef TOUCAN_DAEMON_PLATFORM_THREAD_H
#define TOUCAN_DAEMON_PLATFORM_THREAD_H

#include "base/base.h"
#include "platform/platform.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace toucan::daemon {

struct PlatformHandlers {
  // Called in the platform thread.
  std::function<void(platform::Directory)> OnDirectory;
  std::function<void(platform::Row)> OnRules;
};

class PlatformThread {
public:
  PlatformThread(platform::ClientOptions Options, PlatformHandlers Handlers, Metrics &Counters);
  ~PlatformThread();

  void start();
  void stop();
  // Sets the time between two reads. member::RulesState lets it grow with the number of members.
  void setInterval(absl::Duration Interval);
  // Queues a write of a database's primary to its discovery row. It is lost if the platform is
  // down.
  void announcePrimary(const DatabaseName &Database, Term InTerm, const TargetId &Primary);

private:
  struct Announcement {
    std::string Key;
    std::string Value;
  };

  void run();
  void readPlatform();
  void writeAnnouncement(const Announcement &A);
  void recordReadResult(bool Succeeded, std::string_view Cause);

  platform::Client Client;
  PlatformHandlers Handlers;
  Metrics &Counters;
  bool PlatformReachable = true;
  std::mutex Mutex; // guards the members below
  std::condition_variable Wake;
  bool Stopped = false;
  absl::Duration Interval = absl::Seconds(1);
  std::deque<Announcement> Announcements;
  std::thread Thread;
};

} // namespace toucan::daemon

#endif // TOUCAN_DAEMON_PLATFORM_THREAD_H
