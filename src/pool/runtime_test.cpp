// Tests of the classification of statements by past run times.
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

// Guards against known long statements that are classified as short.
TEST_CASE("a statement is long above 500 ms and short again below 250 ms") {
  RunTimeEstimator T;
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 1, 500);
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 1, 600);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 260); // between the thresholds the class is kept
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 240);
  CHECK(T.classOf(Statement) == WorkClass::Short);
  record(T, 100, 490);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a statement that stays short for hours because its first runs were short.
TEST_CASE("a statement whose run time changes changes its class after a few runs") {
  RunTimeEstimator T;
  record(T, 100, 5);
  record(T, 3, 2000);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 60'000);
  record(T, 5, 5);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a lock wait or a pause of the target that turns a short statement into a long one.
TEST_CASE("one slow run does not make a short statement long") {
  RunTimeEstimator T;
  record(T, 10, 5);
  record(T, 1, 3'600'000);
  CHECK(T.classOf(Statement) == WorkClass::Short);
}

// Guards against a statement that never becomes long because all its runs are interrupted, and
// against a long one that becomes short because callers cancel it early.
TEST_CASE("the run time of an interrupted run is a lower bound") {
  RunTimeEstimator T;
  record(T, 1, 700, RunEnd::Interrupted);
  CHECK(T.classOf(Statement) == WorkClass::Long);
  record(T, 100, 5, RunEnd::Interrupted);
  CHECK(T.classOf(Statement) == WorkClass::Long);
}

// Guards against requests without a fingerprint (0) that share one estimate.
TEST_CASE("fingerprint 0 gets no estimate") {
  RunTimeEstimator T;
  T.record(0, absl::Seconds(10), RunEnd::Completed);
  CHECK(T.classOf(0) == WorkClass::Short);
  CHECK(T.size() == 0);
}

// Guards against memory that grows with the number of distinct statements, and against eviction of
// a statement in use by many others that run once.
TEST_CASE("the least recently used statement is evicted") {
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
