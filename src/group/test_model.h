// Model check of a change of primary and of the confirmation of writes: explores all interleavings
// of a small group breadth-first. The decisions are those of Attempt and Confirmer; the servers
// follow docs/platform.md. A lost message is one that is never delivered.
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
constexpr size_t TermLimit = 5; // terms below this number
inline constexpr std::array<const char *, ProposerCount> ProposerNames = {"a", "b"};

struct ModelOptions {
  uint8_t MaxTerm = 3;
  uint8_t MaxWrites = 2;
  uint8_t MaxCrashes = 1;
  bool Established = true; // starts with a primary of term 1 that all follow
  // Answers to accept calls stay on their way. Without it they arrive at once or are lost, which
  // gives the same choices: a late answer has the effect of a late call, since the log of a fenced
  // server does not change, and the promote call that follows from it may be late in any case.
  bool LateReplies = false;
  bool LateShipping = false; // log entries on their way arrive after their primary was fenced
  // Fault of a server: a fenced server reports the entries known to be the primary's, not its log.
  bool ReportsMatched = false;
  bool Verify = false; // one verified read, begun at any time after a write was acknowledged
  AttemptRules Rules;
  size_t (*ConfirmQuorum)(size_t) = majorityOf;
  size_t (*VerifyQuorum)(size_t) = majorityOf;
};

// An accepted answer on its way to a proposer.
struct Reply {
  uint8_t Proposer = 0;
  uint8_t Server = 0;
  Status Row;
  friend bool operator==(const Reply &, const Reply &) = default;
};

struct Write {
  LogPosition At;
  bool TooLate = false; // appended after a majority had accepted a later term
  bool Acknowledged = false;
};

struct ProposerState {
  std::optional<Attempt> Try;
  uint8_t LastTerm = 0;
};

struct TermState {
  std::array<bool, ProposerCount> Asked{};     // accept calls exist, and can arrive any time
  std::array<uint8_t, ProposerCount> Chosen{}; // promote call on its way to server N - 1
  uint8_t Primary = 0;                         // server N - 1 was promoted
  size_t StartLength = 0;                      // of its log, with the term-start entry
  SmallLog Log;                                // of the primary, also after its term has ended
};

struct Model {
  std::array<ModelServer, ServerCount> Servers;
  std::array<ProposerState, ProposerCount> Proposers;
  std::array<TermState, TermLimit> Terms;
  std::vector<Reply> Replies;
  PerServer<Write> Writes;
  uint8_t Crashes = 0;
  // The verified read: writes that were acknowledged before it began, and what it has read.
  uint8_t VerifyAfter = 0; // number of writes
  bool Verified = false;
  std::vector<std::optional<Status>> ReadRows; // by server; empty before the read begins
};

// Runs one model to the end or to the first violation.
class Explorer {
public:
  explicit Explorer(ModelOptions Options) : Options(Options) {}

  // Visits all states; returns the text of the first violation found, or nothing.
  std::optional<std::string> run() {
    this->visit(this->initial());
    while (!this->Frontier.empty() && !this->Violation) {
      Model M = std::move(this->Frontier.front());
      this->Frontier.pop_front();
      this->expand(M);
    }
    return this->Violation;
  }

  size_t states() const { return this->Seen.size(); }

private:
  Model initial() const {
    Model M;
    if (!this->Options.Established)
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

  // A proposer gives up what it was doing, if anything, and picks any term it has not used. Which
  // term it would pick depends on what it has read, which may be out of date.
  void startAttempt(const Model &M, uint8_t P, uint8_t T) {
    const ProposerState &Now = M.Proposers[P];
    if (T <= Now.LastTerm)
      return;
    Model Next = M;
    Next.Proposers[P] = {.Try = Attempt(Term(T), ProposerNames[P],
                                        PerServer<bool>(ServerCount, false), this->Options.Rules),
                         .LastTerm = T};
    Next.Terms[T].Asked[P] = true;
    dropReplies(Next, P);
    this->settle(std::move(Next));
  }

  static void dropReplies(Model &M, uint8_t P) {
    auto Gone = std::remove_if(M.Replies.begin(), M.Replies.end(),
                               [P](const Reply &R) { return R.Proposer == P; });
    M.Replies.erase(Gone, M.Replies.end());
  }

  // A refusal needs no answer here: giving up is possible at any time.
  void deliverAccept(const Model &M, uint8_t P, uint8_t T, uint8_t S) {
    if (!M.Terms[T].Asked[P] || M.Servers[S].Accepted > T)
      return;
    ModelServer Server = M.Servers[S];
    Status Row = Server.accept(T, ProposerNames[P]);
    if (!Row.CallAccepted)
      return;
    if (this->Options.ReportsMatched && M.Servers[S].Is == Role::Replica)
      Row.Received = M.Servers[S].Matched;
    Model Next = M;
    Next.Servers[S] = std::move(Server);
    const std::optional<Attempt> &Try = M.Proposers[P].Try;
    Reply R{.Proposer = P, .Server = S, .Row = Row};
    if (Try && Try->term() == Term(T) && !Try->answered(S) &&
        std::find(M.Replies.begin(), M.Replies.end(), R) == M.Replies.end()) {
      Model Answered = Next;
      Answered.Replies.push_back(R);
      if (this->Options.LateReplies)
        this->settle(std::move(Answered));
      else
        this->deliverReply(Answered, 0);
    }
    this->settle(std::move(Next));
  }

  void deliverReply(const Model &M, size_t I) {
    Model Next = M;
    Reply R = M.Replies[I];
    Next.Replies.erase(Next.Replies.begin() + static_cast<ptrdiff_t>(I));
    Attempt &Try = *Next.Proposers[R.Proposer].Try;
    Try.onAccept(R.Server, R.Row);
    if (Try.phase() == Attempt::Phase::Promoting) {
      Next.Terms[Try.term().Value].Chosen[R.Proposer] = static_cast<uint8_t>(Try.chosen() + 1);
      // Nothing that it does later depends on the attempt.
      Next.Proposers[R.Proposer].Try.reset();
      dropReplies(Next, R.Proposer);
    }
    this->settle(std::move(Next));
  }

  void deliverPromote(const Model &M, uint8_t P, uint8_t T) {
    uint8_t Chosen = M.Terms[T].Chosen[P];
    if (Chosen == 0)
      return;
    Model Next = M;
    Next.Terms[T].Chosen[P] = 0;
    ModelServer &S = Next.Servers[Chosen - 1];
    if (S.promote(T, ProposerNames[P]).CallAccepted) {
      if (Next.Terms[T].Primary != 0) {
        this->Violation = absl::StrFormat("two primaries of term %d", T);
        return;
      }
      Next.Terms[T].Primary = Chosen;
      Next.Terms[T].Log = S.Log;
      Next.Terms[T].StartLength = S.Log.size();
    }
    this->settle(std::move(Next));
  }

  // Whoever has seen the primary of a term may tell any server to follow it, any number of times.
  void deliverFollow(const Model &M, uint8_t T, uint8_t S) {
    uint8_t Primary = M.Terms[T].Primary;
    if (Primary == 0 || Primary == S + 1 || M.Servers[S].Accepted > T)
      return;
    Model Next = M;
    if (Next.Servers[S].follow(T, std::to_string(Primary - 1)).CallAccepted)
      this->settle(std::move(Next));
  }

  void receive(const Model &M, uint8_t S) {
    const ModelServer &Replica = M.Servers[S];
    if (Replica.Is != Role::Replica)
      return;
    const TermState &T = M.Terms[Replica.Accepted];
    const ModelServer &Primary = M.Servers[T.Primary - 1];
    bool Serving = Primary.Is == Role::Primary && Primary.Accepted == Replica.Accepted;
    if (Replica.Matched == T.Log.size() || (!Serving && !this->Options.LateShipping))
      return;
    Model Next = M;
    if (Next.Servers[S].receive(T.Log))
      this->settle(std::move(Next));
  }

  void write(const Model &M, uint8_t S) {
    const ModelServer &Primary = M.Servers[S];
    if (Primary.Is != Role::Primary || M.Writes.size() >= this->Options.MaxWrites)
      return;
    Model Next = M;
    SmallLog &Log = Next.Servers[S].Log;
    Next.Servers[S].append(static_cast<int>(M.Writes.size()));
    Next.Terms[Primary.Accepted].Log = Log;
    Next.Writes.push_back({.At = {.InTerm = Term(Primary.Accepted), .Position = Log.size()},
                           .TooLate = majorityLeft(M, Term(Primary.Accepted))});
    this->settle(std::move(Next));
  }

  // A restarted server keeps its log and its accepted term, and no longer knows its role.
  void crash(const Model &M, uint8_t S) {
    if (M.Crashes >= this->Options.MaxCrashes)
      return;
    Model Next = M;
    ++Next.Crashes;
    if (M.Servers[S].Is == Role::Primary)
      Next.Servers[S].Is = Role::Fenced;
    Next.Servers[S].Matched = 0;
    this->settle(std::move(Next));
  }

  void beginVerify(const Model &M) {
    bool Possible = this->Options.Verify && M.VerifyAfter == 0;
    size_t Acknowledged = 0;
    while (Acknowledged < M.Writes.size() && M.Writes[Acknowledged].Acknowledged)
      ++Acknowledged;
    if (!Possible || Acknowledged == 0)
      return;
    Model Next = M;
    Next.VerifyAfter = static_cast<uint8_t>(Acknowledged);
    Next.ReadRows.resize(ServerCount);
    this->visit(std::move(Next));
  }

  // Reads one server for the verified read, and checks the result once the read decides.
  void readServer(const Model &M, uint8_t S) {
    if (M.VerifyAfter == 0 || M.Verified)
      return;
    Status Row = M.Servers[S].row(false);
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
      Next.Verified = true;
      Next.ReadRows.clear();
      this->checkRead(M, *Ended[0].At);
    }
    if (!this->Violation)
      this->visit(std::move(Next));
  }

  // The read must cover the writes acknowledged before it began, at the primary that it names.
  void checkRead(const Model &M, LogPosition At) {
    const SmallLog &Log = M.Terms[At.InTerm.Value].Log;
    for (uint8_t I = 0; I < M.VerifyAfter; ++I) {
      const Write &W = M.Writes[I];
      if (At < W.At || Log.size() < W.At.Position || Log[W.At.Position - 1] != entryOf(M, I))
        this->Violation = "a verified read lacks a write acknowledged before it began";
    }
  }

  static TestEntry entryOf(const Model &M, size_t I) {
    return {.InTerm = static_cast<uint8_t>(M.Writes[I].At.InTerm.Value),
            .Write = static_cast<int8_t>(I)};
  }

  static bool majorityLeft(const Model &M, Term T) {
    size_t Left = 0;
    for (const ModelServer &S : M.Servers)
      Left += Term(S.Accepted) > T ? 1 : 0;
    return Left >= majorityOf(ServerCount);
  }

  // Reads all servers, acknowledges what is confirmed and checks the state. What a server has once
  // shown stays valid, so reading at once is the worst case for the checks. Earlier readings are
  // not kept: of three servers, the first replica that holds a write completes the majority.
  void settle(Model M) {
    Confirmer Positions(ServerCount, this->Options.ConfirmQuorum);
    for (size_t I = 0; I < ServerCount; ++I)
      Positions.onRow(I, M.Servers[I].row(false));
    for (Write &W : M.Writes) {
      if (W.Acknowledged || !Positions.majorityHolds(W.At))
        continue;
      W.Acknowledged = true;
      if (W.TooLate || (!this->Options.LateShipping && majorityLeft(M, W.At.InTerm)))
        this->Violation = "a write was acknowledged after a majority had accepted a later term";
    }
    this->checkDurable(M);
    if (!this->Violation)
      this->visit(std::move(M));
  }

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

  // Removes what no longer has an effect, so that states that differ only in it count as one.
  void normalize(Model &M) const {
    for (ModelServer &S : M.Servers)
      if (S.Is != Role::Replica)
        S.Matched = 0;
    for (size_t T = 1; T < TermLimit; ++T) {
      bool Over = std::all_of(M.Servers.begin(), M.Servers.end(),
                              [T](const ModelServer &S) { return S.Accepted > T; });
      if (Over)
        M.Terms[T] = TermState();
      for (uint8_t P = 0; P < ProposerCount; ++P)
        this->normalizeAttempt(M, P, T);
    }
  }

  // A term that a server has promoted, or accepted from another proposer, takes no accept call.
  void normalizeAttempt(Model &M, uint8_t P, size_t T) const {
    auto Open = [&](const ModelServer &S) {
      return S.Accepted < T || (S.Accepted == T && S.Proposer == ProposerNames[P] && !S.Promoted);
    };
    if (std::none_of(M.Servers.begin(), M.Servers.end(), Open)) {
      M.Terms[T].Asked[P] = false;
      M.Terms[T].Chosen[P] = 0;
    }
    std::optional<Attempt> &Try = M.Proposers[P].Try;
    if (!Try || Try->term() != Term(T))
      return;
    size_t Possible = 0;
    for (size_t I = 0; I < ServerCount; ++I)
      Possible += Open(M.Servers[I]) || Try->answered(I) ? 1 : 0;
    if (Possible >= this->Options.Rules.Quorum(ServerCount))
      return;
    Try.reset();
    dropReplies(M, P);
  }

  void visit(Model M) {
    this->normalize(M);
    // Both proposers are alike, so a state counts as the same when they change places.
    uint64_t Key = std::min(fingerprint(M, {0, 1}), fingerprint(M, {1, 0}));
    if (this->Seen.insert(Key).second)
      this->Frontier.push_back(std::move(M));
  }

  // 64 bits: two of ten million states collide with a probability of about 3e-6. Order: the
  // proposers in the order in which they are read.
  static uint64_t fingerprint(const Model &M, std::array<uint8_t, ProposerCount> Order);

  ModelOptions Options;
  std::deque<Model> Frontier;
  absl::flat_hash_set<uint64_t> Seen;
  std::optional<std::string> Violation;
};

// Collects the values of a state.
class Digest {
public:
  Digest &add(uint64_t Value) {
    this->Hash = (this->Hash ^ Value) * 0x9fb21c651e98df25U;
    this->Hash ^= this->Hash >> 28;
    return *this;
  }
  Digest &add(const SmallLog &Log) {
    std::array<uint64_t, 2> Words = Log.packed();
    return this->add(Words[0]).add(Words[1]);
  }
  uint64_t value() const { return this->Hash; }

private:
  uint64_t Hash = 0xcbf29ce484222325U;
};

inline uint64_t Explorer::fingerprint(const Model &M, std::array<uint8_t, ProposerCount> Order) {
  Digest D;
  for (const ModelServer &S : M.Servers) {
    uint64_t By = S.Proposer == ProposerNames[Order[0]]   ? 1
                  : S.Proposer == ProposerNames[Order[1]] ? 2
                                                          : 0;
    uint64_t Following = S.Following.empty() ? 0 : static_cast<uint64_t>(S.Following[0]);
    D.add((S.Accepted << 32) + (S.Matched << 24) + (Following << 16) +
          (static_cast<uint64_t>(S.Is) << 8) + By * 2 + (S.Promoted ? 1 : 0));
    D.add(S.Log);
  }
  for (uint8_t P : Order) {
    const std::optional<Attempt> &Try = M.Proposers[P].Try;
    D.add(M.Proposers[P].LastTerm).add(Try ? Try->term().Value : 0);
    for (size_t I = 0; Try && I < ServerCount; ++I) {
      const std::optional<Vote> &V = Try->votes()[I];
      D.add(V ? V->LogTerm.Value * 64 + V->Received + 1 : 0);
    }
  }
  for (const TermState &T : M.Terms) {
    uint64_t Calls = 0;
    for (uint8_t P : Order)
      Calls = Calls * 16 + T.Chosen[P] * 2U + (T.Asked[P] ? 1 : 0);
    D.add(Calls * 4096 + T.Primary * 64U + T.StartLength).add(T.Log);
  }
  uint64_t Replies = 0; // a set: the order does not count
  for (const Reply &R : M.Replies)
    Replies += Digest()
                   .add(R.Proposer == Order[0] ? 0 : 1)
                   .add(R.Server)
                   .add(R.Row.LogTerm.Value * 64 + R.Row.Received)
                   .value();
  D.add(Replies).add(M.Writes.size()).add(M.Crashes);
  for (const Write &W : M.Writes)
    D.add(W.At.InTerm.Value * 64 + W.At.Position)
        .add(W.TooLate ? 1 : 0)
        .add(W.Acknowledged ? 1 : 0);
  D.add(M.VerifyAfter * 2U + (M.Verified ? 1 : 0));
  for (const std::optional<Status> &Row : M.ReadRows)
    D.add(Row ? Row->Accepted.Value * 64 + static_cast<uint64_t>(Row->ServerRole) * 16 + 1 : 0)
        .add(Row ? Row->LogTerm.Value * 64 + Row->Received : 0);
  return D.value();
}

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_MODEL_H
