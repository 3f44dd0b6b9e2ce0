#include "gateway/router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace toucan::gateway {

using placement::Admission;
using placement::Candidate;
using placement::WaitingId;

namespace {

// A sample of the primary's position is asked for when the newest is older than this while reads of
// bounded age come in; well under the shortest useful bound.
constexpr absl::Duration SampleAge = absl::Milliseconds(400);
constexpr absl::Duration SampleTimeout = absl::Milliseconds(500);
// Reads of bounded age count as coming in for this time.
constexpr absl::Duration ReadMemory = absl::Seconds(3);

constexpr std::array<std::string_view, 3> RejectionNames = {"queue_full", "no_primary",
                                                            "started_late"};

} // namespace

std::string_view rejectionName(Rejection R) { return RejectionNames[static_cast<size_t>(R)]; }

placement::Distance Place::to(const DataCentre &Other) const {
  if (Other == this->Centre)
    return placement::Distance::SameCentre;
  auto Mine = this->Regions.find(this->Centre);
  auto Theirs = this->Regions.find(Other);
  bool SameRegion = Mine != this->Regions.end() && Theirs != this->Regions.end() &&
                    Mine->second == Theirs->second;
  return SameRegion ? placement::Distance::SameRegion : placement::Distance::OtherRegion;
}

ServiceRouter::ServiceRouter(Loop &InLoop, Codec &Protocol, Metrics &Counters, const Place &Here,
                             catalog::ServiceName Name, uint64_t Seed)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), Here(Here), Name(std::move(Name)),
      Random(Seed), PrimaryUnknownSince(InLoop.now()) {}

void ServiceRouter::setLimits(const catalog::ServiceLimits &New, size_t Count) {
  this->Limits = New;
  this->Instances = Count;
  for (auto &[Id, P] : this->Pools)
    P->setLimit(New.MaxConnections, Count);
}

void ServiceRouter::addTarget(const catalog::TargetEntry &Entry) {
  auto Pool = std::make_unique<TargetPool>(this->InLoop, this->Protocol, this->Counters, *this,
                                           Entry, this->Random());
  Pool->setLimit(this->Limits.MaxConnections, this->Instances);
  Pool->setPositions(&this->Positions);
  TargetPool &Added = *Pool;
  this->Pools[Entry.Id] = std::move(Pool);
  this->changeTarget(Entry);
  if (this->OnTarget)
    this->OnTarget(Added);
}

void ServiceRouter::changeTarget(const catalog::TargetEntry &Entry) {
  auto It = this->Pools.find(Entry.Id);
  if (It == this->Pools.end())
    return;
  It->second->update(Entry);
  if (!Entry.Leaving)
    this->LeavingSince.erase(Entry.Id);
  else
    this->LeavingSince.try_emplace(Entry.Id, this->InLoop.now());
  this->notePrimary();
  It->second->openSpare();
  this->dispatch();
}

void ServiceRouter::removeTarget(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  if (It == this->Pools.end())
    return;
  std::unique_ptr<TargetPool> Pool = std::move(It->second);
  this->Pools.erase(It);
  this->LeavingSince.erase(Id);
  Pool->retire();
  this->Retired.push_back(std::move(Pool));
  this->notePrimary();
  this->dispatch();
}

TargetPool *ServiceRouter::pool(const TargetId &Id) {
  auto It = this->Pools.find(Id);
  return It == this->Pools.end() ? nullptr : It->second.get();
}

// Of several targets that claim to lead, as after a change that one has not heard of, the one that
// knows the newest term.
TargetPool *ServiceRouter::primary() {
  TargetPool *Best = nullptr;
  for (auto &[Id, P] : this->Pools)
    if (P->leads() && (!Best || P->newestTerm() > Best->newestTerm()))
      Best = P.get();
  return Best;
}

// The primary and the nearest targets that take work are in regular use.
void ServiceRouter::noteRegularTargets() {
  placement::Distance Nearest = placement::Distance::OtherRegion;
  for (const auto &[Id, P] : this->Pools)
    if (!P->entry().Leaving && !P->leads())
      Nearest = std::min(Nearest, this->Here.to(P->entry().Centre));
  for (const auto &[Id, P] : this->Pools)
    P->setRegular(P->leads() || this->Here.to(P->entry().Centre) <= Nearest);
}

void ServiceRouter::notePrimary() {
  this->noteRegularTargets();
  TargetPool *P = this->primary();
  if (!P) {
    if (this->KnownPrimary)
      this->PrimaryUnknownSince = this->InLoop.now();
    this->KnownPrimary.reset();
    return;
  }
  if (this->KnownPrimary == P->entry().Id)
    return;
  this->KnownPrimary = P->entry().Id;
  // What went wrong with the target before it led says nothing of it as a primary.
  P->forgetSilence();
  this->PrimaryExpected = absl::InfiniteFuture();
  LogEvent(LogLevel::Info, "primary_known")
      .kv("service", this->Name.Value)
      .kv("target", P->entry().Id.Value)
      .kv("term", P->newestTerm().Value);
  if (this->OnPrimary)
    this->OnPrimary(*this->KnownPrimary);
}

promotion::PrimaryHealth ServiceRouter::primarySigns() const {
  promotion::PrimaryHealth Out;
  Out.PrimaryUnknownSince = this->PrimaryUnknownSince;
  if (!this->KnownPrimary)
    return Out;
  const TargetPool &P = *this->Pools.at(*this->KnownPrimary);
  Out = P.signs();
  Out.PrimaryKnown = true;
  auto Leaving = this->LeavingSince.find(*this->KnownPrimary);
  if (Leaving != this->LeavingSince.end())
    Out.LeavingSince = Leaving->second;
  return Out;
}

void ServiceRouter::forgetSilence() {
  for (auto &[Id, P] : this->Pools)
    P->forgetSilence();
}

void ServiceRouter::onLeadProved(TargetPool &Pool, const Answer &Reply, Instant AskedAt) {
  if (!Reply.Position)
    return;
  this->NewestTerm = std::max(this->NewestTerm, Reply.Position->InTerm);
  this->Positions.addSample(*Reply.Position, AskedAt);
  if (!Pool.leads()) {
    Pool.setLeads(true);
    this->notePrimary();
  }
}

void ServiceRouter::onLeadReported(const TargetId &Id, Term InTerm) {
  TargetPool *P = this->pool(Id);
  if (!P)
    return;
  this->NewestTerm = std::max(this->NewestTerm, InTerm);
  P->noteTerm(InTerm);
  // A target of an older term that still believes that it leads has been replaced.
  for (auto &[Other, Pool] : this->Pools)
    if (Other != Id && Pool->newestTerm() < InTerm)
      Pool->setLeads(false);
  P->setLeads(true);
  this->notePrimary();
  this->dispatch();
}

void ServiceRouter::onLeadDenied(TargetPool &Pool) {
  LogEvent(LogLevel::Info, "lead_denied")
      .kv("service", this->Name.Value)
      .kv("target", Pool.entry().Id.Value)
      .kv("term", Pool.newestTerm().Value);
  Pool.setLeads(false);
  this->notePrimary();
}

// What a statement that arrives now would wait for.
placement::QueueLoad ServiceRouter::loadFor(bool NeedsPrimary) {
  Instant Now = this->InLoop.now();
  TargetPool *Primary = this->primary();
  placement::QueueLoad Load;
  Load.Connections = 0;
  for (const auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool) || (NeedsPrimary && Pool.get() != Primary))
      continue;
    uint32_t Links = std::max(1U, Pool->openLinks());
    placement::Distance To = this->Here.to(Pool->entry().Centre);
    Load.Connections += Links;
    Load.HeldByTransactions += Pool->pinnedLinks();
    Load.SingleHoldTime += Links * Pool->record().averageHoldTime(false, To, Now);
    Load.TransactionHoldTime += Links * Pool->record().averageHoldTime(true, To, Now);
  }
  if (Load.Connections > 0) {
    Load.SingleHoldTime /= Load.Connections;
    Load.TransactionHoldTime /= Load.Connections;
  }
  for (const auto &[Id, H] : this->Waiting)
    if (!NeedsPrimary || H.What.Wait.NeedsPrimary)
      ++(H.What.Wait.Transaction ? Load.WaitingTransactions : Load.WaitingSingles);
  Load.PrimaryExpectedAt = Primary ? absl::InfinitePast() : this->PrimaryExpected;
  return Load;
}

WaitingId ServiceRouter::request(Work W) {
  Instant Now = this->InLoop.now();
  W.Wait.Id = WaitingId(this->NextId++);
  WaitingId Id = W.Wait.Id;
  W.Wait.NeedsPrimary = !W.MaxAge.has_value();
  if (W.MaxAge)
    this->LastBoundedRead = Now;
  // Without a sample of the primary's position, reads of bounded age need the primary as well.
  bool OnlyPrimary = W.Wait.NeedsPrimary || !this->floorOf(W);
  Admission A = placement::admit(W.Wait, this->loadFor(OnlyPrimary), Now);
  if (A != Admission::Wait) {
    W.OnReject(A == Admission::RejectBusy ? Rejection::QueueFull : Rejection::NoPrimary);
    return Id;
  }
  this->Queue.add(W.Wait);
  this->Waiting.emplace(Id, Held{.What = std::move(W)});
  this->dispatch();
  this->rearm();
  return Id;
}

void ServiceRouter::cancel(WaitingId Id) {
  this->Queue.remove(Id);
  this->Waiting.erase(Id);
}

bool ServiceRouter::usable(const TargetPool &Pool) const {
  if (Pool.retired() || Pool.silent())
    return false;
  if (!Pool.entry().Leaving)
    return true;
  // A leaving primary serves until another one leads, if that comes in time.
  auto It = this->LeavingSince.find(Pool.entry().Id);
  return Pool.leads() && It != this->LeavingSince.end() &&
         this->InLoop.now() < It->second + this->LeavingLimit;
}

std::optional<LogPosition> ServiceRouter::floorOf(const Work &W) const {
  std::optional<LogPosition> Floor = this->Positions.floor(W.Wait.Arrived, *W.MaxAge);
  if (!Floor)
    return std::nullopt;
  return std::max(*Floor, this->Positions.clampToCurrentTerm(W.SessionFloor));
}

void ServiceRouter::dispatch() {
  if (std::exchange(this->Dispatching, true)) {
    this->DispatchAgain = true;
    return;
  }
  do {
    this->DispatchAgain = false;
    if (this->Waiting.empty())
      break;
    std::map<TargetId, uint32_t> Promised;
    this->Queue.visit(this->InLoop.now(), [&](const placement::WaitingStatement &W) {
      auto It = this->Waiting.find(W.Id);
      if (It != this->Waiting.end())
        this->tryGrant(It->second, Promised);
      return true;
    });
  } while (this->DispatchAgain);
  this->Dispatching = false;
}

bool ServiceRouter::tryGrant(Held &H, std::map<TargetId, uint32_t> &Promised) {
  Instant Now = this->InLoop.now();
  TargetPool *P = this->primary();
  if (P && !this->usable(*P))
    P = nullptr;
  if (H.What.Wait.NeedsPrimary)
    return P && this->grantAt(H, *P, std::nullopt, Promised);
  std::optional<LogPosition> Floor = this->floorOf(H.What);
  // Without a sample only a primary that proves its lead may serve the read.
  if (!Floor)
    return P && this->grantAt(H, *P, std::nullopt, Promised);
  std::vector<Candidate> All;
  std::vector<TargetPool *> Pools;
  for (auto &[Id, Pool] : this->Pools) {
    if (!this->usable(*Pool))
      continue;
    uint32_t Taken = Promised.contains(Id) ? Promised[Id] : 0;
    uint32_t Idle = Pool->idleLinks();
    All.push_back({.Id = Id,
                   .Statistics = &Pool->record(),
                   .Primary = Pool.get() == P,
                   .DistanceToTarget = this->Here.to(Pool->entry().Centre),
                   .Slots = Pool->entry().Slots,
                   .Running = Pool->running() + Taken,
                   .Idle = Idle > Taken ? Idle - Taken : 0,
                   .MayOpenConnection = Pool->mayOpen()});
    // A target without a connection that cannot open one is of no use now.
    if (Pool->openLinks() == 0 && !Pool->mayOpen()) {
      All.pop_back();
      continue;
    }
    Pools.push_back(Pool.get());
  }
  double Jitter = std::uniform_real_distribution<double>(0, 1)(this->Random);
  std::optional<size_t> Best = placement::chooseForRead(
      All, {.Floor = Floor, .Tried = H.What.Tried, .Primary = &this->Positions}, Now, Jitter);
  if (!Best && !H.What.Tried.empty()) {
    // All have refused it once; a replica may have caught up meanwhile.
    H.What.Tried.clear();
    return false;
  }
  return Best && this->grantAt(H, *Pools[*Best], Floor, Promised);
}

bool ServiceRouter::grantAt(Held &H, TargetPool &Pool, std::optional<LogPosition> Floor,
                            std::map<TargetId, uint32_t> &Promised) {
  TargetLink *Link = Pool.takeIdle(*H.What.Values);
  if (!Link) {
    Pool.openFor(++Promised[Pool.entry().Id]);
    return false;
  }
  Link->TakenAt = this->InLoop.now();
  Link->TakenByTransaction = H.What.Wait.Transaction;
  Work W = std::move(H.What);
  this->Queue.remove(W.Wait.Id);
  this->Waiting.erase(W.Wait.Id);
  W.OnGrant({.Link = Link, .Pool = &Pool, .Floor = Floor});
  return true;
}

void ServiceRouter::rearm() {
  this->InLoop.cancel(this->ExpiryTimer);
  Instant Next = this->Queue.nextExpiry();
  if (Next != absl::InfiniteFuture())
    this->ExpiryTimer = this->InLoop.at(Next, [this] { this->expire(); });
}

void ServiceRouter::expire() {
  for (const placement::WaitingStatement &W : this->Queue.takeExpired(this->InLoop.now())) {
    auto It = this->Waiting.find(W.Id);
    if (It == this->Waiting.end())
      continue;
    Work Late = std::move(It->second.What);
    this->Waiting.erase(It);
    bool NoPrimary = W.NeedsPrimary && !this->primary();
    Late.OnReject(NoPrimary ? Rejection::NoPrimary : Rejection::StartedLate);
  }
  this->rearm();
}

// Reads of bounded age need a young position of the primary. Where writes and reads at the primary
// are rare, it is asked for one with an empty transaction, which takes no slot.
void ServiceRouter::samplePrimary() {
  Instant Now = this->InLoop.now();
  TargetPool *P = this->primary();
  if (!P || Now - this->LastBoundedRead > ReadMemory || !this->usable(*P) ||
      Now - this->Positions.newestSampleTime() < SampleAge ||
      Now - this->SampleAskedAt < SampleAge / 2)
    return;
  this->SampleAskedAt = Now;
  TargetId Id = P->entry().Id;
  TargetLink *Link = P->takeIdle({});
  if (!Link) {
    P->openSpare();
    return;
  }
  std::vector<LinkRequest> Requests;
  Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                      .OnAnswer = [this, Id, Now](const Answer *Reply) {
                        TargetPool *Pool = this->pool(Id);
                        if (!Reply || !Pool)
                          return;
                        if (!Reply->Error)
                          this->onLeadProved(*Pool, *Reply, Now);
                        else if (Reply->Error->Code == ErrorCode::ReadOnly)
                          this->onLeadDenied(*Pool);
                        this->dispatch();
                      }});
  Requests.push_back(
      {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  Link->submit(std::move(Requests), Now + SampleTimeout);
}

void ServiceRouter::tick() {
  for (auto &[Id, P] : this->Pools) {
    P->tick();
    P->openSpare();
  }
  for (auto &P : this->Retired)
    P->tick();
  std::erase_if(this->Retired, [](const auto &P) { return P->empty(); });
  this->samplePrimary();
  this->dispatch();
}

void ServiceRouter::onPoolReady(TargetPool &Pool) {
  (void)Pool;
  this->dispatch();
}

} // namespace toucan::gateway
