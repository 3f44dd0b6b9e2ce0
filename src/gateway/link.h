// One connection to a target. Requests are pipelined and answered in the order they were sent.
#ifndef TOUCAN_GATEWAY_LINK_H
#define TOUCAN_GATEWAY_LINK_H

#include "gateway/codec.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucan::gateway {

// Receives the answer, or null if the connection was lost before the answer arrived.
using AnswerHandler = std::function<void(const Answer *)>;

struct LinkRequest {
  TargetRequest Request;
  AnswerHandler OnAnswer;
};

class TargetLink;

// Receives the events of links. Called on the loop's thread. A link may be destroyed only from a
// task posted to the loop.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void onLinkOpen(TargetLink &Link) = 0;
  // A complete answer arrived. SentAt: when its request was sent; for the answer that opens the
  // session, the present time.
  virtual void onLinkAnswer(TargetLink &Link, const Answer &Reply, Instant SentAt) = 0;
  // The last pending request was answered.
  virtual void onLinkDrained(TargetLink &Link) = 0;
  // Refusal: the target's error, if it refused to open the session.
  virtual void onLinkClosed(TargetLink &Link, const std::optional<StatementError> &Refusal) = 0;
};

struct LinkOptions {
  TargetId Target;
  std::string Service;  // service name sent when the session is opened
  AccountName Account;  // client account named when the session is opened
  std::string Address;  // IP:PORT
  Instant OpenDeadline; // the link is closed if the session is not open by then
};

class TargetLink {
public:
  enum class Phase : uint8_t { Connecting, Starting, Open, Closed };

  TargetLink(Loop &InLoop, Codec &Protocol, LinkOwner &Owner, LinkOptions Options);
  ~TargetLink();
  TargetLink(const TargetLink &) = delete;
  TargetLink &operator=(const TargetLink &) = delete;

  // Starts the connection. A failure is reported through the owner.
  void open();
  // Sends the requests in one write. An answer is overdue after AnswerDeadline.
  void submit(std::vector<LinkRequest> Requests, Instant AnswerDeadline);
  void close(std::string_view Cause);

  Phase phase() const { return this->CurrentPhase; }
  // The client account whose statements the link carries.
  const AccountName &account() const { return this->Options.Account; }
  // True if the link can be given to another statement: nothing is pending and no transaction is
  // open.
  bool idle() const {
    return this->CurrentPhase == Phase::Open && this->Pending.empty() && !this->Pinned &&
           this->State == TransactionState::None;
  }
  size_t pending() const { return this->Pending.size(); }
  // Deadline of the oldest pending request; infinite future if none is pending.
  Instant answerDeadline() const;
  // Deadline of the newest pending request; infinite past if none is pending.
  Instant lastAnswerDeadline() const;
  // Transaction state that the target reported last.
  TransactionState state() const { return this->State; }
  const std::string &closeCause() const { return this->CloseCause; }
  // True if no session could be opened. A target that accepts the TCP connection but does not open
  // the session in time is busy and does not count as failed.
  bool openFailed() const { return this->OpenFailed; }

  // Session values and prepared statements set at the target. Maintained by the sessions that use
  // the link.
  absl::flat_hash_map<std::string, std::string> Values;
  absl::flat_hash_set<std::string> Prepared;
  bool Pinned = false; // reserved for a session's transaction
  // Called once if the link is lost while it is pinned.
  std::function<void()> OnLostWhilePinned;
  Instant IdleSince;
  // When a statement or transaction last released the link; at first when it was opened. Unlike
  // IdleSince, not changed by the proxy's own commands.
  Instant ServedAt = absl::InfiniteFuture();
  Instant HeldSince = absl::InfiniteFuture(); // when a statement or transaction acquired the link
  bool HeldByTransaction = false;
  Instant RequestedAt; // when the link was created
  Instant OpenedAt = absl::InfiniteFuture();
  // From when on the target's process is known that this link reaches; at the latest OpenedAt.
  Instant ProcessSince = absl::InfiniteFuture();

private:
  struct PendingRequest {
    AnswerHandler OnAnswer;
    Instant SentAt;
    Instant AnswerDeadline;
  };

  void onEvents(uint32_t Events);
  bool finishConnect();
  void readMessages();
  void flush();
  void onMessage(TargetMessage &&Message);
  void finishAnswer(TargetMessage &&Ready);
  void disconnect(std::string_view Cause, const std::optional<StatementError> &Refusal,
                  bool TargetBusy = false);

  Loop &InLoop;
  Codec &Protocol;
  LinkOwner &Owner;
  LinkOptions Options;
  Phase CurrentPhase = Phase::Connecting;
  int Fd = -1;
  bool WantsWrite = false;
  std::string In;
  std::string Out;
  std::deque<PendingRequest> Pending;
  Answer Partial;
  TransactionState State = TransactionState::None;
  TimerId OpenTimer;
  TimerId WriteFailureTimer;
  std::string CloseCause;
  bool OpenFailed = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_LINK_H
