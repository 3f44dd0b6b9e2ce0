#include "group/test_model.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// The sanitizers slow the model down about tenfold, and it has no threads and little memory code.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define TOUCAN_SHORT_MODEL
#endif

using namespace toucan;
using namespace toucan::group;

namespace {

struct Run {
  std::string Name;
  ModelOptions Options;
};

size_t one(size_t) { return 1; }

} // namespace

// Guards against a loss of acknowledged writes, two primaries of a term and stale verified reads
// by a change of the rules in Attempt, Confirmer or Verifier.
TEST_CASE("model: every interleaving keeps the guarantees") {
  const std::vector<Run> Runs = {
#ifndef TOUCAN_SHORT_MODEL
      {"two writes, two changes", {.MaxTerm = 3, .MaxWrites = 2, .MaxCrashes = 0}},
      {"late answers", {.MaxTerm = 3, .MaxWrites = 1, .MaxCrashes = 0, .LateReplies = true}},
      {"late log entries", {.MaxTerm = 3, .MaxWrites = 1, .MaxCrashes = 0, .LateShipping = true}},
      {"crash", {.MaxTerm = 2, .MaxWrites = 2, .MaxCrashes = 1}},
      {"verified read", {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 0, .Verify = true}},
#endif
      {"new group", {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 1, .Established = false}},
      {"late answers, crash", {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 1, .LateReplies = true}},
  };
  for (const Run &R : Runs) {
    Explorer E(R.Options);
    Instant Started = monotonicNow();
    CHECK(E.run().value_or("no violation") == "no violation");
    MESSAGE(R.Name << ": " << E.states() << " states, "
                   << absl::ToInt64Milliseconds(monotonicNow() - Started) << " ms");
  }
}

// Guards against a model that cannot fail: each fault must be found.
TEST_CASE("model: planted faults are found") {
  const AttemptRules Lowest = {.IsMoreRecent = [](const Vote &A, const Vote &B) { return A < B; }};
  [[maybe_unused]] const AttemptRules Longest = {
      .IsMoreRecent = [](const Vote &A, const Vote &B) { return A.Received > B.Received; }};
  const std::vector<Run> Runs = {
      {"promotes without a majority", {.MaxCrashes = 0, .Rules = {.Quorum = one}}},
      {"promotes the lowest position", {.MaxCrashes = 0, .Rules = Lowest}},
      {"confirms without a majority", {.MaxCrashes = 0, .ConfirmQuorum = one}},
      {"verifies without a majority",
       {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 0, .Verify = true, .VerifyQuorum = one}},
      {"server reports only what is known to be the primary's",
       {.MaxCrashes = 0, .ReportsMatched = true}},
#ifndef TOUCAN_SHORT_MODEL
      {"promotes the longest log of any term", {.MaxWrites = 3, .MaxCrashes = 0, .Rules = Longest}},
#endif
  };
  for (const Run &R : Runs) {
    Explorer E(R.Options);
    std::optional<std::string> Found = E.run();
    CHECK(Found.has_value());
    MESSAGE(R.Name << ": " << E.states() << " states, " << Found.value_or("nothing found"));
  }
}
