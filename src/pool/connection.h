// Target connection: libpq performs the start-up, then raw protocol frames are exchanged on its
// socket.
#ifndef TOUCAN_POOL_CONNECTION_H
#define TOUCAN_POOL_CONNECTION_H

#include "base/base.h"
#include "pool/queue.h"
#include "wire/wire.h"

#include <libpq-fe.h>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

namespace toucan::pool {

using ConnectionId = StrongId<struct ConnectionTag, uint64_t>;

// Address, credentials and deadline of a connection attempt.
struct ConnectionOptions {
  DatabaseName Database;
  TargetId Target;
  std::string Host; // numeric IP address
  uint16_t Port = 0;
  std::string User;
  std::string Password;
  Term InTerm; // sent as group_term in the start-up options
  Instant ConnectDeadline;
};

class Connection;

// Receives connection events. The connection must not be destroyed during a call.
class ConnectionListener {
public:
  virtual ~ConnectionListener() = default;
  virtual void onOpened(Connection &C) = 0;
  // Input is available; the listener calls nextFrame() until no complete frame is left.
  virtual void onInput(Connection &C) = 0;
  // The connection attempt failed or the connection ended. The connection is already closed.
  virtual void onLost(Connection &C, const std::string &Cause) = 0;
};

class Connection {
public:
  Connection(Loop &InLoop, ConnectionListener &Listener, ConnectionId Id,
             ConnectionOptions Options);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  // Starts a non-blocking connection attempt. The result is reported by onOpened() or onLost(),
  // never within this call.
  void open();
  // Sends frames, immediately or once the socket is writable. The previous send() must be complete.
  // Errors are reported later by onLost().
  void send(std::string_view Frames);
  // True once the kernel has accepted all bytes of the last send(). The last frame is a Query or
  // Sync, so the target cannot have a complete request before that.
  bool written() const { return this->OutOffset == this->Out.size(); }
  wire::ReadStatus nextFrame(wire::Frame &F) { return this->Reader.next(F); }
  // Pauses or resumes reading from the socket.
  void setReading(bool On);
  // True if no output or input is pending and the target has not closed the connection.
  bool usable();
  size_t unread() const { return this->Reader.pending(); }
  // Closes the socket. No event is reported afterwards.
  void close();
  bool closed() const { return this->Handle == nullptr; }

  const ConnectionOptions &options() const { return this->Options; }
  ConnectionId id() const { return this->Id; }
  uint32_t processId() const { return this->ProcessId; }
  uint32_t secretKey() const { return this->SecretKey; }

  // State managed by the owner of the connection.
  PoolRequestId Request;    // request running on the connection; 0 if none
  LeaseId Lease;            // open transaction; 0 if none
  LogPosition LastPosition; // latest position reported by the target
  Instant IdleSince;
  bool Opened = false;
  bool AtPrimary = false;  // the target was the primary of the term when the connection was opened
  bool CancelSent = false; // not reused, because a late cancel could hit the next request

private:
  void poll();
  void finishOpen();
  void watchSocket(uint32_t Events);
  void onEvents(uint32_t Events);
  void readInput();
  void writeOutput();
  void updateEvents();
  void lose(const std::string &Cause);
  void readCancelKey();

  Loop &InLoop;
  ConnectionListener &Listener;
  ConnectionId Id;
  ConnectionOptions Options;
  PGconn *Handle = nullptr;
  std::FILE *Trace = nullptr; // libpq trace of the start-up, which contains the cancel key
  char *TraceText = nullptr;
  size_t TraceSize = 0;
  int WatchedFd = -1;
  uint32_t WatchedEvents = 0;
  TimerId Timer;
  bool Reading = true;
  wire::FrameReader Reader;
  std::string Out;
  size_t OutOffset = 0;
  uint32_t ProcessId = 0;
  uint32_t SecretKey = 0;
};

// Sends PostgreSQL CancelRequest messages, each on a separate connection. Errors are ignored, since
// a cancel has no answer. The connection ends when the target closes it or after a timeout.
class CancelSender {
public:
  explicit CancelSender(Loop &InLoop) : InLoop(InLoop) {}
  ~CancelSender();
  void send(const std::string &Host, uint16_t Port, uint32_t ProcessId, uint32_t SecretKey);

private:
  void onEvents(int Fd, uint32_t Events);
  void finish(int Fd);

  struct Pending {
    std::string Frame;
    TimerId Timer;
  };
  Loop &InLoop;
  absl::flat_hash_map<int, Pending> Open;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_CONNECTION_H
