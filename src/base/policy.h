// Strategies that the setting "policy" selects. The baseline exists for comparison under the same
// load; all instances run the same policy.
#ifndef TOUCAN_BASE_POLICY_H
#define TOUCAN_BASE_POLICY_H

#include <cstdint>
#include <string_view>

namespace toucan {

// Order in which waiting requests of a database start.
enum class QueueOrder : uint8_t {
  // A queue for each work class, kind of target and caller address; long work leaves slots free.
  ByClassAndCaller,
  // One FIFO queue: all requests are of class short, whatever rules or run times say, so nothing is
  // kept off the last slot.
  ByArrival,
};

// Where the reads of a session run after it has written.
enum class ReadsAfterWrite : uint8_t {
  ByPosition, // at a replica that has reached the session's floor
  AtPrimary,  // at the primary for the rest of the session
};

struct Policy {
  std::string_view Name;
  QueueOrder Order = QueueOrder::ByClassAndCaller;
  ReadsAfterWrite Reads = ReadsAfterWrite::ByPosition;
};

inline constexpr Policy Policies[] = {
    {.Name = "toucan", .Order = QueueOrder::ByClassAndCaller, .Reads = ReadsAfterWrite::ByPosition},
    {.Name = "baseline", .Order = QueueOrder::ByArrival, .Reads = ReadsAfterWrite::AtPrimary},
};

// Null for a name that is not in the table.
constexpr const Policy *policyNamed(std::string_view Name) {
  for (const Policy &P : Policies)
    if (P.Name == Name)
      return &P;
  return nullptr;
}

} // namespace toucan

#endif // TOUCAN_BASE_POLICY_H
