// Short work beside long work that no rule names.
#include "cluster.h"

#include "base/base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

using namespace toucan;
using namespace toucan::test;

namespace {

constexpr int LongCallers = 4;
constexpr const char *LongSql = "select sleep_ms(2000) from journal";
constexpr const char *ShortSql = "select a from stock";
constexpr absl::Duration Observed = absl::Seconds(5);
// A short request waits for at most other short work; without a learned class it waits for up to
// the 2 s of a long statement.
constexpr absl::Duration ShortLimit = absl::Milliseconds(800);

} // namespace

// Guards against short requests that wait for long ones of a statement without a class rule.
TEST_CASE("short requests keep their latency beside a learned long statement") {
  Cluster C({.Slots = 2});
  C.waitReady();
  for (const char *Table : {"journal", "stock"}) {
    REQUIRE(C.client(0).run(std::string("create table ") + Table + "(a integer)").ok());
    REQUIRE(C.client(0).run(std::string("insert into ") + Table + " values (1)").ok());
  }
  REQUIRE(C.client(0).run(LongSql).ok());

  std::atomic<bool> Stop = false;
  std::atomic<int> LongDone = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(LongCallers);
  for (int I = 0; I < LongCallers; ++I)
    Callers.emplace_back([&, I] {
      Client Caller = C.client(static_cast<size_t>(I) % C.proxies());
      while (!Stop)
        if (Caller.run(LongSql).ok())
          ++LongDone;
    });
  Client Short = C.client(1);
  absl::Duration Slowest;
  int Failed = 0;
  for (Instant End = monotonicNow() + Observed; monotonicNow() < End;) {
    Instant Began = monotonicNow();
    if (!Short.run(ShortSql).ok())
      ++Failed;
    Slowest = std::max(Slowest, monotonicNow() - Began);
    absl::SleepFor(absl::Milliseconds(10));
  }
  Stop = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  INFO("slowest short request: " << absl::ToInt64Milliseconds(Slowest) << " ms");
  CHECK(Slowest < ShortLimit);
  CHECK(Failed == 0);
  CHECK(LongDone >= 2);
}
