#include "gateway/pool.h"

#include <algorithm>
#include <map>
#include <utility>

namespace toucan::gateway {

namespace {

// Covers one or two round trips, session set-up at the target and the wait for a slot there.
constexpr absl::Duration OpenTimeout = absl::Milliseconds(1200);
constexpr absl::Duration BackoffMin = absl::Milliseconds(100);
constexpr absl::Duration BackoffMax = absl::Milliseconds(400);
// Added to the answer deadline, so that an answer that arrives just before it is still read.
constexpr absl::Duration AnswerDeadlineMargin = absl::Milliseconds(50);
// Rollback of an abandoned transaction; targets answer it at once.
constexpr absl::Duration RollbackTimeout = absl::Seconds(1);
// A target that owes an answer is probed after ProbeAfter and gets no new work after SuspectAfter.
// The difference exceeds a round trip between regions.
constexpr absl::Duration ProbeAfter = absl::Milliseconds(150);
constexpr absl::Duration SuspectAfter = absl::Milliseconds(300);
constexpr absl::Duration ProbeInterval = absl::Milliseconds(150);
constexpr absl::Duration ProbeTimeout = absl::Milliseconds(400);
// Keeps the control link open for all commands of one change of primary.
constexpr absl::Duration ControlIdleLimit = absl::Seconds(10);
// The same while connections are scarce. With 122 instances, control links that stay open for
// seconds would take all 73 connections of a target.
constexpr absl::Duration ScarceControlIdleLimit = placement::OnDemandIdleLimit;
// The same where several accounts use a target, whose shares take nearly all of its connections.
// Longer than the interval of samples.
constexpr absl::Duration AccountsControlIdleLimit = absl::Seconds(1);

} // namespace

TargetPool::TargetPool(Loop &InLoop, Codec &Protocol, Metrics &Counters, PoolOwner &Owner,
                       catalog::TargetEntry Entry, uint64_t Seed)
    : InLoop(InLoop), Protocol(Protocol), Counters(Counters), Owner(Owner), Entry(std::move(Entry)),
      Limit(InLoop.now() + placement::BorrowDelay, Seed), Backoff(BackoffMin), ScarceBackoff(Seed) {
  this->setIsPrimary(this->Entry.Primary);
}

void TargetPool::update(const catalog::TargetEntry &New) {
  if (New.Primary != this->Entry.Primary || New.StartedUnixMs != this->Entry.StartedUnixMs)
    this->setIsPrimary(New.Primary);
  this->Entry = New;
}

void TargetPool::setIsPrimary(bool IsPrimary) {
  if (IsPrimary && !this->IsPrimary)
    this->Limit.onPromoted(this->InLoop.now());
  else if (!IsPrimary)
    this->Limit.onDemoted();
  this->IsPrimary = IsPrimary;
}

void TargetPool::setLimit(uint32_t Connections, size_t Instances) {
  this->Limit.setLimit(Connections, Instances);
}

void TargetPool::retire() {
  this->Retiring = true;
  this->tick();
}

uint32_t TargetPool::idleLinks() const {
  return static_cast<uint32_t>(std::count_if(this->Links.begin(), this->Links.end(),
                                             [](const auto &L) { return L->idle(); }));
}

uint32_t TargetPool::idleLinks(const AccountName &Account) const {
  return static_cast<uint32_t>(
      std::count_if(this->Links.begin(), this->Links.end(),
                    [&](const auto &L) { return L->idle() && L->account() == Account; }));
}

uint32_t TargetPool::openLinks(const AccountName &Account) const {
  return static_cast<uint32_t>(
      std::count_if(this->Links.begin(), this->Links.end(),
                    [&](const auto &L) { return L->account() == Account; }));
}

uint32_t TargetPool::pinnedLinks() const {
  return static_cast<uint32_t>(std::count_if(this->Links.begin(), this->Links.end(),
                                             [](const auto &L) { return L->Pinned; }));
}

uint32_t TargetPool::running() const {
  return static_cast<uint32_t>(std::count_if(this->Links.begin(), this->Links.end(),
                                             [](const auto &L) { return L->pending() > 0; }));
}

uint32_t TargetPool::maxOpen() const {
  return this->Limit.maxWithBorrowing(this->InLoop.now(), this->idleInTransaction());
}

bool TargetPool::mayOpen() const {
  return !this->Retiring && this->InLoop.now() >= this->RetryAt &&
         this->openLinks() < this->maxOpen();
}

bool TargetPool::mayOpenFor(const AccountName &Account,
                            const std::set<AccountName> &Waiting) const {
  return this->mayOpen() || this->linkToReplace(Account, Waiting);
}

TargetLink *TargetPool::linkToReplace(const AccountName &Account,
                                      const std::set<AccountName> &Waiting) const {
  Instant Now = this->InLoop.now();
  if (!this->severalAccounts() || this->Retiring || Now < this->RetryAt)
    return nullptr;
  return this->leastUsedIdle(Account, Waiting);
}

TargetLink *TargetPool::leastUsedIdle(const AccountName &Except,
                                      const std::set<AccountName> &Waiting) const {
  std::vector<placement::IdleConnection> Idle;
  std::vector<TargetLink *> IdleLinks;
  for (const auto &L : this->Links) {
    if (!L->idle())
      continue;
    Idle.push_back({.Account = L->account(), .IdleSince = L->ServedAt});
    IdleLinks.push_back(L.get());
  }
  std::optional<size_t> Chosen =
      placement::connectionToReplace(Idle, Except, this->Use, Waiting, this->InLoop.now());
  return Chosen ? IdleLinks[*Chosen] : nullptr;
}

// Counts pinned links whose callers have sent nothing for IdleInTransactionAfter.
uint32_t TargetPool::idleInTransaction() const {
  Instant Since = this->InLoop.now() - placement::IdleInTransactionAfter;
  return static_cast<uint32_t>(
      std::count_if(this->Links.begin(), this->Links.end(), [Since](const auto &L) {
        return L->Pinned && L->pending() == 0 && L->IdleSince <= Since;
      }));
}

// Prefers a link with the same session values, then one to which values only need to be added. A
// reset would also discard the prepared statements.
TargetLink *TargetPool::takeIdle(const AccountName &Account,
                                 const absl::flat_hash_map<std::string, std::string> &Values) {
  TargetLink *Best = nullptr;
  int BestRank = -1;
  for (const auto &L : this->Links) {
    if (!L->idle() || L->account() != Account)
      continue;
    bool Subset = std::all_of(L->Values.begin(), L->Values.end(),
                              [&](const auto &V) { return Values.contains(V.first); });
    int Rank = L->Values == Values ? 2 : Subset ? 1 : 0;
    if (Rank > BestRank) {
      Best = L.get();
      BestRank = Rank;
    }
  }
  if (Best)
    this->Use.onUsed(Account, this->InLoop.now());
  return Best;
}

// Prefers a link without session values, like a statement without values does.
TargetLink *TargetPool::takeAnyIdle() {
  TargetLink *Best = nullptr;
  for (const auto &L : this->Links)
    if (L->idle() && (!Best || (L->Values.empty() && !Best->Values.empty())))
      Best = L.get();
  return Best;
}

TargetLink *TargetPool::commandLink() {
  if (TargetLink *Link = this->takeAnyIdle())
    return Link;
  return this->mayOpenControl() ? this->controlLink() : nullptr;
}

uint32_t TargetPool::openingLinks() const {
  return static_cast<uint32_t>(
      std::count_if(this->Links.begin(), this->Links.end(), [](const auto &L) {
        return L->phase() == TargetLink::Phase::Connecting ||
               L->phase() == TargetLink::Phase::Starting;
      }));
}

uint32_t TargetPool::openingLinks(const AccountName &Account) const {
  return static_cast<uint32_t>(
      std::count_if(this->Links.begin(), this->Links.end(), [&](const auto &L) {
        return L->account() == Account && (L->phase() == TargetLink::Phase::Connecting ||
                                           L->phase() == TargetLink::Phase::Starting);
      }));
}

// Where several accounts use the target, it is not known which one needs the next link.
void TargetPool::openSpare() {
  if (this->severalAccounts())
    return;
  if (this->InRegularUse && this->idleLinks() + this->openingLinks() == 0 && this->mayOpen() &&
      this->openLinks() < this->Limit.keptOpen())
    this->openLink(defaultAccount(), "retained");
}

void TargetPool::openForWaiting(const AccountName &Account, uint32_t Waiting,
                                const std::set<AccountName> &WaitingAccounts) {
  if (this->openingLinks(Account) >= Waiting ||
      this->openingLinks() >= this->Limit.maxOpening(this->InLoop.now()))
    return;
  if (this->mayOpen()) {
    this->openLink(Account, "on_demand");
    return;
  }
  TargetLink *Replaced = this->linkToReplace(Account, WaitingAccounts);
  if (!Replaced)
    return;
  // The target reads the end of the closed connection before it gets the new one.
  Replaced->close("replaced by a connection of another account");
  this->openLink(Account, "replaced_account");
}

Instant TargetPool::linkExpectedAt(const AccountName &Account, placement::Distance To) const {
  Instant Now = this->InLoop.now();
  if (this->openLinks(Account) > 0)
    return Now;
  return std::max(Now, this->RetryAt) + this->connectTime(To);
}

std::unique_ptr<TargetLink> TargetPool::makeLink(const AccountName &Account,
                                                 absl::Duration Timeout) {
  this->markRequestSent();
  this->Counters.add("target_connections_opened");
  return std::make_unique<TargetLink>(this->InLoop, this->Protocol, *this,
                                      LinkOptions{.Target = this->Entry.Id,
                                                  .Service = this->Entry.Service.Value,
                                                  .Account = Account,
                                                  .Address = this->Entry.Address,
                                                  .OpenDeadline = this->InLoop.now() + Timeout});
}

void TargetPool::openLink(const AccountName &Account, std::string_view Cause) {
  this->Counters.add(std::string("target_connections_opened_").append(Cause));
  this->Links.push_back(this->makeLink(Account, OpenTimeout));
  this->Links.back()->open();
}

void TargetPool::markRequestSent() {
  if (this->Health.UnansweredSince == absl::InfiniteFuture())
    this->Health.UnansweredSince = this->InLoop.now();
}

void TargetPool::command(TargetRequest Request, Instant Deadline, AnswerHandler OnAnswer) {
  TargetLink *Link = this->takeAnyIdle();
  this->submitCommand(Link ? Link : this->controlLink(), std::move(Request), Deadline,
                      std::move(OnAnswer));
}

void TargetPool::query(TargetRequest Request, Instant Deadline, AnswerHandler OnAnswer) {
  TargetLink *Link = this->takeAnyIdle();
  if (!Link)
    Link = this->sharedLink();
  if (!Link && !this->mayOpenControl()) {
    // Nothing is sent, so that the target owes no answer.
    this->InLoop.at(this->InLoop.now(), [OnAnswer = std::move(OnAnswer)] { OnAnswer(nullptr); });
    return;
  }
  this->submitCommand(Link ? Link : this->controlLink(), std::move(Request), Deadline,
                      std::move(OnAnswer));
}

bool TargetPool::mayOpenControl() const {
  bool Exhaustible = this->Limit.scarce() || this->severalAccounts();
  return this->Control || !Exhaustible || this->InLoop.now() >= this->RetryAt;
}

TargetLink *TargetPool::takeForSample() {
  if (TargetLink *Link = this->takeAnyIdle())
    return Link;
  if ((this->Limit.scarce() || this->severalAccounts()) && this->mayOpenControl())
    return this->controlLink();
  this->openSpare();
  return nullptr;
}

bool TargetPool::hasQueryLink() const {
  return this->sharedLink() || (this->Control && this->Control->phase() == TargetLink::Phase::Open);
}

// Returns the open link with the fewest pending requests that no transaction holds.
TargetLink *TargetPool::sharedLink() const {
  TargetLink *Best = nullptr;
  for (const auto &L : this->Links)
    if (L->phase() == TargetLink::Phase::Open && !L->Pinned &&
        L->state() == TransactionState::None && (!Best || L->pending() < Best->pending()))
      Best = L.get();
  return Best;
}

// Returns the control link, opened if necessary; null if it cannot be opened.
TargetLink *TargetPool::controlLink() {
  if (!this->Control || this->Control->phase() == TargetLink::Phase::Closed) {
    // This may be called from a handler of the closed link, which must outlive the handler.
    if (this->Control)
      this->destroyLater(std::move(this->Control));
    this->Counters.add("target_connections_opened_control");
    this->Control = this->makeLink(defaultAccount(), OpenTimeout);
    this->Control->open();
  }
  // If open() failed at once, the control link has already been released.
  return this->Control.get();
}

void TargetPool::submitCommand(TargetLink *Link, TargetRequest Request, Instant Deadline,
                               AnswerHandler OnAnswer) {
  struct Once {
    AnswerHandler Handler;
    TimerId Timer;
    bool Done = false;
  };
  auto State = std::make_shared<Once>();
  State->Handler = std::move(OnAnswer);
  Loop &InLoop = this->InLoop;
  auto Finish = [State, &InLoop](const Answer *Reply) {
    if (std::exchange(State->Done, true))
      return;
    InLoop.cancel(State->Timer);
    State->Handler(Reply);
  };
  State->Timer = this->InLoop.at(Deadline, [Finish] { Finish(nullptr); });
  this->markRequestSent();
  if (!Link) {
    Finish(nullptr);
    return;
  }
  std::vector<LinkRequest> Requests;
  Requests.push_back({.Request = std::move(Request), .OnAnswer = Finish});
  // A command behind a statement does not make the link overdue before the statement is.
  Link->submit(std::move(Requests), std::max(Deadline, Link->lastAnswerDeadline()));
}

void TargetPool::tick() {
  Instant Now = this->InLoop.now();
  this->probe();
  uint32_t KeptOpen = this->Retiring || !this->InRegularUse ? 0 : this->Limit.keptOpen();
  std::vector<TargetLink *> ToClose;
  uint32_t Open = this->openLinks();
  std::map<AccountName, uint32_t> IdleCount;
  for (const auto &L : this->Links)
    IdleCount[L->account()] += L->idle() ? 1 : 0;
  bool Several = this->severalAccounts();
  const TargetLink *LeastUsed = Several ? this->leastUsedIdle(AccountName(), {}) : nullptr;
  for (const auto &L : this->Links) {
    bool Overdue = Now >= L->answerDeadline() + AnswerDeadlineMargin;
    if (Overdue) {
      ToClose.push_back(L.get());
    } else if (this->idleNotNeeded(*L, Open, KeptOpen, IdleCount[L->account()],
                                   !Several || L.get() == LeastUsed)) {
      ToClose.push_back(L.get());
      --Open;
      --IdleCount[L->account()];
    }
  }
  for (TargetLink *L : ToClose)
    L->close(L->idle() ? "idle link not needed" : "answer overdue");
  if (this->Control && this->Control->phase() == TargetLink::Phase::Open &&
      (Now >= this->Control->answerDeadline() + AnswerDeadlineMargin ||
       (this->Control->idle() &&
        (this->Retiring || Now - this->Control->IdleSince > this->controlIdleLimit()))))
    this->Control->close("control link idle or answer overdue");
}

absl::Duration TargetPool::controlIdleLimit() const {
  if (this->Limit.scarce())
    return ScarceControlIdleLimit;
  return this->severalAccounts() ? AccountsControlIdleLimit : ControlIdleLimit;
}

bool TargetPool::idleNotNeeded(const TargetLink &Link, uint32_t Open, uint32_t KeptOpen,
                               uint32_t IdleOfAccount, bool LeastUsed) const {
  if (!Link.idle())
    return false;
  Instant Now = this->InLoop.now();
  absl::Duration IdleFor = Now - Link.IdleSince;
  bool Spare = this->Retiring ||
               (Open > KeptOpen && IdleFor >= this->Limit.spareIdleLimit(Now) && LeastUsed);
  bool Surplus = IdleOfAccount > 1 && IdleFor >= placement::SurplusIdleLimit;
  bool Unused = Now - Link.ServedAt >= placement::AccountIdleLimit &&
                (this->severalAccounts() || Link.account() != defaultAccount());
  return Spare || Surplus || Unused;
}

bool TargetPool::isUnresponsive() const {
  return this->InLoop.now() - this->Health.UnansweredSince >= SuspectAfter;
}

// Sends a request that needs no slot to a target that owes answers. A busy target answers it at
// once, so a missing answer means that the target is down.
void TargetPool::probe() {
  Instant Now = this->InLoop.now();
  if (this->Retiring || Now - this->Health.UnansweredSince < ProbeAfter ||
      Now - this->ProbedAt < ProbeInterval)
    return;
  this->ProbedAt = Now;
  this->Counters.add("targets_probed");
  this->command({.Command = TargetCommand::Rollback}, Now + ProbeTimeout, [](const Answer *) {});
}

promotion::PrimaryHealth TargetPool::health() const { return this->Health; }

void TargetPool::onWriteTimedOut() {
  if (this->Health.WritesTimedOut++ == 0)
    this->Health.WritesStalledSince = this->InLoop.now();
}

void TargetPool::onWriteDone() {
  this->Health.WritesTimedOut = 0;
  this->Health.WritesStalledSince = absl::InfiniteFuture();
}

void TargetPool::resetFailureDetection() {
  if (this->Health.UnansweredSince != absl::InfiniteFuture())
    this->Health.UnansweredSince = this->InLoop.now();
  this->Health.UnreachableSince = absl::InfiniteFuture();
  this->Health.FailedConnections = 0;
}

// An answer to a request of time SentAt shows that the process is still the one that the links
// reach which were open then.
void TargetPool::noteProcess(TargetLink &Link, Instant SentAt) {
  this->ProcessSince = Link.ProcessSince;
  auto Merge = [&](TargetLink &Other) {
    if (Other.phase() == TargetLink::Phase::Open && Other.OpenedAt <= SentAt)
      Other.ProcessSince = std::min(Other.ProcessSince, Link.ProcessSince);
  };
  for (const auto &L : this->Links)
    Merge(*L);
  if (this->Control)
    Merge(*this->Control);
}

void TargetPool::onLinkOpen(TargetLink &Link) {
  this->Backoff = BackoffMin;
  this->ScarceBackoff.onOpened();
  Link.ServedAt = this->InLoop.now();
  this->Connecting.onOpened(this->InLoop.now() - Link.RequestedAt, this->InLoop.now());
  if (&Link != this->Control.get())
    this->Owner.onPoolReady(*this);
}

void TargetPool::onLinkAnswer(TargetLink &Link, const Answer &Reply, Instant SentAt) {
  Instant Now = this->InLoop.now();
  bool Opens = Link.OpenedAt == absl::InfiniteFuture();
  if (Opens)
    Link.OpenedAt = Link.ProcessSince = monotonicNow();
  this->noteProcess(Link, SentAt);
  this->Health.LastAnswer = Now;
  this->Health.UnreachableSince = absl::InfiniteFuture();
  this->Health.FailedConnections = 0;
  bool AnswerOwed =
      Link.pending() > 0 || std::any_of(this->Links.begin(), this->Links.end(),
                                        [](const auto &L) { return L->pending() > 0; });
  this->Health.UnansweredSince = AnswerOwed ? Now : absl::InfiniteFuture();
  if (Reply.Position) {
    this->Statistics.onPosition(*Reply.Position, Now, this->IsPrimary ? nullptr : this->Positions);
    this->NewestTerm = std::max(this->NewestTerm, Reply.Position->InTerm);
    // It is not known when the target began to answer the first message of a connection.
    if (!Opens)
      this->Owner.onPoolPosition(*this, *Reply.Position, SentAt);
  }
}

// A link without pending requests can be reused unless it is pinned. An abandoned transaction is
// rolled back first.
void TargetPool::onLinkDrained(TargetLink &Link) { this->recycle(Link); }

void TargetPool::release(TargetLink &Link) {
  Link.Pinned = false;
  Link.OnLostWhilePinned = nullptr;
  if (Link.pending() == 0)
    this->recycle(Link);
}

void TargetPool::recycle(TargetLink &Link) {
  if (Link.Pinned || Link.phase() != TargetLink::Phase::Open || Link.pending() > 0)
    return;
  if (Link.state() != TransactionState::None) {
    this->markRequestSent();
    std::vector<LinkRequest> Requests;
    Requests.push_back(
        {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [&Link](const Answer *Reply) {
           if (Reply && Reply->Error)
             Link.close("rollback refused by the target");
         }});
    Link.submit(std::move(Requests), this->InLoop.now() + RollbackTimeout);
    return;
  }
  Instant Taken = std::exchange(Link.HeldSince, absl::InfiniteFuture());
  if (Taken != absl::InfiniteFuture()) {
    Link.ServedAt = this->InLoop.now();
    this->Statistics.onConnectionHeld(Link.ServedAt - Taken, Link.HeldByTransaction);
  }
  if (this->Retiring) {
    Link.close("target removed");
    return;
  }
  if (&Link != this->Control.get() &&
      this->openLinks() >
          this->Limit.maxWithBorrowing(this->InLoop.now(), this->idleInTransaction())) {
    Link.close("connection limit of this instance exceeded");
    return;
  }
  if (&Link != this->Control.get())
    this->Owner.onPoolReady(*this);
}

void TargetPool::destroyLater(std::unique_ptr<TargetLink> Link) {
  std::shared_ptr<TargetLink> Held = std::move(Link);
  this->InLoop.at(this->InLoop.now(), [Held] {});
}

void TargetPool::onLinkClosed(TargetLink &Link, const std::optional<StatementError> &Refusal) {
  Instant Now = this->InLoop.now();
  bool Refused = Refusal.has_value();
  bool IsControl = &Link == this->Control.get();
  LogEvent(LogLevel::Info, "target_connection_closed")
      .kv("target", this->Entry.Id.Value)
      .kv("control", IsControl)
      .kv("account", Link.account().Value)
      .kv("cause", Link.closeCause())
      .kv("refusal", Refused ? errorName(Refusal->Code) : std::string_view("none"))
      .kv("open", this->openLinks() - (IsControl ? 0 : 1));
  this->Counters.add("target_connections_closed");
  if (Refused) {
    this->Health.LastAnswer = Now;
    this->Health.UnansweredSince = absl::InfiniteFuture();
    bool TooMany = Refusal->Code == ErrorCode::TooManyConnections;
    if (TooMany) {
      this->Counters.add("target_connections_refused");
      this->Limit.onRefused(Now);
    }
    if (TooMany && (this->Limit.scarce() || this->severalAccounts())) {
      this->RetryAt = Now + this->ScarceBackoff.onRefused();
    } else {
      this->RetryAt = Now + this->Backoff;
      this->Backoff = std::min(this->Backoff * 2, BackoffMax);
    }
  } else if (Link.openFailed()) {
    if (this->Health.FailedConnections++ == 0)
      this->Health.UnreachableSince = Now;
    this->RetryAt = Now + this->Backoff;
    this->Backoff = std::min(this->Backoff * 2, BackoffMax);
  }
  if (IsControl) {
    this->destroyLater(std::move(this->Control));
  } else {
    auto It = std::find_if(this->Links.begin(), this->Links.end(),
                           [&](const auto &L) { return L.get() == &Link; });
    if (It != this->Links.end()) {
      std::unique_ptr<TargetLink> Taken = std::move(*It);
      this->Links.erase(It);
      this->destroyLater(std::move(Taken));
    }
  }
  this->Owner.onPoolReady(*this);
}

} // namespace toucan::gateway
