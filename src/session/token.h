// Session token: the log position of the last confirmed write of a session, authenticated by a MAC.
#ifndef TOUCAN_SESSION_TOKEN_H
#define TOUCAN_SESSION_TOKEN_H

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::session {

enum class TokenCheck : uint8_t {
  Valid,
  NotTrusted, // wrong MAC, other database, or no key: ignored, the first read verifies the floor
  Malformed,  // not "database:term:position:mac"
};

struct CheckedToken {
  TokenCheck Status = TokenCheck::Malformed;
  LogPosition At; // meaningful only when Status is Valid
};

// Signs and checks tokens "database:term:position:mac". The MAC is the first 16 bytes of
// HMAC-SHA-256 in hex.
class TokenSigner {
public:
  // With an empty key no token is issued or accepted, since anyone could forge one.
  explicit TokenSigner(std::string Key) : Key(std::move(Key)) {}

  // Returns an empty string without a key.
  std::string sign(const DatabaseName &Database, LogPosition At) const;
  CheckedToken check(std::string_view Token, const DatabaseName &Database) const;

private:
  std::string computeMac(std::string_view Signed) const;

  std::string Key;
};

// Returns the hash of an instance id, which is the upper half of the cancel keys that the instance
// issues.
uint16_t instanceHash(const InstanceId &Id);

} // namespace toucan::session

#endif // TOUCAN_SESSION_TOKEN_H
