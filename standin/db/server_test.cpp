#include "test_client.h"

#include "absl/strings/str_join.h"

#include <doctest/doctest.h>

#include <atomic>
#include <fstream>
#include <set>
#include <thread>

using namespace toucan;
using namespace toucan::standin;

namespace {

using Rows = std::vector<std::vector<std::string>>;

// Rows of a large result. If the server collected them before sending, peak memory would show it.
constexpr int LargeResultRows = 1'000'000;

// Common table expression n(i) with the rows 1 to Count.
std::string numbersUpTo(int Count) {
  return absl::StrFormat(
      "with recursive n(i) as (select 1 union all select i + 1 from n where i < %d) ", Count);
}

uint64_t peakMemoryKb() {
  std::ifstream In("/proc/self/status");
  for (std::string Word; In >> Word;)
    if (uint64_t Kb = 0; Word == "VmHWM:" && In >> Kb)
      return Kb;
  return 0;
}

struct Fixture {
  TemporaryDir Dir;
  std::unique_ptr<Server> S;
  explicit Fixture(ServerOptions Options = {}) {
    Options.DataDir = this->Dir.path();
    this->S = startPrimary(Options);
  }
  Client client(const std::string &ExtraOptions = "") const {
    return Client(this->S->port(), 1, ExtraOptions);
  }
};

} // namespace

// Guards against start-up responses that client drivers reject.
TEST_CASE("start-up reports the parameters that drivers read") {
  Fixture F;
  Client C = F.client("sslmode=prefer application_name=test");
  REQUIRE_MESSAGE(C.connected(), C.error());
  CHECK(C.parameter("server_version") == "15.0 (standin)");
  CHECK(PQserverVersion(C.get()) == 150000);
  CHECK(C.parameter("client_encoding") == "UTF8");
  CHECK(C.parameter("integer_datetimes") == "on");
  CHECK(C.parameter("standard_conforming_strings") == "on");
  CHECK(C.parameter("application_name") == "test");
  CHECK(C.parameter("DateStyle") == "ISO, MDY");
  CHECK(C.parameter("group_position") == "1/1");
}

// Guards against connections that run statements in another term or exceed the connection limit.
TEST_CASE("a connection with another term or over the connection limit is refused") {
  Fixture F({.Connections = 2});
  CHECK(Client(F.S->port(), 2).error().find("not in term 2") != std::string::npos);
  Client A = F.client();
  {
    Client B = F.client();
    CHECK(B.connected());
    CHECK(F.client().error().find("too many clients") != std::string::npos);
    CHECK(Client(F.S->port(), 0).connected());
  }
  CHECK(eventually([&] { return F.client().connected(); }));
}

// Guards against command tags, rows and types that differ from PostgreSQL in the simple protocol.
TEST_CASE("simple queries return tags, rows, types and notices as PostgreSQL does") {
  Fixture F;
  Client C = F.client();
  CHECK(C.run("create table t(a bigint primary key, b text, c double precision, d boolean)").Tag ==
        "CREATE TABLE");
  CHECK(C.run("insert into t values (1, 'x', 1.5, true), (2, null, 2, false)").Tag == "INSERT 0 2");
  CHECK(C.run("update t set b = 'y' where a = 2").Tag == "UPDATE 1");
  QueryResult Result = C.run("select * from t order by a");
  CHECK(Result.Tag == "SELECT 2");
  CHECK(Result.Rows == Rows{{"1", "x", "1.5", "t"}, {"2", "y", "2.0", "f"}});
  CHECK(Result.Types == std::vector<uint32_t>{20, 25, 701, 16});
  CHECK(C.run("insert into t(a) values (3) returning a").Rows == Rows{{"3"}});
  CHECK(C.run("delete from t where a > 1").Tag == "DELETE 2");
  CHECK(PQresultStatus(ResultPtr(PQexec(C.get(), " ; "), &PQclear).get()) == PGRES_EMPTY_QUERY);
  CHECK(C.run("select raise_notice('take care')").Tag == "SELECT 1");
  CHECK(C.notices() == "NOTICE:  take care\n");
}

// Guards against a query whose first statements stay committed after a later statement fails.
TEST_CASE("the statements of one simple query are one transaction") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a integer primary key)");
  CHECK(C.run("insert into t values (1); insert into t values (1)").State == "23505");
  CHECK(C.run("select count(*) from t").Rows == Rows{{"0"}});
  CHECK(C.run("insert into t values (1); commit; insert into t values (1)").State == "23505");
  CHECK(C.run("select count(*) from t").Rows == Rows{{"1"}});
  std::string Before = C.parameter("group_position");
  C.run("insert into t values (2); insert into t values (3)");
  CHECK(Before == "1/3");
  CHECK(C.parameter("group_position") == "1/4");
}

TEST_CASE("errors have the SQLSTATE that PostgreSQL uses") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a integer primary key, b text not null check (b <> 'no'), "
        "c integer references t(a))");
  CHECK(C.run("selec 1").State == "42601");
  CHECK(C.run("select * from missing").State == "42P01");
  CHECK(C.run("select missing from t").State == "42703");
  CHECK(C.run("select missing(1)").State == "42883");
  CHECK(C.run("create table t(a integer)").State == "42P07");
  CHECK(C.run("insert into t(a) values (1)").State == "23502");
  CHECK(C.run("insert into t(a, b) values (1, 'no')").State == "23514");
  CHECK(C.run("insert into t values (1, 'x', 7)").State == "23503");
  CHECK(C.run("select $1").State == "42P02");
  CHECK(C.run("pragma journal_mode").State == "0A000");
  CHECK(C.run("SELECT * FROM group_status()").State == "42501");
  CHECK(Client(F.S->port(), 0).run("insert into t values (1, 'x', 1)").State == "25006");
  CHECK(C.run("select 1").Tag == "SELECT 1");
}

// Guards against a generic SQLSTATE for a missing table while another connection changes the
// schema: SQLite reports both conditions with one code. A proxy that creates a missing table relies
// on 42P01.
TEST_CASE("a missing table is reported with SQLSTATE 42P01 during schema changes") {
  Fixture F;
  constexpr int Readers = 4;
  std::atomic<bool> Stopping = false;
  std::vector<std::set<std::string>> States(Readers);
  std::vector<std::thread> Threads;
  Threads.reserve(Readers);
  for (int I = 0; I < Readers; ++I)
    Threads.emplace_back([&, I] {
      Client C = F.client();
      while (!Stopping)
        States[I].insert(C.run("insert into missing values (1)").State);
    });
  Client SchemaChanger = F.client();
  for (int I = 0; I < 500; ++I)
    CHECK(SchemaChanger.run(absl::StrFormat("create table t%d(a integer)", I)).Tag ==
          "CREATE TABLE");
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  for (const std::set<std::string> &Seen : States)
    CHECK(absl::StrJoin(Seen, " ") == "42P01");
}

// Guards against statements that run in a failed transaction, and against wrong transaction states.
TEST_CASE("a failed transaction refuses statements until it ends or rolls back to a savepoint") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a integer)");
  CHECK(C.run("begin").Tag == "BEGIN");
  CHECK(C.transactionStatus() == 'T');
  C.run("savepoint s1");
  C.run("insert into t values (1)");
  C.run("savepoint s2");
  C.run("insert into t values (2)");
  CHECK(C.run("select * from missing").State == "42P01");
  CHECK(C.transactionStatus() == 'E');
  CHECK(C.run("select 1").State == "25P02");
  CHECK(C.runWithParameters("select 1", {}).State == "25P02");
  CHECK(C.run("rollback to s2").Tag == "ROLLBACK");
  CHECK(C.transactionStatus() == 'T');
  CHECK(C.run("release s1").Tag == "RELEASE");
  CHECK(C.run("rollback to s2").State == "3B001");
  CHECK(C.run("commit").Tag == "ROLLBACK");
  CHECK(C.transactionStatus() == 'I');
  CHECK(C.run("begin; savepoint s; insert into t values (3); rollback to s; "
              "insert into t values (4); commit")
            .Tag == "COMMIT");
  CHECK(C.run("select a from t").Rows == Rows{{"4"}});
  CHECK(C.run("begin read only; insert into t values (5)").State == "25006");
  CHECK(C.run("rollback").Tag == "ROLLBACK");
  CHECK(C.run("rollback").Tag == "ROLLBACK");
  CHECK(C.notices().find("no transaction in progress") != std::string::npos);
}

// Guards against values that change or lose their type between the text and the binary format.
TEST_CASE("extended queries with text and binary values") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a bigint, b double precision, c text, d boolean)");
  std::string Number("\xff\xff\xff\xff\xff\xff\xff\xfe", 8); // -2
  std::string Float("\x3f\xf8\0\0\0\0\0\0", 8);              // 1.5
  std::string True("\1", 1);
  const Oid Types[] = {20, 701, 25, 16};
  const char *Values[] = {Number.data(), Float.data(), "te'xt", True.data()};
  const int Sizes[] = {8, 8, 5, 1};
  const int Formats[] = {1, 1, 0, 1};
  ResultPtr Insert(PQexecParams(C.get(), "insert into t values ($1, $2, $3, $4)", 4, Types, Values,
                                Sizes, Formats, 0),
                   &PQclear);
  CHECK(toQueryResult(Insert.get()).Tag == "INSERT 0 1");
  CHECK(C.runWithParameters("select * from t where a = $1", {"-2"}).Rows ==
        Rows{{"-2", "1.5", "te'xt", "t"}});
  ResultPtr Binary(
      PQexecParams(C.get(), "select * from t", 0, nullptr, nullptr, nullptr, nullptr, 1), &PQclear);
  CHECK(toQueryResult(Binary.get()).Rows == Rows{{Number, Float, "te'xt", True}});
  CHECK(C.runWithParameters("select $1", {nullptr}).Rows == Rows{{"NULL"}});
}

TEST_CASE("prepared statements are described and executed by name") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a bigint, b text)");
  auto Prepare = [&](const char *Name, const char *Sql) {
    return toQueryResult(ResultPtr(PQprepare(C.get(), Name, Sql, 0, nullptr), &PQclear).get())
        .State;
  };
  CHECK(Prepare("s", "select b, a from t where a > $1").empty());
  CHECK(Prepare("s", "select 1") == "42P05");
  CHECK(Prepare("bad", "select * from missing") == "42P01");
  CHECK(Prepare("two", "select 1; select 2") == "42601");
  ResultPtr D(PQdescribePrepared(C.get(), "s"), &PQclear);
  CHECK(PQnparams(D.get()) == 1);
  REQUIRE(PQnfields(D.get()) == 2);
  CHECK(PQftype(D.get(), 1) == 20);
  C.run("insert into t values (1, 'x'), (2, 'y')");
  const char *Values[] = {"1"};
  ResultPtr R(PQexecPrepared(C.get(), "s", 1, Values, nullptr, nullptr, 0), &PQclear);
  CHECK(toQueryResult(R.get()).Rows == Rows{{"y", "2"}});
  ResultPtr Missing(PQexecPrepared(C.get(), "none", 0, nullptr, nullptr, nullptr, 0), &PQclear);
  CHECK(toQueryResult(Missing.get()).State == "26000");
  CHECK(C.transactionStatus() == 'I');
}

// Guards against a pipeline whose first statement stays committed when the second one fails.
TEST_CASE("the statements up to Sync are one transaction") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a integer primary key)");
  REQUIRE(PQenterPipelineMode(C.get()) == 1);
  for (int I = 0; I < 2; ++I)
    REQUIRE(PQsendQueryParams(C.get(), "insert into t values (1)", 0, nullptr, nullptr, nullptr,
                              nullptr, 0) == 1);
  REQUIRE(PQpipelineSync(C.get()) == 1);
  std::vector<ExecStatusType> Seen;
  for (int Nulls = 0; Nulls < 2 || Seen.back() != PGRES_PIPELINE_SYNC;) {
    ResultPtr R(PQgetResult(C.get()), &PQclear);
    if (R)
      Seen.push_back(PQresultStatus(R.get()));
    else
      ++Nulls;
  }
  CHECK(Seen ==
        std::vector<ExecStatusType>{PGRES_COMMAND_OK, PGRES_FATAL_ERROR, PGRES_PIPELINE_SYNC});
  REQUIRE(PQexitPipelineMode(C.get()) == 1);
  CHECK(C.run("select count(*) from t").Rows == Rows{{"0"}});
}

TEST_CASE("each connection has its own settings") {
  Fixture F;
  Client C = F.client();
  CHECK(C.run("set timezone to 'Pacific/Auckland'").Tag == "SET");
  CHECK(C.parameter("TimeZone") == "Pacific/Auckland");
  CHECK(C.run("show timezone").Rows == Rows{{"Pacific/Auckland"}});
  CHECK(F.client().run("show timezone").Rows == Rows{{"UTC"}});
  C.run("begin; set my.name = 'a'; set local search_path = x; commit");
  CHECK(C.run("show my.name").Rows == Rows{{"a"}});
  CHECK(C.run("show search_path").Rows != Rows{{"x"}});
  C.run("begin; set timezone = 'Asia/Kolkata'; rollback");
  CHECK(C.parameter("TimeZone") == "Pacific/Auckland");
  CHECK(C.run("reset all").Tag == "RESET");
  CHECK(C.run("show timezone").Rows == Rows{{"UTC"}});
  CHECK(C.run("show nothing").State == "42704");
  CHECK(C.run("set nothing = 1").State == "42704");
}

// Guards against a server that collects a result in memory before it sends it.
TEST_CASE("a large result is streamed") {
  Fixture F;
  Client C = F.client();
  uint64_t Before = peakMemoryKb();
  REQUIRE(PQsendQuery(
      C.get(), (numbersUpTo(LargeResultRows) + "select i, 'some text of a row' from n").c_str()));
  REQUIRE(PQsetSingleRowMode(C.get()) == 1);
  int Count = 0;
  while (ResultPtr R{PQgetResult(C.get()), &PQclear})
    Count += PQntuples(R.get());
  CHECK(Count == LargeResultRows);
  // The rows take about 30 MB on the wire. Sanitizer builds are not checked, because sanitizers
  // keep freed memory.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  CHECK(peakMemoryKb() - Before < 16 * 1024);
#else
  (void)Before;
#endif
}

// Guards against a read that blocks writes or other reads while it sends rows or sleeps.
TEST_CASE("a long read blocks neither writes nor other reads") {
  Fixture F;
  Client Writer = F.client();
  Writer.run("create table t(a integer); insert into t values (1)");
  Client LargeRead = F.client();
  // The client does not read the result, which is larger than the socket buffers.
  REQUIRE(PQsendQuery(
      LargeRead.get(),
      (numbersUpTo(LargeResultRows) + "select i, a, 'padding of a row' from n, t").c_str()));
  Client Sleeping = F.client();
  REQUIRE(PQsendQuery(Sleeping.get(), "select sleep_ms(3600000) from t"));
  CHECK(eventually([&] { return PQconsumeInput(LargeRead.get()) == 1; }));
  CHECK(Writer.run("insert into t values (2)").Tag == "INSERT 0 1");
  CHECK(F.client().run("select count(*) from t").Rows == Rows{{"2"}});
  CHECK(Sleeping.cancel());
}

// Guards against more statements running at once than there are slots, and against slots that stay
// unused while statements wait.
TEST_CASE("as many statements run at once as there are slots") {
  Fixture F({.Slots = 2});
  Client A = F.client();
  Client B = F.client();
  Client Queued = F.client();
  auto IsBusy = [](const Client &C) { return PQconsumeInput(C.get()) == 1 && PQisBusy(C.get()); };
  REQUIRE(PQsendQuery(A.get(), "select raise_notice('a'), sleep_ms(3600000)"));
  REQUIRE(PQsendQuery(B.get(), "select raise_notice('b'), sleep_ms(3600000)"));
  // Each statement sends its notice while it holds a slot, so both run at once.
  CHECK(eventually([&] { return IsBusy(A) && !A.notices().empty(); }));
  CHECK(eventually([&] { return IsBusy(B) && !B.notices().empty(); }));
  REQUIRE(PQsendQuery(Queued.get(), "select 1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(IsBusy(Queued));
  CHECK(Client(F.S->port(), 0).run("SELECT * FROM group_status()").Tag == "SELECT 1");
  CHECK(B.cancel());
  CHECK(eventually([&] { return !IsBusy(Queued); }));
  CHECK(toQueryResult(ResultPtr(PQgetResult(Queued.get()), &PQclear).get()).Tag == "SELECT 1");
  CHECK(IsBusy(A));
  CHECK(A.cancel());
}

// Guards against a deadlock: a statement that waits for the write transaction of another connection
// must not hold the slot that this transaction needs to continue.
TEST_CASE("an open write transaction continues while another connection waits for it") {
  Fixture F({.Slots = 1});
  Client Holder = F.client();
  Holder.run("create table t(a integer primary key)");
  Holder.run("begin; insert into t values (1)");
  Client Waiting = F.client();
  REQUIRE(PQsendQuery(Waiting.get(), "insert into t values (1)"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(Holder.run("insert into t values (2)").Tag == "INSERT 0 1");
  CHECK(Holder.run("commit").Tag == "COMMIT");
  CHECK(toQueryResult(ResultPtr(PQgetResult(Waiting.get()), &PQclear).get()).State == "23505");
}

// Guards against a cancel request that is lost, cancels the next statement, or leaves the
// connection unusable.
TEST_CASE("a cancel request ends only the running statement") {
  Fixture F;
  Client C = F.client();
  C.run("create table t(a integer)");
  for (const std::string &Sql : {std::string("select sleep_ms(3600000)"),
                                 numbersUpTo(2'000'000'000) + "select count(*) from n",
                                 numbersUpTo(2'000'000'000) + "insert into t select i from n"}) {
    REQUIRE(PQsendQuery(C.get(), Sql.c_str()));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(C.cancel());
    CHECK(toQueryResult(ResultPtr(PQgetResult(C.get()), &PQclear).get()).State == "57014");
    while (ResultPtr R{PQgetResult(C.get()), &PQclear}) {
    }
    CHECK(C.transactionStatus() == 'I');
  }
  CHECK(C.cancel());
  CHECK(C.run("select count(*) from t").Rows == Rows{{"0"}});
}

// Guards against a stop() that waits for clients or ends their connections without an error
// message.
TEST_CASE("stop() ends all connections with SQLSTATE 57P01") {
  Fixture F;
  Client Idle = F.client();
  Client Sleeping = F.client();
  REQUIRE(PQsendQuery(Sleeping.get(), "select sleep_ms(3600000)"));
  F.S->stop();
  CHECK(toQueryResult(ResultPtr(PQgetResult(Sleeping.get()), &PQclear).get()).State == "57P01");
  CHECK(Idle.run("select 1").Tag.empty());
  // The next query fails with the text of the FATAL error; libpq sets no SQLSTATE for it.
  CHECK(Idle.error().find("administrator command") != std::string::npos);
}
