// Randomised model of the leases on one partition. Three instances claim it; they are suspended,
// cut off from the store or from each other, and restarted. Writes are executed late, their answers
// are lost, and the store is restored from older copies. Guards against two instances that grant
// tokens of one partition at the same time, which doubles the rate of that partition.
#include "ratelimit/ratelimit.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <random>

using namespace toucan;
using namespace toucan::ratelimit;

namespace {

constexpr int Runs = 1500;
constexpr int StepsPerRun = 1200;
constexpr int StepMs = 100;
constexpr size_t Instances = 3;
// Longest time from the sending of a write to its execution. The client gives up after 1.5 s, and a
// write that is under way then is executed a little later.
constexpr int MaxWriteDelayMs = 1900;
// Longest age of the copy from which the store is restored.
constexpr int MaxCopyAgeMs = 9000;

struct Rates {
  double Suspend = 0.002;
  double CutStore = 0.003;
  double CutLink = 0.003;
  double Restart = 0.001;
  double Release = 0.001;
  double Restore = 0.002;
  double LoseAnswer = 0.05;
};

class World {
public:
  explicit World(uint64_t Seed) : Random(Seed) {
    for (size_t I = 0; I < Instances; ++I)
      this->Nodes.push_back(Node{.Lease = this->newLease(I)});
  }

  // Number of instances that would grant a token now.
  size_t granting() const {
    size_t Out = 0;
    for (const Node &N : this->Nodes)
      Out += this->Now >= N.SuspendedUntil && N.Lease.grants(this->Now) ? 1 : 0;
    return Out;
  }

  void step() {
    this->Now += absl::Milliseconds(StepMs);
    this->Copies[this->Now] = {this->Row, this->Version};
    this->Copies.erase(this->Copies.begin(),
                       this->Copies.lower_bound(this->Now - absl::Milliseconds(MaxCopyAgeMs)));
    if (this->chance(this->Odds.Restore)) {
      auto It = this->Copies.begin();
      std::advance(It, this->number(0, static_cast<int>(this->Copies.size()) - 1));
      this->Row = It->second.first;
      this->Version = It->second.second;
      this->Copies.clear();
      ++this->Restored;
    }
    for (size_t I = 0; I < Instances; ++I)
      this->disturb(I);
    this->deliver();
    for (size_t I = 0; I < Instances; ++I)
      if (this->Now >= this->Nodes[I].SuspendedUntil)
        this->act(I);
  }

  uint64_t Held = 0;     // changes to Held
  uint64_t Restored = 0; // restores of the store

private:
  struct Node {
    LeaseState Lease;
    uint64_t Incarnation = 1;
    Instant SuspendedUntil = absl::InfinitePast();
    Instant StoreCutUntil = absl::InfinitePast();
    Instant LinkCutUntil = absl::InfinitePast();
    Instant NoRestartBefore = absl::InfinitePast();
    Instant NextRead = absl::InfinitePast();
    Instant NextAnnouncement = absl::InfinitePast();
    Instant HeardUntil = absl::InfinitePast(); // another holder was announced
    std::vector<size_t> Undecided;
    uint64_t Query = 0;
  };
  struct Event {
    Instant At;
    std::optional<size_t> To; // instance; handled when it is not suspended
    uint64_t Incarnation = 0;
    std::function<void()> Task;
  };

  bool chance(double P) { return std::bernoulli_distribution(P)(this->Random); }
  int number(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(this->Random);
  }
  absl::Duration some(int MinMs, int MaxMs) {
    return absl::Milliseconds(this->number(MinMs, MaxMs));
  }
  LeaseState newLease(size_t I) {
    return LeaseState(InstanceId("i" + std::to_string(I)),
                      I < this->Nodes.size() ? this->Nodes[I].Incarnation : 1);
  }

  void disturb(size_t I) {
    Node &N = this->Nodes[I];
    if (this->chance(this->Odds.Suspend))
      N.SuspendedUntil = this->Now + this->some(200, 15000);
    if (this->chance(this->Odds.CutStore))
      N.StoreCutUntil = this->Now + this->some(200, 20000);
    if (this->chance(this->Odds.CutLink))
      N.LinkCutUntil = this->Now + this->some(200, 20000);
    if (this->chance(this->Odds.Restart) && this->Now >= N.NoRestartBefore) {
      ++N.Incarnation;
      N.Lease = this->newLease(I);
      N.SuspendedUntil = this->Now + this->some(300, 5000);
      N.Undecided.clear();
    }
    if (this->chance(this->Odds.Release) && this->Now >= N.SuspendedUntil) {
      if (auto W = N.Lease.release(this->Now))
        this->write(I, *W);
      // A drained process ends and starts again later than its lease would have ended.
      N.NoRestartBefore = this->Now + LeaseDuration;
      N.NextRead = this->Now + this->some(0, 3000);
    }
  }

  void send(size_t To, absl::Duration After, std::function<void()> Task) {
    this->Events.push_back({.At = this->Now + After,
                            .To = To,
                            .Incarnation = this->Nodes[To].Incarnation,
                            .Task = std::move(Task)});
  }
  bool linked(size_t A, size_t B) const {
    return this->Now >= this->Nodes[A].LinkCutUntil && this->Now >= this->Nodes[B].LinkCutUntil;
  }

  void deliver() {
    for (size_t I = 0; I < this->Events.size();) {
      Event &E = this->Events[I];
      bool Suspended = E.To && this->Now < this->Nodes[*E.To].SuspendedUntil;
      if (this->Now < E.At || Suspended) {
        ++I;
        continue;
      }
      bool SameProcess = !E.To || this->Nodes[*E.To].Incarnation == E.Incarnation;
      std::function<void()> Task = std::move(E.Task);
      this->Events.erase(this->Events.begin() + static_cast<ptrdiff_t>(I));
      if (SameProcess)
        Task();
    }
  }

  void write(size_t I, const LeaseWrite &W) {
    auto Answer = [this, I, Number = W.Number](const store::WriteResult &R) {
      this->send(I, absl::ZeroDuration(), [this, I, Number, R] {
        this->onChange(I, this->Nodes[I].Lease.onWritten(Number, R, this->Now));
      });
    };
    if (this->Now < this->Nodes[I].StoreCutUntil) {
      Answer({.Outcome = store::WriteOutcome::NotDone});
      return;
    }
    bool Lost = this->chance(this->Odds.LoseAnswer);
    if (Lost)
      this->send(I, absl::Milliseconds(1500), [this, I, Number = W.Number] {
        this->onChange(I, this->Nodes[I].Lease.onWritten(
                              Number, {.Outcome = store::WriteOutcome::Unknown}, this->Now));
      });
    absl::Duration Delay = this->chance(0.9) ? this->some(0, 100) : this->some(0, MaxWriteDelayMs);
    this->Events.push_back({.At = this->Now + Delay, .Task = [this, W, Lost, Answer] {
                              store::WriteResult R = this->execute(W);
                              if (!Lost)
                                Answer(R);
                            }});
  }

  store::WriteResult execute(const LeaseWrite &W) {
    store::WriteResult R{.StoreMs = absl::ToUnixMillis(this->Now)};
    if (W.Expected != this->Row.Version) {
      R.Outcome = store::WriteOutcome::Conflict;
      R.Found = this->Row;
      return R;
    }
    this->Row = {.Key = "0", .Value = W.Value, .Version = store::RowVersion(++this->Version)};
    R.Outcome = store::WriteOutcome::Done;
    R.Version = this->Row.Version;
    return R;
  }

  void onChange(size_t I, LeaseState::Change C) {
    Node &N = this->Nodes[I];
    if (C == LeaseState::Change::Held)
      ++this->Held;
    if (C != LeaseState::Change::Claimed)
      return;
    ++N.Query;
    N.Undecided.clear();
    for (size_t J = 0; J < Instances; ++J)
      if (J != I)
        N.Undecided.push_back(J);
  }

  void ask(size_t I) {
    for (size_t J : this->Nodes[I].Undecided)
      if (this->linked(I, J))
        this->send(J, this->some(1, 150), [this, I, J, Query = this->Nodes[I].Query] {
          bool Holds = this->Nodes[J].Lease.onQuery(this->Now);
          if (this->linked(I, J))
            this->send(I, this->some(1, 150), [this, I, J, Query, Holds] {
              Node &N = this->Nodes[I];
              if (Query != N.Query)
                return;
              if (Holds) {
                N.Lease.onAnnouncement(this->Now);
              } else if (std::erase(N.Undecided, J) > 0 && N.Undecided.empty()) {
                this->onChange(I, N.Lease.onAllDenied(this->Now));
              }
            });
        });
  }

  void act(size_t I) {
    Node &N = this->Nodes[I];
    this->onChange(I, N.Lease.expire(this->Now));
    if (auto W = N.Lease.renewal(this->Now))
      this->write(I, *W);
    if (N.Lease.phase() == LeaseState::Phase::Claimed)
      this->ask(I);
    if (N.Lease.grants(this->Now) && this->Now >= N.NextAnnouncement) {
      N.NextAnnouncement = this->Now + absl::Seconds(2);
      for (size_t J = 0; J < Instances; ++J)
        if (J != I && this->linked(I, J))
          this->send(J, this->some(1, 100), [this, J, End = N.Lease.leaseEnd()] {
            this->Nodes[J].Lease.onAnnouncement(this->Now);
            this->Nodes[J].HeardUntil = End;
          });
    }
    bool Due = N.Lease.phase() == LeaseState::Phase::None && !N.Lease.writing() &&
               this->Now >= N.NextRead && this->Now >= N.HeardUntil;
    if (!Due)
      return;
    N.NextRead = this->Now + this->some(200, 1500);
    if (this->Now < N.StoreCutUntil)
      return;
    this->send(
        I, this->some(0, 300),
        [this, I, Found = this->Row, ReadAt = this->Now, Ms = absl::ToUnixMillis(this->Now)] {
          if (auto W = this->Nodes[I].Lease.claim(Found, Ms, ReadAt, this->Now))
            this->write(I, *W);
        });
  }

  std::mt19937_64 Random;
  Rates Odds;
  Instant Now = absl::FromUnixSeconds(1000);
  std::vector<Node> Nodes;
  std::deque<Event> Events;
  store::Row Row;
  uint64_t Version = 0;
  std::map<Instant, std::pair<store::Row, uint64_t>> Copies;
};

} // namespace

TEST_CASE("model: at most one instance grants tokens of a partition") {
  uint64_t Held = 0;
  uint64_t Restored = 0;
  uint64_t Granting = 0;
  for (uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    World W(Seed);
    for (int Step = 0; Step < StepsPerRun; ++Step) {
      W.step();
      size_t N = W.granting();
      Granting += N;
      if (N > 1) {
        CAPTURE(Seed);
        CAPTURE(Step);
        FAIL("two instances grant tokens");
      }
    }
    Held += W.Held;
    Restored += W.Restored;
  }
  // The histories reach the states that the model is about.
  CHECK(Held > Runs * 3);
  CHECK(Restored > Runs);
  CHECK(Granting > static_cast<uint64_t>(Runs) * StepsPerRun / 5);
  MESSAGE("held " << Held << " times, " << Granting * 100.0 / Runs / StepsPerRun
                  << " % of the time; store restored " << Restored << " times");
}
