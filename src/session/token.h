// Session token: the position of the last confirmed write of a session, protected by a MAC.
#ifndef TOUCAN_SESSION_TOKEN_H
#define TOUCAN_SESSION_TOKEN_H

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::session {

enum class TokenCheck : uint8_t {
  Valid,
  NotTrusted, // wrong MAC, other database, or no key: the session takes the safe path
  Malformed,  // not "database:term:position:mac"
};

struct CheckedToken {
  TokenCheck Status = TokenCheck::Malformed;
  LogPosition At; // when valid
};

// Signs and checks tokens "database:term:position:mac". The MAC is the first 16 bytes of
// HMAC-SHA-256 in hex.
class TokenSigner {
public:
  // With an empty key no token is issued or trusted, since anybody could forge one.
  explicit TokenSigner(std::string Key) : Key(std::move(Key)) {}

  // Empty without a key.
  std::string sign(const DatabaseName &Database, LogPosition At) const;
  CheckedToken check(std::string_view Token, const DatabaseName &Database) const;

private:
  std::string computeMac(std::string_view Signed) const;

  std::string Key;
};

// Hash of an instance id, carried in the upper half of the cancel keys that the instance issues.
uint16_t instanceHash(const InstanceId &Id);

} // namespace toucan::session

#endif // TOUCAN_SESSION_TOKEN_H
