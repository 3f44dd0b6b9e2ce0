#include "test_client.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace toucan;
using namespace toucan::standin;

namespace {

constexpr auto LocalHost = "127.0.0.1";
constexpr auto NoWait = std::chrono::milliseconds(0);
constexpr auto LongWait = std::chrono::milliseconds(30'000);

std::unique_ptr<Server> start(const TemporaryDir &Dir, const std::string &Id) {
  return startServer({.Id = Id, .DataDir = Dir.createSubdirectory(Id)});
}

void makePrimary(Server &S, uint64_t Term) {
  REQUIRE(S.group().acceptTerm(Term, "test").Accepted);
  REQUIRE(S.group().promote(Term, "test").Accepted);
}

bool waitForPosition(Server &S, uint64_t Term, uint64_t Position,
                     std::chrono::milliseconds Timeout = LongWait) {
  Interrupt I;
  return S.group().wait(Term, Position, Timeout, I).Accepted;
}

// Values in table t on the server, in ascending order.
std::string tableValues(Server &S) {
  std::string Out;
  for (const auto &Row : Client(S.port(), 0).run("select a from t order by a").Rows)
    Out += Row[0] + " ";
  return Out;
}

} // namespace

// Guards against two proposers that are both granted the same term.
TEST_CASE("a term is accepted from only one proposer") {
  TemporaryDir Dir;
  auto S = start(Dir, "a");
  Group &G = S->group();
  CHECK_FALSE(G.acceptTerm(0, "x").Accepted);
  CHECK(G.acceptTerm(2, "x").Accepted);
  CHECK(G.acceptTerm(2, "x").Accepted);
  CHECK_FALSE(G.acceptTerm(2, "y").Accepted);
  CHECK_FALSE(G.acceptTerm(1, "x").Accepted);
  CHECK_FALSE(G.promote(2, "y").Accepted);
  CHECK_FALSE(G.promote(1, "x").Accepted);
  CHECK(G.promote(2, "x").Accepted);
  CHECK_FALSE(G.acceptTerm(2, "x").Accepted);
  CHECK_FALSE(G.follow(2, LocalHost, 1).Accepted);
  GroupStatus Repeated = G.promote(2, "x");
  CHECK(Repeated.Accepted);
  CHECK(Repeated.Received == 1);
}

// Guards against a second primary in a term after a late or repeated promotion.
TEST_CASE("a server that followed in a term cannot be promoted in it, even after a restart") {
  TemporaryDir Dir;
  {
    auto S = start(Dir, "a");
    REQUIRE(S->group().acceptTerm(3, "x").Accepted);
    REQUIRE(S->group().follow(3, LocalHost, 1).Accepted);
    CHECK_FALSE(S->group().promote(3, "x").Accepted);
    CHECK_FALSE(S->group().acceptTerm(3, "x").Accepted);
  }
  auto S = start(Dir, "a");
  CHECK(S->group().status().AcceptedTerm == 3);
  CHECK(S->group().status().CurrentRole == Role::Fenced);
  CHECK_FALSE(S->group().promote(3, "x").Accepted);
  CHECK_FALSE(S->group().acceptTerm(2, "x").Accepted);
}

// Guards against a server that loses committed writes on restart or resumes as primary by itself.
TEST_CASE("a restarted server replays its log and is fenced") {
  TemporaryDir Dir;
  {
    auto S = start(Dir, "a");
    makePrimary(*S, 1);
    Client C(S->port(), 1);
    CHECK(C.run("create table t(a integer primary key, b text)").Tag == "CREATE TABLE");
    CHECK(C.runWithParameters("insert into t values ($1, $2)", {"5", "it's"}).Tag == "INSERT 0 1");
    CHECK(C.run("begin; insert into t values (6, 'x'); rollback").Tag == "ROLLBACK");
  }
  auto S = start(Dir, "a");
  CHECK(S->group().status().CurrentRole == Role::Fenced);
  CHECK(S->group().status().Received == 3);
  CHECK_FALSE(Client(S->port(), 1).connected());
  CHECK(Client(S->port(), 0).run("select a, b from t").Rows ==
        std::vector<std::vector<std::string>>{{"5", "it's"}});
}

// Guards against a primary that appends a commit of its old term after it has answered accept_term.
TEST_CASE("a server commits nothing in an older term after accept_term") {
  TemporaryDir Dir;
  auto S = start(Dir, "a");
  makePrimary(*S, 1);
  Client(S->port(), 1).run("create table t(a integer)");
  std::atomic<int> Acknowledged = 0;
  std::vector<std::thread> Writers(4);
  for (std::thread &W : Writers)
    W = std::thread([&] {
      Client C(S->port(), 1);
      while (C.run("insert into t values (1)").Tag == "INSERT 0 1")
        ++Acknowledged;
    });
  CHECK(eventually([&] { return Acknowledged > 100; }));
  GroupStatus Fenced = S->group().acceptTerm(2, "other");
  CHECK(Fenced.Accepted);
  for (std::thread &W : Writers)
    W.join();
  CHECK(S->group().status().Received == Fenced.Received);
  // The other two entries are the start of the term and CREATE TABLE.
  CHECK(Fenced.Received >= static_cast<uint64_t>(Acknowledged) + 2);
}

// Guards against a connection, idle or in a transaction, that stays usable after its term ended.
TEST_CASE("accept_term ends the work connections of older terms") {
  TemporaryDir Dir;
  auto S = start(Dir, "a");
  makePrimary(*S, 1);
  Client Idle(S->port(), 1);
  Client Writer(S->port(), 1);
  Client Control(S->port(), 0);
  Writer.run("create table t(a integer)");
  CHECK(Writer.run("begin; insert into t values (1)").Tag == "INSERT 0 1");
  CHECK(Control.run("SELECT * FROM group_accept_term(2, 'x')").Rows[0][7] == "t");
  // The next request fails with the reason; libpq gives it no SQLSTATE.
  CHECK(Writer.run("commit").Tag.empty());
  CHECK(Writer.error().find("change of term") != std::string::npos);
  CHECK(Idle.run("select 1").Tag.empty());
  CHECK(Idle.error().find("change of term") != std::string::npos);
  CHECK(Control.run("SELECT * FROM group_status()").Rows[0][3] == "fenced");
  Client Late(S->port(), 1);
  CHECK_FALSE(Late.connected());
  CHECK(Control.run("select count(*) from t").Rows[0][0] == "0");
}

// Guards against a replica that misses a commit of the primary or applies it twice.
TEST_CASE("a replica applies the commits of its primary") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client C(A->port(), 1);
  C.run("create table t(a integer)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  for (int I = 1; I <= 5; ++I)
    C.runWithParameters("insert into t values ($1)", {std::to_string(I).c_str()});
  REQUIRE(waitForPosition(*B, 1, 7));
  CHECK(eventually([&] { return B->group().status().Applied == 7; }));
  CHECK(tableValues(*B) == "1 2 3 4 5 ");
  CHECK(C.parameter("group_position") == "1/7");
  Client R(B->port(), 1);
  CHECK(R.parameter("group_position") == "1/7");
  CHECK(R.run("insert into t values (9)").State == "25006");
  CHECK(R.run("select count(*) from t").Rows[0][0] == "5");
  CHECK(R.run("select pg_is_in_recovery()").Rows[0][0] == "t");
  CHECK(C.run("select pg_is_in_recovery()").Rows[0][0] == "f");
}

// Guards against unconfirmed entries of a former primary that stay visible or count as received.
TEST_CASE("a former primary truncates the entries that the new primary does not have") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  Client(A->port(), 1).run("insert into t values (1)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  REQUIRE(waitForPosition(*B, 1, 3));
  makePrimary(*B, 2);
  // The old primary does not know of term 2 and still commits, without a replica.
  Client(A->port(), 1).run("insert into t values (100); insert into t values (101)");
  Client(A->port(), 1).run("insert into t values (102)");
  Client(B->port(), 2).run("insert into t values (2)");
  CHECK(tableValues(*A) == "1 100 101 102 ");
  REQUIRE(A->group().follow(2, LocalHost, B->port()).Accepted);
  REQUIRE(waitForPosition(*A, 2, 5));
  CHECK(eventually([&] { return A->group().status().Applied == 5; }));
  CHECK(tableValues(*A) == "1 2 ");
  CHECK(A->group().status().LogTerm == 2);
}

// Guards against entries that count as received before they were compared with the primary's log.
TEST_CASE("a replica that has not reached its primary reports no entries and refuses work") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(A->group().follow(2, LocalHost, 1).Accepted); // nothing listens on port 1
  CHECK(A->group().status().Received == 0);
  CHECK_FALSE(waitForPosition(*A, 2, 1, NoWait));
  Client Work(A->port(), 2);
  CHECK_FALSE(Work.connected());
  CHECK(Work.error().find("has not yet compared") != std::string::npos);
  // The answer to accept_term counts the whole log again.
  CHECK(A->group().acceptTerm(3, "x").Received == 2);
}

// Guards against a replica that receives entries from the primary of an older term.
TEST_CASE("a primary refuses log requests of a later term") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(B->group().follow(2, LocalHost, A->port()).Accepted);
  CHECK(Client(A->port(), 0).run("SELECT * FROM group_log(2, 0, 0, 10)").State == "57P01");
  CHECK_FALSE(waitForPosition(*B, 2, 1, std::chrono::milliseconds(300)));
  CHECK(B->group().logEnd().Position == 0);
  CHECK_FALSE(B->group().receive(1, 0, {{.Term = 1, .Position = 1, .Sql = ""}}));
}

// Guards against replication that stops for good when the primary restarts.
TEST_CASE("replication resumes after a broken connection") {
  TemporaryDir Dir;
  auto B = start(Dir, "b");
  uint16_t Port = 0;
  {
    auto A = start(Dir, "a");
    Port = A->port();
    makePrimary(*A, 1);
    Client(A->port(), 1).run("create table t(a integer)");
    REQUIRE(B->group().follow(1, LocalHost, Port).Accepted);
    REQUIRE(waitForPosition(*B, 1, 2));
  }
  auto A = startServer({.Id = "a", .Port = Port, .DataDir = Dir.createSubdirectory("a")});
  REQUIRE(A->group().promote(1, "test").Accepted);
  Client(Port, 1).run("insert into t values (1)");
  CHECK(waitForPosition(*B, 1, 4));
}

// Guards against a group_wait call that continues after its term has ended.
TEST_CASE("group_wait ends when a later term is accepted") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  makePrimary(*A, 1);
  std::atomic<bool> Ended = false;
  bool Accepted = true;
  std::thread Waiter([&] {
    Accepted = waitForPosition(*A, 1, 100);
    Ended = true;
  });
  CHECK(A->group().acceptTerm(2, "x").Accepted);
  CHECK(eventually([&] { return Ended.load(); }));
  Waiter.join();
  CHECK_FALSE(Accepted);
}

// Guards against lag that also delays receipt, and against reads of entries that are not reported
// as applied.
TEST_CASE("lag delays the application of entries but not their receipt") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = startServer({.Id = "b",
                        .DataDir = Dir.createSubdirectory("b"),
                        .Lag = std::chrono::milliseconds(3'600'000)});
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  REQUIRE(waitForPosition(*B, 1, 2));
  CHECK(B->group().status().Applied == 0);
  CHECK(Client(B->port(), 1).run("select * from t").State == "42P01");
  // A promotion applies all received entries.
  makePrimary(*B, 2);
  CHECK(Client(B->port(), 2).run("select * from t").Tag == "SELECT 0");
}
