// Hash functions whose results are equal in every process and build. absl::Hash and std::hash are
// not, so they cannot be used where instances must compute the same order.
#ifndef TOUCAN_BASE_HASH_H
#define TOUCAN_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace toucan {

// 64-bit FNV-1a of Text, continued from the hash of the text before it. It spreads similar texts
// badly over the high bits, so that it needs a final mix such as splitMixFinalizer().
constexpr uint64_t FnvOffset = 0xCBF29CE484222325;
constexpr uint64_t fnv1a(std::string_view Text, uint64_t Hash = FnvOffset) {
  for (char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001B3;
  return Hash;
}

// The finalizer of SplitMix64.
constexpr uint64_t splitMixFinalizer(uint64_t X) {
  X = (X ^ (X >> 30)) * 0xBF58476D1CE4E5B9;
  X = (X ^ (X >> 27)) * 0x94D049BB133111EB;
  return X ^ (X >> 31);
}

} // namespace toucan

#endif // TOUCAN_BASE_HASH_H
