#include "accounts/accounts.h"

#include <doctest/doctest.h>

#include <limits>

using namespace toucan;
using namespace toucan::accounts;

namespace {

std::vector<KeyDigest> digests(std::initializer_list<const char *> Keys) {
  std::vector<KeyDigest> Out;
  for (const char *Key : Keys)
    Out.push_back(KeyDigest::of(Key));
  return Out;
}

Problem addNamed(Directory &D, const std::string &Name) {
  return D.add({.Name = AccountName(Name)}, {});
}

Problem addLimited(double PerSecond, double Burst) {
  Directory D;
  return D.add({.Name = AccountName("a"), .Limit = RateLimit{PerSecond, Burst}}, {});
}

} // namespace

TEST_CASE("an account is found by each of its keys and by its name") {
  Directory D;
  CHECK(D.empty());
  CHECK(D.add({.Name = AccountName("a"), .Priority = 3, .Limit = RateLimit{.PerSecond = 10.5}},
              digests({"k1", "k2", "k1"})) == Problem::None);
  CHECK(D.add({.Name = AccountName("b")}, {}) == Problem::None);
  CHECK_FALSE(D.empty());
  const Account *A = D.byKey(KeyDigest::of("k2"));
  REQUIRE(A);
  CHECK(A->Name == AccountName("a"));
  CHECK(A->Priority == 3);
  REQUIRE(A->Limit);
  CHECK(A->Limit->PerSecond == 10.5);
  CHECK(D.byKey(KeyDigest::of("k1")) == A);
  CHECK(D.byName(AccountName("a")) == A);
  CHECK(D.byName(AccountName("b")) == &D.accounts()[1]);
  CHECK_FALSE(D.byName(AccountName("b"))->Limit);
}

// Guards against prefixes, other cases and the empty text being taken for a key.
TEST_CASE("a text that is not a key finds no account") {
  Directory D;
  D.add({.Name = AccountName("a")}, digests({"key-1"}));
  for (const char *Text : {"", "key", "key-1 ", "KEY-1", "key-11"}) {
    CAPTURE(Text);
    CHECK_FALSE(D.byKey(KeyDigest::of(Text)));
  }
  CHECK_FALSE(D.byName(AccountName("b")));
  CHECK_FALSE(Directory().byKey(KeyDigest::of("key-1")));
}

// Guards against a name that could not be told to a target as one word, or could pass for another
// account.
TEST_CASE("a bad, reserved or duplicate name is refused") {
  Directory D;
  CHECK(addNamed(D, "") == Problem::BadName);
  CHECK(addNamed(D, "a b") == Problem::BadName);
  CHECK(addNamed(D, "a\r\nQUERY x WRITE k v") == Problem::BadName);
  CHECK(addNamed(D, std::string("a\0b", 3)) == Problem::BadName);
  CHECK(addNamed(D, std::string(MaxNameBytes + 1, 'a')) == Problem::BadName);
  CHECK(addNamed(D, defaultAccount().Value) == Problem::ReservedName);
  CHECK(D.empty());
  CHECK(addNamed(D, std::string(MaxNameBytes, 'a')) == Problem::None);
  CHECK(addNamed(D, "a") == Problem::None);
  CHECK(addNamed(D, "\xc3\xa4") == Problem::None);
  CHECK(addNamed(D, "a") == Problem::DuplicateName);
  CHECK(D.accounts().size() == 3);
}

TEST_CASE("a limit or priority out of range is refused") {
  constexpr double Infinite = std::numeric_limits<double>::infinity();
  constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
  for (double Bad : {-1.0, -1e-9, Infinite, NotANumber, 1e300, MaxRate * 1.01}) {
    CAPTURE(Bad);
    CHECK(addLimited(Bad, 1) == Problem::BadRate);
    CHECK(addLimited(1, Bad) == Problem::BadBurst);
    CHECK(addLimited(0, Bad) == Problem::BadBurst);
  }
  CHECK(addLimited(0.1, 0.99) == Problem::BadBurst);
  CHECK(addLimited(0.1, 1) == Problem::None);
  CHECK(addLimited(0, 0) == Problem::None);
  CHECK(addLimited(MaxRate, MaxRate) == Problem::None);
  Directory D;
  CHECK(D.add({.Name = AccountName("a"), .Priority = -1}, {}) == Problem::BadPriority);
  CHECK(D.add({.Name = AccountName("a"), .Priority = MaxPriority + 1}, {}) == Problem::BadPriority);
}

// Guards against an account that is half added, whose name or other keys would then be in use.
TEST_CASE("an account with a key of another one is refused as a whole") {
  Directory D;
  D.add({.Name = AccountName("a")}, digests({"k1"}));
  CHECK(D.add({.Name = AccountName("b")}, digests({"k2", "k1"})) == Problem::KeyTaken);
  CHECK_FALSE(D.byName(AccountName("b")));
  CHECK_FALSE(D.byKey(KeyDigest::of("k2")));
  CHECK(D.byKey(KeyDigest::of("k1"))->Name == AccountName("a"));
  CHECK(D.add({.Name = AccountName("b")}, digests({"k2"})) == Problem::None);
}

// Guards against entries that are lost or mixed up as the tables grow.
TEST_CASE("each of 10,000 accounts is found by its keys") {
  constexpr int Count = 10000;
  Directory D;
  for (int I = 0; I < Count; ++I) {
    std::string N = std::to_string(I);
    REQUIRE(D.add({.Name = AccountName("account-" + N), .Priority = I % 10},
                  {KeyDigest::of("first-" + N), KeyDigest::of("second-" + N)}) == Problem::None);
  }
  size_t Wrong = 0;
  for (int I = 0; I < Count; ++I) {
    std::string N = std::to_string(I);
    const Account *A = D.byName(AccountName("account-" + N));
    bool Found = A && A->Priority == I % 10 && D.byKey(KeyDigest::of("first-" + N)) == A &&
                 D.byKey(KeyDigest::of("second-" + N)) == A;
    Wrong += Found ? 0 : 1;
  }
  CHECK(Wrong == 0);
  CHECK(D.accounts().size() == Count);
}

TEST_CASE("a wiped text holds nothing of the key") {
  std::string Text = "START db secret";
  wipe(Text.data() + 9, 6);
  CHECK(Text.find("secret") == std::string::npos);
  CHECK(Text.starts_with("START db "));
}
