// Tests PoolService with fake targets and a fake watcher.
#include "pool/pool.h"

#include "pool/fake_target_test.h"

#include <doctest/doctest.h>

#include <sys/eventfd.h>

#include <algorithm>
#include <future>
#include <memory>
#include <set>
#include <thread>

using namespace toucan;
using namespace toucan::pool;

namespace {

constexpr absl::Duration TestTimeout = absl::Seconds(5);

class FakeWatcher final : public group::Watcher {
public:
  group::GroupState Group;
  std::function<group::ConfirmResult(LogPosition)> OnConfirm = [](LogPosition) {
    return group::ConfirmResult::Confirmed;
  };
  std::vector<LogPosition> ConfirmRequests;
  // Callbacks of confirm() that are deferred while Delay is set.
  std::vector<std::function<void(group::ConfirmResult)>> Pending;
  bool Delay = false;
  std::vector<group::PrimaryUse> ReportedUses;
  std::vector<std::optional<LogPosition>> Verified; // results of verify() calls, in order

  const group::GroupState *state(const DatabaseName &) const override { return &this->Group; }
  void setPrimaryUse(const DatabaseName &, group::PrimaryUse Use) override {
    this->ReportedUses.push_back(Use);
  }
  void confirm(const DatabaseName &, LogPosition At, Instant,
               std::function<void(group::ConfirmResult)> Then) override {
    this->ConfirmRequests.push_back(At);
    if (this->Delay)
      this->Pending.push_back(std::move(Then));
    else
      Then(this->OnConfirm(At));
  }
  void verify(const DatabaseName &, Instant,
              std::function<void(std::optional<LogPosition>)> Then) override {
    std::optional<LogPosition> Answer = this->Verified.front();
    this->Verified.erase(this->Verified.begin());
    Then(Answer);
  }
};

std::string row() { return wire::Writer().begin('D').int16(0).end().take(); }

std::string answer(std::string_view Tag) {
  return wire::commandComplete(Tag) + wire::readyForQuery('I');
}

std::string committed(uint64_t Position) {
  return wire::parameterStatus("group_position", "5/" + std::to_string(Position)) +
         answer("INSERT 0 1");
}

// Pool with a group of primary p and replica r at term 5.
struct PoolFixture {
  explicit PoolFixture(
      FakeTarget::Handler OnPrimary,
      FakeTarget::Handler OnReplica = [](auto &, int, const auto &) { return answer("SELECT 0"); })
      : Primary(InLoop, std::move(OnPrimary)), Replica(InLoop, std::move(OnReplica)),
        Watch(std::make_unique<FakeWatcher>()) {
    this->V = std::make_shared<member::View>();
    V->RulesKnown = true;
    V->Groups.push_back(
        {.Name = DatabaseName("db"),
         .Targets = {{.Id = TargetId("p"), .Host = "127.0.0.1", .Port = Primary.Port},
                     {.Id = TargetId("r"), .Host = "127.0.0.1", .Port = Replica.Port}},
         .SlotsPerTarget = 2,
         .ConnectionsPerTarget = 4});
    this->Watch->Group = {
        .Database = DatabaseName("db"), .CurrentTerm = Term(5), .Primary = TargetId("p")};
    this->Watch->Group.Servers = {{.Id = TargetId("p"),
                                   .Reachable = true,
                                   .CurrentRole = group::Role::Primary,
                                   .Accepted = Term(5)},
                                  {.Id = TargetId("r"),
                                   .Reachable = true,
                                   .CurrentRole = group::Role::Replica,
                                   .Accepted = Term(5),
                                   .Applied = 10,
                                   .CaughtUpAt = InLoop.now()}};
    this->Pool = std::make_unique<PoolService>(
        InLoop, PoolOptions{.CreditBytes = 1000},
        [this](const InstanceId &, const proto::Envelope &E) { return this->receive(E); },
        *this->Watch, this->Counters);
    this->Pool->onView(V);
    this->InLoop.watch(this->WakeFd, EPOLLIN, [this](uint32_t) {
      eventfd_t Count = 0;
      eventfd_read(this->WakeFd, &Count);
      this->Call();
      this->CallDone.set_value();
    });
    this->Thread = std::thread([this] { this->InLoop.run(); });
  }
  ~PoolFixture() {
    this->runInLoop([this] { this->InLoop.stop(); });
    this->Thread.join();
    this->InLoop.unwatch(this->WakeFd);
    close(this->WakeFd);
  }

  // Runs Fn in the loop and waits until it returns. Uses an eventfd and a future instead of
  // Loop::post, because Abseil is built without the thread sanitizer, which therefore does not see
  // the mutex in Loop::post.
  void runInLoop(std::function<void()> Fn) {
    this->Call = std::move(Fn);
    this->CallDone = {};
    std::future<void> End = this->CallDone.get_future();
    eventfd_write(this->WakeFd, 1);
    End.wait();
  }
  // Waits until Condition is true in the loop. Returns false on timeout.
  bool waitUntil(const std::function<bool()> &Condition) {
    Instant End = monotonicNow() + TestTimeout;
    bool Met = false;
    while (!Met && monotonicNow() < End) {
      this->runInLoop([&] { Met = Condition(); });
      if (!Met)
        absl::SleepFor(absl::Milliseconds(1));
    }
    return Met;
  }
  bool receive(const proto::Envelope &E) {
    if (E.has_chunk())
      this->Frames[E.chunk().request_id()] += E.chunk().frames();
    if (E.has_done())
      this->Dones[E.done().request_id()] = E.done();
    return true;
  }
  void send(const std::function<void(proto::Envelope &)> &Fill) {
    proto::Envelope E;
    Fill(E);
    this->runInLoop([&] { this->Pool->onEnvelope(InstanceId("entry"), E); });
  }
  void exec(uint64_t Id, proto::RequestKind Kind, const std::string &Sql, uint64_t Lease = 0,
            int64_t MaxAgeUs = 0, bool Verify = false) {
    this->send([&](proto::Envelope &E) {
      proto::ExecRequest &R = *E.mutable_exec();
      R.set_request_id(Id);
      R.set_session_id(1);
      R.set_database("db");
      R.set_kind(Kind);
      R.set_frames(wire::query(Sql));
      R.set_budget_us(3'000'000);
      R.set_lease(Lease);
      R.set_max_age_us(MaxAgeUs);
      R.set_verify_floor(Verify);
    });
  }
  // Waits for the Done of a request.
  proto::Done done(uint64_t Id) {
    REQUIRE(this->waitUntil([&] { return this->Dones.contains(Id); }));
    proto::Done D;
    this->runInLoop([&] { D = this->Dones[Id]; });
    return D;
  }
  proto::Done run(uint64_t Id, proto::RequestKind Kind, const std::string &Sql, uint64_t Lease = 0,
                  int64_t MaxAgeUs = 0, bool Verify = false) {
    this->exec(Id, Kind, Sql, Lease, MaxAgeUs, Verify);
    return this->done(Id);
  }
  bool primaryReceived(const std::string &Sql) {
    return this->waitUntil([&] {
      const auto &Q = this->Primary.Queries;
      return std::find(Q.begin(), Q.end(), Sql) != Q.end();
    });
  }

  Loop InLoop;
  std::shared_ptr<member::View> V;
  FakeTarget Primary;
  FakeTarget Replica;
  std::unique_ptr<FakeWatcher> Watch;
  Metrics Counters;
  std::map<uint64_t, std::string> Frames;
  std::map<uint64_t, proto::Done> Dones;
  std::unique_ptr<PoolService> Pool;
  int WakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::function<void()> Call;
  std::promise<void> CallDone;
  std::thread Thread;
};

bool hasOutcome(const proto::Done &D, proto::Verdict V, Reason R) {
  return D.verdict() == V && D.reason() == static_cast<uint32_t>(R);
}

// Returns the answer for the text of a query.
std::string answerByQuery(FakeTarget &, int, const wire::Frame &F) {
  std::string Sql = wire::parseQuery(F.Body).value_or("");
  if (Sql == "begin")
    return wire::commandComplete("BEGIN") + wire::readyForQuery('T');
  if (Sql == "insert")
    return committed(11);
  if (Sql == "hang")
    return "";
  return row() + answer(Sql);
}

} // namespace

// Guards against a lost acknowledgement, a relayed ReadyForQuery and opening a connection per
// request.
TEST_CASE("a write is answered after majority confirmation and its connection is reused") {
  PoolFixture T(answerByQuery);
  proto::Done D = T.run(1, proto::WRITE, "insert");
  CHECK(hasOutcome(D, proto::RAN, Reason::None));
  CHECK(D.wrote());
  CHECK(D.observed().position() == 11);
  CHECK(D.tx_status() == 'I');
  T.run(2, proto::READ, "second");
  T.runInLoop([&] {
    CHECK(T.Frames[1] == wire::commandComplete("INSERT 0 1"));
    CHECK(T.Frames[2] == row() + wire::commandComplete("second"));
    CHECK(T.Watch->ConfirmRequests == std::vector<LogPosition>{{Term(5), 11}});
    CHECK(T.Primary.Options[0] == "-c group_term=5");
  });
}

// Guards against acknowledging a write before its confirmation, and against blocking the connection
// meanwhile.
TEST_CASE("a write awaiting confirmation does not occupy its connection or get an answer") {
  PoolFixture T(answerByQuery);
  T.Watch->Delay = true;
  T.exec(1, proto::WRITE, "insert");
  CHECK(T.waitUntil([&] { return !T.Watch->Pending.empty(); }));
  T.exec(2, proto::READ, "other");
  CHECK(T.primaryReceived("other"));
  T.runInLoop([&] {
    CHECK(T.Frames[1].empty());
    CHECK(!T.Dones.contains(1));
    CHECK(T.Pool->targets().targets(0).executing() == 0);
    T.Watch->Pending[0](group::ConfirmResult::Confirmed);
    CHECK(T.Dones.contains(1));
  });
}

// Guards against acknowledging a write whose primary was replaced.
TEST_CASE("a write whose confirmation fails is reported as may have run") {
  PoolFixture T(answerByQuery);
  T.Watch->OnConfirm = [](LogPosition) { return group::ConfirmResult::TermChanged; };
  CHECK(hasOutcome(T.run(1, proto::WRITE, "insert"), proto::MAY_HAVE_RUN, Reason::TermChanged));
  T.runInLoop([&] { CHECK(T.Frames[1].empty()); });
}

// Guards against reporting an unknown outcome for a write that was never sent.
TEST_CASE("a request succeeds although an idle connection was lost before it is sent") {
  PoolFixture T(answerByQuery);
  T.run(1, proto::READ, "first");
  T.runInLoop([&] { T.Primary.disconnectAll(); });
  CHECK(hasOutcome(T.run(2, proto::WRITE, "insert"), proto::RAN, Reason::None));
}

// Guards against classifying a long statement as short again on each run, against a learned class
// that overrides a rule, and against a change of class within transactions.
TEST_CASE("the pool learns the class of a statement from its run times") {
  PoolFixture T(answerByQuery);
  bool ByRule = false;
  bool InTransaction = false;
  bool Learns = true;
  SUBCASE("without a rule") {}
  SUBCASE("with a rule") {
    ByRule = true;
    Learns = false;
  }
  SUBCASE("in a transaction") {
    InTransaction = true;
    Learns = false;
  }
  uint64_t Lease = InTransaction ? T.run(9, proto::TRANSACTION, "begin").lease() : 0;
  auto Run = [&](uint64_t Id, const std::string &Sql) {
    T.send([&](proto::Envelope &E) {
      proto::ExecRequest &R = *E.mutable_exec();
      R.set_request_id(Id);
      R.set_session_id(1);
      R.set_database("db");
      R.set_kind(InTransaction ? proto::TRANSACTION : proto::READ);
      R.set_frames(wire::query(Sql));
      R.set_budget_us(700'000);
      R.set_fingerprint(17);
      R.set_class_by_rule(ByRule);
      R.set_lease(Lease);
    });
    return T.done(Id);
  };
  // The deadline ends the request after 700 ms, which is more than a short statement takes.
  if (!InTransaction)
    CHECK(hasOutcome(Run(1, "hang"), proto::MAY_HAVE_RUN, Reason::RequestDeadline));
  T.runInLoop([&] { CHECK(T.Counters.value("pool_requests_learned_long_total") == 0); });
  // The target does not answer the cancel either, so its connection is closed after 1 s.
  absl::SleepFor(InTransaction ? absl::ZeroDuration() : absl::Milliseconds(1200));
  CHECK(hasOutcome(Run(2, "quick"), proto::RAN, Reason::None));
  T.runInLoop(
      [&] { CHECK(T.Counters.value("pool_requests_learned_long_total") == (Learns ? 1 : 0)); });
}

// Guards against completing a partially written request, reported as not run, with the bytes of the
// Terminate frame.
TEST_CASE("a partially written request is retried and runs once") {
  PoolFixture T([](auto &, int, const auto &) { return answer("INSERT 0 1"); });
  T.run(1, proto::READ, "first");
  T.runInLoop([&] { T.Primary.StopReading = true; });
  std::string Long = "insert " + std::string(8 << 20, 'x');
  T.exec(2, proto::WRITE, Long);
  absl::SleepFor(absl::Milliseconds(50));
  T.runInLoop([&] {
    T.Primary.StopReading = false;
    T.Primary.disconnectAll();
  });
  CHECK(hasOutcome(T.done(2), proto::RAN, Reason::None));
  T.runInLoop([&] { CHECK(T.Primary.Queries == std::vector<std::string>{"first", Long}); });
}

// Guards against sending a write twice, and against failing a read that may be repeated.
TEST_CASE("a connection lost after the request is sent fails a write and retries a read") {
  int DropsLeft = 1;
  PoolFixture T([&](FakeTarget &Self, int Fd, const wire::Frame &F) {
    if (DropsLeft-- <= 0)
      return answerByQuery(Self, Fd, F);
    Self.disconnect(Fd);
    return std::string();
  });
  SUBCASE("a write may have run") {
    CHECK(hasOutcome(T.run(1, proto::WRITE, "insert"), proto::MAY_HAVE_RUN, Reason::TargetLost));
    T.runInLoop([&] { CHECK(T.Primary.Queries.size() == 1); });
  }
  SUBCASE("a read is retried") {
    CHECK(hasOutcome(T.run(1, proto::READ, "read"), proto::RAN, Reason::None));
    CHECK(T.Counters.value(Reason::RetryTargetLost) == 1);
  }
}

// Guards against a truncated answer that appears complete, and against sending rows twice.
TEST_CASE("a connection lost during the answer of a read reports an incomplete answer") {
  PoolFixture T([](FakeTarget &Self, int Fd, const wire::Frame &) {
    std::string Rows;
    while (Rows.size() < 80'000)
      Rows += row();
    Self.write(Fd, Rows);
    Self.disconnect(Fd);
    return std::string();
  });
  T.exec(1, proto::READ, "read");
  CHECK(T.waitUntil([&] { return !T.Frames[1].empty(); }));
  T.send([](proto::Envelope &E) {
    E.mutable_credit()->set_request_id(1);
    E.mutable_credit()->set_bytes(100'000);
  });
  proto::Done D = T.done(1);
  CHECK(hasOutcome(D, proto::MAY_HAVE_RUN, Reason::AnswerIncomplete));
  CHECK(D.chunks() > 0);
}

// Guards against running statements outside the transaction that they belong to.
TEST_CASE("a request of a lease that has ended is refused") {
  PoolFixture T(answerByQuery);
  proto::Done D = T.run(1, proto::TRANSACTION, "begin");
  CHECK(D.tx_status() == 'T');
  REQUIRE(D.lease() != 0);
  SUBCASE("by the holder") {
    T.send([&](proto::Envelope &E) { E.mutable_release()->set_lease(D.lease()); });
  }
  SUBCASE("by the target") {
    T.runInLoop([&] { T.Primary.disconnectAll(); });
    CHECK(T.waitUntil([&] { return T.Pool->drained(); }));
  }
  SUBCASE("with the entry instance") {
    T.runInLoop([&] { T.Pool->onPeerLost(InstanceId("entry")); });
  }
  proto::Done After = T.run(2, proto::TRANSACTION, "insert", D.lease());
  CHECK(hasOutcome(After, proto::NOT_RUN, Reason::LeaseUnknown));
  T.runInLoop([&] { CHECK(T.Primary.Queries == std::vector<std::string>{"begin"}); });
}

// Guards against delivering an answer to the caller of another request.
TEST_CASE("a late answer to a request whose caller is gone is discarded") {
  int PendingFd = -1;
  PoolFixture T([&](FakeTarget &Self, int Fd, const wire::Frame &F) {
    if (wire::parseQuery(F.Body) == "hang")
      PendingFd = Fd;
    return answerByQuery(Self, Fd, F);
  });
  T.exec(1, proto::READ, "hang");
  CHECK(T.primaryReceived("hang"));
  T.runInLoop([&] { T.Pool->onPeerLost(InstanceId("entry")); });
  CHECK(T.waitUntil([&] { return T.Primary.Cancels == std::vector<uint32_t>{4711}; }));
  T.exec(2, proto::READ, "next");
  T.runInLoop([&] { T.Primary.write(PendingFd, row() + row() + answer("late")); });
  T.done(2);
  CHECK(T.waitUntil([&] { return T.Pool->drained(); }));
  T.runInLoop([&] {
    CHECK(T.Frames[2] == row() + wire::commandComplete("next"));
    CHECK(T.Frames[1].empty());
    CHECK(!T.Dones.contains(1));
  });
}

// Guards against running a cancelled request later, and against a cancel that is not forwarded.
TEST_CASE("a queued request is removed and a running one is cancelled at the target") {
  PoolFixture T(answerByQuery);
  for (uint64_t Id : {1, 2, 3})
    T.exec(Id, proto::WRITE, "hang");
  CHECK(T.waitUntil([&] { return T.Primary.Queries.size() == 2; }));
  T.send([](proto::Envelope &E) { E.mutable_cancel()->set_request_id(3); });
  CHECK(hasOutcome(T.done(3), proto::NOT_RUN, Reason::Canceled));
  T.send([](proto::Envelope &E) { E.mutable_cancel()->set_request_id(1); });
  CHECK(T.waitUntil([&] { return T.Primary.Cancels.size() == 1; }));
  // A cancel that reaches the target before its request has no effect, so the next one must be sent
  // too.
  T.send([](proto::Envelope &E) { E.mutable_cancel()->set_request_id(1); });
  CHECK(T.waitUntil([&] { return T.Primary.Cancels.size() == 2; }));
  T.runInLoop([&] { CHECK(T.Primary.Queries.size() == 2); });
}

// Guards against opening new transactions on a leaving primary that waits for its open ones, and
// against delaying other requests because of them.
TEST_CASE("a leaving primary gets requests but no new transactions while a transaction is open") {
  PoolFixture T(answerByQuery);
  proto::Done D = T.run(1, proto::TRANSACTION, "begin");
  T.runInLoop([&] {
    T.V->Groups[0].Targets[0].Status = rules::TargetState::Leaving;
    T.Pool->onView(T.V);
    CHECK(T.Watch->ReportedUses == std::vector{group::PrimaryUse::Transactions});
    T.Watch->Group.PrimaryIsDraining = true;
    T.Pool->onGroup(T.Watch->Group);
  });
  T.exec(2, proto::TRANSACTION, "begin");
  CHECK(T.run(3, proto::WRITE, "insert").verdict() == proto::RAN);
  CHECK(T.run(4, proto::TRANSACTION, "commit", D.lease()).tx_status() == 'I');
  CHECK(T.waitUntil([&] { return T.Watch->ReportedUses.back() == group::PrimaryUse::None; }));
  T.runInLoop([&] {
    CHECK(!T.Dones.contains(2));
    T.Watch->Group.PrimaryIsDraining = false;
    T.V->Groups[0].Targets[0].Status = rules::TargetState::Active;
    T.Pool->onView(T.V);
    T.Pool->onGroup(T.Watch->Group);
  });
  CHECK(T.done(2).tx_status() == 'T');
}

// Guards against running requests on connections to a fenced primary.
TEST_CASE("a change of term closes the connections of the old term") {
  PoolFixture T(answerByQuery);
  T.exec(1, proto::WRITE, "hang");
  CHECK(T.primaryReceived("hang"));
  T.runInLoop([&] {
    group::GroupState &G = T.Watch->Group;
    G.CurrentTerm = Term(6);
    G.Primary = TargetId("r");
    for (group::ServerState &S : G.Servers)
      S.Accepted = Term(6);
    T.Pool->onGroup(G);
  });
  CHECK(hasOutcome(T.done(1), proto::MAY_HAVE_RUN, Reason::TermChanged));
  CHECK(T.run(2, proto::WRITE, "insert").target() == "r");
  T.runInLoop([&] { CHECK(T.Replica.Options.back() == "-c group_term=6"); });
}

// Guards against reads below the floor, and against using a floor without a majority.
TEST_CASE("reads go to a replica that has reached the floor, otherwise to the primary") {
  PoolFixture T(answerByQuery);
  CHECK(T.run(1, proto::READ, "read", 0, 60'000'000).by_replica());
  T.Watch->Verified = {std::nullopt, LogPosition{Term(5), 99}};
  proto::Done D = T.run(2, proto::READ, "read", 0, 60'000'000, true);
  CHECK(D.target() == "p");
  CHECK(T.Watch->Verified.empty());
  CHECK(T.Counters.value(Reason::RetryReplicaBehind) == 1);
}

// Guards against running a recorded write twice, and against losing its outcome with the
// connection.
TEST_CASE("a request with an id runs once even if its connection is lost at the commit") {
  std::set<std::string> Recorded;
  bool DropAtCommit = true;
  PoolFixture T([&](FakeTarget &Self, int Fd, const wire::Frame &F) {
    std::string Sql = *wire::parseQuery(F.Body);
    if (Sql.starts_with("BEGIN") && !Recorded.empty())
      return wire::error("ERROR", "23505", "exists") + wire::readyForQuery('E');
    if (Sql.starts_with("ROLLBACK; SELECT"))
      return wire::Writer().begin('D').int16(1).int32(10).bytes("INSERT 0 1").end().take() +
             answer("SELECT 1");
    if (Sql.ends_with("COMMIT")) {
      Recorded.insert(Sql);
      if (std::exchange(DropAtCommit, false)) {
        Self.disconnect(Fd);
        return std::string();
      }
      return wire::parameterStatus("group_position", "5/12") + answer("COMMIT");
    }
    return wire::commandComplete("INSERT 0 1") + wire::readyForQuery('T');
  });
  SUBCASE("lost") {}
  SUBCASE("not lost") { DropAtCommit = false; }
  T.send([](proto::Envelope &E) {
    proto::ExecRequest &R = *E.mutable_exec();
    R.set_request_id(1);
    R.set_database("db");
    R.set_kind(proto::WRITE);
    R.set_once(true);
    R.set_request_key("it's");
    R.set_frames(wire::query("book"));
    R.set_budget_us(3'000'000);
  });
  proto::Done D = T.done(1);
  CHECK(hasOutcome(D, proto::RAN, Reason::None));
  CHECK(D.wrote());
  T.runInLoop([&] {
    CHECK(T.Frames[1] == wire::commandComplete("INSERT 0 1"));
    CHECK(Recorded == std::set<std::string>{"UPDATE toucanrun_requests SET outcome = 'INSERT 0 1' "
                                            "WHERE id = 'it''s'; COMMIT"});
    CHECK(std::count(T.Primary.Queries.begin(), T.Primary.Queries.end(), "book") == 1);
  });
}

// Guards against ignoring the credit, and against an answer that stalls permanently.
TEST_CASE("a long answer is sent only as far as credit permits") {
  PoolFixture T([](auto &, int, const auto &) {
    std::string Rows;
    while (Rows.size() < 500'000)
      Rows += row();
    return Rows + answer("SELECT");
  });
  T.exec(1, proto::READ, "read");
  CHECK(T.waitUntil([&] { return !T.Frames[1].empty(); }));
  absl::SleepFor(absl::Milliseconds(20));
  T.runInLoop([&] { CHECK(T.Frames[1].size() < 100'000); });
  CHECK(T.waitUntil([&] {
    proto::Envelope E;
    E.mutable_credit()->set_request_id(1);
    E.mutable_credit()->set_bytes(10'000);
    T.Pool->onEnvelope(InstanceId("entry"), E);
    return T.Dones.contains(1);
  }));
  T.runInLoop([&] { CHECK(T.Frames[1].size() > 500'000); });
}

namespace {

// Reports to the pool that instance c, and not this one, reaches the primary for the next 2 s.
void reportPrimaryUnreachable(PoolFixture &T) {
  T.runInLoop([&] {
    T.Watch->Group.Servers[0].Reachable = false;
    T.Watch->Group.RedirectTo =
        group::Observer{.Id = InstanceId("c"), .ValidUntil = T.InLoop.now() + absl::Seconds(2)};
    T.Pool->onGroup(T.Watch->Group);
  });
}

bool namesObserver(const proto::Done &D) {
  return hasOutcome(D, proto::NOT_RUN, Reason::PrimaryNotReached) && D.observer() == "c" &&
         D.observer_valid_us() > 0 && D.observer_valid_us() <= 2'000'000;
}

} // namespace

// Guards against requests that wait at an owner that cannot serve them, both on arrival and while
// queued.
TEST_CASE("requests that need the primary are refused with the observer's id") {
  PoolFixture T(answerByQuery);
  SUBCASE("on arrival") {
    reportPrimaryUnreachable(T);
    CHECK(namesObserver(T.run(1, proto::WRITE, "insert")));
    CHECK(namesObserver(T.run(2, proto::TRANSACTION, "begin")));
    CHECK(namesObserver(T.run(3, proto::READ, "read")));
    CHECK(namesObserver(T.run(4, proto::READ, "read", 0, 30'000'000, true)));
    CHECK(hasOutcome(T.run(5, proto::READ, "read", 0, 30'000'000), proto::RAN, Reason::None));
  }
  SUBCASE("while waiting") {
    T.runInLoop([&] {
      T.Watch->Group.Servers[0].Reachable = false;
      T.Watch->Verified.assign(100, std::nullopt);
      T.Pool->onGroup(T.Watch->Group);
    });
    T.exec(1, proto::WRITE, "insert");
    T.exec(2, proto::READ, "read", 0, 30'000'000, true);
    reportPrimaryUnreachable(T);
    CHECK(namesObserver(T.done(1)));
    CHECK(namesObserver(T.done(2)));
  }
  T.runInLoop([&] { CHECK(T.Primary.Queries.empty()); });
}

// Guards against a second execution of a request that the primary may have run, caused by reporting
// it as not run and sending it to another instance.
TEST_CASE("a request that may have run names no observer") {
  PoolFixture T(answerByQuery);
  auto LoseConnections = [&] {
    reportPrimaryUnreachable(T);
    T.runInLoop([&] { T.Primary.disconnectAll(); });
  };
  SUBCASE("a write") {
    T.exec(1, proto::WRITE, "hang");
    REQUIRE(T.primaryReceived("hang"));
    LoseConnections();
  }
  SUBCASE("a read that would be retried") {
    T.exec(1, proto::READ, "hang");
    REQUIRE(T.primaryReceived("hang"));
    LoseConnections();
  }
  proto::Done D = T.done(1);
  CHECK(hasOutcome(D, proto::MAY_HAVE_RUN, Reason::TargetLost));
  CHECK(D.observer().empty());
}

// Guards against reporting a request that waits for a retry as not run.
TEST_CASE("a request that may have run is not reported as not run at its deadline") {
  PoolFixture T(answerByQuery);
  T.exec(1, proto::READ, "hang");
  REQUIRE(T.primaryReceived("hang"));
  T.runInLoop([&] {
    T.Watch->Group.Servers[0].Reachable = false;
    T.Pool->onGroup(T.Watch->Group);
    T.Primary.disconnectAll();
  });
  CHECK(T.done(1).verdict() == proto::MAY_HAVE_RUN);
}

// Guards against refusing a redirected request because the group state is not available yet.
TEST_CASE("a request waits for a group state that is not known yet") {
  PoolFixture T(answerByQuery);
  T.runInLoop([&] {
    T.Watch->Group.Primary.reset();
    T.Watch->Group.CurrentTerm = Term();
    T.Watch->Group.Servers.clear();
    T.Pool->onGroup(T.Watch->Group);
  });
  T.exec(1, proto::WRITE, "insert");
  T.runInLoop([&] {
    CHECK(T.Dones.empty());
    T.Watch->Group.CurrentTerm = Term(5);
    T.Watch->Group.Primary = TargetId("p");
    T.Watch->Group.Servers = {{.Id = TargetId("p"),
                               .Reachable = true,
                               .CurrentRole = group::Role::Primary,
                               .Accepted = Term(5)}};
    T.Pool->onGroup(T.Watch->Group);
  });
  CHECK(hasOutcome(T.done(1), proto::RAN, Reason::None));
}
