// One connection to a target, with requests answered in the order in which they were sent.
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

// Receives the answer, or null if the connection was lost before it came.
using AnswerHandler = std::function<void(const Answer *)>;

struct LinkRequest {
  TargetRequest Request;
  AnswerHandler OnAnswer;
};

class TargetLink;

// Owner of links; calls come from the loop's thread. A link may be destroyed only from a task
// posted to the loop.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void onLinkOpen(TargetLink &Link) = 0;
  // An answer or part of one arrived.
  virtual void onLinkAnswer(TargetLink &Link, const Answer &Reply, Instant SentAt) = 0;
  // No request is pending any more.
  virtual void onLinkDrained(TargetLink &Link) = 0;
  // Refusal: the target's reason, if it refused the connection.
  virtual void onLinkClosed(TargetLink &Link, const std::optional<StatementError> &Refusal) = 0;
};

struct LinkOptions {
  TargetId Target;
  std::string Service;  // name by which the target knows its service
  std::string Address;  // IP:PORT
  Instant OpenDeadline; // closed if the target has not accepted the session by then
};

class TargetLink {
public:
  enum class Phase : uint8_t { Connecting, Starting, Open, Closed };

  TargetLink(Loop &InLoop, Codec &Protocol, LinkOwner &Owner, LinkOptions Options);
  ~TargetLink();
  TargetLink(const TargetLink &) = delete;
  TargetLink &operator=(const TargetLink &) = delete;

  // Starts to connect; a failure is reported through the owner.
  void open();
  // Sends requests in one write. An answer that has not come by GiveUpAt is not expected any more.
  void submit(std::vector<LinkRequest> Requests, Instant AnswerDeadline);
  void close(std::string_view Why);

  Phase phase() const { return this->CurrentPhase; }
  // Free for other work: nothing pending, no transaction.
  bool idle() const {
    return this->CurrentPhase == Phase::Open && this->Pending.empty() && !this->Pinned &&
           this->State == TransactionState::None;
  }
  size_t pending() const { return this->Pending.size(); }
  // When the oldest pending request is given up; infinite future without one.
  Instant answerDeadline() const;
  // State that the target reported last.
  TransactionState state() const { return this->State; }
  const std::string &closeCause() const { return this->CloseCause; }
  // The target could not be connected to. One that accepts connections and takes its time to open a
  // session is only busy.
  bool openFailed() const { return this->OpenFailed; }

  // Session state that stands at the target, kept by the sessions that use the link.
  absl::flat_hash_map<std::string, std::string> Values;
  absl::flat_hash_set<std::string> Prepared;
  bool Pinned = false; // belongs to a session's transaction
  // Told once when the link is lost while it is pinned.
  std::function<void()> OnLostWhilePinned;
  Instant IdleSince;
  Instant HeldSince = absl::InfiniteFuture(); // by the statement or transaction that holds it
  bool HeldByTransaction = false;

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
  void disconnect(std::string_view Why, const std::optional<StatementError> &Refusal,
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
