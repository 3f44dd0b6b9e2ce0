// The connections of this instance to one target, and what it has learned of the target.
#ifndef TOUCAN_GATEWAY_POOL_H
#define TOUCAN_GATEWAY_POOL_H

#include "catalog/catalog.h"
#include "gateway/link.h"
#include "placement/placement.h"
#include "promotion/promotion.h"

#include <memory>
#include <optional>
#include <vector>

namespace toucan::gateway {

class TargetPool;

// Hears of changes that let waiting statements start.
class PoolOwner {
public:
  virtual ~PoolOwner() = default;
  virtual void onPoolReady(TargetPool &Pool) = 0;
};

class TargetPool : public LinkOwner {
public:
  // Seed: of the lots for borrowed connections.
  TargetPool(Loop &InLoop, Codec &Protocol, Metrics &Counters, PoolOwner &Owner,
             catalog::TargetEntry Entry, uint64_t Seed);

  void update(const catalog::TargetEntry &New);
  const catalog::TargetEntry &entry() const { return this->Entry; }
  // Connections that the target grants to all instances; a smaller share closes idle links.
  void setLimit(uint32_t Connections, size_t Instances);
  // No new work: lets running statements finish and closes the links as they become idle.
  void retire();
  bool retired() const { return this->Retiring; }
  bool empty() const { return this->Links.empty() && !this->Control; }

  // An idle link, best one whose session state fits; null without one. Opens a link if there is
  // none and another may be opened.
  TargetLink *takeIdle(const absl::flat_hash_map<std::string, std::string> &Values);
  uint32_t idleLinks() const;
  uint32_t openLinks() const { return static_cast<uint32_t>(this->Links.size()); }
  uint32_t running() const;
  uint32_t pinnedLinks() const;
  // In regular use: the primary and the nearest targets. Links to the others are opened when a
  // statement waits and closed when they rest: many instances share few connections, and those of
  // a machine that lost power stay counted for seconds.
  void setRegularUse(bool InRegularUse) { this->InRegularUse = InRegularUse; }
  // Another link may be opened for a statement that waits.
  bool mayOpen() const;
  // Opens a link if none is idle or being opened, within the share.
  void openSpare();
  // Opens a link for the Nth statement that waits, unless that many are being opened.
  void openForWaiting(uint32_t Waiting);
  // Sends a command of the proxy itself, ahead of statements; null on failure or at the deadline.
  void command(TargetRequest Request, Instant Deadline, AnswerHandler OnAnswer);
  // Closes links whose answers are overdue, and idle ones over the share.
  void tick();

  bool isPrimary() const { return this->IsPrimary; }
  // The target proved or denied by an answer that it leads.
  void setIsPrimary(bool IsPrimary);
  placement::TargetRecord &record() { return this->Record; }
  const placement::TargetRecord &record() const { return this->Record; }
  // Positions of the service's primary, from which the lag of a replica follows.
  void setPositions(const placement::PositionHistory *Known) { this->Positions = Known; }
  // Signs for the detector, apart from what the directory knows.
  promotion::PrimarySigns signs() const;
  void onWriteTimedOut();
  void onWriteDone();
  Term newestTerm() const { return this->NewestTerm; }
  void raiseNewestTerm(Term T) { this->NewestTerm = std::max(this->NewestTerm, T); }
  // No answer for so long that the target may be dead: it gets no new work until it answers.
  bool isUnresponsive() const;
  // The suspended time of this process must not count as silence of the target.
  void resetFailureDetection();

  void onLinkOpen(TargetLink &Link) override;
  void onLinkAnswer(TargetLink &Link, const Answer &Reply, Instant SentAt) override;
  void onLinkDrained(TargetLink &Link) override;
  void onLinkClosed(TargetLink &Link, const std::optional<StatementError> &Refusal) override;
  // The session that pinned a link lets it go.
  void release(TargetLink &Link);

private:
  std::unique_ptr<TargetLink> makeLink(absl::Duration OpenTimeout);
  void openLink();
  uint32_t idleInTransaction() const;
  uint32_t opening() const;
  void recycle(TargetLink &Link);
  void probe();
  void markRequestSent();
  void destroyLater(std::unique_ptr<TargetLink> Link);

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  PoolOwner &Owner;
  catalog::TargetEntry Entry;
  std::vector<std::unique_ptr<TargetLink>> Links;
  std::unique_ptr<TargetLink> Control;
  placement::ConnectionLimit Limit;
  placement::TargetRecord Record;
  const placement::PositionHistory *Positions = nullptr;
  bool IsPrimary = false;
  bool InRegularUse = true;
  bool Retiring = false;
  Term NewestTerm;
  Instant RetryAt = absl::InfinitePast(); // no link is opened before
  absl::Duration Backoff;
  Instant ProbedAt = absl::InfinitePast();
  promotion::PrimarySigns Signs;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_POOL_H
