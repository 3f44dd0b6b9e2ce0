#include "session/token.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace toucan::session {

namespace {

constexpr size_t MacBytes = 16;
constexpr size_t MacDigits = 2 * MacBytes;

// Moves the part after the last colon from Text to Part; returns false when there is no colon.
bool splitAtLastColon(std::string_view &Text, std::string_view &Part) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  Part = Text.substr(Colon + 1);
  Text = Text.substr(0, Colon);
  return true;
}

bool parseNumber(std::string_view Digits, uint64_t &Out) {
  return !Digits.empty() && Digits.find_first_not_of("0123456789") == std::string_view::npos &&
         absl::SimpleAtoi(absl::string_view(Digits.data(), Digits.size()), &Out);
}

} // namespace

std::string TokenSigner::computeMac(std::string_view Signed) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), this->Key.data(), static_cast<int>(this->Key.size()),
       reinterpret_cast<const unsigned char *>(Signed.data()), Signed.size(), Mac.data(), &Length);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(Mac.data()), MacBytes));
}

std::string TokenSigner::sign(const DatabaseName &Database, LogPosition At) const {
  if (this->Key.empty())
    return "";
  std::string Signed = absl::StrFormat("%s:%d:%d", Database.Value, At.InTerm.Value, At.Position);
  return absl::StrFormat("%s:%s", Signed, this->computeMac(Signed));
}

CheckedToken TokenSigner::check(std::string_view Token, const DatabaseName &Database) const {
  CheckedToken Out;
  std::string_view Rest = Token;
  std::string_view Mac;
  std::string_view Position;
  std::string_view InTerm;
  if (!splitAtLastColon(Rest, Mac))
    return Out;
  std::string_view Signed = Rest;
  if (!splitAtLastColon(Rest, Position) || !splitAtLastColon(Rest, InTerm) ||
      Mac.size() != MacDigits || !parseNumber(Position, Out.At.Position) ||
      !parseNumber(InTerm, Out.At.InTerm.Value))
    return {};
  std::string Expected = this->computeMac(Signed);
  bool Same = CRYPTO_memcmp(Expected.data(), Mac.data(), MacDigits) == 0;
  bool Trusted = Same && !this->Key.empty() && Rest == Database.Value;
  Out.Status = Trusted ? TokenCheck::Valid : TokenCheck::NotTrusted;
  return Out;
}

uint16_t instanceHash(const InstanceId &Id) {
  // FNV-1a, since the hash must be the same in every process and build.
  uint32_t Hash = 0x811c9dc5U;
  for (char C : Id.Value)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x01000193U;
  return static_cast<uint16_t>(Hash ^ (Hash >> 16));
}

} // namespace toucan::session
