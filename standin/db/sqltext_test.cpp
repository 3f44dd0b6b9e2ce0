#include "sqltext.h"

#include <doctest/doctest.h>

using namespace toucan::standin;

// Guards against a statement that is cut inside a string, a comment or a trigger body.
TEST_CASE("statements are split at semicolons of their own") {
  CHECK(splitStatements("").empty());
  CHECK(splitStatements(" ; -- nothing\n ; /* ; */ ").empty());
  CHECK(splitStatements("select 1; select ';' ;").size() == 2);
  CHECK(splitStatements("select 'it''s; one'").size() == 1);
  CHECK(splitStatements("select \"a;b\" from t -- c;d\n; select 2").size() == 2);
  CHECK(splitStatements("create trigger a after insert on t begin delete from u; delete from v; "
                        "end; select 1")
            .size() == 2);
}

// Guards against tags that differ from those of PostgreSQL.
TEST_CASE("command tags") {
  CHECK(classify("insert into t values (1)").Tag == "INSERT 0");
  CHECK(classify("with a as (select 1) update t set b=1").Tag == "UPDATE");
  CHECK(classify("with a(b) as (select 1) select * from a").Tag == "SELECT");
  CHECK(classify("/* x */ VALUES (1)").Tag == "SELECT");
  CHECK(classify("create unique index i on t(a)").Tag == "CREATE INDEX");
  CHECK(classify("create table if not exists t(a)").Tag == "CREATE TABLE");
  CHECK(classify("drop table t").Tag == "DROP TABLE");
  CHECK(classify("delete from t").Counted);
  CHECK_FALSE(classify("create table t(a)").Counted);
}

// Guards against a statement that bypasses the log or the transaction state.
TEST_CASE("statements that SQLite must not run itself are recognised") {
  CHECK(classify("Begin Isolation Level Read Committed, Read Only").ReadOnly);
  CHECK(classify("START TRANSACTION").Tag == "START TRANSACTION");
  CHECK(classify("end").Kind == CommandKind::Commit);
  CHECK(classify("abort work").Kind == CommandKind::Rollback);
  CHECK(classify("rollback work to savepoint A1").Kind == CommandKind::RollbackTo);
  CHECK(classify("rollback work to savepoint A1").Name == "A1");
  CHECK(classify("release savepoint b").Name == "b");
  CHECK(classify("pragma journal_mode=delete").Kind == CommandKind::Refused);
  CHECK(classify("attach 'x' as y").Kind == CommandKind::Refused);
  CHECK(classify("create temp table t(a)").Kind == CommandKind::Refused);
}

TEST_CASE("settings and control calls") {
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
