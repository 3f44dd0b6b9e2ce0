// Directory of the targets that registered themselves. A target is kept for a grace period after
// its registration vanishes.
#ifndef TOUCAN_CATALOG_TARGETS_H
#define TOUCAN_CATALOG_TARGETS_H

#include "catalog/routes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::catalog {

struct TargetEntry {
  TargetId Id;
  ServiceName Service;
  std::string Address; // IP:PORT
  DataCentre Centre;
  uint32_t Slots = 1;        // statements that the target runs concurrently
  bool Leaving = false;      // will exit soon; accepts no new work
  bool Primary = false;      // role that the target itself reports
  Instant WarmedUpAt;        // the target is slower until then, after a cold start
  int64_t StartedUnixMs = 0; // distinguishes two runs with the same id
};

// A registration as read from the directory. Entry is empty if the registration is unreadable;
// Problem then tells why.
struct Registration {
  TargetId Id;
  std::optional<TargetEntry> Entry;
  std::string Problem;
};

struct TargetChange {
  TargetId Id;
  enum class ChangeKind : uint8_t { Added, Changed, Restarted, Removed } Kind = ChangeKind::Added;
};

// Time after which the target of a vanished registration is removed. Registrations that expired
// during an outage of the directory are back within about 2 s of its return.
inline constexpr absl::Duration RemovalGrace = absl::Milliseconds(2500);

class TargetDirectory {
public:
  // A registration was written. An unreadable registration removes its target at once.
  std::optional<TargetChange> onRegistrationWritten(const Registration &R, Instant Now);
  // A registration vanished. Its target is kept until the grace period ends.
  void onRegistrationVanished(const TargetId &Id, Instant Now);
  // All registrations were read again. Registrations that All lacks have vanished.
  std::vector<TargetChange> onFullList(const std::vector<Registration> &All, Instant Now);
  // Removes the targets whose grace period has ended and returns these changes.
  std::vector<TargetChange> expire(Instant Now);
  Instant nextExpiry() const;

  const TargetEntry *find(const TargetId &Id) const;
  // Returns true if the registration has vanished and the target is still within its grace period.
  bool registrationVanished(const TargetId &Id) const;
  std::vector<const TargetEntry *> ofService(const ServiceName &Service) const;

private:
  struct TrackedTarget {
    TargetEntry Entry;
    Instant RemoveAt = absl::InfiniteFuture();
  };
  std::map<TargetId, TrackedTarget> Targets;
};

} // namespace toucan::catalog

#endif // TOUCAN_CATALOG_TARGETS_H
