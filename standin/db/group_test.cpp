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

bool reached(Server &S, uint64_t Term, uint64_t Position,
             std::chrono::milliseconds Timeout = LongWait) {
  Interrupt I;
  return S.group().wait(Term, Position, Timeout, I).Accepted;
}

// All values of t on the server, in order.
std::string values(Server &S) {
  std::string Out;
  for (const auto &Row : Client(S.port(), 0).run("select a from t order by a").Rows)
    Out += Row[0] + " ";
  return Out;
}

} // namespace

// Guards against two proposers that both hold the same term.
TEST_CASE("a term is accepted once, from one proposer") {
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
  GroupStatus Once = G.promote(2, "x");
  CHECK(Once.Accepted);
  CHECK(Once.Received == 1);
}

// Guards against a second primary in a term after a late or repeated promotion.
TEST_CASE("a server that has followed in a term is not promoted in it, also after a restart") {
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
  CHECK(S->group().status().In == Role::Fenced);
  CHECK_FALSE(S->group().promote(3, "x").Accepted);
  CHECK_FALSE(S->group().acceptTerm(2, "x").Accepted);
}

// Guards against a restart that loses committed writes or comes back as primary by itself.
TEST_CASE("a restart replays the log and is fenced") {
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
  CHECK(S->group().status().In == Role::Fenced);
  CHECK(S->group().status().Received == 3);
  CHECK_FALSE(Client(S->port(), 1).connected());
  CHECK(Client(S->port(), 0).run("select a, b from t").Rows ==
        std::vector<std::vector<std::string>>{{"5", "it's"}});
}

// Guards against a commit in the log of a primary after it has answered accept_term.
TEST_CASE("no commit of an older term after accept_term") {
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
  // Term start and CREATE TABLE are the other two entries.
  CHECK(Fenced.Received >= static_cast<uint64_t>(Acknowledged) + 2);
}

// Guards against a connection that goes on after its term has ended, idle or in a transaction.
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

// Guards against a replica that does not get, or gets twice, what the primary commits.
TEST_CASE("replicas follow the primary") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client C(A->port(), 1);
  C.run("create table t(a integer)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  for (int I = 1; I <= 5; ++I)
    C.runWithParameters("insert into t values ($1)", {std::to_string(I).c_str()});
  REQUIRE(reached(*B, 1, 7));
  CHECK(eventually([&] { return B->group().status().Applied == 7; }));
  CHECK(values(*B) == "1 2 3 4 5 ");
  CHECK(C.parameter("group_position") == "1/7");
  Client R(B->port(), 1);
  CHECK(R.parameter("group_position") == "1/7");
  CHECK(R.run("insert into t values (9)").State == "25006");
  CHECK(R.run("select count(*) from t").Rows[0][0] == "5");
  CHECK(R.run("select pg_is_in_recovery()").Rows[0][0] == "t");
  CHECK(C.run("select pg_is_in_recovery()").Rows[0][0] == "f");
}

// Guards against unconfirmed entries of an old primary that stay visible or count as received.
TEST_CASE("a returning primary loses the suffix that the new primary does not have") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  Client(A->port(), 1).run("insert into t values (1)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  REQUIRE(reached(*B, 1, 3));
  makePrimary(*B, 2);
  // The old primary has not heard of term 2 and commits alone.
  Client(A->port(), 1).run("insert into t values (100); insert into t values (101)");
  Client(A->port(), 1).run("insert into t values (102)");
  Client(B->port(), 2).run("insert into t values (2)");
  CHECK(values(*A) == "1 100 101 102 ");
  REQUIRE(A->group().follow(2, LocalHost, B->port()).Accepted);
  REQUIRE(reached(*A, 2, 5));
  CHECK(eventually([&] { return A->group().status().Applied == 5; }));
  CHECK(values(*A) == "1 2 ");
  CHECK(A->group().status().LogTerm == 2);
}

// Guards against entries that count as confirmed before they were compared with the primary's.
TEST_CASE("a replica reports no entries and takes no work before it has reached the primary") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(A->group().follow(2, LocalHost, 1).Accepted); // nothing listens on port 1
  CHECK(A->group().status().Received == 0);
  CHECK_FALSE(reached(*A, 2, 1, NoWait));
  Client Work(A->port(), 2);
  CHECK_FALSE(Work.connected());
  CHECK(Work.error().find("has not yet compared") != std::string::npos);
  // The whole log counts again when the next term is decided.
  CHECK(A->group().acceptTerm(3, "x").Received == 2);
}

// Guards against entries of a replaced primary that reach a replica of a later term.
TEST_CASE("a primary of an older term refuses a log request") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = start(Dir, "b");
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(B->group().follow(2, LocalHost, A->port()).Accepted);
  CHECK(Client(A->port(), 0).run("SELECT * FROM group_log(2, 0, 0, 10)").State == "57P01");
  CHECK_FALSE(reached(*B, 2, 1, std::chrono::milliseconds(300)));
  CHECK(B->group().logEnd().Position == 0);
  CHECK_FALSE(B->group().receive(1, 0, {{.Term = 1, .Position = 1, .Sql = ""}}));
}

// Guards against replication that ends when the primary restarts.
TEST_CASE("pulls go on after a broken connection") {
  TemporaryDir Dir;
  auto B = start(Dir, "b");
  uint16_t Port = 0;
  {
    auto A = start(Dir, "a");
    Port = A->port();
    makePrimary(*A, 1);
    Client(A->port(), 1).run("create table t(a integer)");
    REQUIRE(B->group().follow(1, LocalHost, Port).Accepted);
    REQUIRE(reached(*B, 1, 2));
  }
  auto A = startServer({.Id = "a", .Port = Port, .DataDir = Dir.createSubdirectory("a")});
  REQUIRE(A->group().promote(1, "test").Accepted);
  Client(Port, 1).run("insert into t values (1)");
  CHECK(reached(*B, 1, 4));
}

// Guards against a wait that outlives its term.
TEST_CASE("group_wait ends when a later term is accepted") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  makePrimary(*A, 1);
  std::atomic<bool> Ended = false;
  bool Accepted = true;
  std::thread Waiter([&] {
    Accepted = reached(*A, 1, 100);
    Ended = true;
  });
  CHECK(A->group().acceptTerm(2, "x").Accepted);
  CHECK(eventually([&] { return Ended.load(); }));
  Waiter.join();
  CHECK_FALSE(Accepted);
}

// Guards against lag that delays the receipt too, and against reads that see more than reported.
TEST_CASE("lag is between receipt and apply") {
  TemporaryDir Dir;
  auto A = start(Dir, "a");
  auto B = startServer({.Id = "b",
                        .DataDir = Dir.createSubdirectory("b"),
                        .Lag = std::chrono::milliseconds(3'600'000)});
  makePrimary(*A, 1);
  Client(A->port(), 1).run("create table t(a integer)");
  REQUIRE(B->group().follow(1, LocalHost, A->port()).Accepted);
  REQUIRE(reached(*B, 1, 2));
  CHECK(B->group().status().Applied == 0);
  CHECK(Client(B->port(), 1).run("select * from t").State == "42P01");
  // A promotion applies what was received.
  makePrimary(*B, 2);
  CHECK(Client(B->port(), 2).run("select * from t").Tag == "SELECT 0");
}
