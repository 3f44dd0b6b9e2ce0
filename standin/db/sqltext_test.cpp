#include "sqltext.h"

#include <doctest/doctest.h>

using namespace toucan::standin;

// Guards against splitting inside a string, a comment or a trigger body.
TEST_CASE("statements are split only at semicolons between them") {
  CHECK(splitStatements("").empty());
  CHECK(splitStatements(" ; -- nothing\n ; /* ; */ ").empty());
  CHECK(splitStatements("select 1; select ';' ;").size() == 2);
  CHECK(splitStatements("select 'it''s; one'").size() == 1);
  CHECK(splitStatements("select \"a;b\" from t -- c;d\n; select 2").size() == 2);
  CHECK(splitStatements("create trigger a after insert on t begin delete from u; delete from v; "
                        "end; select 1")
            .size() == 2);
}

// Guards against command tags that differ from those of PostgreSQL.
TEST_CASE("command tags are those of PostgreSQL") {
  CHECK(classify("insert into t values (1)").Tag == "INSERT 0");
  CHECK(classify("with a as (select 1) update t set b=1").Tag == "UPDATE");
  CHECK(classify("with a(b) as (select 1) select * from a").Tag == "SELECT");
  CHECK(classify("/* x */ VALUES (1)").Tag == "SELECT");
  CHECK(classify("create unique index i on t(a)").Tag == "CREATE INDEX");
  CHECK(classify("create table if not exists t(a)").Tag == "CREATE TABLE");
  CHECK(classify("drop table t").Tag == "DROP TABLE");
  CHECK(classify("delete from t").TagHasRowCount);
  CHECK_FALSE(classify("create table t(a)").TagHasRowCount);
}

// Guards against statements that reach SQLite directly and so bypass the log or the transaction
// state.
TEST_CASE("transaction control and unsupported statements are kept from SQLite") {
  CHECK(classify("Begin Isolation Level Read Committed, Read Only").ReadOnly);
  CHECK(classify("START TRANSACTION").Tag == "START TRANSACTION");
  CHECK(classify("end").Kind == CommandKind::Commit);
  CHECK(classify("abort work").Kind == CommandKind::Rollback);
  CHECK(classify("rollback work to savepoint A1").Kind == CommandKind::RollbackTo);
  CHECK(classify("rollback work to savepoint A1").Name == "A1");
  CHECK(classify("release savepoint b").Name == "b");
  CHECK(classify("pragma journal_mode=delete").Kind == CommandKind::Unsupported);
  CHECK(classify("attach 'x' as y").Kind == CommandKind::Unsupported);
  CHECK(classify("create temp table t(a)").Kind == CommandKind::Unsupported);
}

TEST_CASE("SET statements and group calls are parsed") {
  Command Set = classify("SET SESSION DateStyle TO ISO, DMY");
  CHECK(Set.Kind == CommandKind::Set);
  CHECK(Set.Name == "datestyle");
  CHECK(Set.Value == "ISO, DMY");
  CHECK(classify("set local a.b = 'x y'").Local);
  CHECK(classify("set local a.b = 'x y'").Value == "x y");
  CHECK(classify("set time zone 'UTC'").Name == "timezone");
  Command Call = classify("select * from group_follow(3, '10.0.0.1', 5432)");
  CHECK(Call.Kind == CommandKind::GroupCall);
  CHECK(Call.Name == "group_follow");
  CHECK(Call.Arguments == std::vector<std::string>{"3", "10.0.0.1", "5432"});
}
