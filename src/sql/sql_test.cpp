#include "sql/sql.h"

#include "absl/strings/str_join.h"

#include <doctest/doctest.h>

using namespace toucan::sql;

namespace {

struct Row {
  const char *Sql;
  const char *Kinds;  // of all statements, separated by blanks
  const char *Tables; // of all statements, separated by blanks
};

// Guards against a statement that writes or changes session state and is classified as a read.
constexpr Row Rows[] = {
    {"select 1", "read", ""},
    {"select * from s.Clearances c join sheets using (id)", "read", "clearances sheets"},
    {"values (1)", "read", ""},
    {"select lower(a), now(), count(*) from t", "read", "t"},
    {"select nextval('s')", "write", ""},
    {"select book(1)", "write", ""},
    {"select myschema.lower('A')", "write", ""},
    {"select (select book(1) from x) from y", "write", "x y"},
    {"select * from t for update", "write", "t"},
    {"select * from (select * from t for share) q", "write", "t"},
    {"select * into a from b", "write", "a b"},
    {"with d as (delete from a returning *) select * from d", "write", "a"},
    {"with t as (select * from t) select * from t", "read", "t"},
    {"with a as (select 1), b as (select * from a) select * from b, c", "read", "c"},
    {"with recursive r as (select 1 union select * from r) select * from r", "read", ""},
    {"with a as (select 1) select * from s.a", "read", "a"},
    {"insert into callouts select * from q", "write", "callouts q"},
    {"update t set a = 1", "write", "t"},
    {"explain select * from t", "read", "t"},
    {"explain analyze delete from t", "write", "t"},
    {"begin", "begin", ""},
    {"start transaction read only", "begin_read_only", ""},
    {"begin read write", "begin", ""},
    {"commit", "commit", ""},
    {"end", "commit", ""},
    {"rollback", "rollback", ""},
    {"rollback to x", "savepoint", ""},
    {"set a.b = 1", "set", ""},
    {"reset all", "set", ""},
    {"set local a.b = 1", "set_local", ""},
    {"set transaction read only", "set_local", ""},
    {"set session characteristics as transaction read only", "set", ""},
    {"show search_path", "show", ""},
    {"discard all", "discard", ""},
    {"listen x", "listen", ""},
    {"notify x", "write", ""},
    {"create temp table a(x int)", "temp", "a"},
    {"create temp table a(x int) on commit drop", "write", "a"},
    {"create temp table a as select 1", "temp", "a"},
    {"select 1 into temp a", "temp", "a"},
    {"prepare p as select 1", "prepare", ""},
    {"execute p", "prepare", ""},
    {"deallocate p", "deallocate", ""},
    {"copy t from stdin", "copy", "t"},
    {"declare c cursor for select 1", "write", ""},
    {"declare c cursor with hold for select 1", "cursor_hold", ""},
    {"select pg_advisory_lock(1)", "lock", ""},
    {"select pg_catalog.pg_try_advisory_lock_shared(1)", "lock", ""},
    {"select pg_advisory_xact_lock(1)", "tx_lock", ""},
    {"select set_config('a.b', 'c', false)", "lock", ""},
    {"select set_config('a.b', 'c', true)", "tx_lock", ""},
    {"begin; insert into t values (1); commit", "begin write commit", "t"},
    {"", "", ""},
    {"  ; -- nothing", "", ""},
    {"selec 1", "write", ""},
};

std::string joinKinds(const Classification &C) {
  std::vector<std::string> Names;
  for (const Statement &S : C.Statements)
    Names.emplace_back(statementKindName(S.Kind));
  return absl::StrJoin(Names, " ");
}

std::string joinTables(const Classification &C) {
  std::vector<std::string> Names;
  for (const Statement &S : C.Statements)
    Names.insert(Names.end(), S.Tables.begin(), S.Tables.end());
  return absl::StrJoin(Names, " ");
}

} // namespace

TEST_CASE("statements are classified by kind and tables") {
  for (const Row &R : Rows) {
    CAPTURE(R.Sql);
    Classification C = classifyText(R.Sql);
    CHECK(joinKinds(C) == R.Kinds);
    CHECK(joinTables(C) == R.Tables);
  }
}

TEST_CASE("SET and RESET yield the name and value of the setting") {
  Statement S = classifyText("set session Statement_Timeout to '5s'").Statements.at(0);
  CHECK(S.Name == "statement_timeout");
  CHECK(S.Value == "5s");
  CHECK(classifyText("set datestyle = iso, mdy").Statements.at(0).Value == "iso, mdy");
  CHECK(classifyText("set extra_float_digits = 0").Statements.at(0).Value == "0");
  CHECK(classifyText("reset x").Statements.at(0).ResetsToDefault);
  CHECK(classifyText("reset all").Statements.at(0).Name == "all");
}

// Guards against a rule for a fingerprint that matches a statement with only one set of constants.
TEST_CASE("fingerprint does not depend on constants") {
  uint64_t One = classifyText("select * from t where a = 1").Fingerprint;
  CHECK(One != 0);
  CHECK(One == classifyText("SELECT *  FROM t WHERE a = 22").Fingerprint);
  CHECK(One != classifyText("select * from u where a = 1").Fingerprint);
  CHECK(classifyText("select 1; select 2").Fingerprint == 0);
}

// Guards against a stack overflow in the recursive parser, which would crash the daemon.
TEST_CASE("deeply nested and long texts do not overflow the stack") {
  std::string Deep = "select 1";
  while (Deep.size() < 64 * 1024 - 2)
    Deep += "+1";
  CHECK(joinKinds(classifyText(Deep)) == "read");
  while (Deep.size() < 1024 * 1024)
    Deep += "+1";
  CHECK(joinKinds(classifyText(Deep)) == "write");
  std::string Pad(100 * 1024, ' ');
  CHECK(joinKinds(classifyText("/* c */ insert into t values (1);" + Pad + "listen x")) ==
        "write unknown");
}

// Guards against a request id that is read from a string literal or a line comment, and against a
// cache entry for each request id.
TEST_CASE("request id is read from a block comment and ignored by the cache") {
  auto Found = findRequestId("insert into t values (1) /* app='x', request_id='r-1' */");
  REQUIRE(Found);
  CHECK(Found->Id == "r-1");
  CHECK_FALSE(findRequestId("insert into t values ('/* request_id=''r'' */')"));
  CHECK_FALSE(findRequestId("select '/* request_id=' || $x$ /* request_id='r' */ $x$"));
  CHECK_FALSE(findRequestId("select E'\\' /* request_id=''r'' */'"));
  CHECK_FALSE(findRequestId("select 1 -- /* request_id='r' */"));
  CHECK_FALSE(findRequestId("select 1 /* request_id='' */"));
  CHECK(findRequestId("select 'it''s' /* request_id='r' */"));
  Classifier C;
  C.classify("insert into t values (1) /* request_id='a' */");
  C.classify("insert into t values (1) /* request_id='b' */");
  CHECK(C.misses() == 1);
}

TEST_CASE("cache size is bounded and texts in use stay cached") {
  constexpr size_t Limit = 4096;
  Classifier C(Limit);
  for (int I = 0; I < 1000; ++I) {
    C.classify("select 'used'");
    C.classify("select " + std::to_string(I));
    CHECK(C.cachedBytes() <= Limit);
  }
  CHECK(C.misses() == 1001);
}
