// Change of the primary of one service, as a state machine without I/O.
//
// An acknowledged commit is held by the primary and by at least AcknowledgedCopies replicas. A
// change first pauses replication at the replicas, so that no further commit can be acknowledged
// without the candidate. It then promotes a candidate whose log is at least as up to date as the
// logs of the paused replicas. In a switchover the candidate is not paused, and writes continue
// until the promotion takes effect.
//
// Each order to the platform is recorded in the claim's row before it is sent, so that an instance
// that takes the claim over knows which orders can still be executed. While one can, and nothing
// keeps the platform from executing it, no other target is promoted: it could acknowledge commits
// that the late order drops.
//
// A primary that this instance does not reach may be alive. Until a promotion takes effect, it
// acknowledges commits as soon as a replica receives them: one that restarted, which ends its
// pause, or one that joined. A failover therefore asks other instances, and this one, for the
// primary. If one of them reaches it, the primary steps down before any position is read, and no
// order is sent while it leads. Only a primary that nobody reaches is replaced without that.
//
// The primary that this instance believes in may have been replaced long ago. No order is sent for
// it. A target that still acts as primary of an older term is told to step down.
//
// A change never resumes replicas itself. A resume order could be executed late, during the change
// of another instance, and let a replica acknowledge a commit that the other candidate lacks.
// Pauses end with a promotion, by this change or by a later one.
#ifndef TOUCAN_PROMOTION_CHANGE_H
#define TOUCAN_PROMOTION_CHANGE_H

#include "promotion/claim.h"
#include "promotion/detector.h"
#include "roster/roster.h"
#include "statement/statement.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::promotion {

// A registered target of the service.
struct Member {
  TargetId Id;
  bool Primary = false;
  bool Leaving = false;
  bool Preferred = false; // in the primary's data centre, or otherwise preferred
};

enum class ActionKind : uint8_t {
  Claim,    // take the claim
  Record,   // record the order to promote Target, which no earlier order can still contradict
  Pause,    // stop replication at Target until it reaches InTerm
  Status,   // query role and log position of Target
  Observe,  // find an instance that reaches Target, and query its role and position there
  Fence,    // make Target, at the instance that was found, a replica if its term is below InTerm
  StepDown, // make Target a replica if it is the primary of a term below InTerm
  Promote,  // order the platform to make Target the primary, under Token
  Adopt,    // record that Target is already primary in InTerm
  Finish,   // the change has ended with Outcome
};

// Answer to Observe or Fence.
struct Observation {
  bool Reached = false;               // Target answered an instance, perhaps that it is busy
  std::optional<TargetStatus> Status; // empty if it was not reached, or busy
};

struct Action {
  ActionKind Kind = ActionKind::Finish;
  TargetId Target;
  Term InTerm;
  FencingToken Token;
  std::vector<RecordedOrder> Void;  // Record: orders that the platform answered as not executed
  std::optional<LogPosition> Start; // Record: end of the log of Target, if it is paused
  std::string_view Outcome;         // Finish only; for logs
};

enum class PromoteOutcome : uint8_t {
  Accepted,
  Superseded, // the platform has seen a higher token
  NotRunning, // the platform does not know the target
  Refused,    // not executed; may be repeated with the same token
  Unknown,    // outcome unknown; may still be executed later
};

class PrimaryChange {
public:
  struct Options {
    uint32_t AcknowledgedCopies = 0;
    // As known at the start; the claim's row names the members anew. Members that are not
    // registered may hold acknowledged commits and may return at any time.
    roster::Roster Group;
    Term NewestTerm; // highest term seen in any answer
    ChangeKind Kind = ChangeKind::Failover;
    // The change was started because the primary did not answer; an answer to the survey ends it.
    bool PrimarySilent = false;
    // The platform refuses an order whose token is lower than one that it has seen.
    bool TokensChecked = false;
    // Ends the change if the survey finds a replica paused, which shows that another instance is
    // changing the primary.
    bool YieldToOthers = false;
    // Start of the newest term, if this instance saw one begin.
    std::optional<TermStart> Start;
  };

  PrimaryChange(Options Opts, std::vector<Member> Members, Instant Now);

  // Each call returns the actions that the caller performs next.
  std::vector<Action> start(Instant Now);
  std::vector<Action> onClaim(const ClaimResult &R, Instant Now);
  std::vector<Action> onRecord(const ClaimResult &R, Instant Now);
  // Answer to Pause or Status; Status is empty if the target was busy or did not answer.
  std::vector<Action> onStatus(const TargetId &Id, const std::optional<TargetStatus> &Status,
                               Instant Now);
  std::vector<Action> onObserved(const Observation &O, Instant Now);
  std::vector<Action> onFenced(const Observation &O, Instant Now);
  std::vector<Action> onPromote(PromoteOutcome R, Instant Now);
  // A target registered during the change; it can acknowledge commits too.
  std::vector<Action> onTargetRegistered(const Member &M, Instant Now);
  // The directory does not list the target any more.
  std::vector<Action> onTargetRemoved(const TargetId &Id, Instant Now);
  // The directory or an answer shows that target Id is primary.
  std::vector<Action> onPrimaryObserved(const TargetId &Id, Instant Now);
  std::vector<Action> onTimer(Instant Now);

  Instant nextDeadline() const { return this->Deadline; }
  bool finished() const { return this->CurrentPhase == Phase::Finished; }
  const std::optional<TargetId> &candidate() const { return this->Candidate; }
  // Start of the term whose primary ended the change; empty if none did.
  const std::optional<TermStart> &newTermStart() const { return this->NewTermStart; }
  // The servers that the change takes into account with what it knows of each, for logs: id, role
  // or pause, and the end of the log received. Members that are not listed are "missing".
  std::string describeMembers() const;
  // Appends the state, with times relative to Now in multiples of Resolution. Objects with equal
  // texts behave alike from then on but for smaller differences in time, which a search over all
  // interleavings uses to visit each state once.
  void appendState(std::string &Out, Instant Now, absl::Duration Resolution) const;
  // When the new primary is expected to serve; infinite future until the promotion is accepted.
  Instant expectedAt() const { return this->ExpectedAt; }

private:
  enum class Phase : uint8_t {
    Surveying,  // checks whether another target is already primary
    Claiming,   // waits for the claim
    Collecting, // pauses replicas and reads log positions
    Recording,  // waits until the order is recorded
    Promoting,  // waits for the answer to the promote order
    Settling,   // waits for the promoted target to become primary
    Finished,
  };
  // Whether the primary can still acknowledge commits during a failover.
  enum class FenceState : uint8_t {
    Unasked,
    Observing, // waits until it is known whether an instance reaches the primary
    Reached,   // an instance reaches the primary, which has not stepped down yet
    Fencing,   // waits for the answer of the primary to the order to step down
    Fenced,    // the primary does not lead any more
    Unreached, // no instance reaches the primary
  };
  struct MemberState {
    Member Info;
    bool Paused = false;
    std::optional<LogPosition> Received; // final if Paused, otherwise as last reported
    Instant NextQueryAt = absl::InfinitePast();
    bool Surveyed = false;
  };

  // A recorded order, with its expiry on this instance's clock.
  struct PendingOrder {
    RecordedOrder Order;
    Instant ExpiresAt;
  };

  std::vector<Action> survey(Instant Until);
  std::vector<Action> afterSurvey(Instant Now);
  std::vector<Action> requestClaim(Instant Now);
  std::vector<Action> onSurveyed(MemberState &S, const TargetStatus &Status, Instant Now);
  std::vector<Action> onCollected(MemberState &S, const TargetStatus &Status, Instant Now);
  bool ordered() const;
  void beginTerm(Term Newest, Instant Now);
  std::vector<Action> forgetPrimary(Instant Now);
  void removeMember(const TargetId &Id);
  bool mayStillRun(const PendingOrder &O, Instant Now) const;
  void setOrders(const ClaimResult &R, Instant Now);
  bool setMembers(const roster::Members &Named);
  std::optional<TargetId> reconcile(const TargetId &Safe, Instant Now);
  void voidOrder();
  bool isSafe(const TargetId &Id, Instant Now) const;
  std::vector<Action> collectPositions(Instant Now);
  std::vector<Action> fencePrimary(Instant Now);
  bool fencePending() const;
  std::vector<Action> stepDownLost() const;
  std::vector<Action> pollCandidate(Instant Now);
  std::vector<Action> promoteIfSafe(Instant Now);
  bool enoughKnown(Instant Now) const;
  std::optional<TargetId> safeCandidate(Instant Now) const;
  std::optional<LogPosition> highestPausedPosition() const;
  std::vector<Action> finish(std::string_view Outcome);
  std::vector<Action> adoptPrimary(const TargetId &Id, const TargetStatus &Status);
  bool caughtUp(const MemberState &S) const;
  std::optional<LogPosition> termStart() const;
  bool mayRestore(const TargetId &Id, Instant Now) const;
  uint32_t unknownReplicas() const;
  uint32_t replicasWithout(bool MemberState::*Trait) const;
  bool mustPause(const MemberState &S) const;
  void chooseSuccessor();

  Options Opts;
  std::map<TargetId, MemberState> Members;
  Phase CurrentPhase = Phase::Surveying;
  FencingToken Token;
  Instant Deadline;
  Instant GiveUpAt;
  Instant SettleDeadline; // end of phase Settling
  Instant StartedAt;
  Instant BlockedUntil = absl::InfinitePast(); // earlier orders can be executed until then
  bool OthersActive = false;                   // the survey found a paused replica
  FenceState Fence = FenceState::Unasked;
  Instant FenceDeadline = absl::InfiniteFuture(); // end of states Observing, Reached and Fencing
  Instant NextFenceAt = absl::InfinitePast();     // state Reached: when Fence is sent
  std::vector<PendingOrder> Orders;
  std::vector<RecordedOrder> Void; // own orders that were answered as not executed
  Instant ExpectedAt = absl::InfiniteFuture();
  std::optional<TargetId> Successor; // Switchover only; keeps receiving
  std::optional<TargetId> Candidate;
  std::optional<TargetId> Primary;
  std::optional<TargetId> Believed;           // the primary as of the start
  std::optional<LogPosition> PrimaryPosition; // Switchover only; read after the pauses
  Term LedTerm;                               // newest term that the primary was seen to lead
  std::optional<LogPosition> FinalPosition;   // of the primary, once it has stepped down
  Instant RestoreAt = absl::InfiniteFuture(); // the primary that stepped down is promoted again
  std::optional<TermStart> NewTermStart;
};

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_CHANGE_H
