// State machine of one database group. Probes the servers, detects a failed primary, changes the
// primary, confirms writes and verifies reads.
#ifndef TOUCAN_GROUP_MONITOR_H
#define TOUCAN_GROUP_MONITOR_H

#include "group/attempt.h"
#include "group/confirm.h"
#include "group/freshness.h"
#include "group/status.h"
#include "group/watcher.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace toucan::group {

struct MonitoredServer {
  TargetId Id;
  std::string Host;
  uint16_t Port = 0;
  bool IsLeaving = false;
  friend bool operator==(const MonitoredServer &, const MonitoredServer &) = default;
};

struct MonitorConfig {
  DatabaseName Database;
  std::vector<MonitoredServer> Servers;
  bool IsOwner = false;          // this instance may change the primary
  std::vector<InstanceId> Peers; // live instances that can probe a primary for this one
};

struct MonitorOptions {
  std::string Proposer; // unique for each incarnation of a daemon
  // Interval between probes of a primary. While the group is not settled, it applies to every
  // server. Replicas of a settled group are probed after each second probe of their primary.
  absl::Duration ProbeInterval = absl::Milliseconds(300);
  absl::Duration ProbeTimeout = absl::Milliseconds(300);
  int ProbesToSuspect = 3;
  uint64_t Seed = 1;
};

// Independent sequence of calls to a server. At most one call runs on each lane of a server, so a
// slow control call does not delay probes.
enum class Lane : uint8_t { Probe, Control, Wait };
constexpr size_t LaneCount = 3;

// Step in the detection of a failed primary or in a change of primary, for logs and metrics.
enum class Step : uint8_t {
  Suspected,     // the primary does not answer
  PrimaryKept,   // another instance reaches the primary, so it is not replaced
  Redirected,    // requests are now sent to an observer, or to another observer than before
  RedirectEnded, // requests are no longer sent to an observer
  Started,       // an attempt to change the primary begins
  Fenced,        // a majority accepted the new term
  Promoted,      // a server became primary of the new term
  Finished,      // a majority follows the new primary
  Abandoned,     // the attempt ended and is not known to have promoted a server
};

// Call to make on a server. The answer must be passed to onAnswer with the same id, exactly once.
struct CallAction {
  TargetId Server;
  Lane OnLane = Lane::Probe;
  uint64_t Id = 0;
  Call Request;
};
// Request to another instance to probe a target. The answer, if any, must be passed to onPeerProbe.
struct AskPeerAction {
  InstanceId Peer;
  uint64_t ProbeId = 0;
  TargetId Target;
  absl::Duration Budget;
};
// Step to log and to count.
struct StepAction {
  Step Kind = Step::Started;
  Term InTerm;
  TargetId Server;
  std::string_view Cause;
  absl::Duration Elapsed;
  InstanceId Observer; // set for PrimaryKept, Redirected and RedirectEnded
};
// Result of confirm() with this ticket.
struct ConfirmedAction {
  uint64_t Ticket = 0;
  ConfirmResult Result = ConfirmResult::Confirmed;
};
// Result of verify() with this ticket.
struct VerifiedAction {
  uint64_t Ticket = 0;
  std::optional<LogPosition> At; // empty when the deadline passed
};
// state() has changed.
struct ChangedAction {};
using Action = std::variant<CallAction, AskPeerAction, StepAction, ConfirmedAction, VerifiedAction,
                            ChangedAction>;
using Actions = std::vector<Action>;

// Does no I/O: each call returns the actions that the caller of Monitor has to carry out.
class Monitor {
public:
  explicit Monitor(MonitorOptions Options);

  Actions configure(MonitorConfig NewConfig, Instant Now);
  Actions onAnswer(const TargetId &Server, Lane OnLane, uint64_t Id, const Answer &Got,
                   Instant Now);
  // The idle probe connection to a server has ended.
  Actions onConnectionLost(const TargetId &Server, Instant Now);
  Actions onPeerProbe(uint64_t ProbeId, bool Reachable, Term Accepted, Instant Now);
  Actions confirm(uint64_t Ticket, LogPosition At, Instant Deadline, Instant Now);
  Actions verify(uint64_t Ticket, Instant Deadline, Instant Now);
  Actions setPrimaryUse(PrimaryUse Use, Instant Now);
  // Must be called at nextTimer().
  Actions onTimer(Instant Now);

  Instant nextTimer() const;
  // Returns whether the answer to a call is still needed. If not, the call need not be made.
  bool awaitsAnswer(const TargetId &Server, Lane OnLane, uint64_t Id) const;
  const GroupState &state() const { return this->Published; }
  const MonitorConfig &config() const { return this->Config; }

private:
  // State of a lane and of the call that runs on it, if any.
  struct LaneState {
    uint64_t Id = 0; // 0 when no call is running on the lane
    CallKind Kind = CallKind::Status;
    Term InTerm;
    Instant StartedAt;
    uint64_t Probe = 0;                    // number of the probe in the Verifier
    Instant NextAt = absl::InfinitePast(); // the next call starts no earlier
  };
  struct Server {
    MonitoredServer Definition;
    std::optional<Status> Row;                 // last known state
    Instant RowAt = absl::InfinitePast();      // start of the call that returned Row
    Instant ControlAt = absl::InfinitePast();  // last answer on the control lane
    Instant CaughtUpAt = absl::InfinitePast(); // as in ServerState
    int FailedProbes = 0;                      // failed probes in a row
    bool RefusedConnection = false;            // the last probe found the connection refused
    bool LacksEntries = false;                 // not all known log entries were applied
    LaneState Lanes[LaneCount];
    LaneState &lane(Lane L) { return this->Lanes[static_cast<size_t>(L)]; }
    const LaneState &lane(Lane L) const { return this->Lanes[static_cast<size_t>(L)]; }
  };
  // Query to other instances whether they reach a primary that does not answer this one.
  struct ObserverQuery {
    size_t Target = 0;
    Term InTerm;
    std::string_view Cause;
    // Probe ids and observers that have not answered yet.
    std::vector<std::pair<uint64_t, InstanceId>> Pending;
    Instant Deadline;
    std::optional<InstanceId> ReachedBy; // observer that reaches the primary
  };
  // Hint that requests for the primary can be sent to an observer. The observer reaches the
  // primary, and this daemon does not.
  struct RedirectHint {
    Observer ReachingObserver;
    TargetId Primary;
    Term InTerm;
  };
  // The running attempt of this daemon to change the primary.
  struct AttemptProgress {
    Attempt Machine;
    std::vector<bool> Participants; // servers that get the accept call
    std::string_view Cause;
    Instant Started;
    Instant Deadline; // end of the accept phase
    bool PromoteSent = false;
  };
  // A promotion by this daemon whose primary is not followed by a majority yet.
  struct UnfinishedChange {
    Term InTerm;
    TargetId Primary;
    std::string_view Cause;
    Instant Started;
  };

  const Server *find(const TargetId &Id) const;
  bool isSuspect(const Server &S) const;
  bool isReachable(const Server &S) const { return S.Row && !this->isSuspect(S); }
  bool hasReachableMajority() const;
  Term highestTerm() const;
  // The primary of the highest term. Empty when a majority has accepted a later term.
  std::optional<size_t> primaryIndex() const;
  bool follows(const Server &S, size_t Primary) const;
  absl::Duration jittered(absl::Duration Base);

  Actions advance(Instant Now);
  void startCall(size_t Index, Lane OnLane, Call Request, Instant Now);
  void onRow(size_t Index, Lane OnLane, const LaneState &FinishedCall, const Status &Row,
             Instant Now);
  void onFailure(size_t Index, Lane OnLane, const LaneState &FinishedCall, CallFailure Failure,
                 Instant Now);
  std::optional<size_t> settledPrimaryIndex() const;
  void planProbes();
  void startProbes(Instant Now);
  void startWaits(Instant Now);
  void completeTickets(Instant Now);
  void updateFreshness();
  void publish(Instant Now);

  // Change of primary (change.cpp).
  void considerChange(Instant Now);
  void considerAnsweringPrimary(size_t Primary, Instant Now);
  void trackLeavingPrimary(Instant Now);
  Instant leavingDeadline() const;
  bool waitsForOpenRequests(Instant Now) const;
  void considerMissingPrimary(Instant Now);
  void confirmSuspicion(size_t Target, Term InTerm, Instant Now);
  void askObservers();
  bool keepPrimaryIfReached(Instant Now);
  void keepPrimary(InstanceId ReachedBy, Instant Now);
  std::string_view hintEndCause(Instant Now) const;
  void removeInvalidHint(Instant Now);
  void startAttempt(std::string_view Cause, std::vector<bool> Participants, Instant Now);
  void advanceAttempt(Instant Now);
  void abandonAttempt(Instant Now);
  void onPromoted(Instant Now);
  void sendFollowCalls(Instant Now);
  void reportStep(Step Kind, Term InTerm, const TargetId &Server, std::string_view Cause,
                  absl::Duration Elapsed, InstanceId Observer = {});

  MonitorOptions Options;
  MonitorConfig Config;
  std::vector<Server> Servers;
  Confirmer WriteConfirmer{0};
  Verifier ReadVerifier{0};
  Freshness PrimaryHistory;
  GroupState Published;
  Actions PendingActions;
  std::mt19937_64 Random;
  uint64_t NextId = 1;
  Instant LastAdvanceAt = absl::InfinitePast();

  Term HighestTermSeen; // highest term that any server has accepted
  Instant HighestTermSeenAt = absl::InfinitePast();
  // Earliest start of an attempt that overtakes an unfinished attempt of another proposer.
  Instant TakeoverAt = absl::InfinitePast();
  Term LastAttempted;
  int ConsecutiveFailures = 0; // abandoned attempts since the last promotion
  Instant NextAttemptAt = absl::InfinitePast();
  PrimaryUse CurrentUse = PrimaryUse::None;
  TargetId LeavingPrimary; // empty when the primary is not leaving
  Instant LeavingSince = absl::InfinitePast();
  std::optional<ObserverQuery> PendingQuery;
  std::optional<RedirectHint> CurrentHint;
  std::optional<AttemptProgress> ActiveAttempt;
  std::optional<UnfinishedChange> ChangeToFinish;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_MONITOR_H
