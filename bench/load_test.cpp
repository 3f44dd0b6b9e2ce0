#include "bench/load.h"

#include <doctest/doctest.h>

using namespace toucan::bench;

// Guards against reports whose quantiles are off by one rank.
TEST_CASE("quantiles are nearest-rank") {
  std::vector<double> Samples;
  for (int I = 100; I >= 1; --I)
    Samples.push_back(I);
  CHECK(quantile(Samples, 0.5) == 50);
  CHECK(quantile(Samples, 0.99) == 99);
  CHECK(quantile(Samples, 1) == 100);
  CHECK(quantile({}, 0.5) == 0);
}

// Guards against a target that is not there being counted as served, or as nothing.
TEST_CASE("requests to a closed port are unanswered, not good") {
  LoadOptions O{.Proxies = {{.Host = "127.0.0.1", .Port = 9}},
                .Database = "x",
                .Streams = {{.Name = "short", .Sql = "select 1"}},
                .Callers = 3,
                .Surge = true,
                .Duration = absl::Milliseconds(1200),
                .Deadline = absl::Milliseconds(100)};
  auto Results = runLoad(O);
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcomes[static_cast<size_t>(Outcome::Unanswered)] == 3);
  CHECK(Results[0].sent() == 3);
}
