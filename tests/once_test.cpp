// Requests that may not be repeated: rule "once", with and without a request id.
#include "cluster.h"
#include "operate.h"
#include "workload.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>

#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace toucan::test;

namespace {

constexpr auto Rules = "once database=orders table=bookings # bookings land once: call centre\n"
                       "once database=orders table=written  # the same without ids: call centre\n";

// Inserts one row for each row of seats. A seat that is added between a request and its repetition
// would change the answer, and the number of rows, if the request ran again.
std::string booking(uint64_t Id) {
  return absl::StrFormat("insert into bookings select %d from seats /* request_id='r-%d' */", Id,
                         Id);
}

const std::string FirstOutcome = "INSERT 0 1";

void prepare(Cluster &C) {
  C.waitReady();
  applyRules(C, Rules);
  // No unique index: a request that ran twice leaves two rows.
  REQUIRE(C.client(0).run("create table bookings(id bigint)").ok());
  REQUIRE(C.client(0).run("create table seats(a bigint)").ok());
  REQUIRE(C.client(0).run("insert into seats values (1)").ok());
}

// Whether the answer leaves the outcome open, so that the caller repeats the request.
bool open(const Answer &A) { return A.notRun() || A.State == "08007" || A.State == "lost"; }

// Repeats a request until it has an outcome. The connection is made anew each time.
Answer untilOutcome(const Cluster &C, size_t Proxy, const std::string &Sql) {
  Answer A;
  eventually([&] {
    A = C.client(Proxy).run(Sql);
    return !open(A);
  });
  return A;
}

std::string rowsOf(const Cluster &C, uint64_t Id) {
  return untilOutcome(C, 0, absl::StrFormat("select count(*) from bookings where id = %d", Id))
      .value();
}

std::vector<ClientOptions> places(const Cluster &C) {
  std::vector<ClientOptions> Out;
  for (size_t I = 0; I < C.proxies(); ++I)
    Out.push_back({.Port = C.proxyPort(I), .Database = C.options().Database, .Options = ""});
  return Out;
}

// Callers that book ids and repeat each request, at the next proxy, until it has an outcome.
class Bookers {
public:
  Bookers(std::vector<ClientOptions> At, size_t Count) : Places(std::move(At)) {
    for (size_t I = 0; I < Count; ++I)
      this->Threads.emplace_back([this, I] { this->work(I); });
  }
  ~Bookers() { this->stop(); }
  Bookers(const Bookers &) = delete;
  Bookers &operator=(const Bookers &) = delete;

  bool waitBooked(uint64_t More) const {
    uint64_t Goal = this->Booked + More;
    return eventually([&] { return this->Booked >= Goal; });
  }
  void stop() {
    this->Stopping = true;
    for (std::thread &T : this->Threads)
      T.join();
    this->Threads.clear();
  }
  uint64_t repeated() const { return this->Repeated; }
  // Wrong answers, and ids that are not there exactly once; empty when all is right.
  std::string faultsIn(const Answer &Rows) const {
    std::string Out = this->Wrong;
    std::map<uint64_t, int> Counts;
    for (const auto &Row : Rows.Rows)
      ++Counts[std::strtoull(Row[0].c_str(), nullptr, 10)];
    for (uint64_t Id : this->Ids)
      if (Counts[Id] != 1)
        Out += absl::StrFormat("id %d is there %d times\n", Id, Counts[Id]);
    return Rows.ok() ? Out : Out + Rows.State + " " + Rows.Message;
  }

private:
  static constexpr uint64_t IdsOfBooker = 1'000'000;
  static constexpr std::chrono::milliseconds RepeatPause{20};

  // The last request is repeated until it has an outcome, also after stop().
  void work(size_t Booker) {
    size_t Place = Booker;
    for (uint64_t Id = Booker * IdsOfBooker + 1; !this->Stopping; ++Id) {
      Answer A;
      eventually([&] {
        A = Client(this->Places[Place % this->Places.size()]).run(booking(Id));
        if (!open(A))
          return true;
        ++this->Repeated;
        ++Place;
        std::this_thread::sleep_for(RepeatPause);
        return false;
      });
      this->note(Id, A);
    }
  }

  void note(uint64_t Id, const Answer &A) {
    std::lock_guard Lock(this->Mutex);
    this->Ids.push_back(Id);
    ++this->Booked;
    if (A.Tag != FirstOutcome)
      this->Wrong += absl::StrFormat("id %d: %s %s %s\n", Id, A.Tag, A.State, A.Message);
  }

  const std::vector<ClientOptions> Places;
  std::atomic<bool> Stopping = false;
  std::atomic<uint64_t> Booked = 0;
  std::atomic<uint64_t> Repeated = 0;
  std::mutex Mutex;
  std::vector<uint64_t> Ids;
  std::string Wrong;
  std::vector<std::thread> Threads;
};

// Kills the owner of the database, another proxy and the primary after random numbers of bookings.
void checkKills(uint32_t Seed) {
  CAPTURE(Seed);
  std::mt19937 Random(Seed);
  auto Some = [&] { return 10 + Random() % 40; };
  Cluster C({.Proxies = 4});
  prepare(C);
  size_t Owner = ownerOf(C);
  size_t Primary = C.primary();
  REQUIRE(Owner < C.proxies());
  REQUIRE(Primary < C.servers());
  size_t Other = (Owner + 1 + Random() % 3) % C.proxies();
  Bookers B(places(C), 6);
  CHECK(B.waitBooked(Some()));
  C.proxy(Other).kill();
  CHECK(B.waitBooked(Some()));
  C.proxy(Owner).kill();
  CHECK(B.waitBooked(Some()));
  C.server(Primary).kill();
  CHECK(B.waitBooked(Some()));
  B.stop();
  CHECK(B.repeated() > 0);
  size_t Left = 0;
  while (Left == Owner || Left == Other)
    ++Left;
  CHECK(B.faultsIn(untilOutcome(C, Left, "select id from bookings")) == "");
}

} // namespace

// Guards against a repetition that runs again, or that is answered with an outcome of its own.
TEST_CASE("once: a repeated request id gets the first outcome") {
  Cluster C;
  prepare(C);
  constexpr uint64_t Ids = 4; // each combination of the proxies of request and repetition
  for (uint64_t Id = 0; Id < Ids; ++Id)
    CHECK(C.client(Id / 2).run(booking(Id)).Tag == FirstOutcome);
  REQUIRE(C.client(0).run("insert into seats values (2)").ok());
  for (uint64_t Id = 0; Id < Ids; ++Id) {
    CHECK(C.client(Id % 2).run(booking(Id)).Tag == FirstOutcome);
    CHECK(rowsOf(C, Id) == "1");
  }
  size_t Old = C.primary();
  REQUIRE(Old < C.servers());
  C.server(Old).kill();
  for (uint64_t Id = 0; Id < Ids; ++Id) {
    Answer A = untilOutcome(C, Id % 2, booking(Id));
    CHECK_MESSAGE(A.Tag == FirstOutcome, A.State << A.Message);
    CHECK(rowsOf(C, Id) == "1");
  }
  CHECK(C.primary() != Old);
}

// Guards against two copies of a request that both find the id unused.
TEST_CASE("once: a request id sent twice at the same time runs once") {
  Cluster C;
  prepare(C);
  for (uint64_t Id = 1; Id <= 50; ++Id) {
    Client First = C.client(0);
    Client Second = C.client(Id % 2);
    REQUIRE(First.send(booking(Id)));
    REQUIRE(Second.send(booking(Id)));
    for (Client *One : {&First, &Second}) {
      Answer A = One->finish();
      CHECK_MESSAGE(A.Tag == FirstOutcome, A.State << A.Message);
    }
    CHECK(rowsOf(C, Id) == "1");
  }
}

// Guards against bookings that are lost or doubled when instances and the primary die.
TEST_CASE("once: every request id lands once although proxies and the primary are killed") {
  for (uint32_t Seed : {1, 2, 3})
    checkKills(Seed);
}

// Guards against a proxy that repeats a write without an id, and against a false "not run".
TEST_CASE("once: a request without an id runs at most once") {
  // The delay keeps most writes committed but not yet confirmed: these may be repeated wrongly.
  Cluster C({.Proxies = 3, .ServerFlags = {"--ship-delay-ms=30"}});
  prepare(C);
  REQUIRE(C.client(0).run(Workload::CreateTable).ok());
  size_t Owner = ownerOf(C);
  size_t Primary = C.primary();
  REQUIRE(Owner < C.proxies());
  REQUIRE(Primary < C.servers());
  Workload W(places(C), 6);
  CHECK_MESSAGE(W.waitAcknowledged(30), W.summary());
  C.proxy(Owner).kill();
  CHECK_MESSAGE(W.waitAcknowledged(30), W.summary());
  C.server(Primary).kill();
  CHECK_MESSAGE(W.waitAcknowledged(30), W.summary());
  W.stop();
  INFO(W.summary());
  CHECK(W.unknown() > 0);
  CHECK(W.faultsIn(untilOutcome(C, (Owner + 1) % 3, Workload::ReadAll)) == "");
}
