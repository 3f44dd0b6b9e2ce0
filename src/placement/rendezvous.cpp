#include "placement/rendezvous.h"

#include <cmath>

namespace toucan::placement {

namespace {

// FNV-1a. absl::Hash differs between processes, but all instances must compute the same value.
uint64_t stableHash(std::string_view Key, std::string_view Candidate) {
  uint64_t Hash = 0xCBF29CE484222325;
  auto Add = [&Hash](std::string_view Text) {
    for (char C : Text)
      Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001B3;
    Hash = (Hash ^ 0xFF) * 0x100000001B3; // no character of an id
  };
  Add(Key);
  Add(Candidate);
  return mixBits(Hash);
}

} // namespace

uint64_t mixBits(uint64_t X) {
  X += 0x9E3779B97F4A7C15;
  X = (X ^ (X >> 30)) * 0xBF58476D1CE4E5B9;
  X = (X ^ (X >> 27)) * 0x94D049BB133111EB;
  return X ^ (X >> 31);
}

double unitInterval(uint64_t Hash) {
  constexpr double Steps = 9007199254740992.0; // 2^53
  return (static_cast<double>(Hash >> 11) + 0.5) / Steps;
}

double rendezvousRank(std::string_view Key, std::string_view Candidate, double Weight) {
  return -std::log(unitInterval(stableHash(Key, Candidate))) / Weight;
}

} // namespace toucan::placement
