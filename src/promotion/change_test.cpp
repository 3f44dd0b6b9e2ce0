#include "promotion/promotion.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::promotion;

namespace {

const TargetId P("p"), A("a"), B("b");

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

TargetStatus replica(uint64_t Received, uint64_t Current = 1, uint64_t Held = 0) {
  return {.Primary = false,
          .CurrentTerm = Term(Current),
          .Received = {.InTerm = Term(Current), .Position = Received},
          .PauseTerm = Term(Held)};
}

TargetStatus leader(uint64_t Received, uint64_t Current) {
  return {.Primary = true,
          .CurrentTerm = Term(Current),
          .Received = {.InTerm = Term(Current), .Position = Received}};
}

PrimaryChange makeChange(ChangeKind Kind, uint32_t Copies = 1, uint32_t GroupSize = 3) {
  return PrimaryChange(
      {.AcknowledgedCopies = Copies, .GroupSize = GroupSize, .NewestTerm = Term(1), .Kind = Kind},
      {{.Id = P, .Primary = true, .Leaving = Kind == ChangeKind::Switchover}, {.Id = A}, {.Id = B}},
      at(0));
}

std::vector<Action> surveyAndClaim(PrimaryChange &C, int Ms) {
  C.onStatus(A, replica(1), at(Ms));
  C.onStatus(B, replica(1), at(Ms));
  return C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(Ms));
}

size_t countActions(const std::vector<Action> &Actions, ActionKind Kind) {
  size_t N = 0;
  for (const Action &X : Actions)
    N += X.Kind == Kind ? 1 : 0;
  return N;
}

std::optional<TargetId> promotedTarget(const std::vector<Action> &Actions) {
  for (const Action &X : Actions)
    if (X.Kind == ActionKind::Promote)
      return X.Target;
  return std::nullopt;
}

} // namespace

// Guards against pausing the replicas of a service whose primary has already been changed. Such
// pauses stopped replication, and it did not resume.
TEST_CASE("a change that finds another leader adopts it and pauses nothing") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  CHECK(countActions(C.start(at(0)), ActionKind::Status) == 3);
  std::vector<Action> Out = C.onStatus(A, leader(9, 2), at(20));
  REQUIRE(Out.size() == 2);
  CHECK(Out[0].Kind == ActionKind::Adopt);
  CHECK(Out[0].Target == A);
  CHECK(Out[0].InTerm == Term(2));
  CHECK(Out[1].Outcome == "already_changed");
  CHECK(C.finished());
}

TEST_CASE("failover: both replicas are paused and the one with the longer log is promoted") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  std::vector<Action> Out = surveyAndClaim(C, 10);
  CHECK(countActions(Out, ActionKind::Pause) == 2);
  CHECK_FALSE(promotedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK(promotedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
}

// Guards against counting a replica as paused after it restarted under the same id. Such a replica
// received and acknowledged a commit that the candidate lacked (model seed 22).
TEST_CASE("failover: a replica that restarts has lost its pause") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  std::vector<Action> Out = C.onTargetRegistered({.Id = A}, at(25));
  CHECK(countActions(Out, ActionKind::Pause) >= 1);
  CHECK_FALSE(promotedTarget(C.onStatus(B, replica(5, 1, 2), at(30))));
  CHECK(promotedTarget(C.onStatus(A, replica(6, 1, 2), at(40))) == A);
}

TEST_CASE("replicas are paused again until the promotion takes effect") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  REQUIRE(promotedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
  std::vector<Action> Out = C.onTargetRegistered({.Id = A}, at(35));
  REQUIRE(countActions(Out, ActionKind::Pause) == 1);
  CHECK(Out[0].Target == A);
  // The candidate itself is not paused again.
  CHECK(countActions(C.onTargetRegistered({.Id = B}, at(36)), ActionKind::Pause) == 0);
  C.onPromote(PromoteOutcome::Accepted, at(40));
  Out = C.onTimer(at(200));
  CHECK(countActions(Out, ActionKind::Status) == 1);
  CHECK(countActions(Out, ActionKind::Pause) == 1);
}

// With one acknowledged copy, a replica that does not answer may be the only one that holds an
// acknowledged commit.
TEST_CASE("failover: no promotion while a silent replica may have a longer log") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  CHECK_FALSE(promotedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  for (int Ms = 100; Ms < 5000; Ms += 100) {
    CHECK_FALSE(promotedTarget(C.onStatus(B, std::nullopt, at(Ms))));
    CHECK_FALSE(promotedTarget(C.onTimer(at(Ms))));
  }
}

// Guards against ignoring replicas that are not registered. One that was down returned during the
// change and acknowledged commits that the promoted replica lacked; 32 commits were lost (day
// trouble-3).
TEST_CASE("failover: a replica that is not registered counts as unknown") {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .GroupSize = 3,
                   .NewestTerm = Term(1),
                   .Kind = ChangeKind::Failover},
                  {{.Id = P, .Primary = true}, {.Id = A}}, at(0));
  C.start(at(0));
  C.onStatus(A, replica(1), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(10));
  CHECK_FALSE(promotedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK_FALSE(promotedTarget(C.onTimer(at(3000))));
}

TEST_CASE("two acknowledged copies: one unknown replica does not prevent the promotion") {
  PrimaryChange C = makeChange(ChangeKind::Failover, 2);
  C.start(at(0));
  surveyAndClaim(C, 10);
  CHECK(promotedTarget(C.onStatus(A, replica(5, 1, 2), at(20))) == A);
}

TEST_CASE("no acknowledged copies: the promotion is decided after a short wait for answers") {
  PrimaryChange C = makeChange(ChangeKind::Failover, 0);
  C.start(at(0));
  surveyAndClaim(C, 10);
  CHECK_FALSE(promotedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK(promotedTarget(C.onTimer(at(500))) == A);
}

TEST_CASE("switchover: one replica keeps receiving and must catch up with the others and the "
          "primary") {
  PrimaryChange C = makeChange(ChangeKind::Switchover);
  C.start(at(0));
  std::vector<Action> Out = surveyAndClaim(C, 10);
  CHECK(countActions(Out, ActionKind::Pause) == 1);
  TargetId Successor = Out[0].Kind == ActionKind::Pause && Out[0].Target == B ? A : B;
  for (const Action &X : Out)
    if (X.Kind == ActionKind::Pause)
      Successor = X.Target == A ? B : A;
  TargetId Other = Successor == A ? B : A;
  CHECK_FALSE(promotedTarget(C.onStatus(Other, replica(8, 1, 2), at(20))));
  CHECK_FALSE(promotedTarget(C.onStatus(Successor, replica(7), at(30))));
  CHECK_FALSE(promotedTarget(C.onStatus(P, leader(9, 1), at(35))));
  CHECK_FALSE(promotedTarget(C.onStatus(Successor, replica(8), at(40))));
  CHECK(promotedTarget(C.onStatus(Successor, replica(9), at(50))) == Successor);
}

// A position that the primary reported before the pauses does not cover commits that a replica
// acknowledged between that report and its pause.
TEST_CASE("switchover: the position of the primary counts only after the pauses") {
  PrimaryChange C = makeChange(ChangeKind::Switchover);
  C.start(at(0));
  std::vector<Action> Out = surveyAndClaim(C, 10);
  TargetId Other;
  for (const Action &X : Out)
    if (X.Kind == ActionKind::Pause)
      Other = X.Target;
  TargetId Successor = Other == A ? B : A;
  C.onStatus(P, leader(5, 1), at(15));
  C.onStatus(Successor, replica(6), at(16));
  CHECK_FALSE(promotedTarget(C.onStatus(Other, replica(6, 1, 2), at(20))));
  CHECK_FALSE(promotedTarget(C.onStatus(P, leader(7, 1), at(30))));
  CHECK(promotedTarget(C.onStatus(Successor, replica(7), at(40))) == Successor);
}

TEST_CASE("a pause under an old term does not count and is repeated under a newer one") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  CHECK_FALSE(promotedTarget(C.onStatus(B, replica(5, 3, 0), at(30))));
  std::vector<Action> Again = C.onTimer(at(200));
  CHECK(countActions(Again, ActionKind::Pause) == 2);
  for (const Action &X : Again)
    CHECK(X.InTerm == Term(4));
}

TEST_CASE("an unanswered promotion takes a new token; a superseded one ends the change") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  C.onStatus(B, replica(5, 1, 2), at(20));
  CHECK(countActions(C.onPromote(PromoteOutcome::Unknown, at(100)), ActionKind::Claim) == 1);
  std::vector<Action> Out =
      C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(9)}, at(110));
  REQUIRE(promotedTarget(Out));
  CHECK(Out[0].Token == FencingToken(9));
  C.onPromote(PromoteOutcome::Superseded, at(120));
  CHECK(C.finished());
}

TEST_CASE("an accepted promotion ends when the target reports that it leads") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  TargetId Chosen = *promotedTarget(C.onStatus(B, replica(6, 1, 2), at(20)));
  C.onPromote(PromoteOutcome::Accepted, at(100));
  CHECK(C.expectedAt() > at(100));
  CHECK(C.onTimer(at(300)).front().Kind == ActionKind::Status);
  CHECK_FALSE(C.finished());
  std::vector<Action> Out = C.onStatus(Chosen, leader(6, 2), at(1100));
  CHECK(Out.front().Kind == ActionKind::Adopt);
  CHECK(C.finished());
}

TEST_CASE("a claim that another instance holds ends the change before anything is paused") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(1), at(10));
  C.onStatus(B, replica(1), at(10));
  CHECK(C.onClaim({.Outcome = ClaimOutcome::HeldByOther}, at(20)).front().Kind ==
        ActionKind::Finish);
  CHECK(C.finished());
}

// Guards against leaving a newly registered target unpaused. The replacement of the leaving primary
// registered during the change and acknowledged commits that the successor lacked (fault mix of
// seed 806692799986).
TEST_CASE("a target that registers during the change is paused too") {
  PrimaryChange C = makeChange(ChangeKind::Switchover);
  C.start(at(0));
  std::vector<Action> Out = surveyAndClaim(C, 10);
  const TargetId New("n");
  Out = C.onTargetRegistered({.Id = New}, at(20));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::Pause);
  CHECK(Out[0].Target == New);
  // The successor is the first replica; the other one is paused.
  C.onStatus(B, replica(5, 1, 2), at(30));
  C.onStatus(P, leader(5, 1), at(35));
  CHECK_FALSE(promotedTarget(C.onStatus(A, replica(5), at(40))));
  C.onStatus(New, replica(5, 1, 2), at(50));
  CHECK(promotedTarget(C.onStatus(P, leader(5, 1), at(60))) == A);
}

// A delayed promote order of the previous holder must not be executed between the pauses and the
// promotion of this change.
TEST_CASE("a claim taken over from another instance first invalidates older orders") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(1), at(10));
  C.onStatus(B, replica(1), at(10));
  std::vector<Action> Out = C.onClaim(
      {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7), .TakenOver = true}, at(10));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::Promote);
  CHECK(Out[0].Target == P);
  Out = C.onPromote(PromoteOutcome::NotRunning, at(30));
  CHECK(countActions(Out, ActionKind::Pause) == 2);
}

TEST_CASE("a promote order is sent only under a recent claim") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  std::vector<Action> Out = C.onStatus(B, replica(5, 1, 2), at(3000));
  CHECK_FALSE(promotedTarget(Out));
  CHECK(countActions(Out, ActionKind::Claim) == 1);
  CHECK(promotedTarget(
      C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(8)}, at(3010))));
}

// Guards against replacing a healthy primary after a partition has healed: an instance judged the
// new primary by connections that had failed during the partition.
TEST_CASE("a silent primary that answers the survey keeps its role") {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .GroupSize = 3,
                   .NewestTerm = Term(1),
                   .Kind = ChangeKind::Failover,
                   .PrimarySilent = true},
                  {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
  C.start(at(0));
  std::vector<Action> Out = C.onStatus(P, leader(9, 1), at(20));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Outcome == "primary_answers");
  CHECK(C.finished());
}
