// One attempt to change the primary of a group: majority of accepted answers, choice, promotion.
#ifndef TOUCAN_GROUP_ATTEMPT_H
#define TOUCAN_GROUP_ATTEMPT_H

#include "group/status.h"

#include "absl/container/inlined_vector.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace toucan::group {

// The end of a server's log when it accepted the term.
struct Vote {
  Term LogTerm;
  uint64_t Received = 0;
  friend auto operator<=>(const Vote &, const Vote &) = default;
};

// One value for each server; groups have three servers as a rule.
template <class T> using PerServer = absl::InlinedVector<T, 5>;

// Smallest number of servers that overlaps with every other such number of servers.
size_t majorityOf(size_t Servers);

// Decisions that the safety of a change rests on. Tests of the model replace them by faulty ones.
struct AttemptRules {
  size_t (*Quorum)(size_t Servers) = majorityOf;
  bool (*Ahead)(const Vote &A, const Vote &B) = [](const Vote &A, const Vote &B) { return A > B; };
};

// A term is used by one attempt only: a second attempt of the same proposer takes a higher one.
class Attempt {
public:
  enum class Phase : uint8_t { Accepting, Promoting, Promoted, Abandoned };

  // Avoid[I]: server I is chosen only if its log is ahead of all others (a leaving target).
  Attempt(Term InTerm, std::string Proposer, PerServer<bool> Avoid, AttemptRules Rules = {});

  // Answer of a server to the accept call of this attempt.
  void onAccept(size_t Server, const Status &Row);
  // Answer of the chosen server to the promote call.
  void onPromote(const Status &Row);
  // A server has been seen at this term.
  void onTerm(Term Seen);
  void abandon();

  Phase phase() const { return this->At; }
  Term term() const { return this->InTerm; }
  const std::string &proposer() const { return this->Proposer; }
  // The server to promote; valid from Promoting on.
  size_t chosen() const { return this->Chosen; }
  bool answered(size_t Server) const {
    return this->Votes[Server].has_value() || this->Rejected[Server];
  }

  const PerServer<std::optional<Vote>> &votes() const { return this->Votes; }

private:
  void choose();

  Term InTerm;
  std::string Proposer;
  Phase At = Phase::Accepting;
  PerServer<std::optional<Vote>> Votes;
  PerServer<bool> Rejected;
  PerServer<bool> Avoid;
  size_t Chosen = 0;
  AttemptRules Rules;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_ATTEMPT_H
