#include "member/member.h"

#include <doctest/doctest.h>

#include <map>

using namespace toucan;
using namespace toucan::member;

namespace {

View makeView(int Members, int Groups) {
  View V;
  for (int I = 0; I < Members; ++I)
    V.Members.push_back(
        {.Id = InstanceId("i" + std::to_string(I)), .At = {DataCentre("a"), Region("r")}});
  for (int I = 0; I < Groups; ++I)
    V.Groups.push_back({.Name = DatabaseName("db" + std::to_string(I)),
                        .Targets = {{.Id = TargetId("t"), .At = {DataCentre("a"), Region("r")}}}});
  return V;
}

} // namespace

// Guards against a membership change that moves databases whose owner is still alive.
TEST_CASE("the loss of a member moves only the databases that it owned") {
  View V = makeView(8, 400);
  View AfterLoss = V;
  AfterLoss.Members[3].Status = State::Dead;
  std::map<InstanceId, int> Load;
  for (const Group &G : V.Groups) {
    InstanceId Before = *V.ownerOf(G.Name);
    ++Load[Before];
    if (Before != V.Members[3].Id)
      CHECK(*AfterLoss.ownerOf(G.Name) == Before);
    else
      CHECK(*AfterLoss.ownerOf(G.Name) != Before);
  }
  for (const auto &[Id, Count] : Load)
    CHECK(Count > 20); // 50 expected
}

TEST_CASE("members near the targets are preferred, and draining or suspected members own nothing") {
  View V = makeView(2, 1);
  V.Members.push_back({.Id = InstanceId("far"), .At = {DataCentre("z"), Region("q")}});
  CHECK(*V.ownerOf(V.Groups[0].Name) != InstanceId("far"));
  V.Members[0].Status = State::Draining;
  V.Members[1].Status = State::Suspect;
  CHECK(*V.ownerOf(V.Groups[0].Name) == InstanceId("far"));
  CHECK_FALSE(V.ownerOf(DatabaseName("none")).has_value());
}
