#include "placement/rendezvous.h"

#include "base/hash.h"

#include <cmath>

namespace toucan::placement {

namespace {

uint64_t stableHash(std::string_view Key, std::string_view Candidate) {
  constexpr std::string_view Separator = "\xFF"; // no character of an id
  return mixBits(fnv1a(Separator, fnv1a(Candidate, fnv1a(Separator, fnv1a(Key)))));
}

} // namespace

uint64_t mixBits(uint64_t X) { return splitMixFinalizer(X + 0x9E3779B97F4A7C15); }

double unitInterval(uint64_t Hash) {
  constexpr double Steps = 9007199254740992.0; // 2^53
  return (static_cast<double>(Hash >> 11) + 0.5) / Steps;
}

double rendezvousRank(std::string_view Key, std::string_view Candidate, double Weight) {
  return -std::log(unitInterval(stableHash(Key, Candidate))) / Weight;
}

} // namespace toucan::placement
