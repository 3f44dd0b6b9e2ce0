// Shell of the group library: monitors, control connections, timers, logs and counters.
#include "group/group.h"

#include "group/channel.h"
#include "group/monitor.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace toucan::group {

namespace {

// Share of a second observer's budget that its probe may take; the rest is for the answer.
constexpr double ObserverProbeShare = 0.75;
constexpr uint32_t MaxObserverProbes = 64; // running at once for other instances

struct StepText {
  std::string_view Event;
  std::string_view Counter;
};

StepText textOf(Step S) {
  switch (S) {
  case Step::Suspected:
    return {"primary_suspected", "primary_suspected_total"};
  case Step::PrimaryKept:
    return {"primary_kept", "primary_kept_total"};
  case Step::Redirected:
    return {"primary_redirected", "primary_redirected_total"};
  case Step::RedirectEnded:
    return {"primary_redirect_ended", "primary_redirect_ended_total"};
  case Step::Started:
    return {"primary_change_started", "primary_change_started_total"};
  case Step::Fenced:
    return {"primary_change_fenced", "primary_change_fenced_total"};
  case Step::Promoted:
    return {"primary_change_promoted", "primary_change_promoted_total"};
  case Step::Finished:
    return {"primary_change_finished", "primary_change_finished_total"};
  case Step::Abandoned:
    return {"primary_change_abandoned", "primary_change_abandoned_total"};
  }
  return {"", ""};
}

} // namespace

struct GroupService::Impl {
  // A database and its connections. Shared, since a callback may end its watch.
  struct Watched {
    explicit Watched(MonitorOptions Options) : Machine(std::move(Options)) {}
    Monitor Machine;
    std::map<TargetId, std::array<std::unique_ptr<Channel>, LaneCount>> Channels;
    std::map<uint64_t, std::function<void(ConfirmResult)>> Confirms;
    std::map<uint64_t, std::function<void(std::optional<LogPosition>)>> Verifies;
    std::optional<TimerId> Timer;
    Instant TimerAt;
    uint64_t NextTicket = 1;
  };
  using WatchedPtr = std::shared_ptr<Watched>;
  struct PeerQuestion {
    DatabaseName Database;
    uint64_t ProbeId = 0;
    Instant Deadline;
  };

  Impl(Loop &InLoop, GroupOptions Options, member::SendFn Send, Metrics &Counters)
      : InLoop(InLoop), Options(std::move(Options)), Send(std::move(Send)), Counters(Counters) {}
  ~Impl();

  Watched *find(const DatabaseName &Database) {
    auto It = this->Groups.find(Database);
    return It == this->Groups.end() ? nullptr : It->second.get();
  }
  bool owns(const DatabaseName &Database) const {
    return this->View->ownerOf(Database) == this->Options.Self;
  }
  MonitorConfig configOf(const member::Group &G) const;
  void update(const DatabaseName &Database);
  void end(const DatabaseName &Database);
  void run(const DatabaseName &Database, const std::function<Actions(Monitor &)> &Event);
  void apply(const WatchedPtr &W, Actions Todo);
  void perform(const WatchedPtr &W, CallAction &A);
  void perform(const WatchedPtr &W, AskPeerAction &A);
  void perform(const WatchedPtr &W, StepAction &A);
  void perform(const WatchedPtr &W, ConfirmedAction &A);
  void perform(const WatchedPtr &W, VerifiedAction &A);
  void perform(const WatchedPtr &W, ChangedAction &A);
  Channel &channelTo(const WatchedPtr &W, const TargetId &Server, Lane OnLane);
  ChannelOptions channelOptions(std::string Host, uint16_t Port, const DatabaseName &Database);
  void dropChannels(Watched &W, const member::Group *G);
  void arm(const WatchedPtr &W);
  void onProbeRequest(const InstanceId &From, const proto::ProbeRequest &Asked);
  void onProbeReply(const proto::ProbeReply &Got);

  Loop &InLoop;
  GroupOptions Options;
  member::SendFn Send;
  Metrics &Counters;
  member::ViewPtr View;
  std::map<DatabaseName, WatchedPtr> Groups;
  std::map<DatabaseName, bool> Kept;
  std::vector<std::function<void(const GroupState &)>> Listeners;
  std::map<uint64_t, PeerQuestion> Questions; // asked of second observers
  uint64_t NextQuestion = 1;
  std::map<uint64_t, std::shared_ptr<Channel>> Observations; // probes for other instances
  uint64_t NextObservation = 1;
};

GroupService::Impl::~Impl() {
  for (auto &[Database, W] : this->Groups)
    if (W->Timer)
      this->InLoop.cancel(*W->Timer);
}

MonitorConfig GroupService::Impl::configOf(const member::Group &G) const {
  MonitorConfig C;
  C.Database = G.Name;
  for (const member::Target &T : G.Targets)
    C.Servers.push_back({.Id = T.Id,
                         .Host = T.Host,
                         .Port = T.Port,
                         .IsLeaving = T.Status == rules::TargetState::Leaving});
  C.IsOwner = this->owns(G.Name);
  for (const member::Member &M : this->View->Members)
    if (M.Id != this->Options.Self && M.Status == member::State::Alive)
      C.Peers.push_back(M.Id);
  return C;
}

// Starts, changes or ends the watch of a database after a change of the view or of keep().
void GroupService::Impl::update(const DatabaseName &Database) {
  const member::Group *G = this->View ? this->View->findGroup(Database) : nullptr;
  if (!G) {
    this->end(Database);
    return;
  }
  if (!this->owns(Database) && !this->Kept.contains(Database)) {
    this->end(Database);
    return;
  }
  MonitorConfig Config = this->configOf(*G);
  if (!this->find(Database)) {
    uint64_t Seed = this->Options.Seed + std::hash<std::string>{}(Database.Value);
    this->Groups[Database] = std::make_shared<Watched>(MonitorOptions{
        .Proposer = absl::StrFormat("%s/%d", this->Options.Self.Value, this->Options.Incarnation),
        .ProbeInterval = this->Options.ProbeInterval,
        .ProbeTimeout = this->Options.ProbeTimeout,
        .ProbesToSuspect = this->Options.ProbesToSuspect,
        .Seed = Seed});
  }
  this->dropChannels(*this->Groups[Database], G);
  this->run(Database,
            [&](Monitor &M) { return M.configure(std::move(Config), this->InLoop.now()); });
}

// Closes connections to servers that are gone or have moved.
void GroupService::Impl::dropChannels(Watched &W, const member::Group *G) {
  const std::vector<MonitoredServer> &Old = W.Machine.config().Servers;
  for (const MonitoredServer &S : Old) {
    bool Stays = std::any_of(G->Targets.begin(), G->Targets.end(), [&](const member::Target &T) {
      return T.Id == S.Id && T.Host == S.Host && T.Port == S.Port;
    });
    if (!Stays)
      W.Channels.erase(S.Id);
  }
}

void GroupService::Impl::end(const DatabaseName &Database) {
  auto It = this->Groups.find(Database);
  if (It == this->Groups.end())
    return;
  WatchedPtr W = std::move(It->second);
  this->Groups.erase(It);
  if (W->Timer)
    this->InLoop.cancel(*W->Timer);
  W->Channels.clear();
  for (auto &[Ticket, Then] : std::exchange(W->Confirms, {}))
    Then(ConfirmResult::Deadline);
  for (auto &[Ticket, Then] : std::exchange(W->Verifies, {}))
    Then(std::nullopt);
}

void GroupService::Impl::run(const DatabaseName &Database,
                             const std::function<Actions(Monitor &)> &Event) {
  auto It = this->Groups.find(Database);
  if (It == this->Groups.end())
    return;
  WatchedPtr W = It->second;
  this->apply(W, Event(W->Machine));
  this->arm(W);
}

// A callback may end the watch; the actions after it must then not open connections again.
void GroupService::Impl::apply(const WatchedPtr &W, Actions Todo) {
  for (Action &A : Todo) {
    if (this->find(W->Machine.config().Database) != W.get())
      return;
    std::visit([&](auto &Which) { this->perform(W, Which); }, A);
  }
}

void GroupService::Impl::arm(const WatchedPtr &W) {
  const DatabaseName &Database = W->Machine.config().Database;
  Instant Next = W->Machine.nextTimer();
  if (this->find(Database) != W.get() || (W->Timer && W->TimerAt == Next))
    return;
  if (W->Timer)
    this->InLoop.cancel(*W->Timer);
  W->Timer.reset();
  if (Next == absl::InfiniteFuture())
    return;
  W->TimerAt = Next;
  W->Timer = this->InLoop.at(Next, [this, Database, Raw = W.get()] {
    Raw->Timer.reset();
    this->run(Database, [this](Monitor &M) { return M.onTimer(this->InLoop.now()); });
  });
}

ChannelOptions GroupService::Impl::channelOptions(std::string Host, uint16_t Port,
                                                  const DatabaseName &Database) {
  return {.Host = std::move(Host),
          .Port = Port,
          .Database = Database.Value,
          .User = this->Options.TargetUser,
          .Password = this->Options.TargetPassword,
          .Counters = &this->Counters};
}

Channel &GroupService::Impl::channelTo(const WatchedPtr &W, const TargetId &Server, Lane OnLane) {
  std::unique_ptr<Channel> &C = W->Channels[Server][static_cast<size_t>(OnLane)];
  if (C)
    return *C;
  const MonitorConfig &Config = W->Machine.config();
  auto It = std::find_if(Config.Servers.begin(), Config.Servers.end(),
                         [&](const MonitoredServer &S) { return S.Id == Server; });
  std::function<void()> OnLost;
  if (OnLane == Lane::Probe)
    OnLost = [this, Database = Config.Database, Server] {
      this->run(Database,
                [&](Monitor &M) { return M.onConnectionLost(Server, this->InLoop.now()); });
    };
  C = std::make_unique<Channel>(
      this->InLoop, this->channelOptions(It->Host, It->Port, Config.Database), std::move(OnLost));
  return *C;
}

// A callback of an earlier action may have changed the servers; such calls are dropped.
void GroupService::Impl::perform(const WatchedPtr &W, CallAction &A) {
  if (!W->Machine.awaitsAnswer(A.Server, A.OnLane, A.Id))
    return;
  this->channelTo(W, A.Server, A.OnLane)
      .start(A.Request, [this, Database = W->Machine.config().Database, Server = A.Server,
                         OnLane = A.OnLane, Id = A.Id](const Answer &Got) {
        this->run(Database, [&](Monitor &M) {
          return M.onAnswer(Server, OnLane, Id, Got, this->InLoop.now());
        });
      });
}

void GroupService::Impl::perform(const WatchedPtr &W, AskPeerAction &A) {
  const MonitorConfig &Config = W->Machine.config();
  auto It = std::find_if(Config.Servers.begin(), Config.Servers.end(),
                         [&](const MonitoredServer &S) { return S.Id == A.Target; });
  if (It == Config.Servers.end())
    return;
  Instant Now = this->InLoop.now();
  std::erase_if(this->Questions, [&](const auto &Q) { return Q.second.Deadline < Now; });
  uint64_t Id = this->NextQuestion++;
  this->Questions[Id] = {
      .Database = Config.Database, .ProbeId = A.ProbeId, .Deadline = Now + A.Budget};
  proto::Envelope Message;
  Message.set_from(this->Options.Self.Value);
  Message.set_incarnation(this->Options.Incarnation);
  proto::ProbeRequest &Asked = *Message.mutable_probe_request();
  Asked.set_probe_id(Id);
  Asked.set_database(Config.Database.Value);
  Asked.set_target(A.Target.Value);
  Asked.set_host(It->Host);
  Asked.set_port(It->Port);
  Asked.set_budget_us(absl::ToInt64Microseconds(A.Budget));
  if (this->Send(A.Peer, std::move(Message)))
    return;
  this->Questions.erase(Id);
  this->run(Config.Database, [&](Monitor &M) {
    return M.onPeerProbe(A.ProbeId, false, Term(), this->InLoop.now());
  });
}

void GroupService::Impl::perform(const WatchedPtr &W, StepAction &A) {
  StepText Text = textOf(A.Kind);
  this->Counters.add(Text.Counter);
  LogLevel Level = A.Kind == Step::Abandoned ? LogLevel::Warn : LogLevel::Info;
  LogEvent Event(Level, Text.Event);
  Event.kv("database", W->Machine.config().Database.Value)
      .kv("term", A.InTerm.Value)
      .kv("server", A.Server.Value)
      .kv("cause", A.Cause)
      .kv("elapsed_ms", absl::ToInt64Milliseconds(A.Elapsed));
  if (!A.Observer.Value.empty())
    Event.kv("observer", A.Observer.Value);
}

void GroupService::Impl::perform(const WatchedPtr &W, ConfirmedAction &A) {
  auto Node = W->Confirms.extract(A.Ticket);
  if (Node)
    Node.mapped()(A.Result);
}

void GroupService::Impl::perform(const WatchedPtr &W, VerifiedAction &A) {
  auto Node = W->Verifies.extract(A.Ticket);
  if (Node)
    Node.mapped()(A.At);
}

void GroupService::Impl::perform(const WatchedPtr &W, ChangedAction &) {
  for (const auto &Listener : this->Listeners)
    Listener(W->Machine.state());
}

// Acts as second observer: probes the target once over a new connection.
void GroupService::Impl::onProbeRequest(const InstanceId &From, const proto::ProbeRequest &Asked) {
  if (this->Observations.size() >= MaxObserverProbes)
    return;
  uint64_t Id = this->NextObservation++;
  auto Probe = std::make_shared<Channel>(
      this->InLoop, this->channelOptions(Asked.host(), static_cast<uint16_t>(Asked.port()),
                                         DatabaseName(Asked.database())));
  this->Observations[Id] = Probe;
  Call What;
  What.Timeout = absl::Microseconds(Asked.budget_us()) * ObserverProbeShare;
  Probe->start(What, [this, Id, From, ProbeId = Asked.probe_id()](const Answer &Got) {
    proto::Envelope Message;
    Message.set_from(this->Options.Self.Value);
    Message.set_incarnation(this->Options.Incarnation);
    proto::ProbeReply &Reply = *Message.mutable_probe_reply();
    Reply.set_probe_id(ProbeId);
    Reply.set_reachable(Got.Row.has_value());
    Reply.set_accepted_term(Got.Row ? Got.Row->Accepted.Value : 0);
    this->Send(From, std::move(Message));
    this->Observations.erase(Id);
  });
}

void GroupService::Impl::onProbeReply(const proto::ProbeReply &Got) {
  auto Node = this->Questions.extract(Got.probe_id());
  if (!Node)
    return;
  this->run(Node.mapped().Database, [&](Monitor &M) {
    return M.onPeerProbe(Node.mapped().ProbeId, Got.reachable(), Term(Got.accepted_term()),
                         this->InLoop.now());
  });
}

GroupService::GroupService(Loop &InLoop, GroupOptions Options, member::SendFn Send,
                           Metrics &Counters)
    : State(std::make_unique<Impl>(InLoop, std::move(Options), std::move(Send), Counters)) {}

GroupService::~GroupService() = default;

void GroupService::onView(member::ViewPtr View) {
  this->State->View = std::move(View);
  std::vector<DatabaseName> Names;
  for (const auto &[Database, W] : this->State->Groups)
    Names.push_back(Database);
  for (const member::Group &G : this->State->View->Groups)
    if (this->State->owns(G.Name) && !this->State->Groups.contains(G.Name))
      Names.push_back(G.Name);
  for (const DatabaseName &Database : Names)
    this->State->update(Database);
}

void GroupService::onEnvelope(const InstanceId &From, const proto::Envelope &Message) {
  if (Message.has_probe_request())
    this->State->onProbeRequest(From, Message.probe_request());
  else if (Message.has_probe_reply())
    this->State->onProbeReply(Message.probe_reply());
}

void GroupService::subscribe(std::function<void(const GroupState &)> Listener) {
  this->State->Listeners.push_back(std::move(Listener));
}

void GroupService::keep(const DatabaseName &Database, bool InUse) {
  bool Before = this->State->Kept.contains(Database);
  if (InUse == Before)
    return;
  if (InUse)
    this->State->Kept[Database] = true;
  else
    this->State->Kept.erase(Database);
  this->State->update(Database);
}

void GroupService::usePrimary(const DatabaseName &Database, PrimaryUse Use) {
  this->State->run(Database,
                   [&](Monitor &M) { return M.usePrimary(Use, this->State->InLoop.now()); });
}

const GroupState *GroupService::state(const DatabaseName &Database) const {
  const Impl::Watched *W = this->State->find(Database);
  return W ? &W->Machine.state() : nullptr;
}

void GroupService::confirm(const DatabaseName &Database, LogPosition At, Instant Deadline,
                           std::function<void(ConfirmResult)> Then) {
  Impl::Watched *W = this->State->find(Database);
  if (!W) {
    Then(ConfirmResult::Deadline);
    return;
  }
  uint64_t Ticket = W->NextTicket++;
  W->Confirms[Ticket] = std::move(Then);
  this->State->run(Database, [&](Monitor &M) {
    return M.confirm(Ticket, At, Deadline, this->State->InLoop.now());
  });
}

void GroupService::verify(const DatabaseName &Database, Instant Deadline,
                          std::function<void(std::optional<LogPosition>)> Then) {
  Impl::Watched *W = this->State->find(Database);
  if (!W) {
    Then(std::nullopt);
    return;
  }
  uint64_t Ticket = W->NextTicket++;
  W->Verifies[Ticket] = std::move(Then);
  this->State->run(
      Database, [&](Monitor &M) { return M.verify(Ticket, Deadline, this->State->InLoop.now()); });
}

} // namespace toucan::group
