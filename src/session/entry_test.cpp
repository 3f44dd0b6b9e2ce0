#include "session/session.h"
#include "session/token.h"
#include "wire/wire.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

using namespace toucan;
using namespace toucan::session;

namespace {

constexpr int ReceiveTimeoutSeconds = 10;

member::ViewPtr testView() {
  auto View = std::make_shared<member::View>();
  View->Self = InstanceId("a");
  View->Members = {{.Id = InstanceId("a")},
                   {.Id = InstanceId("b"), .Status = member::State::Suspect}};
  View->Groups.push_back({.Name = DatabaseName("orders")});
  auto Rules = capture([] { return rules::RuleSet::parse("", "rules"); });
  View->Rules = std::make_shared<rules::RuleSet>(std::move(*Rules));
  View->RulesKnown = true;
  return View;
}

// An entry service with its own event loop thread and a pool simulated by the test.
class EntryFixture {
public:
  // Answers sent envelopes by calling the service; runs in the loop thread.
  using Responder = std::function<void(EntryService &Service, const proto::Envelope &Message)>;

  explicit EntryFixture(EntryOptions Options, Responder Reply) : Reply(std::move(Reply)) {
    Options.Self = InstanceId("a");
    this->Service = std::make_unique<EntryService>(
        this->EventLoop, Options,
        [this](const InstanceId &To, const proto::Envelope &Message) {
          {
            std::lock_guard Lock(this->Mutex);
            this->Sent.emplace_back(To.Value, Message);
          }
          if (this->Reply)
            this->Reply(*this->Service, Message);
          return true;
        },
        this->Counters);
    auto Listening = capture([&] { return this->Service->listen(); });
    REQUIRE_MESSAGE(Listening, Listening.Problem.Message);
    this->Service->onView(testView());
    this->EventLoop.watch(this->WakeFd, EPOLLIN, [this](uint32_t) { this->runTask(); });
    this->Thread = std::thread([this] { this->EventLoop.run(); });
  }
  ~EntryFixture() {
    this->call([this] { this->EventLoop.stop(); });
    this->Thread.join();
    this->EventLoop.unwatch(this->WakeFd);
    close(this->WakeFd);
  }

  // Runs a task in the loop thread and waits for it. Loop::post() is not used: its mutex is from
  // Debian's Abseil, which is built without the thread sanitizer, so the sanitizer does not see it.
  void call(std::function<void()> Task) {
    std::packaged_task<void()> New(std::move(Task));
    std::future<void> Done = New.get_future();
    {
      std::lock_guard Lock(this->Mutex);
      this->Next = std::move(New);
    }
    eventfd_write(this->WakeFd, 1);
    Done.get();
  }

  bool waitForSent(const std::string &To, proto::Envelope::BodyCase Body) {
    for (int I = 0; I < 500; ++I) {
      {
        std::lock_guard Lock(this->Mutex);
        for (const auto &[Target, Message] : this->Sent)
          if (Target == To && Message.body_case() == Body)
            return true;
      }
      absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
  }

  void runTask() {
    eventfd_t Count = 0;
    eventfd_read(this->WakeFd, &Count);
    std::packaged_task<void()> Task;
    {
      std::lock_guard Lock(this->Mutex);
      Task = std::move(this->Next);
    }
    Task();
  }

  Loop EventLoop;
  int WakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::packaged_task<void()> Next;
  Metrics Counters;
  Responder Reply;
  std::unique_ptr<EntryService> Service;
  std::thread Thread;
  std::mutex Mutex;
  std::vector<std::pair<std::string, proto::Envelope>> Sent;
};

// A client with a blocking socket.
class Client {
public:
  explicit Client(uint16_t Port) : Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval Limit{.tv_sec = ReceiveTimeoutSeconds, .tv_usec = 0};
    setsockopt(this->Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    REQUIRE(connect(this->Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0);
  }
  ~Client() { close(this->Fd); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  void send(const std::string &Bytes) const {
    REQUIRE(::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  std::string receiveByte() const {
    char Byte = 0;
    return recv(this->Fd, &Byte, 1, 0) == 1 ? std::string(1, Byte) : "";
  }
  // Returns the types of the frames up to the given type. Ends with "closed" when the stream ends
  // first, and with "timeout" when reading fails.
  std::string receiveUntil(char Last) {
    std::string Types;
    while (true) {
      wire::Frame F;
      while (this->Reader.next(F) == wire::ReadStatus::Ready) {
        Types.push_back(F.Type);
        this->recordFrame(F);
        if (F.Type == Last)
          return Types;
      }
      char Buffer[4096];
      ssize_t Count = recv(this->Fd, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        return Types + (Count == 0 ? "closed" : "timeout");
      this->Reader.append(std::string_view(Buffer, static_cast<size_t>(Count)));
    }
  }
  void start() {
    this->send(wire::startup({{"user", "u"}, {"database", "orders"}}));
    CHECK(this->receiveUntil('Z').ends_with("KZ"));
  }

  int Fd;
  uint32_t ProcessId = 0;
  uint32_t SecretKey = 0;
  std::string SqlState;
  size_t RowBytes = 0;

private:
  void recordFrame(const wire::Frame &F) {
    if (F.Type == 'E')
      this->SqlState = (*wire::parseError(F.Body))['C'];
    if (F.Type == 'D')
      this->RowBytes += F.Body.size();
    if (F.Type != 'K')
      return;
    wire::BodyReader Body(F.Body);
    this->ProcessId = static_cast<uint32_t>(Body.int32());
    this->SecretKey = static_cast<uint32_t>(Body.int32());
  }

  wire::FrameReader Reader{1 << 24};
};

// Answers every request with one row before SendFn returns.
void replyImmediately(EntryService &Service, const proto::Envelope &Message) {
  if (!Message.has_exec())
    return;
  proto::Envelope Chunk;
  Chunk.mutable_chunk()->set_request_id(Message.exec().request_id());
  Chunk.mutable_chunk()->set_frames(wire::Writer().begin('D').bytes("row").end().take() +
                                    wire::commandComplete("SELECT 1"));
  Service.onEnvelope(InstanceId("a"), Chunk);
  proto::Envelope Done;
  Done.mutable_done()->set_request_id(Message.exec().request_id());
  Done.mutable_done()->set_verdict(proto::RAN);
  Done.mutable_done()->set_tx_status('I');
  Done.mutable_done()->set_chunks(1);
  Service.onEnvelope(InstanceId("a"), Done);
}

} // namespace

// Guards against a start-up failure that does not name the port already in use.
TEST_CASE("listen reports a port already in use and a host that is not a numeric IP address") {
  Loop L;
  Metrics M;
  auto Send = [](const InstanceId &, const proto::Envelope &) { return true; };
  EntryService First(L, {.Self = InstanceId("a")}, Send, M);
  REQUIRE(capture([&] { return First.listen(); }));
  EntryService Second(L, {.Self = InstanceId("b"), .ListenPort = First.port()}, Send, M);
  auto Taken = capture([&] { return Second.listen(); });
  REQUIRE_FALSE(Taken);
  CHECK(Taken.Problem.Message.find(std::to_string(First.port())) != std::string::npos);
  EntryService Third(L, {.Self = InstanceId("c"), .ListenHost = "localhost"}, Send, M);
  auto NotNumeric = capture([&] { return Third.listen(); });
  REQUIRE_FALSE(NotNumeric);
  CHECK(NotNumeric.Problem.Message.find("\"localhost\" is not a numeric IP address") !=
        std::string::npos);
}

TEST_CASE("a caller connects, runs queries and disconnects") {
  EntryFixture E({}, replyImmediately);
  {
    Client C(E.Service->port());
    C.send(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
    CHECK(C.receiveByte() == "N");
    C.start();
    for (int I = 0; I < 100; ++I) {
      C.send(wire::query("select 1") + wire::query("select 2"));
      CHECK(C.receiveUntil('Z') == "DCZ");
      CHECK(C.receiveUntil('Z') == "DCZ");
    }
    C.send(wire::terminate());
    CHECK(C.receiveUntil('Z') == "closed");
  }
  E.call([&] { CHECK(E.Service->callers() == 0); });
}

// Guards against a malformed message of one caller closing the sessions of others.
TEST_CASE("a malformed message closes only its own session") {
  EntryFixture E({}, replyImmediately);
  Client Good(E.Service->port());
  Good.start();
  Client Bad(E.Service->port());
  Bad.start();
  Bad.send(std::string("Q\0\0\0\1", 5));
  CHECK(Bad.receiveUntil('Z') == "Eclosed");
  CHECK(Bad.SqlState == "08P01");
  Good.send(wire::query("select 1"));
  CHECK(Good.receiveUntil('Z') == "DCZ");
  CHECK(E.Counters.value(Reason::ProtocolViolation) == 1);
}

TEST_CASE("a cancel request cancels the running request or is forwarded to the instance that "
          "issued the key") {
  EntryFixture E({}, nullptr);
  Client C(E.Service->port());
  C.start();
  uint32_t KeyHash = C.SecretKey >> 16;
  CHECK(KeyHash == instanceHash(InstanceId("a")));
  C.send(wire::query("select sleep_ms(1000)"));
  REQUIRE(E.waitForSent("a", proto::Envelope::kExec));
  // A wrong key is ignored. The same loop handles it before the correct key.
  Client(E.Service->port()).send(wire::cancelRequest(C.ProcessId, C.SecretKey ^ 1));
  uint32_t KeyOfB = uint32_t{instanceHash(InstanceId("b"))} << 16;
  Client(E.Service->port()).send(wire::cancelRequest(1, KeyOfB));
  REQUIRE(E.waitForSent("b", proto::Envelope::kCancelCaller));
  E.call([&] {
    std::lock_guard Lock(E.Mutex);
    for (const auto &[To, Message] : E.Sent)
      CHECK_FALSE(Message.has_cancel());
  });
  Client(E.Service->port()).send(wire::cancelRequest(C.ProcessId, C.SecretKey));
  CHECK(E.waitForSent("a", proto::Envelope::kCancel));
}

TEST_CASE("a cancel request forwarded by another instance cancels the running request") {
  EntryFixture E({}, nullptr);
  Client C(E.Service->port());
  C.start();
  C.send(wire::query("select 1"));
  REQUIRE(E.waitForSent("a", proto::Envelope::kExec));
  E.call([&] {
    proto::Envelope Message;
    Message.mutable_cancel_caller()->set_process_id(C.ProcessId);
    Message.mutable_cancel_caller()->set_secret_key(C.SecretKey);
    E.Service->onEnvelope(InstanceId("b"), Message);
  });
  CHECK(E.waitForSent("a", proto::Envelope::kCancel));
}

TEST_CASE("callers over the limit and callers that exceed the start-up timeout are refused") {
  EntryFixture E({.MaxCallers = 1, .StartupTimeout = absl::Milliseconds(200)}, replyImmediately);
  Client First(E.Service->port());
  First.start();
  Client Second(E.Service->port());
  Second.send(wire::startup({{"user", "u"}, {"database", "orders"}}));
  CHECK(Second.receiveUntil('Z') == "Eclosed");
  CHECK(Second.SqlState == "53300");
  Client Silent(E.Service->port());
  CHECK(Silent.receiveUntil('Z') == "Eclosed");
  First.send(wire::query("select 1"));
  CHECK(First.receiveUntil('Z') == "DCZ");
}

// Guards against a large result that stalls once the socket buffer is full.
TEST_CASE("a large result is delivered with credit flow control to a slow caller") {
  constexpr uint64_t Chunks = 200;
  constexpr uint64_t Window = 8;
  uint64_t Next = 0;
  uint64_t Allowed = Window;
  const std::string Row = wire::Writer().begin('D').bytes(std::string(32'000, 'x')).end().take();
  uint64_t Id = 0;
  auto Pool = [&](EntryService &Service, const proto::Envelope &Message) {
    if (Message.has_exec())
      Id = Message.exec().request_id();
    if (Message.has_credit())
      Allowed += Message.credit().bytes() / Row.size();
    while (Next < Chunks && Next < Allowed) {
      proto::Envelope Out;
      Out.mutable_chunk()->set_request_id(Id);
      Out.mutable_chunk()->set_sequence(Next++);
      Out.mutable_chunk()->set_frames(Row);
      Service.onEnvelope(InstanceId("a"), Out);
      if (Next < Chunks)
        continue;
      proto::Envelope Done;
      Done.mutable_done()->set_request_id(Id);
      Done.mutable_done()->set_verdict(proto::RAN);
      Done.mutable_done()->set_tx_status('I');
      Done.mutable_done()->set_chunks(Chunks);
      Service.onEnvelope(InstanceId("a"), Done);
    }
  };
  EntryFixture E({}, Pool);
  Client C(E.Service->port());
  C.start();
  C.send(wire::query("select * from large"));
  absl::SleepFor(absl::Milliseconds(200));
  CHECK(C.receiveUntil('Z').ends_with("DZ"));
  CHECK(C.RowBytes == Chunks * 32'000);
}

// Guards against a drain that interrupts a running request or waits for idle callers.
TEST_CASE("drain closes idle sessions at once and busy sessions after their request") {
  EntryFixture E({}, nullptr);
  Client Idle(E.Service->port());
  Idle.start();
  Client Busy(E.Service->port());
  Busy.start();
  Busy.send(wire::query("select 1"));
  REQUIRE(E.waitForSent("a", proto::Envelope::kExec));
  E.call([&] { E.Service->beginDrain(E.EventLoop.now() + absl::Seconds(30)); });
  CHECK(Idle.receiveUntil('Z') == "Eclosed");
  CHECK(Idle.SqlState == "57P01");
  E.call([&] {
    CHECK_FALSE(E.Service->drained());
    proto::Envelope Exec;
    {
      std::lock_guard Lock(E.Mutex);
      Exec = E.Sent.front().second;
    }
    replyImmediately(*E.Service, Exec);
  });
  CHECK(Busy.receiveUntil('Z') == "DCZ");
  CHECK(Busy.receiveUntil('Z') == "Eclosed");
  E.call([&] { CHECK(E.Service->drained()); });
}

// Guards against a request that is cut off without an answer: it had arrived when its idle session
// was closed, but the process had not read it yet.
TEST_CASE("drain closes no session whose request has arrived") {
  EntryFixture E({}, replyImmediately);
  Client Caller(E.Service->port());
  Caller.start();
  E.call([&] {
    Caller.send(wire::query("select 1"));
    E.Service->beginDrain(E.EventLoop.now() + absl::Seconds(30));
  });
  CHECK(Caller.receiveUntil('Z') == "DCZ");
  CHECK(Caller.receiveUntil('Z') == "Eclosed");
  CHECK(Caller.SqlState == "57P01");
}

TEST_CASE("the drain deadline closes the remaining sessions and cancels their requests") {
  EntryFixture E({}, nullptr);
  Client Busy(E.Service->port());
  Busy.start();
  Busy.send(wire::query("insert into t values (1)"));
  REQUIRE(E.waitForSent("a", proto::Envelope::kExec));
  E.call([&] { E.Service->beginDrain(E.EventLoop.now() + absl::Milliseconds(200)); });
  CHECK(Busy.receiveUntil('Z') == "Eclosed");
  CHECK(E.waitForSent("a", proto::Envelope::kCancel));
}

// Guards against a transaction that stays open after its caller has disconnected.
TEST_CASE("a lease granted after its caller has disconnected is released") {
  EntryFixture E({}, nullptr);
  uint64_t Id = 0;
  {
    Client C(E.Service->port());
    C.start();
    C.send(wire::query("begin"));
    REQUIRE(E.waitForSent("a", proto::Envelope::kExec));
    E.call([&] {
      std::lock_guard Lock(E.Mutex);
      Id = E.Sent.front().second.exec().request_id();
    });
  }
  REQUIRE(E.waitForSent("a", proto::Envelope::kCancel));
  E.call([&] {
    proto::Envelope Done;
    Done.mutable_done()->set_request_id(Id);
    Done.mutable_done()->set_lease(5);
    Done.mutable_done()->set_tx_status('T');
    E.Service->onEnvelope(InstanceId("a"), Done);
  });
  CHECK(E.waitForSent("a", proto::Envelope::kRelease));
}

namespace {

// An answer of 8 MB, more than a session buffers, without its end.
void replyPartially(EntryService &Service, const proto::Envelope &Message) {
  if (!Message.has_exec())
    return;
  for (uint64_t I = 0; I < 8; ++I) {
    proto::Envelope Chunk;
    Chunk.mutable_chunk()->set_request_id(Message.exec().request_id());
    Chunk.mutable_chunk()->set_sequence(I);
    Chunk.mutable_chunk()->set_frames(
        wire::Writer().begin('D').bytes(std::string(size_t{1} << 20, 'x')).end().take());
    Service.onEnvelope(InstanceId("a"), Chunk);
  }
}

size_t callersOf(EntryFixture &E) {
  size_t Count = 0;
  E.call([&] { Count = E.Service->callers(); });
  return Count;
}

bool eventually(const std::function<bool()> &Condition) {
  for (int I = 0; I < 1000 && !Condition(); ++I)
    absl::SleepFor(absl::Milliseconds(10));
  return Condition();
}

} // namespace

// Guards against an incomplete message that keeps its session for all time, and against a time
// bound that also closes an idle session.
TEST_CASE("a session whose message is not completed in time is closed") {
  EntryFixture E({.MessageTimeout = absl::Milliseconds(100)}, replyImmediately);
  Client Idle(E.Service->port());
  Idle.start();
  Client Late(E.Service->port());
  Late.start();
  Late.send(wire::query("select 1").substr(0, 8));
  CHECK(Late.receiveUntil('Z') == "Eclosed");
  CHECK(Late.SqlState == "08P01");
  CHECK(E.Counters.value("callers_closed_message_timeout") == 1);
  Idle.send(wire::query("select 1"));
  CHECK(Idle.receiveUntil('Z') == "DCZ");
}

// Guards against answers that are kept for a caller which does not take them, and against a cut
// answer that looks complete.
TEST_CASE("a caller that does not take its answer in time is disconnected") {
  EntryFixture E({.AnswerTimeout = absl::Milliseconds(200)}, replyPartially);
  Client Stalled(E.Service->port());
  Stalled.start();
  Stalled.send(wire::query("select 1"));
  CHECK(eventually([&] { return callersOf(E) == 0; }));
  CHECK(E.Counters.value("callers_closed_drain_timeout") == 1);
  std::string Types = Stalled.receiveUntil('Z');
  CHECK(Types.find('Z') == std::string::npos);
  CHECK(Types.find('E') == std::string::npos);
}

// Guards against the memory of all callers together, and against an instance that serves nobody
// while a group of callers holds its memory.
TEST_CASE("the callers with most memory are closed when the budget is spent") {
  // A quarter of the limit is for callers: 4 MB.
  EntryFixture E({.MaxFrameBytes = size_t{1} << 20, .MemoryLimitBytes = uint64_t{16} << 20},
                 replyImmediately);
  std::string Part = wire::query(std::string(1'000'000, ' ')).substr(0, 900'000);
  std::vector<std::unique_ptr<Client>> Heavy;
  for (int I = 0; I < 8; ++I) {
    Client &C = *Heavy.emplace_back(std::make_unique<Client>(E.Service->port()));
    C.start();
    for (size_t At = 0; At < Part.size();) {
      ssize_t Count = ::send(C.Fd, Part.data() + At, Part.size() - At, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count < 0 && errno != EAGAIN)
        break;
      At += static_cast<size_t>(std::max<ssize_t>(Count, 0));
      if (Count < 0 && !eventually([&] {
            pollfd P{.fd = C.Fd, .events = POLLOUT, .revents = 0};
            return poll(&P, 1, 0) > 0 || E.Counters.value("callers_closed_memory") > 0;
          }))
        break;
      if (E.Counters.value("callers_closed_memory") > 0)
        break;
    }
  }
  CHECK(E.Counters.value("callers_closed_memory") > 0);
  CHECK(callersOf(E) < 8);
  Client Ordinary(E.Service->port());
  Ordinary.start();
  Ordinary.send(wire::query("select 1"));
  CHECK(Ordinary.receiveUntil('Z') == "DCZ");
}

// Guards against callers that take the descriptors which targets and other instances need.
TEST_CASE("a part of the descriptors is not for callers") {
  // 32 of 40 are reserved.
  EntryFixture E({.DescriptorLimit = 40}, replyImmediately);
  std::vector<std::unique_ptr<Client>> Accepted;
  for (int I = 0; I < 8; ++I)
    Accepted.emplace_back(std::make_unique<Client>(E.Service->port()))->start();
  Client Refused(E.Service->port());
  Refused.send(wire::startup({{"user", "u"}, {"database", "orders"}}));
  CHECK(Refused.receiveUntil('Z') == "Eclosed");
  CHECK(Refused.SqlState == "53300");
}
