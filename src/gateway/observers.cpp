#include "gateway/observers.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

using promotion::Observation;

namespace {

// Instances asked for one target. If only a third of all reach it, one of these does in all but
// 0.2 % of the cases.
constexpr size_t MaxAsked = 16;
// A target that has owed an answer for longer than this is reported as not reached without asking
// it. A live one answers within a round trip between regions.
constexpr absl::Duration SilentAfter = absl::Milliseconds(300);
// Time that a target is given to answer an instance, also if the request allows more.
constexpr absl::Duration TargetAnswerTimeout = absl::Milliseconds(300);
// Delay before a target that was busy is asked again.
constexpr absl::Duration BusyRetryDelay = absl::Milliseconds(15);

// Whether a target is known not to answer this instance.
bool knownSilent(const promotion::PrimaryHealth &Health, Instant Now) {
  bool Unreachable = Health.FailedConnections > 0 && Health.LastAnswer < Health.UnreachableSince;
  return Unreachable || Now - Health.UnansweredSince >= SilentAfter;
}

} // namespace

LeaderObservers::LeaderObservers(Loop &InLoop, Codec &Protocol, Metrics &Counters, PeerLink &Peers,
                                 RouterLookup FindRouter, uint64_t Seed)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), Peers(Peers),
      FindRouter(std::move(FindRouter)), Random(Seed) {
  using Kind = PeerLink::Kind;
  Peers.handle(Kind::kLeaderRequest, [this](const InstanceId &From, const proto::Envelope &M) {
    this->onRequest(From, M.leader_request());
  });
  Peers.handle(Kind::kLeaderReply, [this](const InstanceId &From, const proto::Envelope &M) {
    this->onReply(From, M.leader_reply());
  });
}

void LeaderObservers::send(const InstanceId &To, const ServiceTarget &Of, Term StepDownBelow,
                           uint64_t Id, Instant Deadline) {
  proto::Envelope Message;
  proto::LeaderRequest &R = *Message.mutable_leader_request();
  R.set_request_id(Id);
  R.set_service(Of.Service.Value);
  R.set_target(Of.Target.Value);
  R.set_step_down_below(StepDownBelow.Value);
  R.set_budget_us(static_cast<uint64_t>(
      std::max<int64_t>(0, absl::ToInt64Microseconds(Deadline - this->InLoop.now()))));
  if (!this->Peers.send(To, std::move(Message)))
    this->InLoop.post([this, Id, To] { this->onAnswer(Id, To, {}); });
}

uint64_t LeaderObservers::await(const ServiceTarget &Of, size_t Answers, Instant Deadline,
                                Handler Done) {
  uint64_t Id = this->NextId++;
  this->Requests[Id] = {.Of = Of,
                        .Awaited = Answers,
                        .Done = std::move(Done),
                        .Timer = this->InLoop.at(Deadline, [this, Id] { this->finish(Id, {}); })};
  return Id;
}

void LeaderObservers::finish(uint64_t Id, const Observation &O) {
  auto It = this->Requests.find(Id);
  if (It == this->Requests.end())
    return;
  Request Ended = std::move(It->second);
  this->Requests.erase(It);
  this->InLoop.cancel(Ended.Timer);
  Ended.Done(O);
}

// The first instance that reaches the target decides.
void LeaderObservers::onAnswer(uint64_t Id, const InstanceId &From, const Observation &O) {
  auto It = this->Requests.find(Id);
  if (It == this->Requests.end())
    return;
  if (O.Reached)
    this->ObserverOf[It->second.Of.Target] = From;
  else if (--It->second.Awaited > 0)
    return;
  this->finish(Id, O);
}

// Asks this instance too: it reaches a primary whose writes stall.
void LeaderObservers::observe(const ServiceTarget &Of, Instant Deadline, Handler Done) {
  this->ObserverOf.erase(Of.Target);
  std::vector<InstanceId> Asked;
  std::sample(this->Peers.peers().begin(), this->Peers.peers().end(), std::back_inserter(Asked),
              MaxAsked, this->Random);
  uint64_t Id = this->await(Of, Asked.size() + 1, Deadline, std::move(Done));
  for (const InstanceId &Peer : Asked)
    this->send(Peer, Of, Term(), Id, Deadline);
  this->askTarget(Of, Term(), Deadline,
                  [this, Id](const Observation &O) { this->onAnswer(Id, this->Peers.self(), O); });
}

void LeaderObservers::stepDown(const ServiceTarget &Of, Term Below, Instant Deadline,
                               Handler Done) {
  auto It = this->ObserverOf.find(Of.Target);
  if (It == this->ObserverOf.end()) {
    Done({});
    return;
  }
  InstanceId Observer = It->second;
  uint64_t Id = this->await(Of, 1, Deadline, std::move(Done));
  if (Observer != this->Peers.self())
    this->send(Observer, Of, Below, Id, Deadline);
  else
    this->askTarget(Of, Below, Deadline, [this, Id](const Observation &O) {
      this->onAnswer(Id, this->Peers.self(), O);
    });
}

// Asks a target for its status, or to step down. A busy target is asked again until Deadline.
void LeaderObservers::askTarget(const ServiceTarget &Of, Term StepDownBelow, Instant Deadline,
                                const Handler &Done) {
  ServiceRouter *Router = this->FindRouter(Of.Service);
  TargetPool *Pool = Router ? Router->pool(Of.Target) : nullptr;
  Instant Now = this->InLoop.now();
  if (!Pool || knownSilent(Pool->health(), Now)) {
    Done({});
    return;
  }
  TargetRequest Request{.Command = StepDownBelow.Value > 0 ? TargetCommand::StepDown
                                                           : TargetCommand::Status,
                        .InTerm = StepDownBelow};
  Pool->command(Request, std::min(Deadline, Now + TargetAnswerTimeout),
                [this, Of, StepDownBelow, Deadline, Done](const Answer *Reply) {
                  Observation O{.Reached = Reply != nullptr};
                  if (Reply)
                    O.Status = this->Protocol.parseStatus(*Reply);
                  Instant RetryAt = this->InLoop.now() + BusyRetryDelay;
                  bool Again = O.Reached && !O.Status && StepDownBelow.Value > 0;
                  if (!Again || RetryAt >= Deadline) {
                    Done(O);
                    return;
                  }
                  this->InLoop.at(RetryAt, [this, Of, StepDownBelow, Deadline, Done] {
                    this->askTarget(Of, StepDownBelow, Deadline, Done);
                  });
                });
}

void LeaderObservers::onRequest(const InstanceId &From, const proto::LeaderRequest &R) {
  this->Counters.add("leader_requests_received");
  ServiceTarget Of{.Service = catalog::ServiceName(R.service()), .Target = TargetId(R.target())};
  Instant Deadline = this->InLoop.now() + std::min(absl::Microseconds(R.budget_us()),
                                                   TargetAnswerTimeout + TargetAnswerTimeout);
  this->askTarget(
      Of, Term(R.step_down_below()), Deadline,
      [this, From, Of, Id = R.request_id(), Below = R.step_down_below()](const Observation &O) {
        LogEvent(LogLevel::Info, "leader_request_answered")
            .kv("peer", From.Value)
            .kv("service", Of.Service.Value)
            .kv("target", Of.Target.Value)
            .kv("step_down_below", Below)
            .kv("reached", O.Reached)
            .kv("primary", O.Status && O.Status->Primary);
        proto::Envelope Message;
        proto::LeaderReply &Out = *Message.mutable_leader_reply();
        Out.set_request_id(Id);
        Out.set_reached(O.Reached);
        Out.set_known(O.Status.has_value());
        if (O.Status) {
          Out.set_primary(O.Status->Primary);
          Out.set_term(O.Status->CurrentTerm.Value);
          Out.set_pause_term(O.Status->PauseTerm.Value);
          Out.mutable_received()->set_term(O.Status->Received.InTerm.Value);
          Out.mutable_received()->set_position(O.Status->Received.Position);
        }
        if (!this->Peers.send(From, std::move(Message)))
          LogEvent(LogLevel::Info, "leader_reply_not_sent").kv("peer", From.Value);
      });
}

void LeaderObservers::onReply(const InstanceId &From, const proto::LeaderReply &R) {
  Observation O{.Reached = R.reached()};
  if (R.known())
    O.Status = TargetStatus{
        .Primary = R.primary(),
        .CurrentTerm = Term(R.term()),
        .Received = {.InTerm = Term(R.received().term()), .Position = R.received().position()},
        .PauseTerm = Term(R.pause_term())};
  this->onAnswer(R.request_id(), From, O);
}

} // namespace toucan::gateway
