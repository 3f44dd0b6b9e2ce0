// Public interface of the session library: accepts callers and runs one session for each of them.
#ifndef TOUCAN_SESSION_SESSION_H
#define TOUCAN_SESSION_SESSION_H

#include "base/base.h"
#include "member/member.h"

#include <cstddef>
#include <memory>
#include <string>

namespace toucan::session {

struct EntryOptions {
  InstanceId Self;
  std::string ListenHost = "127.0.0.1";
  uint16_t ListenPort = 0; // 0: assigned by the operating system
  size_t MaxCallers = 20'000;
  size_t MaxFrameBytes = 16 * 1024 * 1024;
  uint64_t MemoryLimitBytes = 0; // of the process, from which the budget follows; 0: 256 MB
  uint64_t DescriptorLimit = 0;  // of the process, a part of which is for callers; 0: none
  std::string TokenKey;          // HMAC key of session tokens; empty: no tokens
  absl::Duration RequestTimeout = absl::Seconds(30);       // of one request
  absl::Duration LongRequestTimeout = absl::Seconds(3600); // of one request of class long
  absl::Duration StartupTimeout = absl::Seconds(10);       // from accept to the start-up packet
  absl::Duration MessageTimeout = absl::Seconds(120); // from the first byte of a message to its end
  absl::Duration AnswerTimeout = absl::Seconds(60);   // for taking AnswerBytes, or all that is left
  uint64_t Seed = 1;
  ReadsAfterWrite Reads = ReadsAfterWrite::ByPosition;
};

// All member functions are called in the entry loop.
class EntryService {
public:
  EntryService(Loop &InLoop, EntryOptions Options, member::SendFn Send, Metrics &Counters);
  ~EntryService();

  // Binds the port for callers; the error contains the address and the cause.
  Result<void> listen();
  uint16_t port() const;

  void onView(member::ViewPtr View);
  // Handles chunk, done and cancel_caller envelopes.
  void onEnvelope(const InstanceId &From, proto::Envelope Message);
  // The link to an instance is lost. Its unanswered requests fail with LinkLost, except for reads
  // of which nothing has reached the caller: these are sent again.
  void onPeerLost(const InstanceId &Peer);

  // Closes the listening port. Callers that are idle outside a transaction get 57P01 at once, all
  // others at the latest at the deadline.
  void beginDrain(Instant Deadline);
  // Returns true when all sessions have ended and the deadline has interrupted none of them.
  bool drained() const;

  size_t callers() const;
  proto::SessionsReply sessions() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SESSION_H
