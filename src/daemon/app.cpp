#include "daemon/app.h"

#include "daemon/control.h"
#include "daemon/http.h"
#include "daemon/platform_thread.h"

#include "absl/strings/str_format.h"

#include <atomic>
#include <csignal>
#include <functional>
#include <future>
#include <thread>
#include <unistd.h>

namespace toucan::daemon {

namespace {

constexpr std::string_view Version = "0.1.0";
constexpr absl::Duration DrainPoll = absl::Milliseconds(20);
// Other instances learn within this time that this one owns nothing any more; until then its pool
// still accepts their requests.
constexpr absl::Duration OwnershipNotice = absl::Seconds(2);

// A loop with its thread.
struct LoopThread {
  Loop L;
  std::thread Thread;

  void start() {
    this->Thread = std::thread([this] { this->L.run(); });
  }
  void stop() {
    if (!this->Thread.joinable())
      return;
    this->L.stop();
    this->Thread.join();
  }
  // Runs Fn in the loop's thread and waits for it.
  template <class Fn> void call(Fn F) {
    // std::promise rather than absl::Notification, which the thread sanitizer does not see.
    std::promise<void> Done;
    this->L.post([&] {
      F();
      Done.set_value();
    });
    Done.get_future().wait();
  }
};

// The answer to a request that was certainly not sent.
proto::Envelope notSent(uint64_t RequestId) {
  proto::Envelope Message;
  proto::Done *D = Message.mutable_done();
  D->set_request_id(RequestId);
  D->set_verdict(proto::NOT_RUN);
  D->set_reason(static_cast<uint32_t>(Reason::LinkDown));
  D->set_tx_status('I');
  return Message;
}

} // namespace

struct App::Impl {
  DaemonOptions Options;
  Metrics Counters;
  std::atomic<Readiness> Ready{Readiness::NotReady};
  Instant Started = monotonicNow();

  LoopThread EntryLoop;
  LoopThread PoolLoop;
  LoopThread LinkLoop;
  std::unique_ptr<session::EntryService> Entry;
  std::unique_ptr<group::GroupService> Groups;
  std::unique_ptr<pool::PoolService> Pool;
  std::unique_ptr<link::LinkService> Link;
  std::unique_ptr<ControlService> Control;
  std::unique_ptr<PlatformThread> Platform;
  std::unique_ptr<HttpServer> Http;
  // Views as last handed to the entry and the pool loop, each used in its own loop only.
  member::ViewPtr EntryView = std::make_shared<member::View>();
  member::ViewPtr PoolView = std::make_shared<member::View>();

  explicit Impl(DaemonOptions O) : Options(std::move(O)) {}

  Result<Ports> start();
  void makeServices();
  void makeControl();
  void startPlatform();
  void stopThreads();
  bool shutDown();

  bool sendFrom(const member::View &View, const InstanceId &To, proto::Envelope Message);
  void toEntry(const InstanceId &From, proto::Envelope Message);
  void toPool(const InstanceId &From, proto::Envelope Message);
  void route(const InstanceId &From, proto::Envelope Message);
  void onPeerLost(const InstanceId &Peer);
  void publish(const member::ViewPtr &View);
  void onGroup(const group::GroupState &State);
  void admin(const proto::Envelope &Request, const std::function<void(proto::Envelope)> &Reply);
  void statusReply(const std::function<void(proto::Envelope)> &Reply);
  void targetsReply(const std::function<void(proto::Envelope)> &Reply);
  void sessionsReply(const std::function<void(proto::Envelope)> &Reply);
};

Result<Ports> App::Impl::start() {
  this->makeServices();
  BOOST_LEAF_CHECK(this->Entry->listen());
  BOOST_LEAF_CHECK(this->Link->bind());
  this->Http = std::make_unique<HttpServer>(this->Counters, this->Ready);
  BOOST_LEAF_CHECK(this->Http->start(this->Options.HttpHost, this->Options.HttpPort));
  this->makeControl();
  this->startPlatform();
  this->Control->start();
  this->EntryLoop.start();
  this->PoolLoop.start();
  this->LinkLoop.start();
  this->Platform->start();
  return Ports{
      .Listen = this->Entry->port(), .Link = this->Link->port(), .Http = this->Http->port()};
}

void App::Impl::makeServices() {
  member::SendFn EntrySend = [this](const InstanceId &To, proto::Envelope Message) {
    return this->sendFrom(*this->EntryView, To, std::move(Message));
  };
  member::SendFn PoolSend = [this](const InstanceId &To, proto::Envelope Message) {
    return this->sendFrom(*this->PoolView, To, std::move(Message));
  };
  this->Entry = std::make_unique<session::EntryService>(this->EntryLoop.L, this->Options.Entry,
                                                        EntrySend, this->Counters);
  this->Groups = std::make_unique<group::GroupService>(this->PoolLoop.L, this->Options.Group,
                                                       PoolSend, this->Counters);
  this->Pool = std::make_unique<pool::PoolService>(this->PoolLoop.L, this->Options.Pool, PoolSend,
                                                   *this->Groups, this->Counters);
  this->Groups->subscribe([this](const group::GroupState &State) { this->onGroup(State); });
  link::LinkHandlers Handlers = {
      .OnMessage = [this](const InstanceId &From,
                          proto::Envelope Message) { this->route(From, std::move(Message)); },
      .OnAdmin =
          [this](const proto::Envelope &Request,
                 const std::function<void(proto::Envelope)> &Reply) {
            this->admin(Request, Reply);
          },
      .OnPeerLost = [this](const InstanceId &Peer) { this->onPeerLost(Peer); }};
  this->Link = std::make_unique<link::LinkService>(this->LinkLoop.L, this->Options.Link,
                                                   std::move(Handlers), this->Counters);
}

void App::Impl::makeControl() {
  ControlOptions O = {.Self = this->Options.Self,
                      .Incarnation = this->Options.Incarnation,
                      .At = this->Options.At,
                      .LinkEndpoint =
                          absl::StrFormat("%s:%d", this->Options.LinkHost, this->Link->port())};
  this->Control = std::make_unique<ControlService>(
      this->LinkLoop.L, std::move(O), *this->Link,
      [this](const member::ViewPtr &View) { this->publish(View); }, this->Counters);
}

void App::Impl::startPlatform() {
  PlatformHandlers Handlers = {.OnDirectory =
                                   [this](platform::Directory Read) {
                                     this->LinkLoop.L.post([this, Read = std::move(Read)] {
                                       this->Control->onDirectory(Read);
                                       this->Platform->setInterval(this->Control->storeInterval());
                                     });
                                   },
                               .OnRules =
                                   [this](platform::Row Read) {
                                     this->LinkLoop.L.post([this, Read = std::move(Read)] {
                                       this->Control->onRulesRow(Read);
                                     });
                                   }};
  this->Platform =
      std::make_unique<PlatformThread>(this->Options.Platform, std::move(Handlers), this->Counters);
}

// Sends to this instance's own duty, or over the link. View is that of the calling loop.
bool App::Impl::sendFrom(const member::View &View, const InstanceId &To, proto::Envelope Message) {
  if (To == this->Options.Self) {
    Message.set_from(To.Value);
    Message.set_incarnation(this->Options.Incarnation);
    this->route(To, std::move(Message));
    return true;
  }
  if (!View.findMember(To))
    return false;
  this->LinkLoop.L.post([this, To, Message = std::move(Message)]() mutable {
    bool IsRequest = Message.has_exec();
    uint64_t RequestId = Message.exec().request_id();
    if (!this->Link->send(To, std::move(Message)) && IsRequest)
      this->toEntry(To, notSent(RequestId));
  });
  return true;
}

void App::Impl::toEntry(const InstanceId &From, proto::Envelope Message) {
  this->EntryLoop.L.post([this, From, Message = std::move(Message)]() mutable {
    this->Entry->onEnvelope(From, std::move(Message));
  });
}

void App::Impl::toPool(const InstanceId &From, proto::Envelope Message) {
  this->PoolLoop.L.post([this, From, Message = std::move(Message)]() mutable {
    if (Message.has_probe_request() || Message.has_probe_reply())
      this->Groups->onEnvelope(From, Message);
    else
      this->Pool->onEnvelope(From, std::move(Message));
  });
}

// Decides which duty a message is for. Callable from any loop, except for control messages, which
// only the link delivers.
void App::Impl::route(const InstanceId &From, proto::Envelope Message) {
  if (Message.to_incarnation() != 0 && Message.to_incarnation() != this->Options.Incarnation) {
    this->Counters.add("link_stale_total");
    return;
  }
  switch (Message.body_case()) {
  case proto::Envelope::kExec:
  case proto::Envelope::kCredit:
  case proto::Envelope::kCancel:
  case proto::Envelope::kRelease:
  case proto::Envelope::kProbeRequest:
  case proto::Envelope::kProbeReply:
    this->toPool(From, std::move(Message));
    return;
  case proto::Envelope::kChunk:
  case proto::Envelope::kDone:
  case proto::Envelope::kCancelCaller:
    this->toEntry(From, std::move(Message));
    return;
  case proto::Envelope::kHeartbeat:
  case proto::Envelope::kRulesFetch:
  case proto::Envelope::kRulesText:
    this->Control->onMessage(From, Message);
    return;
  default:
    this->Counters.add("link_unexpected_total");
  }
}

void App::Impl::onPeerLost(const InstanceId &Peer) {
  this->EntryLoop.L.post([this, Peer] { this->Entry->onPeerLost(Peer); });
  this->PoolLoop.L.post([this, Peer] { this->Pool->onPeerLost(Peer); });
}

void App::Impl::publish(const member::ViewPtr &View) {
  this->EntryLoop.L.post([this, View] {
    this->EntryView = View;
    this->Entry->onView(View);
  });
  this->PoolLoop.L.post([this, View] {
    this->PoolView = View;
    this->Groups->onView(View);
    this->Pool->onView(View);
  });
  const member::Member *Self = View->findMember(View->Self);
  bool Serves = View->RulesKnown && Self != nullptr && Self->Status != member::State::Joining;
  Readiness Expected = Serves ? Readiness::NotReady : Readiness::Ready;
  Readiness Wanted = Serves ? Readiness::Ready : Readiness::NotReady;
  this->Ready.compare_exchange_strong(Expected, Wanted);
}

void App::Impl::onGroup(const group::GroupState &State) {
  this->Pool->onGroup(State);
  if (State.Primary)
    this->Platform->announcePrimary(State.Database, State.CurrentTerm, *State.Primary);
}

void App::Impl::admin(const proto::Envelope &Request,
                      const std::function<void(proto::Envelope)> &Reply) {
  if (Request.has_status_request()) {
    this->statusReply(Reply);
  } else if (Request.has_targets_request()) {
    this->targetsReply(Reply);
  } else if (Request.has_sessions_request()) {
    this->sessionsReply(Reply);
  } else if (Request.has_drain_request()) {
    proto::Envelope Answer;
    Answer.mutable_drain_reply()->set_accepted(true);
    Reply(Answer);
    LogEvent(LogLevel::Info, "drain_requested").kv("by", "toucanctl");
    // The same way as a signal from outside: the main thread waits for it.
    kill(getpid(), SIGTERM);
  }
}

void App::Impl::statusReply(const std::function<void(proto::Envelope)> &Reply) {
  this->EntryLoop.L.post([this, Reply] {
    uint64_t Callers = this->Entry->callers();
    this->LinkLoop.L.post([this, Reply, Callers] {
      proto::Envelope Answer;
      proto::StatusReply *S = Answer.mutable_status_reply();
      this->Control->fillStatus(*S);
      S->set_version(std::string(Version));
      S->set_callers(Callers);
      S->set_uptime_us(
          static_cast<uint64_t>(absl::ToInt64Microseconds(monotonicNow() - this->Started)));
      for (const auto &[Name, Value] : this->Counters.counters()) {
        proto::Counter *C = S->add_counters();
        C->set_name(Name);
        C->set_value(Value);
      }
      Reply(Answer);
    });
  });
}

void App::Impl::targetsReply(const std::function<void(proto::Envelope)> &Reply) {
  this->PoolLoop.L.post([this, Reply] {
    proto::Envelope Answer;
    *Answer.mutable_targets_reply() = this->Pool->targets();
    this->LinkLoop.L.post([Reply, Answer = std::move(Answer)] { Reply(Answer); });
  });
}

void App::Impl::sessionsReply(const std::function<void(proto::Envelope)> &Reply) {
  this->EntryLoop.L.post([this, Reply] {
    proto::Envelope Answer;
    *Answer.mutable_sessions_reply() = this->Entry->sessions();
    this->LinkLoop.L.post([Reply, Answer = std::move(Answer)] { Reply(Answer); });
  });
}

bool App::Impl::shutDown() {
  this->Ready = Readiness::Draining;
  LogEvent(LogLevel::Info, "drain_started").kv("callers_accepted", true);
  this->LinkLoop.call([this] { this->Control->beginDrain(); });
  absl::SleepFor(this->Options.DrainNotice);
  Instant Deadline = monotonicNow() + this->Options.DrainTimeout;
  this->EntryLoop.call([&] { this->Entry->beginDrain(Deadline); });
  Instant PoolDrain = monotonicNow() + OwnershipNotice - this->Options.DrainNotice;
  bool PoolDraining = false;
  bool Drained = false;
  while (!Drained && monotonicNow() < Deadline) {
    if (!PoolDraining && monotonicNow() >= PoolDrain) {
      PoolDraining = true;
      this->PoolLoop.call([&] { this->Pool->beginDrain(Deadline); });
    }
    absl::SleepFor(DrainPoll);
    bool EntryDrained = false;
    bool PoolDrained = false;
    this->EntryLoop.call([&] { EntryDrained = this->Entry->drained(); });
    this->PoolLoop.call([&] { PoolDrained = this->Pool->drained(); });
    // At the deadline the pool interrupts what is left, and has nothing to do afterwards.
    Drained = PoolDraining && EntryDrained && PoolDrained && monotonicNow() < Deadline;
  }
  LogEvent(Drained ? LogLevel::Info : LogLevel::Warn, "drain_finished").kv("complete", Drained);
  this->stopThreads();
  return Drained;
}

void App::Impl::stopThreads() {
  if (this->Http)
    this->Http->stop();
  if (this->Platform)
    this->Platform->stop();
  this->EntryLoop.stop();
  this->PoolLoop.stop();
  this->LinkLoop.stop();
}

App::App(DaemonOptions Options) : State(std::make_unique<Impl>(std::move(Options))) {}

App::~App() {
  Impl &S = *this->State;
  S.stopThreads();
  // Services unregister from their loops, so they go before the loops.
  S.Control.reset();
  S.Link.reset();
  S.Pool.reset();
  S.Groups.reset();
  S.Entry.reset();
}

Result<Ports> App::start() { return this->State->start(); }

bool App::shutDown() { return this->State->shutDown(); }

} // namespace toucan::daemon
