#include "placement/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace toucan::placement;

namespace {

// The last characters of the candidates proxy-0 to proxy-7, in the order in which they are chosen.
std::string order(const std::string &Key, const std::vector<double> &Weights) {
  std::vector<std::pair<double, size_t>> Ranks;
  Ranks.reserve(Weights.size());
  for (size_t I = 0; I < Weights.size(); ++I)
    Ranks.emplace_back(rendezvousRank(Key, "proxy-" + std::to_string(I), Weights[I]), I);
  std::sort(Ranks.begin(), Ranks.end());
  std::string Out;
  for (const auto &[Rank, I] : Ranks)
    Out += std::to_string(I);
  return Out;
}

} // namespace

// Guards against a change of the hash: instances of different versions would choose different
// samplers and retain different connections.
TEST_CASE("the rendezvous order is the same in every version") {
  std::vector<double> Equal(8, 1.0);
  CHECK(order("orders", Equal) == "67512304");
  CHECK(order("rounds", Equal) == "31720546");
  CHECK(order("stock", Equal) == "21476035");
  CHECK(order("users", Equal) == "15342670");
  std::vector<double> Cores{84, 84, 84, 84, 500, 500, 500, 500};
  CHECK(order("orders", Cores) == "67541230");
  CHECK(order("rounds", Cores) == "73512046");
  CHECK(order("stock", Cores) == "24761503");
  CHECK(order("users", Cores) == "54617320");
  CHECK(mixBits(0) == 0xE220A8397B1DCDAF);
  CHECK(mixBits(1) == 0x910A2DEC89025CC1);
}
