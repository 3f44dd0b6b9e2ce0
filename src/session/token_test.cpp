#include "session/token.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::session;

// Guards against a caller that sets its own floor or uses the token of another database.
TEST_CASE("tokens that are forged, of another database or malformed are not accepted") {
  TokenSigner Signer("key");
  DatabaseName Orders("orders");
  LogPosition At{.InTerm = Term(5), .Position = 17};
  std::string Token = Signer.sign(Orders, At);
  CheckedToken Good = Signer.check(Token, Orders);
  CHECK(Good.Status == TokenCheck::Valid);
  CHECK(Good.At == At);
  CHECK(Token.starts_with("orders:5:17:"));
  std::string Raised = Token;
  Raised.replace(Raised.find("17"), 2, "16");
  CHECK(Signer.check(Raised, Orders).Status == TokenCheck::NotTrusted);
  CHECK(Signer.check(Token, DatabaseName("rounds")).Status == TokenCheck::NotTrusted);
  CHECK(TokenSigner("other").check(Token, Orders).Status == TokenCheck::NotTrusted);
  std::string Cut = Token.substr(0, Token.size() - 1);
  for (const std::string &Bad : {Cut, std::string("x"), std::string("orders:5:17"),
                                 "orders:-1" + Token.substr(8), "orders:5:1x" + Token.substr(11)})
    CHECK(Signer.check(Bad, Orders).Status == TokenCheck::Malformed);
}

// Guards against forged tokens when no key is configured.
TEST_CASE("without a key no token is issued or accepted") {
  TokenSigner None("");
  CHECK(None.sign(DatabaseName("a"), {}).empty());
  CHECK(None.check("a:1:1:" + std::string(32, '0'), DatabaseName("a")).Status ==
        TokenCheck::NotTrusted);
}
