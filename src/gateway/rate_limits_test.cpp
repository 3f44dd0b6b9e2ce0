// Rate limits of several instances on a simulated clock, link and store.
#include "gateway/rate_limits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace toucan;
using namespace toucan::gateway;
using ratelimit::Limit;

namespace {

constexpr absl::Duration Window = absl::Seconds(5);
// One-way delays of the deployment, see docs/design/hard-load.md.
constexpr double SameCentreMs = 0.2;
constexpr double SameRegionMs = 1.4;
constexpr double OtherRegionMs = 20;
constexpr size_t Centres = 6;
constexpr size_t Regions = 3;
constexpr absl::Duration StoreDelay = absl::Milliseconds(2); // one way

class World;

// One process of an instance.
class Process : public RateEnvironment, public store::RowStore {
public:
  Process(World &Of, size_t Index, uint64_t Incarnation);

  Instant now() const override;
  TimerId at(Instant Deadline, std::function<void()> Task) override;
  void cancel(TimerId Id) override { this->Timers.erase(Id); }
  const InstanceId &self() const override { return this->Id; }
  uint64_t incarnation() const override { return this->Number; }
  const std::vector<InstanceId> &peers() const override { return this->Others; }
  bool send(const InstanceId &To, proto::Envelope Message) override;

  void readAll(const std::string &Table, std::function<void(store::ReadResult)> Done) override;
  void write(const std::string &Table, const std::string &Key, store::RowVersion Expected,
             const std::string &Value, std::function<void(store::WriteResult)> Done) override;
  void overwrite(const std::string &, const std::string &, const std::string &,
                 std::function<void(store::WriteResult)>) override {
    FAIL("not used");
  }

  World &Of;
  size_t Index;
  uint64_t Number;
  InstanceId Id;
  std::vector<InstanceId> Others;
  std::map<TimerId, std::function<void()>> Timers;
  uint64_t NextTimer = 1;
  RateLimits::LimitMap Applied;
  RateLimits Limits;
};

struct Instance {
  std::unique_ptr<Process> Running; // null: dead
  uint64_t Incarnation = 0;
  Instant SuspendedUntil = absl::InfinitePast();
  Instant StoreCutUntil = absl::InfinitePast();
  Instant LinkCutUntil = absl::InfinitePast();
};

class World {
public:
  World(size_t Count, uint64_t Seed) : Random(Seed), Instances(Count) {}

  // Runs Task for the running process of an instance; not if that has ended by then.
  void forProcess(const Process &P, absl::Duration After, std::function<void()> Task) {
    this->forProcessAt(P, this->Now + After, std::move(Task));
  }
  void forProcessAt(const Process &P, Instant When, std::function<void()> Task) {
    this->Events[{When, this->NextEvent++}] = {
        .Instance = P.Index, .Incarnation = P.Number, .Task = std::move(Task)};
  }
  void after(absl::Duration After, std::function<void()> Task) {
    this->Events[{this->Now + After, this->NextEvent++}] = {.Task = std::move(Task)};
  }
  void runFor(absl::Duration Time) {
    Instant End = this->Now + Time;
    while (!this->Events.empty() && this->Events.begin()->first.first <= End) {
      auto Node = this->Events.extract(this->Events.begin());
      this->Now = std::max(this->Now, Node.key().first);
      Event &E = Node.mapped();
      if (E.Instance) {
        Instance &I = this->Instances[*E.Instance];
        if (!I.Running || I.Incarnation != E.Incarnation)
          continue;
        // The order of the events of a suspended process is kept.
        if (this->Now < I.SuspendedUntil) {
          Node.key() = {I.SuspendedUntil, Node.key().second};
          this->Events.insert(std::move(Node));
          continue;
        }
      }
      E.Task();
    }
    this->Now = End;
  }

  void start(size_t I) {
    Instance &X = this->Instances[I];
    X.Incarnation = static_cast<uint64_t>(absl::ToUnixMicros(this->Now));
    X.SuspendedUntil = absl::InfinitePast();
    X.Running = std::make_unique<Process>(*this, I, X.Incarnation);
    Process &P = *X.Running;
    this->forProcess(P, absl::Milliseconds(20), [&P] { P.Limits.onInstances(); });
    this->forProcess(P, absl::Milliseconds(30), [this, &P] { this->apply(P); });
  }
  // Applies the current limits at a process.
  void apply(Process &P) {
    P.Applied = this->Limits;
    P.Limits.setLimits(this->Limits);
    this->noteLimits();
  }
  void kill(size_t I) {
    this->Instances[I].Running.reset();
    this->noteLimits();
  }
  // One operation of a caller of the instance.
  void operation(size_t I, const AccountName &Account) {
    Instance &X = this->Instances[I];
    if (!X.Running || this->Now < X.SuspendedUntil || !X.Running->Limits.limited(Account))
      return;
    ++this->Asked[Account];
    X.Running->Limits.admit(Account, this->Now + absl::Seconds(1),
                            [this, Account, At = this->Now](const Admission &A) {
                              if (A.Admitted)
                                this->Admitted[Account].push_back(this->Now);
                              else
                                ++this->Refused[Account];
                              absl::Duration Waited = this->Now - At;
                              this->LongestWait = std::max(this->LongestWait, Waited);
                              if (!A.Admitted && Waited > absl::Milliseconds(5))
                                ++this->RefusedLate;
                            });
  }
  // Sends operations at random times with the given rate to random instances.
  void load(const AccountName &Account, double PerSecond, Instant Until) {
    if (this->Now >= Until || PerSecond <= 0)
      return;
    double Gap = std::exponential_distribution<double>(PerSecond)(this->Random);
    this->after(absl::Seconds(Gap), [this, Account, PerSecond, Until] {
      this->operation(this->index(), Account);
      this->load(Account, PerSecond, Until);
    });
  }

  // The highest number of admitted operations over the bound of any window; at most 0 if all are
  // within it.
  double excess(const AccountName &Account) {
    const std::vector<Instant> &Times = this->Admitted[Account];
    double Worst = -1e9;
    size_t End = 0;
    for (size_t I = 0; I < Times.size(); ++I) {
      while (End < Times.size() && Times[End] < Times[I] + Window)
        ++End;
      Limit L = this->highestLimit(Account, Times[I], Times[I] + Window);
      double Bound = (L.PerSecond * absl::ToDoubleSeconds(Window) + L.Burst) * 1.1 + 20;
      Worst = std::max(Worst, static_cast<double>(End - I) - Bound);
    }
    return Worst;
  }

  size_t holders(uint32_t Partition) {
    size_t Out = 0;
    for (Instance &I : this->Instances)
      if (I.Running && this->Now >= I.SuspendedUntil)
        Out += I.Running->Limits.holds(Partition) ? 1 : 0;
    return Out;
  }
  std::optional<size_t> holder(uint32_t Partition) {
    for (size_t I = 0; I < this->Instances.size(); ++I)
      if (this->Instances[I].Running && this->Instances[I].Running->Limits.holds(Partition))
        return I;
    return std::nullopt;
  }

  size_t index() { return this->number(0, this->Instances.size() - 1); }
  size_t number(size_t Min, size_t Max) {
    return std::uniform_int_distribution<size_t>(Min, Max)(this->Random);
  }
  bool chance(double P) { return std::bernoulli_distribution(P)(this->Random); }
  absl::Duration some(size_t MinMs, size_t MaxMs) {
    return absl::Milliseconds(static_cast<int64_t>(this->number(MinMs, MaxMs)));
  }
  absl::Duration delay(size_t A, size_t B) const {
    double Ms = A % Centres == B % Centres   ? SameCentreMs
                : A % Regions == B % Regions ? SameRegionMs
                                             : OtherRegionMs;
    return absl::Milliseconds(Ms);
  }
  bool linked(size_t A, size_t B) const {
    return this->Now >= this->Instances[A].LinkCutUntil &&
           this->Now >= this->Instances[B].LinkCutUntil;
  }

  // The store.
  struct Copy {
    std::map<std::string, store::Row> Rows;
    uint64_t Version = 0;
  };
  void keepCopies(absl::Duration Every, Instant Until) {
    this->Copies.push_back(this->Stored);
    if (this->Copies.size() > 18)
      this->Copies.erase(this->Copies.begin());
    if (this->Now < Until)
      this->after(Every, [this, Every, Until] { this->keepCopies(Every, Until); });
  }
  void restore() {
    if (this->Copies.empty())
      return;
    this->Stored = this->Copies[this->number(0, this->Copies.size() - 1)];
    this->Copies.clear();
  }
  int64_t storeMs() const { return absl::ToUnixMillis(this->Now); }

  std::mt19937_64 Random;
  Instant Now = absl::FromUnixSeconds(1000000);
  std::vector<Instance> Instances;
  Metrics Counters;
  RateLimits::LimitMap Limits;
  Copy Stored;
  double LostAnswers = 0;
  uint64_t StoreCalls = 0;
  std::map<AccountName, std::vector<Instant>> Admitted;
  std::map<AccountName, uint64_t> Asked;
  std::map<AccountName, uint64_t> Refused;
  uint64_t RefusedLate = 0;
  uint64_t MessageBytes = 0;
  absl::Duration LongestWait;

private:
  struct Event {
    std::optional<size_t> Instance;
    uint64_t Incarnation = 0;
    std::function<void()> Task;
  };

  // Notes the highest limit that a running process applies, from now on.
  void noteLimits() {
    RateLimits::LimitMap Highest;
    for (const Instance &I : this->Instances)
      if (I.Running)
        for (const auto &[Name, L] : I.Running->Applied) {
          Highest[Name].PerSecond = std::max(Highest[Name].PerSecond, L.PerSecond);
          Highest[Name].Burst = std::max(Highest[Name].Burst, L.Burst);
        }
    this->InForce[this->Now] = std::move(Highest);
  }
  Limit highestLimit(const AccountName &Account, Instant From, Instant To) const {
    Limit Out;
    auto It = this->InForce.upper_bound(From);
    if (It != this->InForce.begin())
      --It;
    for (; It != this->InForce.end() && It->first <= To; ++It)
      if (auto L = It->second.find(Account); L != It->second.end()) {
        Out.PerSecond = std::max(Out.PerSecond, L->second.PerSecond);
        Out.Burst = std::max(Out.Burst, L->second.Burst);
      }
    return Out;
  }

  std::map<std::pair<Instant, uint64_t>, Event> Events;
  uint64_t NextEvent = 1;
  std::map<Instant, RateLimits::LimitMap> InForce;
  std::vector<Copy> Copies;
};

Process::Process(World &Of, size_t Index, uint64_t Incarnation)
    : Of(Of), Index(Index), Number(Incarnation), Id("node-" + std::to_string(Index)),
      Limits(*this, *this, Of.Counters, {}) {
  for (size_t I = 0; I < Of.Instances.size(); ++I)
    if (I != Index)
      this->Others.emplace_back("node-" + std::to_string(I));
}

Instant Process::now() const { return this->Of.Now; }

TimerId Process::at(Instant Deadline, std::function<void()> Task) {
  TimerId Timer(this->NextTimer++);
  this->Timers[Timer] = std::move(Task);
  this->Of.forProcessAt(*this, Deadline, [this, Timer] {
    auto Node = this->Timers.extract(Timer);
    if (!Node.empty())
      Node.mapped()();
  });
  return Timer;
}

bool Process::send(const InstanceId &To, proto::Envelope Message) {
  size_t Peer = std::stoul(To.Value.substr(5));
  this->Of.MessageBytes += Message.ByteSizeLong();
  const Instance &Receiver = this->Of.Instances[Peer];
  if (!this->Of.linked(this->Index, Peer) || !Receiver.Running ||
      this->Of.chance(this->Of.LostAnswers))
    return true;
  Process *P = Receiver.Running.get();
  this->Of.forProcess(*P, this->Of.delay(this->Index, Peer),
                      [P, From = this->Id, Message] { P->Limits.onMessage(From, Message); });
  return true;
}

void Process::readAll(const std::string &, std::function<void(store::ReadResult)> Done) {
  ++this->Of.StoreCalls;
  if (this->now() < this->Of.Instances[this->Index].StoreCutUntil) {
    this->Of.forProcess(*this, StoreDelay, [Done] { Done({.Cause = "cut"}); });
    return;
  }
  this->Of.after(StoreDelay,
                 [this, &Of = this->Of, Index = this->Index, Number = this->Number, Done] {
                   store::ReadResult R{.Done = true, .StoreMs = Of.storeMs()};
                   for (const auto &[Key, Row] : Of.Stored.Rows)
                     R.Rows.push_back(Row);
                   if (Of.Instances[Index].Running && Of.Instances[Index].Incarnation == Number)
                     Of.forProcess(*this, StoreDelay, [Done, R] { Done(R); });
                 });
}

void Process::write(const std::string &, const std::string &Key, store::RowVersion Expected,
                    const std::string &Value, std::function<void(store::WriteResult)> Done) {
  ++this->Of.StoreCalls;
  if (this->now() < this->Of.Instances[this->Index].StoreCutUntil) {
    this->Of.forProcess(*this, StoreDelay,
                        [Done] { Done({.Outcome = store::WriteOutcome::NotDone}); });
    return;
  }
  bool Lost = this->Of.chance(this->Of.LostAnswers);
  if (Lost)
    this->Of.forProcess(*this, absl::Milliseconds(1500),
                        [Done] { Done({.Outcome = store::WriteOutcome::Unknown}); });
  absl::Duration Late = Lost ? this->Of.some(0, 1500) : StoreDelay;
  this->Of.after(Late, [this, &Of = this->Of, Index = this->Index, Number = this->Number, Key,
                        Expected, Value, Done, Lost] {
    store::Row &Row = Of.Stored.Rows[Key];
    store::WriteResult R{.StoreMs = Of.storeMs()};
    if (Row.Version == Expected) {
      Row = {.Key = Key, .Value = Value, .Version = store::RowVersion(++Of.Stored.Version)};
      R.Outcome = store::WriteOutcome::Done;
      R.Version = Row.Version;
    } else {
      R.Outcome = store::WriteOutcome::Conflict;
      R.Found = Row;
    }
    if (!Lost && Of.Instances[Index].Running && Of.Instances[Index].Incarnation == Number)
      Of.forProcess(*this, StoreDelay, [Done, R] { Done(R); });
  });
}

// Something that goes wrong at a random instance, for a random time.
void disturb(World &W) {
  size_t I = W.index();
  Instance &X = W.Instances[I];
  switch (W.number(0, 6)) {
  case 0:
    X.SuspendedUntil = W.Now + W.some(50, 14000);
    break;
  case 1:
    X.StoreCutUntil = W.Now + W.some(500, 20000);
    break;
  case 2:
    X.LinkCutUntil = W.Now + W.some(500, 20000);
    break;
  case 3:
    if (!X.Running)
      break;
    W.kill(I);
    W.after(W.some(300, 15000), [&W, I] {
      if (!W.Instances[I].Running)
        W.start(I);
    });
    break;
  case 4:
    W.restore();
    break;
  case 5: // a holder, rather than any instance
    if (std::optional<size_t> Holder = W.holder(static_cast<uint32_t>(W.number(0, 3))))
      W.Instances[*Holder].SuspendedUntil = W.Now + W.some(500, 12000);
    break;
  case 6: // the store is unavailable for all
    for (Instance &Each : W.Instances)
      Each.StoreCutUntil = std::max(Each.StoreCutUntil, W.Now + W.some(5000, 9000));
    break;
  }
}

void disturbUntil(World &W, Instant Until, size_t MeanMs) {
  if (W.Now >= Until)
    return;
  W.after(W.some(1, 2 * MeanMs), [&W, Until, MeanMs] {
    disturb(W);
    disturbUntil(W, Until, MeanMs);
  });
}

// Lowers, raises, removes or adds limits, which the instances apply at different times.
void changeLimits(World &W, Instant Until) {
  if (W.Now >= Until)
    return;
  W.after(W.some(5000, 20000), [&W, Until] {
    for (auto &[Name, L] : W.Limits)
      if (W.chance(0.4))
        L = {.PerSecond = L.PerSecond * (W.chance(0.7) ? 0.3 : 2), .Burst = L.Burst};
    for (Instance &I : W.Instances)
      if (I.Running)
        W.forProcess(*I.Running, W.some(0, 500), [&W, P = I.Running.get()] { W.apply(*P); });
    changeLimits(W, Until);
  });
}

AccountName account(size_t I) { return AccountName("account-" + std::to_string(I)); }

} // namespace

// Guards against more admitted operations than the limit allows, while holders freeze, are cut off
// from the store or from the others, end and restart, limits change and the store goes back.
TEST_CASE("random faults: each window stays within the limit of its account") {
  const std::vector<Limit> Limits = {{0.4, 1}, {1, 1}, {4, 10}, {20, 20}, {60, 30}, {0, 5}};
  uint64_t Admitted = 0;
  double Nearest = -1e9;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    World W(4 + Seed % 4, Seed);
    W.LostAnswers = 0.02;
    for (size_t I = 0; I < Limits.size(); ++I)
      W.Limits[account(I)] = Limits[I];
    for (size_t I = 0; I < W.Instances.size(); ++I)
      W.start(I);
    Instant End = W.Now + absl::Seconds(90);
    W.keepCopies(absl::Milliseconds(500), End);
    for (size_t I = 0; I < Limits.size(); ++I)
      W.load(account(I), Limits[I].PerSecond * (W.chance(0.5) ? 5 : 1.5) + 1, End);
    disturbUntil(W, End, Seed % 2 == 0 ? 3000 : 800);
    if (Seed % 3 == 0)
      changeLimits(W, End);
    W.runFor(absl::Seconds(95));
    for (size_t I = 0; I < Limits.size(); ++I) {
      CAPTURE(I);
      Admitted += W.Admitted[account(I)].size();
      double Excess = W.excess(account(I));
      Nearest = std::max(Nearest, Excess);
      CHECK(Excess <= 0);
    }
    CHECK(W.Admitted[account(5)].empty()); // rate 0
  }
  CHECK(Admitted > 60 * 500); // the faults leave most of the time for the limits
  MESSAGE("admitted " << Admitted << ", nearest to the bound " << Nearest);
}

namespace {

constexpr size_t FleetSize = 30;
constexpr size_t AccountCount = 80;
constexpr double TotalPerSecond = 700;
constexpr double Headroom = 1.6;

// The usual rates of the accounts: a few of them are large.
std::vector<double> usualRates() {
  std::vector<double> Out;
  double Sum = 0;
  for (size_t I = 0; I < AccountCount; ++I)
    Sum += Out.emplace_back(std::pow(static_cast<double>(I + 1), -1.2));
  for (double &R : Out)
    R *= TotalPerSecond / Sum;
  return Out;
}

struct Fleet {
  explicit Fleet(uint64_t Seed) : W(FleetSize, Seed), Rates(usualRates()) {
    for (size_t I = 0; I < AccountCount; ++I)
      this->W.Limits[account(I)] = {.PerSecond = this->Rates[I] * Headroom,
                                    .Burst = std::max(5.0, this->Rates[I] * Headroom * 2)};
    for (size_t I = 0; I < FleetSize; ++I)
      this->W.after(absl::Milliseconds(30 * static_cast<int64_t>(I)),
                    [this, I] { this->W.start(I); });
    this->W.runFor(absl::Seconds(10));
  }
  uint64_t refused() {
    uint64_t Out = 0;
    for (const auto &[Name, N] : this->W.Refused)
      Out += N;
    return Out;
  }
  uint64_t asked() {
    uint64_t Out = 0;
    for (const auto &[Name, N] : this->W.Asked)
      Out += N;
    return Out;
  }
  World W;
  std::vector<double> Rates;
};

} // namespace

// Guards against operations below the limit that are refused, which are lost for their callers:
// tokens that expire at instances, buckets that are used unevenly, and a holder's end.
TEST_CASE("replay: below the limit nearly nothing is refused although a holder ends") {
  Fleet F(7);
  std::set<size_t> Holders;
  for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P) {
    REQUIRE(F.W.holders(P) == 1);
    Holders.insert(*F.W.holder(P));
  }
  CHECK(Holders.size() == ratelimit::PartitionCount);
  Instant End = F.W.Now + absl::Seconds(60);
  for (size_t I = 0; I < AccountCount; ++I)
    F.W.load(account(I), F.Rates[I], End);
  F.W.runFor(absl::Seconds(15));
  uint64_t BeforeKill = F.refused();
  F.W.kill(*F.W.holder(0));
  F.W.runFor(absl::Seconds(46));
  CHECK(F.W.holders(0) == 1);
  MESSAGE("asked " << F.asked() << ", refused " << F.refused() << ", before the kill " << BeforeKill
                   << "; longest wait " << absl::ToDoubleMilliseconds(F.W.LongestWait) << " ms; "
                   << F.W.MessageBytes / 70 << " bytes/s; store calls " << F.W.StoreCalls);
  CHECK(static_cast<double>(F.refused()) < 0.01 * static_cast<double>(F.asked()));
  CHECK(F.W.LongestWait < absl::Milliseconds(500));
  for (size_t I = 0; I < AccountCount; ++I)
    CHECK(F.W.excess(account(I)) <= 0);
}

// Guards against an account far over its rate that gets less than its limit, that makes others lose
// theirs, or whose excess waits instead of being refused.
TEST_CASE("replay: an account at 7 times its rate gets its limit and no more") {
  Fleet F(8);
  constexpr double Factor = 7;
  Instant End = F.W.Now + absl::Seconds(20);
  const size_t Noisy = 2;
  for (size_t I = 0; I < AccountCount; ++I)
    F.W.load(account(I), F.Rates[I] * (I == Noisy ? Factor : 1), End);
  F.W.runFor(absl::Seconds(21));
  Limit L = F.W.Limits[account(Noisy)];
  auto Served = static_cast<double>(F.W.Admitted[account(Noisy)].size());
  uint64_t NoisyRefused = F.W.Refused[account(Noisy)];
  uint64_t OthersRefused = F.refused() - NoisyRefused;
  MESSAGE("limit " << L.PerSecond * 20 << " admitted " << Served << " of "
                   << F.W.Asked[account(Noisy)] << "; refused after a wait " << F.W.RefusedLate
                   << " of " << NoisyRefused << "; refused of others " << OthersRefused << " of "
                   << F.asked());
  CHECK(Served >= 0.9 * L.PerSecond * 20);
  CHECK(F.W.excess(account(Noisy)) <= 0);
  CHECK(static_cast<double>(OthersRefused) < 0.01 * static_cast<double>(F.asked()));
  CHECK(F.W.LongestWait < absl::Milliseconds(500));
}

// Guards against calls and messages in deployments without limits.
TEST_CASE("without a limit with a rate nothing is read, written or sent") {
  World W(3, 1);
  W.Limits[account(0)] = {.PerSecond = 0, .Burst = 5};
  for (size_t I = 0; I < 3; ++I)
    W.start(I);
  W.runFor(absl::Seconds(30));
  CHECK(W.StoreCalls == 0);
  CHECK(W.MessageBytes == 0);
  bool Called = false;
  W.Instances[0].Running->Limits.admit(AccountName("other"), W.Now,
                                       [&](const Admission &A) { Called = A.Admitted; });
  CHECK(Called);
  W.Instances[0].Running->Limits.admit(account(0), W.Now, [&](const Admission &A) {
    CHECK_FALSE(A.Admitted);
    CHECK(A.Cause == "rate_limit");
    CHECK(refusalText(A) == "the account's rate is 0");
  });
}

// Guards against an instance that admits operations on its own while it reaches no holder.
TEST_CASE("an instance that reaches no holder refuses, and others claim its partitions") {
  World W(4, 2);
  W.Limits[account(0)] = {.PerSecond = 40, .Burst = 40};
  for (size_t I = 0; I < 4; ++I)
    W.start(I);
  W.runFor(absl::Seconds(10));
  // Cut off from everything: a holder's lease ends, and tokens held before expire.
  W.Instances[1].LinkCutUntil = W.Instances[1].StoreCutUntil = absl::InfiniteFuture();
  W.runFor(absl::Seconds(25));
  W.Instances[1].Running->Limits.admit(account(0), W.Now + absl::Seconds(1),
                                       [](const Admission &A) {
                                         CHECK_FALSE(A.Admitted);
                                         CHECK(A.Cause == "no_rate_partition");
                                         CHECK(refusalText(A) == "retry after 1000 ms");
                                       });
  for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P)
    CHECK(W.holders(P) == 1);
}

// Guards against partitions without holder after a drain, and after all instances ended at once.
TEST_CASE("partitions are taken over after a drain at once, and after a restart of all") {
  World W(5, 3);
  W.Limits[account(0)] = {.PerSecond = 40, .Burst = 40};
  for (size_t I = 0; I < 5; ++I)
    W.start(I);
  W.runFor(absl::Seconds(10));
  REQUIRE(W.holder(0));
  size_t Former = *W.holder(0);
  W.Instances[Former].Running->Limits.drain();
  W.runFor(absl::Seconds(4));
  REQUIRE(W.holder(0));
  CHECK(*W.holder(0) != Former);
  W.runFor(absl::Seconds(5));
  for (size_t I = 0; I < 5; ++I)
    W.kill(I);
  W.runFor(absl::Seconds(1));
  for (size_t I = 0; I < 5; ++I)
    W.start(I);
  W.runFor(absl::Milliseconds(300));
  for (uint32_t P = 0; P < ratelimit::PartitionCount; ++P)
    CHECK(W.holders(P) == 1);
}

namespace {

// Six instances; the one without a partition has asked all holders, which were suspended, and gave
// up its operation. Their grants have arrived after that.
struct LateGrants {
  explicit LateGrants(const Limit &L) : W(6, 4) {
    this->W.Limits[account(0)] = L;
    for (size_t I = 0; I < 6; ++I)
      this->W.start(I);
    this->W.runFor(absl::Seconds(8));
    for (size_t I = 0; I < 6; ++I) {
      bool Holds = false;
      for (uint32_t Part = 0; Part < ratelimit::PartitionCount; ++Part)
        Holds |= this->W.Instances[I].Running->Limits.holds(Part);
      if (!Holds)
        this->P = this->W.Instances[I].Running.get();
    }
    REQUIRE(this->P);
    this->suspendOthers();
    this->admit();
    this->W.runFor(absl::Milliseconds(1050));
    CHECK(this->Refused == 1);
    this->W.runFor(absl::Milliseconds(450));
    this->suspendOthers();
  }
  // Longer than the time-outs of the requests to four holders.
  void suspendOthers() {
    for (Instance &I : this->W.Instances)
      if (I.Running.get() != this->P)
        I.SuspendedUntil = this->W.Now + absl::Milliseconds(1100);
  }
  void admit() {
    this->P->Limits.admit(account(0), this->W.Now + absl::Seconds(2), [this](const Admission &A) {
      ++(A.Admitted ? this->Admitted : this->Refused);
    });
  }
  World W;
  Process *P = nullptr;
  int Admitted = 0;
  int Refused = 0;
};

} // namespace

// Guards against tokens that are lost because their grants arrived after the requests were given
// up, and against tokens that are used twice.
TEST_CASE("late grants are used until their expiry, once") {
  LateGrants G({.PerSecond = 0.4, .Burst = 1}); // tokens are kept for 5 s
  for (int I = 0; I < 6; ++I)
    G.admit();
  CHECK(G.Admitted == 4); // one token of each partition
  G.W.runFor(absl::Seconds(1));
  CHECK(G.Admitted == 4);
  CHECK(G.Refused == 3);
}

// Guards against an expiry that is counted from the arrival of the grant: the tokens would be used
// on top of those that were granted meanwhile.
TEST_CASE("the expiry of a token counts from its request") {
  LateGrants G({.PerSecond = 100, .Burst = 100}); // tokens are kept for 0.48 s
  G.admit();
  CHECK(G.Admitted == 0);
}

// Guards against an operation that is admitted after its session has given it up.
TEST_CASE("a cancelled request takes no token") {
  World W(3, 5);
  W.Limits[account(0)] = {.PerSecond = 100, .Burst = 100};
  for (size_t I = 0; I < 3; ++I)
    W.start(I);
  W.runFor(absl::Seconds(8));
  for (size_t I = 0; I < 3; ++I) {
    bool Called = false;
    RateLimits &L = W.Instances[I].Running->Limits;
    auto Id =
        L.admit(account(0), W.Now + absl::Seconds(1), [&](const Admission &) { Called = true; });
    if (!Id)
      continue;
    L.cancel(account(0), *Id);
    W.runFor(absl::Seconds(1));
    CHECK_FALSE(Called);
  }
}
