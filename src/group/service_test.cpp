// Tests of GroupService against servers on loopback sockets, all in one event loop.
#include "group/group.h"
#include "group/test_server.h"
#include "wire/wire.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>

using namespace toucan;
using namespace toucan::group;

namespace {

constexpr absl::Duration StageLimit = absl::Seconds(5);

// A server that answers control calls over the PostgreSQL protocol.
class SocketServer {
public:
  explicit SocketServer(Loop &L) : L(L) { this->listen(0); }
  ~SocketServer() { this->stop(); }

  void listen(uint16_t At) {
    this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int One = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(At);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    REQUIRE(bind(this->Listener, reinterpret_cast<sockaddr *>(&Address), Size) == 0);
    REQUIRE(::listen(this->Listener, 16) == 0);
    getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    this->Port = ntohs(Address.sin_port);
    this->L.watch(this->Listener, EPOLLIN, [this](uint32_t) { this->acceptCaller(); });
  }

  void stop() {
    if (this->Listener < 0)
      return;
    this->L.unwatch(this->Listener);
    close(this->Listener);
    this->Listener = -1;
    while (!this->Callers.empty())
      this->drop(this->Callers.begin()->first);
  }

  TestServer Server;
  bool NeverAnswers = false;  // reads requests and never answers
  std::string UnansweredUser; // reads requests of this user and never answers them
  uint16_t Port = 0;
  int Accepted = 0; // number of connections accepted

private:
  struct Caller {
    wire::FrameReader Reader{100'000};
    bool Started = false;
    std::string User;
  };

  void acceptCaller() {
    int Fd = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Fd < 0)
      return;
    ++this->Accepted;
    this->Callers[Fd];
    this->L.watch(Fd, EPOLLIN, [this, Fd](uint32_t) { this->onReadable(Fd); });
  }

  void drop(int Fd) {
    this->L.unwatch(Fd);
    close(Fd);
    this->Callers.erase(Fd);
  }

  void onReadable(int Fd) {
    std::array<char, 4096> Bytes;
    ssize_t Got = read(Fd, Bytes.data(), Bytes.size());
    if (Got <= 0) {
      this->drop(Fd);
      return;
    }
    Caller &C = this->Callers[Fd];
    if (this->NeverAnswers || (C.Started && C.User == this->UnansweredUser))
      return;
    C.Reader.append({Bytes.data(), static_cast<size_t>(Got)});
    wire::StartupPacket Packet;
    while (!C.Started && C.Reader.nextStartup(Packet) == wire::ReadStatus::Ready) {
      C.Started = Packet.RequestCode == wire::ProtocolVersion3;
      C.User = Packet.Parameters["user"];
      this->send(Fd, C.Started ? wire::authenticationOk() + wire::readyForQuery('I') : "N");
    }
    wire::Frame F;
    while (C.Started && C.Reader.next(F) == wire::ReadStatus::Ready)
      if (F.Type == 'Q')
        this->serve(Fd, *wire::parseQuery(F.Body), this->L.now() + absl::Milliseconds(500));
  }

  void serve(int Fd, const std::string &Sql, Instant Until) {
    Call Request;
    Status Row = this->Server.serve(Request);
    unsigned long T = 0;
    unsigned long P = 0;
    std::array<char, 64> Text{};
    if (std::sscanf(Sql.c_str(), "SELECT * FROM group_wait(%lu, %lu", &T, &P) == 2) {
      Request = {.Kind = CallKind::Wait, .InTerm = Term(T), .Position = P};
      Row = this->Server.serve(Request);
      if (!Row.CallAccepted && this->L.now() < Until) {
        this->L.at(this->L.now() + absl::Milliseconds(2), [this, Fd, Sql, Until] {
          if (this->Callers.contains(Fd))
            this->serve(Fd, Sql, Until);
        });
        return;
      }
    } else if (std::sscanf(Sql.c_str(), "SELECT * FROM group_accept_term(%lu, '%63[^']'", &T,
                           Text.data()) == 2) {
      Row = this->Server.accept(T, Text.data());
    } else if (std::sscanf(Sql.c_str(), "SELECT * FROM group_promote(%lu, '%63[^']'", &T,
                           Text.data()) == 2) {
      Row = this->Server.promote(T, Text.data());
    } else if (std::sscanf(Sql.c_str(), "SELECT * FROM group_follow(%lu, '%63[^']', %lu", &T,
                           Text.data(), &P) == 3) {
      Row = this->Server.follow(T, formatAddress(Text.data(), static_cast<uint16_t>(P)));
    }
    this->send(Fd, rowMessages(Row));
  }

  static std::string rowMessages(const Status &Row) {
    std::string RoleText = Row.ServerRole == Role::Primary   ? "primary"
                           : Row.ServerRole == Role::Replica ? "replica"
                                                             : "fenced";
    std::vector<std::pair<std::string, std::string>> Columns = {
        {"server", Row.Server},
        {"accepted_term", std::to_string(Row.Accepted.Value)},
        {"proposer", Row.Proposer},
        {"role", RoleText},
        {"log_term", std::to_string(Row.LogTerm.Value)},
        {"received", std::to_string(Row.Received)},
        {"applied", std::to_string(Row.Applied)},
        {"accepted", Row.CallAccepted ? "t" : "f"},
        {"following", Row.Following}};
    wire::Writer W;
    W.begin('T').int16(static_cast<int16_t>(Columns.size()));
    for (const auto &[Name, Value] : Columns)
      W.cstring(Name).int32(0).int16(0).int32(25).int16(-1).int32(-1).int16(0);
    W.end().begin('D').int16(static_cast<int16_t>(Columns.size()));
    for (const auto &[Name, Value] : Columns)
      W.int32(static_cast<int32_t>(Value.size())).bytes(Value);
    W.end();
    return W.take() + wire::commandComplete("SELECT 1") + wire::readyForQuery('I');
  }

  void send(int Fd, const std::string &Bytes) {
    [[maybe_unused]] ssize_t Sent = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  Loop &L;
  int Listener = -1;
  std::map<int, Caller> Callers;
};

// Three servers and two daemons. The daemons' messages to each other go through the event loop.
struct Fixture {
  Loop L;
  std::vector<std::unique_ptr<SocketServer>> Servers;
  std::array<InstanceId, 2> Ids = {InstanceId("a"), InstanceId("b")};
  std::array<Metrics, 2> Counters;
  std::array<std::unique_ptr<GroupService>, 2> Daemons;
  DatabaseName Database{"orders"};
  size_t Owner = 0;

  Fixture() {
    auto V = std::make_shared<member::View>();
    member::Group G{.Name = this->Database};
    for (size_t I = 0; I < 3; ++I) {
      this->Servers.push_back(std::make_unique<SocketServer>(this->L));
      G.Targets.push_back({.Id = TargetId("s" + std::to_string(I)),
                           .Host = "127.0.0.1",
                           .Port = this->Servers[I]->Port});
    }
    V->Groups.push_back(G);
    for (size_t I = 0; I < 2; ++I) {
      V->Members.push_back({.Id = this->Ids[I]});
      this->Daemons[I] = std::make_unique<GroupService>(
          this->L,
          GroupOptions{
              .Self = this->Ids[I], .Incarnation = 7, .TargetUser = this->Ids[I].Value, .Seed = I},
          [this, I](const InstanceId &To, const proto::Envelope &Message) {
            size_t Other = To == this->Ids[0] ? 0 : 1;
            this->L.post([this, I, Other, Message] {
              this->Daemons[Other]->onEnvelope(this->Ids[I], Message);
            });
            return true;
          },
          this->Counters[I]);
    }
    this->Owner = *V->ownerOf(this->Database) == this->Ids[0] ? 0 : 1;
    for (auto &D : this->Daemons)
      D->onView(V);
    this->replicate();
  }
  ~Fixture() {
    for (auto &D : this->Daemons)
      D.reset();
  }

  GroupService &owner() { return *this->Daemons[this->Owner]; }

  SocketServer *primary() {
    for (auto &S : this->Servers)
      if (S->Server.CurrentRole == Role::Primary)
        return S.get();
    return nullptr;
  }

  void replicate() {
    for (auto &S : this->Servers)
      for (auto &P : this->Servers)
        if (P->Server.CurrentRole == Role::Primary && P->Server.Accepted == S->Server.Accepted &&
            P != S)
          while (S->Server.receive(P->Server.Log))
            S->Server.Applied = S->Server.Matched;
    this->L.at(this->L.now() + absl::Milliseconds(5), [this] { this->replicate(); });
  }

  struct Stage {
    std::function<bool()> Condition;
    std::function<void()> Action;
  };

  // Runs the loop until the condition of each stage has held in turn. Stops early if a condition
  // does not hold within 5 s. Returns the number of stages reached.
  size_t run(const std::vector<Stage> &Stages) {
    size_t Reached = 0;
    Instant End = monotonicNow() + StageLimit;
    std::function<void()> Check = [&] {
      if (Stages[Reached].Condition()) {
        Stages[Reached++].Action();
        End = monotonicNow() + StageLimit;
      }
      if (Reached == Stages.size() || monotonicNow() >= End)
        this->L.stop();
      else
        this->L.at(this->L.now() + absl::Milliseconds(2), Check);
    };
    this->L.at(this->L.now(), Check);
    this->L.run();
    return Reached;
  }

  bool hasPrimaryInTerm(uint64_t T) {
    const GroupState *S = this->owner().state(this->Database);
    return S && S->Primary && S->CurrentTerm == Term(T);
  }
};

} // namespace

// Guards against a GroupService that loses answers, or that confuses the calls of a server's lanes.
TEST_CASE("group service: a new group gets a primary, confirms a write and verifies a read") {
  Fixture F;
  LogPosition At;
  std::optional<ConfirmResult> Confirmed;
  std::optional<LogPosition> Verified;
  auto Write = [&] {
    SocketServer *P = F.primary();
    P->Server.append(5);
    At = {.InTerm = Term(1), .Position = P->Server.Log.size()};
    Instant Deadline = F.L.now() + absl::Seconds(3);
    F.owner().confirm(F.Database, At, Deadline, [&](ConfirmResult R) { Confirmed = R; });
    F.owner().verify(F.Database, Deadline, [&](std::optional<LogPosition> P) { Verified = P; });
  };
  CHECK(F.run({{[&] { return F.hasPrimaryInTerm(1); }, Write},
               {[&] { return Confirmed && Verified; }, [] {}}}) == 2);
  CHECK(Confirmed == ConfirmResult::Confirmed);
  CHECK((Verified == At));
  CHECK(F.Counters[F.Owner].value("primary_change_finished_total") == 1);
  CHECK(F.Counters[F.Owner].value("control_sent_bytes_total") > 0);
  CHECK(F.Counters[F.Owner].value("control_received_bytes_total") > 0);
  CHECK(F.Daemons[1 - F.Owner]->state(F.Database) == nullptr);
}

// Guards against a refused connection that is not recognized as such, and against an old primary
// that stays fenced after its restart.
TEST_CASE("group service: a stopped primary is replaced and returns as a replica") {
  Fixture F;
  SocketServer *Old = nullptr;
  auto Stop = [&] {
    Old = F.primary();
    Old->stop();
  };
  CHECK(
      F.run({{[&] { return F.hasPrimaryInTerm(1); }, Stop},
             {[&] { return F.hasPrimaryInTerm(2); }, [&] { Old->listen(Old->Port); }},
             {[&] { return Old->Server.CurrentRole == Role::Replica && Old->Server.Accepted == 2; },
              [] {}}}) == 3);
}

// Guards against a server that counts as alive because its connection is open, although it does not
// answer.
TEST_CASE("group service: a primary that does not answer three probes is replaced") {
  Fixture F;
  Instant Since;
  auto Silence = [&] {
    F.primary()->NeverAnswers = true;
    Since = F.L.now();
  };
  CHECK(F.run({{[&] { return F.hasPrimaryInTerm(1); }, Silence},
               {[&] { return F.hasPrimaryInTerm(2); }, [] {}}}) == 2);
  CHECK(F.L.now() - Since < absl::Milliseconds(2500));
  CHECK(F.Counters[F.Owner].value("primary_suspected_total") == 1);
}

// Guards against replacing a primary that only the owner cannot reach. The probe request must reach
// the other daemon, and its reply must come back.
TEST_CASE("group service: the primary stays while the other daemon reaches it") {
  Fixture F;
  auto Break = [&] { F.primary()->UnansweredUser = F.Ids[F.Owner].Value; };
  Metrics &Counters = F.Counters[F.Owner];
  CHECK(F.run({{[&] { return F.hasPrimaryInTerm(1); }, Break},
               {[&] { return Counters.value("primary_kept_total") >= 2; }, [] {}}}) == 2);
  CHECK(Counters.value("primary_change_started_total") == 1); // for the first term
  CHECK(F.hasPrimaryInTerm(1));
}

// Guards against monitoring that does not start or stop with the use of a database that another
// instance owns, and against callbacks that are lost when it stops.
TEST_CASE("group service: a database of another owner is monitored while it is in use") {
  Fixture F;
  GroupService &Other = *F.Daemons[1 - F.Owner];
  std::optional<ConfirmResult> Ended;
  auto HasPrimary = [&] {
    const GroupState *S = Other.state(F.Database);
    return S && S->Primary;
  };
  auto EndWatch = [&] {
    LogPosition Unreached{.InTerm = Term(1), .Position = 1000};
    Other.confirm(F.Database, Unreached, absl::InfiniteFuture(),
                  [&](ConfirmResult R) { Ended = R; });
    Other.setInUse(F.Database, false);
  };
  CHECK(F.run({{[&] { return F.hasPrimaryInTerm(1); }, [&] { Other.setInUse(F.Database, true); }},
               {HasPrimary, EndWatch}}) == 2);
  CHECK(Ended == ConfirmResult::DeadlineExceeded);
  CHECK(Other.state(F.Database) == nullptr);
}
