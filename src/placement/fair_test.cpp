// Replays load of several client accounts that compete for the connections of a service.
#include "placement/placement.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

WaitingStatement waiting(uint64_t Id, const std::string &Account, int ArrivedMs) {
  return {.Id = WaitingId(Id),
          .Arrived = at(ArrivedMs),
          .ObjectiveAt = latestStart(at(ArrivedMs), at(ArrivedMs + 500), absl::Milliseconds(10)),
          .StartBefore = at(ArrivedMs + 680),
          .Account = AccountName(Account)};
}

struct Served {
  std::map<std::string, int> InTime;
  std::map<std::string, int> Asked;
  double share(const std::string &Account) {
    return static_cast<double>(this->InTime[Account]) / this->Asked[Account];
  }
};

// Two connections, each statement holds one for 10 ms: room for 200 statements a second. The
// account "large" asks for 400 a second, ten others for 10 each, for two seconds. Fair: by account.
Served replay(bool Fair) {
  WaitQueue Queue;
  Served Out;
  uint64_t NextId = 1;
  auto Arrive = [&](const std::string &Account, int Ms) {
    ++Out.Asked[Account];
    Queue.add(waiting(NextId++, Fair ? Account : "one", Ms));
  };
  std::map<uint64_t, std::string> AccountOf;
  for (int Ms = 0; Ms < 2000; Ms += 5) {
    for (int I = 0; I < 2; ++I) {
      AccountOf[NextId] = "large";
      Arrive("large", Ms);
    }
    if (Ms % 10 == 0) {
      std::string Small = "small-" + std::to_string(Ms / 10 % 10);
      AccountOf[NextId] = Small;
      Arrive(Small, Ms);
    }
    Queue.takeExpired(at(Ms));
    std::vector<WaitingStatement> Granted;
    Queue.visit(at(Ms), [&](const WaitingStatement &W) {
      Granted.push_back(W);
      return false;
    });
    for (const WaitingStatement &W : Granted) {
      Queue.remove(W.Id);
      Queue.grant(W, absl::Milliseconds(10));
      if (at(Ms) <= W.ObjectiveAt)
        ++Out.InTime[AccountOf[W.Id.Value]];
    }
  }
  return Out;
}

} // namespace

// Guards against one account that sends four times what there is room for and takes the service
// from all others.
TEST_CASE("fair share: a flooding account does not keep the others from being served in time") {
  Served Fair = replay(true);
  for (int I = 0; I < 10; ++I)
    CHECK(Fair.share("small-" + std::to_string(I)) > 0.95);
  CHECK(Fair.InTime["large"] > 150); // it gets what the others leave
  Served Arrival = replay(false);
  int Starved = 0;
  for (int I = 0; I < 10; ++I)
    Starved += Arrival.share("small-" + std::to_string(I)) < 0.8 ? 1 : 0;
  CHECK(Starved == 10);
}

// Guards against a queue in which each statement starts when its objective can no longer be met.
TEST_CASE("queue: a statement counts as late when its answer would be") {
  CHECK(latestStart(at(0), at(500), absl::Milliseconds(10)) == at(490));
  CHECK(latestStart(at(0), at(500), absl::Milliseconds(900)) == at(250));
  CHECK(latestStart(at(600), at(500), absl::Milliseconds(10)) == at(500));
}

// Guards against an account that was idle and then takes all connections to make up for it.
TEST_CASE("fair share: an idle account saves up no claim") {
  FairShare Shares;
  AccountName Busy("busy");
  AccountName Idle("idle");
  for (int I = 0; I < 100; ++I)
    Shares.onGranted(Busy, 10, 1);
  CHECK(Shares.dueIn(Idle) >= Shares.dueIn(Busy) - 10);
  CHECK(Shares.dueIn(Idle) + 20 > Shares.dueIn(Busy)); // its third statement, 10 ms each
}

// Guards against weights that have no effect.
TEST_CASE("fair share: accounts get connection time in the ratio of their weights") {
  CHECK(shareWeight(0) == 1);
  CHECK(shareWeight(1) == 0.5);
  CHECK(shareWeight(1000) > 0);
  FairShare Shares;
  AccountName A("a");
  AccountName B("b");
  int GrantedToA = 0;
  for (int I = 0; I < 300; ++I) {
    bool ToA = Shares.dueIn(A) <= Shares.dueIn(B);
    GrantedToA += ToA ? 1 : 0;
    Shares.onGranted(ToA ? A : B, 10, ToA ? 1 : 0.5);
  }
  CHECK(GrantedToA >= 198);
  CHECK(GrantedToA <= 202);
}

// Guards against weights that the queue does not use: accounts "major" and "minor" of different
// priority both ask for more than there is room for, and arrive at the same times.
TEST_CASE(
    "fair share: accounts that wait get connections in the ratio of their priorities' weights") {
  auto Replay = [](int MinorPriority) {
    WaitQueue Queue;
    std::map<std::string, int> Granted;
    uint64_t NextId = 1;
    for (int Ms = 0; Ms < 2000; Ms += 10) {
      for (const char *Account : {"minor", "major"}) {
        WaitingStatement W = waiting(NextId++, Account, Ms);
        W.Weight = shareWeight(Account == std::string("minor") ? MinorPriority : 0);
        Queue.add(W);
      }
      Queue.takeExpired(at(Ms));
      std::optional<WaitingStatement> First;
      Queue.visit(at(Ms), [&](const WaitingStatement &W) {
        First = W;
        return false;
      });
      Queue.remove(First->Id);
      Queue.grant(*First, absl::Milliseconds(10));
      ++Granted[First->Account.Value];
    }
    return Granted;
  };
  std::map<std::string, int> Equal = Replay(0);
  CHECK(Equal["minor"] == 100);
  CHECK(Equal["major"] == 100);
  std::map<std::string, int> Weighted = Replay(2);
  CHECK(Weighted["major"] >= 158);
  CHECK(Weighted["major"] <= 162);
  CHECK(Weighted["minor"] == 200 - Weighted["major"]);
}

// Guards against a change of priority that lets the later statements of an account overtake its
// earlier ones.
TEST_CASE("fair share: statements of one account keep their order when its priority changes") {
  WaitQueue Queue;
  for (uint64_t Id = 1; Id <= 4; ++Id) {
    WaitingStatement W = waiting(Id, "changed", static_cast<int>(Id));
    W.Weight = shareWeight(Id <= 2 ? 4 : 0);
    Queue.add(W);
  }
  Queue.add(waiting(9, "other", 9));
  std::vector<uint64_t> Order;
  Queue.visit(at(10), [&](const WaitingStatement &W) {
    if (W.Account == AccountName("changed"))
      Order.push_back(W.Id.Value);
    return true;
  });
  CHECK(Order == std::vector<uint64_t>{1, 2, 3, 4});
}

// Guards against the turns at the primary being forgotten because of reads at the replicas. An
// account reads at replicas that are free. At the primary, which serves 100 statements a second, an
// account asks for 300 and a small one for 10.
TEST_CASE("fair share: reads at replicas do not change the turns at the primary") {
  for (bool Reads : {false, true}) {
    CAPTURE(Reads);
    WaitQueue Queue;
    Served Out;
    uint64_t NextId = 1;
    auto Arrive = [&](const std::string &Account, int Ms, bool Primary) {
      ++Out.Asked[Account];
      WaitingStatement W = waiting(NextId++, Account, Ms);
      W.NeedsPrimary = Primary;
      Queue.add(W);
    };
    auto GrantFirst = [&](int Ms, bool Primary) {
      std::optional<WaitingStatement> First;
      Queue.visit(at(Ms), [&](const WaitingStatement &W) {
        if (W.NeedsPrimary != Primary)
          return true;
        First = W;
        return false;
      });
      if (!First)
        return;
      Queue.remove(First->Id);
      Queue.grant(*First, absl::Milliseconds(10));
      if (at(Ms) <= First->ObjectiveAt)
        ++Out.InTime[First->Account.Value];
    };
    for (int Ms = 0; Ms < 3000; Ms += 5) {
      Queue.takeExpired(at(Ms));
      Arrive("large", Ms, true);
      if (Ms % 10 == 0)
        Arrive("large", Ms, true);
      if (Ms % 100 == 0)
        Arrive("small", Ms, true);
      for (int I = 0; Reads && I < 4; ++I) {
        Arrive("reader", Ms, false);
        GrantFirst(Ms, false);
      }
      if (Ms % 10 == 0)
        GrantFirst(Ms, true);
    }
    CHECK(Out.share("small") > 0.95);
    CHECK(Out.InTime["large"] > 200);
  }
}

// Guards against a change of order where no client accounts are configured.
TEST_CASE("fair share: with one account the order is by objective, priority, kind and arrival") {
  WaitQueue Queue;
  WaitingStatement Late = waiting(1, "x", -1000);
  WaitingStatement Transaction = waiting(2, "x", 0);
  Transaction.Transaction = true;
  Transaction.NeedsPrimary = true;
  WaitingStatement Single = waiting(3, "x", 5);
  WaitingStatement Minor = waiting(4, "x", 1);
  Minor.Priority = 1;
  for (const WaitingStatement &W : {Late, Transaction, Single, Minor})
    Queue.add(W);
  std::vector<uint64_t> Order;
  Queue.visit(at(10), [&](const WaitingStatement &W) {
    Order.push_back(W.Id.Value);
    return true;
  });
  CHECK(Order == std::vector<uint64_t>{3, 2, 4, 1});
}

// Guards against refusing the first statement of an account because of another account's queue.
TEST_CASE("fair share: only statements that are served before count for the expected wait") {
  std::map<AccountName, AccountQueue> Waiting = {{AccountName("large"), {.Count = 100}},
                                                 {AccountName("small"), {.Count = 1}}};
  CHECK(waitingAhead(Waiting, AccountName("new"), 1) == 2);
  CHECK(waitingAhead(Waiting, AccountName("small"), 1) == 3);
  CHECK(waitingAhead(Waiting, AccountName("large"), 1) == 101);
  CHECK(waitingAhead({{AccountName("one"), {.Count = 7}}}, AccountName("one"), 1) == 7);
}

// Guards against a statement of an account of low weight that waits until its limit, because the
// expected wait assumes equal weights.
TEST_CASE("fair share: the expected wait follows from the weights") {
  std::map<AccountName, AccountQueue> Waiting = {
      {AccountName("major"), {.Count = 100}}, {AccountName("minor"), {.Count = 3, .Weight = 0.25}}};
  CHECK(waitingAhead(Waiting, AccountName("minor"), 0.25) == 3 + 13);
  CHECK(waitingAhead(Waiting, AccountName("major"), 1) == 100 + 3);
  Waiting[AccountName("major")].Count = 5;
  CHECK(waitingAhead(Waiting, AccountName("major"), 1) == 5 + 2);
}
