#include "daemon/control.h"

#include <utility>

namespace toucan::daemon {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(100);
// Time after which rules_fetch is sent again, in case it or its answer was lost.
constexpr absl::Duration FetchRetry = absl::Milliseconds(500);

member::MembershipOptions membershipOptions(const ControlOptions &O) {
  return {.Self = O.Self,
          .LinkEndpoint = O.LinkEndpoint,
          .At = O.At,
          .Incarnation = O.Incarnation,
          .SelfState = member::State::Joining,
          .Seed = O.Incarnation};
}

} // namespace

ControlService::ControlService(Loop &L, ControlOptions O, link::LinkService &S, PublishFn P,
                               Metrics &M)
    : InLoop(L), Options(std::move(O)), Link(S), PublishView(std::move(P)), Counters(M),
      Members(membershipOptions(this->Options)), Views(this->Options.Self, this->Options.At) {}

ControlService::~ControlService() { this->InLoop.cancel(this->Timer); }

void ControlService::start() { this->tick(); }

void ControlService::onDirectory(platform::Directory Directory) {
  std::vector<member::ListedInstance> List;
  for (const platform::InstanceRow &Row : Directory.Instances)
    List.push_back(
        {.Id = Row.Id, .LinkEndpoint = Row.LinkEndpoint, .At = Row.At, .Leaving = Row.Leaving});
  std::vector<member::OutgoingHeartbeat> Out =
      this->Members.onInstanceList(List, this->InLoop.now());
  this->ViewOutdated |= this->Views.setGroups(std::move(Directory.Groups));
  this->HasDirectory = true;
  // The link must know the address of a new member before it can send a heartbeat to it.
  this->publishIfChanged();
  this->send(std::move(Out));
}

void ControlService::onRulesRow(const platform::Row &Row) {
  this->Rules.onStoreRead(this->InLoop.now());
  this->adoptRules(RulesVersion(Row.Version), Row.Value, "store");
  this->publishIfChanged();
}

void ControlService::onMessage(const InstanceId &From, const proto::Envelope &Message) {
  if (Message.has_heartbeat()) {
    std::vector<member::OutgoingHeartbeat> Out =
        this->Members.onHeartbeat(Message.heartbeat(), this->InLoop.now());
    this->publishIfChanged();
    this->send(std::move(Out));
    RulesVersion Announced(Message.heartbeat().self().rules_version());
    if (Announced > this->Rules.version() && Announced >= this->NewestAnnounced) {
      this->NewestAnnounced = Announced;
      this->NewestHolder = From;
    }
    this->fetchNewerRules();
  } else if (Message.has_rules_fetch()) {
    if (this->Rules.version().Value < Message.rules_fetch().version())
      return;
    proto::Envelope Answer;
    Answer.mutable_rules_text()->set_version(this->Rules.version().Value);
    Answer.mutable_rules_text()->set_text(this->Rules.rules()->text());
    this->Link.send(From, std::move(Answer));
  } else if (Message.has_rules_text()) {
    this->adoptRules(RulesVersion(Message.rules_text().version()), Message.rules_text().text(),
                     From.Value);
    this->publishIfChanged();
  }
}

void ControlService::beginDrain() {
  this->send(this->Members.announce(member::State::Draining, this->InLoop.now()));
  this->publishIfChanged();
}

void ControlService::fillStatus(proto::StatusReply &Reply) const {
  *Reply.mutable_self() = this->Members.self();
  for (const member::Member &M : this->Members.members()) {
    proto::MemberRecord *R = Reply.add_members();
    R->set_instance(M.Id.Value);
    R->set_link_endpoint(M.LinkEndpoint);
    R->set_data_centre(M.At.Dc.Value);
    R->set_region(M.At.InRegion.Value);
    R->set_incarnation(M.Incarnation);
    R->set_state(static_cast<uint32_t>(M.Status));
    R->set_rules_version(M.Rules.Value);
  }
  Reply.set_rules_known(this->PublishedRulesKnown);
}

absl::Duration ControlService::storeReadInterval() const {
  Instant Now = this->InLoop.now();
  return this->Rules.nextStoreRead(Now, this->Members.members().size()) - Now;
}

void ControlService::tick() {
  this->send(this->Members.tick(this->InLoop.now()));
  this->fetchNewerRules();
  this->joinIfReady();
  this->publishIfChanged();
  this->Timer = this->InLoop.at(this->InLoop.now() + TickInterval, [this] { this->tick(); });
}

// Announces this instance as alive once it has read the platform's lists and the rules are known.
// An instance without the lists would own databases and refuse their requests as for an unknown
// database.
void ControlService::joinIfReady() {
  bool Joining = this->Members.self().state() == static_cast<uint32_t>(member::State::Joining);
  if (Joining && this->HasDirectory && this->PublishedRulesKnown)
    this->send(this->Members.announce(member::State::Alive, this->InLoop.now()));
}

void ControlService::send(std::vector<member::OutgoingHeartbeat> Out) {
  for (member::OutgoingHeartbeat &H : Out) {
    proto::Envelope Message;
    *Message.mutable_heartbeat() = std::move(H.Message);
    this->Counters.add("heartbeats_sent_total");
    this->Counters.add("heartbeat_bytes_total", Message.ByteSizeLong());
    this->Link.send(H.To, std::move(Message));
  }
}

void ControlService::adoptRules(RulesVersion Version, const std::string &Text,
                                std::string_view Source) {
  Captured<bool> Adopted = capture([&] { return this->Rules.adopt(Version, Text); });
  if (!Adopted) {
    this->Counters.add("rules_invalid_total");
    LogEvent(LogLevel::Error, "rules_invalid")
        .kv("version", Version.Value)
        .kv("source", Source)
        .kv("cause", Adopted.Problem.Message);
    return;
  }
  if (!*Adopted)
    return;
  this->ViewOutdated = true;
  this->Counters.set("rules_version", static_cast<int64_t>(Version.Value));
  LogEvent(LogLevel::Info, "rules_in_force").kv("version", Version.Value).kv("source", Source);
  this->send(this->Members.setRulesVersion(Version, this->InLoop.now()));
}

// Requests the text of the rules from the member that announced the newest version.
void ControlService::fetchNewerRules() {
  if (this->NewestAnnounced <= this->Rules.version() || this->InLoop.now() < this->NextFetch)
    return;
  proto::Envelope Message;
  Message.mutable_rules_fetch()->set_version(this->NewestAnnounced.Value);
  this->Link.send(this->NewestHolder, std::move(Message));
  this->NextFetch = this->InLoop.now() + FetchRetry;
}

void ControlService::publishIfChanged() {
  Instant Now = this->InLoop.now();
  // The share of active peers takes a pass over all members. It is computed only if the store was
  // not read recently.
  bool Known =
      this->Rules.storeReadRecently(Now) ||
      this->Rules.known(Now, this->Members.activePeerShare(this->Rules.isolationCutoff(Now)));
  if (Known != this->PublishedRulesKnown)
    LogEvent(Known ? LogLevel::Info : LogLevel::Warn, "rules_known").kv("known", Known);
  if (!this->ViewOutdated && Known == this->PublishedRulesKnown &&
      this->PublishedChanges == this->Members.changes())
    return;
  this->publish(Known);
}

void ControlService::publish(bool RulesKnown) {
  this->Views.setRules(this->Rules.rules(), this->Rules.version());
  member::ViewPtr View = this->Views.build(this->Members.members(), RulesKnown);
  std::map<InstanceId, link::PeerAddress> Peers;
  int64_t Alive = 0;
  for (const member::Member &M : View->Members) {
    Alive += M.Status == member::State::Alive ? 1 : 0;
    if (M.Id != this->Options.Self && !M.LinkEndpoint.empty())
      Peers[M.Id] = {.Endpoint = M.LinkEndpoint, .Incarnation = M.Incarnation};
  }
  this->Counters.set("members_alive", Alive);
  this->Link.setPeers(std::move(Peers));
  this->ViewOutdated = false;
  this->PublishedRulesKnown = RulesKnown;
  this->PublishedChanges = this->Members.changes();
  this->PublishView(std::move(View));
}

} // namespace toucan::daemon
