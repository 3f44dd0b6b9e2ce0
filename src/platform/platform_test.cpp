#include "platform/platform.h"
#include "standin/platform/server.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace toucan;
using namespace toucan::platform;

namespace {

// Stand-in platform in the test process, and a client connected to it.
struct Fixture {
  standin::PlatformServer Server;
  int Port = *capture([&] { return this->Server.start(0); });
  std::string Url = absl::StrFormat("http://127.0.0.1:%d", this->Port);
  Client C{{.Url = this->Url, .Timeout = absl::Seconds(1)}};

  int admin(const std::string &Path, const std::string &Body) {
    return httplib::Client(this->Url).Put("/admin/" + Path, Body, "application/json")->status;
  }
  Row read(const std::string &Key) {
    auto Found = capture([&] { return this->C.read(Key); });
    REQUIRE_MESSAGE(Found, Found.Problem.Message);
    return *Found;
  }
  std::string directoryError() {
    auto Found = capture([&] { return this->C.directory(); });
    return Found ? "" : Found.Problem.Message;
  }
};

// HTTP server that answers every GET and POST with the same body.
struct FixedResponseServer {
  httplib::Server Http;
  int Port = 0;
  std::thread Listener;
  explicit FixedResponseServer(const std::string &Body) {
    auto Handler = [Body](const httplib::Request &, httplib::Response &Out) {
      Out.set_content(Body, "application/json");
    };
    this->Http.Get(".*", Handler).Post(".*", Handler);
    this->Port = this->Http.bind_to_any_port("127.0.0.1");
    this->Listener = std::thread([this] { this->Http.listen_after_bind(); });
    while (!this->Http.is_running())
      std::this_thread::yield();
  }
  ~FixedResponseServer() {
    this->Http.stop();
    this->Listener.join();
  }
};

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "compareAndSet writes a row only at the expected version") {
  CHECK(read("config/rules").Version == 0);
  CHECK(C.compareAndSet("config/rules", 0, "a").Version == 1);
  auto Second = C.compareAndSet("config/rules", 1, "b\n\"\xc3\xa9");
  CHECK(Second.Status == WriteStatus::Written);
  CHECK(Second.Version == 2);
  CHECK(read("config/rules").Value == "b\n\"\xc3\xa9");
  // Guards against one operator's change overwriting another's.
  auto Late = C.compareAndSet("config/rules", 1, "c");
  CHECK(Late.Status == WriteStatus::Conflict);
  CHECK(Late.Version == 2);
  CHECK(C.compareAndSet("config/rules", 0, "c").Status == WriteStatus::Conflict);
  CHECK(read("config/rules").Value == "b\n\"\xc3\xa9");
  CHECK(C.compareAndSet("k", 0, "\xff").Status == WriteStatus::NotWritten);
  // Guards against a key being truncated at a character that is special in URLs.
  CHECK(C.compareAndSet("group/a b?c#d%41", 0, "x").Status == WriteStatus::Written);
  CHECK(read("group/a b?c#d%41").Value == "x");
}

TEST_CASE_FIXTURE(Fixture, "an object is read back byte for byte") {
  std::string Bytes("\x00\xff\n", 3);
  REQUIRE(capture([&] { return C.putObject("a/b", Bytes); }));
  auto Found = capture([&] { return C.getObject("a/b"); });
  REQUIRE(Found);
  CHECK(*Found == Bytes);
  CHECK(contains(capture([&] { return C.getObject("none"); }).Problem.Message,
                 Url + "/v1/objects/none: HTTP status 404"));
}

TEST_CASE_FIXTURE(Fixture, "directory returns the lists, and changes appear after the list lag") {
  admin("instances", R"({"instances":[{"id":"i1","link":"127.0.0.1:7000","data_centre":"dc1",
        "region":"otago","state":"leaving"}]})");
  admin("groups", R"({"groups":[{"name":"orders","slots":3,"connections":25,"targets":[
        {"id":"orders-1","host":"127.0.0.1","port":5000,"data_centre":"dc1","region":"otago",
         "state":"live"}]}]})");
  auto Found = capture([&] { return C.directory(); });
  REQUIRE_MESSAGE(Found, Found.Problem.Message);
  CHECK(Found->Instances.at(0).LinkEndpoint == "127.0.0.1:7000");
  CHECK(Found->Instances.at(0).Leaving);
  CHECK(Found->Groups.at(0).Targets.at(0).Port == 5000);
  CHECK(Found->Groups.at(0).ConnectionsPerTarget == 25);
  admin("faults", R"({"list_lag_ms":1000})");
  admin("groups", R"({"groups":[]})");
  CHECK(capture([&] { return C.directory(); })->Groups.size() == 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  CHECK(capture([&] { return C.directory(); })->Groups.empty());
  CHECK(admin("groups", R"({"instances":[]})") == 400);
}

// Guards against a row being reported as missing while the platform is down.
TEST_CASE_FIXTURE(Fixture, "calls fail and nothing is written while the platform is down") {
  admin("faults", R"({"down":true})");
  CHECK(directoryError().starts_with(Url + "/v1/instances: HTTP status 503"));
  CHECK_FALSE(capture([&] { return C.read("k"); }));
  CHECK(C.compareAndSet("k", 0, "v").Status == WriteStatus::NotWritten);
  admin("faults", "{}");
  CHECK(read("k").Version == 0);
  Server.stop();
  CHECK(contains(directoryError(), "/v1/instances: no response: Connection"));
  CHECK(C.compareAndSet("k", 0, "v").Status == WriteStatus::NotWritten);
}

// Guards against a write being reported as not done although it took effect.
TEST_CASE_FIXTURE(Fixture, "the outcome of a write is unknown if its response is lost or late") {
  admin("faults", R"({"lose_answers":1})");
  auto Lost = C.compareAndSet("k", 0, "v");
  CHECK(Lost.Status == WriteStatus::Unknown);
  CHECK(contains(Lost.Detail, Url + "/v1/table: no response"));
  CHECK(read("k").Version == 1);
  CHECK(C.compareAndSet("k", 1, "w").Status == WriteStatus::Written);
  admin("faults", R"({"delay_ms":8000})");
  Instant Start = monotonicNow();
  CHECK(C.compareAndSet("k", 2, "x").Status == WriteStatus::Unknown);
  CHECK(contains(directoryError(), "timeout 1s"));
  CHECK(monotonicNow() - Start < absl::Seconds(6));
  admin("faults", "{}");
  CHECK(read("k").Value == "x");
  auto Counts = nlohmann::json::parse(httplib::Client(Url).Get("/admin/counts")->body);
  CHECK(Counts.at("/v1/table") == 3);
  CHECK(Counts.at("/v1/table/k") == 2);
}

TEST_CASE("an invalid response is an error that states the URL") {
  const std::string UnknownState = R"({"instances":[{"id":"a","link":"l","data_centre":"d",
      "region":"r","state":"gone"}]})";
  for (const std::string &Body : {std::string("{"), std::string("[]"), std::string(""),
                                  std::string(R"({"instances":[{"id":7}]})"), UnknownState}) {
    CAPTURE(Body);
    FixedResponseServer Server(Body);
    std::string Url = absl::StrFormat("http://127.0.0.1:%d", Server.Port);
    Client C({.Url = Url, .Timeout = absl::Seconds(2)});
    auto Found = capture([&] { return C.directory(); });
    CHECK(Found.Problem.Message.starts_with(Url + "/v1/instances: invalid response: "));
    CHECK(C.compareAndSet("k", 0, "v").Status == WriteStatus::Unknown);
  }
  Client Wrong({.Url = "ftp://127.0.0.1"});
  CHECK(contains(capture([&] { return Wrong.read("k"); }).Problem.Message, "does not start with"));
}

// Guards against port numbers being truncated to 16 bits.
TEST_CASE("a port out of range is an error") {
  FixedResponseServer Server(
      R"({"instances":[],"groups":[{"name":"a","slots":1,"connections":1,"targets":[
    {"id":"t","host":"127.0.0.1","port":70000,"data_centre":"d","region":"r","state":"live"}]}]})");
  Client C({.Url = absl::StrFormat("http://127.0.0.1:%d", Server.Port)});
  auto Found = capture([&] { return C.directory(); });
  CHECK(contains(Found.Problem.Message, "port is 70000, not an integer from 1 to 65535"));
}

// Guards against an entry of another writer that ends the process: the error message for a nested
// value was built by recursion and exhausted the stack.
TEST_CASE("a deeply nested value or a number beyond 64 bits is an error") {
  constexpr size_t Depth = 200'000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &Slots :
       {Nested, std::string("1e300"), std::string("-1"), std::string("18446744073709551617")}) {
    FixedResponseServer Server(absl::StrCat(
        R"({"instances":[],"groups":[{"name":"a","connections":1,"targets":[],"slots":)", Slots,
        "}]}"));
    Client C({.Url = absl::StrFormat("http://127.0.0.1:%d", Server.Port)});
    auto Found = capture([&] { return C.directory(); });
    CHECK(contains(Found.Problem.Message, "not an integer from 1 to 1000000"));
  }
}
