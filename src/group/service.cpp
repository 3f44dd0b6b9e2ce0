// GroupService: runs one monitor for each database in the event loop, with its control connections
// and timers, and writes log lines and counters.
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

// Share of the time budget that a probe for another instance may take. The rest is for its reply.
constexpr double ObserverProbeShare = 0.75;
constexpr uint32_t MaxObserverProbes = 64; // concurrent probes for other instances

// The event name in the log and the metric of a step of a primary change.
struct StepNames {
  std::string_view EventName;
  std::string_view CounterName;
};

StepNames namesOf(Step S) {
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
  // The monitor of a database and its connections. Shared ownership keeps it valid when a callback
  // stops monitoring the database.
  struct MonitoredGroup {
    explicit MonitoredGroup(MonitorOptions Options) : GroupMonitor(std::move(Options)) {}
    Monitor GroupMonitor;
    std::map<TargetId, std::array<std::unique_ptr<Channel>, LaneCount>> Channels;
    std::map<uint64_t, std::function<void(ConfirmResult)>> ConfirmCallbacks;
    std::map<uint64_t, std::function<void(std::optional<LogPosition>)>> VerifyCallbacks;
    std::optional<TimerId> Timer;
    Instant TimerAt;
    uint64_t NextTicket = 1;
  };
  using MonitoredGroupPtr = std::shared_ptr<MonitoredGroup>;
  // A probe that another instance was asked to make.
  struct PeerProbe {
    DatabaseName Database;
    uint64_t ProbeId = 0;
    Instant Deadline;
  };

  Impl(Loop &InLoop, GroupOptions Options, member::SendFn Send, Metrics &Counters)
      : InLoop(InLoop), Options(std::move(Options)), Send(std::move(Send)), Counters(Counters) {}
  ~Impl();

  MonitoredGroup *findMonitored(const DatabaseName &Database) {
    auto It = this->Groups.find(Database);
    return It == this->Groups.end() ? nullptr : It->second.get();
  }
  bool owns(const DatabaseName &Database) const {
    return this->View->ownerOf(Database) == this->Options.Self;
  }
  MonitorConfig monitorConfig(const member::Group &G) const;
  void updateMonitor(const DatabaseName &Database);
  void stopMonitoring(const DatabaseName &Database);
  void handleEvent(const DatabaseName &Database, const std::function<Actions(Monitor &)> &Event);
  void performAll(const MonitoredGroupPtr &Monitored, Actions ActionList);
  void perform(const MonitoredGroupPtr &Monitored, CallAction &A);
  void perform(const MonitoredGroupPtr &Monitored, AskPeerAction &A);
  void perform(const MonitoredGroupPtr &Monitored, StepAction &A);
  void perform(const MonitoredGroupPtr &Monitored, ConfirmedAction &A);
  void perform(const MonitoredGroupPtr &Monitored, VerifiedAction &A);
  void perform(const MonitoredGroupPtr &Monitored, ChangedAction &A);
  Channel &channelFor(const MonitoredGroupPtr &Monitored, const TargetId &Server, Lane CallLane);
  ChannelOptions channelOptions(std::string Host, uint16_t Port, const DatabaseName &Database);
  void closeStaleChannels(MonitoredGroup &Monitored, const member::Group *G);
  void armTimer(const MonitoredGroupPtr &Monitored);
  void onProbeRequest(const InstanceId &From, const proto::ProbeRequest &Request);
  void onProbeReply(const proto::ProbeReply &Reply);

  Loop &InLoop;
  GroupOptions Options;
  member::SendFn Send;
  Metrics &Counters;
  member::ViewPtr View;
  std::map<DatabaseName, MonitoredGroupPtr> Groups;
  std::map<DatabaseName, bool> DatabasesInUse;
  std::vector<std::function<void(const GroupState &)>> Listeners;
  std::map<uint64_t, PeerProbe> PendingPeerProbes; // by probe id in the request
  uint64_t NextPeerProbeId = 1;
  std::map<uint64_t, std::shared_ptr<Channel>> ProbesForPeers; // probes for other instances
  uint64_t NextProbeForPeer = 1;
};

GroupService::Impl::~Impl() {
  for (auto &[Database, Monitored] : this->Groups)
    if (Monitored->Timer)
      this->InLoop.cancel(*Monitored->Timer);
}

MonitorConfig GroupService::Impl::monitorConfig(const member::Group &G) const {
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

// Starts, reconfigures or stops the monitor of a database. Called when the view or the set of
// databases in use changes.
void GroupService::Impl::updateMonitor(const DatabaseName &Database) {
  const member::Group *G = this->View ? this->View->findGroup(Database) : nullptr;
  if (!G) {
    this->stopMonitoring(Database);
    return;
  }
  if (!this->owns(Database) && !this->DatabasesInUse.contains(Database)) {
    this->stopMonitoring(Database);
    return;
  }
  MonitorConfig Config = this->monitorConfig(*G);
  if (!this->findMonitored(Database)) {
    uint64_t Seed = this->Options.Seed + std::hash<std::string>{}(Database.Value);
    this->Groups[Database] = std::make_shared<MonitoredGroup>(MonitorOptions{
        .Proposer = absl::StrFormat("%s/%d", this->Options.Self.Value, this->Options.Incarnation),
        .ProbeInterval = this->Options.ProbeInterval,
        .ProbeTimeout = this->Options.ProbeTimeout,
        .ProbesToSuspect = this->Options.ProbesToSuspect,
        .Seed = Seed});
  }
  this->closeStaleChannels(*this->Groups[Database], G);
  this->handleEvent(Database,
                    [&](Monitor &M) { return M.configure(std::move(Config), this->InLoop.now()); });
}

// Closes connections to servers that left the group or changed their address.
void GroupService::Impl::closeStaleChannels(MonitoredGroup &Monitored, const member::Group *G) {
  const std::vector<MonitoredServer> &Old = Monitored.GroupMonitor.config().Servers;
  for (const MonitoredServer &S : Old) {
    bool Stays = std::any_of(G->Targets.begin(), G->Targets.end(), [&](const member::Target &T) {
      return T.Id == S.Id && T.Host == S.Host && T.Port == S.Port;
    });
    if (!Stays)
      Monitored.Channels.erase(S.Id);
  }
}

// Stops monitoring a database. Requests that still wait get their failure result.
void GroupService::Impl::stopMonitoring(const DatabaseName &Database) {
  auto It = this->Groups.find(Database);
  if (It == this->Groups.end())
    return;
  MonitoredGroupPtr Monitored = std::move(It->second);
  this->Groups.erase(It);
  if (Monitored->Timer)
    this->InLoop.cancel(*Monitored->Timer);
  Monitored->Channels.clear();
  for (auto &[Ticket, Then] : std::exchange(Monitored->ConfirmCallbacks, {}))
    Then(ConfirmResult::DeadlineExceeded);
  for (auto &[Ticket, Then] : std::exchange(Monitored->VerifyCallbacks, {}))
    Then(std::nullopt);
}

// Passes an event to the monitor of a database and performs the resulting actions.
void GroupService::Impl::handleEvent(const DatabaseName &Database,
                                     const std::function<Actions(Monitor &)> &Event) {
  auto It = this->Groups.find(Database);
  if (It == this->Groups.end())
    return;
  MonitoredGroupPtr Monitored = It->second;
  this->performAll(Monitored, Event(Monitored->GroupMonitor));
  this->armTimer(Monitored);
}

// Performs the actions in order. Stops once a callback has stopped monitoring the database, so that
// the remaining actions open no connections.
void GroupService::Impl::performAll(const MonitoredGroupPtr &Monitored, Actions ActionList) {
  for (Action &A : ActionList) {
    if (this->findMonitored(Monitored->GroupMonitor.config().Database) != Monitored.get())
      return;
    std::visit([&](auto &Each) { this->perform(Monitored, Each); }, A);
  }
}

// Sets the loop timer to the next deadline of the monitor.
void GroupService::Impl::armTimer(const MonitoredGroupPtr &Monitored) {
  const DatabaseName &Database = Monitored->GroupMonitor.config().Database;
  Instant Next = Monitored->GroupMonitor.nextTimer();
  if (this->findMonitored(Database) != Monitored.get() ||
      (Monitored->Timer && Monitored->TimerAt == Next))
    return;
  if (Monitored->Timer)
    this->InLoop.cancel(*Monitored->Timer);
  Monitored->Timer.reset();
  if (Next == absl::InfiniteFuture())
    return;
  Monitored->TimerAt = Next;
  Monitored->Timer = this->InLoop.at(Next, [this, Database, Raw = Monitored.get()] {
    Raw->Timer.reset();
    this->handleEvent(Database, [this](Monitor &M) { return M.onTimer(this->InLoop.now()); });
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

// Returns the connection for a lane of a server and creates it on first use. Only the probe lane
// reports a lost idle connection.
Channel &GroupService::Impl::channelFor(const MonitoredGroupPtr &Monitored, const TargetId &Server,
                                        Lane CallLane) {
  std::unique_ptr<Channel> &C = Monitored->Channels[Server][static_cast<size_t>(CallLane)];
  if (C)
    return *C;
  const MonitorConfig &Config = Monitored->GroupMonitor.config();
  auto It = std::find_if(Config.Servers.begin(), Config.Servers.end(),
                         [&](const MonitoredServer &S) { return S.Id == Server; });
  std::function<void()> OnLost;
  if (CallLane == Lane::Probe)
    OnLost = [this, Database = Config.Database, Server] {
      this->handleEvent(Database,
                        [&](Monitor &M) { return M.onConnectionLost(Server, this->InLoop.now()); });
    };
  C = std::make_unique<Channel>(
      this->InLoop, this->channelOptions(It->Host, It->Port, Config.Database), std::move(OnLost));
  return *C;
}

// Starts a control call. The call is dropped if a callback of an earlier action has changed the
// servers, so that the monitor no longer expects its answer.
void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, CallAction &A) {
  if (!Monitored->GroupMonitor.awaitsAnswer(A.Server, A.OnLane, A.Id))
    return;
  this->channelFor(Monitored, A.Server, A.OnLane)
      .start(A.Request, [this, Database = Monitored->GroupMonitor.config().Database,
                         Server = A.Server, CallLane = A.OnLane, Id = A.Id](const Answer &Result) {
        this->handleEvent(Database, [&](Monitor &M) {
          return M.onAnswer(Server, CallLane, Id, Result, this->InLoop.now());
        });
      });
}

// Asks another instance to probe a server. If the request cannot be sent, the server counts as
// unreachable from there.
void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, AskPeerAction &A) {
  const MonitorConfig &Config = Monitored->GroupMonitor.config();
  auto It = std::find_if(Config.Servers.begin(), Config.Servers.end(),
                         [&](const MonitoredServer &S) { return S.Id == A.Target; });
  if (It == Config.Servers.end())
    return;
  Instant Now = this->InLoop.now();
  std::erase_if(this->PendingPeerProbes, [&](const auto &Q) { return Q.second.Deadline < Now; });
  uint64_t Id = this->NextPeerProbeId++;
  this->PendingPeerProbes[Id] = {
      .Database = Config.Database, .ProbeId = A.ProbeId, .Deadline = Now + A.Budget};
  proto::Envelope Message;
  Message.set_from(this->Options.Self.Value);
  Message.set_incarnation(this->Options.Incarnation);
  proto::ProbeRequest &Request = *Message.mutable_probe_request();
  Request.set_probe_id(Id);
  Request.set_database(Config.Database.Value);
  Request.set_target(A.Target.Value);
  Request.set_host(It->Host);
  Request.set_port(It->Port);
  Request.set_budget_us(absl::ToInt64Microseconds(A.Budget));
  if (this->Send(A.Peer, std::move(Message)))
    return;
  this->PendingPeerProbes.erase(Id);
  this->handleEvent(Config.Database, [&](Monitor &M) {
    return M.onPeerProbe(A.ProbeId, false, Term(), this->InLoop.now());
  });
}

// Logs and counts a step of a primary change.
void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, StepAction &A) {
  StepNames Names = namesOf(A.Kind);
  this->Counters.add(Names.CounterName);
  LogLevel Level = A.Kind == Step::Abandoned ? LogLevel::Warn : LogLevel::Info;
  LogEvent Event(Level, Names.EventName);
  Event.kv("database", Monitored->GroupMonitor.config().Database.Value)
      .kv("term", A.InTerm.Value)
      .kv("server", A.Server.Value)
      .kv("cause", A.Cause)
      .kv("elapsed_ms", absl::ToInt64Milliseconds(A.Elapsed));
  if (!A.Observer.Value.empty())
    Event.kv("observer", A.Observer.Value);
}

void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, ConfirmedAction &A) {
  auto Node = Monitored->ConfirmCallbacks.extract(A.Ticket);
  if (Node)
    Node.mapped()(A.Result);
}

void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, VerifiedAction &A) {
  auto Node = Monitored->VerifyCallbacks.extract(A.Ticket);
  if (Node)
    Node.mapped()(A.At);
}

void GroupService::Impl::perform(const MonitoredGroupPtr &Monitored, ChangedAction &) {
  for (const auto &Listener : this->Listeners)
    Listener(Monitored->GroupMonitor.state());
}

// Probes a target once for another instance, over a new connection. Ignores the request while the
// maximum number of such probes is running.
void GroupService::Impl::onProbeRequest(const InstanceId &From,
                                        const proto::ProbeRequest &Request) {
  if (this->ProbesForPeers.size() >= MaxObserverProbes)
    return;
  uint64_t Id = this->NextProbeForPeer++;
  auto Probe = std::make_shared<Channel>(
      this->InLoop, this->channelOptions(Request.host(), static_cast<uint16_t>(Request.port()),
                                         DatabaseName(Request.database())));
  this->ProbesForPeers[Id] = Probe;
  Call StatusCall;
  StatusCall.Timeout = absl::Microseconds(Request.budget_us()) * ObserverProbeShare;
  Probe->start(StatusCall, [this, Id, From, ProbeId = Request.probe_id()](const Answer &Result) {
    proto::Envelope Message;
    Message.set_from(this->Options.Self.Value);
    Message.set_incarnation(this->Options.Incarnation);
    proto::ProbeReply &Reply = *Message.mutable_probe_reply();
    Reply.set_probe_id(ProbeId);
    Reply.set_reachable(Result.Row.has_value());
    Reply.set_accepted_term(Result.Row ? Result.Row->Accepted.Value : 0);
    this->Send(From, std::move(Message));
    this->ProbesForPeers.erase(Id);
  });
}

// Passes the reply of another instance to the monitor that asked for the probe.
void GroupService::Impl::onProbeReply(const proto::ProbeReply &Reply) {
  auto Node = this->PendingPeerProbes.extract(Reply.probe_id());
  if (!Node)
    return;
  this->handleEvent(Node.mapped().Database, [&](Monitor &M) {
    return M.onPeerProbe(Node.mapped().ProbeId, Reply.reachable(), Term(Reply.accepted_term()),
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
  for (const auto &[Database, Monitored] : this->State->Groups)
    Names.push_back(Database);
  for (const member::Group &G : this->State->View->Groups)
    if (this->State->owns(G.Name) && !this->State->Groups.contains(G.Name))
      Names.push_back(G.Name);
  for (const DatabaseName &Database : Names)
    this->State->updateMonitor(Database);
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

void GroupService::setInUse(const DatabaseName &Database, bool InUse) {
  bool WasInUse = this->State->DatabasesInUse.contains(Database);
  if (InUse == WasInUse)
    return;
  if (InUse)
    this->State->DatabasesInUse[Database] = true;
  else
    this->State->DatabasesInUse.erase(Database);
  this->State->updateMonitor(Database);
}

void GroupService::setPrimaryUse(const DatabaseName &Database, PrimaryUse Use) {
  this->State->handleEvent(
      Database, [&](Monitor &M) { return M.setPrimaryUse(Use, this->State->InLoop.now()); });
}

const GroupState *GroupService::state(const DatabaseName &Database) const {
  const Impl::MonitoredGroup *Monitored = this->State->findMonitored(Database);
  return Monitored ? &Monitored->GroupMonitor.state() : nullptr;
}

void GroupService::confirm(const DatabaseName &Database, LogPosition At, Instant Deadline,
                           std::function<void(ConfirmResult)> Then) {
  Impl::MonitoredGroup *Monitored = this->State->findMonitored(Database);
  if (!Monitored) {
    Then(ConfirmResult::DeadlineExceeded);
    return;
  }
  uint64_t Ticket = Monitored->NextTicket++;
  Monitored->ConfirmCallbacks[Ticket] = std::move(Then);
  this->State->handleEvent(Database, [&](Monitor &M) {
    return M.confirm(Ticket, At, Deadline, this->State->InLoop.now());
  });
}

void GroupService::verify(const DatabaseName &Database, Instant Deadline,
                          std::function<void(std::optional<LogPosition>)> Then) {
  Impl::MonitoredGroup *Monitored = this->State->findMonitored(Database);
  if (!Monitored) {
    Then(std::nullopt);
    return;
  }
  uint64_t Ticket = Monitored->NextTicket++;
  Monitored->VerifyCallbacks[Ticket] = std::move(Then);
  this->State->handleEvent(
      Database, [&](Monitor &M) { return M.verify(Ticket, Deadline, this->State->InLoop.now()); });
}

} // namespace toucan::group
