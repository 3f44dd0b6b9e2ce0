// This instance's connections to one target, and its measurements of that target.
#ifndef TOUCAN_GATEWAY_POOL_H
#define TOUCAN_GATEWAY_POOL_H

#include "catalog/catalog.h"
#include "gateway/link.h"
#include "placement/placement.h"
#include "promotion/promotion.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucan::gateway {

class TargetPool;

// Notified when waiting statements may be able to start.
class PoolOwner {
public:
  virtual ~PoolOwner() = default;
  virtual void onPoolReady(TargetPool &Pool) = 0;
  // The target's log reaches At, according to the answer to a request sent at SentAt.
  virtual void onPoolPosition(TargetPool &Pool, LogPosition At, Instant SentAt) = 0;
};

class TargetPool : public LinkOwner {
public:
  // Seed: for the random choices of the connection limit when it borrows beyond its share.
  TargetPool(Loop &InLoop, Codec &Protocol, Metrics &Counters, PoolOwner &Owner,
             catalog::TargetEntry Entry, uint64_t Seed);

  void update(const catalog::TargetEntry &New);
  const catalog::TargetEntry &entry() const { return this->Entry; }
  // Connections: the target's limit over all instances. A smaller share closes idle links.
  void setLimit(uint32_t Connections, size_t Instances);
  // Whether this instance keeps an idle link to the target while connections are scarce.
  void setRetains(bool Retains) { this->Limit.setRetains(Retains); }
  // True if an idle link to the target is kept open.
  bool retains() const { return this->InRegularUse && this->Limit.keptOpen() > 0; }
  bool connectionsScarce() const { return this->Limit.scarce(); }
  // Accepts no new work. Running statements finish, and links close as they become idle.
  void retire();
  bool retired() const { return this->Retiring; }
  bool empty() const { return this->Links.empty() && !this->Control; }

  // A statement of the account arrived that may run at the target.
  void noteArrival(const AccountName &Account) { this->Use.onArrival(Account, this->InLoop.now()); }
  // Returns an idle link of the account, preferably one whose session values fit; null if none is
  // idle. Never opens a link. Learns from it how often the account uses the target.
  TargetLink *takeIdle(const AccountName &Account,
                       const absl::flat_hash_map<std::string, std::string> &Values);
  // Returns an idle link of any account, for the proxy's own commands; null if none is idle.
  TargetLink *takeAnyIdle();
  // As takeAnyIdle(), or the control link, which may still be opening; null if it cannot be opened,
  // also because the target refuses connections.
  TargetLink *commandLink();
  uint32_t idleLinks() const;
  uint32_t idleLinks(const AccountName &Account) const;
  // Links of the account that are open or being opened.
  uint32_t openLinks(const AccountName &Account) const;
  uint32_t openLinks() const { return static_cast<uint32_t>(this->Links.size()); }
  uint32_t running() const;
  uint32_t pinnedLinks() const;
  // The primary and the nearest targets are in regular use. Links to other targets are opened only
  // when a statement waits, and closed when idle. Many instances share few connections, and a
  // target still counts those of a machine that lost power for several seconds.
  void setRegularUse(bool InRegularUse) { this->InRegularUse = InRegularUse; }
  // True if another link may be opened for a waiting statement.
  bool mayOpen() const;
  // True if a link may be opened for a waiting statement of the account, also by closing an idle
  // link of another account. Accounts in Waiting have statements that wait at the target.
  bool mayOpenFor(const AccountName &Account, const std::set<AccountName> &Waiting) const;
  // True if the accounts of several clients use the target, so that links may have to be replaced.
  bool severalAccounts() const { return this->Use.severalAccounts(this->InLoop.now()); }
  // Average time of opening a link.
  absl::Duration connectTime(placement::Distance To) const {
    return this->Connecting.average(To, this->InLoop.now());
  }
  // When a statement of the account that arrives now can expect a link, as far as opening one
  // decides: the present time if links of the account are open, else after the delay that a refusal
  // imposed and the opening.
  Instant linkExpectedAt(const AccountName &Account, placement::Distance To) const;
  // Opens a link, within the share, if none is idle or being opened.
  void openSpare();
  // Opens a link, unless as many links of the account as it has waiting statements, or as many of
  // all accounts as the connection limit permits at once, are being opened already. At the limit of
  // open links, an idle link of an account that is not in WaitingAccounts is closed first.
  void openForWaiting(const AccountName &Account, uint32_t Waiting,
                      const std::set<AccountName> &WaitingAccounts);
  // Sends one of the proxy's own commands. It does not wait behind queued statements. The handler
  // gets null on failure or at the deadline.
  void command(TargetRequest Request, Instant Deadline, AnswerHandler OnAnswer);
  // As command(), but prefers to wait behind a running statement over opening a connection.
  void query(TargetRequest Request, Instant Deadline, AnswerHandler OnAnswer);
  // Whether query() can reach the target without a new connection.
  bool hasQueryLink() const;
  // Returns a link for the proxy's own requests: an idle one, or while connections are scarce the
  // control link, which is opened if necessary. Null if there is none; then a spare link is opened
  // if one may be.
  TargetLink *takeForSample();
  // Probes the target, and closes links that have an overdue answer or are idle and not needed.
  void tick();

  bool isPrimary() const { return this->IsPrimary; }
  // Set from an answer or status report of the target, or from its catalog entry.
  void setIsPrimary(bool IsPrimary);
  placement::TargetStatistics &statistics() { return this->Statistics; }
  const placement::TargetStatistics &statistics() const { return this->Statistics; }
  // Sets the primary's position history, from which the lag of a replica is computed.
  void setPositions(const placement::PositionHistory *Known) { this->Positions = Known; }
  // Input of the failure detector, without the fields that only the router knows.
  promotion::PrimaryHealth health() const;
  void onWriteTimedOut();
  void onWriteDone();
  Term newestTerm() const { return this->NewestTerm; }
  // The target and the term that it leads, as far as known, while it is primary. Its status tells
  // the term; before that, the term of its log is the best lower bound.
  placement::Lead lead() const {
    return {.Leader = this->Entry.Id, .InTerm = std::max(this->LeadTerm, this->NewestTerm)};
  }
  // From when on the process is known that gave the last answer. One that restarts is known anew.
  Instant processSince() const { return this->ProcessSince; }
  bool leadTermKnown() const { return this->LeadTerm.Value > 0; }
  void raiseLeadTerm(Term T) { this->LeadTerm = std::max(this->LeadTerm, T); }
  // True if the target has owed an answer for so long that it may be down. It gets no new work
  // until it answers.
  bool isUnresponsive() const;
  // Restarts failure detection, for example after this process was suspended: that time must not
  // make the target count as unresponsive.
  void resetFailureDetection();

  void onLinkOpen(TargetLink &Link) override;
  void onLinkAnswer(TargetLink &Link, const Answer &Reply, Instant SentAt) override;
  void onLinkDrained(TargetLink &Link) override;
  void onLinkClosed(TargetLink &Link, const std::optional<StatementError> &Refusal) override;
  // Unpins a link that the session's transaction no longer needs.
  void release(TargetLink &Link);

private:
  std::unique_ptr<TargetLink> makeLink(const AccountName &Account, absl::Duration OpenTimeout);
  TargetLink *sharedLink() const;
  TargetLink *controlLink();
  void submitCommand(TargetLink *Link, TargetRequest Request, Instant Deadline,
                     AnswerHandler OnAnswer);
  // Cause: for the metrics; why the link is opened.
  void openLink(const AccountName &Account, std::string_view Cause);
  // False while the target refuses connections, if they are scarce or several accounts use it.
  bool mayOpenControl() const;
  uint32_t idleInTransaction() const;
  uint32_t openingLinks() const;
  uint32_t openingLinks(const AccountName &Account) const;
  uint32_t maxOpen() const;
  // Returns the idle link that is closed for a waiting statement of the account; null if none.
  TargetLink *linkToReplace(const AccountName &Account, const std::set<AccountName> &Waiting) const;
  // Returns the idle link with the least expected reuse, except those of some accounts.
  TargetLink *leastUsedIdle(const AccountName &Except, const std::set<AccountName> &Waiting) const;
  // Open: links of all accounts; KeptOpen: number of them that stay open while idle; IdleOfAccount:
  // idle links of this link's account; LeastUsed: this link is closed first of those above
  // KeptOpen.
  bool idleNotNeeded(const TargetLink &Link, uint32_t Open, uint32_t KeptOpen,
                     uint32_t IdleOfAccount, bool LeastUsed) const;
  absl::Duration controlIdleLimit() const;
  void recycle(TargetLink &Link);
  void probe();
  void markRequestSent();
  void noteProcess(TargetLink &Link, Instant SentAt);
  void destroyLater(std::unique_ptr<TargetLink> Link);

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  PoolOwner &Owner;
  catalog::TargetEntry Entry;
  std::vector<std::unique_ptr<TargetLink>> Links;
  std::unique_ptr<TargetLink> Control;
  placement::ConnectionLimit Limit;
  placement::TargetStatistics Statistics;
  const placement::PositionHistory *Positions = nullptr;
  bool IsPrimary = false;
  bool InRegularUse = true;
  bool Retiring = false;
  Term NewestTerm;                        // of its log
  Term LeadTerm;                          // reported by its status as primary
  Instant RetryAt = absl::InfinitePast(); // no link is opened before this time
  absl::Duration Backoff;
  placement::RefusalBackoff ScarceBackoff;
  placement::ConnectTime Connecting;
  placement::AccountUse Use;
  Instant ProbedAt = absl::InfinitePast();
  Instant ProcessSince = absl::InfiniteFuture();
  promotion::PrimaryHealth Health;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_POOL_H
