#include "group/attempt.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucan::group {

size_t majorityOf(size_t Servers) { return Servers / 2 + 1; }

Attempt::Attempt(Term InTerm, std::string Proposer, PerServer<bool> Avoid, AttemptRules Rules)
    : InTerm(InTerm), Proposer(std::move(Proposer)), Votes(Avoid.size()),
      Rejected(Avoid.size(), false), Avoid(std::move(Avoid)), Rules(Rules) {}

// Counts the answer of a server. A server that rejects the call, or that has accepted another
// proposer or term, cannot vote in this attempt any more. The attempt is abandoned when too few
// servers are left for a majority.
void Attempt::onAccept(size_t Server, const Status &Row) {
  assert(Server < this->Votes.size());
  if (this->CurrentPhase != Phase::Accepting)
    return;
  this->onTermSeen(Row.Accepted);
  if (this->CurrentPhase != Phase::Accepting)
    return;
  size_t Needed = this->Rules.Quorum(this->Votes.size());
  if (!Row.CallAccepted || Row.Accepted != this->InTerm || Row.Proposer != this->Proposer) {
    this->Rejected[Server] = true;
    size_t RejectedCount = std::count(this->Rejected.begin(), this->Rejected.end(), true);
    if (this->Votes.size() - RejectedCount < Needed)
      this->abandon();
    return;
  }
  this->Votes[Server] = Vote{.LogTerm = Row.LogTerm, .Received = Row.Received};
  size_t Accepted = std::count_if(this->Votes.begin(), this->Votes.end(),
                                  [](const std::optional<Vote> &V) { return V.has_value(); });
  if (Accepted >= Needed)
    this->choose();
}

// Chooses the voter with the most recent log. Among equal logs it prefers a server that need not be
// avoided.
void Attempt::choose() {
  std::optional<size_t> Best;
  for (size_t I = 0; I < this->Votes.size(); ++I) {
    if (!this->Votes[I])
      continue;
    bool IsBetter =
        !Best || this->Rules.IsMoreRecent(*this->Votes[I], *this->Votes[*Best]) ||
        (*this->Votes[I] == *this->Votes[*Best] && this->Avoid[*Best] && !this->Avoid[I]);
    if (IsBetter)
      Best = I;
  }
  assert(Best);
  this->Chosen = *Best;
  this->CurrentPhase = Phase::Promoting;
}

void Attempt::onPromote(const Status &Row) {
  if (this->CurrentPhase != Phase::Promoting)
    return;
  bool IsPromoted = Row.ServerRole == Role::Primary && Row.Accepted == this->InTerm &&
                    Row.Proposer == this->Proposer;
  this->CurrentPhase = IsPromoted ? Phase::Promoted : Phase::Abandoned;
}

void Attempt::onTermSeen(Term Seen) {
  if (Seen > this->InTerm && this->CurrentPhase != Phase::Promoted)
    this->abandon();
}

void Attempt::abandon() { this->CurrentPhase = Phase::Abandoned; }

} // namespace toucan::group
