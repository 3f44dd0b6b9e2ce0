// Tests and a replay of connections of several accounts at one target.
#include "placement/placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace toucan;
using namespace toucan::placement;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

AccountName account(size_t N) { return AccountName("account-" + std::to_string(N)); }

enum class Replacement : uint8_t { None, LeastReuse, MostReuse };

// One target and instances whose statements belong to accounts of different size. A statement waits
// until its instance has an idle connection of its account, and holds it for HoldMs.
struct AccountReplay {
  static constexpr size_t Instances = 30;
  static constexpr size_t Accounts = 80;
  static constexpr uint32_t Limit = 70;
  static constexpr int StepMs = 5;
  static constexpr int HoldMs = 50;
  static constexpr int ConnectMs = 92;
  static constexpr int StartLimitMs = 425; // 0.85 x 500 ms

  struct Connection {
    AccountName Account;
    Instant FreeAt;
  };
  struct Waiting {
    AccountName Account;
    Instant Arrived;
  };
  struct Instance {
    ConnectionLimit Limit;
    AccountUse Use;
    std::vector<Connection> Open;
    std::vector<Waiting> Queue;
  };

  Replacement Mode;
  std::vector<Instance> All;
  std::mt19937_64 Random{11};
  std::discrete_distribution<size_t> Sizes;
  size_t Operations = 0;
  size_t Late = 0;
  size_t Handshakes = 0;
  size_t MostOpen = 0;

  explicit AccountReplay(Replacement Mode) : Mode(Mode) {
    std::vector<double> Weights;
    for (size_t N = 1; N <= Accounts; ++N)
      Weights.push_back(std::pow(static_cast<double>(N), -1.2));
    this->Sizes = {Weights.begin(), Weights.end()};
    for (size_t I = 0; I < Instances; ++I) {
      this->All.push_back({.Limit = ConnectionLimit(at(0), I)});
      this->All.back().Limit.setLimit(Limit, Instances);
      this->All.back().Limit.onPromoted(at(0)); // a primary: all instances need it
    }
  }

  void run(int Ms, double PerSecond) {
    for (int T = 0; T < Ms; T += StepMs) {
      if (std::uniform_real_distribution<double>(0, 1)(this->Random) < PerSecond * StepMs / 1000) {
        ++this->Operations;
        Instance &I = this->All[this->Random() % Instances];
        I.Queue.push_back({.Account = account(this->Sizes(this->Random)), .Arrived = at(T)});
        I.Use.onArrival(I.Queue.back().Account, at(T));
      }
      size_t Open = 0;
      for (Instance &I : this->All) {
        this->step(I, at(T));
        Open += I.Open.size();
      }
      this->MostOpen = std::max(this->MostOpen, Open);
    }
  }

  void step(Instance &I, Instant Now) {
    this->Late += std::erase_if(I.Queue, [&](const Waiting &W) {
      return Now >= W.Arrived + absl::Milliseconds(StartLimitMs);
    });
    std::vector<Waiting> Queue = I.Queue;
    for (const Waiting &W : Queue) {
      auto Free = std::find_if(I.Open.begin(), I.Open.end(), [&](const Connection &C) {
        return C.Account == W.Account && C.FreeAt <= Now;
      });
      if (Free != I.Open.end()) {
        Free->FreeAt = Now + absl::Milliseconds(HoldMs);
        I.Use.onUsed(W.Account, Now);
        auto Served = std::find_if(I.Queue.begin(), I.Queue.end(), [&](const Waiting &Other) {
          return Other.Account == W.Account && Other.Arrived == W.Arrived;
        });
        I.Queue.erase(Served);
        continue;
      }
      bool Opening = std::any_of(I.Open.begin(), I.Open.end(), [&](const Connection &C) {
        return C.Account == W.Account && C.FreeAt > Now;
      });
      if (!Opening)
        this->openFor(I, W.Account, Now);
    }
  }

  void openFor(Instance &I, const AccountName &For, Instant Now) {
    if (I.Open.size() >= I.Limit.share()) {
      std::vector<IdleConnection> Idle;
      std::vector<size_t> Places;
      std::set<AccountName> WaitingAccounts;
      for (const Waiting &W : I.Queue)
        WaitingAccounts.insert(W.Account);
      for (size_t N = 0; N < I.Open.size(); ++N) {
        if (I.Open[N].FreeAt > Now)
          continue;
        Idle.push_back({.Account = I.Open[N].Account, .IdleSince = I.Open[N].FreeAt});
        Places.push_back(N);
      }
      if (this->Mode == Replacement::None || Idle.empty())
        return;
      std::optional<size_t> Chosen = connectionToReplace(Idle, For, I.Use, WaitingAccounts, Now);
      if (!Chosen)
        return;
      if (this->Mode == Replacement::MostReuse && Idle.size() > 1)
        Chosen = 1 - std::min<size_t>(*Chosen, 1);
      I.Open.erase(I.Open.begin() + static_cast<std::ptrdiff_t>(Places[*Chosen]));
    }
    ++this->Handshakes;
    I.Open.push_back({.Account = For, .FreeAt = Now + absl::Milliseconds(ConnectMs)});
  }
};

} // namespace

TEST_CASE("accounts: the connection with the least expected reuse is replaced") {
  AccountUse Use;
  for (int Ms = 0; Ms < 20000; Ms += 200)
    Use.onUsed(account(1), at(Ms));
  Use.onUsed(account(2), at(15000));
  CHECK(Use.rate(account(1), at(20000)) > 3);
  CHECK(Use.rate(account(1), at(20000)) < 6);
  std::vector<IdleConnection> Idle = {{.Account = account(1), .IdleSince = at(19000)},
                                      {.Account = account(2), .IdleSince = at(19500)}};
  CHECK(connectionToReplace(Idle, account(3), Use, {}, at(20000)) == 1);
  // A connection of an account that has stopped is replaced, however often it was used before.
  Use.onUsed(account(2), at(79000));
  Idle[1].IdleSince = at(79000);
  CHECK(connectionToReplace(Idle, account(3), Use, {}, at(80000)) == 0);
}

// Guards against two accounts that close each other's connection in turn.
TEST_CASE("accounts: no connection is closed whose own account has statements waiting") {
  AccountUse Use;
  std::vector<IdleConnection> Idle = {{.Account = account(1), .IdleSince = at(0)},
                                      {.Account = account(2), .IdleSince = at(500)}};
  CHECK(connectionToReplace(Idle, account(3), Use, {account(1)}, at(1000)) == 1);
  CHECK_FALSE(connectionToReplace(Idle, account(3), Use, {account(1), account(2)}, at(1000)));
  CHECK_FALSE(connectionToReplace(std::span(Idle).first(1), account(1), Use, {}, at(1000)));
}

// Guards against changed behaviour where no client accounts are configured, and against accounts
// that were removed from the configuration.
TEST_CASE("accounts: they count as used for a bounded time after a statement of a client account") {
  AccountUse Use;
  Use.onArrival(defaultAccount(), at(0));
  CHECK_FALSE(Use.severalAccounts(at(0)));
  Use.onArrival(account(1), at(0));
  CHECK(Use.severalAccounts(at(1000)));
  CHECK_FALSE(Use.severalAccounts(at(61000)));
}

// Guards against a table that grows with the number of accounts.
TEST_CASE("accounts: only a bounded number of accounts is remembered") {
  AccountUse Use;
  for (int Ms = 0; Ms < 10000; ++Ms) {
    Use.onUsed(account(0), at(Ms));
    Use.onUsed(account(1 + static_cast<size_t>(Ms)), at(Ms));
  }
  CHECK(Use.rate(account(1), at(10000)) == 0);
  CHECK(Use.rate(account(0), at(10000)) > 100);
}

// Load pattern: 30 instances, 80 accounts, 70 connections of a primary, 25 operations per second,
// the largest account sends a quarter of them. Without replacement, the first two accounts of an
// instance keep its connections.
TEST_CASE("accounts: replay of 30 instances and 80 accounts at a target with 70 connections") {
  auto Replay = [](Replacement Mode) {
    AccountReplay R(Mode);
    R.run(60000, 25);
    MESSAGE("late " << R.Late << ", opened " << R.Handshakes << " of " << R.Operations);
    return R;
  };
  AccountReplay Least = Replay(Replacement::LeastReuse);
  CHECK(Least.MostOpen <= AccountReplay::Limit);
  CHECK(static_cast<double>(Least.Late) < 0.01 * static_cast<double>(Least.Operations));
  AccountReplay None = Replay(Replacement::None);
  CHECK(static_cast<double>(None.Late) > 0.3 * static_cast<double>(None.Operations));
  // The choice saves handshakes, each of which takes 12 ms of a slot.
  AccountReplay Most = Replay(Replacement::MostReuse);
  CHECK(Least.Handshakes < Most.Handshakes);
}
