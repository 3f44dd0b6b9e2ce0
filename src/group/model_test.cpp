#include "group/test_model.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// The sanitizers slow the model checker down about tenfold and find little here: it has no threads
// and little code that manages memory.
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

// Guards against changes to Attempt, Confirmer or Verifier that lose acknowledged writes, allow two
// primaries in a term or make verified reads stale.
TEST_CASE("model: no interleaving violates a guarantee") {
  const std::vector<Run> Runs = {
#ifndef TOUCAN_SHORT_MODEL
      {"two writes, two primary changes", {.MaxTerm = 3, .MaxWrites = 2, .MaxCrashes = 0}},
      {"delayed answers", {.MaxTerm = 3, .MaxWrites = 1, .MaxCrashes = 0, .DelaysReplies = true}},
      {"delayed log entries",
       {.MaxTerm = 3, .MaxWrites = 1, .MaxCrashes = 0, .DelaysReplication = true}},
      {"crash", {.MaxTerm = 2, .MaxWrites = 2, .MaxCrashes = 1}},
      {"verified read", {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 0, .VerifiesRead = true}},
#endif
      {"new group", {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 1, .StartsWithPrimary = false}},
      {"delayed answers, crash",
       {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 1, .DelaysReplies = true}},
  };
  for (const Run &R : Runs) {
    Explorer E(R.Options);
    Instant Started = monotonicNow();
    CHECK(E.explore().value_or("no violation") == "no violation");
    MESSAGE(R.Name << ": " << E.stateCount() << " states, "
                   << absl::ToInt64Milliseconds(monotonicNow() - Started) << " ms");
  }
}

// Guards against a model checker that finds no violations: it must find each planted fault.
TEST_CASE("model: planted faults are found") {
  const AttemptRules Lowest = {.IsMoreRecent = [](const Vote &A, const Vote &B) { return A < B; }};
  [[maybe_unused]] const AttemptRules Longest = {
      .IsMoreRecent = [](const Vote &A, const Vote &B) { return A.Received > B.Received; }};
  const std::vector<Run> Runs = {
      {"promotes without a majority", {.MaxCrashes = 0, .Rules = {.Quorum = one}}},
      {"promotes the lowest position", {.MaxCrashes = 0, .Rules = Lowest}},
      {"confirms without a majority", {.MaxCrashes = 0, .ConfirmQuorum = one}},
      {"verifies without a majority",
       {.MaxTerm = 2, .MaxWrites = 1, .MaxCrashes = 0, .VerifiesRead = true, .VerifyQuorum = one}},
      {"server reports only the entries that match the primary's log",
       {.MaxCrashes = 0, .ReportsOnlyMatched = true}},
#ifndef TOUCAN_SHORT_MODEL
      {"promotes the longest log of any term", {.MaxWrites = 3, .MaxCrashes = 0, .Rules = Longest}},
#endif
  };
  for (const Run &R : Runs) {
    Explorer E(R.Options);
    std::optional<std::string> Found = E.explore();
    CHECK(Found.has_value());
    MESSAGE(R.Name << ": " << E.stateCount() << " states, " << Found.value_or("nothing found"));
  }
}
