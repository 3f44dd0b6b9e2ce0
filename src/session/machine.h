// State machine of one caller's session. It turns events into actions and does no I/O itself: it
// uses no sockets, clock, threads or log.
#ifndef TOUCAN_SESSION_MACHINE_H
#define TOUCAN_SESSION_MACHINE_H

#include "session/actions.h"
#include "session/collector.h"
#include "session/shared.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::session {

// The pool ends a request at its deadline; the session waits this much longer for the Done message.
constexpr absl::Duration DeadlineGrace = absl::Milliseconds(500);

struct MachineOptions {
  uint32_t Session = 0;   // session id, unique within the incarnation of the instance
  uint32_t ProcessId = 0; // of the cancel key
  uint32_t SecretKey = 0; // of the cancel key; the upper half is the hash of the instance id
  std::string Address;    // of the caller, without port
  bool OverLimit = false; // refuse the caller after its start-up packet
};

// The request that is being executed.
struct ActiveRequest {
  proto::ExecRequest Exec;
  BatchEnd End = BatchEnd::Sync;
  bool BeginsTransaction = false;
  bool EndsTransaction = false;
  bool IsRead = false;
  bool RequestKeyFromSetting = false; // the request key comes from the session setting
  rules::WorkClass Class = rules::WorkClass::Short;
  std::vector<std::pair<std::string, PreparedStatementPtr>> Defined;
  Instant Started;
  Instant Deadline;
  InstanceId Destination;  // of the attempt
  bool Sent = false;       // false: waiting for the next attempt
  bool Redirected = false; // an attempt was sent to an observer of the primary
  Instant RetryAt;         // time of the next attempt, when not sent
  uint32_t Attempts = 0;
  uint64_t NextChunk = 0;
  // Chunks received ahead of an earlier one, by sequence number.
  std::map<uint64_t, std::string> OutOfOrderChunks;
  std::optional<proto::Done> PendingDone; // received before all chunks
  Instant MissingChunksDeadline;          // for the missing chunks
  bool ErrorRelayed = false;
  std::string LastTag; // of the last CommandComplete, when the request ends a transaction
  size_t ParsesConfirmed = 0;
  bool EarlierAttemptMayHaveRun = false; // the outcome of an earlier attempt is unknown
  absl::Duration RetryAfter;             // retry hint of the refusal that ends the request
  uint64_t UncreditedBytes = 0;          // written to the caller, not yet returned as credit

  // True when no replica may serve the request immediately.
  bool needsPrimary() const {
    return !this->IsRead || this->Exec.max_age_us() == 0 || this->Exec.verify_floor();
  }
  // True when the request may be sent again although it may have run.
  bool repeatable() const { return this->IsRead && !this->Exec.once(); }
};

class Machine {
public:
  // Common must outlive the machine.
  Machine(SharedState &Common, MachineOptions Options, Instant Now, Actions &Out);

  // Events from the caller's connection.
  void onBytes(std::string_view Bytes, Instant Now, Actions &Out);
  void onWritten(size_t Bytes, Instant Now, Actions &Out);
  void onDisconnected(Actions &Out);

  // Events from the pool. Messages for any request other than the active one are stale: they are
  // ignored, but a lease that they carry is released.
  void onChunk(const proto::Chunk &C, Instant Now, Actions &Out);
  void onDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out);
  // The exec envelope could not be passed to the link.
  void onSendFailed(uint64_t RequestId, Instant Now, Actions &Out);
  void onPeerLost(const InstanceId &Peer, Instant Now, Actions &Out);

  void onTimer(Instant Now, Actions &Out);
  // A cancel request with the key of this session.
  void onCancel(Instant Now, Actions &Out);
  // The instance drains: closes the session when it has no request, transaction or partial input.
  void onDrain(Actions &Out);
  void onDrainDeadline(Actions &Out);
  // While a session is held, no further request of it is processed; onResume() continues.
  void setHeld(bool Value) { this->Held = Value; }
  void onResume(Instant Now, Actions &Out);
  // Closes the session for a limit of callers. An answer that was begun stays incomplete, and "not
  // run" is reported only if no request is active and AnswersWritten.
  void onLimit(Reason R, const std::string &Detail, bool AnswersWritten, Actions &Out);

  bool closed() const { return this->Phase == PhaseKind::Closed; }
  const MachineOptions &options() const { return this->Options; }
  proto::SessionStatus status() const;

  // Bytes allocated for this session, for the memory budget of callers: input, the request with its
  // copies, and prepared statements.
  size_t inputBytes() const { return this->Reader.capacity(); }
  size_t requestBytes() const;
  size_t stateBytes() const;
  // For the time bounds of callers: a message is incomplete and nothing else is due.
  bool inMessage() const;
  uint64_t framesTaken() const { return this->FrameCount; }

  // Returns the id of the session that issued a request id.
  static uint32_t sessionOf(uint64_t RequestId) { return static_cast<uint32_t>(RequestId >> 32); }

private:
  enum class PhaseKind : uint8_t { Startup, Ready, Closed };

  // A chunk that has been queued for the caller but not yet written to the socket.
  struct UnwrittenChunk {
    uint64_t EndOffset;
    uint64_t RequestId;
    uint64_t Bytes;
  };

  // machine_input.cpp: start-up packets and frames from the caller.
  void processInput(Instant Now, Actions &Out);
  void resumeInput(Instant Now, Actions &Out);
  bool processStartup(Instant Now, Actions &Out);
  bool processFrame(Instant Now, Actions &Out);
  void onStartupPacket(wire::StartupPacket &P, Instant Now, Actions &Out);
  void startSession(wire::StartupPacket &P, Instant Now, Actions &Out);
  std::optional<LocalError> applyStartupParameters(const wire::StartupPacket &P, Actions &Out);
  std::optional<LocalError> applyStartupParameter(const std::string &Name, const std::string &Value,
                                                  Actions &Out);
  std::optional<LocalError> applyToken(const std::string &Value, Actions &Out);
  std::string startupResponse() const;
  void rejectBatch(char FrameType, const LocalError &Error, Actions &Out);
  void updatePause(Actions &Out);
  void shrinkReader();

  // machine_request.cpp: requests to the pool.
  void startRequest(Batch B, Instant Now, Actions &Out);
  void fillExec(const Batch &B, Instant Now);
  rules::Policy combinedPolicy(const Batch &B) const;
  bool replicaMayServe(const ActiveRequest &R) const;
  std::optional<Reason> refusalReason() const;
  void dispatch(Instant Now, Actions &Out);
  void sendTo(const InstanceId &Destination, Instant Now, Actions &Out);
  bool redirect(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out);
  void failAttempt(Verdict V, Reason R, const std::string &Detail, absl::Duration RetryAfter,
                   Instant Now, Actions &Out);
  bool mayRetry(Verdict V, Reason R, absl::Duration Delay, Instant Now);
  absl::Duration retryDelay(absl::Duration RetryAfter);
  void endWithError(Verdict V, Reason R, const std::string &Detail, Instant Now, Actions &Out);
  void endTransactionAfterError(Actions &Out);
  void acceptChunk(const proto::Chunk &C, Instant Now, Actions &Out);
  void processDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out);
  void relayChunk(const std::string &Frames, Instant Now, Actions &Out);
  bool inspectChunk(std::string_view Frames);
  void failIncompleteAnswer(const std::string &Detail, Instant Now, Actions &Out);
  void completeRequest(const proto::Done &D, Instant Now, Actions &Out);
  void finishTransactionSettings(bool RolledBack, Actions &Out);
  void updateTransaction(const proto::Done &D);
  void raiseFloor(const proto::Done &D, Actions &Out);
  void finishRequest(bool Failed, Instant Now, Actions &Out);
  void dropUnconfirmedStatements();
  void releaseLease(LeaseId Lease, const InstanceId &Owner, Actions &Out);
  void sendCancel(Actions &Out);

  // machine.cpp: output, session end and timer; used by both parts above.
  void write(std::string Bytes, Actions &Out);
  void fatal(Reason R, const std::string &Text, Actions &Out);
  void close(std::string_view Cause, Actions &Out);
  void abortRequestAndTransaction(Actions &Out);
  void armTimer(Instant At, Actions &Out);
  void count(Reason R, Actions &Out);
  void logRefusal(Reason R, const std::string &Detail, Actions &Out);
  bool isOutputBlocked() const;

  SharedState &Common;
  MachineOptions Options;
  PhaseKind Phase = PhaseKind::Startup;
  Instant StartupDeadline;
  wire::FrameReader Reader;
  SessionState State;
  Collector RequestCollector;
  DatabaseName Database;
  std::string User;

  std::optional<ActiveRequest> Request; // the active one
  uint32_t NextAttempt = 1;             // lower half of the next request id
  uint64_t RequestCount = 0;

  LogPosition Floor;
  bool HasWritten = false; // in this session, or before it moved here with its token
  bool FloorKnown = false; // false: the first read requests verification of the floor

  Instant TimerAt = absl::InfiniteFuture();
  uint64_t BytesOut = 0;     // emitted as write actions
  uint64_t BytesWritten = 0; // written to the caller's socket
  std::deque<UnwrittenChunk> UnwrittenChunks;
  bool Paused = false;
  bool HasHeldLargeMessage = false; // the reader has buffered a large message
  bool Held = false;
  bool HasMoreInput = false; // the bound on the work of one event was reached
  uint64_t FrameCount = 0;   // messages taken from the input
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_MACHINE_H
