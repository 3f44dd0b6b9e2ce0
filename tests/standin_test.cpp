// The stand-in database as a process, without a proxy.
#include "cluster.h"
#include "relay.h"
#include "workload.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace toucan::test;

namespace {

// Whether a connection to the port is established within 300 ms.
bool connects(uint16_t Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{.tv_sec = 0, .tv_usec = 300'000};
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool Connected = ::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0;
  ::close(Fd);
  return Connected;
}

} // namespace

// Guards against a failover measurement whose primary is refused or reset instead of cut off.
TEST_CASE("a partition by the relay is silent and ends") {
  SingleServer S;
  Relay R;
  R.setTarget(S.process().port("port"));
  Client Open({.Port = R.port(), .Options = "-c group_term=1"});
  REQUIRE(Open.run("select 1").ok());
  R.partition(true);
  REQUIRE(Open.send("select 1"));
  CHECK_FALSE(connects(R.port()));
  CHECK(Open.busy());
  CHECK(Open.connected());
  R.partition(false);
  CHECK(Open.finish().ok());
  CHECK(connects(R.port()));
}

// Guards against a stop that hangs, fails or cuts off clients without a reason.
TEST_CASE("standin-db ends cleanly on SIGTERM") {
  SingleServer S;
  Client Idle = S.client();
  Client Busy = S.client();
  REQUIRE(Busy.send("select sleep_ms(3600000)"));
  S.process().signal(SIGTERM);
  CHECK(Busy.finish().State == "57P01");
  CHECK(S.process().wait() == 0);
  CHECK_FALSE(Idle.run("select 1").ok());
}

// Guards against a write that was acknowledged by a majority and is lost or doubled by a change
// of primary of the stand-in itself: the proxy tests rely on this.
TEST_CASE("a replica that has the position goes on after kill -9 of the primary") {
  Cluster C({.Proxies = 0});
  for (size_t I = 0; I < 3; ++I)
    REQUIRE(C.direct(I).run("SELECT * FROM group_accept_term(1, 'test')").ok());
  REQUIRE(C.direct(0).run("SELECT * FROM group_promote(1, 'test')").ok());
  auto Follow = [&](size_t Replica, int Term, size_t Primary) {
    return C.direct(Replica)
        .run("SELECT * FROM group_follow(" + std::to_string(Term) + ", '127.0.0.1', " +
             std::to_string(C.serverPort(Primary)) + ")")
        .ok();
  };
  REQUIRE(Follow(1, 1, 0));
  REQUIRE(Follow(2, 1, 0));
  REQUIRE(C.direct(0, 1).run("create table t(a integer)").ok());
  Client Writer = C.direct(0, 1);
  for (int I = 1; I <= 100; ++I)
    REQUIRE(Writer.run("insert into t values (" + std::to_string(I) + ")").ok());
  CHECK(Writer.parameter("group_position") == "1/102");
  CHECK(C.direct(1).run("SELECT * FROM group_wait(1, 102, 60000)").Rows[0][7] == "t");
  C.server(0).kill();
  REQUIRE(C.direct(1).run("SELECT * FROM group_accept_term(2, 'test')").ok());
  REQUIRE(C.direct(1).run("SELECT * FROM group_promote(2, 'test')").ok());
  REQUIRE(Follow(2, 2, 1));
  CHECK(C.direct(1, 2).run("select count(*), sum(a) from t").Rows ==
        std::vector<std::vector<std::string>>{{"100", "5050"}});
  C.restartServer(0);
  CHECK(C.status(0).Role == "fenced");
  CHECK(C.status(0).Received == 102);
  REQUIRE(Follow(0, 2, 1));
  CHECK(C.direct(0).run("SELECT * FROM group_wait(2, 103, 60000)").Rows[0][7] == "t");
  CHECK(eventually([&] { return C.status(0).Applied == 103; }));
  CHECK(C.direct(0, 2).run("select count(*) from t").value() == "100");
}
