// Model checker for primary changes, write confirmation and verified reads. It explores all
// interleavings of a small group breadth-first. The decisions are made by the production classes
// Attempt, Confirmer and Verifier. The servers behave as in docs/platform.md. A lost message is
// modelled as one that is never delivered.
#ifndef TOUCAN_GROUP_TEST_MODEL_H
#define TOUCAN_GROUP_TEST_MODEL_H

#include "group/attempt.h"
#include "group/confirm.h"
#include "group/test_server.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_format.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucan::group {

constexpr size_t ServerCount = 3;
constexpr size_t ProposerCount = 2;
constexpr size_t TermLimit = 5; // all terms are below this number
inline constexpr std::array<const char *, ProposerCount> ProposerNames = {"a", "b"};

struct ModelOptions {
  uint8_t MaxTerm = 3;
  uint8_t MaxWrites = 2;
  uint8_t MaxCrashes = 1;
  // Starts with a primary in term 1 and all other servers as its replicas.
  bool StartsWithPrimary = true;
  // Answers to accept calls may be delayed. Otherwise they arrive at once or are lost, which leads
  // to the same decisions. A delayed answer has the effect of a delayed call, because the log of a
  // fenced server does not change. The promote call that results may be delayed in either case.
  bool DelaysReplies = false;
  // Log entries in transit may arrive after their primary was fenced.
  bool DelaysReplication = false;
  // Planted fault: a replica that accepts a term reports only the entries that it knows to match
  // the primary's log, instead of the end of its own log.
  bool ReportsOnlyMatched = false;
  // Includes one verified read, at any time after an acknowledged write.
  bool VerifiesRead = false;
  AttemptRules Rules;
  size_t (*ConfirmQuorum)(size_t) = majorityOf;
  size_t (*VerifyQuorum)(size_t) = majorityOf;
};

// An answer in transit to a proposer, from a server that accepted its term.
struct Reply {
  uint8_t Proposer = 0;
  uint8_t Server = 0;
  Status Row;
  friend bool operator==(const Reply &, const Reply &) = default;
};

struct Write {
  LogPosition At;
  // Appended after a majority had accepted a later term, so it must never be confirmed.
  bool AppendedAfterTerm = false;
  bool Acknowledged = false;
};

struct ProposerState {
  std::optional<Attempt> CurrentAttempt;
  uint8_t LastTerm = 0;
};

// Calls and primary of one term.
struct TermState {
  // Accept calls of the proposer were sent, and may arrive at any time.
  std::array<bool, ProposerCount> AcceptSent{};
  // N: a promote call is in transit to server N - 1. 0: none.
  std::array<uint8_t, ProposerCount> PromoteTarget{};
  uint8_t Primary = 0;    // N: server N - 1 was promoted; 0: none
  size_t StartLength = 0; // log length at promotion, with the term's first entry
  SmallLog Log;           // log of the primary, kept after the term has ended
};

// One state of the whole group, with the messages in transit.
struct Model {
  std::array<ModelServer, ServerCount> Servers;
  std::array<ProposerState, ProposerCount> Proposers;
  std::array<TermState, TermLimit> Terms;
  std::vector<Reply> Replies;
  PerServer<Write> Writes;
  uint8_t Crashes = 0;
  // Number of writes acknowledged before the verified read started. 0: not started.
  uint8_t WritesBeforeRead = 0;
  bool ReadEnded = false;
  std::vector<std::optional<Status>> ReadRows; // answers to the verified read, by server
};

// Explores the states of a model until all are visited or a guarantee is violated.
class Explorer {
public:
  explicit Explorer(ModelOptions Options) : Options(Options) {}

  // Returns a description of the first violation, or no value after all states were visited.
  std::optional<std::string> explore() {
    this->visit(this->initial());
    while (!this->Frontier.empty() && !this->Violation) {
      Model M = std::move(this->Frontier.front());
      this->Frontier.pop_front();
      this->expand(M);
    }
    return this->Violation;
  }

  size_t stateCount() const { return this->VisitedKeys.size(); }

private:
  Model initial() const {
    Model M;
    if (!this->Options.StartsWithPrimary)
      return M;
    M.Servers[0].accept(1, "0");
    M.Servers[0].promote(1, "0");
    M.Terms[1].Primary = 1;
    M.Terms[1].Log = M.Servers[0].Log;
    M.Terms[1].StartLength = 1;
    for (size_t I = 1; I < ServerCount; ++I) {
      M.Servers[I].follow(1, "0");
      M.Servers[I].receive(M.Servers[0].Log);
    }
    return M;
  }

  // Visits all successors of a state.
  void expand(const Model &M) {
    for (uint8_t P = 0; P < ProposerCount; ++P)
      for (uint8_t T = 1; T <= this->Options.MaxTerm; ++T) {
        this->startAttempt(M, P, T);
        this->deliverPromote(M, P, T);
        for (uint8_t S = 0; S < ServerCount; ++S)
          this->deliverAccept(M, P, T, S);
      }
    for (size_t I = 0; I < M.Replies.size(); ++I)
      this->deliverReply(M, I);
    for (uint8_t S = 0; S < ServerCount; ++S) {
      for (uint8_t T = 1; T <= this->Options.MaxTerm; ++T)
        this->deliverFollow(M, T, S);
      this->receive(M, S);
      this->write(M, S);
      this->crash(M, S);
      this->readServer(M, S);
    }
    this->beginVerify(M);
  }

  // Starts an attempt of a proposer in any term above those it has used. A running attempt is
  // abandoned. All such terms are tried, because a proposer picks its term by status rows that may
  // be outdated.
  void startAttempt(const Model &M, uint8_t P, uint8_t T) {
    const ProposerState &Now = M.Proposers[P];
    if (T <= Now.LastTerm)
      return;
    Model Next = M;
    Next.Proposers[P] = {.CurrentAttempt =
                             Attempt(Term(T), ProposerNames[P], PerServer<bool>(ServerCount, false),
                                     this->Options.Rules),
                         .LastTerm = T};
    Next.Terms[T].AcceptSent[P] = true;
    dropReplies(Next, P);
    this->confirmAndVisit(std::move(Next));
  }

  static void dropReplies(Model &M, uint8_t P) {
    auto Gone = std::remove_if(M.Replies.begin(), M.Replies.end(),
                               [P](const Reply &R) { return R.Proposer == P; });
    M.Replies.erase(Gone, M.Replies.end());
  }

  // Delivers an accept call. A rejected call gets no answer in the model, because an attempt may be
  // abandoned at any time.
  void deliverAccept(const Model &M, uint8_t P, uint8_t T, uint8_t S) {
    if (!M.Terms[T].AcceptSent[P] || M.Servers[S].Accepted > T)
      return;
    ModelServer Server = M.Servers[S];
    Status Row = Server.accept(T, ProposerNames[P]);
    if (!Row.CallAccepted)
      return;
    if (this->Options.ReportsOnlyMatched && M.Servers[S].CurrentRole == Role::Replica)
      Row.Received = M.Servers[S].Matched;
    Model Next = M;
    Next.Servers[S] = std::move(Server);
    const std::optional<Attempt> &CurrentAttempt = M.Proposers[P].CurrentAttempt;
    Reply R{.Proposer = P, .Server = S, .Row = Row};
    if (CurrentAttempt && CurrentAttempt->term() == Term(T) && !CurrentAttempt->answered(S) &&
        std::find(M.Replies.begin(), M.Replies.end(), R) == M.Replies.end()) {
      Model Answered = Next;
      Answered.Replies.push_back(R);
      if (this->Options.DelaysReplies)
        this->confirmAndVisit(std::move(Answered));
      else
        this->deliverReply(Answered, 0);
    }
    this->confirmAndVisit(std::move(Next));
  }

  // Delivers the answer to an accept call. Sends the promote call once the attempt has a majority.
  void deliverReply(const Model &M, size_t I) {
    Model Next = M;
    Reply R = M.Replies[I];
    Next.Replies.erase(Next.Replies.begin() + static_cast<ptrdiff_t>(I));
    Attempt &CurrentAttempt = *Next.Proposers[R.Proposer].CurrentAttempt;
    CurrentAttempt.onAccept(R.Server, R.Row);
    if (CurrentAttempt.phase() == Attempt::Phase::Promoting) {
      Next.Terms[CurrentAttempt.term().Value].PromoteTarget[R.Proposer] =
          static_cast<uint8_t>(CurrentAttempt.chosen() + 1);
      // No later decision depends on this attempt.
      Next.Proposers[R.Proposer].CurrentAttempt.reset();
      dropReplies(Next, R.Proposer);
    }
    this->confirmAndVisit(std::move(Next));
  }

  // Delivers a promote call and checks that the term has no other primary.
  void deliverPromote(const Model &M, uint8_t P, uint8_t T) {
    uint8_t PromoteTarget = M.Terms[T].PromoteTarget[P];
    if (PromoteTarget == 0)
      return;
    Model Next = M;
    Next.Terms[T].PromoteTarget[P] = 0;
    ModelServer &S = Next.Servers[PromoteTarget - 1];
    if (S.promote(T, ProposerNames[P]).CallAccepted) {
      if (Next.Terms[T].Primary != 0) {
        this->Violation = absl::StrFormat("two primaries of term %d", T);
        return;
      }
      Next.Terms[T].Primary = PromoteTarget;
      Next.Terms[T].Log = S.Log;
      Next.Terms[T].StartLength = S.Log.size();
    }
    this->confirmAndVisit(std::move(Next));
  }

  // Delivers a follow call. Once a term has a primary, any server may be told to follow it, any
  // number of times.
  void deliverFollow(const Model &M, uint8_t T, uint8_t S) {
    uint8_t Primary = M.Terms[T].Primary;
    if (Primary == 0 || Primary == S + 1 || M.Servers[S].Accepted > T)
      return;
    Model Next = M;
    if (Next.Servers[S].follow(T, std::to_string(Primary - 1)).CallAccepted)
      this->confirmAndVisit(std::move(Next));
  }

  // Replicates one log entry to a replica.
  void receive(const Model &M, uint8_t S) {
    const ModelServer &Replica = M.Servers[S];
    if (Replica.CurrentRole != Role::Replica)
      return;
    const TermState &T = M.Terms[Replica.Accepted];
    const ModelServer &Primary = M.Servers[T.Primary - 1];
    bool Serving = Primary.CurrentRole == Role::Primary && Primary.Accepted == Replica.Accepted;
    if (Replica.Matched == T.Log.size() || (!Serving && !this->Options.DelaysReplication))
      return;
    Model Next = M;
    if (Next.Servers[S].receive(T.Log))
      this->confirmAndVisit(std::move(Next));
  }

  // Appends a write at a primary.
  void write(const Model &M, uint8_t S) {
    const ModelServer &Primary = M.Servers[S];
    if (Primary.CurrentRole != Role::Primary || M.Writes.size() >= this->Options.MaxWrites)
      return;
    Model Next = M;
    SmallLog &Log = Next.Servers[S].Log;
    Next.Servers[S].append(static_cast<int>(M.Writes.size()));
    Next.Terms[Primary.Accepted].Log = Log;
    Next.Writes.push_back(
        {.At = {.InTerm = Term(Primary.Accepted), .Position = Log.size()},
         .AppendedAfterTerm = majorityAcceptedLaterTerm(M, Term(Primary.Accepted))});
    this->confirmAndVisit(std::move(Next));
  }

  // Restarts a server. It keeps its log and its accepted term, but a primary becomes fenced and a
  // replica no longer knows which entries match.
  void crash(const Model &M, uint8_t S) {
    if (M.Crashes >= this->Options.MaxCrashes)
      return;
    Model Next = M;
    ++Next.Crashes;
    if (M.Servers[S].CurrentRole == Role::Primary)
      Next.Servers[S].CurrentRole = Role::Fenced;
    Next.Servers[S].Matched = 0;
    this->confirmAndVisit(std::move(Next));
  }

  // Starts the verified read, if a write has been acknowledged.
  void beginVerify(const Model &M) {
    bool Possible = this->Options.VerifiesRead && M.WritesBeforeRead == 0;
    size_t Acknowledged = 0;
    while (Acknowledged < M.Writes.size() && M.Writes[Acknowledged].Acknowledged)
      ++Acknowledged;
    if (!Possible || Acknowledged == 0)
      return;
    Model Next = M;
    Next.WritesBeforeRead = static_cast<uint8_t>(Acknowledged);
    Next.ReadRows.resize(ServerCount);
    this->visit(std::move(Next));
  }

  // Delivers the answer of one server to the verified read, and checks its result once it has
  // ended.
  void readServer(const Model &M, uint8_t S) {
    if (M.WritesBeforeRead == 0 || M.ReadEnded)
      return;
    Status Row = M.Servers[S].status(false);
    if (M.ReadRows[S] == Row)
      return;
    Model Next = M;
    Next.ReadRows[S] = Row;
    Verifier Read(ServerCount, this->Options.VerifyQuorum);
    Read.add(1, absl::InfiniteFuture());
    uint64_t Probe = Read.beginProbe();
    for (size_t I = 0; I < ServerCount; ++I)
      if (Next.ReadRows[I])
        Read.onRow(I, Probe, *Next.ReadRows[I]);
    std::vector<Verifier::Completion> Ended = Read.takeCompleted(absl::InfinitePast());
    if (!Ended.empty()) {
      Next.ReadEnded = true;
      Next.ReadRows.clear();
      this->checkRead(M, *Ended[0].At);
    }
    if (!this->Violation)
      this->visit(std::move(Next));
  }

  // The log position of the read must cover all writes acknowledged before the read started, and
  // the log of its term must hold them.
  void checkRead(const Model &M, LogPosition At) {
    const SmallLog &Log = M.Terms[At.InTerm.Value].Log;
    for (uint8_t I = 0; I < M.WritesBeforeRead; ++I) {
      const Write &W = M.Writes[I];
      if (At < W.At || Log.size() < W.At.Position || Log[W.At.Position - 1] != entryOf(M, I))
        this->Violation = "a verified read lacks a write acknowledged before it began";
    }
  }

  static TestEntry entryOf(const Model &M, size_t I) {
    return {.InTerm = static_cast<uint8_t>(M.Writes[I].At.InTerm.Value),
            .WriteId = static_cast<int8_t>(I)};
  }

  static bool majorityAcceptedLaterTerm(const Model &M, Term T) {
    size_t Left = 0;
    for (const ModelServer &S : M.Servers)
      Left += Term(S.Accepted) > T ? 1 : 0;
    return Left >= majorityOf(ServerCount);
  }

  // Reads the status of all servers, acknowledges confirmed writes, checks the guarantees and
  // visits the state. A status once read stays valid, so reading it immediately is the worst case
  // for the checks. Earlier rows need not be kept: with three servers, the first replica that holds
  // a write completes the majority.
  void confirmAndVisit(Model M) {
    Confirmer Positions(ServerCount, this->Options.ConfirmQuorum);
    for (size_t I = 0; I < ServerCount; ++I)
      Positions.onRow(I, M.Servers[I].status(false));
    for (Write &W : M.Writes) {
      if (W.Acknowledged || !Positions.majorityHolds(W.At))
        continue;
      W.Acknowledged = true;
      if (W.AppendedAfterTerm ||
          (!this->Options.DelaysReplication && majorityAcceptedLaterTerm(M, W.At.InTerm)))
        this->Violation = "a write was acknowledged after a majority had accepted a later term";
    }
    this->checkDurable(M);
    if (!this->Violation)
      this->visit(std::move(M));
  }

  // Every primary of a later term must start with all writes acknowledged before.
  void checkDurable(const Model &M) {
    for (size_t I = 0; I < M.Writes.size(); ++I) {
      const Write &W = M.Writes[I];
      for (size_t T = W.At.InTerm.Value + 1; W.Acknowledged && T < TermLimit; ++T) {
        const TermState &Later = M.Terms[T];
        if (Later.Primary != 0 &&
            (Later.StartLength < W.At.Position || Later.Log[W.At.Position - 1] != entryOf(M, I)))
          this->Violation = absl::StrFormat("the primary of term %d lacks a write that was "
                                            "acknowledged in term %d",
                                            T, W.At.InTerm.Value);
      }
    }
  }

  // Clears values that no longer have an effect, so that states that differ only in them compare
  // equal.
  void normalize(Model &M) const {
    for (ModelServer &S : M.Servers)
      if (S.CurrentRole != Role::Replica)
        S.Matched = 0;
    for (size_t T = 1; T < TermLimit; ++T) {
      bool IsOver = std::all_of(M.Servers.begin(), M.Servers.end(),
                                [T](const ModelServer &S) { return S.Accepted > T; });
      if (IsOver)
        M.Terms[T] = TermState();
      for (uint8_t P = 0; P < ProposerCount; ++P)
        this->normalizeAttempt(M, P, T);
    }
  }

  // Clears the calls and the attempt of a proposer in a term that can no longer succeed. A server
  // accepts no call of a term in which it was promoted or that it accepted from another proposer.
  void normalizeAttempt(Model &M, uint8_t P, size_t T) const {
    auto CanAccept = [&](const ModelServer &S) {
      return S.Accepted < T || (S.Accepted == T && S.Proposer == ProposerNames[P] && !S.Promoted);
    };
    if (std::none_of(M.Servers.begin(), M.Servers.end(), CanAccept)) {
      M.Terms[T].AcceptSent[P] = false;
      M.Terms[T].PromoteTarget[P] = 0;
    }
    std::optional<Attempt> &CurrentAttempt = M.Proposers[P].CurrentAttempt;
    if (!CurrentAttempt || CurrentAttempt->term() != Term(T))
      return;
    size_t Possible = 0;
    for (size_t I = 0; I < ServerCount; ++I)
      Possible += CanAccept(M.Servers[I]) || CurrentAttempt->answered(I) ? 1 : 0;
    if (Possible >= this->Options.Rules.Quorum(ServerCount))
      return;
    CurrentAttempt.reset();
    dropReplies(M, P);
  }

  void visit(Model M) {
    this->normalize(M);
    // The proposers are interchangeable, so a state equals the one with the proposers swapped.
    uint64_t Key = std::min(fingerprint(M, {0, 1}), fingerprint(M, {1, 0}));
    if (this->VisitedKeys.insert(Key).second)
      this->Frontier.push_back(std::move(M));
  }

  // Hash of a state, with the proposers taken in the given order. With 64 bits, the probability
  // that any two of ten million states collide is about 3e-6.
  static uint64_t fingerprint(const Model &M, std::array<uint8_t, ProposerCount> Order);

  ModelOptions Options;
  std::deque<Model> Frontier;
  absl::flat_hash_set<uint64_t> VisitedKeys;
  std::optional<std::string> Violation;
};

// Hashes a sequence of values.
class StateHash {
public:
  StateHash &add(uint64_t Value) {
    this->Hash = (this->Hash ^ Value) * 0x9fb21c651e98df25U;
    this->Hash ^= this->Hash >> 28;
    return *this;
  }
  StateHash &add(const SmallLog &Log) {
    std::array<uint64_t, 2> Words = Log.packed();
    return this->add(Words[0]).add(Words[1]);
  }
  uint64_t value() const { return this->Hash; }

private:
  uint64_t Hash = 0xcbf29ce484222325U;
};

inline uint64_t Explorer::fingerprint(const Model &M, std::array<uint8_t, ProposerCount> Order) {
  StateHash D;
  for (const ModelServer &S : M.Servers) {
    uint64_t By = S.Proposer == ProposerNames[Order[0]]   ? 1
                  : S.Proposer == ProposerNames[Order[1]] ? 2
                                                          : 0;
    uint64_t Following = S.Following.empty() ? 0 : static_cast<uint64_t>(S.Following[0]);
    D.add((S.Accepted << 32) + (S.Matched << 24) + (Following << 16) +
          (static_cast<uint64_t>(S.CurrentRole) << 8) + By * 2 + (S.Promoted ? 1 : 0));
    D.add(S.Log);
  }
  for (uint8_t P : Order) {
    const std::optional<Attempt> &CurrentAttempt = M.Proposers[P].CurrentAttempt;
    D.add(M.Proposers[P].LastTerm).add(CurrentAttempt ? CurrentAttempt->term().Value : 0);
    for (size_t I = 0; CurrentAttempt && I < ServerCount; ++I) {
      const std::optional<Vote> &V = CurrentAttempt->votes()[I];
      D.add(V ? V->LogTerm.Value * 64 + V->Received + 1 : 0);
    }
  }
  for (const TermState &T : M.Terms) {
    uint64_t Calls = 0;
    for (uint8_t P : Order)
      Calls = Calls * 16 + T.PromoteTarget[P] * 2U + (T.AcceptSent[P] ? 1 : 0);
    D.add(Calls * 4096 + T.Primary * 64U + T.StartLength).add(T.Log);
  }
  uint64_t Replies = 0; // sum of hashes, independent of the order
  for (const Reply &R : M.Replies)
    Replies += StateHash()
                   .add(R.Proposer == Order[0] ? 0 : 1)
                   .add(R.Server)
                   .add(R.Row.LogTerm.Value * 64 + R.Row.Received)
                   .value();
  D.add(Replies).add(M.Writes.size()).add(M.Crashes);
  for (const Write &W : M.Writes)
    D.add(W.At.InTerm.Value * 64 + W.At.Position)
        .add(W.AppendedAfterTerm ? 1 : 0)
        .add(W.Acknowledged ? 1 : 0);
  D.add(M.WritesBeforeRead * 2U + (M.ReadEnded ? 1 : 0));
  for (const std::optional<Status> &Row : M.ReadRows)
    D.add(Row ? Row->Accepted.Value * 64 + static_cast<uint64_t>(Row->ServerRole) * 16 + 1 : 0)
        .add(Row ? Row->LogTerm.Value * 64 + Row->Received : 0);
  return D.value();
}

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_MODEL_H
