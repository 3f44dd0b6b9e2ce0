// Group membership by random probing with piggybacked updates (SWIM): each member probes a few
// others per interval, suspects those that do not answer, and disseminates state changes. A member
// that learns that it is suspected refutes by incrementing its sequence number. The traffic per
// member does not grow with the number of members.
#ifndef TOUCAN_MEMBER_MEMBERSHIP_H
#define TOUCAN_MEMBER_MEMBERSHIP_H

#include "base/ids.h"
#include "member/view.h"
#include "proto/link.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace toucan::member {

struct MembershipOptions {
  InstanceId Self;
  std::string LinkEndpoint;
  Place At;
  uint64_t Incarnation = 0;
  State SelfState = State::Alive; // initial state
  absl::Duration ProbeInterval = absl::Seconds(1);
  absl::Duration AckTimeout = absl::Seconds(1);       // from probe to suspicion
  absl::Duration SuspicionTimeout = absl::Seconds(3); // from suspicion to death
  // From death to removal, if the member is not on the platform's list.
  absl::Duration RemovalDelay = absl::Seconds(60);
  size_t Fanout = 3;                 // members probed per interval
  size_t MaxPiggybackedChanges = 16; // per message
  uint64_t Seed = 1;
};

// An entry of the platform's list of instances, which may be out of date.
struct ListedInstance {
  InstanceId Id;
  std::string LinkEndpoint;
  Place At;
  bool Leaving = false;
};

struct OutgoingHeartbeat {
  InstanceId To;
  proto::Heartbeat Message;
};

// Deterministic: uses no clock and does no I/O.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  // Merges the platform's list. Unknown instances are probed at once.
  std::vector<OutgoingHeartbeat> onInstanceList(const std::vector<ListedInstance> &List,
                                                Instant Now);
  // Merges the records of a heartbeat. Returns the answer if the heartbeat was a probe, and further
  // heartbeats if a suspicion of this instance was refuted.
  std::vector<OutgoingHeartbeat> onHeartbeat(const proto::Heartbeat &Message, Instant Now);
  // Handles probes, suspicions and deaths that are due. Must be called at least once per
  // ProbeInterval.
  std::vector<OutgoingHeartbeat> tick(Instant Now);

  // Records the rules version of this instance. A higher version is sent to random members at once.
  std::vector<OutgoingHeartbeat> setRulesVersion(RulesVersion Version, Instant Now);
  // Sets and disseminates the state of this instance: Alive after Joining, or Draining.
  std::vector<OutgoingHeartbeat> announce(State Status, Instant Now);

  // All members including this instance, and dead ones until they are removed.
  std::vector<Member> members() const;
  const proto::MemberRecord &self() const { return this->Self; }
  // Increases with each change of a member's state, place, endpoint or incarnation.
  uint64_t changes() const { return this->ChangeCount; }
  // Fraction of the known peers that have been heard from since the given time; 1 if there are
  // none.
  double activePeerShare(Instant Since) const;

private:
  struct Peer {
    proto::MemberRecord Record;
    bool IsListed = false;
    bool Heard = false;                           // has sent a heartbeat in this incarnation
    Instant LastHeard = absl::InfinitePast();     // from the peer itself
    Instant AckDeadline = absl::InfiniteFuture(); // of the outstanding probe
    Instant DeadDeadline = absl::InfiniteFuture();
    Instant RemovalDeadline = absl::InfiniteFuture();
  };
  struct Change {
    InstanceId Id;
    size_t SendsLeft = 0;
  };

  bool merge(const proto::MemberRecord &Record, Instant Now);
  bool refute(const proto::MemberRecord &Record);
  void setState(Peer &P, State Status, Instant Now);
  void queueChange(const InstanceId &Id);
  void incrementSequence();
  std::vector<InstanceId> pickProbeTargets();
  OutgoingHeartbeat makeHeartbeat(const InstanceId &To, bool Probe);
  std::vector<OutgoingHeartbeat> pushChanges(Instant Now);
  void startProbe(const InstanceId &Id, Instant Now, std::vector<OutgoingHeartbeat> &Out);

  MembershipOptions Options;
  proto::MemberRecord Self;
  std::map<InstanceId, Peer> Peers;
  std::deque<Change> Changes;
  std::vector<InstanceId> ProbeOrder; // shuffled; each member is probed once per round
  Instant NextProbe = absl::InfinitePast();
  uint64_t ChangeCount = 0;
  std::mt19937_64 Random;
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_MEMBERSHIP_H
