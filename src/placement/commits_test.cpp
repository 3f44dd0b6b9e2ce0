#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::placement;

namespace {

const TargetId P("p"), A("a"), B("b");

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }
LogPosition pos(uint64_t Number, uint64_t InTerm = 1) {
  return {.InTerm = Term(InTerm), .Position = Number};
}

// Replicas a and b are listed and their processes known since 10 ms.
CommitEvidence makeEvidence(uint32_t Copies = 1) {
  CommitEvidence E;
  E.setCopies(Copies);
  E.setGroup(roster::Roster(3));
  for (const TargetId &Id : {P, A, B})
    E.setEligible(Id, true);
  return E;
}

} // namespace

TEST_CASE("commits: one is covered by a replica that counts and holds it") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(P, pos(9), at(30), at(10));
  E.onPosition(A, pos(6), at(30), at(10));
  CHECK_FALSE(E.covers(P, pos(7)));
  E.onPosition(A, pos(7), at(40), at(10));
  CHECK(E.covers(P, pos(7)));
  CHECK_FALSE(E.covers(P, pos(8)));
  // The applied end of the log lags behind the received one.
  E.onPosition(A, pos(5), at(50), at(10));
  CHECK(E.covers(P, pos(7)));
}

TEST_CASE("commits: two acknowledged copies need two replicas") {
  CommitEvidence E = makeEvidence(2);
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(7), at(30), at(10));
  CHECK_FALSE(E.covers(P, pos(7)));
  E.onPosition(B, pos(7), at(30), at(10));
  CHECK(E.covers(P, pos(7)));
}

// Guards against counting a server that joined while a primary was being replaced: nobody paused
// it, and the promoted one lacks what it confirmed.
TEST_CASE("commits: a process known only since a change began does not count") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(7), at(40), at(30));
  CHECK_FALSE(E.covers(P, pos(7)));
  CHECK(E.awaitsSettled(P, pos(7)));
  E.onSettled(at(50), at(55), Term(1));
  CHECK_FALSE(E.awaitsSettled(P, pos(7)));
  E.onPosition(A, pos(7), at(60), at(30));
  CHECK(E.covers(P, pos(7)));
}

// Guards against a position that a server told during a change: the promotion rolled it back before
// the service was settled (review/8, seed 2).
TEST_CASE("commits: a position told before the process counted proves nothing") {
  CommitEvidence E = makeEvidence();
  E.onPosition(A, pos(7), at(30), at(10));
  E.onSettled(at(40), at(45), Term(1));
  CHECK_FALSE(E.covers(P, pos(7)));
  E.onPosition(A, pos(7), at(42), at(10)); // asked before the answer about the claims
  CHECK_FALSE(E.covers(P, pos(7)));
  E.onPosition(A, pos(6), at(46), at(10));
  CHECK_FALSE(E.covers(P, pos(7)));
  CHECK(E.covers(P, pos(6)));
}

TEST_CASE("commits: a replica that restarts counts anew") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(7), at(30), at(10));
  E.onPosition(A, pos(7), at(50), at(45));
  CHECK_FALSE(E.covers(P, pos(7)));
  E.onSettled(at(60), at(65), Term(1));
  E.onPosition(A, pos(7), at(70), at(45));
  CHECK(E.covers(P, pos(7)));
}

TEST_CASE("commits: a log of another term proves nothing, whatever its length") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(9, 2), at(30), at(10));
  CHECK_FALSE(E.covers(P, pos(7)));
}

// Guards against counting a replica whose log goes with it (review/1).
TEST_CASE("commits: a replica that leaves or is not listed does not count") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(7), at(30), at(10));
  E.setEligible(A, false);
  CHECK_FALSE(E.covers(P, pos(7)));
  E.setEligible(A, true);
  CHECK(E.covers(P, pos(7)));
  E.remove(A);
  CHECK_FALSE(E.covers(P, pos(7)));
}

// Guards against a late order that begins a term while another change is under way: the pauses of
// that change end with it, and a replica that counted before confirms commits that the change
// drops.
TEST_CASE("commits: a replica counts anew in each term") {
  CommitEvidence E = makeEvidence();
  E.onSettled(at(20), at(25), Term(1));
  E.onPosition(A, pos(7, 2), at(30), at(10));
  CHECK_FALSE(E.covers(P, pos(7, 2)));
  CHECK(E.awaitsSettled(P, pos(7, 2)));
  E.onSettled(at(40), at(45), Term(2));
  CHECK_FALSE(E.covers(P, pos(7, 2)));
  E.onPosition(A, pos(7, 2), at(50), at(10));
  CHECK(E.covers(P, pos(7, 2)));
}
