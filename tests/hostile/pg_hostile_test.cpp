// Misbehaving callers of toucanrund, the PostgreSQL path: the real program with limits lowered in
// its settings and databases of the stand-in as targets.
//
// The checks are those of hostile_test.cpp: the process lives, its peak resident memory and its
// open descriptors stay under a bound derived from the limits in the settings, and one ordinary
// request is answered afterwards.
#include "client.h"
#include "cluster.h"
#include "crowd.h"
#include "wire/wire.h"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <memory>
#include <string>

using namespace toucan::test;
namespace wire = toucan::wire;

namespace {

constexpr const char *Database = "orders";
// The time bounds are lowered, so that a case does not wait for the defaults.
constexpr const char *TimeBoundMs = "5000";

// The stand-ins and one daemon. The limits are given by the environment, so that a version of the
// daemon without these settings starts as well.
class PgSystem : public CrowdTarget {
public:
  PgSystem() {
    ::setenv("TOUCANRUN_MEMORY_LIMIT_MB", std::to_string(MemoryMb).c_str(), 1);
    ::setenv("TOUCANRUN_DESCRIPTOR_LIMIT", std::to_string(MaxOpenDescriptors).c_str(), 1);
    ::setenv("TOUCANRUN_STARTUP_TIMEOUT_MS", TimeBoundMs, 1);
    ::setenv("TOUCANRUN_MESSAGE_TIMEOUT_MS", TimeBoundMs, 1);
    ::setenv("TOUCANRUN_ANSWER_TIMEOUT_MS", TimeBoundMs, 1);
    this->Programs = std::make_unique<Cluster>(ClusterOptions{
        .Database = Database,
        .Proxies = 1,
        .ProxyFlags = {"--max-frame-bytes=" + std::to_string(MessageLimit),
                       "--idle-in-transaction-ms=2000", "--request-timeout-ms=5000"}});
    this->Programs->waitReady();
  }

  uint16_t port() const override { return this->Programs->proxyPort(0); }

  Process &process() const override { return this->Programs->proxy(0); }

  bool answersOrdinary() const override {
    return this->client().run("select count(*) from ready").ok();
  }

  Client client() const { return this->Programs->client(0); }

private:
  std::unique_ptr<Cluster> Programs;
};

std::string startup() { return wire::startup({{"user", "crowd"}, {"database", Database}}); }

// The first Count bytes of a message with a body of BodyBytes.
std::string messagePart(char Type, size_t BodyBytes, size_t Count) {
  return wire::Writer()
      .begin(Type)
      .bytes(std::string(BodyBytes, 'x'))
      .end()
      .take()
      .substr(0, Count);
}

// A request of the extended protocol with one value of the given size.
std::string requestWithValue(size_t Bytes) {
  std::string Values = wire::Writer()
                           .int16(0) // all parameters as text
                           .int16(1)
                           .int32(static_cast<int32_t>(Bytes))
                           .bytes(std::string(Bytes, 'x'))
                           .int16(0) // all results as text
                           .take();
  return wire::parse({.Sql = "select length($1)"}) + wire::bind({.FormatsAndValues = Values}) +
         wire::execute({}) + wire::sync();
}

const std::string Show = wire::query("show application_name");
const std::string Select = wire::query("select 1");
const std::string Transaction = wire::query("begin") + wire::query("insert into ready values (1)");

void runPgCrowd(size_t Count, Behaviour What) {
  PgSystem S;
  CallerCrowd C(S, Count, std::move(What));
  C.run();
  S.check();
}

} // namespace

// Guards against a daemon that fails on legal messages that arrive together.
TEST_CASE("hostile pg: many legal messages in one piece") {
  runPgCrowd(Crowd, {.Text = startup() + repeated(Select, 500)});
}

// Guards against messages that are lost or cost much when each byte arrives alone.
TEST_CASE("hostile pg: legal messages byte by byte") {
  PgSystem S;
  CallerCrowd C(S, 20, {.Text = startup() + repeated(Show, 20), .Piece = 1});
  C.run();
  std::string Ready = wire::readyForQuery('I');
  CHECK(C.waitFor([&](size_t I) { return occurrences(C.received(I), Ready) == 21; }));
  S.check();
}

// Guards against a message that is kept until its end although it is over the limit.
TEST_CASE("hostile pg: one message far over the limit") {
  PgSystem S;
  CallerCrowd C(S, 40, {.Text = startup() + messagePart('Q', 16 * MessageLimit, SIZE_MAX)});
  C.run();
  CHECK(C.waitForEnd());
  S.check();
}

// Guards against messages of the largest legal size that are all kept at once.
TEST_CASE("hostile pg: many messages of the largest size") {
  runPgCrowd(60, {.Text = startup() + repeated(requestWithValue(MessageLimit - 4096), 3)});
}

// Guards against refusing a message of the largest legal size, and its answer, when there is no
// load.
TEST_CASE("hostile pg: one message of the largest size is served") {
  PgSystem S;
  std::string Value(MessageLimit - 4096, 'x');
  Client Line = S.client();
  CHECK(Line.runWith("select length($1)", {Value.c_str()}).value() == std::to_string(Value.size()));
  CHECK(Line.runWith("select $1", {Value.c_str()}).value() == Value);
  S.check();
}

// Guards against unsent answers without a limit for all callers together.
TEST_CASE("hostile pg: statements sent ahead without reading the answers") {
  runPgCrowd(Crowd, {.Text = startup() + repeated(Show, 400000), .ReadBytes = 0});
}

// As before, with answers that are read very slowly, so that the connection is never quite still.
TEST_CASE("hostile pg: statements sent ahead and answers read slowly") {
  runPgCrowd(Crowd, {.Text = startup() + repeated(Show, 400000), .ReadPiece = 1});
}

// Guards against unprocessed statements without a limit for all callers together.
TEST_CASE("hostile pg: statements sent ahead that wait at the targets") {
  runPgCrowd(159, {.Text = startup() + repeated(Select, 200000)});
}

// Guards against prepared statements without a limit for all callers together: each session keeps
// them until it ends.
TEST_CASE("hostile pg: prepared statements without end") {
  std::string Text = startup();
  for (int I = 0; I < 60; ++I)
    Text += wire::parse({.Statement = absl::StrCat("s", I),
                         .Sql = "select '" + std::string(16000, 'x') + "'"}) +
            wire::sync();
  runPgCrowd(Crowd, {.Text = Text});
}

// Guards against requests of many messages that are collected and never ended by a Sync.
TEST_CASE("hostile pg: requests that are never ended") {
  std::string Bind = wire::bind({.Statement = "s", .FormatsAndValues = std::string(6, '\0')});
  runPgCrowd(Crowd, {.Text = startup() + wire::parse({.Statement = "s", .Sql = "select 1"}) +
                             repeated(Bind, 60000)});
}

// Guards against sessions that never begin and take all places of the daemon.
TEST_CASE("hostile pg: callers that stop half-way in the start-up packet") {
  runPgCrowd(LargeCrowd, {.Text = startup().substr(0, 6)});
}

// As before, with no byte sent at all.
TEST_CASE("hostile pg: callers that connect and send nothing") {
  runPgCrowd(LargeCrowd, {.Text = startup(), .Repeat = 0});
}

// Guards against incomplete messages that take memory for all time.
TEST_CASE("hostile pg: callers that stop half-way in a message") {
  runPgCrowd(LargeCrowd,
             {.Text = startup() + messagePart('Q', MessageLimit - 1000, MessageLimit - 2000)});
}

// Guards against incomplete messages that keep their connections for all time while there is
// memory.
TEST_CASE("hostile pg: a few callers that stop half-way in a message are disconnected") {
  PgSystem S;
  CallerCrowd C(S, 20, {.Text = startup() + messagePart('Q', 1000, 500)});
  C.run();
  CHECK(C.waitForEnd());
  S.check();
}

// Guards against messages that are completed so slowly that they never end.
TEST_CASE("hostile pg: callers that send slowly") {
  runPgCrowd(LargeCrowd,
             {.Text = startup() + messagePart('Q', MessageLimit - 1000, 100000), .Piece = 7});
}

// Guards against connections to targets that stay with callers which ended nothing.
TEST_CASE("hostile pg: callers that stop half-way in a transaction") {
  runPgCrowd(Crowd, {.Text = startup() + Transaction});
}

// Guards against answers that stay in memory because their callers stopped reading.
TEST_CASE("hostile pg: callers that stop half-way in an answer") {
  PgSystem S;
  REQUIRE(eventually([&] {
    Client Writer = S.client();
    return Writer.run("create table if not exists large(v text)").ok() &&
           Writer.runWith("insert into large values ($1)", {std::string(400000, 'x').c_str()}).ok();
  }));
  CallerCrowd C(
      S, Crowd,
      {.Text = startup() + repeated(wire::query("select v from large"), 40), .ReadBytes = 1000});
  C.run();
  S.check();
}

// Guards against resources that stay with half-closed connections.
TEST_CASE("hostile pg: callers that are half-closed after their request") {
  PgSystem S;
  CallerCrowd C(S, Crowd, {.Text = startup() + repeated(Select, 2), .HalfClose = true});
  C.run();
  CHECK(C.waitForEnd());
  S.check();
}

// Guards against an open transaction that a half-closed caller leaves behind: nothing can end it.
TEST_CASE("hostile pg: callers that are half-closed in a transaction") {
  PgSystem S;
  CallerCrowd C(S, 20, {.Text = startup() + Transaction, .HalfClose = true});
  C.run();
  CHECK(C.waitForEnd());
  CHECK(eventually([&] {
    Answer Count = S.client().run("select count(*) from ready");
    return Count.ok() && Count.value() == "0";
  }));
  S.check();
}

// Guards against resources that stay with connections which were reset.
TEST_CASE("hostile pg: callers that reset their connection") {
  PgSystem S;
  for (int Round = 0; Round < 5; ++Round) {
    CallerCrowd C(S, Crowd,
                  {.Text = startup() + Transaction + repeated(Select, 100) + Select.substr(0, 7),
                   .Reset = true});
    C.run();
  }
  S.check();
}
