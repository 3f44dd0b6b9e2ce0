// Decides from the answers of a service's targets whether a primary had been replaced at a given
// time. A replaced primary that is cut off goes on accepting transactions, so its own answers prove
// nothing.
#ifndef TOUCAN_PLACEMENT_LEAD_H
#define TOUCAN_PLACEMENT_LEAD_H

#include "base/base.h"
#include "roster/roster.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace toucan::placement {

// A primary and the term that it leads. Positions of its log have an older term until the first
// commit of the term.
struct Lead {
  TargetId Leader;
  Term InTerm;
};

// A log position of the primary that covers every commit acknowledged before CoversUntil.
struct CoveredPosition {
  LogPosition At;
  Instant CoversUntil;
};

// A caller is told of a commit of a term only when the primary of that term and AcknowledgedCopies
// replicas hold it, all of them members of the group. Members that were in a term T or an older one
// at a time hold no commit of a later term at that time. If all but AcknowledgedCopies members, the
// primary of T among them, were in T or older, then no caller had been told of a commit of a later
// term. The other members are the witnesses of the primary.
class LeadEvidence {
public:
  // Listed: number of servers that are members or listed. A listed server that is no member may
  // become one before this instance knows.
  void setGroup(const roster::Roster &Present, uint32_t Listed, uint32_t AcknowledgedCopies);
  // Number of members besides the primary whose term must be known.
  uint32_t witnessesNeeded() const;

  // Target Id is in InTerm, according to its answer to a request sent at SentAt. Returns a position
  // if the answer proves a newer one than before. Term 0 is that of a target that started without a
  // log and proves nothing, because the target may have lost commits that it acknowledged.
  std::optional<CoveredPosition> onWitness(const TargetId &Id, Term InTerm, Instant SentAt);
  // The primary of L accepted a request sent at SentAt that only a primary accepts. At is the
  // position of its log then.
  std::optional<CoveredPosition> onPrimary(const Lead &L, LogPosition At, Instant SentAt);
  // The primary acknowledged a commit of a request sent at SentAt. If the replicas that must have
  // received it are enough witnesses, no other answer is needed.
  std::optional<CoveredPosition> onCommit(const Lead &L, LogPosition At, Instant SentAt);

  // Latest time at which enough witnesses besides the leader are known to have been in its term or
  // an older one; infinite past if there are not enough, infinite future if none is needed.
  Instant witnessedAt(const Lead &L) const;
  Term newestTerm() const { return this->NewestTerm; }
  // Whether a target is in a later term than InTerm, so that the primary of InTerm was replaced.
  bool superseded(Term InTerm) const { return this->NewestTerm > InTerm; }

private:
  struct Witness {
    Term InTerm;
    Instant SentAt;
  };
  struct PrimarySample {
    Lead By; // its leader is no witness of the sample, also when it is a replica later
    LogPosition At;
    Instant SentAt;
  };
  std::optional<CoveredPosition> newestCovered();

  roster::Roster Group;
  uint32_t GroupSize = 0;
  uint32_t AcknowledgedCopies = 0;
  Term NewestTerm;
  std::map<TargetId, Witness> Witnesses;
  std::deque<PrimarySample> Unproven; // ordered by SentAt
  Instant CoveredUntil = absl::InfinitePast();
};

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_LEAD_H
