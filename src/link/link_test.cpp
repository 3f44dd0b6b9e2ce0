#include "link/link.h"

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <doctest/doctest.h>
#include <zmq.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace toucan;
using namespace toucan::link;

namespace {

// A link service that records received messages and lost peers.
struct TestPeer {
  Metrics Counters;
  std::vector<proto::Envelope> Received;
  std::vector<InstanceId> Lost;
  LinkService Service;

  // PeerTimeout is short only where a loss is expected: on a busy machine a healthy peer may be
  // silent for longer.
  TestPeer(Loop &L, const std::string &Id, const std::function<void()> &OnEvent,
           absl::Duration PeerTimeout = absl::Seconds(10))
      : Service(L,
                {.Self = InstanceId(Id),
                 .Incarnation = 1,
                 .PingInterval = absl::Milliseconds(50),
                 .PeerTimeout = PeerTimeout,
                 .IdleTimeout = absl::Milliseconds(100)},
                {.OnMessage =
                     [this, OnEvent](const InstanceId &, proto::Envelope M) {
                       this->Received.push_back(std::move(M));
                       OnEvent();
                     },
                 .OnAdmin =
                     [](const proto::Envelope &, const std::function<void(proto::Envelope)> &R) {
                       proto::Envelope Answer;
                       Answer.mutable_drain_reply()->set_accepted(true);
                       R(Answer);
                     },
                 .OnPeerLost =
                     [this, OnEvent](const InstanceId &Peer) {
                       this->Lost.push_back(Peer);
                       OnEvent();
                     }},
                this->Counters) {}
};

std::string address(const TestPeer &E) { return "127.0.0.1:" + std::to_string(E.Service.port()); }

proto::Envelope cancel(uint64_t Id) {
  proto::Envelope M;
  M.mutable_cancel()->set_request_id(Id);
  return M;
}

constexpr absl::Duration TestLimit = absl::Seconds(20);

} // namespace

TEST_CASE("messages arrive in order and carry the id of the sender") {
  Loop L;
  size_t Arrived = 0;
  TestPeer B(L, "b", [&] {
    if (++Arrived == 500)
      L.stop();
  });
  TestPeer A(L, "a", [] {});
  REQUIRE(capture([&] { return A.Service.bind(); }));
  REQUIRE(capture([&] { return B.Service.bind(); }));
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = address(B)}}});
  B.Service.setPeers({{InstanceId("a"), {.Endpoint = address(A)}}});
  for (uint64_t I = 0; I < 500; ++I)
    CHECK(A.Service.send(InstanceId("b"), cancel(I)));
  CHECK_FALSE(A.Service.send(InstanceId("c"), cancel(0)));
  L.at(monotonicNow() + TestLimit, [&] { L.stop(); });
  L.run();
  REQUIRE(B.Received.size() == 500);
  for (uint64_t I = 0; I < 500; ++I)
    CHECK(B.Received[I].cancel().request_id() == I);
  CHECK(B.Received[0].from() == "a");
  CHECK(A.Lost.empty());
}

// Guards against a request to a peer that does not know the sender yet and cannot answer it.
TEST_CASE("a request is sent only to a peer that has been heard from") {
  Loop L;
  TestPeer A(L, "a", [] {});
  TestPeer B(L, "b", [&] { L.stop(); });
  REQUIRE(capture([&] { return A.Service.bind(); }));
  REQUIRE(capture([&] { return B.Service.bind(); }));
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = address(B)}}});
  proto::Envelope Request;
  Request.mutable_exec()->set_request_id(7);
  bool Known = false;
  std::function<void()> Try = [&] {
    bool Sent = A.Service.send(InstanceId("b"), Request);
    CHECK((Known || !Sent));
    if (!Sent)
      L.at(L.now() + absl::Milliseconds(20), Try);
  };
  Try();
  L.at(L.now() + absl::Milliseconds(100), [&] {
    CHECK(B.Received.empty());
    Known = true;
    B.Service.setPeers({{InstanceId("a"), {.Endpoint = address(A)}}});
  });
  L.at(monotonicNow() + TestLimit, [&] { L.stop(); });
  L.run();
  REQUIRE(B.Received.size() == 1);
  CHECK(B.Received[0].exec().request_id() == 7);
  CHECK(A.Lost.empty());
}

// Guards against a request that waits forever because its link went silent, and against messages
// that are delivered after the sender has abandoned the request.
TEST_CASE("a silent peer is reported lost and its queued messages are dropped") {
  Loop L;
  std::optional<TestPeer> A;
  A.emplace(
      L, "a", [&] { L.stop(); }, absl::Milliseconds(200));
  REQUIRE(capture([&] { return A->Service.bind(); }));
  uint16_t Port = 0;
  {
    TestPeer Stopped(L, "b", [] {});
    REQUIRE(capture([&] { return Stopped.Service.bind(); }));
    Port = Stopped.Service.port();
  }
  std::string Endpoint = "127.0.0.1:" + std::to_string(Port);
  A->Service.setPeers({{InstanceId("b"), {.Endpoint = Endpoint}}});
  A->Service.send(InstanceId("b"), cancel(1));
  L.at(monotonicNow() + TestLimit, [&] { L.stop(); });
  L.run();
  REQUIRE(A->Lost.size() == 1);
  CHECK(A->Lost[0] == InstanceId("b"));
}

// Guards against one open socket, with its keep-alive traffic, per member.
TEST_CASE("the socket of an idle peer is closed, and reopened for the next message") {
  Loop L;
  size_t Arrived = 0;
  TestPeer B(L, "b", [&] { Arrived += 1; });
  TestPeer A(L, "a", [] {});
  REQUIRE(capture([&] { return A.Service.bind(); }));
  REQUIRE(capture([&] { return B.Service.bind(); }));
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = address(B)}}});
  proto::Envelope Heartbeat;
  Heartbeat.mutable_heartbeat();
  A.Service.send(InstanceId("b"), Heartbeat);
  std::function<void()> Poll = [&] {
    bool Closed = A.Counters.gauges()["link_sockets"] == 0 && Arrived > 0;
    if (Closed && Arrived == 1)
      A.Service.send(InstanceId("b"), Heartbeat);
    if (Arrived == 2)
      L.stop();
    L.at(L.now() + absl::Milliseconds(20), Poll);
  };
  Poll();
  L.at(monotonicNow() + TestLimit, [&] { L.stop(); });
  L.run();
  CHECK(Arrived == 2);
  CHECK(A.Lost.empty());
}

// Guards against an answer that is sent into a dead connection, or lost with a connection that
// ZeroMQ reopens at once: unless the loss is declared, the other end waits until the deadline of
// the request.
TEST_CASE("both ends of a link agree on its loss") {
  Loop L;
  std::vector<std::string> Events;
  size_t Losses = 0;
  std::optional<TestPeer> B;
  B.emplace(L, "b", [&] {
    bool Loss = B->Lost.size() > Losses;
    Losses = B->Lost.size();
    Events.push_back(Loss ? "lost" : absl::StrFormat("%d", B->Received.back().exec().request_id()));
  });
  REQUIRE(capture([&] { return B->Service.bind(); }));
  zmq::context_t Context;
  zmq::socket_t In(Context, zmq::socket_type::router);
  In.bind("tcp://127.0.0.1:*");
  zmq::socket_t Out(Context, zmq::socket_type::dealer);
  Out.connect("tcp://" + address(*B));
  std::string Endpoint = In.get(zmq::sockopt::last_endpoint).substr(6);
  B->Service.setPeers({{InstanceId("a"), {.Endpoint = Endpoint, .Incarnation = 1}}});
  auto Send = [&](uint64_t Id, uint32_t Epoch, uint64_t Sequence) {
    proto::Envelope M;
    M.set_from("a");
    M.set_incarnation(1);
    M.set_link_epoch(Epoch);
    M.set_link_sequence(Sequence);
    M.mutable_exec()->set_request_id(Id);
    std::string Bytes = M.SerializeAsString();
    Out.send(zmq::buffer(Bytes), zmq::send_flags::none);
  };
  Send(1, 0, 7); // a has sent messages before b knew a
  Send(2, 0, 8);
  Send(3, 1, 1); // a has detected a loss and uses a new connection
  Send(4, 0, 9); // late, from the old connection
  Send(5, 1, 2);
  Send(6, 1, 4); // the connection was cut and reopened, and a message was lost
  Send(7, 1, 5);
  Send(8, 2, 1);
  // Polls until b sends messages with the new epoch.
  uint32_t Epoch = 0;
  std::function<void()> Poll = [&] {
    zmq::message_t Id;
    zmq::message_t Body;
    proto::Envelope M;
    while (In.recv(Id, zmq::recv_flags::dontwait)) {
      [[maybe_unused]] auto Size = In.recv(Body);
      if (M.ParseFromArray(Body.data(), static_cast<int>(Body.size())))
        Epoch = std::max(Epoch, M.link_epoch());
    }
    if (Epoch == 2 && Events.size() == 7)
      L.stop();
    L.at(L.now() + absl::Milliseconds(20), Poll);
  };
  Poll();
  L.at(monotonicNow() + TestLimit, [&] { L.stop(); });
  L.run();
  CHECK(Epoch == 2);
  CHECK(absl::StrJoin(Events, " ") == "1 2 lost 3 5 lost 8");
}

TEST_CASE("a restart of a peer is reported as a loss") {
  Loop L;
  TestPeer A(L, "a", [] {});
  REQUIRE(capture([&] { return A.Service.bind(); }));
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = "127.0.0.1:9", .Incarnation = 1}}});
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = "127.0.0.1:9", .Incarnation = 2}}});
  CHECK(A.Lost.size() == 1);
}

TEST_CASE("binding a port that is in use fails with an error that names the port") {
  Loop L;
  TestPeer A(L, "a", [] {});
  REQUIRE(capture([&] { return A.Service.bind(); }));
  Metrics M;
  LinkService Second(L, {.Self = InstanceId("b"), .Port = A.Service.port()}, {}, M);
  auto Bound = capture([&] { return Second.bind(); });
  REQUIRE_FALSE(Bound);
  CHECK(Bound.Problem.Message.find(std::to_string(A.Service.port())) != std::string::npos);
}

// Guards against an odd address in a row of the store, which ended the process with an exception.
TEST_CASE("a message to an address that cannot be connected to is not sent") {
  Loop L;
  TestPeer A(L, "a", [] {});
  REQUIRE(capture([&] { return A.Service.bind(); }));
  A.Service.setPeers({{InstanceId("b"), {.Endpoint = "", .Incarnation = 1}}});
  CHECK_FALSE(A.Service.send(InstanceId("b"), cancel(1)));
}
