#include "callers/caller_budget.h"
#include "gateway/socket.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace toucan;
using namespace toucan::gateway;

namespace {

int option(int Fd, int Level, int Name) {
  int Value = 0;
  socklen_t Length = sizeof Value;
  REQUIRE(getsockopt(Fd, Level, Name, &Value, &Length) == 0);
  return Value;
}

} // namespace

// Guards against answers that are sent at 1.6 MB/s to a caller on the same machine: one loopback
// segment filled the send buffer, and each was acknowledged after 40 ms.
TEST_CASE("several segments fit into the send buffer of a caller") {
  int Listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof Address;
  auto *Any = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(bind(Listening, Any, Length) == 0);
  REQUIRE(listen(Listening, 1) == 0);
  REQUIRE(getsockname(Listening, Any, &Length) == 0);
  setBufferSizes(Listening, callers::CallerSocketBytes);
  int Caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(connect(Caller, Any, Length) == 0);
  int Accepted = accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
  REQUIRE(Accepted >= 0);
  CHECK(option(Accepted, IPPROTO_TCP, TCP_MAXSEG) * 4 <= option(Accepted, SOL_SOCKET, SO_SNDBUF));
  close(Accepted);
  close(Caller);
  close(Listening);
}
