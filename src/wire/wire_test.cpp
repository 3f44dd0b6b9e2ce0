#include "wire/wire.h"

#include <doctest/doctest.h>

using namespace toucan::wire;

namespace {
constexpr size_t Limit = 1024;
} // namespace

// Guards against messages that are lost or truncated when a read ends inside of them.
TEST_CASE("messages that arrive byte by byte are decoded") {
  std::string Stream = query("select 1") + toucan::wire::sync() + readyForQuery('I');
  FrameReader Reader(Limit);
  std::string Types;
  for (char Byte : Stream) {
    Reader.append(std::string_view(&Byte, 1));
    Frame F;
    while (Reader.next(F) == ReadStatus::Ready)
      Types.push_back(F.Type);
  }
  CHECK(Types == "QSZ");
  CHECK(Reader.pending() == 0);
}

// Guards against an allocation whose size a caller can choose by the length field.
TEST_CASE("a length over the limit or below four is refused before the body arrives") {
  FrameReader Large(Limit);
  Large.append(std::string("Q\x7f\xff\xff\xff", 5));
  Frame F;
  CHECK(Large.next(F) == ReadStatus::TooLarge);
  FrameReader Small(Limit);
  Small.append(std::string("Q\0\0\0\3", 5));
  CHECK(Small.next(F) == ReadStatus::Malformed);
}

TEST_CASE("start-up packets and cancel requests are decoded, unterminated packets refused") {
  StartupPacket P;
  FrameReader Reader(Limit);
  Reader.append(startup({{"user", "moana"}, {"database", "rounds"}}));
  REQUIRE(Reader.nextStartup(P) == ReadStatus::Ready);
  CHECK(P.RequestCode == ProtocolVersion3);
  CHECK(P.Parameters["database"] == "rounds");
  Reader.append(cancelRequest(7, 9));
  REQUIRE(Reader.nextStartup(P) == ReadStatus::Ready);
  CHECK(P.RequestCode == CancelRequestCode);
  CHECK(P.SecretKey == 9);
  std::string Broken = startup({{"user", "x"}});
  Broken.back() = 'y';
  Reader.append(Broken);
  CHECK(Reader.nextStartup(P) == ReadStatus::Malformed);
}

TEST_CASE("encoded messages decode to the same fields") {
  ParseMessage M{.Statement = "s", .Sql = "select $1", .ParameterTypes = {23}};
  FrameReader Reader(Limit);
  Reader.append(parse(M));
  Frame F;
  REQUIRE(Reader.next(F) == ReadStatus::Ready);
  auto Back = parseParse(F.Body);
  REQUIRE(Back);
  CHECK(Back->Sql == "select $1");
  CHECK(Back->ParameterTypes == std::vector<int32_t>{23});
  Reader.append(error("ERROR", "08007", "lost"));
  REQUIRE(Reader.next(F) == ReadStatus::Ready);
  CHECK((*parseError(F.Body))['C'] == "08007");
}

// Guards against a read past the end of a message body that a caller truncated.
TEST_CASE("truncated message bodies are refused as malformed") {
  std::string Whole = parse({.Statement = "s", .Sql = "q", .ParameterTypes = {1, 2}});
  std::string_view Body = std::string_view(Whole).substr(5);
  for (size_t Length = 0; Length < Body.size(); ++Length)
    CHECK_FALSE(parseParse(Body.substr(0, Length)).has_value());
}
