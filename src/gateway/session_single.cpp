// Sends the statements of a session to their targets and, outside of transactions, handles the
// answers.
#include "gateway/session.h"
#include "gateway/session_limits.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

// Bytes of a statement and its answer, without the framing.
size_t payloadBytes(const Statement &Stmt, const Answer &Reply) {
  size_t Bytes = Stmt.Text.size();
  for (const std::string &Row : Reply.Rows)
    Bytes += Row.size();
  return Bytes;
}

} // namespace

// Appends the requests that set the session's values and prepared statement on the link.
void Session::appendSessionState(TargetLink &Link, const Statement &Stmt,
                                 std::vector<LinkRequest> &Out) {
  auto Check = [&Link](const Answer *Reply) {
    if (Reply && Reply->Error)
      Link.close("target refused the session's values or prepared statement");
  };
  bool HasExtraValues = std::any_of(Link.Values.begin(), Link.Values.end(),
                                    [&](const auto &V) { return !this->Values.contains(V.first); });
  if (HasExtraValues) {
    Out.push_back({.Request = {.Command = TargetCommand::ResetSession}, .OnAnswer = Check});
    Link.Values.clear();
    Link.Prepared.clear();
  }
  for (const auto &[Name, Value] : this->Values) {
    auto [It, New] = Link.Values.try_emplace(Name, Value);
    if (!New && It->second == Value)
      continue;
    std::string(Value).swap(It->second); // see storeState
    Out.push_back({.Request = {.Command = TargetCommand::Set, .Name = Name, .Value = Value},
                   .OnAnswer = Check});
  }
  if (Stmt.Kind != StatementKind::Execute)
    return;
  const PreparedStatement &P = this->Prepared.at(Stmt.Name);
  std::string Name = this->statementRequest(Stmt, std::nullopt).Name;
  if (Link.Prepared.insert(Name).second)
    Out.push_back({.Request = {.Command = TargetCommand::Prepare,
                               .Name = Name,
                               .Value = P.Shape,
                               .PreparedWrites = P.Writes},
                   .OnAnswer = Check});
}

// Prepared statements are named by kind and shape, so that sessions with equal statements share
// them on a link.
TargetRequest Session::statementRequest(const Statement &Stmt,
                                        std::optional<LogPosition> After) const {
  TargetRequest Out{.CallerId = this->Op->Id, .Text = Stmt.Text, .RequiredPosition = After};
  if (Stmt.Kind == StatementKind::Execute) {
    const PreparedStatement &P = this->Prepared.at(Stmt.Name);
    Out.Name = absl::StrCat(P.Writes ? "w" : "r",
                            absl::Hex(absl::Hash<std::string>()(P.Shape), absl::kZeroPad16));
    Out.Text = absl::StrCat("EXEC ", Out.Name, " ", Stmt.Value);
  }
  return Out;
}

// Sends a statement outside a transaction. A read at the primary is wrapped in a read-write
// transaction: a target that knows that it is no longer primary refuses to open one, but would
// answer a plain read. The term of the transaction is compared with those of the witnesses.
void Session::sendSingle(const Grant &G) {
  Operation &O = *this->Op;
  std::vector<LinkRequest> Requests;
  this->appendSessionState(*G.Link, O.Stmt, Requests);
  auto Self = this->weak_from_this();
  uint64_t Number = O.Number;
  TargetPool *Pool = G.Pool;
  Instant SentAt = this->Deps.InLoop.now();
  bool ProvesLead = O.Kind == OpKind::Read && !G.Floor;
  SentRequest Sent{.At = SentAt, .To = Pool->lead()};
  auto Confirmed = std::make_shared<std::optional<placement::Lead>>();
  if (ProvesLead) {
    this->Deps.Host.router(O.Route.Service)->prover().ask(O.ProveSince);
    Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                        .OnAnswer = [this, Self, Pool, Sent, Confirmed,
                                     Service = O.Route.Service](const Answer *Reply) {
                          auto S = Self.lock();
                          if (!Reply || !S)
                            return;
                          ServiceRouter *Router = this->Deps.Host.router(Service);
                          if (!Reply->Error) {
                            *Confirmed = confirmedLead(Sent, *Reply);
                            Router->onPrimaryConfirmed(*Pool, *Reply, Sent);
                          } else if (Reply->Error->Code == ErrorCode::ReadOnly) {
                            Router->onPrimaryDenied(*Pool);
                          }
                        }});
  }
  Requests.push_back({.Request = this->statementRequest(O.Stmt, G.Floor),
                      .OnAnswer = [Self, Number, G, Sent, Confirmed](const Answer *Reply) {
                        if (auto S = Self.lock())
                          S->onSingleAnswer(Number, Reply, G, Sent, *Confirmed);
                      }});
  if (ProvesLead)
    Requests.push_back(
        {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  if (O.Kind == OpKind::Read && O.AttemptsInFlight == 1 && !O.Hedged) {
    absl::Duration Delay =
        placement::hedgeDelay(Pool->statistics(), placement::Distance::OtherRegion, SentAt);
    O.HedgeTimer = this->Deps.InLoop.at(SentAt + Delay, [Self, Number] {
      if (auto S = Self.lock())
        S->hedge(Number);
    });
    O.Tried.push_back(Pool->entry().Id);
  }
  G.Link->submit(std::move(Requests), O.AnswerDeadline);
}

// Sends a read whose answer is overdue to a second target. The first answer is used.
void Session::hedge(uint64_t Number) {
  if (!this->isCurrent(Number) || this->Op->AttemptsInFlight != 1 || this->Op->Queued ||
      this->Op->Hedged || this->KeyWithdrawn)
    return;
  this->Op->Hedged = true;
  this->Deps.Counters.add("reads_hedged");
  if (this->Deps.Log.allows(this->Deps.InLoop.now()))
    LogEvent(LogLevel::Info, "read_hedged")
        .kv("request", this->Op->Id)
        .kv("session", this->Id.Value)
        .kv("target", this->Op->LastTarget.Value)
        .kv("waited_ms", absl::ToInt64Milliseconds(this->Deps.InLoop.now() - this->Op->Arrived));
  this->enqueue();
}

void Session::onSingleAnswer(uint64_t Number, const Answer *Reply, const Grant &G,
                             const SentRequest &Sent,
                             const std::optional<placement::Lead> &Confirmed) {
  TargetPool *Pool = G.Pool;
  Instant Now = this->Deps.InLoop.now();
  ServiceRouter *Router = nullptr;
  if (this->isCurrent(Number))
    Router = this->Deps.Host.router(this->Op->Route.Service);
  if (Reply && !Reply->Error)
    Pool->statistics().onAnswer(Now - Sent.At, Now);
  if (!Router)
    return;
  Operation &O = *this->Op;
  --O.AttemptsInFlight;
  bool Read = O.Kind == OpKind::Read;
  bool OutcomeUnknown =
      !Reply || (Reply->Error && verdictOf(Reply->Error->Code) != Verdict::NotRun);
  if (!Read && OutcomeUnknown && Now - Sent.At >= BlockedWriteThreshold)
    Pool->onWriteTimedOut();
  if (!Reply) {
    Pool->statistics().onFailure(Now);
    ++O.Failures;
    O.MayHaveRun = true;
    if (Read)
      this->retry(Pool->entry().Id, "connection_lost");
    else
      this->finishError(ErrorCode::InDoubt, "connection to the target lost", "connection_lost");
    return;
  }
  if (Reply->Error) {
    ErrorCode Code = Reply->Error->Code;
    if (Code == ErrorCode::ReplicaBehind && G.Floor)
      Pool->statistics().onPositionRefused(*G.Floor, Now);
    if (Code == ErrorCode::ReadOnly)
      Router->onPrimaryDenied(*Pool);
    if (verdictOf(Code) != Verdict::NotRun) {
      Pool->statistics().onFailure(Now);
      ++O.Failures;
      O.MayHaveRun = true;
    }
    bool Retryable = verdictOf(Code) == Verdict::NotRun
                         ? Code != ErrorCode::Malformed && Code != ErrorCode::TooLarge
                         : Read;
    if (Retryable)
      this->retry(Pool->entry().Id, errorName(Code));
    else
      this->finish(*Reply);
    return;
  }
  if (!Read) {
    Router->onCommitAcknowledged(*Pool, *Reply, Sent);
    this->finishProvenCommit(*Reply, Pool->entry().Id);
    return;
  }
  if (G.Floor) {
    Router->onReadAnswered(*Pool, payloadBytes(O.Stmt, *Reply));
    this->finish(*Reply);
    return;
  }
  if (!Confirmed) {
    // The target refused the transaction that should have shown that it is primary, and then ran
    // the read outside of it. Its rows are not used.
    O.MayHaveRun = true;
    this->retry(Pool->entry().Id, "lead_not_proved");
    return;
  }
  this->finishProvenRead(*Reply, G, *Confirmed);
}

// Answers a read that the primary of By served, once it is known that the primary had not been
// replaced. Load pattern: a primary that is cut off with some instances and does not know that
// another one was promoted.
void Session::finishProvenRead(Answer Reply, const Grant &G, const placement::Lead &By) {
  Operation &O = *this->Op;
  ++O.AttemptsInFlight; // until the proof is there
  Instant Deadline = std::min(O.AnswerDeadline, this->Deps.InLoop.now() + ProofTimeout);
  this->Deps.Host.router(O.Route.Service)
      ->prover()
      .prove(By, O.ProveSince, Deadline,
             [Self = this->weak_from_this(), Number = O.Number, Reply = std::move(Reply),
              Target = G.Pool->entry().Id](LeadProof Result) {
               auto S = Self.lock();
               if (!S || !S->isCurrent(Number))
                 return;
               --S->Op->AttemptsInFlight;
               if (Result == LeadProof::Proven) {
                 S->finish(Reply);
                 return;
               }
               S->Op->MayHaveRun = true;
               ++S->Op->Failures;
               S->retry(Target, leadProofName(Result));
             });
}

// Answers a commit that Leader acknowledged, once it is known that no change of primary drops it.
// Load pattern: a server that joins while the primary is being replaced confirms commits to the old
// one.
void Session::finishProvenCommit(Answer Reply, const TargetId &Leader) {
  Operation &O = *this->Op;
  ServiceRouter *Router = this->Deps.Host.router(O.Route.Service);
  if (!Reply.Position) {
    this->finishError(ErrorCode::InDoubt, "the target gave no log position", "commit_unproved");
    return;
  }
  LogPosition Commit = *Reply.Position;
  this->OwnCommitPosition = std::max(this->OwnCommitPosition, Commit);
  ++O.AttemptsInFlight; // until the proof is there
  Router->commits().prove(Leader, Commit, O.AnswerDeadline,
                          [Self = this->weak_from_this(), Number = O.Number, Router, Leader, Commit,
                           Reply = std::move(Reply)](bool Proven) {
                            TargetPool *Pool = Router->pool(Leader);
                            if (Proven && Pool)
                              Pool->onWriteDone();
                            auto S = Self.lock();
                            if (!S || !S->isCurrent(Number))
                              return;
                            --S->Op->AttemptsInFlight;
                            if (!Proven) {
                              S->finishError(ErrorCode::InDoubt, "the commit may be dropped",
                                             "commit_unproved");
                              return;
                            }
                            Router->onCommitTold(Commit);
                            S->finish(Reply);
                          });
}

} // namespace toucan::gateway
