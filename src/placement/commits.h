// Decides whether a commit that a primary acknowledged is kept by every later change of primary.
// The acknowledgement alone does not show it: a replica that no change knows of may have confirmed
// it.
#ifndef TOUCAN_PLACEMENT_COMMITS_H
#define TOUCAN_PLACEMENT_COMMITS_H

#include "base/base.h"
#include "roster/roster.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace toucan::placement {

// A change of primary pauses all replicas but fewer than AcknowledgedCopies and promotes one that
// has received what each of the paused ones has. It keeps every commit that AcknowledgedCopies of
// the replicas hold which it takes into account. Those are the members of the group as of the time
// at which it took its claim. A process that is connected since before a time at which no change
// was under way is therefore taken into account by every change that begins later, if it belongs to
// a member: from that time on it counts. A target that restarts has lost its pause and counts again
// only after such a time, and so does every target in a new term, which may have begun by a late
// order during another change.
class CommitEvidence {
public:
  // Number of replicas that must hold a commit; 0: commits need no evidence.
  void setCopies(uint32_t AcknowledgedCopies) { this->Copies = AcknowledgedCopies; }
  bool needed() const { return this->Copies > 0; }
  // Targets that are no members do not count.
  void setGroup(roster::Roster Present) { this->Group = std::move(Present); }
  // A target that leaves takes its log with it, and one that is not listed is not paused.
  void setEligible(const TargetId &Id, bool Eligible);
  void remove(const TargetId &Id);
  // The log of target Id reaches At, according to its answer to a request sent at SentAt. Since:
  // from when on the process that answered is known.
  void onPosition(const TargetId &Id, LogPosition At, Instant SentAt, Instant Since);
  // At a time between the two, when InTerm was the newest term known, no change of primary was
  // under way, and no order of an earlier one could still be executed.
  void onSettled(Instant Asked, Instant Answered, Term InTerm);

  // Whether enough replicas besides Leader hold the commit and counted when they told so.
  bool covers(const TargetId &Leader, LogPosition Commit) const;
  // Whether too few of the replicas that hold the commit count yet.
  bool awaitsSettled(const TargetId &Leader, LogPosition Commit) const;

private:
  struct Holding {
    Instant Since;
    Instant CountsFrom = absl::InfiniteFuture();
    Term CountsIn;       // the newest term as of CountsFrom
    LogPosition Known;   // by any answer of the process
    LogPosition Counted; // by answers to requests sent while the process counted
  };
  bool holds(const TargetId &Id, LogPosition At, LogPosition Commit) const;
  void countIfSettled(Holding &H) const;

  uint32_t Copies = 0;
  Instant SettledAsked = absl::InfinitePast();
  Instant SettledAnswered = absl::InfinitePast();
  Term SettledIn;
  roster::Roster Group;
  std::set<TargetId> Eligible;
  std::map<TargetId, Holding> Holdings;
};

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_COMMITS_H
