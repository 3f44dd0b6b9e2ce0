// Tests of the rules on which servers are members of a group.
#include "roster/roster.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::roster;

namespace {

const TargetId A("a"), B("b"), C("c"), D("d");

// Servers at one address each, of which all but one stay.
Listing listed(const std::vector<TargetId> &Ids, const std::optional<TargetId> &Leaves = {}) {
  Listing Out;
  for (const TargetId &Id : Ids)
    Out[Id] = {.Address = "at-" + Id.Value, .StartedUnixMs = 1, .Leaving = Leaves == Id};
  return Out;
}

Members named(const std::vector<TargetId> &Ids) {
  Members Out;
  for (const TargetId &Id : Ids)
    Out[Id] = "at-" + Id.Value;
  return Out;
}

TargetStatus status(bool Leads, uint64_t InTerm, uint64_t Received) {
  return {.Primary = Leads,
          .CurrentTerm = Term(InTerm),
          .Received = {.InTerm = Term(InTerm), .Position = Received}};
}

// The primary a is at position 9 of term 2.
GroupStatus answers(std::map<TargetId, TargetStatus> OfReplicas) {
  return {.Primary = A, .OfPrimary = status(true, 2, 9), .OfReplicas = std::move(OfReplicas)};
}

Roster group() { return Roster(3, named({A, B, C})); }

} // namespace

// Guards against a process that has just started and counts the servers that are listed by then.
TEST_CASE("roster: no server counts before the row was read, and afterwards only those it names") {
  CHECK_FALSE(Roster().known());
  CHECK_FALSE(Roster().counts(A));
  CHECK_FALSE(Roster(3, std::nullopt).counts(A));
  CHECK(Roster(3).counts(A));
  CHECK(group().counts(A));
  CHECK_FALSE(group().counts(D));
  CHECK(group().count() == 3);
  CHECK(Roster(3, named({A, B, C, D})).count() == 4);
}

TEST_CASE("roster: a server that restarts at its address under another id stays a member") {
  Listing All = listed({A, B, C, D});
  All[TargetId("b2")] = {.Address = "at-b", .StartedUnixMs = 2};
  All[TargetId("b3")] = {.Address = "at-b", .StartedUnixMs = 3};
  Members Expected = named({A, C});
  Expected[TargetId("b3")] = "at-b";
  CHECK(atSameAddress(named({A, B, C}), All) == Expected);
  All.erase(B);
  CHECK(atSameAddress(named({A, B, C}), All) == Expected);
  // An older server that still uses the address is not the member.
  Listing Older = listed({A, B, C});
  Older[TargetId("b0")] = {.Address = "at-b", .StartedUnixMs = 0};
  CHECK(atSameAddress(named({A, B, C}), Older) == named({A, B, C}));
}

TEST_CASE("roster: a server that stays takes the place of one that departed") {
  CHECK(replaceMembers(group(), listed({A, B, C, D}), {}, A, 1) == named({A, B, C}));
  CHECK(replaceMembers(group(), listed({A, B, C, D}, B), {B}, A, 1) == named({A, C, D}));
  // Nobody takes its place.
  CHECK(replaceMembers(group(), listed({A, C}), {B}, A, 1) == named({A, B, C}));
  CHECK(replaceMembers(group(), listed({A, C, D}, D), {B}, A, 1) == named({A, B, C}));
  // No more than one is dropped in one step.
  const TargetId E("e");
  CHECK(replaceMembers(group(), listed({A, D, E}), {B, C}, A, 1).size() == 4);
}

TEST_CASE("roster: a leaving primary keeps its place beside the server that takes it") {
  CHECK(replaceMembers(group(), listed({A, B, C, D}, A), {}, A, 1) == named({A, B, C, D}));
  CHECK(replaceMembers(group(), listed({A, B, C, D}, A), {A}, A, 1) == named({A, B, C, D}));
  Roster Both(3, named({A, B, C, D}));
  CHECK(replaceMembers(Both, listed({A, B, C, D}, A), {A}, B, 1) == named({B, C, D}));
}

TEST_CASE("roster: the first members are listed servers that stay") {
  Roster Unnamed(3);
  CHECK(replaceMembers(Unnamed, listed({A, B, C, D}, B), {}, A, 1) == named({A, C, D}));
  CHECK(replaceMembers(Unnamed, listed({A, C}), {}, A, 1) == named({A, C}));
}

TEST_CASE("roster: members can be added without answers") {
  CHECK(mayReplace(group(), named({A, B, C, D}), {}, 1));
  CHECK_FALSE(mayReplace(group(), named({A, C, D}), {}, 1));
  CHECK_FALSE(mayReplace(Roster(3), named({A, B, C}), {}, 1));
  CHECK(mayReplace(group(), named({A, C, D}), {}, 0));
}

// Guards against dropping the only replica that holds a commit.
TEST_CASE("roster: a member is dropped only if others hold what it can have confirmed") {
  Members Next = named({A, C, D});
  CHECK(
      mayReplace(group(), Next, answers({{C, status(false, 2, 9)}, {D, status(false, 0, 0)}}), 1));
  CHECK(
      mayReplace(group(), Next, answers({{C, status(false, 2, 1)}, {D, status(false, 2, 9)}}), 1));
  CHECK_FALSE(
      mayReplace(group(), Next, answers({{C, status(false, 2, 8)}, {D, status(false, 2, 8)}}), 1));
  // b and c may both be in a later term.
  CHECK_FALSE(mayReplace(group(), Next, answers({{D, status(false, 2, 9)}}), 1));
}

// Guards against the answers of a primary that was replaced and does not know.
TEST_CASE("roster: no member is dropped beside a later term") {
  Members Next = named({A, C, D});
  TargetStatus Behind = status(false, 2, 9);
  CHECK_FALSE(mayReplace(group(), Next, answers({{C, status(false, 3, 9)}, {D, Behind}}), 1));
  CHECK_FALSE(mayReplace(group(), Next, answers({{C, status(true, 2, 9)}, {D, Behind}}), 1));
  GroupStatus NotLeading = answers({{C, Behind}, {D, Behind}});
  NotLeading.OfPrimary.Primary = false;
  CHECK_FALSE(mayReplace(group(), Next, NotLeading, 1));
  CHECK_FALSE(mayReplace(group(), named({B, C, D}), answers({{C, Behind}, {D, Behind}}), 1));
}
