#include "pool/pool.h"
#include "wire/wire.h"

#include <doctest/doctest.h>

#include <vector>

using namespace toucan;
using namespace toucan::pool;

namespace {

// Returns a group state only while the group is reported as in use, as the service does for a
// database that another instance owns.
class WatcherOfUsedGroups final : public group::Watcher {
public:
  std::vector<bool> InUseCalls;
  group::GroupState Group;

  void setInUse(const DatabaseName &, bool InUse) override { this->InUseCalls.push_back(InUse); }
  const group::GroupState *state(const DatabaseName &) const override {
    return !this->InUseCalls.empty() && this->InUseCalls.back() ? &this->Group : nullptr;
  }
  void confirm(const DatabaseName &, LogPosition, Instant,
               std::function<void(group::ConfirmResult)> Then) override {
    Then(group::ConfirmResult::DeadlineExceeded);
  }
  void verify(const DatabaseName &, Instant,
              std::function<void(std::optional<LogPosition>)> Then) override {
    Then(std::nullopt);
  }
};

proto::Envelope readRequest(uint64_t Id) {
  proto::Envelope M;
  proto::ExecRequest *E = M.mutable_exec();
  E->set_request_id(Id);
  E->set_database("rounds");
  E->set_kind(proto::READ);
  E->set_frames(wire::query("select 1"));
  E->set_budget_us(60'000'000);
  return M;
}

} // namespace

// Guards against delivery of an answer for an earlier process of an instance to the restarted one.
// Request ids start over after a restart, so a caller would get the answer to another caller's
// request.
TEST_CASE("replies carry the incarnation of the requester") {
  Loop L;
  Metrics M;
  WatcherOfUsedGroups Groups;
  std::vector<proto::Envelope> Sent;
  PoolService Pool(
      L, {.Self = InstanceId("a")},
      [&](const InstanceId &, proto::Envelope E) {
        Sent.push_back(std::move(E));
        return true;
      },
      Groups, M);
  auto View = std::make_shared<member::View>();
  View->Rules = std::make_shared<rules::RuleSet>();
  View->RulesKnown = true;
  Pool.onView(View);
  proto::Envelope Request = readRequest(1);
  Request.set_incarnation(7);
  Pool.onEnvelope(InstanceId("b"), Request);
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].done().reason() == static_cast<uint32_t>(Reason::UnknownDatabase));
  CHECK(Sent[0].to_incarnation() == 7);
}

// Guards against a request at an instance that has just lost ownership waiting until its deadline
// because the group state is no longer updated.
TEST_CASE("a request for a database reports its group as in use, whichever instance owns it") {
  Loop L;
  Metrics M;
  WatcherOfUsedGroups Groups;
  Groups.Group.Database = DatabaseName("rounds");
  PoolService Pool(
      L, {.Self = InstanceId("a")},
      [](const InstanceId &, const proto::Envelope &) { return true; }, Groups, M);
  auto View = std::make_shared<member::View>();
  View->Self = InstanceId("a");
  View->Groups.push_back({.Name = DatabaseName("rounds"), .SlotsPerTarget = 2});
  View->Rules = std::make_shared<rules::RuleSet>();
  View->RulesKnown = true;
  Pool.onView(View);
  Pool.onEnvelope(InstanceId("b"), readRequest(1));
  Pool.onEnvelope(InstanceId("b"), readRequest(2));
  CHECK(Groups.InUseCalls == std::vector<bool>{true});
}
