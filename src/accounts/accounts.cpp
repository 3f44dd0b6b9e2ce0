#include "accounts/accounts.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace toucan::accounts {

namespace {

constexpr size_t SaltBytes = 32;
using Salt = std::array<unsigned char, SaltBytes>;

const Salt &processSalt() {
  static const Salt Value = [] {
    Salt Out{};
    // Without a random salt digests could be computed in advance.
    if (RAND_bytes(Out.data(), static_cast<int>(Out.size())) != 1)
      std::abort();
    return Out;
  }();
  return Value;
}

bool validAmount(double Value) { return std::isfinite(Value) && Value >= 0 && Value <= MaxRate; }

} // namespace

// Bytes of UTF-8 sequences are allowed.
bool validName(std::string_view Name) {
  constexpr unsigned char Delete = 0x7f;
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char C) {
    auto Byte = static_cast<unsigned char>(C);
    return Byte > ' ' && Byte != Delete;
  });
}

KeyDigest KeyDigest::of(std::string_view Key) {
  KeyDigest Out;
  unsigned Length = 0;
  if (!HMAC(EVP_sha256(), processSalt().data(), static_cast<int>(SaltBytes),
            reinterpret_cast<const unsigned char *>(Key.data()), Key.size(), Out.Bytes.data(),
            &Length) ||
      Length != Size)
    std::abort(); // equal digests for all keys would admit anyone
  return Out;
}

void wipe(char *Text, size_t Size) { OPENSSL_cleanse(Text, Size); }

std::string_view problemText(Problem P) {
  switch (P) {
  case Problem::None:
    return "is valid";
  case Problem::BadName:
    return "is empty, longer than 255 bytes, or has a blank or control character";
  case Problem::ReservedName:
    return "is reserved for the proxy's own connections";
  case Problem::DuplicateName:
    return "is the name of two accounts";
  case Problem::BadPriority:
    return "is not a number from 0 to 1000";
  case Problem::BadRate:
    return "is not a number from 0 to 1e9";
  case Problem::BadBurst:
    return "is not a number from 0 to 1e9, or is below 1 together with a positive rate";
  case Problem::KeyTaken:
    return "has a key of another account";
  }
  return "is not valid";
}

Problem Directory::add(Account New, const std::vector<KeyDigest> &NewKeys) {
  if (!validName(New.Name.Value))
    return Problem::BadName;
  if (New.Name == defaultAccount())
    return Problem::ReservedName;
  if (this->Names.contains(New.Name))
    return Problem::DuplicateName;
  if (New.Priority < 0 || New.Priority > MaxPriority)
    return Problem::BadPriority;
  if (New.Limit) {
    if (!validAmount(New.Limit->PerSecond))
      return Problem::BadRate;
    if (!validAmount(New.Limit->Burst) || (New.Limit->PerSecond > 0 && New.Limit->Burst < 1))
      return Problem::BadBurst;
  }
  for (const KeyDigest &Key : NewKeys)
    if (this->Keys.contains(Key))
      return Problem::KeyTaken;
  size_t Index = this->All.size();
  for (const KeyDigest &Key : NewKeys)
    this->Keys.emplace(Key, Index);
  this->Names.emplace(New.Name, Index);
  this->All.push_back(std::move(New));
  return Problem::None;
}

const Account *Directory::byKey(const KeyDigest &Key) const {
  auto It = this->Keys.find(Key);
  return It == this->Keys.end() ? nullptr : &this->All[It->second];
}

const Account *Directory::byName(const AccountName &Name) const {
  auto It = this->Names.find(Name);
  return It == this->Names.end() ? nullptr : &this->All[It->second];
}

} // namespace toucan::accounts
