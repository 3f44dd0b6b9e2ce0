// Membership by random probing with piggybacked changes (the SWIM scheme): each member probes a few
// others at each interval, suspects those that do not answer, and spreads what it learns. A suspect
// that hears of it refutes by raising its sequence. Traffic does not grow with the member count.
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
  State SelfState = State::Alive; // at the start
  absl::Duration ProbeInterval = absl::Seconds(1);
  absl::Duration AckTimeout = absl::Seconds(1);       // probe to answer, before suspicion
  absl::Duration SuspicionTimeout = absl::Seconds(3); // suspicion to death
  absl::Duration RemovalDelay =
      absl::Seconds(60);             // death to removal, when not on the platform's list
  size_t Fanout = 3;                 // members probed at each interval
  size_t MaxPiggybackedChanges = 16; // records piggybacked on one message
  uint64_t Seed = 1;
};

// An entry of the platform's lagging list.
struct ListedInstance {
  InstanceId Id;
  std::string LinkEndpoint;
  Place At;
  bool Leaving = false;
};

// A heartbeat to be sent.
struct OutgoingHeartbeat {
  InstanceId To;
  proto::Heartbeat Message;
};

// Pure: no clock, no I/O.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  // Merges the platform's list; unknown instances are probed at once.
  std::vector<OutgoingHeartbeat> onInstanceList(const std::vector<ListedInstance> &List,
                                                Instant Now);
  // Merges what a peer says; returns the answer if the heartbeat was a probe.
  std::vector<OutgoingHeartbeat> onHeartbeat(const proto::Heartbeat &Message, Instant Now);
  // Probes, suspicions and deaths that are due. Call at least each ProbeInterval.
  std::vector<OutgoingHeartbeat> tick(Instant Now);

  // Records the rules version of this instance; a growth is pushed to random members at once.
  std::vector<OutgoingHeartbeat> setRulesVersion(RulesVersion Version, Instant Now);
  // Announces a new state of this instance: Alive after Joining, or Draining.
  std::vector<OutgoingHeartbeat> announce(State Status, Instant Now);

  // All members with this instance, dead ones included until they are forgotten.
  std::vector<Member> members() const;
  const proto::MemberRecord &self() const { return this->Self; }
  // Grows with each change of a member's state, place, endpoint or incarnation.
  uint64_t changes() const { return this->ChangeCount; }
  // Share of the known peers that have been heard since the given time; 1 when there are none.
  double activePeerShare(Instant Since) const;

private:
  struct Peer {
    proto::MemberRecord Record;
    bool IsListed = false;
    bool Heard = false;                           // has answered in this incarnation
    Instant LastHeard = absl::InfinitePast();     // directly
    Instant AckDeadline = absl::InfiniteFuture(); // of the probe under way
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
  std::vector<InstanceId> ProbeOrder; // shuffled; each member is probed once in a round
  Instant NextProbe = absl::InfinitePast();
  uint64_t ChangeCount = 0;
  std::mt19937_64 Random;
};

} // namespace toucan::member

#endif // TOUCAN_MEMBER_MEMBERSHIP_H
