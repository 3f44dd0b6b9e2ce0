// The claim to change the primary of a service: a lease in the store, one row per service, held by
// one instance at a time. The row also lists the promote orders that may still be executed.
#ifndef TOUCAN_PROMOTION_CLAIM_H
#define TOUCAN_PROMOTION_CLAIM_H

#include "roster/roster.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::promotion {

// Fencing token of a claim: the version of its row. It increases with each write of the row.
using FencingToken = StrongId<struct FencingTokenTag, uint64_t>;

// Time for which a claim excludes other instances. Longer than a change takes if nothing else
// fails.
inline constexpr int64_t ClaimHoldMs = 4000;

// Longest time between sending a promote order and its execution by the platform.
inline constexpr int64_t MaxOrderDelayMs = 15000;

// A promote order that was recorded before it was sent.
struct RecordedOrder {
  TargetId Target;
  Term AboveTerm;           // newest term known when the order was decided
  int64_t RecordedAtMs = 0; // on the store's clock
  // End of the target's log, if the target was paused: its term begins there.
  std::optional<LogPosition> Start;
  friend bool operator==(const RecordedOrder &, const RecordedOrder &) = default;
};

// A position that the log of a term's primary had reached when the primary was seen to lead. Every
// commit of an earlier term that is kept lies at or before it.
struct TermStart {
  Term InTerm;
  LogPosition At;
  friend bool operator==(const TermStart &, const TermStart &) = default;
};

struct ClaimRow {
  InstanceId Holder;
  int64_t TakenAtMs = 0;          // on the store's clock
  bool Ended = false;             // the holder's change has ended; it sends no further order
  std::optional<TermStart> Start; // of the newest term that a change has seen begin
  roster::Members Members;        // of the group; empty until they were named first
  std::vector<RecordedOrder> Orders;
};

std::string encodeClaim(const ClaimRow &Claim);
std::optional<ClaimRow> decodeClaim(const std::string &Text);
// Whether Self may take the claim found in the store: it is its own, expired or unreadable.
bool canTakeClaim(const std::optional<ClaimRow> &Found, const InstanceId &Self, int64_t StoreNowMs);

// What an instance knows of the present primary of a service.
struct KnownLead {
  Term NewestTerm;
  std::optional<TargetId> Leader;
};

// Whether each of the orders was executed or refused. Each execution raises the term by one, so
// that none of them can raise it any more once it has risen as often as there are orders.
bool allExecuted(const std::vector<RecordedOrder> &Orders, Term Newest);

enum class ClaimState : uint8_t {
  Settled,   // no change is under way, and no order of an earlier one can replace the primary
  Changing,  // the holder may still record an order, or an order can still be executed
  Abandoned, // as Settled, once the claim is ended: its holder did not do so in time
};

ClaimState claimState(const ClaimRow &Row, const KnownLead &Lead, int64_t StoreNowMs);

enum class ClaimOutcome : uint8_t { Granted, HeldByOther, StoreFailed };

struct ClaimResult {
  ClaimOutcome Outcome = ClaimOutcome::StoreFailed;
  FencingToken Token;
  // Granted only: recorded orders that can still be executed, also by other instances.
  std::vector<RecordedOrder> Orders;
  std::optional<TermStart> Start; // Granted only
  roster::Members Members;        // Granted only
  int64_t StoreNowMs = 0;         // time on the store's clock to which the result applies
  std::string Detail;             // the other holder, or the store error
};

// The claims of all services as read at one moment.
struct ClaimTable {
  struct Entry {
    store::RowVersion Version;
    std::optional<ClaimRow> Row; // empty if the row is unreadable
  };
  std::map<std::string, Entry> Claims; // a service that never had a claim is missing
  int64_t StoreNowMs = 0;
};

// Takes claims by conditional writes to the store. After an unanswered write, the next claim gets a
// new token: if the write was done, the version of the row has changed; if it arrives late, its
// version condition fails.
class Claimer {
public:
  using Handler = std::function<void(const ClaimResult &)>;

  Claimer(store::RowStore &Rows, InstanceId Self) : Rows(Rows), Self(std::move(Self)) {}

  // StoreNowMs: the time on the store's clock, estimated from its answers.
  void claim(const std::string &Service, int64_t StoreNowMs, const Handler &Done);
  // Renews the claim and records that Order is about to be sent, with the token that Done gets.
  // Orders in Void were answered and will not be executed any more. The target at Address becomes a
  // member, so that later changes ask for its log. Fails if another instance has written the row
  // since it was last read or written by this one.
  void recordOrder(const std::string &Service, int64_t StoreNowMs, RecordedOrder Order,
                   const std::string &Address, const std::vector<RecordedOrder> &Void,
                   const Handler &Done);
  // Records that the change has ended for which this instance took the claim, and the start of the
  // term that it saw begin. Other instances wait for the claim to expire all the same.
  void end(const std::string &Service, int64_t StoreNowMs, const std::optional<TermStart> &Start,
           const Handler &Done);
  // Ends a claim that another instance left, as read by readAll(). Its holder can record no order
  // under it afterwards.
  void endAbandoned(const std::string &Service, const ClaimTable::Entry &Found, int64_t StoreNowMs,
                    const Handler &Done);
  // Names the members of the group, if the row is as read by readAll() and no change of primary is
  // under way. A change that is claimed later counts these members.
  void setMembers(const std::string &Service, const ClaimTable::Entry &Found,
                  roster::Members Members, int64_t StoreNowMs, const Handler &Done);
  // Done gets nothing if the store does not answer.
  void readAll(std::function<void(const std::optional<ClaimTable> &)> Done);

private:
  using KnownClaim = ClaimTable::Entry;
  void writeFound(const std::string &Service, store::RowVersion Found, ClaimRow New,
                  int64_t StoreNowMs, const Handler &Done);
  void tryClaim(const std::string &Service, int64_t StoreNowMs, int AttemptsLeft,
                const Handler &Done);
  void write(const std::string &Service, ClaimRow New, int64_t StoreNowMs,
             std::function<void(const store::WriteResult &)> OnConflict, const Handler &Done);

  store::RowStore &Rows;
  InstanceId Self;
  std::map<std::string, KnownClaim> KnownClaims; // claims as last read or written
};

} // namespace toucan::promotion

#endif // TOUCAN_PROMOTION_CLAIM_H
