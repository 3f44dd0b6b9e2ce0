// Obtains the evidence that a commit which the primary acknowledged is kept by every later change
// of primary. Its caller is told of the commit only then.
#ifndef TOUCAN_GATEWAY_COMMITS_H
#define TOUCAN_GATEWAY_COMMITS_H

#include "gateway/pool.h"

#include <functional>
#include <map>
#include <vector>

namespace toucan::gateway {

class ServiceRouter;

class CommitProver {
public:
  using Handler = std::function<void(bool Proven)>;

  CommitProver(Loop &InLoop, ServiceRouter &Router) : InLoop(InLoop), Router(Router) {}

  placement::CommitEvidence &evidence() { return this->Evidence; }
  // Calls Done once enough replicas are known to hold the commit that Leader acknowledged; with
  // false once a later term has begun, or at Deadline.
  void prove(const TargetId &Leader, LogPosition Commit, Instant Deadline, Handler Done);
  // Whether a proof is pending.
  bool waiting() const { return !this->Pending.empty(); }
  // Whether a commit waits to learn that no change of primary is under way.
  bool awaitsSettled() const;
  // See placement::CommitEvidence.
  void onSettled(Instant Asked, Instant Answered, Term InTerm);
  // The log of a replica reaches At, see placement::CommitEvidence.
  void onPosition(const TargetId &Id, LogPosition At, Instant SentAt, Instant Since);
  // Called when a commit begins to wait to learn that no change of primary is under way.
  std::function<void()> OnAwaitsSettled;
  // Ends the proofs that can be decided now, and asks further replicas for overdue ones.
  void tick();

private:
  struct PendingCommit {
    TargetId Leader;
    LogPosition At;
    Instant Deadline;
    Instant AskAllAt;
    Instant StalledAt; // the primary counts as one that cannot keep writes
    Handler Done;
  };
  enum class Decision : uint8_t { Open, Proven, Unproven };
  Decision decide(const PendingCommit &P, Instant Now) const;
  void settle();
  void scheduleAsk(Instant At);
  void ask();
  void noteStalled(Instant Now);

  Loop &InLoop;
  ServiceRouter &Router;
  placement::CommitEvidence Evidence;
  std::vector<PendingCommit> Pending;
  bool AskScheduled = false;
  bool SettleScheduled = false;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_COMMITS_H
