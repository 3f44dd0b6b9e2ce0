// State machine of one database group: probes, detection, change of primary, confirmation.
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
  bool Leaving = false;
  friend bool operator==(const MonitoredServer &, const MonitoredServer &) = default;
};

struct MonitorConfig {
  DatabaseName Database;
  std::vector<MonitoredServer> Servers;
  bool Owner = false;            // may change the primary
  std::vector<InstanceId> Peers; // live members that can act as second observers
};

struct MonitorOptions {
  std::string Proposer; // unique for each incarnation of a daemon
  // Of a primary, and of every server while the group is not settled. Replicas of a settled group
  // are probed after each second probe of their primary.
  absl::Duration ProbeInterval = absl::Milliseconds(300);
  absl::Duration ProbeTimeout = absl::Milliseconds(300);
  int ProbesToSuspect = 3;
  uint64_t Seed = 1;
};

// Each server has one call at a time on each lane, so a slow call does not delay probes.
enum class Lane : uint8_t { Probe, Control, Wait };
constexpr size_t LaneCount = 3;

enum class Step : uint8_t {
  Suspected,     // the primary does not answer
  Kept,          // a second observer reaches the primary
  Redirected,    // requests go to an observer from now on, or to another one
  RedirectEnded, // requests no longer go to an observer
  Started,
  Fenced, // a majority accepted the new term
  Promoted,
  Finished, // a majority follows the new primary
  Abandoned,
};

// The answer must come back through onAnswer with the same id, exactly once.
struct CallAction {
  TargetId Server;
  Lane On = Lane::Probe;
  uint64_t Id = 0;
  Call What;
};
// The answer, if any, must come back through onPeerProbe.
struct AskPeerAction {
  InstanceId Peer;
  uint64_t ProbeId = 0;
  TargetId Target;
  absl::Duration Budget;
};
struct StepAction {
  Step What = Step::Started;
  Term InTerm;
  TargetId Server;
  std::string_view Cause;
  absl::Duration Elapsed;
  InstanceId Observer; // of Kept, Redirected and RedirectEnded
};
struct ConfirmedAction {
  uint64_t Ticket = 0;
  ConfirmResult Result = ConfirmResult::Confirmed;
};
struct VerifiedAction {
  uint64_t Ticket = 0;
  std::optional<LogPosition> At;
};
struct ChangedAction {};
using Action = std::variant<CallAction, AskPeerAction, StepAction, ConfirmedAction, VerifiedAction,
                            ChangedAction>;
using Actions = std::vector<Action>;

class Monitor {
public:
  explicit Monitor(MonitorOptions Options);

  Actions configure(MonitorConfig NewConfig, Instant Now);
  Actions onAnswer(const TargetId &Server, Lane On, uint64_t Id, const Answer &Got, Instant Now);
  // The idle probe connection to a server has ended.
  Actions onConnectionLost(const TargetId &Server, Instant Now);
  Actions onPeerProbe(uint64_t ProbeId, bool Reachable, Term Accepted, Instant Now);
  Actions confirm(uint64_t Ticket, LogPosition At, Instant Deadline, Instant Now);
  Actions verify(uint64_t Ticket, Instant Deadline, Instant Now);
  Actions setPrimaryUse(PrimaryUse Use, Instant Now);
  // Must be called at nextTimer().
  Actions onTimer(Instant Now);

  Instant nextTimer() const;
  // False when the answer to a call would be ignored: the call need not be made.
  bool awaits(const TargetId &Server, Lane On, uint64_t Id) const;
  const GroupState &state() const { return this->Published; }
  const MonitorConfig &config() const { return this->Config; }

private:
  struct Outstanding {
    uint64_t Id = 0; // 0: no call on the lane
    CallKind Kind = CallKind::Status;
    Term InTerm;
    Instant AskedAt;
    uint64_t Probe = 0;                    // number for the verifier
    Instant NextAt = absl::InfinitePast(); // earliest next call
  };
  struct Server {
    MonitoredServer Def;
    std::optional<Status> Row;                // last known
    Instant RowAt = absl::InfinitePast();     // when it was asked for
    Instant ControlAt = absl::InfinitePast(); // last answer on the control lane
    Instant CaughtUpAt = absl::InfinitePast();
    int Misses = 0;
    bool Refused = false;
    bool Behind = false; // its last answer lacked entries of the log
    Outstanding Lanes[LaneCount];
    Outstanding &lane(Lane L) { return this->Lanes[static_cast<size_t>(L)]; }
    const Outstanding &lane(Lane L) const { return this->Lanes[static_cast<size_t>(L)]; }
  };
  // Question to second observers about a primary that does not answer.
  struct Asking {
    size_t Target = 0;
    Term InTerm;
    std::string_view Cause;
    std::vector<std::pair<uint64_t, InstanceId>> Pending; // probe id and observer
    Instant Deadline;
    std::optional<InstanceId> Reached; // an observer that reaches the primary
  };
  // An observer that reaches a primary which this daemon does not reach.
  struct Hint {
    Observer By;
    TargetId Primary;
    Term InTerm;
  };
  // The attempt of this daemon that is running.
  struct Running {
    Attempt Try;
    std::vector<bool> Asked;
    std::string_view Cause;
    Instant Started;
    Instant Deadline; // of the accept phase
    bool PromoteSent = false;
  };
  // A primary that this daemon promoted and that a majority does not follow yet.
  struct Settling {
    Term InTerm;
    TargetId Primary;
    std::string_view Cause;
    Instant Started;
  };

  const Server *find(const TargetId &Id) const;
  bool suspect(const Server &S) const;
  bool reachable(const Server &S) const { return S.Row && !this->suspect(S); }
  bool reachableMajority() const;
  Term highestTerm() const;
  // The server that is primary of a term that no majority has left.
  std::optional<size_t> primary() const;
  bool follows(const Server &S, size_t Primary) const;
  absl::Duration jittered(absl::Duration Base);

  Actions advance(Instant Now);
  void call(size_t Index, Lane On, Call What, Instant Now);
  void onRow(size_t Index, Lane On, const Outstanding &Asked, const Status &Row, Instant Now);
  void onFailure(size_t Index, Lane On, const Outstanding &Asked, CallFailure Failure, Instant Now);
  std::optional<size_t> settledPrimary() const;
  void planProbes();
  void startProbes(Instant Now);
  void startWaits(Instant Now);
  void endTickets(Instant Now);
  void updateFreshness();
  void publish(Instant Now);

  // Change of primary (change.cpp).
  void considerChange(Instant Now);
  void considerHealthy(size_t Primary, Instant Now);
  void noteLeaving(Instant Now);
  Instant leavingDeadline() const;
  bool awaitsRequests(Instant Now) const;
  void considerMissing(Instant Now);
  void confirmSuspicion(size_t Target, Term InTerm, Instant Now);
  void askObservers();
  bool settleQuestion(Instant Now);
  void keepPrimary(InstanceId ReachedBy, Instant Now);
  std::string_view hintEnd(Instant Now) const;
  void reviewHint(Instant Now);
  void startAttempt(std::string_view Cause, std::vector<bool> Asked, Instant Now);
  void driveAttempt(Instant Now);
  void abandonAttempt(Instant Now);
  void onPromoted(Instant Now);
  void repair(Instant Now);
  void step(Step What, Term InTerm, const TargetId &Server, std::string_view Cause,
            absl::Duration Elapsed, InstanceId Observer = {});

  MonitorOptions Options;
  MonitorConfig Config;
  std::vector<Server> Servers;
  Confirmer Writes{0};
  Verifier Reads{0};
  Freshness History;
  GroupState Published;
  Actions Out;
  std::mt19937_64 Random;
  uint64_t NextId = 1;
  Instant LastNow = absl::InfinitePast();

  Term TermSeen; // highest accepted term seen
  Instant TermSeenAt = absl::InfinitePast();
  Instant TakeoverAt = absl::InfinitePast(); // when an unfinished change may be taken over
  Term LastAttempted;
  int Failures = 0; // abandoned attempts in a row
  Instant NextAttemptAt = absl::InfinitePast();
  PrimaryUse Use = PrimaryUse::None;
  TargetId LeavingPrimary; // empty: the primary does not leave
  Instant LeavingSince = absl::InfinitePast();
  std::optional<Asking> Question;
  std::optional<Hint> Reached;
  std::optional<Running> Change;
  std::optional<Settling> Finishing;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_MONITOR_H
