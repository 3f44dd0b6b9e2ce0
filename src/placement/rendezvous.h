// Weighted rendezvous hashing: instances with the same list of candidates choose the same one
// without a message, and a change of one candidate moves only what was assigned to it.
#ifndef TOUCAN_PLACEMENT_RENDEZVOUS_H
#define TOUCAN_PLACEMENT_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace toucan::placement {

// Spreads similar inputs over all bits (one step of SplitMix64).
uint64_t mixBits(uint64_t X);

// Maps a hash to the open interval (0, 1).
double unitInterval(uint64_t Hash);

// Rank of a candidate for a key; the lowest one is chosen. It is an exponential variable with the
// weight as rate, so that each candidate is chosen in proportion to its weight.
double rendezvousRank(std::string_view Key, std::string_view Candidate, double Weight);

} // namespace toucan::placement

#endif // TOUCAN_PLACEMENT_RENDEZVOUS_H
