// One connection to a target: opened by libpq, then used for raw protocol frames.
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

// Where and how to connect.
struct ConnectionOptions {
  DatabaseName Database;
  TargetId Target;
  std::string Host; // IP number
  uint16_t Port = 0;
  std::string User;
  std::string Password;
  Term InTerm; // named in the start-up options
  Instant ConnectDeadline;
};

class Connection;

// Receives the events of connections. The connection must outlive the call.
class ConnectionListener {
public:
  virtual ~ConnectionListener() = default;
  virtual void onOpened(Connection &C) = 0;
  // Bytes have arrived: call nextFrame() until it returns no frame.
  virtual void onInput(Connection &C) = 0;
  // The connection attempt failed, or the connection ended; it is closed already.
  virtual void onLost(Connection &C, const std::string &Cause) = 0;
};

class Connection {
public:
  Connection(Loop &InLoop, ConnectionListener &Listener, ConnectionId Id,
             ConnectionOptions Options);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  // Begins to connect; ends in onOpened or onLost, never within this call.
  void open();
  // Writes frames, now or when the socket takes them. Loss is reported later by onLost.
  void send(std::string_view Frames);
  // True once all bytes of the last send() are with the kernel. The last frame is a Query or Sync,
  // so before that the target certainly has no complete request.
  bool written() const { return this->OutOffset == this->Out.size(); }
  wire::ReadStatus nextFrame(wire::Frame &F) { return this->Reader.next(F); }
  // Stops or resumes reading.
  void setReading(bool On);
  // Idle, without unread bytes, and not ended by the target.
  bool usable();
  size_t unread() const { return this->Reader.pending(); }
  // Closes the socket; no further event is reported.
  void close();
  bool closed() const { return this->Handle == nullptr; }

  const ConnectionOptions &options() const { return this->Options; }
  ConnectionId id() const { return this->Id; }
  uint32_t processId() const { return this->ProcessId; }
  uint32_t secretKey() const { return this->SecretKey; }

  // State kept for the owner of the connection.
  TicketId Request;         // running request; 0: none
  LeaseId Lease;            // open transaction; 0: none
  LogPosition LastPosition; // last one reported by the target
  Instant IdleSince;
  bool Opened = false;
  bool AtPrimary = false;  // the target was the primary of the term when the connection was opened
  bool CancelSent = false; // a late cancel could hit the next request: not reused

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
  std::FILE *Trace = nullptr; // messages of the start-up, for the cancel key
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

// Sends a PostgreSQL CancelRequest on a connection of its own; errors are ignored, since a cancel
// has no answer. The object deletes itself when the socket is closed or after a timeout.
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
