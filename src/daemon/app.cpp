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
constexpr absl::Duration DrainPollInterval = absl::Milliseconds(20);
// Time within which all other instances learn that this instance no longer owns databases. Its pool
// accepts their requests until then.
constexpr absl::Duration OwnershipNoticePeriod = absl::Seconds(2);

// An event loop and the thread that runs it.
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
  // Runs F in the loop's thread and waits until it returns.
  template <class Fn> void runAndWait(Fn F) {
    // A std::promise, because the thread sanitizer does not track absl::Notification.
    std::promise<void> Done;
    this->L.post([&] {
      F();
      Done.set_value();
    });
    Done.get_future().wait();
  }
};

// Returns the answer to a request that was not sent, so it can't have run.
proto::Envelope notSentReply(uint64_t RequestId) {
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
  Instant StartTime = monotonicNow();

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
  // The views last published to the entry loop and to the pool loop. Each is used in its loop only.
  member::ViewPtr EntryView = std::make_shared<member::View>();
  member::ViewPtr PoolView = std::make_shared<member::View>();

  explicit Impl(DaemonOptions O) : Options(std::move(O)) {}

  Result<Ports> start();
  void makeServices();
  void makeControlService();
  void makePlatformThread();
  void stopThreads();
  bool shutDown();

  bool sendTo(const member::View &View, const InstanceId &To, proto::Envelope Message);
  void postToEntry(const InstanceId &From, proto::Envelope Message);
  void postToPool(const InstanceId &From, proto::Envelope Message);
  void route(const InstanceId &From, proto::Envelope Message);
  void onPeerLost(const InstanceId &Peer);
  void publishView(const member::ViewPtr &View);
  void onGroup(const group::GroupState &State);
  void onAdminRequest(const proto::Envelope &Request,
                      const std::function<void(proto::Envelope)> &Reply);
  void replyWithStatus(const std::function<void(proto::Envelope)> &Reply);
  void replyWithTargets(const std::function<void(proto::Envelope)> &Reply);
  void replyWithSessions(const std::function<void(proto::Envelope)> &Reply);
};

Result<Ports> App::Impl::start() {
  this->makeServices();
  BOOST_LEAF_CHECK(this->Entry->listen());
  BOOST_LEAF_CHECK(this->Link->bind());
  this->Http = std::make_unique<HttpServer>(this->Counters, this->Ready);
  BOOST_LEAF_CHECK(this->Http->start(this->Options.HttpHost, this->Options.HttpPort));
  this->makeControlService();
  this->makePlatformThread();
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
    return this->sendTo(*this->EntryView, To, std::move(Message));
  };
  member::SendFn PoolSend = [this](const InstanceId &To, proto::Envelope Message) {
    return this->sendTo(*this->PoolView, To, std::move(Message));
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
            this->onAdminRequest(Request, Reply);
          },
      .OnPeerLost = [this](const InstanceId &Peer) { this->onPeerLost(Peer); }};
  this->Link = std::make_unique<link::LinkService>(this->LinkLoop.L, this->Options.Link,
                                                   std::move(Handlers), this->Counters);
}

void App::Impl::makeControlService() {
  ControlOptions O = {.Self = this->Options.Self,
                      .Incarnation = this->Options.Incarnation,
                      .At = this->Options.At,
                      .LinkEndpoint =
                          absl::StrFormat("%s:%d", this->Options.LinkHost, this->Link->port())};
  this->Control = std::make_unique<ControlService>(
      this->LinkLoop.L, std::move(O), *this->Link,
      [this](const member::ViewPtr &View) { this->publishView(View); }, this->Counters);
}

void App::Impl::makePlatformThread() {
  PlatformHandlers Handlers = {
      .OnDirectory =
          [this](platform::Directory Read) {
            this->LinkLoop.L.post([this, Read = std::move(Read)] {
              this->Control->onDirectory(Read);
              this->Platform->setInterval(this->Control->storeReadInterval());
            });
          },
      .OnRules =
          [this](platform::Row Read) {
            this->LinkLoop.L.post(
                [this, Read = std::move(Read)] { this->Control->onRulesRow(Read); });
          }};
  this->Platform =
      std::make_unique<PlatformThread>(this->Options.Platform, std::move(Handlers), this->Counters);
}

// Sends a message to a service of this instance, or over the link to another instance. View is the
// view of the calling loop. Returns false if the view has no member To.
bool App::Impl::sendTo(const member::View &View, const InstanceId &To, proto::Envelope Message) {
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
      this->postToEntry(To, notSentReply(RequestId));
  });
  return true;
}

void App::Impl::postToEntry(const InstanceId &From, proto::Envelope Message) {
  this->EntryLoop.L.post([this, From, Message = std::move(Message)]() mutable {
    this->Entry->onEnvelope(From, std::move(Message));
  });
}

void App::Impl::postToPool(const InstanceId &From, proto::Envelope Message) {
  this->PoolLoop.L.post([this, From, Message = std::move(Message)]() mutable {
    if (Message.has_probe_request() || Message.has_probe_reply())
      this->Groups->onEnvelope(From, Message);
    else
      this->Pool->onEnvelope(From, std::move(Message));
  });
}

// Passes a message to the service that handles it, and drops a message for another incarnation.
// Callable from any loop, except for control messages, which must come from the link loop.
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
    this->postToPool(From, std::move(Message));
    return;
  case proto::Envelope::kChunk:
  case proto::Envelope::kDone:
  case proto::Envelope::kCancelCaller:
    this->postToEntry(From, std::move(Message));
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

void App::Impl::publishView(const member::ViewPtr &View) {
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
  bool CanServe = View->RulesKnown && Self != nullptr && Self->Status != member::State::Joining;
  Readiness Expected = CanServe ? Readiness::NotReady : Readiness::Ready;
  Readiness Desired = CanServe ? Readiness::Ready : Readiness::NotReady;
  this->Ready.compare_exchange_strong(Expected, Desired);
}

void App::Impl::onGroup(const group::GroupState &State) {
  this->Pool->onGroup(State);
  if (State.Primary)
    this->Platform->announcePrimary(State.Database, State.CurrentTerm, *State.Primary);
}

void App::Impl::onAdminRequest(const proto::Envelope &Request,
                               const std::function<void(proto::Envelope)> &Reply) {
  if (Request.has_status_request()) {
    this->replyWithStatus(Reply);
  } else if (Request.has_targets_request()) {
    this->replyWithTargets(Reply);
  } else if (Request.has_sessions_request()) {
    this->replyWithSessions(Reply);
  } else if (Request.has_drain_request()) {
    proto::Envelope Answer;
    Answer.mutable_drain_reply()->set_accepted(true);
    Reply(Answer);
    LogEvent(LogLevel::Info, "drain_requested").kv("by", "toucanctl");
    // The main thread waits for this signal and then shuts down, as after a signal from outside.
    kill(getpid(), SIGTERM);
  }
}

void App::Impl::replyWithStatus(const std::function<void(proto::Envelope)> &Reply) {
  this->EntryLoop.L.post([this, Reply] {
    uint64_t Callers = this->Entry->callers();
    this->LinkLoop.L.post([this, Reply, Callers] {
      proto::Envelope Answer;
      proto::StatusReply *S = Answer.mutable_status_reply();
      this->Control->fillStatus(*S);
      S->set_version(std::string(Version));
      S->set_callers(Callers);
      S->set_uptime_us(
          static_cast<uint64_t>(absl::ToInt64Microseconds(monotonicNow() - this->StartTime)));
      for (const auto &[Name, Value] : this->Counters.counters()) {
        proto::Counter *C = S->add_counters();
        C->set_name(Name);
        C->set_value(Value);
      }
      Reply(Answer);
    });
  });
}

void App::Impl::replyWithTargets(const std::function<void(proto::Envelope)> &Reply) {
  this->PoolLoop.L.post([this, Reply] {
    proto::Envelope Answer;
    *Answer.mutable_targets_reply() = this->Pool->targets();
    this->LinkLoop.L.post([Reply, Answer = std::move(Answer)] { Reply(Answer); });
  });
}

void App::Impl::replyWithSessions(const std::function<void(proto::Envelope)> &Reply) {
  this->EntryLoop.L.post([this, Reply] {
    proto::Envelope Answer;
    *Answer.mutable_sessions_reply() = this->Entry->sessions();
    this->LinkLoop.L.post([Reply, Answer = std::move(Answer)] { Reply(Answer); });
  });
}

bool App::Impl::shutDown() {
  this->Ready = Readiness::Draining;
  LogEvent(LogLevel::Info, "drain_started").kv("callers_accepted", true);
  this->LinkLoop.runAndWait([this] { this->Control->beginDrain(); });
  absl::SleepFor(this->Options.DrainNotice);
  Instant Deadline = monotonicNow() + this->Options.DrainTimeout;
  this->EntryLoop.runAndWait([&] { this->Entry->beginDrain(Deadline); });
  Instant PoolDrainStart = monotonicNow() + OwnershipNoticePeriod - this->Options.DrainNotice;
  bool PoolDrainStarted = false;
  bool Drained = false;
  while (!Drained && monotonicNow() < Deadline) {
    if (!PoolDrainStarted && monotonicNow() >= PoolDrainStart) {
      PoolDrainStarted = true;
      this->PoolLoop.runAndWait([&] { this->Pool->beginDrain(Deadline); });
    }
    absl::SleepFor(DrainPollInterval);
    bool EntryDrained = false;
    bool PoolDrained = false;
    this->EntryLoop.runAndWait([&] { EntryDrained = this->Entry->drained(); });
    this->PoolLoop.runAndWait([&] { PoolDrained = this->Pool->drained(); });
    // At the deadline the pool interrupts the requests that remain and then reports drained, so a
    // pool that is drained after the deadline doesn't count.
    Drained = PoolDrainStarted && EntryDrained && PoolDrained && monotonicNow() < Deadline;
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
  // Services unregister from their loops, so they are destroyed before the loops.
  S.Control.reset();
  S.Link.reset();
  S.Pool.reset();
  S.Groups.reset();
  S.Entry.reset();
}

Result<Ports> App::start() { return this->State->start(); }

bool App::shutDown() { return this->State->shutDown(); }

} // namespace toucan::daemon
