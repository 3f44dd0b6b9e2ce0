// Public header of the session library: the entry duty, one session for each caller.
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
  uint16_t ListenPort = 0; // 0: chosen by the system
  size_t MaxCallers = 20'000;
  size_t MaxFrameBytes = 16 * 1024 * 1024;
  std::string TokenKey;                                    // of the session token's HMAC
  absl::Duration RequestTimeout = absl::Seconds(30);       // of one request
  absl::Duration LongRequestTimeout = absl::Seconds(3600); // of one request of class long
  absl::Duration StartupTimeout = absl::Seconds(10);       // from accept to the start-up packet
  uint64_t Seed = 1;
  ReadsAfterWrite Reads = ReadsAfterWrite::ByPosition;
};

// All calls happen in the entry loop.
class EntryService {
public:
  EntryService(Loop &InLoop, EntryOptions Options, member::SendFn Send, Metrics &Counters);
  ~EntryService();

  // Binds the caller port; the error names the address and the cause.
  Result<void> listen();
  uint16_t port() const;

  void onView(member::ViewPtr View);
  // chunk, done and cancel_caller.
  void onEnvelope(const InstanceId &From, proto::Envelope Message);
  // The link to an instance is lost: unanswered requests there end as LinkLost, or are sent again
  // when they are reads of which nothing has reached the caller.
  void onPeerLost(const InstanceId &Peer);

  // Closes the listening port; callers get 57P01 when they are between requests and outside a
  // transaction; all others at the deadline.
  void beginDrain(Instant Deadline);
  // True when all callers have ended and none was interrupted by the deadline.
  bool drained() const;

  size_t callers() const;
  proto::SessionsReply sessions() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SESSION_H
