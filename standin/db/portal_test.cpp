#include "test_client.h"

#include "wire/wire.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace toucan;
using namespace toucan::standin;

namespace {

// Client that sends protocol messages itself, because libpq can neither set the row limit of
// Execute nor send the parts of the start-up one by one.
class RawClient {
public:
  explicit RawClient(uint16_t Port) : Fd(::socket(AF_INET, SOCK_STREAM, 0)), Reader(1 << 20) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(this->Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0);
  }
  ~RawClient() { ::close(this->Fd); }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Bytes) const {
    REQUIRE(::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  std::string readBytes() const {
    char Part[4096];
    ssize_t Got = ::recv(this->Fd, Part, sizeof Part, 0);
    return Got > 0 ? std::string(Part, static_cast<size_t>(Got)) : "";
  }
  // Reads messages up to one of type Last and returns their types; "!" stands for the end of the
  // stream or an invalid message.
  std::string readTypesUpTo(char Last) {
    std::string Types;
    for (;;) {
      wire::Frame F;
      wire::ReadStatus Status = this->Reader.next(F);
      if (Status == wire::ReadStatus::Ready) {
        Types += F.Type;
        if (F.Type == 'C')
          this->LastTag = F.Body.substr(0, F.Body.size() - 1);
        if (F.Type == Last)
          return Types;
        continue;
      }
      std::string Bytes = this->readBytes();
      if (Status != wire::ReadStatus::NeedMore || Bytes.empty())
        return Types + "!";
      this->Reader.append(Bytes);
    }
  }
  void startUp() {
    this->send(wire::startup({{"user", "u"}, {"options", "-c group_term=1"}}));
    std::string Types = this->readTypesUpTo('Z');
    REQUIRE(Types.front() == 'R');
    REQUIRE(Types.substr(Types.size() - 3) == "KSZ");
  }
  const std::string &lastTag() const { return this->LastTag; }

private:
  int Fd;
  wire::FrameReader Reader;
  std::string LastTag;
};

std::string parseAndBind(const std::string &Portal, const std::string &Sql) {
  wire::Writer Rest;
  Rest.int16(0).int16(0).int16(0);
  return wire::parse({.Statement = "", .Sql = Sql, .ParameterTypes = {}}) +
         wire::bind({.Portal = Portal, .Statement = "", .FormatsAndValues = Rest.take()});
}

struct RawFixture {
  TemporaryDir Dir;
  std::unique_ptr<Server> S = startPrimary({.DataDir = this->Dir.path()});
  RawClient C{this->S->port()};
};

} // namespace

// Guards against drivers that hang because their initial request for encryption is not answered.
TEST_CASE("SSLRequest and GSSENCRequest are answered with N") {
  RawFixture F;
  for (uint32_t Code : {wire::SslRequestCode, wire::GssEncRequestCode}) {
    wire::Writer W;
    W.int32(8).int32(static_cast<int32_t>(Code));
    F.C.send(W.take());
    CHECK(F.C.readBytes() == "N");
  }
  F.C.startUp();
}

// Guards against rows that are lost or repeated when Execute reaches its row limit.
TEST_CASE("a portal is suspended at the row limit and the next Execute continues it") {
  RawFixture F;
  F.C.startUp();
  F.C.send(parseAndBind("p", "values (1), (2), (3)") +
           wire::execute({.Portal = "p", .MaxRows = 2}) +
           wire::execute({.Portal = "p", .MaxRows = 2}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "12DDsDCZ");
  CHECK(F.C.lastTag() == "SELECT 1");
  // Outside of a transaction block, Sync closes the portal.
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "EZ");
}

TEST_CASE("a portal in a transaction block stays open after Sync until it is closed") {
  RawFixture F;
  F.C.startUp();
  F.C.send(wire::query("begin"));
  CHECK(F.C.readTypesUpTo('Z') == "CZ");
  F.C.send(parseAndBind("p", "values (1), (2), (3)") + wire::describe({.Kind = 'P', .Name = "p"}) +
           wire::execute({.Portal = "p", .MaxRows = 1}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "12TDsZ");
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "DDCZ");
  CHECK(F.C.lastTag() == "SELECT 2");
  F.C.send(wire::closeObject({.Kind = 'P', .Name = "p"}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "3Z");
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "EZ");
}

// Guards against a group_position that arrives after CommandComplete: the proxy must know the
// position of a commit before it can hold back the acknowledgement.
TEST_CASE("group_position is reported before the CommandComplete of a commit") {
  RawFixture F;
  F.C.startUp();
  F.C.send(wire::query("create table t(a integer)"));
  CHECK(F.C.readTypesUpTo('Z') == "SCZ");
  F.C.send(wire::query("insert into t values (1); select * from t; insert into t values (2)"));
  CHECK(F.C.readTypesUpTo('Z') == "CTDCSCZ");
  F.C.send(wire::query("begin; insert into t values (3)"));
  CHECK(F.C.readTypesUpTo('Z') == "CCZ");
  F.C.send(wire::query("commit"));
  CHECK(F.C.readTypesUpTo('Z') == "SCZ");
  F.C.send(parseAndBind("", "insert into t values (4)") + wire::execute({}) + wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "12CSZ");
}

// Guards against responses to skipped messages, which a client would take for responses to its next
// request.
TEST_CASE("messages between an error and Sync are skipped") {
  RawFixture F;
  F.C.startUp();
  F.C.send(parseAndBind("", "select * from missing") + wire::execute({}) + wire::query("select 1") +
           wire::sync());
  CHECK(F.C.readTypesUpTo('Z') == "EZ");
  F.C.send(wire::query("select 1"));
  CHECK(F.C.readTypesUpTo('Z') == "TDCZ");
}

// Guards against a server that hangs or crashes on an invalid message.
TEST_CASE("an invalid message ends the connection") {
  RawFixture F;
  F.C.startUp();
  F.C.send(std::string("?\0\0\0\4", 5));
  CHECK(F.C.readTypesUpTo('Z') == "E!");
  RawClient Other(F.S->port());
  Other.send(std::string("\xff\xff\xff\xff garbage", 12));
  CHECK(Other.readTypesUpTo('Z') == "!");
}
