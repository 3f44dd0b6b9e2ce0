#include "member/membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucan::member {

namespace {

// Each change is piggybacked RetransmitFactor * log2(members) times, which reaches all members with
// high probability.
constexpr double RetransmitFactor = 3;

State stateOf(const proto::MemberRecord &R) { return static_cast<State>(R.state()); }

// States that only the member itself announces, each with a new sequence number.
bool isSelfAnnounced(State S) { return S == State::Draining || S == State::Joining; }

// Decides whether New replaces Old: a later incarnation wins, then a higher sequence number. At the
// same sequence number the worse state wins, because only the member itself may improve its state.
bool supersedes(const proto::MemberRecord &New, const proto::MemberRecord &Old) {
  if (New.incarnation() != Old.incarnation())
    return New.incarnation() > Old.incarnation();
  if (New.sequence() != Old.sequence())
    return New.sequence() > Old.sequence();
  // At the same sequence number an announced state is not worse than Alive.
  if (isSelfAnnounced(stateOf(New)) || isSelfAnnounced(stateOf(Old)))
    return stateOf(New) == State::Dead && stateOf(Old) != State::Dead;
  return New.state() > Old.state();
}

} // namespace

Membership::Membership(MembershipOptions O) : Options(std::move(O)), Random(this->Options.Seed) {
  this->Self.set_instance(this->Options.Self.Value);
  this->Self.set_link_endpoint(this->Options.LinkEndpoint);
  this->Self.set_data_centre(this->Options.At.Dc.Value);
  this->Self.set_region(this->Options.At.InRegion.Value);
  this->Self.set_incarnation(this->Options.Incarnation);
  this->Self.set_state(static_cast<uint32_t>(this->Options.SelfState));
  this->Self.set_sequence(1);
}

std::vector<OutgoingHeartbeat> Membership::onInstanceList(const std::vector<ListedInstance> &List,
                                                          Instant Now) {
  std::vector<OutgoingHeartbeat> Out;
  for (auto &[Id, P] : this->Peers)
    P.IsListed = false;
  for (const ListedInstance &L : List) {
    if (L.Id == this->Options.Self)
      continue;
    auto [It, New] = this->Peers.try_emplace(L.Id);
    Peer &P = It->second;
    P.IsListed = true;
    if (New) {
      // Incarnation 0: any record from the member itself supersedes the list.
      P.Record.set_instance(L.Id.Value);
      P.Record.set_link_endpoint(L.LinkEndpoint);
      P.Record.set_data_centre(L.At.Dc.Value);
      P.Record.set_region(L.At.InRegion.Value);
      P.Record.set_state(static_cast<uint32_t>(State::Suspect));
      P.DeadDeadline = Now + this->Options.SuspicionTimeout;
      ++this->ChangeCount;
      this->startProbe(L.Id, Now, Out);
    }
    if (L.Leaving && stateOf(P.Record) == State::Alive)
      this->setState(P, State::Draining, Now);
  }
  return Out;
}

std::vector<OutgoingHeartbeat> Membership::onHeartbeat(const proto::Heartbeat &Message,
                                                       Instant Now) {
  std::vector<OutgoingHeartbeat> Out;
  InstanceId From(Message.self().instance());
  if (From.Value.empty() || From == this->Options.Self)
    return Out;
  this->merge(Message.self(), Now);
  Peer &P = this->Peers[From];
  // A late message of an earlier incarnation does not prove that the current one is alive.
  if (Message.self().incarnation() == P.Record.incarnation()) {
    P.Heard = true;
    P.LastHeard = Now;
    P.AckDeadline = absl::InfiniteFuture();
    P.Record.set_rules_version(std::max(P.Record.rules_version(), Message.self().rules_version()));
    if (stateOf(P.Record) == State::Suspect || stateOf(P.Record) == State::Dead)
      this->setState(P, stateOf(Message.self()), Now);
  }
  bool Refuted = false;
  for (const proto::MemberRecord &R : Message.changes()) {
    if (R.instance() == this->Options.Self.Value)
      Refuted |= this->refute(R);
    else
      this->merge(R, Now);
  }
  if (Message.probe())
    Out.push_back(this->makeHeartbeat(From, false));
  if (Refuted)
    for (OutgoingHeartbeat &H : this->pushChanges(Now))
      Out.push_back(std::move(H));
  return Out;
}

std::vector<OutgoingHeartbeat> Membership::tick(Instant Now) {
  std::vector<OutgoingHeartbeat> Out;
  for (auto It = this->Peers.begin(); It != this->Peers.end();) {
    Peer &P = It->second;
    if (P.AckDeadline <= Now) {
      P.AckDeadline = absl::InfiniteFuture();
      if (stateOf(P.Record) == State::Alive || isSelfAnnounced(stateOf(P.Record)))
        this->setState(P, State::Suspect, Now);
    }
    if (P.DeadDeadline <= Now)
      this->setState(P, State::Dead, Now);
    if (P.RemovalDeadline <= Now && !P.IsListed) {
      It = this->Peers.erase(It);
      ++this->ChangeCount;
      continue;
    }
    ++It;
  }
  if (Now < this->NextProbe)
    return Out;
  this->NextProbe = Now + this->Options.ProbeInterval;
  for (const InstanceId &Id : this->pickProbeTargets())
    this->startProbe(Id, Now, Out);
  return Out;
}

std::vector<OutgoingHeartbeat> Membership::setRulesVersion(RulesVersion Version, Instant Now) {
  if (Version.Value <= this->Self.rules_version())
    return {};
  this->Self.set_rules_version(Version.Value);
  return this->pushChanges(Now);
}

std::vector<OutgoingHeartbeat> Membership::announce(State Status, Instant Now) {
  this->Self.set_state(static_cast<uint32_t>(Status));
  this->incrementSequence();
  ++this->ChangeCount;
  return this->pushChanges(Now);
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Out;
  auto Add = [&](const proto::MemberRecord &R) {
    Out.push_back({.Id = InstanceId(R.instance()),
                   .LinkEndpoint = R.link_endpoint(),
                   .At = {DataCentre(R.data_centre()), Region(R.region())},
                   .Status = stateOf(R),
                   .Incarnation = R.incarnation(),
                   .Rules = RulesVersion(R.rules_version())});
  };
  Add(this->Self);
  for (const auto &[Id, P] : this->Peers)
    Add(P.Record);
  return Out;
}

double Membership::activePeerShare(Instant Since) const {
  size_t Known = 0;
  size_t Heard = 0;
  for (const auto &[Id, P] : this->Peers) {
    ++Known;
    Heard += P.LastHeard >= Since ? 1 : 0;
  }
  return Known == 0 ? 1.0 : static_cast<double>(Heard) / static_cast<double>(Known);
}

// Stores a record if it supersedes the known one. Returns true if it was stored.
bool Membership::merge(const proto::MemberRecord &Record, Instant Now) {
  InstanceId Id(Record.instance());
  if (Id.Value.empty() || Id == this->Options.Self)
    return false;
  auto [It, New] = this->Peers.try_emplace(Id);
  Peer &P = It->second;
  if (!New && !supersedes(Record, P.Record))
    return false;
  if (New && stateOf(Record) == State::Dead) {
    this->Peers.erase(It);
    return false;
  }
  bool NewIncarnation = Record.incarnation() != P.Record.incarnation();
  uint64_t Rules = NewIncarnation ? 0 : P.Record.rules_version();
  State Before = stateOf(P.Record);
  P.Record = Record;
  P.Record.set_rules_version(std::max(Rules, Record.rules_version()));
  if (NewIncarnation)
    P.Heard = false;
  if (New || NewIncarnation || Before != stateOf(Record))
    this->setState(P, stateOf(Record), Now);
  else
    this->queueChange(Id);
  return true;
}

// Refutes a wrong state of this instance by raising its sequence number above that of the record.
// Returns true if there was something to refute.
bool Membership::refute(const proto::MemberRecord &Record) {
  if (Record.incarnation() != this->Self.incarnation() ||
      Record.sequence() < this->Self.sequence() || Record.state() == this->Self.state())
    return false;
  this->Self.set_sequence(Record.sequence());
  this->incrementSequence();
  return true;
}

void Membership::setState(Peer &P, State Status, Instant Now) {
  P.Record.set_state(static_cast<uint32_t>(Status));
  P.DeadDeadline =
      Status == State::Suspect ? Now + this->Options.SuspicionTimeout : absl::InfiniteFuture();
  P.RemovalDeadline =
      Status == State::Dead ? Now + this->Options.RemovalDelay : absl::InfiniteFuture();
  ++this->ChangeCount;
  this->queueChange(InstanceId(P.Record.instance()));
}

// Queues a record for piggybacking. A newer record of a member replaces its older one.
void Membership::queueChange(const InstanceId &Id) {
  std::erase_if(this->Changes, [&](const Change &C) { return C.Id == Id; });
  double Log = std::log2(static_cast<double>(this->Peers.size()) + 2);
  this->Changes.push_front(
      {.Id = Id, .SendsLeft = static_cast<size_t>(std::ceil(RetransmitFactor * Log))});
}

void Membership::incrementSequence() { this->Self.set_sequence(this->Self.sequence() + 1); }

// Returns the next members of a shuffled round, so that each member is probed once per round and
// waits no longer than one round.
std::vector<InstanceId> Membership::pickProbeTargets() {
  if (this->ProbeOrder.size() < this->Options.Fanout) {
    std::vector<InstanceId> All;
    for (const auto &[Id, P] : this->Peers)
      All.push_back(Id);
    std::shuffle(All.begin(), All.end(), this->Random);
    this->ProbeOrder.insert(this->ProbeOrder.begin(), All.begin(), All.end());
  }
  std::vector<InstanceId> Out;
  while (Out.size() < this->Options.Fanout && !this->ProbeOrder.empty()) {
    InstanceId Id = this->ProbeOrder.back();
    this->ProbeOrder.pop_back();
    if (this->Peers.contains(Id) && std::find(Out.begin(), Out.end(), Id) == Out.end())
      Out.push_back(Id);
  }
  return Out;
}

OutgoingHeartbeat Membership::makeHeartbeat(const InstanceId &To, bool Probe) {
  OutgoingHeartbeat Out{.To = To};
  *Out.Message.mutable_self() = this->Self;
  Out.Message.set_probe(Probe);
  // Includes the record of the receiver, so that it can refute a suspicion.
  auto It = this->Peers.find(To);
  if (It != this->Peers.end() && stateOf(It->second.Record) != State::Alive &&
      It->second.Record.incarnation() != 0)
    *Out.Message.add_changes() = It->second.Record;
  size_t Count = std::min(this->Changes.size(), this->Options.MaxPiggybackedChanges);
  for (size_t I = 0; I < Count; ++I) {
    Change C = this->Changes.front();
    this->Changes.pop_front();
    auto Known = this->Peers.find(C.Id);
    if (Known == this->Peers.end())
      continue;
    if (Known->second.Record.incarnation() != 0)
      *Out.Message.add_changes() = Known->second.Record;
    if (--C.SendsLeft > 0)
      this->Changes.push_back(C);
  }
  return Out;
}

// Disseminates queued changes at once instead of at the next interval.
std::vector<OutgoingHeartbeat> Membership::pushChanges(Instant Now) {
  std::vector<OutgoingHeartbeat> Out;
  for (const InstanceId &Id : this->pickProbeTargets())
    this->startProbe(Id, Now, Out);
  return Out;
}

void Membership::startProbe(const InstanceId &Id, Instant Now,
                            std::vector<OutgoingHeartbeat> &Out) {
  Peer &P = this->Peers[Id];
  // An outstanding probe keeps its deadline; otherwise pushed changes could delay a suspicion
  // forever.
  P.AckDeadline = std::min(P.AckDeadline, Now + this->Options.AckTimeout);
  Out.push_back(this->makeHeartbeat(Id, true));
}

} // namespace toucan::member
