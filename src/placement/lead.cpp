#include "placement/lead.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace toucan::placement {

namespace {

// Bounds memory use while no witness answers. Several samples per round trip are of no use.
constexpr size_t MaxUnprovenSamples = 64;

} // namespace

void LeadEvidence::setGroup(const roster::Roster &Present, uint32_t Listed, uint32_t Copies) {
  this->Group = Present;
  this->GroupSize = std::max(Present.count(), Listed);
  this->AcknowledgedCopies = Copies;
}

// All but AcknowledgedCopies members must be known; the primary is one of them.
uint32_t LeadEvidence::witnessesNeeded() const {
  uint32_t Unneeded = this->AcknowledgedCopies + 1;
  return this->GroupSize > Unneeded ? this->GroupSize - Unneeded : 0;
}

Instant LeadEvidence::witnessedAt(const Lead &L) const {
  uint32_t Needed = this->witnessesNeeded();
  if (Needed == 0)
    return absl::InfiniteFuture();
  std::vector<Instant> Times;
  for (const auto &[Id, W] : this->Witnesses)
    if (this->Group.counts(Id) && W.InTerm <= L.InTerm && Id != L.Leader)
      Times.push_back(W.SentAt);
  if (Times.size() < Needed)
    return absl::InfinitePast();
  std::nth_element(Times.begin(), Times.begin() + (Needed - 1), Times.end(), std::greater<>());
  return Times[Needed - 1];
}

std::optional<CoveredPosition> LeadEvidence::onWitness(const TargetId &Id, Term InTerm,
                                                       Instant SentAt) {
  if (InTerm.Value == 0)
    return std::nullopt;
  this->NewestTerm = std::max(this->NewestTerm, InTerm);
  auto [It, New] = this->Witnesses.try_emplace(Id, Witness{.InTerm = InTerm, .SentAt = SentAt});
  // Answers may arrive in a different order than their requests were sent.
  if (!New && SentAt > It->second.SentAt)
    It->second = {.InTerm = InTerm, .SentAt = SentAt};
  return this->newestCovered();
}

std::optional<CoveredPosition> LeadEvidence::onPrimary(const Lead &L, LogPosition At,
                                                       Instant SentAt) {
  if (this->superseded(L.InTerm))
    return std::nullopt;
  this->NewestTerm = L.InTerm;
  if (!this->Unproven.empty() && SentAt <= this->Unproven.back().SentAt)
    return std::nullopt;
  this->Unproven.push_back({.By = L, .At = At, .SentAt = SentAt});
  if (this->Unproven.size() > MaxUnprovenSamples)
    this->Unproven.pop_front();
  return this->newestCovered();
}

std::optional<CoveredPosition> LeadEvidence::onCommit(const Lead &L, LogPosition At,
                                                      Instant SentAt) {
  if (this->AcknowledgedCopies < this->witnessesNeeded())
    return this->onPrimary(L, At, SentAt);
  if (this->superseded(L.InTerm) || SentAt <= this->CoveredUntil)
    return std::nullopt;
  this->NewestTerm = L.InTerm;
  this->CoveredUntil = SentAt;
  return CoveredPosition{.At = At, .CoversUntil = SentAt};
}

// Combines the samples of the primary with the witnesses. A sample covers the commits up to the
// earlier of its own time and the time of the witnesses.
std::optional<CoveredPosition> LeadEvidence::newestCovered() {
  std::optional<CoveredPosition> Out;
  while (!this->Unproven.empty()) {
    const PrimarySample &S = this->Unproven.front();
    if (this->superseded(S.By.InTerm)) {
      this->Unproven.pop_front();
      continue;
    }
    Instant Until = std::min(S.SentAt, this->witnessedAt(S.By));
    if (Until > this->CoveredUntil) {
      this->CoveredUntil = Until;
      Out = CoveredPosition{.At = S.At, .CoversUntil = Until};
    }
    // A sample that is newer than the witnesses can still be proved by a later answer.
    if (Until < S.SentAt)
      break;
    this->Unproven.pop_front();
  }
  return Out;
}

} // namespace toucan::placement
