// Public header of the accounts library: client accounts and the keys that identify their callers.
#ifndef TOUCAN_ACCOUNTS_ACCOUNTS_H
#define TOUCAN_ACCOUNTS_ACCOUNTS_H

#include "base/ids.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::accounts {

// Limit of the operations of an account, over all instances. With a rate of 0 nothing is admitted.
struct RateLimit {
  double PerSecond = 0; // operations per second
  double Burst = 1;     // operations beyond the rate that are admitted at once
};

struct Account {
  AccountName Name;
  int Priority = 0;               // as configured
  std::optional<RateLimit> Limit; // empty: no limit
};

// Keyed digest of a key: HMAC-SHA256 under a salt that the process draws at random. It is
// meaningless in other processes, and the time to look it up reveals nothing about keys.
class KeyDigest {
public:
  // Computes the digest of Key.
  static KeyDigest of(std::string_view Key);
  friend bool operator==(const KeyDigest &, const KeyDigest &) = default;
  template <class H> friend H AbslHashValue(H State, const KeyDigest &D) {
    return H::combine(std::move(State), D.Bytes);
  }

private:
  KeyDigest() = default;
  static constexpr size_t Size = 32;
  std::array<uint8_t, Size> Bytes{};
};

// Overwrites the text of a key, so that it does not stay in freed memory.
void wipe(char *Text, size_t Size);

// Largest accepted rate and burst. Larger ones come from a faulty writer.
inline constexpr double MaxRate = 1e9;
inline constexpr int MaxPriority = 1000;
inline constexpr size_t MaxNameBytes = 255;

// Why an account is refused. None of them tells a key.
enum class Problem : uint8_t {
  None,
  BadName,       // empty, too long, or with a blank or control character
  ReservedName,  // the account of the proxy's own connections
  DuplicateName, // another account has it
  BadPriority,   // negative or above MaxPriority
  BadRate,       // negative, not finite or above MaxRate
  BadBurst,      // as BadRate, or below 1 with a positive rate
  KeyTaken,      // another account has one of the keys
};

// Whether Name can name an account: it is a word of the line protocol.
bool validName(std::string_view Name);
// Completes the sentence "FIELD ...".
std::string_view problemText(Problem P);

// The accounts of one configuration. Without accounts no key is required.
class Directory {
public:
  // Adds an account unless it has a problem. One key may be listed twice.
  Problem add(Account New, const std::vector<KeyDigest> &Keys);

  bool empty() const { return this->All.empty(); }
  // In the order in which they were added.
  const std::vector<Account> &accounts() const { return this->All; }
  // The pointers are valid until the directory changes; null if there is no such account.
  const Account *byKey(const KeyDigest &Key) const;
  const Account *byName(const AccountName &Name) const;

private:
  std::vector<Account> All;
  absl::flat_hash_map<KeyDigest, size_t> Keys; // index in All
  absl::flat_hash_map<AccountName, size_t> Names;
};

} // namespace toucan::accounts

#endif // TOUCAN_ACCOUNTS_ACCOUNTS_H
