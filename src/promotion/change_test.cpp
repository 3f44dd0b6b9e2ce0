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
      {.AcknowledgedCopies = Copies,
       .Group = roster::Roster(GroupSize),
       .NewestTerm = Term(1),
       .Kind = Kind},
      {{.Id = P, .Primary = true, .Leaving = Kind == ChangeKind::Switchover}, {.Id = A}, {.Id = B}},
      at(0));
}

// The claim is granted. No instance reaches the primary, if the change asks for it.
std::vector<Action> grantClaim(PrimaryChange &C, const ClaimResult &R, int Ms) {
  std::vector<Action> Out = C.onClaim(R, at(Ms));
  bool Asked = !Out.empty() && Out.front().Kind == ActionKind::Observe;
  return Asked ? C.onObserved({}, at(Ms)) : Out;
}

std::vector<Action> surveyAndClaim(PrimaryChange &C, int Ms) {
  C.onStatus(A, replica(1), at(Ms));
  C.onStatus(B, replica(1), at(Ms));
  return grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, Ms);
}

size_t countActions(const std::vector<Action> &Actions, ActionKind Kind) {
  size_t N = 0;
  for (const Action &X : Actions)
    N += X.Kind == Kind ? 1 : 0;
  return N;
}

Observation observed(const TargetStatus &Status) { return {.Reached = true, .Status = Status}; }

// The target whose promotion the change orders: an order is recorded first, and then sent.
std::optional<TargetId> orderedTarget(const std::vector<Action> &Actions) {
  for (const Action &X : Actions)
    if (X.Kind == ActionKind::Record || X.Kind == ActionKind::Promote)
      return X.Target;
  return std::nullopt;
}

// The order to promote is recorded; returns the actions that follow.
std::vector<Action> confirmRecord(PrimaryChange &C, uint64_t Token, int Ms) {
  return C.onRecord({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(Token)}, at(Ms));
}

} // namespace

// Guards against pausing the replicas of a service whose primary has already been changed. Such
// pauses stopped replication, and it did not resume.
TEST_CASE("a change that finds another leader adopts it and pauses nothing") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  CHECK(countActions(C.start(at(0)), ActionKind::Status) == 3);
  std::vector<Action> Out = C.onStatus(A, leader(9, 2), at(20));
  REQUIRE(Out.size() == 3);
  CHECK(Out[0].Kind == ActionKind::Adopt);
  CHECK(Out[0].Target == A);
  CHECK(Out[0].InTerm == Term(2));
  CHECK(Out[1].Kind == ActionKind::StepDown); // the replaced primary may not know
  CHECK(Out[1].Target == P);
  CHECK(Out[2].Outcome == "already_changed");
  CHECK(C.finished());
}

TEST_CASE("failover: both replicas are paused and the one with the longer log is promoted") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  std::vector<Action> Out = surveyAndClaim(C, 10);
  CHECK(countActions(Out, ActionKind::Pause) == 2);
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
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
  CHECK_FALSE(orderedTarget(C.onStatus(B, replica(5, 1, 2), at(30))));
  CHECK(orderedTarget(C.onStatus(A, replica(6, 1, 2), at(40))) == A);
}

// Guards against a record of a change from which the servers that it did not count cannot be told.
TEST_CASE("the members of a change are described with their pause and position") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  CHECK(C.describeMembers() == "a:paused:1.5,b:open:1.1,p:primary:-");
  for (int I = 0; I < 20; ++I)
    C.onTargetRegistered({.Id = TargetId("n" + std::to_string(I)), .Leaving = true}, at(30));
  CHECK(C.describeMembers().ends_with("n17:open:leaving:-,..."));
}

TEST_CASE("replicas are paused again until the promotion takes effect") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  REQUIRE(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
  REQUIRE(countActions(confirmRecord(C, 8, 32), ActionKind::Promote) == 1);
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
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  for (int Ms = 100; Ms < 5000; Ms += 100) {
    CHECK_FALSE(orderedTarget(C.onStatus(B, std::nullopt, at(Ms))));
    CHECK_FALSE(orderedTarget(C.onTimer(at(Ms))));
  }
}

// Guards against ignoring replicas that are not registered. One that was down returned during the
// change and acknowledged commits that the promoted replica lacked; 32 commits were lost (day
// trouble-3).
TEST_CASE("failover: a replica that is not registered counts as unknown") {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .Group = roster::Roster(3),
                   .NewestTerm = Term(1),
                   .Kind = ChangeKind::Failover},
                  {{.Id = P, .Primary = true}, {.Id = A}}, at(0));
  C.start(at(0));
  C.onStatus(A, replica(1), at(10));
  grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 10);
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK_FALSE(orderedTarget(C.onTimer(at(3000))));
}

TEST_CASE("two acknowledged copies: one unknown replica does not prevent the promotion") {
  PrimaryChange C = makeChange(ChangeKind::Failover, 2);
  C.start(at(0));
  surveyAndClaim(C, 10);
  CHECK(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(20))) == A);
}

TEST_CASE("no acknowledged copies: the promotion is decided after a short wait for answers") {
  PrimaryChange C = makeChange(ChangeKind::Failover, 0);
  C.start(at(0));
  surveyAndClaim(C, 10);
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(20))));
  CHECK(orderedTarget(C.onTimer(at(500))) == A);
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
  CHECK_FALSE(orderedTarget(C.onStatus(Other, replica(8, 1, 2), at(20))));
  CHECK_FALSE(orderedTarget(C.onStatus(Successor, replica(7), at(30))));
  CHECK_FALSE(orderedTarget(C.onStatus(P, leader(9, 1), at(35))));
  CHECK_FALSE(orderedTarget(C.onStatus(Successor, replica(8), at(40))));
  CHECK(orderedTarget(C.onStatus(Successor, replica(9), at(50))) == Successor);
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
  CHECK_FALSE(orderedTarget(C.onStatus(Other, replica(6, 1, 2), at(20))));
  CHECK_FALSE(orderedTarget(C.onStatus(P, leader(7, 1), at(30))));
  CHECK(orderedTarget(C.onStatus(Successor, replica(7), at(40))) == Successor);
}

TEST_CASE("a pause under an old term does not count and is repeated under a newer one") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  // The primary was replaced meanwhile, so the present one is looked for before anything is paused.
  std::vector<Action> Survey = C.onStatus(B, replica(5, 3, 0), at(30));
  CHECK_FALSE(orderedTarget(Survey));
  CHECK(countActions(Survey, ActionKind::Pause) == 0);
  CHECK(countActions(Survey, ActionKind::Status) == 3);
  CHECK(countActions(C.onTimer(at(900)), ActionKind::Claim) == 1);
  std::vector<Action> Again =
      grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(8)}, 910);
  CHECK(countActions(Again, ActionKind::Pause) == 3);
  for (const Action &X : Again)
    CHECK(X.InTerm == Term(4));
}

TEST_CASE("an unanswered promotion takes a new token; a superseded one ends the change") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  C.onStatus(B, replica(5, 1, 2), at(20));
  REQUIRE(confirmRecord(C, 8, 30)[0].Token == FencingToken(8));
  CHECK(countActions(C.onPromote(PromoteOutcome::Unknown, at(100)), ActionKind::Claim) == 1);
  // The order may have been executed, which ends the pauses.
  std::vector<Action> Out =
      grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(9)}, 110);
  CHECK(countActions(Out, ActionKind::Pause) == 2);
  C.onStatus(A, replica(5, 1, 2), at(115));
  C.onStatus(B, replica(5, 1, 2), at(115));
  Out = confirmRecord(C, 10, 120);
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::Promote);
  CHECK(Out[0].Token == FencingToken(10));
  C.onPromote(PromoteOutcome::Superseded, at(120));
  CHECK(C.finished());
}

TEST_CASE("an accepted promotion ends when the target reports that it leads") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  TargetId Chosen = *orderedTarget(C.onStatus(B, replica(6, 1, 2), at(20)));
  confirmRecord(C, 8, 30);
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
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5), at(40))));
  C.onStatus(New, replica(5, 1, 2), at(50));
  CHECK(orderedTarget(C.onStatus(P, leader(5, 1), at(60))) == A);
}

// Guards against an order that rests on an old belief. An instance that was cut off with the old
// primary took the claim over and ordered the promotion of the primary that it knew, to invalidate
// older orders; the order took the lead from the present primary, and 61 acknowledged commits were
// lost.
TEST_CASE("a claim taken over from another instance sends no order for the believed primary") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(1), at(10));
  C.onStatus(B, replica(1), at(10));
  std::vector<Action> Out = grantClaim(C,
                                       {.Outcome = ClaimOutcome::Granted,
                                        .Token = FencingToken(7),
                                        .Orders = {{.Target = A, .AboveTerm = Term(1)}}},
                                       10);
  CHECK_FALSE(orderedTarget(Out));
  CHECK(countActions(Out, ActionKind::Pause) == 2);
}

// The same fault: the answer of a replica in a newer term came after the survey and was ignored.
TEST_CASE("a newer term seen while the claim is awaited makes the change look for its primary") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  CHECK(countActions(C.onTimer(at(250)), ActionKind::Claim) == 1);
  std::vector<Action> Out = C.onStatus(A, replica(5, 2), at(260));
  CHECK(countActions(Out, ActionKind::Status) == 3);
  CHECK(grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 270).empty());
  Out = C.onStatus(B, leader(6, 2), at(300));
  REQUIRE(Out.size() == 3);
  CHECK(Out[0].Kind == ActionKind::Adopt);
  CHECK(Out[1].Kind == ActionKind::StepDown);
  CHECK(Out[1].Target == P);
  CHECK(Out[1].InTerm == Term(2));
  CHECK(C.finished());
}

// A primary that was replaced goes on until it learns so.
TEST_CASE("a target that acts as primary of an older term is told to step down") {
  PrimaryChange C({.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(2)},
                  {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
  C.start(at(0));
  std::vector<Action> Out = C.onStatus(P, leader(9, 1), at(10));
  CHECK(countActions(Out, ActionKind::StepDown) == 1);
  CHECK(countActions(Out, ActionKind::Status) == 3);
}

TEST_CASE("a change that found a lost primary replaced goes on without it") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5, 2), at(10));
  C.onStatus(B, replica(5, 2), at(20));
  C.onTimer(at(800));
  grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 810);
  CHECK(orderedTarget(C.onStatus(A, replica(5, 2, 3), at(820))) == std::nullopt);
  CHECK(orderedTarget(C.onStatus(B, replica(6, 2, 3), at(830))) == std::nullopt);
  CHECK(orderedTarget(C.onStatus(P, replica(4, 2, 3), at(840))) == B);
}

// Guards against exempting one listed server as the primary when none of them is: the real one was
// not listed, and the third replica confirmed a commit that the candidate lacked (day scale-2).
TEST_CASE("failover: with no listed primary every listed server is paused") {
  PrimaryChange C({.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(1)},
                  {{.Id = P}, {.Id = A}, {.Id = B, .Leaving = true}}, at(0));
  C.start(at(0));
  for (const TargetId &Id : {P, A, B})
    C.onStatus(Id, replica(5), at(10));
  grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 20);
  CHECK_FALSE(orderedTarget(C.onStatus(P, replica(5, 1, 2), at(30))));
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(5, 1, 2), at(40))));
  CHECK(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(50))) == B);
}

// Guards against ending a change whose order will still take effect because the lost primary is
// back under another id (review/6): nobody kept it from acknowledging commits any more.
TEST_CASE("a primary of the old term that registers after the order steps down") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  const TargetId Back("back");
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  REQUIRE(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
  confirmRecord(C, 8, 32);
  C.onPromote(PromoteOutcome::Accepted, at(40));
  std::vector<Action> Out = C.onTargetRegistered({.Id = Back, .Primary = true}, at(50));
  REQUIRE(countActions(Out, ActionKind::Status) == 1);
  CHECK(Out[0].Target == Back);
  Out = C.onStatus(Back, leader(9, 1), at(60));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::StepDown);
  CHECK(Out[0].InTerm == Term(2));
  CHECK_FALSE(C.finished());
  C.onStatus(B, leader(6, 2), at(1000));
  CHECK(C.finished());
}

namespace {

// Both replicas are paused with equal logs, and an order for Target can still be executed.
PrimaryChange changeWithOrder(bool TokensChecked, const TargetId &Target, Term AboveTerm,
                              std::vector<Action> &Out) {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .Group = roster::Roster(3),
                   .NewestTerm = Term(1),
                   .TokensChecked = TokensChecked},
                  {{.Id = P, .Primary = true}, {.Id = A, .Preferred = true}, {.Id = B}}, at(0));
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  grantClaim(C,
             {.Outcome = ClaimOutcome::Granted,
              .Token = FencingToken(7),
              .Orders = {{.Target = Target, .AboveTerm = AboveTerm, .RecordedAtMs = 1000}},
              .StoreNowMs = 2000},
             20);
  C.onStatus(A, replica(5, 1, 2), at(30));
  Out = C.onStatus(B, replica(5, 1, 2), at(30));
  return C;
}

} // namespace

// Guards against two orders for different targets in flight: the later execution drops what the
// other target acknowledged meanwhile.
TEST_CASE("the target of an order that can still be executed is preferred") {
  std::vector<Action> Out;
  for (bool TokensChecked : {false, true}) {
    changeWithOrder(TokensChecked, B, Term(1), Out);
    CHECK(orderedTarget(Out) == B);
  }
}

TEST_CASE("tokens not checked: no other target is promoted until an earlier order has expired") {
  std::vector<Action> Out;
  PrimaryChange C = changeWithOrder(false, TargetId("gone"), Term(1), Out);
  CHECK(orderedTarget(Out) == std::nullopt);
  CHECK(orderedTarget(C.onTimer(at(10000))) == std::nullopt);
}

TEST_CASE("tokens checked: a higher token makes an earlier order void") {
  std::vector<Action> Out;
  changeWithOrder(true, TargetId("gone"), Term(1), Out);
  CHECK(orderedTarget(Out) == A);
}

TEST_CASE("an order counts as executed once the term has risen") {
  std::vector<Action> Out;
  changeWithOrder(false, TargetId("gone"), Term(0), Out);
  CHECK(orderedTarget(Out) == A);
}

TEST_CASE("an order is sent only after it is recorded, and not if a replica restarted meanwhile") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  REQUIRE(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(30))) == B);
  C.onTargetRegistered({.Id = A}, at(40));
  RecordedOrder Order{.Target = B, .AboveTerm = Term(1), .RecordedAtMs = 5};
  std::vector<Action> Out = C.onRecord(
      {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(8), .Orders = {Order}}, at(50));
  CHECK_FALSE(orderedTarget(Out));
  CHECK(countActions(Out, ActionKind::Pause) == 1);
  Out = C.onStatus(A, replica(6, 1, 2), at(60));
  REQUIRE(orderedTarget(Out));
  CHECK(Out[0].Void == std::vector<RecordedOrder>{Order});
}

TEST_CASE("an order that another instance's claim overtook is not sent") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(A, replica(5, 1, 2), at(20));
  C.onStatus(B, replica(6, 1, 2), at(30));
  std::vector<Action> Out = C.onRecord({.Outcome = ClaimOutcome::HeldByOther}, at(50));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Outcome == "claim_lost");
}

// Guards against judging the next successor by the primary's position as of an earlier one. The
// search found it: the former successor had received a commit since, and was not running any more.
TEST_CASE("switchover: a successor that is not running leaves no position behind") {
  PrimaryChange C = makeChange(ChangeKind::Switchover);
  C.start(at(0));
  surveyAndClaim(C, 10);
  C.onStatus(B, replica(5, 1, 2), at(20));
  C.onStatus(P, leader(5, 1), at(30));
  REQUIRE(orderedTarget(C.onStatus(A, replica(5), at(40))) == A);
  confirmRecord(C, 8, 50);
  std::vector<Action> Out = C.onPromote(PromoteOutcome::NotRunning, at(60));
  CHECK(countActions(Out, ActionKind::Status) == 2);
  C.onStatus(B, replica(5, 1, 2), at(70));
  Out = grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(9)}, 80);
  CHECK_FALSE(orderedTarget(Out));
  CHECK_FALSE(orderedTarget(C.onStatus(B, replica(5, 1, 2), at(90))));
  CHECK_FALSE(orderedTarget(C.onStatus(P, leader(6, 1), at(100))));
}

// Load pattern: a lost primary that all instances notice in the same tenth of a second.
TEST_CASE("a change that finds a pause of another instance yields to it, if it may") {
  for (bool Yields : {true, false}) {
    PrimaryChange C({.AcknowledgedCopies = 1,
                     .Group = roster::Roster(3),
                     .NewestTerm = Term(1),
                     .YieldToOthers = Yields},
                    {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
    C.start(at(0));
    C.onStatus(A, replica(5, 1, 2), at(10));
    std::vector<Action> Out = C.onStatus(B, replica(5), at(10));
    REQUIRE(Out.size() == 1);
    CHECK(Out[0].Kind == (Yields ? ActionKind::Finish : ActionKind::Claim));
  }
}

// Guards against replacing a healthy primary after a partition has healed: an instance judged the
// new primary by connections that had failed during the partition.
TEST_CASE("a silent primary that answers the survey keeps its role") {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .Group = roster::Roster(3),
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

// Guards against the loss of commits that a primary acknowledges between the order to promote and
// its effect: a paused replica that restarted received them and the candidate did not. The primary
// was reached by other instances (docs/incidents/2026-12-05-unfenced-primary.md).
TEST_CASE(
    "failover: a primary that another instance reaches steps down before positions are read") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  std::vector<Action> Out =
      C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::Observe);
  CHECK(Out[0].Target == P);
  // Positions of paused replicas, such as another change left them, prove nothing yet.
  CHECK(C.onStatus(A, replica(5, 1, 2), at(25)).empty());
  CHECK(C.onStatus(B, replica(5, 1, 2), at(25)).empty());
  Out = C.onObserved(observed(leader(8, 1)), at(30));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Kind == ActionKind::Fence);
  CHECK(Out[0].InTerm == Term(2));
  Out = C.onFenced(observed(replica(8)), at(40));
  CHECK(countActions(Out, ActionKind::Pause) == 2);
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(6, 1, 2), at(50))));
  CHECK(orderedTarget(C.onStatus(B, replica(7, 1, 2), at(50))) == B);
}

TEST_CASE("failover: a reached primary that does not step down is not replaced") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  // A primary whose slots are taken answers as busy, and is told again.
  CHECK(countActions(C.onObserved({.Reached = true}, at(30)), ActionKind::Fence) == 1);
  CHECK(C.onFenced({}, at(530)).empty());
  CHECK(countActions(C.onTimer(C.nextDeadline()), ActionKind::Fence) == 1);
  CHECK(C.onFenced({}, at(1100)).empty());
  for (int Ms = 1100; Ms < 5000 && !C.finished(); Ms += 50) {
    std::vector<Action> Out = C.onTimer(at(Ms));
    CHECK(countActions(Out, ActionKind::Pause) == 0);
    CHECK_FALSE(orderedTarget(Out));
    if (countActions(Out, ActionKind::Fence) > 0)
      C.onFenced({}, at(Ms));
  }
  CHECK(C.finished());
}

// Guards against stopping a primary that cannot be replaced: it serves others, and too few replicas
// answer this instance.
TEST_CASE("failover: a reached primary goes on while too few replicas answer") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  CHECK(countActions(C.onTimer(at(200)), ActionKind::Claim) == 1);
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(220));
  std::vector<Action> Out = C.onObserved(observed(leader(8, 1)), at(230));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Outcome == "primary_serves_others");
}

TEST_CASE("failover: without an answer about the primary the change goes on after a limit") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  CHECK(C.onTimer(at(300)).empty());
  CHECK(countActions(C.onTimer(at(420)), ActionKind::Pause) == 2);
  CHECK(C.onObserved(observed(leader(8, 1)), at(430)).empty()); // too late
}

TEST_CASE("failover: a primary that an observer finds replaced is not fenced") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  std::vector<Action> Out = C.onObserved(observed(replica(9, 2)), at(30));
  CHECK(countActions(Out, ActionKind::Status) == 3); // looks for the present primary
  CHECK(countActions(Out, ActionKind::Fence) == 0);
}

TEST_CASE("switchover: the primary serves until the promotion takes effect") {
  PrimaryChange C = makeChange(ChangeKind::Switchover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  std::vector<Action> Out =
      C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  CHECK(countActions(Out, ActionKind::Observe) == 0);
  CHECK(countActions(Out, ActionKind::Pause) == 1);
}

namespace {

// A failover in term 4; both replicas answer the survey and the pause with Received.
PrimaryChange changeInTerm4(LogPosition Received, std::optional<TermStart> Start,
                            std::vector<Action> &Out) {
  PrimaryChange C(
      {.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(4), .Start = Start},
      {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
  C.start(at(0));
  TargetStatus Status{.CurrentTerm = Term(4), .Received = Received};
  C.onStatus(A, Status, at(10));
  C.onStatus(B, Status, at(10));
  grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 20);
  Status.PauseTerm = Term(5);
  C.onStatus(A, Status, at(30));
  Out = C.onStatus(B, Status, at(30));
  return C;
}

} // namespace

// Guards against promoting a replica that received nothing since the former change: the commits at
// the end of the former term were held by the promoted successor and by servers that have left.
TEST_CASE("failover: a replica that lacks the start of the newest term is not promoted") {
  const LogPosition Behind{.InTerm = Term(3), .Position = 338};
  const TermStart Start{.InTerm = Term(4), .At = {.InTerm = Term(3), .Position = 362}};
  std::vector<Action> Out;
  changeInTerm4(Behind, Start, Out);
  CHECK_FALSE(orderedTarget(Out));
  changeInTerm4(Behind, std::nullopt, Out);
  CHECK_FALSE(orderedTarget(Out));
  changeInTerm4(Start.At, Start, Out);
  CHECK(orderedTarget(Out));
  changeInTerm4({.InTerm = Term(4), .Position = 363}, std::nullopt, Out);
  CHECK(orderedTarget(Out));
}

TEST_CASE("failover: a reached primary goes on while no replica has the start of its term") {
  PrimaryChange C({.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(4)},
                  {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
  C.start(at(0));
  C.onStatus(A, replica(5, 3), at(10));
  C.onStatus(B, replica(5, 3), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  std::vector<Action> Out = C.onObserved(observed(leader(8, 4)), at(30));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Outcome == "primary_serves_others");
}

// Guards against a group whose writes stall for good: an abandoned change left the replicas paused
// before they received anything of the newest term.
TEST_CASE("failover: a primary that stepped down and cannot be replaced is promoted again") {
  PrimaryChange C({.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(4)},
                  {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}}, at(0));
  TargetStatus Paused{
      .CurrentTerm = Term(4), .Received = {.InTerm = Term(3), .Position = 5}, .PauseTerm = Term(5)};
  C.start(at(0));
  C.onStatus(A, Paused, at(10));
  C.onStatus(B, Paused, at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  CHECK(countActions(C.onObserved(observed(leader(8, 4)), at(30)), ActionKind::Fence) == 1);
  C.onFenced(observed(replica(8, 4)), at(40));
  C.onStatus(A, Paused, at(50));
  CHECK_FALSE(orderedTarget(C.onStatus(B, Paused, at(50))));
  std::vector<Action> Out;
  for (int Ms = 100; Ms < 1000 && !orderedTarget(Out); Ms += 50)
    Out = C.onTimer(at(Ms));
  REQUIRE(orderedTarget(Out) == P);
  CHECK(countActions(confirmRecord(C, 8, 1000), ActionKind::Promote) == 1);
  CHECK(countActions(C.onPromote(PromoteOutcome::Accepted, at(1010)), ActionKind::StepDown) == 0);
  C.onStatus(P, leader(8, 5), at(1500));
  CHECK(C.finished());
  REQUIRE(C.newTermStart());
  CHECK(C.newTermStart()->InTerm == Term(5));
}

// Guards against the end of the process (std::out_of_range): the primary that was to be promoted
// again was gone from the members, and forgotten as primary when a newer term was seen.
TEST_CASE(
    "failover: a primary that is promoted again and is not running is no longer the primary") {
  PrimaryChange C = makeChange(ChangeKind::Failover);
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  C.onClaim({.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, at(20));
  C.onObserved(observed(leader(8, 1)), at(30));
  C.onFenced(observed(replica(8)), at(40));
  std::vector<Action> Out;
  for (int Ms = 100; Ms < 1000 && !orderedTarget(Out); Ms += 50)
    Out = C.onTimer(at(Ms));
  REQUIRE(orderedTarget(Out) == P);
  confirmRecord(C, 8, 1000);
  CHECK(countActions(C.onPromote(PromoteOutcome::NotRunning, at(1010)), ActionKind::Status) == 2);
  C.onStatus(A, replica(5, 2), at(1020));
  CHECK_FALSE(C.finished());
  CHECK(C.describeMembers().find("p:") == std::string::npos);
}

// Guards against a change that waits until its time limit for a server that has left.
TEST_CASE("a target that is removed during the change is not waited for") {
  const TargetId Gone("gone");
  PrimaryChange C({.AcknowledgedCopies = 1, .Group = roster::Roster(3), .NewestTerm = Term(1)},
                  {{.Id = P, .Primary = true}, {.Id = A}, {.Id = B}, {.Id = Gone}}, at(0));
  C.start(at(0));
  C.onStatus(A, replica(5), at(10));
  C.onStatus(B, replica(5), at(10));
  C.onTimer(at(250));
  grantClaim(C, {.Outcome = ClaimOutcome::Granted, .Token = FencingToken(7)}, 260);
  C.onStatus(A, replica(5, 1, 2), at(270));
  CHECK_FALSE(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(280))));
  CHECK(orderedTarget(C.onTargetRemoved(Gone, at(300))) == B);
}

namespace {

// A change of a group of p, a and b that knows only the servers of Listed. The claim's row names
// the members.
PrimaryChange changeOfMembers(std::vector<Member> Listed) {
  PrimaryChange C({.AcknowledgedCopies = 1,
                   .Group = roster::Roster(3, std::nullopt),
                   .NewestTerm = Term(1),
                   .Kind = ChangeKind::Failover},
                  std::move(Listed), at(0));
  C.start(at(0));
  return C;
}

const ClaimResult GrantedWithMembers{.Outcome = ClaimOutcome::Granted,
                                     .Token = FencingToken(7),
                                     .Members = {{P, "at-p"}, {A, "at-a"}, {B, "at-b"}}};

} // namespace

// Guards against the loss of review/13: the registrations come back one by one after an outage of
// the store, and a server that joined and the leaving one that it replaces were promoted in place
// of members that were not listed yet.
TEST_CASE(
    "failover: listed servers that are no members do not stand for members that are missing") {
  const TargetId Joined("n");
  PrimaryChange C = changeOfMembers({{.Id = Joined}, {.Id = B, .Leaving = true}});
  C.onStatus(Joined, replica(5), at(5));
  C.onStatus(B, replica(5), at(5));
  std::vector<Action> Out = grantClaim(C, GrantedWithMembers, 10);
  CHECK(countActions(Out, ActionKind::Pause) == 2);
  CHECK_FALSE(orderedTarget(C.onStatus(Joined, replica(5, 1, 2), at(15))));
  CHECK_FALSE(orderedTarget(C.onStatus(B, replica(5, 1, 2), at(15))));
  CHECK(C.describeMembers().find("a:missing") != std::string::npos);
  // The list is complete: two members besides the primary, of which one may be missing.
  C.onTargetRegistered({.Id = A}, at(20));
  CHECK(orderedTarget(C.onStatus(A, replica(6, 1, 2), at(25))) == A);
}

// Guards against a group without a primary (soak seed 212): a server that had joined was ahead of
// the members and none of them was promoted. The record of the order makes it a member.
TEST_CASE("failover: a server that is no member is promoted if it is ahead of enough members") {
  const TargetId Joined("n");
  PrimaryChange C = changeOfMembers({{.Id = Joined}, {.Id = A}, {.Id = B}});
  for (const TargetId &Id : {Joined, A, B})
    C.onStatus(Id, replica(5), at(5));
  grantClaim(C, GrantedWithMembers, 10);
  CHECK_FALSE(orderedTarget(C.onStatus(Joined, replica(9, 1, 2), at(15))));
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(6, 1, 2), at(15))));
  CHECK(orderedTarget(C.onStatus(B, replica(6, 1, 2), at(15))) == Joined);
}

// Guards against a leaving primary that is promoted again although a server can replace it
// (review/7): the drain then lasted longer than 7 s.
TEST_CASE("failover: a server that is no member and has the final position replaces the primary") {
  const TargetId Joined("n");
  PrimaryChange C =
      changeOfMembers({{.Id = P, .Primary = true}, {.Id = Joined}, {.Id = A}, {.Id = B}});
  for (const TargetId &Id : {Joined, A, B})
    C.onStatus(Id, replica(5), at(5));
  C.onStatus(P, leader(8, 1), at(5));
  C.onClaim(GrantedWithMembers, at(10));
  C.onObserved(observed(leader(8, 1)), at(20));
  C.onFenced(observed(replica(8)), at(30));
  CHECK_FALSE(orderedTarget(C.onStatus(A, replica(6, 1, 2), at(40))));
  CHECK(orderedTarget(C.onStatus(Joined, replica(8, 1, 2), at(40))) == Joined);
}
