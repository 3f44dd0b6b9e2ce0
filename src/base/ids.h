// Strong types for ids and time.
#ifndef TOUCAN_BASE_IDS_H
#define TOUCAN_BASE_IDS_H

#include "absl/time/time.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace toucan {

// A value of type T that cannot be mixed up with a value of another Tag.
template <class Tag, class T> struct StrongId {
  T Value{};

  StrongId() = default;
  explicit StrongId(T V) : Value(std::move(V)) {}
  friend auto operator<=>(const StrongId &, const StrongId &) = default;
  template <class H> friend H AbslHashValue(H State, const StrongId &Id) {
    return H::combine(std::move(State), Id.Value);
  }
  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) { return Out << Id.Value; }
};

using InstanceId = StrongId<struct InstanceTag, std::string>;
using TargetId = StrongId<struct TargetTag, std::string>;
using DatabaseName = StrongId<struct DatabaseTag, std::string>;
using DataCentre = StrongId<struct DataCentreTag, std::string>;
using Region = StrongId<struct RegionTag, std::string>;
using AccountName = StrongId<struct AccountTag, std::string>;
using RequestId = StrongId<struct RequestTag, uint64_t>;
using SessionId = StrongId<struct SessionTag, uint64_t>;
using LeaseId = StrongId<struct LeaseTag, uint64_t>;
using Term = StrongId<struct TermTag, uint64_t>;
using RulesVersion = StrongId<struct RulesVersionTag, uint64_t>;

// The account of the proxy's own connections, and of all callers where none are configured.
const AccountName &defaultAccount();

// A place in the log of a database group. Positions grow over terms; a term is compared first.
struct LogPosition {
  Term InTerm;
  uint64_t Position = 0;
  friend auto operator<=>(const LogPosition &, const LogPosition &) = default;
};

// A moment on the monotonic clock of this process. Never sent to another process.
using Instant = absl::Time;

// Reads the monotonic clock. State machines take the time as an argument instead.
Instant monotonicNow();

} // namespace toucan

#endif // TOUCAN_BASE_IDS_H
