#include "gateway/members.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

constexpr absl::Duration StatusTimeout = absl::Milliseconds(500);
constexpr absl::Duration RetryInterval = absl::Seconds(1);
// By then the other instances know that a server leaves, and do not count what it confirms.
constexpr absl::Duration LeavingNotice = absl::Seconds(1);

} // namespace

void ClaimReader::read(Handler Done) {
  this->Waiting.push_back(std::move(Done));
  if (this->Waiting.size() == 1)
    this->InLoop.at(this->InLoop.now(), [this] { this->issue(); });
}

// The claims are compared with what was known when they were asked for: a term that begins later
// may be that of an order which was executed after the answer was given.
void ClaimReader::issue() {
  this->Claims.readAll(
      [this, Handlers = std::exchange(this->Waiting, {}), Known = this->Leads(),
       Asked = this->InLoop.now()](const std::optional<promotion::ClaimTable> &Found) {
        std::optional<Answer> Read;
        if (Found)
          Read = {.Claims = *Found, .Leads = Known, .Asked = Asked};
        if (Read && this->OnAnswer)
          this->OnAnswer(*Read);
        for (const Handler &Done : Handlers)
          Done(Read);
      });
}

MemberKeeper::MemberKeeper(MemberDependencies Deps, ServiceRouter &Router)
    : Deps(std::move(Deps)), Router(Router) {}

void MemberKeeper::tick() {
  Instant Now = this->Deps.InLoop.now();
  this->noteAbsences();
  if (this->Current || this->Deps.ChangeRunning())
    return;
  if (!this->differs()) {
    this->NextRoundAt = absl::InfiniteFuture();
    return;
  }
  if (this->NextRoundAt == absl::InfiniteFuture())
    this->NextRoundAt = Now + this->Deps.Delay();
  if (Now >= std::max(this->NextRoundAt, this->Earliest))
    this->readRow();
}

void MemberKeeper::noteAbsences() {
  Instant Now = this->Deps.InLoop.now();
  const roster::Members &Named = this->Router.group().named();
  std::erase_if(this->AbsentSince, [&](const auto &A) {
    return this->Router.pool(A.first) || !Named.contains(A.first);
  });
  for (const auto &[Id, Address] : Named)
    if (!this->Router.pool(Id))
      this->AbsentSince.try_emplace(Id, Now);
}

roster::Departures MemberKeeper::departed() const {
  Instant Now = this->Deps.InLoop.now();
  roster::Departures Out;
  for (const auto &[Id, Address] : this->Router.group().named())
    if (Now >= this->Router.leavingSince(Id) + LeavingNotice)
      Out.insert(Id);
  for (const auto &[Id, Since] : this->AbsentSince)
    if (Now >= Since + catalog::RemovalGrace)
      Out.insert(Id);
  return Out;
}

// Returns the present members if no primary is known.
roster::Members MemberKeeper::wanted() const {
  TargetPool *Primary = this->Router.primary();
  const roster::Roster &Present = this->Router.group();
  if (!Primary)
    return Present.named();
  return roster::replaceMembers(Present, this->Router.listing(), this->departed(),
                                Primary->entry().Id, this->Router.limits().AcknowledgedCopies);
}

bool MemberKeeper::differs() const {
  if (this->Router.limits().AcknowledgedCopies == 0 || !this->Router.primary())
    return false;
  const std::optional<roster::Members> &Named = this->Router.namedMembers();
  return !Named || this->wanted() != *Named;
}

void MemberKeeper::readRow() {
  this->Current = Round();
  this->Deps.Counters.add("member_rounds");
  this->Deps.Reader.read(
      [this](const std::optional<ClaimReader::Answer> &Read) { this->onRow(Read); });
}

void MemberKeeper::onRow(const std::optional<ClaimReader::Answer> &Read) {
  if (!Read) {
    // The outage may also hide registrations.
    this->AbsentSince.clear();
    this->endRound(RetryInterval);
    return;
  }
  promotion::ClaimState State = promotion::ClaimState::Settled;
  auto Claim = Read->Claims.Claims.find(this->Router.name().Value);
  auto Lead = Read->Leads.find(this->Router.name());
  if (Claim != Read->Claims.Claims.end()) {
    this->Current->Found = Claim->second;
    State = Claim->second.Row && Lead != Read->Leads.end()
                ? promotion::claimState(*Claim->second.Row, Lead->second, Read->Claims.StoreNowMs)
                : promotion::ClaimState::Abandoned;
  }
  if (!this->differs())
    this->endRound(absl::ZeroDuration());
  else if (this->Deps.ChangeRunning() || State == promotion::ClaimState::Changing)
    this->endRound(RetryInterval);
  else if (State == promotion::ClaimState::Abandoned)
    this->endAbandoned(this->Current->Found);
  else
    this->chooseMembers();
}

void MemberKeeper::endAbandoned(const Row &Found) {
  this->Deps.Claims.endAbandoned(this->Router.name().Value, Found, this->Deps.StoreNowMs(),
                                 [this](const promotion::ClaimResult &R) {
                                   this->endRound(R.Outcome == promotion::ClaimOutcome::Granted
                                                      ? absl::ZeroDuration()
                                                      : RetryInterval);
                                 });
}

// Members can be added without questions.
void MemberKeeper::chooseMembers() {
  Round &R = *this->Current;
  R.Next = this->wanted();
  if (roster::mayReplace(this->Router.group(), R.Next, {},
                         this->Router.limits().AcknowledgedCopies))
    this->writeRow();
  else if (this->dropsMember())
    this->readTargets();
  else
    this->askPrimary();
}

bool MemberKeeper::dropsMember() const {
  const roster::Members &Present = this->Router.group().named();
  return std::any_of(Present.begin(), Present.end(),
                     [this](const auto &M) { return !this->Current->Next.contains(M.first); });
}

// A member that is to be dropped may be listed again.
void MemberKeeper::readTargets() {
  this->Deps.ReadTargets([this](bool Read) {
    if (!Read) {
      this->AbsentSince.clear();
      this->endRound(RetryInterval);
    } else if (!this->differs()) {
      this->endRound(absl::ZeroDuration());
    } else {
      this->Current->Next = this->wanted();
      this->askPrimary();
    }
  });
}

// The primary is asked before the replicas: what it has received by then must be known to be held
// by enough of them.
void MemberKeeper::askPrimary() {
  roster::GroupStatus &Answers = this->Current->Answers;
  Answers.Primary = this->Router.primary()->entry().Id;
  this->ask(Answers.Primary, [this](const std::optional<TargetStatus> &Status) {
    if (Status && Status->Primary)
      this->askReplicas(*Status);
    else
      this->endRound(RetryInterval);
  });
}

void MemberKeeper::ask(const TargetId &Id,
                       std::function<void(const std::optional<TargetStatus> &)> OnStatus) {
  TargetPool *P = this->Router.pool(Id);
  if (!P) {
    OnStatus(std::nullopt);
    return;
  }
  P->query({.Command = TargetCommand::Status}, this->Deps.InLoop.now() + StatusTimeout,
           [this, OnStatus = std::move(OnStatus)](const Answer *Reply) {
             OnStatus(Reply ? this->Deps.Protocol.parseStatus(*Reply) : std::nullopt);
           });
}

void MemberKeeper::askReplicas(const TargetStatus &OfPrimary) {
  Round &R = *this->Current;
  R.Answers.OfPrimary = OfPrimary;
  // One more until all were asked: an answer may come at once.
  R.Awaited = R.Next.size();
  auto OnAnswered = [this] {
    if (--this->Current->Awaited == 0)
      this->writeRow();
  };
  for (const auto &[Id, Address] : roster::Members(R.Next)) {
    if (Id == R.Answers.Primary)
      continue;
    this->ask(Id, [this, Id = Id, OnAnswered](const std::optional<TargetStatus> &Status) {
      if (Status)
        this->Current->Answers.OfReplicas[Id] = *Status;
      OnAnswered();
    });
  }
  OnAnswered();
}

void MemberKeeper::writeRow() {
  const Round &R = *this->Current;
  const roster::Roster &Present = this->Router.group();
  bool Allowed =
      !this->Deps.ChangeRunning() &&
      roster::mayReplace(Present, R.Next, R.Answers, this->Router.limits().AcknowledgedCopies);
  LogEvent(LogLevel::Info, Allowed ? "members_chosen" : "members_not_replaced")
      .kv("service", this->Router.name().Value)
      .kv("present", roster::describe(Present.named()))
      .kv("next", roster::describe(R.Next))
      .kv("answers", R.Answers.OfReplicas.size());
  if (!Allowed) {
    this->endRound(RetryInterval);
    return;
  }
  this->Deps.Claims.setMembers(this->Router.name().Value, R.Found, R.Next, this->Deps.StoreNowMs(),
                               [this](const promotion::ClaimResult &Result) {
                                 bool Done = Result.Outcome == promotion::ClaimOutcome::Granted;
                                 LogEvent(LogLevel::Info, "members_named")
                                     .kv("service", this->Router.name().Value)
                                     .kv("members", roster::describe(this->Current->Next))
                                     .kv("done", Done)
                                     .kv("detail", Result.Detail);
                                 if (Done) {
                                   this->Deps.Counters.add("members_named");
                                   this->Router.noteMembers(this->Current->Next,
                                                            this->Deps.InLoop.now());
                                 }
                                 this->endRound(Done ? absl::ZeroDuration() : RetryInterval);
                               });
}

// The round is destroyed in a later task of the loop, because a handler of it may be running.
void MemberKeeper::endRound(absl::Duration Pause) {
  this->Earliest = this->Deps.InLoop.now() + Pause;
  this->NextRoundAt = absl::InfiniteFuture();
  this->Deps.InLoop.at(this->Deps.InLoop.now(), [this] { this->Current.reset(); });
}

} // namespace toucan::gateway
