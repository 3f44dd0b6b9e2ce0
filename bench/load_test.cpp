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

// Guards against a bound that is too low, which would make the measured share look better than what
// the guarantee allows, or that leaves out the floor that a read at the primary brings.
TEST_CASE(
    "bound on replica reads: own writes, first reads and reads at the primary set the floor") {
  auto At = [](int Ms) { return toucan::Instant() + absl::Milliseconds(Ms); };
  auto Request = [&](size_t Session, bool Write, int Ms) {
    return SessionRequest{
        .Session = Session, .Write = Write, .Sent = At(Ms), .Answered = At(Ms + 5)};
  };
  absl::Duration Lag = absl::Milliseconds(100);
  absl::Duration None = absl::ZeroDuration();
  CHECK(replicaReadBound({}, Lag, None) == 0);
  CHECK(replicaReadBound({Request(1, true, 0)}, Lag, None) == 0);
  std::vector<SessionRequest> Own = {Request(1, true, 0), Request(1, false, 99),
                                     Request(1, false, 100)};
  CHECK(replicaReadBound(Own, Lag, None) == 0.5);
  CHECK(replicaReadBound(Own, Lag, absl::Milliseconds(1)) == 1);
  CHECK(replicaReadBound(Own, None, None) == 1);
  // A session that reads first has the writes of others in its floor; later ones do not matter.
  CHECK(replicaReadBound({Request(1, true, 0), Request(2, false, 50)}, Lag, None) == 0);
  CHECK(replicaReadBound({Request(2, false, 0), Request(1, true, 10), Request(2, false, 50)}, Lag,
                         None) == 1);
  // The read at 50 goes to the primary, so that the write at 40 belongs to the floor.
  CHECK(replicaReadBound({Request(1, true, 0), Request(2, true, 40), Request(1, false, 50),
                          Request(1, false, 110), Request(1, false, 140)},
                         Lag, None) == doctest::Approx(1.0 / 3));
}
