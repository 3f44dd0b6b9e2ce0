// Tests monitors under random faults with a simulated clock. Checks the guarantees during the
// faults and the recovery after them.
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
constexpr size_t ServerCount = 3;
constexpr absl::Duration FaultPeriod = absl::Seconds(20);
constexpr absl::Duration RecoveryPeriod = absl::Seconds(8); // the longest back-off and a few calls
constexpr int MaxWrites = 100;

struct RandomRun {
  Simulation S{ServerCount};
  std::mt19937_64 Random;
  std::map<uint64_t, TestEntry> WrittenEntries; // log entries of the writes, by ticket
  std::map<uint64_t, LogPosition> Positions;
  std::map<uint64_t, size_t> PrimaryOfTerm;
  std::map<uint64_t, LogPosition> ReadFloors; // lowest position a read must return, by ticket
  uint64_t NextTicket = 1;
  uint64_t NextReadTicket = 1;

  explicit RandomRun(uint64_t Seed) : Random(Seed) {
    this->S.OneWayDelay = [this] { return absl::Microseconds(500 + this->pick(20'000)); };
    for (int I = 0; I < 2; ++I)
      this->S.addDaemon(this->S.config(true, {InstanceId("peer")}));
    this->S.PeerProbeResult =
        [this](const AskPeerAction &P) -> std::optional<std::pair<bool, Term>> {
      size_t I = std::stoul(P.Target.Value.substr(1));
      bool Up = !this->S.FrozenServers.contains(I) && !this->S.StoppedServers.contains(I);
      if (this->pick(3) == 0)
        return std::nullopt;
      return std::make_pair(Up, Term(this->S.Servers[I].Accepted));
    };
  }

  uint64_t pick(uint64_t Below) { return this->Random() % Below; }

  void toggle(std::set<size_t> &Set) {
    size_t I = this->pick(ServerCount);
    if (Set.erase(I) == 0)
      Set.insert(I);
  }

  // Starts or ends one random fault, marks a server as leaving, or ends all faults.
  void injectFault() {
    switch (this->pick(7)) {
    case 0:
      this->toggle(this->S.FrozenServers);
      return;
    case 1:
      this->toggle(this->S.StoppedServers);
      return;
    case 2:
      this->toggle(this->S.UnreplicatedServers);
      return;
    case 3:
      this->toggle(this->S.Daemons[this->pick(2)]->UnreachableServers);
      return;
    case 4:
      this->S.AnswerLossPercent = this->pick(2) == 0 ? 0 : 20;
      return;
    case 5:
      this->configure(this->pick(ServerCount + 1));
      return;
    default:
      this->endFaults();
      return;
    }
  }

  // Marks one server as leaving, or none.
  void configure(size_t Leaving) {
    MonitorConfig C = this->S.config(true, {InstanceId("peer")});
    if (Leaving < ServerCount)
      C.Servers[Leaving].IsLeaving = true;
    for (auto &D : this->S.Daemons)
      this->S.perform(*D, D->GroupMonitor.configure(C, this->S.Now));
  }

  // Ends all faults.
  void endFaults() {
    this->configure(ServerCount);
    this->S.FrozenServers.clear();
    this->S.StoppedServers.clear();
    this->S.UnreplicatedServers.clear();
    this->S.AnswerLossPercent = 0;
    for (auto &D : this->S.Daemons)
      D->UnreachableServers.clear();
  }

  // Appends a write at a random server, if it regards itself as primary, and asks a random daemon
  // to confirm it.
  void write() {
    size_t I = this->pick(ServerCount);
    bool Up = !this->S.FrozenServers.contains(I) && !this->S.StoppedServers.contains(I);
    if (!Up || this->S.Servers[I].CurrentRole != Role::Primary || this->NextTicket > MaxWrites)
      return;
    uint64_t Ticket = this->NextTicket++;
    LogPosition At = this->S.write(I, static_cast<int>(Ticket));
    this->WrittenEntries[Ticket] = this->S.Servers[I].Log.back();
    this->Positions[Ticket] = At;
    Simulation::Daemon &D = *this->S.Daemons[this->pick(2)];
    this->S.perform(
        D, D.GroupMonitor.confirm(Ticket, At, this->S.Now + absl::Seconds(5), this->S.Now));
  }

  // Starts a verified read through a random daemon. It must cover all writes confirmed before it.
  void read() {
    uint64_t Ticket = this->NextReadTicket++;
    LogPosition &Floor = this->ReadFloors[Ticket];
    for (const auto &D : this->S.Daemons)
      for (const auto &[Write, Result] : D->Confirmed)
        if (Result == ConfirmResult::Confirmed)
          Floor = std::max(Floor, this->Positions.at(Write));
    Simulation::Daemon &D = *this->S.Daemons[this->pick(2)];
    this->S.perform(D, D.GroupMonitor.verify(Ticket, this->S.Now + absl::Seconds(2), this->S.Now));
  }

  bool holds(const TestServer &Server, uint64_t Ticket) const {
    size_t Index = this->Positions.at(Ticket).Position - 1;
    return Index < Server.Log.size() && Server.Log[Index] == this->WrittenEntries.at(Ticket);
  }

  // Returns a description of the first violated guarantee, or an empty string.
  std::string check() {
    for (size_t I = 0; I < ServerCount; ++I) {
      const TestServer &Server = this->S.Servers[I];
      if (Server.CurrentRole != Role::Primary)
        continue;
      auto [It, New] = this->PrimaryOfTerm.emplace(Server.Accepted, I);
      if (It->second != I)
        return "two servers were primary in the same term";
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

// Guards against a monitor that violates a guarantee under time-outs, retries and late answers, and
// against a group that stays without a primary after the faults have ended.
TEST_CASE("random faults: the guarantees hold and the group recovers") {
  size_t Confirmed = 0;
  size_t Changes = 0;
  size_t Verified = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RandomRun R(Seed);
    Instant End = R.S.Now + FaultPeriod;
    std::string Violation;
    while (R.S.Now < End && Violation.empty()) {
      R.S.run(absl::Milliseconds(20));
      if (R.pick(20) == 0)
        R.injectFault();
      if (R.pick(3) == 0)
        R.write();
      if (R.pick(5) == 0)
        R.read();
      Violation = R.check();
    }
    R.endFaults();
    R.S.run(RecoveryPeriod);
    CHECK(Violation + R.check() == "");
    const GroupState &A = R.S.Daemons[0]->GroupMonitor.state();
    const GroupState &B = R.S.Daemons[1]->GroupMonitor.state();
    REQUIRE(A.Primary.has_value());
    CHECK(A.Primary == B.Primary);
    for (const TestServer &Server : R.S.Servers)
      CHECK((Server.Accepted == A.CurrentTerm.Value && Server.CurrentRole != Role::Fenced));
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

// Guards against a slow failover. The median must be below 2 s and the longest time below 5 s.
TEST_CASE("a failed primary is replaced in time") {
  for (bool Freeze : {false, true}) {
    std::vector<absl::Duration> Gaps;
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RandomRun R(Seed);
      Simulation &S = R.S;
      S.run(absl::Seconds(3) + absl::Milliseconds(R.pick(600)));
      const Monitor &M = S.Daemons[0]->GroupMonitor;
      REQUIRE(M.state().Primary.has_value());
      TargetId Old = *M.state().Primary;
      (Freeze ? S.FrozenServers : S.StoppedServers).insert(std::stoul(Old.Value.substr(1)));
      Instant Since = S.Now;
      while (S.Now - Since < absl::Seconds(10) && M.state().Primary.value_or(Old) == Old)
        S.run(absl::Milliseconds(1));
      Gaps.push_back(S.Now - Since);
    }
    std::sort(Gaps.begin(), Gaps.end());
    MESSAGE(std::string(Freeze ? "frozen" : "stopped")
            << ": median " << absl::ToInt64Milliseconds(Gaps[Gaps.size() / 2]) << " ms, longest "
            << absl::ToInt64Milliseconds(Gaps.back()) << " ms");
    CHECK(Gaps[Gaps.size() / 2] < absl::Seconds(2));
    CHECK(Gaps.back() < absl::Seconds(5));
  }
}
