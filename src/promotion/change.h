// Change of primary of one service, as a state machine without I/O.
//
// An acknowledged commit is held by the primary and by at least AcknowledgedCopies replicas. A
// change first stops replicas from receiving, so that no further commit can be acknowledged without
// the candidate, and promotes a candidate that holds every position seen at the others. With a
// primary that still serves, the candidate goes on receiving and writes continue until the
// promotion takes effect.
//
// A change never ends pauses by itself: the order could be carried out late, in the middle of
// another instance's change, and let a replica acknowledge a commit that its candidate lacks. The
// promotion ends them, by this change or the next one.
#ifndef TOUCAN_PROMOTION_CHANGE_H
#define TOUCAN_PROMOTION_CHANGE_H

#include "promotion/claim.h"
#include "promotion/detector.h"
#include "statement/statement.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::promotion {

// A registered target of the service, as the change finds it.
struct Member {
  TargetId Id;
  bool Primary = false;
  bool Leaving = false;
  bool Preferred = false; // in the primary's data centre, or otherwise preferred
};

enum class ActionKind : uint8_t {
  Claim,   // take a fencing token
  Pause,   // stop Target from receiving
  Status,  // ask Target for its role and position
  Promote, // make Target the primary, under Token
  Adopt,   // Target leads in InTerm already
  Finish,  // the change is over, see Outcome
};

struct Action {
  ActionKind Kind = ActionKind::Finish;
  TargetId Target;
  Term InTerm;
  FencingToken Token;
  std::string_view Outcome; // Finish: for logs
};

enum class PromoteOutcome : uint8_t {
  Accepted,
  Superseded, // a higher token was used
  NotRunning, // the platform knows no such target
  Refused,    // not done, may be repeated with the same token
  Unknown,    // may be done later
};

class PrimaryChange {
public:
  struct Options {
    uint32_t AcknowledgedCopies = 0;
    // Targets of the service, with those that are not registered at present: they may hold
    // acknowledged commits, and may be back at any moment.
    uint32_t GroupSize = 0;
    Term NewestTerm; // highest term seen in any answer
    ChangeKind Kind = ChangeKind::Failover;
    // The reason is that the primary did not answer: an answer ends the change.
    bool PrimarySilent = false;
  };

  PrimaryChange(Options Opts, std::vector<Member> Members, Instant Now);

  // Each call returns what is to be done next.
  std::vector<Action> start(Instant Now);
  std::vector<Action> onClaim(const ClaimResult &R, Instant Now);
  // Answer to Pause or Status; empty if the target was busy or did not answer.
  std::vector<Action> onStatus(const TargetId &Id, const std::optional<TargetStatus> &Status,
                               Instant Now);
  std::vector<Action> onPromote(PromoteOutcome R, Instant Now);
  // A target has registered meanwhile: it may acknowledge commits as well.
  std::vector<Action> onTargetRegistered(const Member &M, Instant Now);
  // The directory or an answer shows that a target leads.
  std::vector<Action> onPrimaryObserved(const TargetId &Id, Instant Now);
  std::vector<Action> onTimer(Instant Now);

  Instant nextDeadline() const { return this->Deadline; }
  bool finished() const { return this->CurrentPhase == Phase::Finished; }
  const std::optional<TargetId> &candidate() const { return this->Candidate; }
  // When the new primary is expected to serve; infinite future before the promotion was ordered.
  Instant expectedAt() const { return this->ExpectedAt; }

private:
  enum class Phase : uint8_t {
    Surveying,  // asks whether another target leads already
    Claiming,   // waits for the claim
    Fencing,    // makes orders under older tokens void
    Collecting, // pauses replicas and reads positions
    Promoting,  // waits for the answer to the order
    Settling,   // waits for the promoted target to lead
    Finished,
  };
  struct MemberState {
    Member Info;
    bool Paused = false;
    std::optional<LogPosition> Received; // Paused: final; else as last told
    Instant NextQueryAt = absl::InfinitePast();
    bool Surveyed = false;
  };

  std::vector<Action> requestClaim(Instant Now);
  std::vector<Action> beginCollecting(Instant Now);
  std::vector<Action> collectPositions(Instant Now);
  std::vector<Action> pollCandidate(Instant Now);
  std::vector<Action> promoteIfSafe(Instant Now);
  std::optional<TargetId> safeCandidate(Instant Now) const;
  std::optional<LogPosition> highestPausedPosition() const;
  std::vector<Action> finish(std::string_view Outcome);
  std::vector<Action> adoptPrimary(const TargetId &Id, Term InTerm);
  uint32_t unknownReplicas() const;
  bool mustPause(const MemberState &S) const;
  void chooseSuccessor();

  Options Opts;
  std::map<TargetId, MemberState> Members;
  Phase CurrentPhase = Phase::Surveying;
  FencingToken Token;
  Instant Deadline;
  Instant GiveUpAt;
  Instant SettleDeadline; // Settling
  Instant StartedAt;
  Instant ClaimedAt;
  Instant ExpectedAt = absl::InfiniteFuture();
  std::optional<TargetId> Successor; // Leaving: stays unpaused
  std::optional<TargetId> Candidate;
  std::optional<TargetId> Primary;
  std::optional<LogPosition> PrimaryPosition; // Leaving: read after the pauses
};

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_CHANGE_H
