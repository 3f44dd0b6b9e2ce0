// toucan-bench: runs the decision code, which does no I/O, on seeded input. Prints the time of each
// part and one signature of all decisions. The signature changes when a decision changes, so a
// commit that claims "No functional change" must not change it.
#include "member/member.h"
#include "pool/dispatch.h"
#include "pool/runtime.h"
#include "rules/rules.h"
#include "sql/sql.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>

using namespace toucan;

namespace {

constexpr uint64_t Seed = 1;
constexpr int DispatchSteps = 40'000;
constexpr size_t MemberCount = 64;
constexpr int MembershipSteps = 300;
constexpr int StatementCount = 3000;
constexpr int RuleLookupCount = 20'000;
constexpr int RunTimeSamples = 200'000;

// FNV-1a hash of a sequence of decisions.
class Signature {
public:
  void add(std::string_view Text) {
    for (char C : Text)
      this->Hash = (this->Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3U;
  }
  void add(uint64_t V) { this->add(absl::StrFormat("%d;", V)); }
  uint64_t value() const { return this->Hash; }

private:
  uint64_t Hash = 0xcbf29ce484222325U;
};

member::Group benchGroup() {
  member::Group G{.Name = DatabaseName("orders"), .SlotsPerTarget = 2, .ConnectionsPerTarget = 30};
  for (int I = 1; I <= 3; ++I)
    G.Targets.push_back({.Id = TargetId(absl::StrFormat("orders-%d", I))});
  return G;
}

group::GroupState benchState(const member::Group &G, Instant Now) {
  group::GroupState S{.Database = G.Name, .CurrentTerm = Term(1), .Primary = G.Targets[0].Id};
  for (const member::Target &T : G.Targets)
    S.Servers.push_back(
        {.Id = T.Id,
         .Reachable = true,
         .CurrentRole = T.Id == *S.Primary ? group::Role::Primary : group::Role::Replica,
         .Accepted = Term(1),
         .Received = 100,
         .Applied = 100,
         .ObservedAt = Now,
         .CaughtUpAt = Now});
  return S;
}

// Dispatches short and long requests to one group, with run times from the seeded generator.
uint64_t benchDispatch() {
  struct Execution {
    Instant At;
    pool::PoolRequestId Id;
    TargetId Target;
    rules::WorkClass Class;
    bool operator>(const Execution &O) const { return std::tie(At, Id) > std::tie(O.At, O.Id); }
  };
  Signature Out;
  std::mt19937_64 Random(Seed);
  member::Group G = benchGroup();
  Instant Now = absl::UnixEpoch();
  group::GroupState State = benchState(G, Now);
  pool::Dispatcher D({.Seed = Seed});
  D.setGroup(G);
  D.setState(&State);
  std::priority_queue<Execution, std::vector<Execution>, std::greater<>> Running;
  std::map<pool::PoolRequestId, rules::WorkClass> Classes;
  for (int Step = 1; Step <= DispatchSteps; ++Step) {
    Now += absl::Microseconds(Random() % 4000);
    while (!Running.empty() && Running.top().At <= Now) {
      Execution Ended = Running.top();
      Running.pop();
      D.ended(Ended.Target, Ended.Class, absl::Milliseconds(2));
      D.released(Ended.Target);
    }
    bool Long = Random() % 50 == 0;
    pool::DispatchRequest Request{.Id = pool::PoolRequestId(static_cast<uint64_t>(Step)),
                                  .Class = Long ? rules::WorkClass::Long : rules::WorkClass::Short,
                                  .FairnessKey = absl::StrFormat("c%d", Random() % 20),
                                  .ReplicaAllowed = Random() % 3 == 0,
                                  .MaxAge = absl::Hours(1),
                                  .Arrived = Now,
                                  .Deadline = Now + absl::Milliseconds(500)};
    Classes[Request.Id] = Request.Class;
    if (auto Refused = D.admit(Request, Now))
      Out.add(reasonName(Refused->Why));
    for (const pool::Action &A : D.next(Now)) {
      Out.add(static_cast<uint64_t>(A.Kind));
      Out.add(A.Request.Value);
      Out.add(A.Target.Value);
      if (A.Kind == pool::ActionKind::Open)
        D.connected(A.Target);
      if (A.Kind != pool::ActionKind::Start)
        continue;
      absl::Duration Time = Classes[A.Request] == rules::WorkClass::Long
                                ? absl::Milliseconds(200)
                                : absl::Microseconds(1000 + Random() % 4000);
      Running.push(
          {.At = Now + Time, .Id = A.Request, .Target = A.Target, .Class = Classes[A.Request]});
    }
  }
  return Out.value();
}

// Runs the membership protocol on a network that loses 5% of the messages. One member is frozen for
// some time and the rules change once.
uint64_t benchMembership() {
  Signature Out;
  std::mt19937_64 Random(Seed);
  Instant Now = absl::UnixEpoch();
  std::vector<std::unique_ptr<member::Membership>> Nodes;
  std::vector<member::ListedInstance> List;
  for (size_t I = 0; I < MemberCount; ++I) {
    InstanceId Id(absl::StrFormat("%d", I));
    List.push_back({.Id = Id, .LinkEndpoint = "e"});
    Nodes.push_back(std::make_unique<member::Membership>(member::MembershipOptions{
        .Self = Id, .LinkEndpoint = "e", .Incarnation = 1, .Seed = I + 1}));
  }
  std::queue<member::OutgoingHeartbeat> Queue;
  auto Enqueue = [&](std::vector<member::OutgoingHeartbeat> Sent) {
    for (member::OutgoingHeartbeat &H : Sent)
      Queue.push(std::move(H));
  };
  for (auto &N : Nodes)
    Enqueue(N->onInstanceList(List, Now));
  for (int Step = 0; Step < MembershipSteps; ++Step) {
    Now += absl::Milliseconds(100);
    bool Frozen = Step > 100 && Step < 200;
    for (size_t I = Frozen ? 1 : 0; I < MemberCount; ++I)
      Enqueue(Nodes[I]->tick(Now));
    if (Step == 150)
      Enqueue(Nodes[5]->setRulesVersion(RulesVersion(1), Now));
    while (!Queue.empty()) {
      member::OutgoingHeartbeat H = std::move(Queue.front());
      Queue.pop();
      size_t To = std::stoul(H.To.Value);
      if (Random() % 20 != 0 && !(Frozen && To == 0))
        Enqueue(Nodes[To]->onHeartbeat(H.Message, Now));
    }
    Out.add(Nodes[Random() % MemberCount]->changes());
  }
  for (const auto &N : Nodes)
    for (const member::Member &M : N->members()) {
      Out.add(static_cast<uint64_t>(M.Status));
      Out.add(M.Rules.Value);
    }
  return Out.value();
}

uint64_t benchSql() {
  static const char *const Texts[] = {
      "select * from stock where id = %d",
      "insert into bookings values (%d, 'x')",
      "update callouts set state = %d where id = 7",
      "begin",
      "commit",
      "select count(*) from (select distinct street from callouts where id > %d) s",
      "select nextval('n') + %d",
      "select * from stock for update -- %d",
      "set timezone = 'UTC'"};
  Signature Out;
  std::mt19937_64 Random(Seed);
  for (int I = 0; I < StatementCount; ++I) {
    std::string Text = Texts[Random() % std::size(Texts)];
    if (size_t At = Text.find("%d"); At != std::string::npos)
      Text.replace(At, 2, absl::StrFormat("%d", Random() % 1000));
    sql::Classification C = sql::classifyText(Text);
    Out.add(C.Fingerprint);
    for (const sql::Statement &S : C.Statements)
      Out.add(static_cast<uint64_t>(S.Kind));
  }
  return Out.value();
}

uint64_t benchRules() {
  Signature Out;
  std::mt19937_64 Random(Seed);
  std::string Text;
  for (int I = 0; I < 2000; ++I)
    Text += absl::StrFormat("read database=d%d table=t%d max_age=%ds # bench\n", I % 100, I, I + 1);
  auto Rules = capture([&] { return rules::RuleSet::parse(Text, "bench"); });
  if (!Rules) {
    std::fprintf(stderr, "toucan-bench: %s\n", Rules.Problem.Message.c_str());
    return 0;
  }
  for (int I = 0; I < RuleLookupCount; ++I) {
    uint64_t N = Random() % 2500;
    rules::Policy P = Rules->policyFor({.Database = DatabaseName(absl::StrFormat("d%d", N % 100)),
                                        .Tables = {absl::StrFormat("t%d", N)}});
    Out.add(static_cast<uint64_t>(absl::ToInt64Seconds(P.MaxAge)));
  }
  return Out.value();
}

// Classifies statements by learned run times. There are more statements than the estimator holds,
// and which of them are slow changes every 50,000 runs.
uint64_t benchRunTimes() {
  Signature Out;
  std::mt19937_64 Random(Seed);
  pool::RunTimeEstimator Times(500);
  for (int I = 0; I < RunTimeSamples; ++I) {
    uint64_t Statement = 1 + std::min(Random() % 600, Random() % 600);
    bool Slow = (Statement + static_cast<uint64_t>(I) / 50'000) % 10 == 0;
    Out.add(static_cast<uint64_t>(Times.classOf(Statement)));
    Times.record(Statement, absl::Milliseconds(Random() % (Slow ? 2000 : 300)),
                 Random() % 20 == 0 ? pool::RunEnd::Interrupted : pool::RunEnd::Completed);
  }
  return Out.value();
}

struct Part {
  const char *Name;
  uint64_t (*Run)();
};

constexpr Part Parts[] = {{"dispatch", benchDispatch},
                          {"run times", benchRunTimes},
                          {"membership", benchMembership},
                          {"sql", benchSql},
                          {"rules", benchRules}};

} // namespace

int main() {
  Signature Total;
  for (const Part &P : Parts) {
    Instant Start = monotonicNow();
    uint64_t Value = P.Run();
    std::printf("%-12s %8.1f ms  %016llx\n", P.Name,
                absl::ToDoubleMilliseconds(monotonicNow() - Start),
                static_cast<unsigned long long>(Value));
    Total.add(Value);
  }
  std::printf("Signature: %llu\n", static_cast<unsigned long long>(Total.value() % 1'000'000'000));
  return 0;
}
