// Unit tests of the classes that decide without I/O: Attempt, Confirmer, Verifier and Freshness.
#include "group/attempt.h"
#include "group/confirm.h"
#include "group/freshness.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::group;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Seconds(100);

Status accepted(uint64_t T, uint64_t LogTerm, uint64_t Received) {
  return {.Accepted = Term(T),
          .Proposer = "a",
          .ServerRole = Role::Fenced,
          .LogTerm = Term(LogTerm),
          .Received = Received,
          .CallAccepted = true};
}

Status replica(uint64_t T, uint64_t Received) {
  return {
      .Accepted = Term(T), .ServerRole = Role::Replica, .LogTerm = Term(T), .Received = Received};
}

Status primary(uint64_t T, uint64_t LogTerm, uint64_t Received) {
  return {.Accepted = Term(T),
          .Proposer = "a",
          .ServerRole = Role::Primary,
          .LogTerm = Term(LogTerm),
          .Received = Received};
}

LogPosition at(uint64_t T, uint64_t Position) { return {.InTerm = Term(T), .Position = Position}; }

Attempt attemptFor(uint64_t T, PerServer<bool> Avoid = PerServer<bool>(3, false)) {
  return Attempt(Term(T), "a", std::move(Avoid));
}

} // namespace

// Guards against a choice by log position alone. A longer log whose last term is older may lack
// confirmed writes.
TEST_CASE("attempt: the server with the highest last log term is chosen, then the longest log") {
  Attempt A = attemptFor(5);
  A.onAccept(0, accepted(5, 3, 20));
  CHECK(A.phase() == Attempt::Phase::Accepting);
  A.onAccept(2, accepted(5, 4, 10));
  REQUIRE(A.phase() == Attempt::Phase::Promoting);
  CHECK(A.chosen() == 2);
  A.onAccept(1, accepted(5, 4, 30)); // has no effect after the choice
  CHECK(A.chosen() == 2);
  A.onPromote(primary(5, 5, 11));
  CHECK(A.phase() == Attempt::Phase::Promoted);
}

// Guards against counting an answer that belongs to another proposer or to a later term.
TEST_CASE("attempt: only answers that accept this attempt count") {
  Attempt A = attemptFor(5);
  Status Other = accepted(5, 4, 10);
  Other.Proposer = std::string("b"); // g++ 12 warns of an overlap when a literal is assigned
  A.onAccept(0, Other);
  Status Refused = accepted(5, 4, 10);
  Refused.CallAccepted = false;
  CHECK(A.phase() == Attempt::Phase::Accepting);
  A.onAccept(1, Refused);
  CHECK(A.phase() == Attempt::Phase::Abandoned); // only one server is left, two are needed

  Attempt B = attemptFor(5);
  B.onAccept(0, accepted(6, 4, 10));
  CHECK(B.phase() == Attempt::Phase::Abandoned);

  Attempt C = attemptFor(5);
  C.onAccept(0, accepted(5, 4, 10));
  C.onAccept(0, accepted(5, 4, 10));
  CHECK(C.phase() == Attempt::Phase::Accepting); // two answers of one server are no majority
}

// Guards against counting a promotion as done that the server refused.
TEST_CASE("attempt: is abandoned when the server refuses the promotion") {
  Attempt A = attemptFor(5);
  A.onAccept(0, accepted(5, 4, 10));
  A.onAccept(1, accepted(5, 4, 10));
  A.onPromote(accepted(6, 4, 10));
  CHECK(A.phase() == Attempt::Phase::Abandoned);
}

TEST_CASE("attempt: a leaving server is chosen only when its log is ahead of the others") {
  Attempt A = attemptFor(5, {true, false, false});
  A.onAccept(0, accepted(5, 4, 10));
  A.onAccept(1, accepted(5, 4, 10));
  CHECK(A.chosen() == 1);
  Attempt B = attemptFor(5, {true, false, false});
  B.onAccept(0, accepted(5, 4, 11));
  B.onAccept(1, accepted(5, 4, 10));
  CHECK(B.chosen() == 0);
}

// Guards against confirming a write by positions of another term or of a fenced server.
TEST_CASE("confirm: only positions of replicas in the same term count") {
  Confirmer C(3);
  C.add(1, at(2, 10), Start + absl::Seconds(1));
  C.onRow(1, replica(1, 50));
  Status Fenced = accepted(2, 2, 50);
  C.onRow(2, Fenced);
  CHECK(C.takeCompleted(Start).empty());
  C.onRow(1, replica(2, 9));
  CHECK(C.takeCompleted(Start).empty());
  C.onRow(1, replica(2, 10));
  auto Ended = C.takeCompleted(Start);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Result == ConfirmResult::Confirmed);
}

// Guards against a separate call for each write. A call waits for the lowest unconfirmed position,
// and its answer confirms all writes up to the position that the server has reached.
TEST_CASE("confirm: one answer confirms all writes up to its position") {
  Confirmer C(3);
  for (uint64_t I = 1; I <= 4; ++I)
    C.add(I, at(2, 10 + I), Start + absl::Seconds(1));
  CHECK((C.lowestUnconfirmed(1) == at(2, 11)));
  C.onRow(1, replica(2, 13));
  CHECK(C.takeCompleted(Start).size() == 3);
  CHECK((C.lowestUnconfirmed(1) == at(2, 14)));
  CHECK((C.lowestUnconfirmed(2) == at(2, 14)));
}

// Guards against a write that waits until its deadline although its term has ended. Also guards
// against ending a write when only a minority has left the term.
TEST_CASE("confirm: a write ends when a majority has accepted a later term") {
  Confirmer C(3);
  C.add(1, at(2, 10), Start + absl::Seconds(1));
  C.onRow(1, accepted(3, 2, 9));
  CHECK(C.takeCompleted(Start).empty());
  CHECK_FALSE(C.lowestUnconfirmed(1).has_value());
  C.onRow(2, accepted(3, 2, 9));
  auto Ended = C.takeCompleted(Start);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Result == ConfirmResult::TermChanged);
  C.add(2, at(4, 10), Start + absl::Seconds(1));
  CHECK(C.nextDeadline() == Start + absl::Seconds(1));
  Ended = C.takeCompleted(Start + absl::Seconds(1));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Result == ConfirmResult::DeadlineExceeded);
}

// Guards against using answers to probes that began before the request.
TEST_CASE("verify: only answers to probes that began after the request count") {
  Verifier V(3);
  uint64_t Early = V.beginProbe();
  V.add(1, Start + absl::Seconds(1));
  uint64_t Late = V.beginProbe();
  V.onRow(0, Late, primary(2, 2, 40));
  V.onRow(1, Early, replica(2, 40));
  CHECK(V.takeCompleted(Start).empty());
  CHECK(V.needsAnswerFrom(1));
  CHECK_FALSE(V.needsAnswerFrom(0));
  V.onRow(2, Late, replica(2, 38));
  auto Ended = V.takeCompleted(Start);
  REQUIRE(Ended.size() == 1);
  CHECK((Ended[0].At == at(2, 40)));
}

// Guards against trusting a primary of a term that a majority has left, or a primary whose log does
// not have its term-start entry yet.
TEST_CASE("verify: needs a majority in the primary's term and its term-start entry") {
  Verifier V(3);
  V.add(1, Start + absl::Seconds(1));
  uint64_t Probe = V.beginProbe();
  V.onRow(0, Probe, primary(2, 2, 40));
  V.onRow(1, Probe, accepted(3, 2, 40));
  V.onRow(2, Probe, accepted(3, 2, 40));
  CHECK(V.takeCompleted(Start).empty());
  V.onRow(1, Probe, primary(3, 2, 40));
  CHECK(V.takeCompleted(Start).empty());
  V.onRow(1, Probe, primary(3, 3, 41));
  auto Ended = V.takeCompleted(Start);
  REQUIRE(Ended.size() == 1);
  CHECK((Ended[0].At == at(3, 41)));
  V.add(2, Start + absl::Seconds(1));
  Ended = V.takeCompleted(Start + absl::Seconds(1));
  REQUIRE(Ended.size() == 1);
  CHECK_FALSE(Ended[0].At.has_value());
}

// Guards against an age that is too low. The data of a replica is as old as the newest sample whose
// position the replica has applied.
TEST_CASE("freshness: the age follows from the latest sample at or below the applied position") {
  Freshness F;
  F.addSample(Start, 10);
  F.addSample(Start + absl::Seconds(1), 10);
  F.addSample(Start + absl::Seconds(2), 20);
  CHECK(F.currentAt(9) == absl::InfinitePast());
  CHECK(F.currentAt(10) == Start + absl::Seconds(1));
  CHECK(F.currentAt(19) == Start + absl::Seconds(1));
  CHECK(F.currentAt(25) == Start + absl::Seconds(2));
  F.reset(Term(2));
  CHECK(F.currentAt(25) == absl::InfinitePast());
}

// Guards against unbounded growth of the history. Also guards against dropping samples such that
// data looks newer than it is.
TEST_CASE("freshness: the history is bounded, and ages are never too low") {
  Freshness F;
  for (uint64_t I = 1; I <= 5000; ++I)
    F.addSample(Start + absl::Seconds(I), I * 10);
  CHECK(F.size() <= 256);
  CHECK(F.currentAt(50'000) == Start + absl::Seconds(5000));
  for (uint64_t I = 1; I <= 5000; I += 7)
    CHECK(F.currentAt(I * 10) <= Start + absl::Seconds(I));
}
