#include "member/view.h"

#include <algorithm>
#include <string_view>

namespace toucan::member {

namespace {

// 64-bit FNV-1a over both names, then the finalizer of SplitMix64. Must be the same in every
// process and build, so the hash of the standard library or of Abseil cannot be used.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  constexpr uint64_t FnvOffset = 0xcbf29ce484222325U;
  constexpr uint64_t FnvPrime = 0x100000001b3U;
  uint64_t Hash = FnvOffset;
  for (std::string_view Part : {Key, std::string_view("\0", 1), Node})
    for (char C : Part)
      Hash = (Hash ^ static_cast<unsigned char>(C)) * FnvPrime;
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9U;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebU;
  return Hash ^ (Hash >> 31);
}

// 2: in a data centre of the group, 1: in a region of the group, 0: elsewhere.
int nearness(const Place &At, const Group &G) {
  int Best = 0;
  for (const Target &T : G.Targets) {
    if (T.At.Dc == At.Dc)
      return 2;
    if (T.At.InRegion == At.InRegion)
      Best = 1;
  }
  return Best;
}

} // namespace

const Group *View::findGroup(const DatabaseName &Name) const {
  auto It = std::find_if(this->Groups.begin(), this->Groups.end(),
                         [&](const Group &G) { return G.Name == Name; });
  return It == this->Groups.end() ? nullptr : &*It;
}

const Member *View::findMember(const InstanceId &Id) const {
  auto It = std::find_if(this->Members.begin(), this->Members.end(),
                         [&](const Member &M) { return M.Id == Id; });
  return It == this->Members.end() ? nullptr : &*It;
}

std::optional<InstanceId> View::ownerOf(const DatabaseName &Name) const {
  const Group *G = this->findGroup(Name);
  if (!G)
    return std::nullopt;
  std::optional<InstanceId> Best;
  std::pair<int, uint64_t> BestRank;
  for (const Member &M : this->Members) {
    if (M.Status != State::Alive)
      continue;
    std::pair<int, uint64_t> Rank(nearness(M.At, *G), rendezvousWeight(Name.Value, M.Id.Value));
    if (!Best || Rank > BestRank) {
      Best = M.Id;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace toucan::member
