// Searches all interleavings of two instances, three servers, the claim's row and the platform up
// to a bound, and checks in each state that no acknowledged commit is lost, that no replaced
// primary acknowledges one, that no proved read is stale, and that tokens are sent in ascending
// order. From a sample of the states the system then runs without further faults, and must end with
// a primary. Guards against faults of the change of primary that need a rare order of events.
#include "placement/placement.h"
#include "promotion/promotion.h"

#include "absl/container/flat_hash_set.h"
#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <vector>

using namespace toucan;
using namespace toucan::promotion;

namespace {

constexpr size_t ServerCount = 3;
constexpr size_t InstanceCount = 2;
constexpr uint32_t Copies = 1;
constexpr int64_t PromotionMs = 300;
// A run without faults must end within this time.
constexpr int64_t RecoveryMs = 60000;
// States that differ in times by less are taken for the same.
constexpr absl::Duration TimeResolution = absl::Seconds(1);
// Every so many states are followed to their end without faults.
constexpr uint64_t RecoverySample = 61;

struct Contract {
  bool TokensChecked = true;
  bool ReplacedPrimaryGoesOn = false; // until it is told to step down or learns of the new one
};

// Events that a run may hold.
struct Budget {
  int Commits = 1;
  int Changes = 2; // changes that an instance begins
  int Waits = 3;   // deadlines that pass while an instance waits for nothing else
  // Changes begun with an old belief, lost messages and answers, orders executed late, crashes,
  // cuts, time in which all instances stand still, and deadlines that pass before an answer
  // arrives.
  int Faults = 1;
};

struct Server {
  bool Up = true;
  bool Leads = false;
  uint64_t Term = 1;
  uint64_t Held = 0;
  bool CrashedPaused = false; // it lost a pause that an open case needs, see addFaults()
  struct Entry {
    uint8_t Commit; // id
    uint8_t InTerm;
    bool operator==(const Entry &) const = default;
  };
  std::vector<Entry> Log;

  bool holds(uint8_t Commit) const {
    return std::any_of(this->Log.begin(), this->Log.end(),
                       [Commit](const Entry &E) { return E.Commit == Commit; });
  }
  LogPosition position() const {
    return {.InTerm = toucan::Term(this->Log.empty() ? 0 : this->Log.back().InTerm),
            .Position = this->Log.size()};
  }
};

struct Order {
  size_t To = 0;
  uint64_t Token = 0;
  bool Late = false; // its call has timed out at the instance
  size_t From = 0;
};

// An action that was sent and not executed yet.
struct SentAction {
  Action What;
  bool Ended = false; // its change has ended; the answer is ignored
};

struct Instance {
  std::optional<PrimaryChange> Change;
  std::deque<SentAction> Pending;
  uint64_t KnownVersion = 0;
  std::optional<ClaimRow> KnownRow;
};

TargetId idOf(size_t I) { return TargetId(std::string(1, static_cast<char>('a' + I))); }
size_t indexOf(const TargetId &Id) { return static_cast<size_t>(Id.Value[0] - 'a'); }

struct World {
  std::array<Server, ServerCount> Servers;
  std::array<Instance, InstanceCount> Instances;
  std::vector<Order> Orders; // sent to the platform and not executed yet
  std::optional<ClaimRow> Row;
  uint64_t RowVersion = 0;
  uint64_t HighestToken = 0;
  uint8_t NextCommit = 1;
  std::vector<uint8_t> Acknowledged;
  std::optional<size_t> CutServer; // reaches instance 0 only
  bool Unfenced = false;           // a change may replace a primary that has not stepped down
  Budget Left;
  int64_t NowMs = 0;
  std::string Violation;

  Instant now() const { return absl::UnixEpoch() + absl::Milliseconds(this->NowMs); }
  bool serversConnected(size_t A, size_t B) const {
    return !this->CutServer || (*this->CutServer != A && *this->CutServer != B);
  }
  bool reaches(size_t Inst, size_t To) const {
    return this->Servers[To].Up && (Inst == 0 || this->CutServer != To);
  }
  uint64_t newestTerm() const {
    uint64_t Newest = 0;
    for (const Server &S : this->Servers)
      Newest = std::max(Newest, S.Term);
    return Newest;
  }
  bool holdsAcknowledged(const Server &S) const {
    return std::all_of(this->Acknowledged.begin(), this->Acknowledged.end(),
                       [&](uint8_t C) { return S.holds(C); });
  }
  void fail(std::string Text) {
    if (this->Violation.empty())
      this->Violation = std::move(Text);
  }
};

// One event that can happen next.
struct Event {
  std::string Text;
  std::function<void(World &)> Run;
};

class Explorer {
public:
  Explorer(Contract Rules, Budget Limits) : Rules(Rules), Limits(Limits) {}

  World start() const {
    World W;
    W.Servers[0].Leads = true;
    W.Left = this->Limits;
    return W;
  }

  // Visits all states; returns the trace to the first violation, empty if there is none.
  std::vector<std::string> search(std::chrono::milliseconds Limit) {
    auto Until = std::chrono::steady_clock::now() + Limit;
    this->Trail.clear();
    this->Seen.insert(fingerprint(this->start()));
    return this->visit(this->start(), Until) ? this->Trail : std::vector<std::string>();
  }
  uint64_t states() const { return this->Seen.size(); }
  bool complete() const { return this->Complete; }

private:
  static uint64_t fingerprint(const World &W) {
    std::string T;
    for (const Server &S : W.Servers) {
      absl::StrAppend(&T, S.Up, S.Leads, S.CrashedPaused, S.Term, " ", S.Held, ":");
      for (const Server::Entry &E : S.Log)
        absl::StrAppend(&T, E.Commit, ".", E.InTerm, ",");
    }
    for (const Instance &I : W.Instances) {
      absl::StrAppend(&T, "/", I.KnownVersion, I.Change.has_value());
      if (I.Change)
        I.Change->appendState(T, W.now(), TimeResolution);
      for (const auto &[A, Ended] : I.Pending)
        absl::StrAppend(&T, ";", static_cast<int>(A.Kind), A.Target.Value, A.InTerm.Value, ".",
                        A.Token.Value, Ended);
    }
    for (const Order &O : W.Orders)
      absl::StrAppend(&T, "!", O.To, " ", O.Token, O.Late, O.From);
    if (W.Row)
      absl::StrAppend(&T, "r", W.Row->Holder.Value,
                      (W.NowMs - W.Row->TakenAtMs) / absl::ToInt64Milliseconds(TimeResolution), " ",
                      W.Row->Orders.size());
    T.append("k").append(W.Acknowledged.begin(), W.Acknowledged.end());
    const Budget &B = W.Left;
    absl::StrAppend(&T, "b", B.Commits, B.Changes, B.Waits, " ", B.Faults, " ", W.RowVersion, " ",
                    W.HighestToken, " ", W.CutServer ? static_cast<int>(*W.CutServer) : -1,
                    W.Unfenced);
    return absl::Hash<std::string>()(T);
  }

  bool visit(const World &W, std::chrono::steady_clock::time_point Until) {
    if (std::chrono::steady_clock::now() > Until) {
      this->Complete = false;
      return false;
    }
    for (const Event &E : this->events(W)) {
      World Next = W;
      E.Run(Next);
      this->checkInvariants(Next);
      this->Trail.push_back(absl::StrCat(Next.NowMs, " ms: ", E.Text));
      if (!Next.Violation.empty()) {
        this->Trail.push_back(Next.Violation);
        return true;
      }
      uint64_t Key = fingerprint(Next);
      if (this->Seen.insert(Key).second) {
        if (Key % RecoverySample == 0 && !this->recovers(Next)) {
          this->Trail.push_back("no primary after a time without faults");
          return true;
        }
        if (this->visit(Next, Until))
          return true;
      }
      this->Trail.pop_back();
    }
    return false;
  }

  void checkInvariants(World &W) const {
    // A read is answered when the primary of a term and enough witnesses were in that term.
    placement::LeadEvidence Evidence;
    for (size_t L = 0; L < ServerCount; ++L) {
      const Server &S = W.Servers[L];
      if (!S.Up || !S.Leads || W.holdsAcknowledged(S))
        continue;
      Evidence.setGroup(ServerCount, Copies);
      for (size_t R = 0; R < ServerCount; ++R)
        if (R != L && W.Servers[R].Up)
          Evidence.onWitness(idOf(R), Term(W.Servers[R].Term), W.now());
      if (Evidence.witnessedAt({.Leader = idOf(L), .InTerm = Term(S.Term)}) != absl::InfinitePast())
        W.fail(absl::StrCat("STALE: a proved read at ", idOf(L).Value, " lacks a commit"));
    }
  }

  std::vector<Event> events(const World &W) const {
    std::vector<Event> Out;
    this->addReplication(W, Out);
    this->addInstances(W, Out);
    this->addPlatform(W, Out);
    this->addFaults(W, Out);
    return Out;
  }

  void addReplication(const World &W, std::vector<Event> &Out) const {
    for (size_t L = 0; L < ServerCount; ++L) {
      const Server &S = W.Servers[L];
      if (!S.Up || !S.Leads)
        continue;
      if (W.Left.Commits > 0)
        Out.push_back({absl::StrCat("write at ", idOf(L).Value), [L](World &X) {
                         --X.Left.Commits;
                         Server &At = X.Servers[L];
                         At.Log.push_back(
                             {.Commit = X.NextCommit++, .InTerm = static_cast<uint8_t>(At.Term)});
                       }});
      for (size_t R = 0; R < ServerCount; ++R)
        if (canReplicate(W, L, R) && W.Servers[R].Log != S.Log)
          Out.push_back({absl::StrCat(idOf(R).Value, " receives from ", idOf(L).Value),
                         [L, R](World &X) { replicate(X, L, R); }});
    }
    // A replaced primary learns of the new one when it reaches it.
    for (size_t L = 0; L < ServerCount; ++L)
      for (size_t N = 0; N < ServerCount; ++N)
        if (W.Servers[L].Up && W.Servers[L].Leads && W.Servers[N].Up && W.Servers[N].Leads &&
            W.Servers[N].Term > W.Servers[L].Term && W.serversConnected(L, N))
          Out.push_back({absl::StrCat(idOf(L).Value, " learns of ", idOf(N).Value),
                         [L](World &X) { X.Servers[L].Leads = false; }});
  }

  static bool canReplicate(const World &W, size_t L, size_t R) {
    const Server &From = W.Servers[L];
    const Server &To = W.Servers[R];
    return L != R && To.Up && !To.Leads && To.Held <= To.Term && To.Term <= From.Term &&
           W.serversConnected(L, R);
  }

  static void replicate(World &W, size_t L, size_t R) {
    Server &From = W.Servers[L];
    W.Servers[R].Log = From.Log;
    W.Servers[R].Term = From.Term;
    for (const Server::Entry &E : From.Log) {
      if (std::find(W.Acknowledged.begin(), W.Acknowledged.end(), E.Commit) != W.Acknowledged.end())
        continue;
      W.Acknowledged.push_back(E.Commit);
      if (From.Term < W.newestTerm())
        W.fail(
            absl::StrCat("ONE: ", idOf(L).Value, " acknowledges a commit after its replacement"));
    }
  }

  void addInstances(const World &W, std::vector<Event> &Out) const {
    for (size_t I = 0; I < InstanceCount; ++I) {
      const Instance &X = W.Instances[I];
      this->addPending(W, I, Out);
      if (!X.Change) {
        if (W.Left.Changes > 0)
          this->addBegin(W, I, Out);
        continue;
      }
      bool Idle = std::all_of(X.Pending.begin(), X.Pending.end(),
                              [](const SentAction &S) { return S.Ended; }) &&
                  !orderPending(W, I);
      if (Idle ? W.Left.Waits > 0 : W.Left.Faults > 0)
        Out.push_back({absl::StrCat("time passes at ", I), [this, I, Idle](World &Y) {
                         --(Idle ? Y.Left.Waits : Y.Left.Faults);
                         this->passTime(Y, I);
                       }});
    }
  }

  // Commands to one target stay in order; those to different targets may overtake each other.
  void addPending(const World &W, size_t I, std::vector<Event> &Out) const {
    const Instance &X = W.Instances[I];
    for (size_t K = 0; K < X.Pending.size(); ++K) {
      const Action &A = X.Pending[K].What;
      bool First = std::none_of(X.Pending.begin(), X.Pending.begin() + static_cast<long>(K),
                                [&](const SentAction &B) { return B.What.Target == A.Target; });
      if (!First)
        continue;
      Out.push_back({describe(I, A), [this, I, K](World &Y) { this->perform(Y, I, K, false); }});
      if (X.Pending[K].Ended || W.Left.Faults == 0)
        continue;
      if (isCommand(A.Kind))
        Out.push_back({describe(I, A) + " is lost", [I, K](World &Y) {
                         --Y.Left.Faults;
                         auto &P = Y.Instances[I].Pending;
                         P.erase(P.begin() + static_cast<long>(K));
                       }});
      else
        Out.push_back({describe(I, A) + ", answer lost", [this, I, K](World &Y) {
                         --Y.Left.Faults;
                         this->perform(Y, I, K, true);
                       }});
    }
  }

  static bool isCommand(ActionKind K) {
    return K == ActionKind::Status || K == ActionKind::Pause || K == ActionKind::StepDown ||
           K == ActionKind::Fence;
  }
  static bool orderPending(const World &W, size_t I) {
    return std::any_of(W.Orders.begin(), W.Orders.end(),
                       [I](const Order &O) { return O.From == I && !O.Late; });
  }

  static std::string describe(size_t I, const Action &A) {
    static constexpr std::array<const char *, 10> Names = {
        "claim", "record",    "pause",   "status", "observe",
        "fence", "step down", "promote", "adopt",  "finish"};
    return absl::StrCat("instance ", I, ": ", Names[static_cast<size_t>(A.Kind)], " ",
                        A.Target.Value, " term ", A.InTerm.Value, " token ", A.Token.Value);
  }

  void addBegin(const World &W, size_t I, std::vector<Event> &Out) const {
    size_t Newest = 0;
    for (size_t L = 0; L < ServerCount; ++L)
      if (W.Servers[L].Leads &&
          (!W.Servers[Newest].Leads || W.Servers[L].Term > W.Servers[Newest].Term))
        Newest = L;
    for (size_t Believed = 0; Believed < ServerCount; ++Believed) {
      bool Stale = Believed != Newest;
      // Only servers that have been primary are believed to be it.
      if (Stale && (W.Left.Faults == 0 || Believed != 0))
        continue;
      for (ChangeKind Kind : {ChangeKind::Failover, ChangeKind::Switchover})
        Out.push_back({absl::StrCat("instance ", I, " begins a ",
                                    Kind == ChangeKind::Failover ? "failover" : "switchover",
                                    ", primary ", idOf(Believed).Value),
                       [this, I, Believed, Kind, Stale](World &Y) {
                         --Y.Left.Changes;
                         Y.Left.Faults -= Stale ? 1 : 0;
                         this->begin(Y, I, Believed, Kind);
                       }});
    }
  }

  void begin(World &W, size_t I, size_t Believed, ChangeKind Kind) const {
    std::vector<Member> Members;
    for (size_t S = 0; S < ServerCount; ++S)
      Members.push_back({.Id = idOf(S), .Primary = S == Believed});
    Instance &X = W.Instances[I];
    W.Unfenced = W.Unfenced || Kind == ChangeKind::Switchover;
    X.Change.emplace(
        PrimaryChange::Options{.AcknowledgedCopies = Copies,
                               .GroupSize = ServerCount,
                               .NewestTerm = Term(Believed == 0 ? 1 : W.Servers[Believed].Term),
                               .Kind = Kind,
                               .TokensChecked = this->Rules.TokensChecked},
        std::move(Members), W.now());
    this->enqueue(W, I, X.Change->start(W.now()));
  }

  void enqueue(World &W, size_t I, const std::vector<Action> &Actions) const {
    Instance &X = W.Instances[I];
    for (const Action &A : Actions) {
      if (A.Kind == ActionKind::Finish) {
        X.Change.reset();
        // Commands that were sent are still executed; calls to the platform stay in Orders.
        std::erase_if(X.Pending, [](const SentAction &B) { return !isCommand(B.What.Kind); });
        for (SentAction &B : X.Pending)
          B.Ended = true;
        return;
      }
      if (A.Kind == ActionKind::Adopt)
        continue;
      if (A.Kind == ActionKind::Promote) {
        if (!this->Rules.TokensChecked && A.Token.Value < W.HighestToken)
          W.fail("ONE: an order with a lower token is sent");
        if (this->Rules.TokensChecked && A.Token.Value < W.HighestToken) {
          this->enqueue(W, I, X.Change->onPromote(PromoteOutcome::Superseded, W.now()));
          return;
        }
        W.HighestToken = std::max(W.HighestToken, A.Token.Value);
        W.Orders.push_back({.To = indexOf(A.Target), .Token = A.Token.Value, .From = I});
        continue;
      }
      X.Pending.push_back({.What = A});
    }
  }

  // Executes pending action K. Its answer reaches the instance unless it is lost.
  void perform(World &W, size_t I, size_t K, bool AnswerLost) const {
    Instance &X = W.Instances[I];
    auto [A, Ended] = X.Pending[K];
    X.Pending.erase(X.Pending.begin() + static_cast<long>(K));
    switch (A.Kind) {
    case ActionKind::Claim:
    case ActionKind::Record:
      this->writeRow(W, I, A, AnswerLost);
      return;
    case ActionKind::Observe:
    case ActionKind::Fence:
      this->askObserver(W, I, A, Ended, AnswerLost);
      return;
    case ActionKind::Status:
    case ActionKind::Pause:
    case ActionKind::StepDown: {
      size_t T = indexOf(A.Target);
      if (!W.reaches(I, T)) {
        if (!Ended)
          this->enqueue(W, I, X.Change->onStatus(A.Target, std::nullopt, W.now()));
        return;
      }
      Server &S = W.Servers[T];
      if (A.Kind == ActionKind::Pause && !S.Leads && A.InTerm.Value > S.Term)
        S.Held = std::max(S.Held, A.InTerm.Value);
      if (A.Kind == ActionKind::StepDown && S.Leads && S.Term < A.InTerm.Value)
        S.Leads = false;
      if (Ended)
        return;
      this->enqueue(W, I,
                    X.Change->onStatus(A.Target,
                                       TargetStatus{.Primary = S.Leads,
                                                    .CurrentTerm = Term(S.Term),
                                                    .Received = S.position(),
                                                    .PauseTerm = Term(S.Held)},
                                       W.now()));
      return;
    }
    default:
      return;
    }
  }

  // Any instance may reach the target.
  void askObserver(World &W, size_t I, const Action &A, bool Ended, bool AnswerLost) const {
    Instance &X = W.Instances[I];
    size_t T = indexOf(A.Target);
    Server &S = W.Servers[T];
    Observation O{.Reached = !AnswerLost && (W.reaches(0, T) || W.reaches(1, T))};
    if (O.Reached && A.Kind == ActionKind::Fence && S.Leads && S.Term < A.InTerm.Value)
      S.Leads = false;
    if (O.Reached)
      O.Status = TargetStatus{.Primary = S.Leads,
                              .CurrentTerm = Term(S.Term),
                              .Received = S.position(),
                              .PauseTerm = Term(S.Held)};
    if (Ended)
      return;
    W.Unfenced = W.Unfenced || !O.Reached;
    this->enqueue(W, I,
                  A.Kind == ActionKind::Observe ? X.Change->onObserved(O, W.now())
                                                : X.Change->onFenced(O, W.now()));
  }

  // The conditional writes of Claimer, each as one step.
  void writeRow(World &W, size_t I, const Action &A, bool AnswerLost) const {
    Instance &X = W.Instances[I];
    InstanceId Self(absl::StrCat("i", I));
    bool Record = A.Kind == ActionKind::Record;
    bool Allowed = Record
                       ? X.KnownVersion == W.RowVersion && X.KnownRow && X.KnownRow->Holder == Self
                       : canTakeClaim(W.Row, Self, W.NowMs);
    ClaimResult R{.Outcome = ClaimOutcome::HeldByOther, .StoreNowMs = W.NowMs};
    if (Allowed) {
      ClaimRow New{.Holder = Self, .TakenAtMs = W.NowMs};
      if (W.Row)
        New.Orders = W.Row->Orders;
      std::erase_if(New.Orders, [&](const RecordedOrder &O) {
        return W.NowMs - O.RecordedAtMs >= MaxOrderDelayMs ||
               std::find(A.Void.begin(), A.Void.end(), O) != A.Void.end();
      });
      if (Record)
        New.Orders.push_back({.Target = A.Target, .AboveTerm = A.InTerm, .RecordedAtMs = W.NowMs});
      W.Row = New;
      ++W.RowVersion;
      R = {.Outcome = ClaimOutcome::Granted,
           .Token = FencingToken(W.RowVersion),
           .Orders = New.Orders,
           .StoreNowMs = W.NowMs};
    }
    if (AnswerLost) {
      R = {.Outcome = ClaimOutcome::StoreFailed};
    } else {
      X.KnownVersion = W.RowVersion;
      X.KnownRow = W.Row;
    }
    this->enqueue(W, I, Record ? X.Change->onRecord(R, W.now()) : X.Change->onClaim(R, W.now()));
  }

  void addPlatform(const World &W, std::vector<Event> &Out) const {
    for (size_t K = 0; K < W.Orders.size(); ++K) {
      const Order &O = W.Orders[K];
      std::string Text =
          absl::StrCat("the platform promotes ", idOf(O.To).Value, ", token ", O.Token);
      Out.push_back({Text, [this, K](World &X) { this->executeOrder(X, K, false); }});
      if (!O.Late && W.Left.Faults > 0)
        Out.push_back({Text + ", answer lost", [this, K](World &X) {
                         --X.Left.Faults;
                         this->executeOrder(X, K, true);
                       }});
      if (!O.Late && W.Left.Faults > 0)
        Out.push_back({Text + " later", [this, K](World &X) {
                         --X.Left.Faults;
                         X.Orders[K].Late = true;
                         size_t From = X.Orders[K].From;
                         if (X.Instances[From].Change)
                           this->enqueue(X, From,
                                         X.Instances[From].Change->onPromote(
                                             PromoteOutcome::Unknown, X.now()));
                       }});
    }
  }

  void executeOrder(World &W, size_t K, bool AnswerLost) const {
    Order O = W.Orders[K];
    W.Orders.erase(W.Orders.begin() + static_cast<long>(K));
    PromoteOutcome Outcome = PromoteOutcome::Accepted;
    if (this->Rules.TokensChecked && O.Token < W.HighestToken)
      Outcome = PromoteOutcome::Superseded;
    else if (!W.Servers[O.To].Up)
      Outcome = PromoteOutcome::NotRunning;
    else
      this->promote(W, O.To);
    Instance &X = W.Instances[O.From];
    if (O.Late || !X.Change)
      return;
    this->enqueue(W, O.From,
                  X.Change->onPromote(AnswerLost ? PromoteOutcome::Unknown : Outcome, W.now()));
  }

  void promote(World &W, size_t To) const {
    Server &S = W.Servers[To];
    uint64_t Newest = W.newestTerm();
    if (S.Leads && S.Term == Newest)
      return;
    if (!W.holdsAcknowledged(S))
      W.fail(absl::StrCat("LOST: ", idOf(To).Value, " lacks an acknowledged commit"));
    for (size_t R = 0; R < ServerCount; ++R) {
      Server &X = W.Servers[R];
      bool GoesOn = X.Leads && R != To && this->Rules.ReplacedPrimaryGoesOn;
      X.Held = 0;
      if (GoesOn || !X.Up)
        continue;
      X.Leads = false;
      X.Term = Newest + 1;
      if (X.Log.size() > S.Log.size())
        X.Log = S.Log;
    }
    S.Leads = true;
  }

  // Time passes until the next deadline of the instance. Orders are executed before they expire.
  void passTime(World &W, size_t I) const {
    Instance &X = W.Instances[I];
    Instant Next = std::max(W.now(), X.Change->nextDeadline());
    W.NowMs = absl::ToUnixMillis(Next);
    if (X.Change->nextDeadline() > W.now())
      ++W.NowMs;
    this->enqueue(W, I, X.Change->onTimer(W.now()));
  }

  void addFaults(const World &W, std::vector<Event> &Out) const {
    for (size_t S = 0; S < ServerCount; ++S) {
      if (W.Servers[S].Up && W.Left.Faults > 0)
        Out.push_back({absl::StrCat(idOf(S).Value, " crashes"), [S](World &X) {
                         --X.Left.Faults;
                         X.Servers[S].Up = false;
                         X.Servers[S].CrashedPaused = X.Servers[S].Held > X.Servers[S].Term;
                       }});
      // A paused replica that restarts follows the old primary again. That is an open case where
      // the primary has not stepped down: in a switchover, and if no instance reaches it.
      if (!W.Servers[S].Up && !(W.Servers[S].CrashedPaused && W.Unfenced))
        Out.push_back({absl::StrCat(idOf(S).Value, " restarts"), [S](World &X) { restart(X, S); }});
    }
    if (!W.CutServer && W.Left.Faults > 0)
      Out.push_back({"a is cut off with instance 0", [](World &X) {
                       --X.Left.Faults;
                       X.CutServer = 0;
                     }});
    if (W.CutServer)
      Out.push_back({"the cut ends", [](World &X) { X.CutServer.reset(); }});
    if (W.Left.Faults > 0)
      Out.push_back({"all stand still until claims expire", [](World &X) {
                       --X.Left.Faults;
                       X.NowMs += ClaimHoldMs;
                     }});
  }

  static void restart(World &W, size_t S) {
    Server &X = W.Servers[S];
    X.Up = true;
    X.Held = 0;
    X.CrashedPaused = false;
    if (X.Term < W.newestTerm())
      X.Leads = false;
  }

  // Runs the system without further faults and returns whether a primary leads the newest term in
  // the end, with all servers connected to it.
  bool recovers(World W) const {
    W.Left = {.Commits = 0, .Changes = 0, .Waits = 100000, .Faults = 0};
    W.CutServer.reset();
    int64_t Until = W.NowMs + RecoveryMs;
    bool Restarted = false;
    while (W.NowMs < Until && W.Violation.empty()) {
      std::vector<Event> Next = this->events(W);
      if (Next.empty() && !std::exchange(Restarted, true)) {
        for (size_t S = 0; S < ServerCount; ++S)
          if (!W.Servers[S].Up)
            restart(W, S);
        continue;
      }
      if (!Next.empty()) {
        Next.front().Run(W);
        continue;
      }
      if (settled(W))
        return true;
      // Both instances find that there is no primary, one after the other.
      size_t I = static_cast<size_t>(W.NowMs / 1000) % InstanceCount;
      W.NowMs += 1000;
      if (!W.Instances[I].Change)
        this->begin(W, I, 0, ChangeKind::Failover);
    }
    return W.Violation.empty() && settled(W);
  }

  static bool settled(const World &W) {
    for (const Server &S : W.Servers)
      if (S.Leads && S.Term == W.newestTerm())
        return true;
    return false;
  }

  Contract Rules;
  Budget Limits;
  absl::flat_hash_set<uint64_t> Seen;
  std::vector<std::string> Trail;
  bool Complete = true;
};

// Bounds that the environment sets for longer searches by hand.
int bound(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

// Searches small bounds first: faults that need few events are then found in a time-limited search.
void explore(const std::string &Name, Contract Rules) {
  Budget Limits;
  Limits.Waits = bound("TOUCAN_EXPLORE_WAITS", Limits.Waits);
  Limits.Faults = bound("TOUCAN_EXPLORE_FAULTS", Limits.Faults);
  const std::array<Budget, 3> Stages = {
      {{.Changes = 1, .Waits = 2, .Faults = 1}, {.Changes = 2, .Waits = 1, .Faults = 1}, Limits}};
  std::chrono::milliseconds Limit(1000LL * bound("TOUCAN_EXPLORE_SECONDS", 25) / Stages.size());
  for (const Budget &B : Stages) {
    Explorer E(Rules, B);
    auto Started = std::chrono::steady_clock::now();
    std::vector<std::string> Trace = E.search(Limit);
    std::chrono::duration<double> Elapsed = std::chrono::steady_clock::now() - Started;
    MESSAGE(Name << ": changes " << B.Changes << ", waits " << B.Waits << ", faults " << B.Faults
                 << ": " << E.states() << " states in " << Elapsed.count() << " s, "
                 << std::string(E.complete() ? "all" : "time limit reached"));
    std::string Text;
    for (const std::string &Line : Trace)
      absl::StrAppend(&Text, "\n  ", Line);
    INFO(Text);
    CHECK(Trace.empty());
  }
}

} // namespace

TEST_CASE("model: search with tokens checked, a replaced primary ends at once") {
  explore("checked", {.TokensChecked = true, .ReplacedPrimaryGoesOn = false});
}

TEST_CASE("model: search with tokens not checked, a replaced primary goes on") {
  explore("unchecked", {.TokensChecked = false, .ReplacedPrimaryGoesOn = true});
}
