#include "placement/commits.h"

#include <algorithm>

namespace toucan::placement {

void CommitEvidence::setEligible(const TargetId &Id, bool IsEligible) {
  if (IsEligible)
    this->Eligible.insert(Id);
  else
    this->Eligible.erase(Id);
}

void CommitEvidence::remove(const TargetId &Id) {
  this->Eligible.erase(Id);
  this->Holdings.erase(Id);
}

// Counts the process from the last settled time on, unless it has counted in that term already.
void CommitEvidence::countIfSettled(Holding &H) const {
  bool Counts = H.CountsFrom != absl::InfiniteFuture();
  if (H.Since > this->SettledAsked || (Counts && H.CountsIn >= this->SettledIn))
    return;
  H.CountsFrom = this->SettledAnswered;
  H.CountsIn = this->SettledIn;
  H.Counted = {};
}

// What a process told before it counted proves nothing: a change that was under way may have rolled
// it back meanwhile.
void CommitEvidence::onPosition(const TargetId &Id, LogPosition At, Instant SentAt, Instant Since) {
  auto [It, New] = this->Holdings.try_emplace(Id, Holding{.Since = Since});
  Holding &H = It->second;
  if (Since > H.Since)
    H = {.Since = Since};
  H.Since = Since;
  this->countIfSettled(H);
  // Answers report the received or the applied end of the log, and may overtake each other.
  H.Known = std::max(H.Known, At);
  if (SentAt >= H.CountsFrom)
    H.Counted = std::max(H.Counted, At);
}

void CommitEvidence::onSettled(Instant Asked, Instant Answered, Term InTerm) {
  this->SettledAsked = Asked;
  this->SettledAnswered = Answered;
  this->SettledIn = InTerm;
  for (auto &[Id, H] : this->Holdings)
    this->countIfSettled(H);
}

// A log whose last entry is of another term may lack the commit, whatever its length.
bool CommitEvidence::holds(const TargetId &Id, LogPosition At, LogPosition Commit) const {
  return this->Group.counts(Id) && this->Eligible.contains(Id) && At.InTerm == Commit.InTerm &&
         At.Position >= Commit.Position;
}

bool CommitEvidence::covers(const TargetId &Leader, LogPosition Commit) const {
  return std::count_if(this->Holdings.begin(), this->Holdings.end(), [&](const auto &H) {
           return H.first != Leader && H.second.CountsIn >= Commit.InTerm &&
                  this->holds(H.first, H.second.Counted, Commit);
         }) >= static_cast<int64_t>(this->Copies);
}

bool CommitEvidence::awaitsSettled(const TargetId &Leader, LogPosition Commit) const {
  return std::any_of(this->Holdings.begin(), this->Holdings.end(), [&](const auto &H) {
    const Holding &Held = H.second;
    bool Counts = Held.CountsFrom != absl::InfiniteFuture() && Held.CountsIn >= Commit.InTerm;
    return H.first != Leader && !Counts && this->holds(H.first, Held.Known, Commit);
  });
}

} // namespace toucan::placement
