// Message handling, admission and completion of requests.
#include "pool/service.h"

#include "absl/strings/str_format.h"

#include <algorithm>

namespace toucan::pool {

namespace {

constexpr absl::Duration MaintenanceInterval = absl::Seconds(1);
// Interval between two checks of a held request.
constexpr absl::Duration HeldRetryInterval = absl::Milliseconds(20);
// Delay before the primary's position is requested again after a failure, e.g. during a change of
// primary.
constexpr absl::Duration VerifyRetryInterval = absl::Milliseconds(100);
// Time that a target has to answer after a cancel before its connection is closed.
constexpr absl::Duration CancelAnswerTimeout = absl::Seconds(1);

proto::Envelope doneEnvelope(uint64_t RequestId, Verdict Outcome, Reason Why) {
  proto::Envelope E;
  proto::Done &D = *E.mutable_done();
  D.set_request_id(RequestId);
  D.set_verdict(static_cast<proto::Verdict>(Outcome));
  D.set_reason(static_cast<uint32_t>(Why));
  D.set_tx_status('I');
  return E;
}

// Returns the bits of a lease id that differ between incarnations of a daemon, so that a lease of
// an earlier incarnation is not mistaken for a current one.
uint64_t leaseIdBase(uint64_t Seed) { return (Seed * 0x9e3779b97f4a7c15U) & 0x7fffffff00000000U; }

} // namespace

PoolService::Impl::Impl(Loop &InLoop, PoolOptions Options, member::SendFn Send,
                        group::Watcher &Groups, Metrics &Counters)
    : InLoop(InLoop), Options(std::move(Options)), Send(std::move(Send)), Groups(Groups),
      Counters(Counters), Cancels(InLoop), NextLease(leaseIdBase(this->Options.Seed) + 1),
      SelfHandle(std::make_shared<Impl *>(this)) {
  this->Maintenance = InLoop.at(InLoop.now() + MaintenanceInterval, [this] { this->maintain(); });
}

PoolService::Impl::~Impl() {
  this->InLoop.cancel(this->Maintenance);
  this->InLoop.cancel(this->DrainTimer);
  for (auto &[Id, R] : this->Requests)
    this->InLoop.cancel(R->Timer);
  for (auto &[Id, L] : this->Leases)
    this->InLoop.cancel(L.Timer);
  for (auto &[Name, D] : this->Databases)
    this->InLoop.cancel(D->DispatchTimer);
}

DatabaseState *PoolService::Impl::database(const DatabaseName &Name) {
  auto It = this->Databases.find(Name);
  if (It != this->Databases.end())
    return It->second.get();
  const member::Group *G = this->View ? this->View->findGroup(Name) : nullptr;
  if (!G)
    return nullptr;
  DispatchOptions Dispatch{.QueueLimit = this->Options.QueueLimit,
                           .FloorWait = this->Options.FloorWait,
                           .IdleConnection = this->Options.IdleConnection,
                           .Seed = this->Options.Seed,
                           .Order = this->Options.Order};
  auto D = std::make_unique<DatabaseState>(*G, Dispatch);
  D->Dispatch.setGroup(*G);
  DatabaseState *Out = D.get();
  this->Databases[Name] = std::move(D);
  if (const group::GroupState *S = this->Groups.state(Name))
    this->onGroup(*S);
  return Out;
}

// Reports to the watcher whether requests need the state of the group. Otherwise an instance that
// has just lost ownership would serve its last requests with a stale group state.
void PoolService::Impl::reportInUse(DatabaseState &D, bool InUse) {
  if (D.ReportedInUse == InUse)
    return;
  D.ReportedInUse = InUse;
  this->Groups.setInUse(D.Group.Name, InUse);
  if (const group::GroupState *S = this->Groups.state(D.Group.Name))
    this->onGroup(*S);
  else
    D.Dispatch.setState(nullptr);
}

// True if requests, leases or recent use still need the group state of a database.
bool PoolService::Impl::inUse(const DatabaseState &D) const {
  auto BelongsToDatabase = [&](const auto &Item) { return Item.second->Database == &D; };
  if (this->InLoop.now() - D.LastRequest < this->Options.IdleConnection ||
      std::any_of(this->Requests.begin(), this->Requests.end(), BelongsToDatabase))
    return true;
  return std::any_of(this->Leases.begin(), this->Leases.end(), [&](const auto &Item) {
    return Item.second.Conn->options().Database == D.Group.Name;
  });
}

void PoolService::Impl::onView(member::ViewPtr New) {
  this->View = std::move(New);
  for (auto &[Name, D] : this->Databases) {
    member::Group RemovedGroup{.Name = Name};
    const member::Group *G = this->View->findGroup(Name);
    D->Group = G ? *G : RemovedGroup;
    D->Dispatch.setGroup(D->Group);
    this->runDispatcher(*D);
  }
}

Request *PoolService::Impl::find(const InstanceId &From, uint64_t RequestId) {
  auto It = this->ByCaller.find({From, RequestId});
  return It == this->ByCaller.end() ? nullptr : this->find(It->second);
}

Request *PoolService::Impl::find(PoolRequestId Id) {
  auto It = this->Requests.find(Id);
  return It == this->Requests.end() ? nullptr : It->second.get();
}

void PoolService::Impl::onEnvelope(const InstanceId &From, proto::Envelope Message) {
  switch (Message.body_case()) {
  case proto::Envelope::kExec:
    this->onExec(From, Message.incarnation(), std::move(*Message.mutable_exec()));
    return;
  case proto::Envelope::kCredit:
    this->onCredit(From, Message.credit());
    return;
  case proto::Envelope::kCancel:
    this->onCancel(From, Message.cancel().request_id());
    return;
  case proto::Envelope::kRelease:
    this->onRelease(From, LeaseId(Message.release().lease()));
    return;
  default:
    LogEvent(LogLevel::Warn, "pool_unexpected_message").kv("from", From.Value);
  }
}

// Returns the reason to refuse a request without parsing its frames; None if there is none.
Reason PoolService::Impl::admissionProblem(const InstanceId &From,
                                           const proto::ExecRequest &Exec) const {
  if (Exec.lease() != 0) {
    auto It = this->Leases.find(LeaseId(Exec.lease()));
    if (It == this->Leases.end() || It->second.Holder != From ||
        It->second.Session != Exec.session_id())
      return Reason::LeaseUnknown;
    return It->second.Conn->Request.Value != 0 ? Reason::ProtocolViolation : Reason::None;
  }
  if (this->Draining)
    return Reason::Draining;
  if (!this->View || !this->View->RulesKnown)
    return Reason::RulesUnknown;
  if (!this->View->findGroup(DatabaseName(Exec.database())))
    return Reason::UnknownDatabase;
  return Reason::None;
}

void PoolService::Impl::onExec(const InstanceId &From, uint64_t Incarnation,
                               proto::ExecRequest Exec) {
  if (Request *Old = this->find(From, Exec.request_id())) {
    if (Old->Incarnation == Incarnation) {
      LogEvent(LogLevel::Warn, "pool_duplicate_request")
          .kv("from", From.Value)
          .kv("request", Exec.request_id());
      return;
    }
    this->abandon(*Old); // sent by an earlier incarnation of the sender
  }
  this->Counters.add("pool_requests_total");
  this->Budget.onRequest();
  Reason Problem = this->admissionProblem(From, Exec);
  std::set<uint32_t> Hidden(Exec.hidden().begin(), Exec.hidden().end());
  auto Plan = planReplies(Exec.frames(), Hidden);
  bool BadKey = Exec.request_key().find('\0') != std::string::npos;
  if (Problem == Reason::None && (!Plan || BadKey))
    Problem = Reason::ProtocolViolation;
  if (Problem != Reason::None) {
    this->refuse(From, Incarnation, Exec, Problem);
    return;
  }
  Instant Now = this->InLoop.now();
  auto New = std::make_unique<Request>();
  Request &R = *New;
  R.Id = PoolRequestId(this->NextRequestId++);
  R.From = From;
  R.Incarnation = Incarnation;
  R.Plan = std::move(*Plan);
  R.Arrived = Now;
  R.Deadline = Now + absl::Microseconds(Exec.budget_us());
  R.Database = this->database(DatabaseName(Exec.database()));
  R.Exec = std::move(Exec);
  R.Database->LastRequest = Now;
  this->reportInUse(*R.Database, true);
  // A request that opens a transaction and runs other statements cannot be recorded, because the id
  // would have to be inserted between its statements.
  bool Recorded = R.Exec.once() && !R.Exec.request_key().empty() && executes(R.Plan) &&
                  (R.Exec.lease() != 0 || R.Exec.kind() == proto::WRITE);
  KeyedMode Mode = R.Exec.lease() != 0 ? KeyedMode::OpenTransaction : KeyedMode::OwnTransaction;
  if (Recorded)
    R.Keyed = std::make_unique<KeyedRequest>(Mode, R.Exec.request_key(), R.Exec.frames(), R.Plan);
  this->ByCaller[{From, R.Exec.request_id()}] = R.Id;
  this->Requests[R.Id] = std::move(New);
  if (R.Exec.verify_floor() && R.Exec.lease() == 0 && this->redirectsToObserver(*R.Database))
    this->fail(R, Reason::PrimaryNotReached, Verdict::NotRun);
  else if (R.Exec.verify_floor() && R.Exec.lease() == 0)
    this->verify(R);
  else
    this->enqueue(R);
}

void PoolService::Impl::verify(Request &R) {
  R.CurrentStage = Stage::Verifying;
  this->Groups.verify(
      R.Database->Group.Name, R.Deadline,
      [Weak = std::weak_ptr(this->SelfHandle), Id = R.Id](std::optional<LogPosition> P) {
        if (auto Self = Weak.lock())
          (*Self)->onVerified(Id, P);
      });
}

// Uses the verified position as the floor. Without a position, retries until the deadline.
void PoolService::Impl::onVerified(PoolRequestId Id, std::optional<LogPosition> Floor) {
  Request *R = this->find(Id);
  if (!R || R->CurrentStage != Stage::Verifying)
    return;
  if (Floor) {
    R->Exec.mutable_floor()->set_term(Floor->InTerm.Value);
    R->Exec.mutable_floor()->set_position(Floor->Position);
    this->enqueue(*R);
    return;
  }
  Instant RetryAt = this->InLoop.now() + VerifyRetryInterval;
  if (RetryAt >= R->Deadline) {
    this->fail(*R, Reason::FloorUnreachable, Verdict::NotRun);
    return;
  }
  R->Timer = this->InLoop.at(RetryAt, [this, Id] {
    if (Request *R = this->find(Id))
      this->verify(*R);
  });
}

// Returns the work class set by a rule, or else the one derived from past run times.
rules::WorkClass PoolService::Impl::classOf(const Request &R) {
  if (R.Exec.work_class() == proto::LONG)
    return rules::WorkClass::Long;
  if (!this->Options.LearnWorkClass || !R.learnsWorkClass())
    return rules::WorkClass::Short;
  return R.Database->StatementRunTimes.classOf(R.Exec.fingerprint());
}

DispatchRequest PoolService::Impl::dispatchRequestOf(const Request &R) const {
  DispatchRequest T{.Id = R.Id,
                    .Class = R.Class,
                    .FairnessKey = R.Exec.fairness_key(),
                    .ReplicaAllowed = R.isRead() && R.Exec.max_age_us() > 0 && R.Exec.lease() == 0,
                    .MaxAge = absl::Microseconds(R.Exec.max_age_us()),
                    .Floor = {Term(R.Exec.floor().term()), R.Exec.floor().position()},
                    .Arrived = R.Arrived,
                    .Deadline = R.Deadline};
  if (R.Exec.lease() != 0)
    T.Pinned = this->Leases.find(LeaseId(R.Exec.lease()))->second.Conn->options().Target;
  return T;
}

// Holds a request that would open a transaction on a leaving primary until the primary has changed.
// The change waits for the transactions that are already open.
void PoolService::Impl::hold(Request &R) {
  R.CurrentStage = Stage::Held;
  Instant RetryAt = this->InLoop.now() + HeldRetryInterval;
  if (RetryAt >= R.Deadline) {
    this->fail(R, Reason::QueueDeadline, Verdict::NotRun);
    return;
  }
  R.Timer = this->InLoop.at(RetryAt, [this, Id = R.Id] {
    if (Request *R = this->find(Id))
      this->enqueue(*R);
  });
}

group::PrimaryUse PoolService::Impl::primaryUse(const DatabaseState &D) const {
  if (!D.Primary || !D.Dispatch.isLeaving(*D.Primary))
    return group::PrimaryUse::None;
  auto Open = [&](const auto &Item) {
    const ConnectionOptions &LeaseTarget = Item.second.Conn->options();
    return LeaseTarget.Database == D.Group.Name && LeaseTarget.Target == *D.Primary;
  };
  if (std::any_of(this->Leases.begin(), this->Leases.end(), Open))
    return group::PrimaryUse::Transactions;
  bool Running = std::any_of(this->Requests.begin(), this->Requests.end(), [&](const auto &Item) {
    const Request &R = *Item.second;
    return R.Database == &D && R.Target == *D.Primary &&
           (R.Conn || R.CurrentStage == Stage::Confirming);
  });
  return Running ? group::PrimaryUse::Requests : group::PrimaryUse::None;
}

// Reports to the watcher what kind of work still needs a leaving primary.
void PoolService::Impl::reportUse(DatabaseState &D) {
  group::PrimaryUse Use = this->primaryUse(D);
  if (Use == D.ReportedUse)
    return;
  D.ReportedUse = Use;
  this->Groups.setPrimaryUse(D.Group.Name, Use);
}

// True if requests that need the primary are redirected to an instance that reaches it.
bool PoolService::Impl::redirectsToObserver(const DatabaseState &D) const {
  return D.RedirectTo && this->InLoop.now() < D.RedirectTo->ValidUntil;
}

// Refuses requests that wait for the position of the primary while another instance reaches it.
void PoolService::Impl::refuseVerifying(DatabaseState &D) {
  if (!this->redirectsToObserver(D))
    return;
  std::vector<PoolRequestId> Waiting;
  for (auto &[Id, R] : this->Requests)
    if (R->Database == &D && R->CurrentStage == Stage::Verifying)
      Waiting.push_back(Id);
  for (PoolRequestId Id : Waiting)
    if (Request *R = this->find(Id))
      this->fail(*R, Reason::PrimaryNotReached, Verdict::NotRun);
}

void PoolService::Impl::enqueue(Request &R) {
  if (R.Database->PrimaryIsDraining && !this->redirectsToObserver(*R.Database) &&
      R.Exec.kind() == proto::TRANSACTION && R.Exec.lease() == 0) {
    this->hold(R);
    return;
  }
  if (R.Exec.lease() != 0) {
    auto It = this->Leases.find(LeaseId(R.Exec.lease()));
    this->InLoop.cancel(It->second.Timer);
    It->second.Conn->Request = R.Id;
  }
  R.CurrentStage = Stage::Queued;
  R.Class = this->classOf(R);
  if (R.Class == rules::WorkClass::Long && R.Exec.work_class() != proto::LONG)
    this->Counters.add("pool_requests_learned_long_total");
  DatabaseState &D = *R.Database;
  if (auto Refused = D.Dispatch.admit(this->dispatchRequestOf(R), this->InLoop.now())) {
    this->fail(R, Refused->Why, Verdict::NotRun, "", Refused->RetryAfter);
    return;
  }
  this->runDispatcher(D);
}

// Counts a refusal by the pool. The entry instance counts the refusals that callers see in
// refusals_total; the two differ by its retries.
void PoolService::Impl::countRefusal(Reason Why) {
  this->Counters.add(absl::StrFormat("pool_refusals_total{reason=\"%s\"}", reasonName(Why)));
}

// Adds the lease id and status of a transaction that is still open to the answer for its holder.
void PoolService::Impl::describeLease(uint64_t Id, const InstanceId &Holder, proto::Done &D) const {
  auto It = this->Leases.find(LeaseId(Id));
  if (It == this->Leases.end() || It->second.Holder != Holder)
    return;
  D.set_lease(Id);
  D.set_tx_status(static_cast<uint32_t>(It->second.Status));
}

void PoolService::Impl::refuse(const InstanceId &To, uint64_t Incarnation,
                               const proto::ExecRequest &Exec, Reason Why) {
  proto::Envelope E = doneEnvelope(Exec.request_id(), Verdict::NotRun, Why);
  E.set_to_incarnation(Incarnation);
  this->describeLease(Exec.lease(), To, *E.mutable_done());
  this->countRefusal(Why);
  LogEvent(LogLevel::Info, "pool_request_refused")
      .kv("database", Exec.database())
      .kv("from", To.Value)
      .kv("request", Exec.request_id())
      .kv("reason", reasonName(Why));
  this->Send(To, std::move(E));
}

void PoolService::Impl::fail(Request &R, Reason Why, Verdict Outcome, std::string Detail,
                             absl::Duration RetryAfter) {
  proto::Envelope E = doneEnvelope(R.Exec.request_id(), Outcome, Why);
  proto::Done &D = *E.mutable_done();
  D.set_retry_after_us(static_cast<uint64_t>(absl::ToInt64Microseconds(RetryAfter)));
  if (Why == Reason::PrimaryNotReached && R.Database->RedirectTo) {
    const group::Observer &By = *R.Database->RedirectTo;
    absl::Duration Valid = std::max(absl::ZeroDuration(), By.ValidUntil - this->InLoop.now());
    D.set_observer(By.Id.Value);
    D.set_observer_valid_us(static_cast<uint64_t>(absl::ToInt64Microseconds(Valid)));
  }
  D.set_target(R.Target.Value);
  D.set_chunks(R.Reply ? R.Reply->chunksSent() : 0);
  // A request that is refused before it runs does not end its transaction.
  uint64_t Open = Outcome == Verdict::NotRun ? R.Exec.lease() : R.Lease;
  this->describeLease(Open, R.From, D);
  this->countRefusal(Why);
  LogEvent(Outcome == Verdict::NotRun ? LogLevel::Info : LogLevel::Warn, "pool_request_failed")
      .kv("database", R.Exec.database())
      .kv("from", R.From.Value)
      .kv("request", R.Exec.request_id())
      .kv("reason", reasonName(Why))
      .kv("verdict", verdictName(Outcome))
      .kv("target", R.Target.Value)
      .kv("detail", Detail);
  D.set_detail(std::move(Detail));
  E.set_to_incarnation(R.Incarnation);
  InstanceId To = R.From;
  this->erase(R);
  this->Send(To, std::move(E));
}

// Removes a request. If it still has a connection, it is cancelled there and its answer is read and
// discarded. If it waits in a transaction, the transaction stays open.
void PoolService::Impl::erase(Request &R) {
  this->ByCaller.erase({R.From, R.Exec.request_id()});
  this->InLoop.cancel(R.Timer);
  if (R.Conn) {
    R.Abandoned = true;
    this->cancelAtTarget(*R.Conn);
    R.Timer = this->InLoop.at(this->InLoop.now() + CancelAnswerTimeout, [this, Id = R.Id] {
      Request *R = this->find(Id);
      if (R && R->Conn)
        this->closeConnection(*R->Conn, false, "no answer to a cancel");
    });
    this->advance(R.Id);
    return;
  }
  auto It = this->Leases.find(LeaseId(R.Exec.lease()));
  if (It != this->Leases.end() && It->second.Conn->Request == R.Id)
    this->startLeaseTimer(It->second);
  // The watcher may be waiting for this request. The report is posted, because the watcher may
  // change the primary immediately.
  if (R.Database->ReportedUse != group::PrimaryUse::None)
    this->InLoop.post([Weak = std::weak_ptr(this->SelfHandle), D = R.Database] {
      if (auto Self = Weak.lock())
        (*Self)->reportUse(*D);
    });
  this->Requests.erase(R.Id);
}

void PoolService::Impl::abandon(Request &R) {
  if (R.CurrentStage == Stage::Queued)
    R.Database->Dispatch.remove(R.Id);
  this->erase(R);
}

void PoolService::Impl::onCredit(const InstanceId &From, const proto::Credit &Message) {
  Request *R = this->find(From, Message.request_id());
  if (!R || !R->Reply)
    return;
  R->Reply->credit(Message.bytes());
  this->advance(R->Id);
}

// A waiting request is reported as not run. A running request is cancelled at the target, whose
// answer is still relayed.
void PoolService::Impl::onCancel(const InstanceId &From, uint64_t RequestId) {
  Request *R = this->find(From, RequestId);
  if (!R)
    return;
  switch (R->CurrentStage) {
  case Stage::Queued:
    R->Database->Dispatch.remove(R->Id);
    [[fallthrough]];
  case Stage::Verifying:
  case Stage::Held:
    this->fail(*R, Reason::Canceled, Verdict::NotRun);
    return;
  case Stage::Running:
    this->cancelAtTarget(*R->Conn);
    return;
  case Stage::Confirming:
    // The caller does not read the rest of the answer.
    if (!R->Reply->unconfirmed())
      this->fail(*R, Reason::AnswerIncomplete, Verdict::MayHaveRun, "canceled by the caller");
    return;
  }
}

void PoolService::Impl::onPeerLost(const InstanceId &Peer) {
  std::vector<PoolRequestId> Lost;
  for (auto &[Id, R] : this->Requests)
    if (R->From == Peer && !R->Abandoned)
      Lost.push_back(Id);
  for (PoolRequestId Id : Lost)
    if (Request *R = this->find(Id))
      this->abandon(*R);
  std::vector<LeaseId> Ended;
  for (auto &[Id, L] : this->Leases)
    if (L.Holder == Peer)
      Ended.push_back(Id);
  for (LeaseId Id : Ended)
    this->endLease(Id);
  if (!Lost.empty() || !Ended.empty())
    LogEvent(LogLevel::Warn, "pool_peer_lost")
        .kv("peer", Peer.Value)
        .kv("requests", Lost.size())
        .kv("leases", Ended.size());
}

void PoolService::Impl::beginDrain(Instant Deadline) {
  this->Draining = true;
  this->InLoop.cancel(this->DrainTimer);
  this->DrainTimer = this->InLoop.at(Deadline, [this] { this->endDrain(); });
}

// Ends the remaining work at the drain deadline: waiting requests are reported as not run,
// transactions are rolled back, and running requests have an unknown outcome.
void PoolService::Impl::endDrain() {
  std::vector<PoolRequestId> Remaining;
  for (auto &[Id, R] : this->Requests)
    if (!R->Abandoned)
      Remaining.push_back(Id);
  for (PoolRequestId Id : Remaining) {
    Request *R = this->find(Id);
    if (!R)
      continue;
    if (R->CurrentStage == Stage::Running || R->CurrentStage == Stage::Confirming) {
      this->fail(*R, Reason::RequestDeadline, Verdict::MayHaveRun, "shutdown");
      continue;
    }
    if (R->CurrentStage == Stage::Queued)
      R->Database->Dispatch.remove(Id);
    this->fail(*R, Reason::Draining, Verdict::NotRun);
  }
  while (!this->Leases.empty())
    this->endLease(this->Leases.begin()->first);
}

// Closes unused connections, reports databases that are no longer in use, and updates the gauges.
void PoolService::Impl::maintain() {
  Instant Now = this->InLoop.now();
  size_t Queued = 0;
  for (auto &[Name, D] : this->Databases) {
    Queued += D->Dispatch.queued();
    if (D->ReportedInUse && !this->inUse(*D))
      this->reportInUse(*D, false);
    std::vector<Connection *> Unused;
    for (Connection *C : D->Idle)
      if (Now - C->IdleSince > this->Options.IdleConnection ||
          D->Dispatch.isLeaving(C->options().Target))
        Unused.push_back(C);
    // Closing a connection runs the dispatcher, which may start a request on another one.
    for (Connection *C : Unused)
      if (std::find(D->Idle.begin(), D->Idle.end(), C) != D->Idle.end() &&
          D->Dispatch.isSurplus(C->options().Target, Now))
        this->closeConnection(*C, false, "idle");
    this->runDispatcher(*D);
  }
  this->Counters.set("pool_queued", static_cast<int64_t>(Queued));
  this->Counters.set("pool_requests_open", static_cast<int64_t>(this->Requests.size()));
  this->Counters.set("pool_connections", static_cast<int64_t>(this->Connections.size()));
  this->Counters.set("pool_leases", static_cast<int64_t>(this->Leases.size()));
  this->Maintenance = this->InLoop.at(Now + MaintenanceInterval, [this] { this->maintain(); });
}

PoolService::PoolService(Loop &InLoop, PoolOptions Options, member::SendFn Send,
                         group::Watcher &Groups, Metrics &Counters)
    : State(std::make_unique<Impl>(InLoop, std::move(Options), std::move(Send), Groups, Counters)) {
}

PoolService::~PoolService() = default;

void PoolService::onView(member::ViewPtr View) { this->State->onView(std::move(View)); }

void PoolService::onEnvelope(const InstanceId &From, proto::Envelope Message) {
  this->State->onEnvelope(From, std::move(Message));
}

void PoolService::onGroup(const group::GroupState &S) {
  if (this->State->database(S.Database))
    this->State->onGroup(S);
}

void PoolService::onPeerLost(const InstanceId &Peer) { this->State->onPeerLost(Peer); }

void PoolService::beginDrain(Instant Deadline) { this->State->beginDrain(Deadline); }

bool PoolService::drained() const {
  return this->State->Requests.empty() && this->State->Leases.empty();
}

proto::TargetsReply PoolService::targets() const { return this->State->targets(); }

} // namespace toucan::pool
