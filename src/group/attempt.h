// One attempt to change the primary of a group. A majority accepts a new term, then one of these
// servers is chosen and promoted.
#ifndef TOUCAN_GROUP_ATTEMPT_H
#define TOUCAN_GROUP_ATTEMPT_H

#include "group/status.h"

#include "absl/container/inlined_vector.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace toucan::group {

// Last entry of a server's log at the time when the server accepted the term.
struct Vote {
  Term LogTerm;
  uint64_t Received = 0;
  friend auto operator<=>(const Vote &, const Vote &) = default;
};

// One value for each server. Most groups have three servers.
template <class T> using PerServer = absl::InlinedVector<T, 5>;

// Returns the smallest number of servers such that any two sets of this size have a server in
// common.
size_t majorityOf(size_t Servers);

// Rules that the safety of a change depends on. Model tests replace them by faulty rules.
struct AttemptRules {
  size_t (*Quorum)(size_t Servers) = majorityOf;
  bool (*IsMoreRecent)(const Vote &A, const Vote &B) = [](const Vote &A, const Vote &B) {
    return A > B;
  };
};

// A term is used by one attempt only. A second attempt of the same proposer uses a higher term.
class Attempt {
public:
  enum class Phase : uint8_t { Accepting, Promoting, Promoted, Abandoned };

  // With Avoid[I] set, server I is chosen only if its log is ahead of all others. This is set for
  // leaving targets.
  Attempt(Term InTerm, std::string Proposer, PerServer<bool> Avoid, AttemptRules Rules = {});

  // Handles the answer of a server to the accept call of this attempt.
  void onAccept(size_t Server, const Status &Row);
  // Handles the answer of the chosen server to the promote call.
  void onPromote(const Status &Row);
  // Handles the report that a server has accepted this term. A higher term ends the attempt.
  void onTermSeen(Term Seen);
  void abandon();

  Phase phase() const { return this->CurrentPhase; }
  Term term() const { return this->InTerm; }
  const std::string &proposer() const { return this->Proposer; }
  // The server to promote. Valid from phase Promoting on.
  size_t chosen() const { return this->Chosen; }
  bool answered(size_t Server) const {
    return this->Votes[Server].has_value() || this->Rejected[Server];
  }

  const PerServer<std::optional<Vote>> &votes() const { return this->Votes; }

private:
  void choose();

  Term InTerm;
  std::string Proposer;
  Phase CurrentPhase = Phase::Accepting;
  PerServer<std::optional<Vote>> Votes;
  PerServer<bool> Rejected;
  PerServer<bool> Avoid;
  size_t Chosen = 0;
  AttemptRules Rules;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_ATTEMPT_H
