#include "member/member.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>

#include <random>

using namespace toucan;
using namespace toucan::member;

namespace {

constexpr uint64_t Seeds = 20;
constexpr int Steps = 300;
constexpr uint64_t DataCentres = 6;
constexpr uint64_t Regions = 3;

// Members and groups that change at random, with random places for members and targets.
struct RandomView {
  std::mt19937_64 Random;
  std::vector<Member> Members;
  std::vector<Group> Groups;
  uint64_t Next = 0;

  explicit RandomView(uint64_t Seed) : Random(Seed) {}

  uint64_t pick(uint64_t Below) { return this->Random() % Below; }
  template <class T> auto at(std::vector<T> &Items, uint64_t Index) {
    return Items.begin() + static_cast<ptrdiff_t>(Index);
  }
  bool oneIn(uint64_t Count) { return this->pick(Count) == 0; }

  Place place() {
    uint64_t Dc = this->pick(DataCentres);
    // In one of ten places the region is random and may differ from the usual one of the data
    // centre: the data centre takes precedence.
    uint64_t InRegion = this->oneIn(10) ? this->pick(Regions) : Dc % Regions;
    return {DataCentre(absl::StrFormat("dc%d", Dc)), Region(absl::StrFormat("r%d", InRegion))};
  }

  void addMember() {
    this->Members.push_back({.Id = InstanceId(absl::StrFormat("m%d", this->Next++)),
                             .At = this->place(),
                             .Status = this->oneIn(4) ? State::Joining : State::Alive});
  }

  void addGroup() {
    Group G{.Name = DatabaseName(absl::StrFormat("db%d", this->Next++))};
    for (uint64_t I = this->pick(4); I > 0; --I)
      G.Targets.push_back({.Id = TargetId(absl::StrFormat("t%d", I)), .At = this->place()});
    this->Groups.insert(this->at(this->Groups, this->pick(this->Groups.size() + 1)), G);
  }

  void applyRandomChange() {
    switch (this->pick(9)) {
    case 0:
    case 1:
      this->addMember();
      return;
    case 2:
    case 3:
      this->addGroup();
      return;
    case 4:
      if (!this->Groups.empty())
        this->Groups.erase(this->at(this->Groups, this->pick(this->Groups.size())));
      return;
    case 5:
      if (!this->Groups.empty())
        this->changeTargets(this->Groups[this->pick(this->Groups.size())]);
      return;
    default:
      if (!this->Members.empty())
        this->changeMember(this->pick(this->Members.size()));
      return;
    }
  }

  void changeTargets(Group &G) {
    if (G.Targets.empty() || this->oneIn(2))
      G.Targets.push_back({.Id = TargetId("new"), .At = this->place()});
    else if (this->oneIn(2))
      G.Targets.erase(this->at(G.Targets, this->pick(G.Targets.size())));
    else
      G.Targets[0].At = this->place();
  }

  void changeMember(size_t Index) {
    constexpr State States[] = {State::Alive, State::Alive,    State::Suspect,
                                State::Dead,  State::Draining, State::Joining};
    Member &M = this->Members[Index];
    if (this->oneIn(6))
      this->Members.erase(this->at(this->Members, Index));
    else if (this->oneIn(4))
      M.At = this->place();
    else if (this->oneIn(4))
      std::swap(M, this->Members[this->pick(this->Members.size())]);
    else
      M.Status = States[this->pick(std::size(States))];
  }
};

Group makeGroup(const std::string &Name, const Place &At) {
  return {.Name = DatabaseName(Name), .Targets = {{.Id = TargetId("t"), .At = At}}};
}

} // namespace

// Guards against an incremental owner table that differs from the full computation: daemons that
// saw the changes in a different order would disagree on owners permanently.
TEST_CASE("the incremental owners equal the full computation after each random change") {
  size_t Compared = 0;
  size_t Owned = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RandomView R(Seed);
    ViewBuilder Builder(InstanceId("self"), {});
    for (int Step = 0; Step < Steps; ++Step) {
      CAPTURE(Step);
      // Some steps apply several changes at once, some leave the list of groups unchanged.
      for (uint64_t I = R.oneIn(5) ? R.pick(10) : 1; I > 0; --I)
        R.applyRandomChange();
      Builder.setGroups(R.Groups);
      ViewPtr V = Builder.build(R.Members, true);
      REQUIRE(V->Groups.items() == R.Groups);
      for (const Group &G : R.Groups) {
        std::optional<InstanceId> Expected = computeOwner(G, R.Members);
        REQUIRE(V->ownerOf(G.Name) == Expected);
        ++Compared;
        Owned += Expected ? 1 : 0;
      }
    }
  }
  MESSAGE(Compared << " owners compared, " << Owned << " of them members");
  CHECK(Owned > Compared / 2);
}

// Guards against a view that is modified after publication while other loops read it.
TEST_CASE("a published view keeps its owners and groups after later changes") {
  RandomView R(1);
  ViewBuilder Builder(InstanceId("self"), {});
  for (int I = 0; I < 8; ++I)
    R.addMember();
  for (int I = 0; I < 40; ++I)
    R.addGroup();
  Builder.setGroups(R.Groups);
  ViewPtr First = Builder.build(R.Members, true);
  std::vector<std::optional<InstanceId>> Before;
  Before.reserve(First->Groups.size());
  for (const Group &G : First->Groups)
    Before.push_back(First->ownerOf(G.Name));
  std::vector<Group> Groups = R.Groups;
  for (int I = 0; I < 200; ++I) {
    R.applyRandomChange();
    Builder.setGroups(R.Groups);
    Builder.build(R.Members, true);
  }
  REQUIRE(First->Groups.items() == Groups);
  for (size_t I = 0; I < Groups.size(); ++I)
    CHECK(First->ownerOf(Groups[I].Name) == Before[I]);
}

// Guards against copying all groups (17,000 at full size) on each membership change.
TEST_CASE("views share their groups until the list or a target state changes") {
  ViewBuilder Builder(InstanceId("self"), {});
  Place At{DataCentre("a"), Region("r")};
  std::vector<Group> Listed = {makeGroup("orders", At), makeGroup("rounds", At)};
  std::vector<Member> Members = {{.Id = InstanceId("self"), .At = At}};
  CHECK(Builder.setGroups(Listed));
  ViewPtr First = Builder.build(Members, true);
  Members.push_back({.Id = InstanceId("other"), .At = At});
  CHECK_FALSE(Builder.setGroups(Listed));
  ViewPtr Second = Builder.build(Members, true);
  CHECK(Second->Groups.begin() == First->Groups.begin());
  auto Rules = [](const char *Text) {
    auto Parsed = capture([&] { return rules::RuleSet::parse(Text, "test"); });
    REQUIRE(Parsed);
    return std::make_shared<const rules::RuleSet>(std::move(*Parsed));
  };
  Builder.setRules(Rules("read database=orders table=t max_age=1s # test\n"), RulesVersion(1));
  ViewPtr Third = Builder.build(Members, true);
  CHECK(Third->Groups.begin() == First->Groups.begin());
  CHECK(Third->Version == RulesVersion(1));
  Builder.setRules(Rules("target database=orders target=t state=leaving # test\n"),
                   RulesVersion(2));
  ViewPtr Fourth = Builder.build(Members, true);
  CHECK(Fourth->findGroup(DatabaseName("orders"))->Targets[0].Status ==
        rules::TargetState::Leaving);
  CHECK(Fourth->findGroup(DatabaseName("rounds"))->Targets[0].Status == rules::TargetState::Active);
  CHECK(First->findGroup(DatabaseName("orders"))->Targets[0].Status == rules::TargetState::Active);
  // After a rule is removed, the state from the platform's list applies again.
  Builder.setRules(Rules(""), RulesVersion(3));
  CHECK(Builder.build(Members, true)->Groups.items() == Listed);
}

// Guards against an index by name that finds a group which the list no longer has.
TEST_CASE("each copy of a group list has its own name index") {
  GroupList First({makeGroup("orders", {})});
  GroupList Second = First;
  Second.push_back(makeGroup("rounds", {}));
  Second[0].SlotsPerTarget = 3;
  CHECK(First.size() == 1);
  CHECK(First[0].SlotsPerTarget == 0);
  CHECK_FALSE(First.indexOf(DatabaseName("rounds")));
  CHECK(Second.indexOf(DatabaseName("rounds")) == 1);
  CHECK(std::as_const(Second)[0].SlotsPerTarget == 3);
  CHECK(GroupList().empty());
}

// Guards against a change of the hash: daemons of different versions would disagree on owners.
TEST_CASE("the rendezvous hash gives the same owners in every build") {
  std::vector<Member> Members;
  Members.reserve(5);
  for (int I = 0; I < 5; ++I)
    Members.push_back({.Id = InstanceId(absl::StrFormat("proxy-%d", I))});
  ViewBuilder Builder(InstanceId("proxy-0"), {});
  Builder.setGroups({makeGroup("orders", {}), makeGroup("rounds", {}), makeGroup("stock", {})});
  View Plain{.Members = Members, .Groups = Builder.build(Members, true)->Groups};
  for (const View &V : {Plain, *Builder.build(Members, true)}) {
    CHECK(V.ownerOf(DatabaseName("orders")) == InstanceId("proxy-3"));
    CHECK(V.ownerOf(DatabaseName("rounds")) == InstanceId("proxy-1"));
    CHECK(V.ownerOf(DatabaseName("stock")) == InstanceId("proxy-3"));
  }
}

// As above, over more names, so that two hashes cannot agree by chance.
TEST_CASE("the rendezvous hash gives the same owners of many databases in every build") {
  std::vector<Member> Members;
  Members.reserve(8);
  for (int I = 0; I < 8; ++I)
    Members.push_back({.Id = InstanceId(absl::StrFormat("proxy-%d", I))});
  std::string Owners;
  for (int I = 0; I < 16; ++I)
    Owners +=
        computeOwner(makeGroup(absl::StrFormat("db-%d", I), {}), Members).value().Value.back();
  CHECK(Owners == "1332132143320047");
}
