// Monitors under random faults on a simulated clock: checks the guarantees throughout and the
// recovery after the faults have ended.
#include "group/test_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace toucan;
using namespace toucan::group;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t Seeds = 20;
#else
constexpr uint64_t Seeds = 200;
#endif
constexpr size_t ServerTotal = 3;
constexpr absl::Duration FaultTime = absl::Seconds(20);
constexpr absl::Duration RecoveryTime = absl::Seconds(8); // longest back-off and some calls
constexpr int MaxWrites = 100;

struct RandomRun {
  Simulation S{ServerTotal};
  std::mt19937_64 Random;
  std::map<uint64_t, TestEntry> Written; // by ticket
  std::map<uint64_t, LogPosition> Positions;
  std::map<uint64_t, size_t> PrimaryOfTerm;
  std::map<uint64_t, LogPosition> ReadFloors; // by ticket: the read must reach this position
  uint64_t NextTicket = 1;
  uint64_t NextRead = 1;

  explicit RandomRun(uint64_t Seed) : Random(Seed) {
    this->S.Delay = [this] { return absl::Microseconds(500 + this->pick(20'000)); };
    for (int I = 0; I < 2; ++I)
      this->S.add(this->S.config(true, {InstanceId("peer")}));
    this->S.Peer = [this](const AskPeerAction &P) -> std::optional<std::pair<bool, Term>> {
      size_t I = std::stoul(P.Target.Value.substr(1));
      bool Up = !this->S.Frozen.contains(I) && !this->S.Refusing.contains(I);
      if (this->pick(3) == 0)
        return std::nullopt;
      return std::make_pair(Up, Term(this->S.Servers[I].Accepted));
    };
  }

  uint64_t pick(uint64_t Below) { return this->Random() % Below; }

  void toggle(std::set<size_t> &Set) {
    size_t I = this->pick(ServerTotal);
    if (Set.erase(I) == 0)
      Set.insert(I);
  }

  void fault() {
    switch (this->pick(7)) {
    case 0:
      this->toggle(this->S.Frozen);
      return;
    case 1:
      this->toggle(this->S.Refusing);
      return;
    case 2:
      this->toggle(this->S.Held);
      return;
    case 3:
      this->toggle(this->S.Daemons[this->pick(2)]->Cut);
      return;
    case 4:
      this->S.Lose = this->pick(2) == 0 ? 0 : 20;
      return;
    case 5:
      this->configure(this->pick(ServerTotal + 1));
      return;
    default:
      this->heal();
      return;
    }
  }

  // Marks one server as leaving, or none.
  void configure(size_t Leaving) {
    MonitorConfig C = this->S.config(true, {InstanceId("peer")});
    if (Leaving < ServerTotal)
      C.Servers[Leaving].IsLeaving = true;
    for (auto &D : this->S.Daemons)
      this->S.perform(*D, D->Machine.configure(C, this->S.Now));
  }

  void heal() {
    this->configure(ServerTotal);
    this->S.Frozen.clear();
    this->S.Refusing.clear();
    this->S.Held.clear();
    this->S.Lose = 0;
    for (auto &D : this->S.Daemons)
      D->Cut.clear();
  }

  // A write at any server that takes itself for the primary, confirmed through either daemon.
  void write() {
    size_t I = this->pick(ServerTotal);
    bool Up = !this->S.Frozen.contains(I) && !this->S.Refusing.contains(I);
    if (!Up || this->S.Servers[I].Is != Role::Primary || this->NextTicket > MaxWrites)
      return;
    uint64_t Ticket = this->NextTicket++;
    LogPosition At = this->S.write(I, static_cast<int>(Ticket));
    this->Written[Ticket] = this->S.Servers[I].Log.back();
    this->Positions[Ticket] = At;
    Simulation::Daemon &D = *this->S.Daemons[this->pick(2)];
    this->S.perform(D, D.Machine.confirm(Ticket, At, this->S.Now + absl::Seconds(5), this->S.Now));
  }

  // A verified read through either daemon must reach all writes confirmed before it.
  void read() {
    uint64_t Ticket = this->NextRead++;
    LogPosition &Floor = this->ReadFloors[Ticket];
    for (const auto &D : this->S.Daemons)
      for (const auto &[Write, Result] : D->Confirmed)
        if (Result == ConfirmResult::Confirmed)
          Floor = std::max(Floor, this->Positions.at(Write));
    Simulation::Daemon &D = *this->S.Daemons[this->pick(2)];
    this->S.perform(D, D.Machine.verify(Ticket, this->S.Now + absl::Seconds(2), this->S.Now));
  }

  bool holds(const TestServer &Server, uint64_t Ticket) const {
    size_t Index = this->Positions.at(Ticket).Position - 1;
    return Index < Server.Log.size() && Server.Log[Index] == this->Written.at(Ticket);
  }

  // Returns a text for the first broken guarantee.
  std::string check() {
    for (size_t I = 0; I < ServerTotal; ++I) {
      const TestServer &Server = this->S.Servers[I];
      if (Server.Is != Role::Primary)
        continue;
      auto [It, New] = this->PrimaryOfTerm.emplace(Server.Accepted, I);
      if (It->second != I)
        return "two primaries of one term";
      for (const auto &D : this->S.Daemons)
        for (const auto &[Ticket, Result] : D->Confirmed)
          if (Result == ConfirmResult::Confirmed &&
              this->Positions.at(Ticket).InTerm <= Term(Server.Accepted) &&
              !this->holds(Server, Ticket))
            return "a primary lacks a confirmed write";
    }
    for (const auto &D : this->S.Daemons)
      for (const auto &[Ticket, At] : D->Verified)
        if (At && *At < this->ReadFloors.at(Ticket))
          return "a verified read lacks a write confirmed before it";
    return "";
  }
};

} // namespace

// Guards against a monitor that breaks the rules of its parts under timeouts, retries and late
// answers, and against a group that stays without a primary after the faults have ended.
TEST_CASE("random faults: guarantees hold and the group recovers") {
  size_t Confirmed = 0;
  size_t Changes = 0;
  size_t Verified = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RandomRun R(Seed);
    Instant End = R.S.Now + FaultTime;
    std::string Broken;
    while (R.S.Now < End && Broken.empty()) {
      R.S.run(absl::Milliseconds(20));
      if (R.pick(20) == 0)
        R.fault();
      if (R.pick(3) == 0)
        R.write();
      if (R.pick(5) == 0)
        R.read();
      Broken = R.check();
    }
    R.heal();
    R.S.run(RecoveryTime);
    CHECK(Broken + R.check() == "");
    const GroupState &A = R.S.Daemons[0]->Machine.state();
    const GroupState &B = R.S.Daemons[1]->Machine.state();
    REQUIRE(A.Primary.has_value());
    CHECK(A.Primary == B.Primary);
    for (const TestServer &Server : R.S.Servers)
      CHECK((Server.Accepted == A.Current.Value && Server.Is != Role::Fenced));
    for (const auto &D : R.S.Daemons) {
      for (const auto &[Ticket, At] : D->Verified)
        Verified += At ? 1 : 0;
      for (const auto &[Ticket, Result] : D->Confirmed)
        Confirmed += Result == ConfirmResult::Confirmed ? 1 : 0;
      Changes += std::count_if(D->Steps.begin(), D->Steps.end(),
                               [](const StepAction &A) { return A.Kind == Step::Promoted; });
    }
  }
  MESSAGE(Seeds << " runs: " << Changes << " promotions, " << Confirmed << " confirmed writes, "
                << Verified << " verified reads");
  CHECK(Verified > Seeds * 10);
  CHECK(Confirmed > Seeds * 10);
  CHECK(Changes > Seeds * 2);
}

// Guards against a failover that takes longer than the aim: median under 2 s, worst under 5 s.
TEST_CASE("time from a fault of the primary to the next one") {
  for (bool Freeze : {false, true}) {
    std::vector<absl::Duration> Gaps;
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RandomRun R(Seed);
      Simulation &S = R.S;
      S.run(absl::Seconds(3) + absl::Milliseconds(R.pick(600)));
      const Monitor &M = S.Daemons[0]->Machine;
      REQUIRE(M.state().Primary.has_value());
      TargetId Old = *M.state().Primary;
      (Freeze ? S.Frozen : S.Refusing).insert(std::stoul(Old.Value.substr(1)));
      Instant Since = S.Now;
      while (S.Now - Since < absl::Seconds(10) && M.state().Primary.value_or(Old) == Old)
        S.run(absl::Milliseconds(1));
      Gaps.push_back(S.Now - Since);
    }
    std::sort(Gaps.begin(), Gaps.end());
    MESSAGE(std::string(Freeze ? "frozen" : "stopped")
            << ": median " << absl::ToInt64Milliseconds(Gaps[Gaps.size() / 2]) << " ms, worst "
            << absl::ToInt64Milliseconds(Gaps.back()) << " ms");
    CHECK(Gaps[Gaps.size() / 2] < absl::Seconds(2));
    CHECK(Gaps.back() < absl::Seconds(5));
  }
}
