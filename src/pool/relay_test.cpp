#include "pool/keyed.h"
#include "pool/outcome.h"
#include "pool/relay.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::pool;

namespace {

std::string position(uint64_t At) {
  return wire::parameterStatus("group_position", "1/" + std::to_string(At));
}

std::string row(size_t Bytes) {
  return wire::Writer().begin('D').int16(1).bytes(std::string(Bytes, 'x')).end().take();
}

const std::string Described = wire::emptyMessage('t') + wire::emptyMessage('T');

// Feeds bytes from a target to the relay and returns the last step.
RelayStep feed(Relay &R, const std::string &Bytes) {
  wire::FrameReader Reader(1 << 24);
  Reader.append(Bytes);
  wire::Frame F;
  RelayStep Step = RelayStep::More;
  while (Reader.next(F) == wire::ReadStatus::Ready)
    Step = R.onFrame(F);
  return Step;
}

std::string takeChunks(Relay &R) {
  std::string Out;
  while (auto Chunk = R.takeChunk())
    Out += *Chunk;
  return Out;
}

Relay makeRelay(const std::string &Request, const std::set<uint32_t> &Hidden = {},
                RelayOptions Options = {}) {
  auto Plan = planReplies(Request, Hidden);
  REQUIRE(Plan);
  return {*Plan, Options};
}

const std::string Parse = wire::parse({.Statement = "s", .Sql = "select 1"});
const std::string Bind = wire::bind({.Portal = "", .Statement = "s", .FormatsAndValues = ""});
const std::string Describe = wire::describe({.Kind = 'S', .Name = "s"});
const std::string Close = wire::closeObject({.Kind = 'S', .Name = "s"});
const std::string Execute = wire::execute({});

} // namespace

// Guards against sending a request that the target would never answer.
TEST_CASE("incomplete or unsupported requests are refused") {
  CHECK(!planReplies("", {}));
  CHECK(!planReplies(Parse, {}));
  CHECK(!planReplies(Parse + wire::sync().substr(1), {}));
  CHECK(!planReplies(wire::query("x") + "Q", {}));
  CHECK(!planReplies(wire::emptyMessage('d') + wire::sync(), {}));
  CHECK(planReplies(Parse + wire::emptyMessage('H') + wire::sync(), {})->size() == 2);
}

// Guards against relaying replies to frames that the session added.
TEST_CASE("replies of hidden frames are dropped") {
  Relay R = makeRelay(Close + Parse + Describe + Bind + Execute + wire::sync(), {0, 1});
  std::string Seen =
      Described + wire::emptyMessage('2') + row(1) + wire::commandComplete("SELECT 1");
  CHECK(feed(R, wire::emptyMessage('3') + wire::emptyMessage('1') + Seen +
                    wire::readyForQuery('T')) == RelayStep::Finished);
  CHECK(takeChunks(R) == Seen);
  CHECK(R.complete());
  CHECK(R.status() == 'T');
  Relay Set = makeRelay(wire::query("set x to 1") + wire::query("select 1"), {0});
  CHECK(feed(Set, wire::commandComplete("SET") + wire::readyForQuery('I')) == RelayStep::More);
  CHECK(feed(Set, wire::commandComplete("SELECT 1") + wire::readyForQuery('I')) ==
        RelayStep::Finished);
  CHECK(takeChunks(Set) == wire::commandComplete("SELECT 1"));
}

// Guards against waiting for replies that the target skips after an error.
TEST_CASE("after an error no replies are expected up to Sync") {
  std::string Error = wire::error("ERROR", "42601", "syntax");
  Relay R = makeRelay(Parse + Bind + Execute + wire::sync(), {0});
  CHECK(feed(R, Error + wire::readyForQuery('I')) == RelayStep::Finished);
  CHECK(takeChunks(R) == Error);
  CHECK(R.errorState() == "42601");
}

// Guards against treating a truncated answer as complete.
TEST_CASE("an answer is complete only at ReadyForQuery") {
  Relay R = makeRelay(wire::query("x"));
  CHECK(feed(R, wire::commandComplete("SELECT 0")) == RelayStep::More);
  CHECK(!R.complete());
  CHECK(takeChunks(R).empty());
  CHECK(feed(R, wire::error("FATAL", "57P01", "fenced")) == RelayStep::Fatal);
  CHECK(R.fatalText() == "fenced");
  Relay Extended = makeRelay(Parse + Bind + Execute + wire::sync());
  CHECK(feed(Extended, wire::emptyMessage('1') + wire::readyForQuery('I')) == RelayStep::Malformed);
  Relay Copy = makeRelay(wire::query("copy"));
  CHECK(feed(Copy, wire::emptyMessage('G')) == RelayStep::Malformed);
}

// Guards against acknowledging a write before its confirmation, wherever the position is reported.
TEST_CASE("frames from CommandComplete on are held until the confirmation") {
  std::string Done = wire::commandComplete("INSERT 0 1");
  Relay R = makeRelay(wire::query("insert"));
  SUBCASE("position before CommandComplete") {
    feed(R, row(1) + position(7) + Done + wire::readyForQuery('I'));
  }
  SUBCASE("position before ReadyForQuery") {
    feed(R, row(1) + Done + position(7) + wire::readyForQuery('I'));
  }
  CHECK(R.finished());
  CHECK(R.takeUnconfirmed() == LogPosition{Term(1), 7});
  CHECK(!R.takeUnconfirmed());
  CHECK(takeChunks(R).find(Done) == std::string::npos);
  CHECK(!R.complete());
  R.confirmed();
  takeChunks(R);
  CHECK(R.complete());
  CHECK(R.sawNewPosition());
}

// Guards against acknowledging a second commit with the confirmation of the first.
TEST_CASE("each commit of a request is confirmed separately") {
  std::string One = wire::commandComplete("ONE");
  std::string Two = wire::commandComplete("TWO");
  Relay R = makeRelay(wire::query("a;b"));
  feed(R, position(7) + One);
  CHECK(R.takeUnconfirmed()->Position == 7);
  feed(R, position(8) + Two + wire::readyForQuery('I'));
  R.confirmed();
  CHECK(takeChunks(R).empty());
  CHECK(R.takeUnconfirmed()->Position == 8);
  R.confirmed();
  CHECK(takeChunks(R) == One + Two);
}

// Guards against relaying an answer that reflects a write which may be lost, and against accepting
// a confirmation of another term.
TEST_CASE("an answer that may reflect an unconfirmed position is held") {
  auto Waits = [](LogPosition Confirmed, bool AtPrimary) {
    Relay R =
        makeRelay(wire::query("x"), {},
                  {.AtPrimary = AtPrimary, .LastPosition = {Term(2), 9}, .Confirmed = Confirmed});
    feed(R, wire::commandComplete("SELECT 0") + wire::readyForQuery('I'));
    return R.takeUnconfirmed().has_value();
  };
  CHECK(!Waits({Term(2), 9}, true));
  CHECK(Waits({Term(2), 8}, true));
  CHECK(Waits({Term(3), 20}, true));
  CHECK(!Waits({Term(2), 8}, false));
}

// Guards against unbounded buffers, and against an answer that stalls when a buffer is full.
TEST_CASE("credit and buffer limits pause reading without stalling the answer") {
  RelayOptions Small{.ChunkBytes = 100, .CreditBytes = 200};
  SUBCASE("credit") {
    Relay R = makeRelay(wire::query("x"), {}, Small);
    size_t Sent = 0;
    for (size_t New = 1; New > 0; Sent += New) {
      while (R.wantsInput())
        feed(R, row(20));
      New = takeChunks(R).size();
    }
    CHECK(Sent >= 200);
    CHECK(Sent < 300);
    R.credit(Sent);
    CHECK(R.takeChunk());
  }
  SUBCASE("a frame larger than all limits") {
    Relay R = makeRelay(wire::query("x"), {}, Small);
    feed(R, row(5000));
    CHECK(!R.wantsInput());
    CHECK(takeChunks(R) == row(5000));
    CHECK(R.wantsInput());
  }
  SUBCASE("a long result after a commit") {
    Relay R = makeRelay(wire::query("insert; select"), {}, Small);
    feed(R, position(7) + wire::commandComplete("INSERT 0 1"));
    CHECK(R.takeUnconfirmed());
    while (R.wantsInput())
      feed(R, row(20));
    CHECK(takeChunks(R).empty());
    R.confirmed();
    CHECK(!takeChunks(R).empty());
    CHECK(R.wantsInput());
  }
}

// Guards against recording the id of a request that failed or executes nothing, and against replies
// that an extended-protocol caller cannot match to its frames.
TEST_CASE("a request with an id is recorded, run and committed in its own transaction") {
  std::string Whole = Parse + Bind + Execute + wire::sync();
  KeyedRequest K(KeyedMode::OwnTransaction, "k", Whole, *planReplies(Whole, {0}));
  CHECK(!executes(*planReplies(Parse + wire::sync(), {})));
  CHECK(executes(K.plan()));
  StepReply Ok{.CommandTag = "INSERT 0 1", .Status = 'T'};
  std::string Record = K.begin();
  SUBCASE("the table does not exist") {
    CHECK(K.onReply({.ErrorState = "42P01", .Status = 'E'}).find("CREATE TABLE") !=
          std::string::npos);
    CHECK(K.onReply({}) == Record);
    CHECK(K.onReply(Ok) == Whole);
    CHECK(!K.mayHaveCommitted());
    CHECK(K.onReply(Ok).find("COMMIT") != std::string::npos);
    CHECK(K.mayHaveCommitted());
    CHECK(K.onReply({.CommandTag = "COMMIT"}).empty());
  }
  SUBCASE("the request fails") {
    K.onReply(Ok);
    CHECK(K.onReply({.Frames = "error", .ErrorState = "22012", .Status = 'E'}) ==
          wire::query("ROLLBACK"));
    CHECK(K.onReply({.CommandTag = "ROLLBACK"}).empty());
    CHECK(K.answer() == "error");
    CHECK(!K.mayHaveCommitted());
  }
  SUBCASE("the id is already recorded") {
    CHECK(K.onReply({.ErrorState = "23505", .Status = 'E'}).find("SELECT") != std::string::npos);
    std::string Row = wire::Writer().begin('D').int16(1).int32(8).bytes("DELETE 3").end().take();
    CHECK(K.onReply({.Frames = Row, .CommandTag = "SELECT 1"}).empty());
    CHECK(K.answer() == wire::emptyMessage('2') + wire::commandComplete("DELETE 3"));
  }
}

// Guards against recording an id in a way that ends the caller's transaction.
TEST_CASE("recording an id leaves the caller's open transaction intact") {
  std::string Query = wire::query("book");
  KeyedRequest K(KeyedMode::OpenTransaction, "k", Query, *planReplies(Query, {}));
  StepReply Ok{.Frames = "rows", .CommandTag = "INSERT 0 1", .Status = 'T'};
  std::string Sent = K.begin();
  SUBCASE("runs") {
    CHECK(K.onReply(Ok) == Query);
    CHECK(K.mayHaveCommitted());
    Sent += K.onReply(Ok);
    CHECK(K.onReply({.CommandTag = "RELEASE", .Status = 'T'}).empty());
    CHECK(K.answer() == "rows");
  }
  SUBCASE("ends the transaction") {
    K.onReply(Ok);
    CHECK(K.onReply({.Frames = "rows", .CommandTag = "COMMIT", .Status = 'I'}).empty());
  }
  SUBCASE("fails") {
    K.onReply(Ok);
    CHECK(K.onReply({.Frames = "error", .ErrorState = "22012", .Status = 'E'}).empty());
    CHECK(K.answer() == "error");
  }
  SUBCASE("is already recorded") {
    Sent += K.onReply({.ErrorState = "23505", .Status = 'E'});
    CHECK(Sent.find("ROLLBACK TO SAVEPOINT") != std::string::npos);
    std::string Row = wire::Writer().begin('D').int16(1).int32(8).bytes("DELETE 3").end().take();
    CHECK(K.onReply({.Frames = Row, .CommandTag = "SELECT 1", .Status = 'T'}).empty());
    CHECK(K.answer() == wire::commandComplete("DELETE 3"));
  }
  CHECK(Sent.find("BEGIN") == std::string::npos);
  CHECK(Sent.find("COMMIT") == std::string::npos);
}

// Guards against reporting a request as not run although it may have run.
TEST_CASE("the outcome of a lost connection depends on what was sent and relayed") {
  auto Outcome = [](LossFacts Facts) {
    LossOutcome O = outcomeOfLoss(Facts);
    return std::make_pair(O.Step, O.Why);
  };
  CHECK(Outcome({}).first == LossStep::Requeue);
  CHECK(Outcome({.Repeatable = true}).first == LossStep::Requeue);
  CHECK(Outcome({.InTransaction = true}) == std::make_pair(LossStep::Fail, Reason::LeaseUnknown));
  CHECK(Outcome({.Written = true}) == std::make_pair(LossStep::Fail, Reason::TargetLost));
  CHECK(Outcome({.Written = true, .TermOver = true}).second == Reason::TermChanged);
  CHECK(Outcome({.Written = true, .Repeatable = true}).first == LossStep::Retry);
  CHECK(Outcome({.Written = true, .Relayed = true, .Repeatable = true}) ==
        std::make_pair(LossStep::Fail, Reason::AnswerIncomplete));
  CHECK(Outcome({.Written = true, .Repeatable = true, .InTransaction = true}).first ==
        LossStep::Fail);
  RetryBudget Budget;
  int Granted = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.onRequest();
    Granted += Budget.take() ? 1 : 0;
  }
  CHECK(Granted <= 110);
}
