// A control connection to one server: non-blocking, through libpq, one call at a time.
#ifndef TOUCAN_GROUP_CHANNEL_H
#define TOUCAN_GROUP_CHANNEL_H

#include "base/loop.h"
#include "base/metrics.h"
#include "group/status.h"

#include <libpq-fe.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace toucan::group {

struct ChannelOptions {
  std::string Host; // IP address
  uint16_t Port = 0;
  std::string Database;
  std::string User;
  std::string Password;
  Metrics *Counters = nullptr; // if set, counts bytes sent and received
};

// Connects on the first call and on the next call after a failure. A call that times out closes the
// connection, because the connection may never answer again.
class Channel {
public:
  using Callback = std::function<void(const Answer &)>;

  // OnLost, if set, is called when the connection closes while no call is running.
  Channel(Loop &InLoop, ChannelOptions Options, std::function<void()> OnLost = {});
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  // Starts a call. No other call may be running. OnAnswer is called once, after this function has
  // returned. OnAnswer may destroy the channel.
  void start(const Call &Request, Callback OnAnswer);
  bool isBusy() const { return static_cast<bool>(this->OnAnswer); }

private:
  void connect();
  void onSocketReady(uint32_t Events);
  void continueConnect();
  void send();
  void receive();
  void onIdleReadable();
  void finish(const Answer &Result);
  void fail(CallFailure Failure);
  void scheduleFailure();
  void countBytes();
  void close();
  void watchSocket(uint32_t Events);
  void unwatchSocket();

  Loop &InLoop;
  ChannelOptions Options;
  std::function<void()> OnLost;
  PGconn *Connection = nullptr;
  bool IsConnected = false;
  uint64_t SentBytes = 0;     // part of the connection's traffic that is already counted
  uint64_t ReceivedBytes = 0; // likewise
  int WatchedFd = -1;
  std::string Statement;
  Callback OnAnswer;
  std::optional<Status> Row;
  std::optional<TimerId> CallTimer; // time-out or scheduled failure of the running call
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_CHANNEL_H
