// toucanctl as operators run it.
#ifndef TOUCAN_TESTS_OPERATE_H
#define TOUCAN_TESTS_OPERATE_H

#include "cluster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucan::test {

// Replaces version Base of the rules; requires that all instances confirm the new version.
void applyRules(const Cluster &C, const std::string &Text, uint64_t Base = 0);

// What "toucanctl targets" says of one target. Counts of several instances are added.
struct TargetRow {
  std::string State;
  std::string Owner;
  uint64_t Connections = 0;
  uint64_t Executing = 0;
};

// Empty when a live instance does not answer or none knows the target.
std::optional<TargetRow> targetRow(const Cluster &C, const std::string &Target);

// Index of the proxy that owns the database, once "toucanctl targets" names it; proxies() after the
// limit.
size_t ownerOf(const Cluster &C);

} // namespace toucan::test

#endif // TOUCAN_TESTS_OPERATE_H
