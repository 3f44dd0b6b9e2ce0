#include "ctl/apply.h"
#include "ctl/ctl.h"
#include "member/view.h"
#include "standin/platform/server.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <zmq.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace toucan;
using namespace toucan::ctl;

// Debian builds ZeroMQ without the thread sanitizer, so the sanitizer can't see how ZeroMQ
// synchronizes its threads. Suppresses only reports with a frame of that library.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char *__tsan_default_suppressions() { return "race:libzmq.so\n"; }

namespace {

Answer statusAnswer(const std::string &Id, uint64_t Version,
                    const std::vector<std::pair<std::string, member::State>> &Members = {}) {
  Answer A{.Id = InstanceId(Id), .Message = proto::Envelope(), .Problem = {}};
  A.Message->set_from(Id);
  auto *Reply = A.Message->mutable_status_reply();
  Reply->mutable_self()->set_rules_version(Version);
  Reply->mutable_self()->set_state(static_cast<uint32_t>(member::State::Alive));
  Reply->set_rules_known(true);
  for (const auto &[Name, State] : Members) {
    auto *M = Reply->add_members();
    M->set_instance(Name);
    M->set_state(static_cast<uint32_t>(State));
  }
  return A;
}

Peer peer(const std::string &Id) { return {.Id = InstanceId(Id), .LinkEndpoint = "h:1"}; }

// An instance whose thread answers each request with the result of Reply.
class FakeInstance {
public:
  using Handler = std::function<proto::Envelope(const proto::Envelope &)>;
  explicit FakeInstance(Handler Reply) : Reply(std::move(Reply)) {
    this->Socket.set(zmq::sockopt::rcvtimeo, 20);
    this->Socket.bind("tcp://127.0.0.1:*");
    this->Endpoint = this->Socket.get(zmq::sockopt::last_endpoint).substr(6);
    this->Thread = std::thread([this] { this->serve(); });
  }
  ~FakeInstance() {
    this->Stopping = true;
    this->Thread.join();
  }
  std::string Endpoint;

private:
  void serve() {
    while (!this->Stopping) {
      zmq::message_t Sender, Frame;
      if (!this->Socket.recv(Sender) || !this->Socket.recv(Frame))
        continue;
      proto::Envelope Request;
      Request.ParseFromArray(Frame.data(), static_cast<int>(Frame.size()));
      this->Socket.send(Sender, zmq::send_flags::sndmore);
      this->Socket.send(zmq::buffer(this->Reply(Request).SerializeAsString()),
                        zmq::send_flags::none);
    }
  }
  Handler Reply;
  zmq::context_t Context;
  zmq::socket_t Socket{this->Context, zmq::socket_type::router};
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

// Stand-in platform, two instances and a rules file.
struct Fixture {
  standin::PlatformServer Platform;
  std::string Url =
      absl::StrFormat("http://127.0.0.1:%d", *capture([&] { return this->Platform.start(0); }));
  std::atomic<uint64_t> Version = 0; // of the second instance; the first has version 99
  FakeInstance First{[](const proto::Envelope &) { return *statusAnswer("i1", 99).Message; }};
  FakeInstance Second{
      [this](const proto::Envelope &) { return *statusAnswer("i2", this->Version).Message; }};
  std::string File = absl::StrFormat("/tmp/toucan-ctl-test-%d.rules", getpid());
  std::ostringstream Out, Err;

  Fixture() {
    auto Row = [](const char *Id, const FakeInstance &I) {
      return absl::StrFormat(
          R"({"id":"%s","link":"%s","data_centre":"dc1","region":"otago","state":"live"})", Id,
          I.Endpoint);
    };
    this->admin("instances", absl::StrFormat(R"({"instances":[%s,%s]})", Row("i1", this->First),
                                             Row("i2", this->Second)));
    this->writeFile("once database=a table=b # fleet\n");
  }
  ~Fixture() { std::remove(this->File.c_str()); }
  void admin(const std::string &Path, const std::string &Body) {
    httplib::Client(this->Url).Put("/admin/" + Path, Body, "application/json");
  }
  void writeFile(const std::string &Text) { std::ofstream(this->File) << Text; }
  int runCommand(std::vector<std::string> Args) {
    Args.push_back("--platform-url=" + this->Url);
    Args.push_back("--timeout-ms=1000");
    Args.push_back("--confirm-ms=2000");
    this->Out.str("");
    this->Err.str("");
    return run(Args, this->Out, this->Err);
  }
  int apply(int Base) {
    return this->runCommand({"rules", "apply", this->File, absl::StrFormat("--base=%d", Base)});
  }
  bool printed(std::string_view Text) const {
    return this->Out.str().find(Text) != std::string::npos;
  }
};

} // namespace

// Guards against a second write of a change that took effect, and against a report that a change
// was written when it was not.
TEST_CASE("reading the rules back shows what a write without an answer did") {
  CHECK(classifyReadBack(6, "new", {.Version = 7, .Value = "new"}) == ReadBackResult::TextInForce);
  CHECK(classifyReadBack(6, "new", {.Version = 8, .Value = "new"}) == ReadBackResult::TextInForce);
  CHECK(classifyReadBack(6, "new", {.Version = 6, .Value = "old"}) == ReadBackResult::BaseInForce);
  CHECK(classifyReadBack(0, "", {.Version = 0, .Value = ""}) == ReadBackResult::BaseInForce);
  CHECK(classifyReadBack(6, "new", {.Version = 7, .Value = "other"}) == ReadBackResult::Conflict);
  CHECK(classifyReadBack(6, "new", {.Version = 8, .Value = "other"}) ==
        ReadBackResult::LaterVersion);
}

// Guards against a report that rules are in force while an instance still has older rules.
TEST_CASE("rules are in force only when all live instances have confirmed") {
  Confirmation C(7);
  CHECK_FALSE(C.complete());
  C.beginRound();
  C.setListed({peer("a"), peer("b")});
  C.recordAnswer(statusAnswer("a", 8));
  C.recordAnswer({.Id = InstanceId("b"), .Message = {}, .Problem = "no answer within 300 ms"});
  C.endRound();
  CHECK_FALSE(C.complete());
  REQUIRE(C.unconfirmed().size() == 1);
  CHECK(C.unconfirmed()[0].Cause == "no answer within 300 ms");
  CHECK(C.peersToQuery().size() == 1);
  C.recordAnswer(statusAnswer("b", 6));
  CHECK(C.unconfirmed()[0].Cause == "has version 6");
  C.setListed({peer("a"), peer("b"), peer("c")});
  C.recordAnswer(statusAnswer("b", 7));
  CHECK(C.unconfirmed()[0].Id == InstanceId("c"));
  C.setListed({peer("a"), peer("b")});
  CHECK(C.complete());
}

// Guards against skipping a new instance that is still missing in the platform's list.
TEST_CASE("members that other instances report as alive must confirm") {
  Confirmation C(7);
  C.beginRound();
  C.setListed({peer("a")});
  C.recordAnswer(statusAnswer(
      "a", 7,
      {{"a", member::State::Alive}, {"new", member::State::Alive}, {"old", member::State::Dead}}));
  C.endRound();
  REQUIRE(C.unconfirmed().size() == 1);
  CHECK(C.unconfirmed()[0].Id == InstanceId("new"));
  CHECK(C.peersToQuery().size() == 2);
  C.beginRound();
  C.setListed({peer("a")});
  C.recordAnswer({.Id = InstanceId("a"), .Message = {}, .Problem = "no answer"});
  C.endRound();
  CHECK_FALSE(C.complete());
  C.beginRound();
  C.recordAnswer(statusAnswer("a", 7, {{"new", member::State::Suspect}}));
  C.endRound();
  CHECK(C.complete());
}

// Guards against control characters that change the state of the operator's terminal.
TEST_CASE("columns are aligned and control characters are not printed") {
  CHECK(alignedText({{"A", "a"}, {"LONG", "l"}}, {{"xyz", uint64_t{1}}, {Cell(), "e\x1b["}}) ==
        "A    LONG\nxyz  1\n-    e?[\n");
  CHECK(Cell::duration(192'500'000).Text == "3m12s");
}

TEST_CASE_FIXTURE(Fixture, "apply waits for the slower instance") {
  std::thread Updater([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    this->Version = 1;
  });
  CHECK(apply(0) == ExitDone);
  Updater.join();
  CHECK(printed("+1: once database=a table=b # fleet"));
  CHECK(printed("version 1 is in force: confirmed by all 2 live instances"));
  CHECK(apply(0) == ExitDone);
  CHECK(printed("version 1 has this text already"));
}

TEST_CASE_FIXTURE(Fixture, "apply reports the instance that has not confirmed") {
  CHECK(apply(0) == ExitRefused);
  CHECK(printed("version 1 is written, but not confirmed by 1 of 2 live instances"));
  CHECK(printed("i2        has version 0"));
  CHECK_FALSE(printed("in force"));
}

TEST_CASE_FIXTURE(Fixture, "a conflict shows the changes since the base version") {
  Version = 9;
  CHECK(apply(0) == ExitDone);
  writeFile("once database=a table=c # depot\n");
  CHECK(apply(1) == ExitDone);
  writeFile("once database=a table=d # late\n");
  CHECK(apply(1) == ExitRefused);
  CHECK(printed("refused: version 2 is in force, not the base version 1"));
  CHECK(printed("changes from version 1 to version 2:\n-1: once database=a table=b # fleet\n"
                "+1: once database=a table=c # depot\n"));
  CHECK(runCommand({"rules", "show"}) == ExitDone);
  CHECK(Out.str() == "once database=a table=c # depot\n");
}

// Guards against a change that is applied twice, or reported as failed, after a lost answer.
TEST_CASE_FIXTURE(Fixture, "apply reads the rules back after the answer to the write is lost") {
  Version = 9;
  admin("faults", R"({"lose_answers":1})");
  CHECK(apply(0) == ExitDone);
  CHECK(printed("version 1 is in force"));
  admin("faults", R"({"down":true})");
  CHECK(apply(1) == ExitUnreachable);
}

TEST_CASE_FIXTURE(Fixture, "invalid files and arguments exit with refused or usage") {
  writeFile("onec database=a table=b # fleet\n");
  CHECK(apply(0) == ExitRefused);
  CHECK(Err.str().find(":1:1: unknown rule \"onec\"") != std::string::npos);
  CHECK(runCommand({"rules", "check", "/nonexistent"}) == ExitUsage);
  CHECK(runCommand({"rules", "check", "/tmp"}) == ExitUsage);
  CHECK(runCommand({"rules", "apply", File}) == ExitUsage);
  CHECK(runCommand({"drain", "i9"}) == ExitUsage);
  CHECK(runCommand({"status", "--output=xml"}) == ExitUsage);
}

// Guards against an instance that does not answer and thereby hides the others or leaves the exit
// code at 0.
TEST_CASE_FIXTURE(Fixture, "status shows the instances that answer and reports those that do not") {
  CHECK(runCommand({"status"}) == ExitDone);
  CHECK(printed("i1        dc1          otago   ready"));
  admin("instances", absl::StrFormat(R"({"instances":[
      {"id":"i1","link":"%s","data_centre":"dc1","region":"otago","state":"live"},
      {"id":"i2","link":"%s","data_centre":"dc1","region":"otago","state":"live"},
      {"id":"i3","link":"127.0.0.1:1","data_centre":"dc1","region":"otago","state":"live"}]})",
                                     First.Endpoint, First.Endpoint));
  CHECK(runCommand({"status"}) == ExitUnreachable);
  CHECK(printed("i1        dc1          otago   ready"));
  CHECK(Err.str().find("instance \"i1\" answers at this address") != std::string::npos);
  CHECK(Err.str().find("instance i3: tcp://127.0.0.1:1: no answer") != std::string::npos);
  CHECK(runCommand({"status", "--output=json"}) == ExitUnreachable);
  auto Json = nlohmann::json::parse(Out.str());
  CHECK(Json.at("instances").at(0).at("rules_version") == 99);
  CHECK(Json.at("instances").at(2).at("callers").is_null());
  CHECK(runCommand({"targets"}) == ExitUnreachable);
  CHECK(Err.str().find("answer with body 41, expected 43") != std::string::npos);
}
