// Classification of statements by their past run times.
#include "pool/runtime.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::pool;
using rules::WorkClass;

namespace {

constexpr uint64_t Statement = 17;

void record(RunTimeEstimator &T, int Count, int Ms, RunEnd End = RunEnd::Completed) {
  for (int I = 0; I < Count; ++I)
    T.record(Statement, absl::Milliseconds(Ms), End);
}

} // namespace

// Guards against long statements that are treated as short although their run time is known.
TEST_CASE("a statement is long above 500 ms and short again below 250 ms") {
  RunTimeEstimator T;
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 1, 500);
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 1, 600);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 260); // between the limits the class stays
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 240);
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 100, 490);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a statement that stays short for hours because its first run was short.
TEST_CASE("a statement that has become long is long after a few runs, and the other way round") {
  RunTimeEstimator T;
  record(T, 100, 5);
  record(T, 3, 2000);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 60'000);
  record(T, 5, 5);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a lock wait or a pause of the target that makes a short statement long.
TEST_CASE("one slow run does not make a short statement long") {
  RunTimeEstimator T;
  record(T, 10, 5);
  record(T, 1, 3'600'000);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a statement that never becomes long because its runs are always cut off, and
// against a long one that becomes short because callers cancel it early.
TEST_CASE("a run that was cut off counts with its time, which is a lower bound") {
  RunTimeEstimator T;
  record(T, 1, 700, RunEnd::Interrupted);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 5, RunEnd::Interrupted);
  CHECK(T.classOf(Statement) == WorkClass::Long);
}

// Guards against requests without a fingerprint that share one estimate.
TEST_CASE("fingerprint 0 is not learned") {
  RunTimeEstimator T;
  T.record(0, absl::Seconds(10), RunEnd::Completed);
  CHECK(T.classOf(0) == WorkClass::Short);
  CHECK(T.size() == 0);
}

// Guards against memory that grows with the number of different statements, and against a
// statement in use that is forgotten because of many others that run once.
TEST_CASE("the least recently used statement is forgotten") {
  RunTimeEstimator T(3);
  for (uint64_t F : {1, 2, 3})
    T.record(F, absl::Seconds(1), RunEnd::Completed);
  CHECK(T.classOf(1) == WorkClass::Long);
  T.record(4, absl::Seconds(1), RunEnd::Completed);
  CHECK(T.size() == 3);
  CHECK(T.classOf(2) == WorkClass::Short);
  for (uint64_t F : {1, 3, 4})
    CHECK(T.classOf(F) == WorkClass::Long);
}
