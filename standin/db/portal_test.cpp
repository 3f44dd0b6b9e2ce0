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

// Client that sends protocol messages itself: libpq has no row limit and no start-up in parts.
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
  // Types of the messages up to one of the type Last; "!" at the end of the stream.
  std::string typesUpTo(char Last) {
    std::string Types;
    for (;;) {
      wire::Frame F;
      wire::ReadStatus Status = this->Reader.next(F);
      if (Status == wire::ReadStatus::Ready) {
        Types += F.Type;
        if (F.Type == 'C')
          this->Tag = F.Body.substr(0, F.Body.size() - 1);
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
    std::string Types = this->typesUpTo('Z');
    REQUIRE(Types.front() == 'R');
    REQUIRE(Types.substr(Types.size() - 3) == "KSZ");
  }
  const std::string &tag() const { return this->Tag; }

private:
  int Fd;
  wire::FrameReader Reader;
  std::string Tag;
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

// Guards against drivers that ask for encryption first and then hang.
TEST_CASE("SSL and GSS requests are answered N") {
  RawFixture F;
  for (uint32_t Code : {wire::SslRequestCode, wire::GssEncRequestCode}) {
    wire::Writer W;
    W.int32(8).int32(static_cast<int32_t>(Code));
    F.C.send(W.take());
    CHECK(F.C.readBytes() == "N");
  }
  F.C.startUp();
}

// Guards against rows that are lost or repeated at the row limit of Execute.
TEST_CASE("a portal with a row limit is suspended and goes on") {
  RawFixture F;
  F.C.startUp();
  F.C.send(parseAndBind("p", "values (1), (2), (3)") +
           wire::execute({.Portal = "p", .MaxRows = 2}) +
           wire::execute({.Portal = "p", .MaxRows = 2}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "12DDsDCZ");
  CHECK(F.C.tag() == "SELECT 1");
  // Outside a transaction the portal ends at Sync.
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "EZ");
}

TEST_CASE("a portal lives to the end of its transaction block") {
  RawFixture F;
  F.C.startUp();
  F.C.send(wire::query("begin"));
  CHECK(F.C.typesUpTo('Z') == "CZ");
  F.C.send(parseAndBind("p", "values (1), (2), (3)") + wire::describe({.Kind = 'P', .Name = "p"}) +
           wire::execute({.Portal = "p", .MaxRows = 1}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "12TDsZ");
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "DDCZ");
  CHECK(F.C.tag() == "SELECT 2");
  F.C.send(wire::closeObject({.Kind = 'P', .Name = "p"}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "3Z");
  F.C.send(wire::execute({.Portal = "p", .MaxRows = 0}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "EZ");
}

// Guards against a position that comes too late for the proxy to hold the acknowledgement back.
TEST_CASE("the position comes before the CommandComplete of a commit") {
  RawFixture F;
  F.C.startUp();
  F.C.send(wire::query("create table t(a integer)"));
  CHECK(F.C.typesUpTo('Z') == "SCZ");
  F.C.send(wire::query("insert into t values (1); select * from t; insert into t values (2)"));
  CHECK(F.C.typesUpTo('Z') == "CTDCSCZ");
  F.C.send(wire::query("begin; insert into t values (3)"));
  CHECK(F.C.typesUpTo('Z') == "CCZ");
  F.C.send(wire::query("commit"));
  CHECK(F.C.typesUpTo('Z') == "SCZ");
  F.C.send(parseAndBind("", "insert into t values (4)") + wire::execute({}) + wire::sync());
  CHECK(F.C.typesUpTo('Z') == "12CSZ");
}

// Guards against answers after an error that a client would take for those of its next request.
TEST_CASE("messages between an error and Sync are skipped") {
  RawFixture F;
  F.C.startUp();
  F.C.send(parseAndBind("", "select * from missing") + wire::execute({}) + wire::query("select 1") +
           wire::sync());
  CHECK(F.C.typesUpTo('Z') == "EZ");
  F.C.send(wire::query("select 1"));
  CHECK(F.C.typesUpTo('Z') == "TDCZ");
}

// Guards against a server that hangs or crashes on garbage.
TEST_CASE("garbage ends the connection") {
  RawFixture F;
  F.C.startUp();
  F.C.send(std::string("?\0\0\0\4", 5));
  CHECK(F.C.typesUpTo('Z') == "E!");
  RawClient Other(F.S->port());
  Other.send(std::string("\xff\xff\xff\xff garbage", 12));
  CHECK(Other.typesUpTo('Z') == "!");
}
