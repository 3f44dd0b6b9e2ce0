#include "session/transcript_test.h"

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace toucan;
using namespace toucan::session;

namespace {

// Starts a session whose floor is known.
void start(Transcript &T) { T.event("startup user=moana database=orders toucanrun.token=@5/10"); }

std::string joined(const std::vector<std::string> &Lines) { return absl::StrJoin(Lines, "\n"); }

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string startupAnswer(const std::string &Parameters) {
  return joined(Transcript().event("startup " + Parameters));
}

} // namespace

// Guards against an error whose SQLSTATE or text contradicts the verdict of the pool.
TEST_CASE("the error of a failed write matches the verdict and reason of the pool") {
  for (size_t I = 1; I < ReasonCount; ++I) {
    Reason R = static_cast<Reason>(I);
    if (reasonIsRetry(R))
      continue;
    for (const char *V : {"not_run", "may_have_run"}) {
      Transcript T;
      start(T);
      T.event("query insert into t values (1)");
      std::string Done = absl::StrFormat("done verdict=%s reason=%s chunks=0", V, reasonName(R));
      std::string Text = joined(T.event(Done));
      // Exhausts the retries of requests that have not run.
      for (int Retry = 0; Retry < 20 && has(Text, "count retry"); ++Retry) {
        T.Now += absl::Seconds(Retry < 10 ? 0 : 40);
        Text = joined(T.event("timer"));
        if (has(Text, "exec"))
          Text = joined(T.event(Done));
      }
      CAPTURE(V);
      CAPTURE(Text);
      CHECK(has(Text, "caller Z I"));
      bool NotRun = std::string(V) == "not_run";
      bool SaysNotRun = has(Text, "has not run");
      CHECK(SaysNotRun != has(Text, "may have run"));
      // A refusal may promise less than the verdict, never more.
      if (!NotRun)
        CHECK_FALSE(SaysNotRun);
      else if (reasonVerdict(R) == Verdict::NotRun)
        CHECK(SaysNotRun);
      if (!SaysNotRun)
        CHECK((has(Text, "ERROR 08007") || has(Text, "ERROR 08006")));
      else
        CHECK((has(Text, "ERROR " + std::string(reasonSqlState(R))) || has(Text, "ERROR 57014")));
    }
  }
}

// Guards against a learned class that overrides the class of a rule, including the class short.
TEST_CASE("a request tells the pool whether a rule has set its class") {
  Transcript T;
  T.event(
      "rules class database=orders table=bookings class=short # bookings are short: site office");
  start(T);
  CHECK(has(joined(T.event("query insert into bookings values (1)")), "class_by_rule"));
  Transcript Other;
  start(Other);
  CHECK_FALSE(has(joined(Other.event("query insert into t values (1)")), "class_by_rule"));
}

// Guards against a request that never ends because Done has a value of another version.
TEST_CASE("an unknown reason or verdict counts as an unknown outcome") {
  Transcript T;
  start(T);
  T.event("query insert into t values (1)");
  proto::Done D;
  D.set_request_id(T.LastRequest);
  D.set_reason(200);
  Actions Out;
  T.M->onDone(InstanceId("b"), D, T.Now, Out);
  const auto *Write = std::get_if<WriteAction>(&Out.front());
  REQUIRE(Write);
  CHECK(has(Write->Bytes, "08007"));
}

// Guards against a retry hint that is not passed on to the caller, and against one in an error
// after which the request must not simply be sent again.
TEST_CASE("the error of a refused request contains the retry hint of the pool") {
  auto HintOf = [](proto::Verdict V, Reason R, uint64_t RetryAfterUs) {
    Transcript T;
    start(T);
    T.event("query insert into t values (1)");
    proto::Done D;
    D.set_request_id(T.LastRequest);
    D.set_verdict(V);
    D.set_reason(static_cast<uint32_t>(R));
    D.set_retry_after_us(RetryAfterUs);
    Actions Out;
    T.M->onDone(InstanceId("b"), D, T.Now, Out);
    const auto *Write = std::get_if<WriteAction>(&Out.front());
    REQUIRE(Write);
    wire::FrameReader Reader(1000);
    Reader.append(Write->Bytes);
    wire::Frame F;
    REQUIRE(Reader.next(F) == wire::ReadStatus::Ready);
    return wire::parseError(F.Body).value_or(wire::ErrorFields())['H'];
  };
  CHECK(HintOf(proto::NOT_RUN, Reason::QueueFull, 249'001) == "retry after 250 ms");
  CHECK(HintOf(proto::NOT_RUN, Reason::QueueFull, 0).empty());
  CHECK(HintOf(proto::MAY_HAVE_RUN, Reason::TargetLost, 250'000).empty());
}

TEST_CASE("start-up: invalid packets and parameters are refused with their SQLSTATE") {
  CHECK(has(startupAnswer("user=u database=nowhere"), "FATAL 3D000"));
  CHECK(has(startupAnswer("database=orders"), "FATAL 28000"));
  CHECK(has(startupAnswer("user=u database=orders replication=database"), "FATAL 0A000"));
  CHECK(has(startupAnswer("user=u database=orders search_path=other"), "FATAL 0A000"));
  CHECK(has(startupAnswer("user=u database=orders work_mem=1GB"), "FATAL 0A000"));
  CHECK(has(startupAnswer("user=u database=orders options=-c_work_mem=1"), "FATAL 0A000"));
  CHECK(has(startupAnswer("user=u database=orders toucanrun.token=nonsense"), "FATAL 22023"));
  CHECK(has(startupAnswer("user=orders"), "Z I"));
  CHECK(has(startupAnswer("user=u database=orders options=--application-name=x"), "=x"));
  CHECK(has(startupAnswer("user=u database=orders _pq_.future=1"), "caller v"));
  Transcript Old;
  CHECK(has(joined(Old.event("raw 0000000800020000")), "FATAL 0A000"));
  Transcript Short;
  CHECK(has(joined(Short.event("raw 00000003")), "FATAL 08P01"));
  Transcript Large;
  CHECK(has(joined(Large.event("raw 00010000")), "FATAL 54000"));
  Transcript Cancel;
  CHECK(joined(Cancel.event("raw 0000001004d2162e0000000b00000016")) ==
        "cancel_request 11 22\nclose");
}

// Guards against a field that other instances do not accept, which would lose the whole envelope.
TEST_CASE("text sent to other instances is valid UTF-8 of limited length") {
  CHECK(has(startupAnswer("user=\xff database=orders"), "FATAL 28000"));
  CHECK(has(startupAnswer("user=M\xc4\x81ui database=orders"), "Z I"));
  Transcript T;
  start(T);
  std::string Long(300, 'x');
  CHECK(has(joined(T.event("query select 1 /* request_id='\xe2\x82' */")), "ERROR 22021"));
  CHECK(has(joined(T.event("query select 1 /* request_id='" + Long + "' */")), "ERROR 54000"));
  CHECK(has(joined(T.event("query set toucanrun.request_id = '\xff'")), "ERROR 22021"));
  CHECK(has(joined(T.event("parse |begin \xff")), "ERROR 22021"));
  T.event("sync");
  CHECK(has(joined(T.event("query set toucanrun.request_id = '" + Long + "'")), "ERROR"));
  for (const char *Bad : {"\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"})
    CHECK_FALSE(isUtf8(Bad));
  CHECK(isUtf8("\xf0\x9f\xa6\x9c kak\xc4\x81p\xc5\x8d"));
}

TEST_CASE("start-up: refused after the timeout, over the caller limit and while draining") {
  Transcript Slow;
  Actions Out;
  Slow.M->onTimer(Slow.Now + absl::Seconds(11), Out);
  CHECK(Slow.M->closed());
  Transcript Draining;
  Draining.Common.Draining = true;
  CHECK(has(joined(Draining.event("startup user=u database=orders")), "FATAL 57P01"));
  Transcript Full;
  Full.M = std::make_unique<Machine>(Full.Common, MachineOptions{.Session = 1, .OverLimit = true},
                                     Full.Now, Out);
  CHECK(has(joined(Full.event("startup user=u database=orders")), "FATAL 53300"));
}

// Guards against statements that run although the message before them ended the session; the same
// is tested for the platform's protocol in platform/session_end_test.cpp.
TEST_CASE("nothing behind the end of a session is sent to a pool") {
  struct SessionEnd {
    std::string Name;
    std::string Bytes;
  };
  const std::vector<SessionEnd> Ends = {
      {"Terminate", wire::terminate()},
      {"unknown message type", wire::emptyMessage('y')},
      {"invalid length", std::string("Q\0\0\0\1", 5)},
      {"message over the limit", std::string("Q\x7f\xff\xff\xff", 5)},
      {"Query without a terminator", wire::Writer().begin('Q').bytes("x").end().take()},
  };
  const std::string Behind = wire::query("insert into t values (2)") + wire::query("commit");
  auto SendsExec = [](const Actions &Out) {
    return std::any_of(Out.begin(), Out.end(), [](const Action &A) {
      const auto *Sent = std::get_if<SendAction>(&A);
      return Sent && Sent->Message.has_exec();
    });
  };
  for (const SessionEnd &End : Ends) {
    CAPTURE(End.Name);
    Transcript Idle;
    start(Idle);
    Actions Out;
    Idle.M->onBytes(End.Bytes + Behind, Idle.Now, Out);
    CHECK(Idle.M->closed());
    CHECK_FALSE(SendsExec(Out));

    Transcript Running;
    start(Running);
    Running.event("query insert into t values (1)");
    Out.clear();
    Running.M->onBytes(End.Bytes + Behind, Running.Now, Out);
    CHECK_FALSE(SendsExec(Out));
    std::string Text =
        joined(Running.event("chunk 0 C:INSERT")) + joined(Running.event("done at=5/11"));
    CHECK(has(Text, "caller C INSERT"));
    CHECK_FALSE(has(Text, "exec"));
    CHECK(Running.M->closed());

    Transcript InTransaction;
    start(InTransaction);
    InTransaction.event("query begin");
    InTransaction.event("chunk 0 C:BEGIN");
    InTransaction.event("done tx=T lease=9 at=5/11");
    Out.clear();
    InTransaction.M->onBytes(End.Bytes + Behind, InTransaction.Now, Out);
    CHECK_FALSE(SendsExec(Out));
    CHECK(std::any_of(Out.begin(), Out.end(), [](const Action &A) {
      const auto *Sent = std::get_if<SendAction>(&A);
      return Sent && Sent->Message.has_release() && Sent->Message.release().lease() == 9;
    }));
  }
  const std::string SessionBehind =
      wire::startup({{"user", "moana"}, {"database", "orders"}}) + Behind;
  for (const std::string &End : {wire::startup({{"user", "moana"}, {"database", "nowhere"}}),
                                 wire::startup({{"database", "orders"}}), wire::cancelRequest(1, 2),
                                 std::string(5, '\x7f')}) {
    Transcript T;
    Actions Out;
    T.M->onBytes(End + SessionBehind, T.Now, Out);
    CHECK(T.M->closed());
    CHECK_FALSE(SendsExec(Out));
  }
  for (const char *End : {"gone", "drain_deadline"}) {
    Transcript T;
    start(T);
    T.event("query insert into t values (1)");
    Actions Out;
    T.M->onBytes(Behind, T.Now, Out);
    CHECK_FALSE(has(joined(T.event(End)), "exec"));
    CHECK_FALSE(has(joined(T.event("done at=5/11")), "exec"));
  }
}

// Guards against an answer that exceeds the memory of the instance, and one that stops for lack of
// credit.
TEST_CASE("credit is returned for the bytes written to the caller") {
  Transcript T;
  start(T);
  T.event(absl::StrFormat("written %d", T.Unwritten));
  T.event("query select 1");
  proto::Chunk C;
  C.set_request_id(T.LastRequest);
  std::string Row = wire::Writer().begin('D').bytes(std::string(32 * 1024, 'x')).end().take();
  C.set_frames(Row);
  Actions Out;
  T.M->onChunk(C, T.Now, Out);
  T.Unwritten += Row.size();
  CHECK(T.event("written 1000").empty());
  CHECK(joined(T.event(absl::StrFormat("written %d", Row.size() - 1000))) ==
        absl::StrFormat("credit b bytes=%d", Row.size()));
}

// Guards against one caller whose input or unread answers exhaust the memory of the instance.
TEST_CASE("reading pauses while a request runs or the caller does not read") {
  Transcript T;
  start(T);
  T.event("query select 1");
  std::string Many;
  while (Many.size() < 100 * 1024)
    Many += wire::query("show application_name");
  Actions Out;
  T.M->onBytes(Many, T.Now, Out);
  REQUIRE(Out.size() == 1);
  CHECK(std::get<PauseAction>(Out[0]).Paused);
  T.event("chunk 0 C:SELECT_1");
  // The input that was read ahead is processed in several events.
  std::string Text = joined(T.event("done at=5/11"));
  for (int I = 0; I < 100 && !has(Text, "resume"); ++I)
    Text = joined(T.event("timer"));
  CHECK(has(Text, "resume"));
  // The answers exceed the limit of unwritten output.
  size_t Written = 0;
  for (int I = 0; I < 60; ++I) {
    Out.clear();
    T.M->onBytes(Many, T.Now, Out);
    for (const Action &One : Out)
      if (const auto *Write = std::get_if<WriteAction>(&One))
        Written += Write->Bytes.size();
  }
  CHECK(Written < 2 * 1024 * 1024);
}

// Guards against one caller that delays all others with messages that are answered at once.
TEST_CASE("the work for one caller in one event is bounded") {
  Transcript T;
  start(T);
  std::string Ready = wire::readyForQuery('I');
  auto Answers = [&](const Actions &Out) {
    size_t Count = 0;
    for (const Action &One : Out)
      if (const auto *Write = std::get_if<WriteAction>(&One))
        for (size_t At = 0; (At = Write->Bytes.find(Ready, At)) != std::string::npos; ++At)
          ++Count;
    return Count;
  };
  SUBCASE("by the number of messages") {
    std::string Many;
    for (int I = 0; I < 200; ++I)
      Many += wire::query("show application_name");
    Actions Out;
    T.M->onBytes(Many, T.Now, Out);
    CHECK(Answers(Out) == 64);
    for (size_t Expected : {64, 64, 8, 0}) {
      Out.clear();
      T.M->onTimer(T.Now, Out);
      CHECK(Answers(Out) == Expected);
    }
  }
  SUBCASE("by their size") {
    std::string Large = wire::query("/*" + std::string(40000, 'x') + "*/ show application_name");
    Actions Out;
    T.M->onBytes(Large + Large + Large, T.Now, Out);
    CHECK(Answers(Out) == 2);
    Out.clear();
    T.M->onTimer(T.Now, Out);
    CHECK(Answers(Out) == 1);
  }
}

// Guards against requests that the memory budget holds back and that are processed or forgotten.
TEST_CASE("a held session processes no request until it is resumed") {
  Transcript T;
  start(T);
  Actions Out;
  T.M->setHeld(true);
  T.M->onBytes(wire::query("show application_name"), T.Now, Out);
  CHECK(Out.empty());
  T.M->setHeld(false);
  T.M->onResume(T.Now, Out);
  CHECK_FALSE(Out.empty());
}

TEST_CASE("retries are limited to a fraction of the requests") {
  RetryBudget Budget;
  int Taken = 0;
  while (Budget.tryTake())
    ++Taken;
  CHECK(Taken == 100);
  for (int I = 0; I < 25; ++I)
    Budget.onRequest();
  CHECK(Budget.tryTake());
  CHECK(Budget.tryTake());
  CHECK_FALSE(Budget.tryTake());
}

// Guards against unlimited memory use by prepared statements.
TEST_CASE("requests and prepared statements over the size limit are refused") {
  Transcript T;
  T.Common.Options.MaxFrameBytes = 4096;
  Actions Out;
  T.M = std::make_unique<Machine>(T.Common, MachineOptions{.Session = 7}, T.Now, Out);
  start(T);
  std::string Pad(1500, ' ');
  T.event("parse a|select 1" + Pad);
  T.event("sync");
  T.event("chunk 0 1");
  T.event("done at=5/11");
  std::string Text =
      joined(T.event("parse b|select 2" + Pad)) + joined(T.event("parse c|select 3" + Pad));
  CHECK(has(Text, "ERROR 54000"));
  CHECK(has(joined(T.event("sync")), "Z I"));
}

// Guards against crashes and missing or duplicate ReadyForQuery under arbitrary event orders.
TEST_CASE("each Query gets exactly one ReadyForQuery under random events") {
  const std::vector<std::string> Queries = {"select 1",
                                            "insert into t values (1)",
                                            "begin",
                                            "commit",
                                            "rollback",
                                            "listen x",
                                            "set application_name = 'x'",
                                            "selec",
                                            "begin; select 1; commit",
                                            ""};
  const std::vector<std::string> Others = {"chunk 0 T",
                                           "chunk 1 D",
                                           "chunk 0 E:42601",
                                           "chunk 0 cut",
                                           "done",
                                           "done chunks=0",
                                           "done chunks=2 tx=T lease=5",
                                           "done tx=T lease=6",
                                           "done tx=E lease=6",
                                           "done tx=T",
                                           "done verdict=not_run reason=no_primary chunks=0",
                                           "done reason=target_lost verdict=may",
                                           "done verdict=not_run reason=lease_unknown",
                                           "lost b",
                                           "lost c",
                                           "owner b",
                                           "owner c",
                                           "owner none",
                                           "unsent",
                                           "cancel",
                                           "written 100",
                                           "wait 200",
                                           "done id=1 tx=T lease=77"};
  for (uint32_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    Transcript T;
    T.event("startup user=moana database=orders");
    size_t Asked = 0;
    size_t Ready = 0;
    auto Count = [&](const std::vector<std::string> &Lines) {
      for (const std::string &Line : Lines)
        for (size_t At = Line.find("Z "); At != std::string::npos; At = Line.find("Z ", At + 1))
          Ready += Line.starts_with("caller") ? 1 : 0;
    };
    for (int Step = 0; Step < 300; ++Step) {
      bool Ask = Random() % 3 == 0;
      const auto &From = Ask ? Queries : Others;
      std::string Line = From[Random() % From.size()];
      Asked += Ask ? 1 : 0;
      Count(T.event(Ask ? "query " + Line : Line));
      CHECK(Ready <= Asked);
    }
    // Ends the remaining requests.
    T.event("owner b");
    for (int Step = 0; Step < 1000 && Ready < Asked; ++Step) {
      Count(T.event("done chunks=0"));
      T.event("wait 40000");
      Count(T.event("cancel"));
      Count(T.event("done verdict=not_run reason=canceled chunks=0"));
    }
    CHECK(Ready == Asked);
  }
}

// Guards against malformed input that causes out-of-bounds access or a failed assertion, which
// would end the whole instance.
TEST_CASE("mutated frames close at most their own session") {
  const std::vector<std::string> Frames = {
      wire::query("select 1"),
      wire::query("set application_name = 'x'"),
      wire::sync(),
      wire::parse({.Statement = "s", .Sql = "select $1", .ParameterTypes = {23}}),
      wire::bind({.Portal = "p", .Statement = "s", .FormatsAndValues = "\1\2\3"}),
      wire::describe({.Kind = 'S', .Name = "s"}),
      wire::execute({.Portal = "p", .MaxRows = 3}),
      wire::closeObject({.Kind = 'P', .Name = "p"}),
      wire::emptyMessage('H'),
      wire::startup({{"user", "u"}, {"database", "orders"}, {"options", "-c toucanrun.token=x"}})};
  size_t Closed = 0;
  for (uint32_t Seed = 1; Seed <= 2000; ++Seed) {
    std::mt19937 Random(Seed);
    Transcript T;
    if (Seed % 4 != 0)
      start(T);
    for (int Step = 0; Step < 20 && !T.M->closed(); ++Step) {
      std::string Bytes = Frames[Random() % Frames.size()];
      for (uint32_t Changes = Random() % 3; Changes > 0; --Changes)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      Actions Out;
      T.M->onBytes(Bytes, T.Now, Out);
      T.event("cancel");
      T.event("done verdict=not_run reason=canceled chunks=0");
    }
    Closed += T.M->closed() ? 1 : 0;
  }
  CHECK(Closed > 0);
}

// Guards against AtPrimary sessions that read from replicas after a write, and against sessions
// that stop using replicas before they have written.
TEST_CASE("the policy decides whether replicas serve reads after a write or a token") {
  const char *Read = "query select * from stock";
  auto Setup = [](Transcript &T, ReadsAfterWrite Reads, const char *Startup) {
    T.Common.Options.Reads = Reads;
    T.event("rules read database=orders table=stock max_age=30s # test");
    T.event(Startup);
  };
  for (ReadsAfterWrite Reads : {ReadsAfterWrite::ByPosition, ReadsAfterWrite::AtPrimary}) {
    bool ByPosition = Reads == ReadsAfterWrite::ByPosition;
    CAPTURE(ByPosition);
    Transcript T;
    Setup(T, Reads, "startup user=moana database=orders");
    CHECK(has(joined(T.event(Read)), "max_age=30000ms"));
    T.event("done at=5/10 chunks=0");
    T.event("query insert into stock values (1)");
    T.event("done at=5/11 wrote=1 chunks=0");
    for (int I = 0; I < 2; ++I) {
      CHECK(has(joined(T.event(Read)), "max_age") == ByPosition);
      T.event("done at=5/11 chunks=0");
    }
    Transcript Moved;
    Setup(Moved, Reads, "startup user=moana database=orders toucanrun.token=@5/10");
    CHECK(has(joined(Moved.event(Read)), "max_age") == ByPosition);
    Transcript Unknown;
    Setup(Unknown, Reads, "startup user=moana database=orders");
    Unknown.event("query insert into stock values (1)");
    Unknown.event("done verdict=may_have_run reason=target_lost chunks=0");
    CHECK(has(joined(Unknown.event(Read)), "max_age") == ByPosition);
  }
}

namespace {

constexpr const char *Insert = "query insert into t values (1)";
constexpr const char *Hint = "done verdict=not_run reason=primary_not_reached observer=c chunks=0";
constexpr const char *Answered = "done from=c wrote= at=5/11 chunks=0";

// A session whose database is owned by b; the member c may be named as observer.
struct ObserverTranscript : Transcript {
  ObserverTranscript() {
    this->event("observer c");
    this->event("rules read database=orders table=copy max_age=30s # test");
    start(*this);
  }
  std::string text(const std::string &Line) { return joined(this->event(Line)); }
};

} // namespace

// Guards against writes that fail or wait although an observer reaches the primary.
TEST_CASE("a refused request goes to the observer immediately, and later requests directly") {
  ObserverTranscript T;
  CHECK(has(T.text(Insert), "exec b"));
  CHECK(T.text(Hint) == "count retry_redirected\nexec c id=2 WRITE Q floor=5/10");
  CHECK(has(T.text(Answered), "Z I"));
  CHECK(has(T.text(Insert), "exec c"));
  CHECK(has(T.text(Answered), "Z I"));
  CHECK(has(T.text("query select a from t"), "exec c"));
  T.text("done from=c chunks=0");
  CHECK(has(T.text("query select a from copy"), "exec b"));
  T.text("done chunks=0");
  T.event("wait 2000");
  CHECK(has(T.text(Insert), "exec b"));
}

// Guards against a replica read that is sent again to the owner that has just refused it.
TEST_CASE("a replica read refused by the owner goes to the observer") {
  ObserverTranscript T;
  CHECK(has(T.text("query select a from copy"), "exec b"));
  CHECK(has(T.text(Hint), "exec c"));
}

// Guards against a transaction that is sent to an instance that does not hold its lease.
TEST_CASE("a transaction stays at the instance that holds its lease, regardless of hints") {
  ObserverTranscript T;
  SUBCASE("lease at the observer, hint expired") {
    T.text("query begin");
    CHECK(has(T.text(Hint), "exec c"));
    T.text("done from=c tx=T lease=9 chunks=0");
    T.event("wait 2000");
    CHECK(has(T.text(Insert), "exec c id=3 TRANSACTION Q lease=9"));
  }
  SUBCASE("lease at the owner, hint valid") {
    T.text("query begin");
    T.text("done tx=T lease=9 chunks=0");
    CHECK(T.Common.recordObserver(DatabaseName("orders"), InstanceId("b"),
                                  {.Id = InstanceId("c"), .Until = T.Now + absl::Seconds(2)},
                                  T.Now));
    CHECK(has(T.text(Insert), "exec b id=2 TRANSACTION Q lease=9"));
  }
}

// Guards against a forwarding loop between instances.
TEST_CASE("a second hint for a request counts as a failed attempt") {
  ObserverTranscript T;
  T.text(Insert);
  CHECK(has(T.text(Hint), "exec c"));
  std::string Second =
      T.text("done from=c verdict=not_run reason=primary_not_reached observer=b chunks=0");
  CHECK(Second == "count retry_target_lost");
  // The next attempt uses the hint of the owner, which is still valid.
  CHECK(has(T.text("timer"), "exec c"));
}

TEST_CASE("a hint is ignored unless the owner sends it and it names another member") {
  for (const char *Done :
       {"done verdict=not_run reason=primary_not_reached observer=x chunks=0",
        "done verdict=not_run reason=primary_not_reached observer=b chunks=0",
        "done verdict=not_run reason=primary_not_reached chunks=0",
        "done from=x verdict=not_run reason=primary_not_reached observer=c chunks=0"}) {
    CAPTURE(Done);
    ObserverTranscript T;
    T.text(Insert);
    CHECK(T.text(Done) == "count retry_target_lost");
    CHECK(has(T.text("timer"), "exec b"));
  }
}

// Guards against a second execution of a write.
TEST_CASE("a request that may have run is not sent to the observer") {
  ObserverTranscript T;
  T.text(Insert);
  std::string Text = T.text("done verdict=may_have_run reason=target_lost observer=c chunks=0");
  CHECK(has(Text, "ERROR 08007"));
  CHECK(has(T.text(Insert), "exec b"));
}

// Guards against requests that are sent to an observer that is no longer available.
TEST_CASE("a hint is removed when its observer becomes unavailable") {
  ObserverTranscript T;
  T.text(Insert);
  CHECK(has(T.text(Hint), "exec c"));
  SUBCASE("observer unreachable") {
    CHECK(has(T.text("unsent"), "count retry_link_lost"));
    CHECK(has(T.text("timer"), "exec b"));
  }
  SUBCASE("observer draining") {
    CHECK(has(T.text("done from=c verdict=not_run reason=draining chunks=0"), "count retry"));
    CHECK(has(T.text("timer"), "exec b"));
  }
  SUBCASE("link lost during a request") {
    CHECK(has(T.text("lost c"), "ERROR 08007"));
    CHECK(has(T.text(Insert), "exec b"));
  }
  SUBCASE("observer no longer a member") {
    T.text(Answered);
    T.event("observer x");
    CHECK(has(T.text(Insert), "exec b"));
  }
}
