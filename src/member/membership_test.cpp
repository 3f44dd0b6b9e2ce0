#include "member/member.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <set>

using namespace toucan;
using namespace toucan::member;

namespace {

const Instant Start = absl::UnixEpoch();

// Members on a simulated lossless network with links that can be cut. Time advances in steps.
struct SimulatedNetwork {
  std::vector<std::unique_ptr<Membership>> Nodes;
  std::set<std::pair<size_t, size_t>> CutLinks; // from, to
  std::set<size_t> Paused;
  Instant Now = Start;
  size_t Messages = 0;
  size_t Bytes = 0;

  explicit SimulatedNetwork(size_t Count) {
    std::vector<ListedInstance> List;
    for (size_t I = 0; I < Count; ++I)
      List.push_back({.Id = id(I), .LinkEndpoint = "e", .At = {DataCentre("a"), Region("r")}});
    for (size_t I = 0; I < Count; ++I)
      this->Nodes.push_back(std::make_unique<Membership>(
          MembershipOptions{.Self = id(I), .LinkEndpoint = "e", .Incarnation = 1, .Seed = I + 1}));
    for (size_t I = 0; I < Count; ++I)
      this->deliver(I, this->Nodes[I]->onInstanceList(List, this->Now));
  }

  static InstanceId id(size_t I) { return InstanceId("i" + std::to_string(I)); }

  void deliver(size_t From, const std::vector<OutgoingHeartbeat> &Out) {
    for (const OutgoingHeartbeat &H : Out) {
      size_t To = std::stoul(H.To.Value.substr(1));
      ++this->Messages;
      this->Bytes += H.Message.ByteSizeLong();
      if (this->CutLinks.contains({From, To}) || this->Paused.contains(To))
        continue;
      this->deliver(To, this->Nodes[To]->onHeartbeat(H.Message, this->Now));
    }
  }

  void run(absl::Duration Time) {
    Instant End = this->Now + Time;
    while (this->Now < End) {
      this->Now += absl::Milliseconds(100);
      for (size_t I = 0; I < this->Nodes.size(); ++I)
        if (!this->Paused.contains(I))
          this->deliver(I, this->Nodes[I]->tick(this->Now));
    }
  }

  State stateSeenBy(size_t Who, size_t Of) const {
    for (const Member &M : this->Nodes[Who]->members())
      if (M.Id == id(Of))
        return M.Status;
    return State::Dead;
  }
};

} // namespace

TEST_CASE("all members of the list become Alive") {
  SimulatedNetwork N(5);
  N.run(absl::Seconds(3));
  for (size_t A = 0; A < 5; ++A)
    for (size_t B = 0; B < 5; ++B)
      CHECK(N.stateSeenBy(A, B) == State::Alive);
}

// Guards against work that is still sent to a paused instance, and against an instance that stays
// dead after it has resumed.
TEST_CASE("a paused member becomes Dead for all others, and Alive after it resumes") {
  SimulatedNetwork N(6);
  N.run(absl::Seconds(2));
  N.Paused.insert(3);
  N.run(absl::Seconds(10));
  for (size_t A : {0, 1, 2, 4, 5})
    CHECK(N.stateSeenBy(A, 3) == State::Dead);
  N.Paused.clear();
  N.run(absl::Seconds(5));
  for (size_t A = 0; A < 6; ++A)
    CHECK(N.stateSeenBy(A, 3) == State::Alive);
}

// Guards against one broken link that takes a healthy member out of service for all others.
TEST_CASE("a member that one peer cannot reach stays alive for the others") {
  SimulatedNetwork N(6);
  N.run(absl::Seconds(2));
  N.CutLinks = {{0, 1}, {1, 0}};
  int Dead = 0;
  for (int Step = 0; Step < 200; ++Step) {
    N.run(absl::Milliseconds(100));
    for (size_t A = 2; A < 6; ++A)
      Dead += N.stateSeenBy(A, 1) == State::Dead ? 1 : 0;
  }
  CHECK(Dead == 0);
}

TEST_CASE("a later incarnation under the same id replaces the earlier one") {
  SimulatedNetwork N(3);
  N.run(absl::Seconds(2));
  N.Nodes[2] = std::make_unique<Membership>(MembershipOptions{
      .Self = SimulatedNetwork::id(2), .LinkEndpoint = "other", .Incarnation = 2, .Seed = 9});
  N.deliver(
      2, N.Nodes[2]->onInstanceList({{.Id = SimulatedNetwork::id(0), .LinkEndpoint = "e"}}, N.Now));
  N.run(absl::Seconds(2));
  for (const Member &M : N.Nodes[1]->members())
    if (M.Id == SimulatedNetwork::id(2))
      CHECK(M.LinkEndpoint == "other");
}

TEST_CASE("the Draining state reaches all members and is not overridden by a refutation") {
  SimulatedNetwork N(8);
  N.run(absl::Seconds(2));
  N.deliver(4, N.Nodes[4]->announce(State::Draining, N.Now));
  N.run(absl::Seconds(3));
  for (size_t A = 0; A < 8; ++A)
    CHECK(N.stateSeenBy(A, 4) == State::Draining);
}

// Guards against an owner that has not read the list of databases yet.
TEST_CASE("a joining member becomes Alive only when it announces it") {
  SimulatedNetwork N(3);
  N.run(absl::Seconds(2));
  N.Nodes[2] = std::make_unique<Membership>(MembershipOptions{.Self = SimulatedNetwork::id(2),
                                                              .LinkEndpoint = "e",
                                                              .Incarnation = 2,
                                                              .SelfState = State::Joining,
                                                              .Seed = 9});
  N.deliver(
      2, N.Nodes[2]->onInstanceList({{.Id = SimulatedNetwork::id(0), .LinkEndpoint = "e"}}, N.Now));
  N.run(absl::Seconds(5));
  for (size_t A = 0; A < 3; ++A)
    CHECK(N.stateSeenBy(A, 2) == State::Joining);
  N.deliver(2, N.Nodes[2]->announce(State::Alive, N.Now));
  N.run(absl::Seconds(3));
  for (size_t A = 0; A < 3; ++A)
    CHECK(N.stateSeenBy(A, 2) == State::Alive);
}

// Guards against control traffic that grows with the number of members.
TEST_CASE("messages and bytes per member do not grow with the member count") {
  auto PerMember = [](size_t Count) {
    SimulatedNetwork N(Count);
    N.run(absl::Seconds(5));
    size_t Messages = N.Messages;
    size_t Bytes = N.Bytes;
    N.run(absl::Seconds(10));
    MESSAGE(Count << " members: "
                  << static_cast<double>(N.Messages - Messages) /
                         (10.0 * static_cast<double>(Count))
                  << " messages/s, " << (N.Bytes - Bytes) / Count / 10 << " bytes/s each");
    return (N.Messages - Messages) / Count;
  };
  size_t Few = PerMember(8);
  size_t Many = PerMember(200);
  CHECK(Many <= Few + Few / 4);
}

// Guards against slow dissemination of rules: the requirement is 6 s for all members. Time is
// simulated, so the test counts probe rounds only.
TEST_CASE("a new rules version reaches 400 members within 6 s") {
  SimulatedNetwork N(400);
  N.run(absl::Seconds(5));
  N.deliver(0, N.Nodes[0]->setRulesVersion(RulesVersion(7), N.Now));
  Instant Changed = N.Now;
  size_t Behind = 400;
  while (Behind > 0 && N.Now < Changed + absl::Seconds(6)) {
    // A member that sees a higher version fetches it; the fetch is modelled as instantaneous.
    Behind = 0;
    for (size_t I = 0; I < 400; ++I) {
      uint64_t Highest = 0;
      for (const Member &M : N.Nodes[I]->members())
        Highest = std::max(Highest, M.Rules.Value);
      N.deliver(I, N.Nodes[I]->setRulesVersion(RulesVersion(Highest), N.Now));
      Behind += Highest < 7 ? 1 : 0;
    }
    if (Behind > 0)
      N.run(absl::Milliseconds(100));
  }
  CHECK(Behind == 0);
  MESSAGE("reached 400 members after " << absl::ToDoubleSeconds(N.Now - Changed) << " s");
}

TEST_CASE("rules versions only increase, and an invalid text leaves the current rules in force") {
  RulesState S;
  CHECK_FALSE(S.known(Start, 1.0));
  auto Taken = capture([&] { return S.adopt(RulesVersion(3), ""); });
  REQUIRE(Taken);
  CHECK(*Taken);
  auto Older = capture([&] { return S.adopt(RulesVersion(2), ""); });
  CHECK_FALSE(*Older);
  CHECK_FALSE(capture([&] { return S.adopt(RulesVersion(4), "no such rule"); }));
  CHECK(S.version() == RulesVersion(3));
}

// Guards against serving requests under outdated rules.
TEST_CASE("the rules are unknown without the store and without more than half of the peers") {
  RulesState S;
  S.onStoreRead(Start);
  CHECK(S.known(Start + absl::Seconds(29), 0.0));
  CHECK_FALSE(S.known(Start + absl::Seconds(31), 0.5));
  CHECK(S.known(Start + absl::Seconds(31), 0.6));
}
