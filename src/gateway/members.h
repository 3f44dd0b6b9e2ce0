// Keeps the members that a service's claim names up to date while servers are replaced.
#ifndef TOUCAN_GATEWAY_MEMBERS_H
#define TOUCAN_GATEWAY_MEMBERS_H

#include "gateway/router.h"
#include "promotion/promotion.h"
#include "roster/roster.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace toucan::gateway {

// Reads the claims of all services. Requests that are made at the same time share one call to the
// store. Done runs on the loop's thread, with nothing if the store does not answer.
class ClaimReader {
public:
  using KnownLeads = std::map<catalog::ServiceName, promotion::KnownLead>;
  struct Answer {
    promotion::ClaimTable Claims;
    KnownLeads Leads; // as known when the claims were asked for
    Instant Asked;
  };
  using Handler = std::function<void(const std::optional<Answer> &)>;

  ClaimReader(Loop &InLoop, promotion::Claimer &Claims, std::function<KnownLeads()> Leads)
      : InLoop(InLoop), Claims(Claims), Leads(std::move(Leads)) {}
  void read(Handler Done);
  // Called with each answer before the handlers of the requests.
  std::function<void(const Answer &)> OnAnswer;

private:
  void issue();

  Loop &InLoop;
  promotion::Claimer &Claims;
  std::function<KnownLeads()> Leads;
  std::vector<Handler> Waiting; // for the next call
};

struct MemberDependencies {
  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  promotion::Claimer &Claims;
  ClaimReader &Reader;
  std::function<int64_t()> StoreNowMs; // estimate of the store's clock
  // Time after which this instance acts on a difference. One instance acts at once. The others do
  // so later, and most of them then find the row written.
  std::function<absl::Duration()> Delay;
  // Updates the list of targets from the directory; Done tells whether that succeeded.
  std::function<void(std::function<void(bool Read)> Done)> ReadTargets;
  // Whether this instance changes the primary of the service.
  std::function<bool()> ChangeRunning;
};

// Names other members in one round after the other. A round reads the claims, asks the servers, and
// writes the row on the condition that it is still the one that was read: a change of primary that
// is claimed meanwhile makes the write fail.
class MemberKeeper {
public:
  MemberKeeper(MemberDependencies Deps, ServiceRouter &Router);

  // Begins a round if the group should have other members. Called periodically while the size of
  // the group is known.
  void tick();

private:
  using Row = promotion::ClaimTable::Entry;
  // What one round has learned so far.
  struct Round {
    Row Found;
    roster::Members Next;
    roster::GroupStatus Answers;
    size_t Awaited = 0;
  };

  void noteAbsences();
  roster::Departures departed() const;
  roster::Members wanted() const;
  bool differs() const;
  void readRow();
  void onRow(const std::optional<ClaimReader::Answer> &Read);
  void endAbandoned(const Row &Found);
  void chooseMembers();
  bool dropsMember() const;
  void readTargets();
  void ask(const TargetId &Id, std::function<void(const std::optional<TargetStatus> &)> OnStatus);
  void askPrimary();
  void askReplicas(const TargetStatus &OfPrimary);
  void writeRow();
  void endRound(absl::Duration Pause);

  MemberDependencies Deps;
  ServiceRouter &Router;
  std::optional<Round> Current;
  Instant NextRoundAt = absl::InfiniteFuture(); // infinite while nothing differs
  Instant Earliest = absl::InfinitePast();
  std::map<TargetId, Instant> AbsentSince; // members that are not listed
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_MEMBERS_H
