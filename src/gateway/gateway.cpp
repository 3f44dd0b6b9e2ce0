#include "gateway/gateway.h"

#include "placement/rendezvous.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(50);
// A longer time between two ticks shows that the process was suspended or got no CPU time.
constexpr absl::Duration StallLimit = absl::Milliseconds(400);
// The load balancer probes readiness once a second and removes an instance after two failed probes.
constexpr absl::Duration BalancerNoticeDelay = absl::Milliseconds(2300);
// Running statements are answered as timed out this long before the end of the drain.
constexpr absl::Duration FinalAnswerMargin = absl::Milliseconds(250);
// Range of the per-instance delay of store writes that all instances would otherwise make at once.
constexpr uint64_t SaveJitterMs = 4000;
// Interval of the reads of the claims while a change of primary is under way.
constexpr absl::Duration ClaimCheckInterval = absl::Milliseconds(200);
// Time in which the first instance names other members, before the others try.
constexpr absl::Duration MemberTurnDelay = absl::Seconds(1);

} // namespace

Gateway::Gateway(Loop &InLoop, Codec &Protocol, Metrics &Counters, store::RowStore &Rows,
                 Promoter &Promotions, TargetReader &Reader, GatewayOptions Options)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), Options(std::move(Options)),
      Instances(InLoop, Rows, this->Options.Self), Peers(InLoop, Counters,
                                                         {.Self = this->Options.Self,
                                                          .Incarnation = this->Options.Incarnation,
                                                          .Host = this->Options.LinkHost,
                                                          .Port = this->Options.LinkPort}),
      RateEnv(InLoop, this->Peers), Limits(this->RateEnv, Rows, Counters, this->Options.RateBounds),
      Observers(
          InLoop, Protocol, Counters, this->Peers,
          [this](const catalog::ServiceName &Service) { return this->router(Service); },
          this->Options.Seed),
      Samples(
          Counters,
          {.Self = this->Options.Self,
           .Centre = this->Options.Location.Centre,
           .MilliCores = this->Options.MilliCores,
           .FirstRequest = this->Options.Incarnation},
          [this](const InstanceId &To, proto::Envelope Message) {
            return this->Peers.send(To, std::move(Message));
          },
          [this](const catalog::ServiceName &Service) { return this->router(Service); }),
      Groups(InLoop, Rows, absl::Milliseconds(this->Options.Seed % SaveJitterMs),
             this->Options.GroupGrowthDelay),
      Claims(Rows, this->Options.Self),
      ReadClaims(InLoop, this->Claims, [this] { return this->knownLeads(); }),
      Promotions(Promotions), Reader(Reader), LastTick(InLoop.now()),
      Callers({.InLoop = InLoop,
               .Protocol = Protocol,
               .Counters = Counters,
               .Host = *this,
               .Limits = this->Limits},
              {.Address = this->Options.CallerAddress,
               .MaxSessions = this->Options.MaxSessions,
               .MemoryLimitBytes = this->Options.MemoryLimitBytes,
               .Times = this->Options.Times}) {
  using Kind = PeerLink::Kind;
  for (Kind K : {Kind::kRateRequest, Kind::kRateGrant, Kind::kRateHolder})
    this->Peers.handle(K, [this](const InstanceId &From, const proto::Envelope &M) {
      this->Limits.onMessage(From, M);
    });
}

Result<void> Gateway::start() {
  this->ReadClaims.OnAnswer = [this](const ClaimReader::Answer &Read) { this->onClaims(Read); };
  BOOST_LEAF_CHECK(this->Callers.start());
  BOOST_LEAF_CHECK(this->Peers.start());
  this->Instances.OnAlive = [this](const std::map<InstanceId, InstanceAddress> &Alive) {
    this->Alive = Alive;
    for (auto &[Name, S] : this->Services) {
      S.Router->setLimits(S.Router->limits(), this->Instances.aliveCount());
      S.Router->setInstances(this->Options.Self, Alive);
    }
    this->updateConnectionMode();
    this->Peers.setPeers(Alive);
    this->Samples.setInstances(Alive);
    this->Limits.onInstances();
  };
  using Kind = PeerLink::Kind;
  this->Peers.handle(Kind::kSampleRequest,
                     [this](const InstanceId &From, const proto::Envelope &M) {
                       this->Samples.onRequest(From, M.sample_request(), monotonicNow());
                     });
  this->Peers.handle(Kind::kSampleReply, [this](const InstanceId &From, const proto::Envelope &M) {
    this->Samples.onReply(From, M.sample_reply(), monotonicNow());
  });
  this->Instances.start({.Endpoint = this->Peers.endpoint(),
                         .Incarnation = this->Peers.incarnation(),
                         .Centre = this->Options.Location.Centre,
                         .MilliCores = this->Options.MilliCores});
  this->Groups.start();
  this->tick();
  return {};
}

const catalog::Configuration *Gateway::configuration() const {
  return this->Routes.hasConfiguration() ? &this->Routes.current() : nullptr;
}

ServiceRouter *Gateway::router(const catalog::ServiceName &Service) {
  auto It = this->Services.find(Service);
  return It == this->Services.end() ? nullptr : It->second.Router.get();
}

Gateway::ServiceState &Gateway::service(const catalog::ServiceName &Name) {
  ServiceState &S = this->Services[Name];
  if (S.Router)
    return S;
  S.Router = std::make_unique<ServiceRouter>(this->InLoop, this->Protocol, this->Counters,
                                             this->Options.Location, Name,
                                             this->Options.Seed + this->Services.size());
  S.Router->setLeavingLimit(this->Options.LeavingLimit);
  S.Router->setInstances(this->Options.Self, this->Alive);
  if (this->Options.Spill)
    S.Router->setSpill(*this->Options.Spill);
  S.Router->commits().OnAwaitsSettled = [this] { this->checkClaims(); };
  S.Changes = std::make_unique<ChangeRunner>(
      ChangeDependencies{
          .InLoop = this->InLoop,
          .Protocol = this->Protocol,
          .Counters = this->Counters,
          .Claims = this->Claims,
          .Promotions = this->Promotions,
          .Observers = this->Observers,
          .Self = this->Options.Self,
          .StoreNowMs = [this] { return this->Instances.storeNowMs(); },
          .InstanceCount = [this] { return this->Instances.aliveCount(); },
          .TokensChecked = this->Options.TokensChecked,
          .ReadTargets =
              [this](const std::function<void(bool)> &Done) { this->readTargets(Done); }},
      *S.Router);
  S.Members = std::make_unique<MemberKeeper>(
      MemberDependencies{
          .InLoop = this->InLoop,
          .Protocol = this->Protocol,
          .Counters = this->Counters,
          .Claims = this->Claims,
          .Reader = this->ReadClaims,
          .StoreNowMs = [this] { return this->Instances.storeNowMs(); },
          .Delay = [this, Name] { return this->memberDelay(Name); },
          .ReadTargets = [this](const std::function<void(bool)> &Done) { this->readTargets(Done); },
          .ChangeRunning = [Changes = S.Changes.get()] { return Changes->running(); }},
      *S.Router);
  return S;
}

void Gateway::onConfiguration(catalog::Configuration New) {
  RulesVersion Version = New.Version;
  size_t Routes = New.Routes.size();
  size_t Accounts = New.Accounts.accounts().size();
  bool HadAccounts = this->Routes.hasConfiguration() && !this->Routes.current().Accounts.empty();
  if (!this->Routes.apply(std::move(New)))
    return;
  LogEvent(LogLevel::Info, "configuration_applied")
      .kv("version", Version.Value)
      .kv("routes", Routes)
      .kv("accounts", Accounts);
  if (HadAccounts && Accounts == 0)
    LogEvent(LogLevel::Warn, "keys_not_required").kv("version", Version.Value);
  this->Counters.set("configuration_version", static_cast<int64_t>(Version.Value));
  this->Counters.set("accounts", static_cast<int64_t>(Accounts));
  std::vector<std::shared_ptr<Session>> Sessions = this->Callers.sessions();
  for (const std::shared_ptr<Session> &S : Sessions)
    S->updateAccount();
  // After updateAccount(): statements of an account that has no limit any more are admitted here.
  this->applyRateLimits();
  for (const auto &[Name, Limits] : this->Routes.current().Services) {
    ServiceRouter &Router = *this->service(Name).Router;
    Router.setLimits(Limits, this->Instances.aliveCount());
    for (const catalog::TargetEntry *Entry : this->Targets.ofService(Name)) {
      if (!this->ServiceOf.try_emplace(Entry->Id, Name).second)
        continue;
      Router.addTarget(*Entry);
      this->updateListing(Entry->Id);
    }
    this->updateGroupSize(Name);
  }
  this->updateConnectionMode();
  for (const std::shared_ptr<Session> &S : Sessions)
    S->onConfiguration();
  this->updateReadiness();
}

void Gateway::applyRateLimits() {
  RateLimits::LimitMap New;
  for (const accounts::Account &A : this->Routes.current().Accounts.accounts())
    if (A.Limit)
      New[A.Name] = {.PerSecond = A.Limit->PerSecond, .Burst = A.Limit->Burst};
  this->Limits.setLimits(New);
}

void Gateway::onTarget(const catalog::Registration &R) {
  this->noteReadability(R);
  if (std::optional<catalog::TargetChange> Change =
          this->Targets.onRegistrationWritten(R, this->InLoop.now()))
    this->applyChange(*Change);
}

// Whether connections are scarce depends on the limits of a service and the live instances.
void Gateway::updateConnectionMode() {
  size_t Scarce = 0;
  size_t Retained = 0;
  for (const auto &[Name, S] : this->Services) {
    Scarce += S.Router->connectionsScarce() ? 1 : 0;
    Retained += S.Router->retainedTargets();
  }
  this->Counters.set("connections_scarce_services", static_cast<int64_t>(Scarce));
  this->Counters.set("connections_retained_targets", static_cast<int64_t>(Retained));
  if (Scarce == this->ScarceServices && Retained == this->RetainedTargets)
    return;
  this->ScarceServices = Scarce;
  this->RetainedTargets = Retained;
  LogEvent(LogLevel::Info, "connection_mode")
      .kv("services_scarce", Scarce)
      .kv("targets_retained", Retained)
      .kv("instances", this->Instances.aliveCount());
}

// Logs and counts an unreadable registration once, not at each of its writes.
void Gateway::noteReadability(const catalog::Registration &R) {
  if (R.Entry) {
    this->Unreadable.erase(R.Id);
    return;
  }
  std::string &Known = this->Unreadable[R.Id];
  if (Known == R.Problem)
    return;
  Known = R.Problem;
  this->Counters.add("targets_unreadable");
  LogEvent(LogLevel::Warn, "target_unreadable").kv("target", R.Id.Value).kv("cause", R.Problem);
}

void Gateway::onTargetVanished(const TargetId &Id) {
  this->Unreadable.erase(Id);
  LogEvent(LogLevel::Info, "target_vanished").kv("target", Id.Value);
  this->Targets.onRegistrationVanished(Id, this->InLoop.now());
  this->updateListing(Id);
}

void Gateway::onTargetList(const std::vector<catalog::Registration> &Registrations) {
  auto Former = std::exchange(this->Unreadable, {});
  for (const catalog::Registration &R : Registrations) {
    if (auto It = Former.find(R.Id); It != Former.end())
      this->Unreadable.insert(*It);
    this->noteReadability(R);
  }
  for (const catalog::TargetChange &Change :
       this->Targets.onFullList(Registrations, this->InLoop.now()))
    this->applyChange(Change);
  for (const auto &[Id, Service] : this->ServiceOf)
    this->updateListing(Id);
  this->TargetsKnown = true;
  this->updateReadiness();
}

void Gateway::applyChange(const catalog::TargetChange &Change) {
  using ChangeKind = catalog::TargetChange::ChangeKind;
  const catalog::TargetEntry *Entry = this->Targets.find(Change.Id);
  LogEvent(LogLevel::Info, "target_changed")
      .kv("target", Change.Id.Value)
      .kv("change", Change.Kind == ChangeKind::Added       ? "added"
                    : Change.Kind == ChangeKind::Changed   ? "changed"
                    : Change.Kind == ChangeKind::Restarted ? "restarted"
                                                           : "removed")
      .kv("service", Entry ? Entry->Service.Value : std::string())
      .kv("address", Entry ? Entry->Address : std::string())
      .kv("leaving", Entry && Entry->Leaving)
      .kv("primary", Entry && Entry->Primary);
  if (Change.Kind == ChangeKind::Removed || Change.Kind == ChangeKind::Restarted) {
    auto It = this->ServiceOf.find(Change.Id);
    if (It != this->ServiceOf.end()) {
      catalog::ServiceName Former = It->second;
      this->service(Former).Router->removeTarget(Change.Id);
      this->ServiceOf.erase(It);
      this->updateGroupSize(Former);
    }
  }
  // Connects only to targets of configured services.
  if (!Entry || !this->Routes.hasConfiguration() ||
      !this->Routes.current().Services.contains(Entry->Service))
    return;
  ServiceRouter &Router = *this->service(Entry->Service).Router;
  if (Change.Kind == ChangeKind::Changed && this->ServiceOf.contains(Change.Id)) {
    Router.changeTarget(*Entry);
  } else {
    this->ServiceOf[Change.Id] = Entry->Service;
    Router.addTarget(*Entry);
  }
  this->updateListing(Change.Id);
  this->updateGroupSize(Entry->Service);
}

// A target counts for the commits that it holds while it is listed and not leaving.
void Gateway::updateListing(const TargetId &Id) {
  auto Service = this->ServiceOf.find(Id);
  const catalog::TargetEntry *Entry = this->Targets.find(Id);
  if (Service == this->ServiceOf.end() || !Entry)
    return;
  this->service(Service->second)
      .Router->setKeepsCommits(Id, !Entry->Leaving && !this->Targets.registrationVanished(Id));
}

void Gateway::readTargets(const std::function<void(bool)> &Done) {
  this->Reader.readTargets(
      [this, Done](const std::optional<std::vector<catalog::Registration>> &Found) {
        if (Found)
          this->onTargetList(*Found);
        Done(Found.has_value());
      });
}

absl::Duration Gateway::memberDelay(const catalog::ServiceName &Service) const {
  double Own = placement::rendezvousRank(Service.Value, this->Options.Self.Value, 1);
  bool First = std::all_of(this->Alive.begin(), this->Alive.end(), [&](const auto &I) {
    return placement::rendezvousRank(Service.Value, I.first.Value, 1) >= Own;
  });
  if (First)
    return absl::ZeroDuration();
  return MemberTurnDelay + spreadDelay(this->Options.Self, Service, this->Instances.aliveCount());
}

// A service that never had a claim has no row, which names no members.
void Gateway::noteMembers(const promotion::ClaimTable &Found, Instant Asked) {
  for (auto &[Name, S] : this->Services) {
    auto Claim = Found.Claims.find(Name.Value);
    if (Claim == Found.Claims.end())
      S.Router->noteMembers({}, Asked);
    else if (Claim->second.Row)
      S.Router->noteMembers(Claim->second.Row->Members, Asked);
  }
}

// Reads the claims if a commit waits to learn that no change of primary is under way, or if a proof
// waits to learn who counts.
void Gateway::checkClaims() {
  Instant Now = this->InLoop.now();
  bool Awaited = std::any_of(this->Services.begin(), this->Services.end(), [](const auto &S) {
    ServiceRouter &Router = *S.second.Router;
    return Router.commits().awaitsSettled() ||
           (!Router.group().known() && (Router.commits().waiting() || Router.prover().waiting()));
  });
  if (!Awaited || this->CheckingClaims || Now < this->NextClaimCheck)
    return;
  this->CheckingClaims = true;
  this->NextClaimCheck = Now + ClaimCheckInterval;
  this->Counters.add("claims_read");
  this->ReadClaims.read(
      [this](const std::optional<ClaimReader::Answer> &) { this->CheckingClaims = false; });
}

ClaimReader::KnownLeads Gateway::knownLeads() const {
  ClaimReader::KnownLeads Out;
  for (const auto &[Name, S] : this->Services) {
    TargetPool *Leader = S.Router->primary();
    Out[Name] = {.NewestTerm = std::max(S.Router->newestTerm(), S.Router->lead().newestTerm()),
                 .Leader = Leader ? std::optional(Leader->entry().Id) : std::nullopt};
  }
  return Out;
}

void Gateway::onClaims(const ClaimReader::Answer &Read) {
  Instant Answered = monotonicNow();
  const promotion::ClaimTable &Found = Read.Claims;
  this->noteMembers(Found, Read.Asked);
  for (auto &[Name, S] : this->Services) {
    auto Known = Read.Leads.find(Name);
    if (Known == Read.Leads.end())
      continue;
    const promotion::KnownLead &Lead = Known->second;
    CommitProver &Commits = S.Router->commits();
    auto Claim = Found.Claims.find(Name.Value);
    promotion::ClaimState State = promotion::ClaimState::Settled;
    if (Claim != Found.Claims.end())
      State = Claim->second.Row ? promotion::claimState(*Claim->second.Row, Lead, Found.StoreNowMs)
                                : promotion::ClaimState::Abandoned;
    if (State == promotion::ClaimState::Settled)
      Commits.onSettled(Read.Asked, Answered, Lead.NewestTerm);
    else if (State == promotion::ClaimState::Abandoned && !S.Changes->running() &&
             Commits.awaitsSettled())
      this->endAbandonedClaim(Name, Claim->second);
  }
}

void Gateway::endAbandonedClaim(const catalog::ServiceName &Service,
                                const promotion::ClaimTable::Entry &Found) {
  this->Claims.endAbandoned(Service.Value, Found, this->Instances.storeNowMs(),
                            [Service](const promotion::ClaimResult &R) {
                              LogEvent(LogLevel::Info, "abandoned_claim_ended")
                                  .kv("service", Service.Value)
                                  .kv("done", R.Outcome == promotion::ClaimOutcome::Granted)
                                  .kv("detail", R.Detail);
                            });
}

// Counts the targets that are not leaving, because a leaving target is replaced by another one.
void Gateway::updateGroupSize(const catalog::ServiceName &Service) {
  uint32_t Count = 0;
  for (const catalog::TargetEntry *Entry : this->Targets.ofService(Service))
    if (!Entry->Leaving && !this->Targets.registrationVanished(Entry->Id))
      ++Count;
  this->Groups.onRegisteredCount(Service, Count);
}

ReadinessInputs Gateway::readinessInputs() const {
  ReadinessInputs Out{.ConfigurationKnown = this->Routes.hasConfiguration(),
                      .TargetsKnown = this->TargetsKnown,
                      .Draining = this->Draining};
  for (const auto &[Name, S] : this->Services)
    Out.WitnessesMissingSince =
        std::min(Out.WitnessesMissingSince, S.Router->prover().witnessesMissingSince());
  return Out;
}

bool Gateway::ready() const { return acceptsCallers(this->readinessInputs(), this->InLoop.now()); }

void Gateway::updateReadiness() {
  bool NowReady = this->ready();
  if (NowReady == this->Ready)
    return;
  this->Ready = NowReady;
  LogEvent(LogLevel::Info, NowReady ? "ready" : "not_ready")
      .kv("configuration_known", this->Routes.hasConfiguration())
      .kv("targets_known", this->TargetsKnown)
      .kv("draining", this->Draining)
      .kv("cut_off_with_primary", cutOffWithPrimary(this->readinessInputs(), this->InLoop.now()));
  if (this->OnReadinessChange)
    this->OnReadinessChange(NowReady);
}

void Gateway::tickSamples(Instant Now) {
  if (!this->Peers.enabled())
    return;
  SharedSamples::Sources All;
  for (auto &[Name, S] : this->Services)
    All.emplace_back(Name, S.Router.get());
  this->Samples.tick(All, Now);
}

void Gateway::tick() {
  Instant Now = this->InLoop.now();
  if (Now - this->LastTick > StallLimit) {
    LogEvent(LogLevel::Warn, "process_stalled")
        .kv("stalled_ms", absl::ToInt64Milliseconds(Now - this->LastTick));
    for (auto &[Name, S] : this->Services)
      S.Changes->onStall();
    this->Callers.postpone(Now - this->LastTick);
  }
  this->LastTick = Now;
  for (const catalog::TargetChange &Change : this->Targets.expire(Now))
    this->applyChange(Change);
  this->tickSamples(Now);
  for (auto &[Name, S] : this->Services) {
    S.Router->setGroupSize(this->Groups.size(Name));
    S.Router->tick();
    // A change of primary is safe only if the size of the group is known.
    if (!this->Draining && this->Groups.settled(Name)) {
      S.Changes->tick();
      S.Members->tick();
    }
  }
  this->checkClaims();
  this->updateReadiness();
  this->Callers.tick(Now);
  if (this->Draining)
    this->continueDrain();
  this->InLoop.at(Now + TickInterval, [this] { this->tick(); });
}

void Gateway::drain(Instant TransactionsEnd, Instant Deadline, std::function<void()> Done) {
  this->Draining = true;
  this->CloseIdleFrom = std::min(this->InLoop.now() + BalancerNoticeDelay, TransactionsEnd);
  this->TransactionDeadline = TransactionsEnd;
  this->DrainDeadline = Deadline;
  this->OnDrained = std::move(Done);
  this->Instances.leave();
  this->Limits.drain();
  LogEvent(LogLevel::Info, "drain_begun")
      .kv("sessions", this->Callers.size())
      .kv("left_ms", absl::ToInt64Milliseconds(Deadline - this->InLoop.now()));
  this->updateReadiness();
}

// Closes the idle sessions, and rolls back idle transactions after their deadline.
void Gateway::continueDrain() {
  Instant Now = this->InLoop.now();
  if (!this->OnDrained || Now < this->CloseIdleFrom)
    return;
  if (Now >= this->DrainDeadline - FinalAnswerMargin)
    for (const std::shared_ptr<Session> &S : this->Callers.sessions())
      S->stopServing();
  this->Callers.closeIdle(Now >= this->TransactionDeadline);
  if (!this->Callers.empty() && Now < this->DrainDeadline)
    return;
  LogEvent(LogLevel::Info, "drain_ended").kv("sessions_cut", this->Callers.size());
  std::exchange(this->OnDrained, nullptr)();
}

} // namespace toucan::gateway
