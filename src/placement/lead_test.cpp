#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::placement;

namespace {

const TargetId P("p"), A("a"), B("b");

// P leads term 1.
const Lead First{.Leader = P, .InTerm = Term(1)};

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

LogPosition position(uint64_t InTerm, uint64_t Number) {
  return {.InTerm = Term(InTerm), .Position = Number};
}

LeadEvidence evidence(uint32_t GroupSize, uint32_t Copies) {
  LeadEvidence E;
  E.setGroup(roster::Roster(GroupSize), GroupSize, Copies);
  return E;
}

} // namespace

// Guards against reads at a primary that was replaced while it was cut off: it goes on accepting
// transactions.
TEST_CASE("the word of a primary alone proves no position") {
  LeadEvidence E = evidence(3, 1);
  CHECK_FALSE(E.onPrimary(First, position(1, 5), at(10)));
  CHECK(E.witnessedAt(First) == absl::InfinitePast());
  std::optional<CoveredPosition> Covered = E.onWitness(A, Term(1), at(20));
  REQUIRE(Covered);
  CHECK(Covered->At == position(1, 5));
  CHECK(Covered->CoversUntil == at(10));
}

TEST_CASE("a sample covers no commit after the time of its witness") {
  LeadEvidence E = evidence(3, 1);
  E.onWitness(A, Term(1), at(20));
  std::optional<CoveredPosition> Covered = E.onPrimary(First, position(1, 5), at(50));
  REQUIRE(Covered);
  CHECK(Covered->CoversUntil == at(20));
  Covered = E.onWitness(B, Term(1), at(60));
  REQUIRE(Covered);
  CHECK(Covered->CoversUntil == at(50));
}

TEST_CASE("a witness in a later term shows that the primary was replaced") {
  LeadEvidence E = evidence(3, 1);
  E.onPrimary(First, position(1, 5), at(10));
  CHECK_FALSE(E.onWitness(A, Term(2), at(20)));
  CHECK(E.superseded(Term(1)));
  CHECK(E.witnessedAt(First) == absl::InfinitePast());
  CHECK_FALSE(E.onWitness(B, Term(1), at(30)));
}

// Guards against a stale read: a server that joined after the primary was replaced is in no later
// term, and the members that are have left or are not asked.
TEST_CASE("a server that is no member is no witness") {
  LeadEvidence E;
  E.setGroup(roster::Roster(3, roster::Members{{P, "p"}, {A, "a"}, {TargetId("c"), "c"}}), 4, 1);
  CHECK(E.witnessesNeeded() == 2);
  E.onPrimary(First, position(1, 5), at(10));
  E.onWitness(A, Term(1), at(20));
  CHECK_FALSE(E.onWitness(B, Term(1), at(20)));
  CHECK(E.witnessedAt(First) == absl::InfinitePast());
  CHECK(E.onWitness(TargetId("c"), Term(1), at(30)));
  LeadEvidence Unread;
  Unread.setGroup(roster::Roster(3, std::nullopt), 3, 1);
  Unread.onPrimary(First, position(1, 5), at(10));
  CHECK_FALSE(Unread.onWitness(A, Term(1), at(20)));
}

// Guards against a replaced primary that is asked as a replica after it stepped down and confirms
// its own earlier answers.
TEST_CASE("a primary is no witness of its own answers") {
  LeadEvidence E = evidence(3, 1);
  E.onPrimary(First, position(1, 5), at(10));
  CHECK_FALSE(E.onWitness(P, Term(1), at(20)));
  CHECK(E.witnessedAt(First) == absl::InfinitePast());
}

// Guards against taking a new primary for a replaced one: its log has entries of the old term only
// until its first commit.
TEST_CASE("a position of an older term is proved if its primary leads the newest term") {
  LeadEvidence E = evidence(3, 1);
  E.onWitness(B, Term(2), at(20));
  std::optional<CoveredPosition> Covered =
      E.onPrimary({.Leader = A, .InTerm = Term(2)}, position(1, 5), at(10));
  REQUIRE(Covered);
  CHECK(Covered->At == position(1, 5));
  CHECK(Covered->CoversUntil == at(10));
}

TEST_CASE("an acknowledged commit proves its position if the copies are enough witnesses") {
  std::optional<CoveredPosition> Covered = evidence(3, 1).onCommit(First, position(1, 5), at(10));
  REQUIRE(Covered);
  CHECK(Covered->CoversUntil == at(10));
  // While a target and its replacement are both members, one copy is not enough.
  CHECK_FALSE(evidence(4, 1).onCommit(First, position(1, 5), at(10)));
}

// A target that started without its log may have acknowledged commits of a later term before.
TEST_CASE("a target without a term is no witness") {
  LeadEvidence E = evidence(3, 1);
  E.onPrimary(First, position(1, 5), at(10));
  CHECK_FALSE(E.onWitness(A, Term(0), at(20)));
}

TEST_CASE("the number of witnesses follows from the group and the acknowledged copies") {
  struct Row {
    uint32_t GroupSize, Copies, Needed;
  };
  for (const Row &R : {Row{1, 0, 0}, Row{1, 1, 0}, Row{2, 0, 1}, Row{2, 1, 0}, Row{3, 0, 2},
                       Row{3, 1, 1}, Row{3, 2, 0}, Row{3, 5, 0}, Row{5, 1, 3}, Row{5, 2, 2}})
    CHECK(evidence(R.GroupSize, R.Copies).witnessesNeeded() == R.Needed);
  CHECK(evidence(1, 0).onPrimary(First, position(1, 5), at(10)).has_value());
}

TEST_CASE("answers that arrive out of order do not make the evidence newer or older") {
  LeadEvidence E = evidence(3, 1);
  E.onWitness(A, Term(1), at(50));
  E.onWitness(A, Term(1), at(20));
  CHECK(E.witnessedAt(First) == at(50));
  REQUIRE(E.onPrimary(First, position(1, 9), at(40)));
  CHECK_FALSE(E.onPrimary(First, position(1, 8), at(30)));
}

TEST_CASE("samples without witnesses are bounded, and the newest one is proved in the end") {
  LeadEvidence E = evidence(3, 1);
  for (int I = 0; I < 10000; ++I)
    E.onPrimary(First, position(1, static_cast<uint64_t>(I)), at(I + 1));
  std::optional<CoveredPosition> Covered = E.onWitness(A, Term(1), at(20000));
  REQUIRE(Covered);
  CHECK(Covered->At == position(1, 9999));
}
