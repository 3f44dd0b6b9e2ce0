#include "session/local.h"
#include "session/machine.h"

#include "absl/strings/str_format.h"

#include <cassert>

namespace toucan::session {

namespace {

constexpr absl::Duration FirstRetryDelay = absl::Milliseconds(25);
constexpr absl::Duration MaxRetryDelay = absl::Seconds(1);
constexpr uint32_t MaxDoublings = 6;
// For chunks that are missing when Done has arrived.
constexpr absl::Duration GapTimeout = absl::Seconds(5);
// Bounds the memory of chunks that wait for an earlier one; the credit window holds 8 of them.
constexpr size_t MaxEarlyChunks = 64;
constexpr size_t FrameHeaderBytes = 5;
constexpr const char *RequestIdSetting = "toucanrun.request_id";

// Reason a retry is counted under; None when a request that ends like this is not sent again.
Reason retryReason(Verdict V, Reason R, bool Repeatable) {
  if (V != Verdict::NotRun) {
    if (!Repeatable)
      return Reason::None;
    switch (R) {
    case Reason::TargetLost:
    case Reason::TermChanged:
      return Reason::RetryTargetLost;
    case Reason::LinkLost:
      return Reason::RetryLinkLost;
    default:
      return Reason::None;
    }
  }
  switch (R) {
  case Reason::NoOwner:
  case Reason::Draining:
  case Reason::RulesUnknown:
    return Reason::RetryOwnerMoved;
  case Reason::LinkDown:
  case Reason::LinkLost:
    return Reason::RetryLinkLost;
  case Reason::NoPrimary:
  case Reason::TargetUnreachable:
  case Reason::TargetLost:
  case Reason::PrimaryNotReached:
    return Reason::RetryTargetLost;
  case Reason::FloorUnreachable:
    return Reason::RetryReplicaBehind;
  default:
    return Reason::None;
  }
}

// The verdict and reason of a Done; unknown values of another version count as an unknown outcome.
Verdict verdictOf(const proto::Done &D) {
  bool Known = D.verdict() == proto::NOT_RUN || D.verdict() == proto::RAN;
  return Known ? static_cast<Verdict>(D.verdict()) : Verdict::MayHaveRun;
}

Reason reasonOf(const proto::Done &D) {
  if (D.reason() < ReasonCount)
    return static_cast<Reason>(D.reason());
  return verdictOf(D) == Verdict::NotRun ? Reason::TargetUnreachable : Reason::TargetLost;
}

// SQLSTATE and text for the caller. The text never promises more than the verdict. A refusal that
// the pool gave a hint with has it in the hint field, as "retry after N ms", rounded up.
std::string errorFor(Verdict V, Reason R, const std::string &Detail, absl::Duration RetryAfter) {
  if (V != Verdict::NotRun && reasonVerdict(R) == Verdict::NotRun) {
    std::string Cause = reasonText(R, Detail);
    Cause = Cause.substr(0, Cause.rfind(';'));
    return wire::error("ERROR", reasonSqlState(Reason::TargetLost),
                       absl::StrFormat("%s; the request may have run", Cause));
  }
  std::string Text = reasonText(R, Detail);
  if (reasonVerdict(R) != Verdict::NotRun || RetryAfter <= absl::ZeroDuration())
    return wire::error("ERROR", reasonSqlState(R), Text);
  int64_t Ms = absl::ToInt64Milliseconds(absl::Ceil(RetryAfter, absl::Milliseconds(1)));
  return wire::errorResponse({{'S', "ERROR"},
                              {'V', "ERROR"},
                              {'C', std::string(reasonSqlState(R))},
                              {'M', Text},
                              {'H', absl::StrFormat("retry after %d ms", Ms)}});
}

} // namespace

void Machine::startRequest(Batch B, Instant Now, Actions &Out) {
  ++this->Requests;
  this->write(std::move(B.LocalReply), Out);
  if (!B.NeedsTarget) {
    if (B.End != BatchEnd::Flush)
      this->write(wire::readyForQuery(this->State.Tx.Status), Out);
    return;
  }
  this->Common.Budget.onRequest();
  this->Request.emplace();
  this->Request->End = B.End;
  this->Request->Begins = B.BeginsTransaction;
  this->Request->Ends = B.EndsTransaction;
  this->Request->Started = Now;
  this->fillExec(B, Now);
  this->Request->Defined = std::move(B.DefinedStatements);
  if (auto Refusal = this->refusalNow())
    return this->endWithError(Verdict::NotRun, *Refusal, this->Database.Value, Now, Out);
  this->dispatch(Now, Out);
}

// What the rules say of a request of several statements: the strictest of each.
rules::Policy Machine::combinedPolicy(const Batch &B) const {
  rules::Policy All;
  bool First = true;
  for (rules::RequestFacts Facts : B.Facts) {
    Facts.Database = this->Database;
    rules::Policy P = this->Common.View->Rules->policyFor(Facts);
    All.MaxAge = First ? P.MaxAge : std::min(All.MaxAge, P.MaxAge);
    All.Once = All.Once || P.Once;
    if (P.Class == rules::WorkClass::Long)
      All.Class = P.Class;
    All.ClassByRule = All.ClassByRule || P.ClassByRule;
    First = false;
  }
  return All;
}

// Decides whether the policy lets a replica serve the request; the rules and the floor come on top.
bool Machine::replicaMayServe(const Running &R) const {
  bool AtPrimary = this->Common.Options.Reads == ReadsAfterWrite::AtPrimary && this->HasWritten;
  return R.IsRead && !AtPrimary;
}

void Machine::fillExec(const Batch &B, Instant Now) {
  Running &R = *this->Request;
  const Transaction &Tx = this->State.Tx;
  rules::Policy P = this->combinedPolicy(B);
  R.IsRead = !Tx.open() && !B.BeginsTransaction && B.ReadOnly;
  R.Class = P.Class;
  absl::Duration Limit = P.Class == rules::WorkClass::Long ? this->Common.Options.LongRequestTimeout
                                                           : this->Common.Options.RequestTimeout;
  absl::Duration Chosen = this->State.Settings.statementTimeout();
  R.Deadline = Now + (Chosen > absl::ZeroDuration() ? std::min(Chosen, Limit) : Limit);
  proto::ExecRequest &E = R.Exec;
  E.set_session_id(this->Options.Session);
  E.set_database(this->Database.Value);
  E.set_user(this->User);
  E.set_frames(B.Frames);
  for (uint32_t Index : B.Hidden)
    E.add_hidden(Index);
  E.set_kind(R.IsRead                           ? proto::READ
             : Tx.open() || B.BeginsTransaction ? proto::TRANSACTION
                                                : proto::WRITE);
  E.set_work_class(P.Class == rules::WorkClass::Long ? proto::LONG : proto::SHORT);
  E.set_class_by_rule(P.ClassByRule);
  this->HasWritten = this->HasWritten || B.Writes;
  E.set_max_age_us(this->replicaMayServe(R) ? absl::ToInt64Microseconds(P.MaxAge) : 0);
  E.set_lease(Tx.Lease.Value);
  R.KeyFromSetting = B.RequestKey.empty() && B.Writes;
  E.set_request_key(R.KeyFromSetting ? *this->State.Settings.get(RequestIdSetting) : B.RequestKey);
  // A rule may name a table of a statement that could not be parsed.
  E.set_once(P.Once || (B.TablesUnknown && !E.request_key().empty()));
  E.set_fairness_key(this->Options.Address);
  E.set_fingerprint(B.Facts.size() == 1 ? B.Facts[0].Fingerprint : 0);
  bool Executes = B.Executes || B.End == BatchEnd::Query;
  E.set_verify_floor(!this->FloorKnown && Executes && Tx.Lease.Value == 0 &&
                     E.kind() != proto::WRITE);
}

// Why this instance may not take new work; requests of an open transaction go on.
std::optional<Reason> Machine::refusalNow() const {
  if (this->State.Tx.Lease.Value != 0)
    return std::nullopt;
  if (!this->Common.View->RulesKnown)
    return Reason::RulesUnknown;
  if (!this->Common.View->findGroup(this->Database))
    return Reason::UnknownDatabase;
  return std::nullopt;
}

// Sends the request to the instance that holds the lease, or else owns the database. An observer
// takes the owner's place when only the observer reaches the primary that the request needs.
void Machine::dispatch(Instant Now, Actions &Out) {
  Running &R = *this->Request;
  bool Leased = this->State.Tx.Lease.Value != 0;
  std::optional<InstanceId> Owner =
      Leased ? this->State.Tx.Owner : this->Common.View->ownerOf(this->Database);
  if (Now >= R.Deadline)
    return this->endWithError(Verdict::NotRun, Reason::QueueDeadline, "", Now, Out);
  if (!Owner)
    return this->failAttempt(Verdict::NotRun, Reason::NoOwner, this->Database.Value,
                             absl::ZeroDuration(), Now, Out);
  if (!Leased && R.needsPrimary())
    if (auto Observer = this->Common.observerOf(this->Database, Now)) {
      R.Redirected = true;
      Owner = Observer;
    }
  this->sendTo(*Owner, Now, Out);
}

void Machine::sendTo(const InstanceId &Owner, Instant Now, Actions &Out) {
  Running &R = *this->Request;
  ++R.Attempts;
  R.Owner = Owner;
  R.Sent = true;
  // Each attempt has an id of its own, so that late answers to an earlier one are told apart.
  R.Exec.set_request_id(uint64_t{this->Options.Session} << 32 | this->NextAttempt++);
  R.Exec.set_budget_us(static_cast<uint64_t>(absl::ToInt64Microseconds(R.Deadline - Now)));
  R.Exec.mutable_floor()->set_term(this->Floor.InTerm.Value);
  R.Exec.mutable_floor()->set_position(this->Floor.Position);
  SendAction Send{.To = Owner};
  *Send.Message.mutable_exec() = R.Exec;
  Out.emplace_back(std::move(Send));
  this->armTimer(R.Deadline + DeadlineGrace, Out);
}

// Sends a request that the owner has refused to the instance that reaches the primary, at once and
// without the retry budget: it happens once for each request. A second hint is kept for the next
// attempt, which waits like any other, so that hints cannot send a request in a circle.
bool Machine::redirect(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  Running &R = *this->Request;
  bool NotRun = verdictOf(D) == Verdict::NotRun && !R.EarlierMayHaveRun;
  if (reasonOf(D) != Reason::PrimaryNotReached || !NotRun || this->State.Tx.Lease.Value != 0)
    return false;
  ObserverHint Hint{.Id = InstanceId(D.observer()),
                    .Until = Now + absl::Microseconds(D.observer_valid_us())};
  if (!this->Common.noteObserver(this->Database, From, Hint, Now) || R.Redirected ||
      Now >= R.Deadline)
    return false;
  R.Redirected = true;
  this->count(Reason::RetryRedirected, Out);
  Out.emplace_back(LogAction{.Level = LogLevel::Debug,
                             .Event = "request_redirected",
                             .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                       {"from", From.Value},
                                       {"to", Hint.Id.Value}}});
  this->sendTo(Hint.Id, Now, Out);
  return true;
}

void Machine::onUnsent(uint64_t RequestId, Instant Now, Actions &Out) {
  if (!this->Request || this->Request->Exec.request_id() != RequestId)
    return;
  this->failAttempt(Verdict::NotRun, Reason::LinkDown, this->Request->Owner.Value,
                    absl::ZeroDuration(), Now, Out);
  this->resume(Now, Out);
}

void Machine::onPeerLost(const InstanceId &Peer, Instant Now, Actions &Out) {
  if (this->closed())
    return;
  bool LeaseLost = this->State.Tx.Lease.Value != 0 && this->State.Tx.Owner == Peer;
  if (this->Request && this->Request->Sent && this->Request->Owner == Peer) {
    this->failAttempt(Verdict::MayHaveRun, Reason::LinkLost, Peer.Value, absl::ZeroDuration(), Now,
                      Out);
    this->resume(Now, Out);
  } else if (LeaseLost) {
    this->State.Tx = {.Status = 'E', .LossUntold = true};
  }
}

// An attempt has ended without an answer of the target: tries again, or reports the error.
void Machine::failAttempt(Verdict V, Reason R, const std::string &Detail, absl::Duration RetryAfter,
                          Instant Now, Actions &Out) {
  Running &Run = *this->Request;
  // An observer that has gone or leaves does not get further requests.
  if (R == Reason::LinkDown || R == Reason::LinkLost || R == Reason::Draining)
    this->Common.forgetObserver(Run.Owner);
  absl::Duration Delay = this->retryDelay(RetryAfter);
  if (!this->mayRetry(V, R, Delay, Now)) {
    Run.RetryAfter = RetryAfter;
    return this->endWithError(V, R, Detail, Now, Out);
  }
  Reason Counted = retryReason(V, R, Run.repeatable());
  this->count(Counted, Out);
  Out.emplace_back(LogAction{.Level = LogLevel::Debug,
                             .Event = "request_retry",
                             .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                       {"reason", std::string(reasonName(Counted))},
                                       {"cause", std::string(reasonName(R))},
                                       {"attempt", absl::StrFormat("%d", Run.Attempts)}}});
  Run.EarlierMayHaveRun = Run.EarlierMayHaveRun || V != Verdict::NotRun;
  Run.Sent = false;
  Run.RetryAt = Now + Delay;
  Run.Early.clear();
  Run.Held.reset();
  this->armTimer(Run.RetryAt, Out);
}

bool Machine::mayRetry(Verdict V, Reason R, absl::Duration Delay, Instant Now) {
  const Running &Run = *this->Request;
  return retryReason(V, R, Run.repeatable()) != Reason::None && Run.NextChunk == 0 &&
         this->State.Tx.Lease.Value == 0 && Now + Delay < Run.Deadline &&
         this->Common.Budget.take();
}

// Doubles with each attempt; the jitter spreads callers that failed in the same moment.
absl::Duration Machine::retryDelay(absl::Duration RetryAfter) {
  uint32_t Doublings = std::min(std::max(this->Request->Attempts, 1U) - 1, MaxDoublings);
  absl::Duration Base = std::min(FirstRetryDelay * (1 << Doublings), MaxRetryDelay);
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  return std::max(RetryAfter, Base) * Jitter(this->Common.Random);
}

void Machine::endWithError(Verdict V, Reason R, const std::string &Detail, Instant Now,
                           Actions &Out) {
  Running &Run = *this->Request;
  // An earlier attempt of a read may have run although the last one has not.
  if (Run.EarlierMayHaveRun)
    V = Verdict::MayHaveRun;
  bool PartOfRead = Run.IsRead && Run.NextChunk > 0;
  if (PartOfRead && (R == Reason::LinkLost || R == Reason::TargetLost))
    R = Reason::AnswerIncomplete;
  this->write(errorFor(V, R, Detail, Run.RetryAfter), Out);
  this->count(R, Out);
  this->logRefusal(R, Detail, Out);
  Run.ErrorRelayed = true;
  bool Ends = this->Request->Ends;
  this->endTransactionAfterError(Out);
  // After COMMIT or ROLLBACK the transaction is over, whatever its outcome.
  if (Ends) {
    this->State.Tx = Transaction{};
    this->endSettings(true, Out);
  }
  this->finishRequest(true, Now, Out);
}

// An open transaction is given up after an error of the proxy: it is rolled back by the end of its
// target connection, and the session stays in a failed transaction until the caller ends it.
void Machine::endTransactionAfterError(Actions &Out) {
  Transaction &Tx = this->State.Tx;
  if (!Tx.open())
    return;
  this->releaseLease(Tx.Lease, Tx.Owner, Out);
  Tx = {.Status = 'E'};
}

void Machine::onChunk(const proto::Chunk &C, Instant Now, Actions &Out) {
  if (!this->Request || !this->Request->Sent || this->Request->Exec.request_id() != C.request_id())
    return;
  Running &R = *this->Request;
  if (C.sequence() < R.NextChunk || R.Early.contains(C.sequence()))
    return;
  if (R.Early.size() >= MaxEarlyChunks)
    this->incomplete("too many parts of the answer arrived out of order", Now, Out);
  else
    this->takeChunk(C, Now, Out);
  this->resume(Now, Out);
}

// Relays a chunk, and those that waited for it, in the order of their sequence numbers.
void Machine::takeChunk(const proto::Chunk &C, Instant Now, Actions &Out) {
  Running &R = *this->Request;
  if (C.sequence() == R.NextChunk) {
    ++R.NextChunk;
    this->relayChunk(C.frames(), Now, Out);
  } else {
    R.Early.emplace(C.sequence(), C.frames());
  }
  // The loop ends when a malformed chunk ends the request.
  while (this->Request && !R.Early.empty() && R.Early.begin()->first == R.NextChunk) {
    auto Node = R.Early.extract(R.Early.begin());
    ++R.NextChunk;
    this->relayChunk(Node.mapped(), Now, Out);
  }
  if (this->Request && R.Held && R.Held->chunks() <= R.NextChunk) {
    proto::Done Held = *R.Held;
    this->complete(Held, Now, Out);
  }
}

void Machine::relayChunk(const std::string &Frames, Instant Now, Actions &Out) {
  if (!this->scanChunk(Frames))
    return this->incomplete("a part of the answer was malformed", Now, Out);
  this->write(Frames, Out);
  this->Segments.push_back({.EndOffset = this->BytesOut,
                            .RequestId = this->Request->Exec.request_id(),
                            .Bytes = Frames.size()});
}

// Notes errors and confirmed statements; false when the chunk does not hold whole frames.
bool Machine::scanChunk(std::string_view Frames) {
  Running &R = *this->Request;
  while (!Frames.empty()) {
    if (Frames.size() < FrameHeaderBytes)
      return false;
    wire::BodyReader Header(Frames.substr(1, FrameHeaderBytes - 1));
    auto Length = static_cast<uint32_t>(Header.int32());
    if (Length < FrameHeaderBytes - 1 || Frames.size() - 1 < Length)
      return false;
    R.ErrorRelayed = R.ErrorRelayed || Frames[0] == 'E';
    if (R.Ends && Frames[0] == 'C')
      R.LastTag = wire::BodyReader(Frames.substr(FrameHeaderBytes)).cstring();
    R.ParsesConfirmed += Frames[0] == '1' ? 1 : 0;
    Frames.remove_prefix(size_t{Length} + 1);
  }
  return true;
}

// The rest of the answer cannot be relayed.
void Machine::incomplete(const std::string &Detail, Instant Now, Actions &Out) {
  this->sendCancel(Out);
  // The session sees its write even when it does not see the answer.
  if (this->Request->Held)
    this->raiseFloor(*this->Request->Held, Out);
  this->endWithError(Verdict::MayHaveRun, Reason::AnswerIncomplete, Detail, Now, Out);
}

void Machine::onDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  bool Current =
      this->Request && this->Request->Sent && this->Request->Exec.request_id() == D.request_id();
  if (!Current) {
    // The transaction of a request that has been given up must not stay open.
    if (D.lease() != this->State.Tx.Lease.Value)
      this->releaseLease(LeaseId(D.lease()), From, Out);
    return;
  }
  this->takeDone(From, D, Now, Out);
  this->resume(Now, Out);
}

void Machine::takeDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  Running &R = *this->Request;
  if (reasonOf(D) != Reason::None) {
    if (D.lease() != this->State.Tx.Lease.Value)
      this->releaseLease(LeaseId(D.lease()), From, Out);
    if (this->redirect(From, D, Now, Out))
      return;
    // The text ends at a null byte, which a message to the caller cannot hold.
    return this->failAttempt(verdictOf(D), reasonOf(D), std::string(D.detail().c_str()),
                             absl::Microseconds(D.retry_after_us()), Now, Out);
  }
  if (D.chunks() > R.NextChunk) {
    R.Held = D;
    R.GapDeadline = Now + GapTimeout;
    return this->armTimer(R.GapDeadline, Out);
  }
  this->complete(D, Now, Out);
}

// The target has answered and the whole answer has been relayed.
void Machine::complete(const proto::Done &D, Instant Now, Actions &Out) {
  this->Request->Held = D;
  if (D.chunks() < this->Request->NextChunk)
    return this->incomplete("more parts of the answer arrived than were sent", Now, Out);
  this->raiseFloor(D, Out);
  this->keepTransaction(D);
  // A COMMIT of a failed transaction is answered by ROLLBACK.
  if (this->Request->Ends)
    this->endSettings(this->Request->ErrorRelayed || this->Request->LastTag == "ROLLBACK", Out);
  // The id is of one write; another write with the same id would count as its repetition. It stays
  // until a write has succeeded, since the caller may send the request again.
  if (this->Request->KeyFromSetting && !this->Request->ErrorRelayed)
    this->State.Settings.reset(RequestIdSetting);
  this->finishRequest(this->Request->ErrorRelayed, Now, Out);
}

void Machine::raiseFloor(const proto::Done &D, Actions &Out) {
  LogPosition Seen{.InTerm = Term(D.observed().term()), .Position = D.observed().position()};
  if (Seen.InTerm.Value == 0)
    return;
  this->Floor = std::max(this->Floor, Seen);
  this->FloorKnown = this->FloorKnown || D.wrote() || this->Request->Exec.verify_floor();
  if (!D.wrote())
    return;
  std::string Token = this->Common.Signer.sign(this->Database, Seen);
  if (!Token.empty())
    this->write(wire::parameterStatus("toucanrun.token", Token), Out);
}

void Machine::endSettings(bool RolledBack, Actions &Out) {
  std::string Report = endTransactionSettings(this->State, RolledBack);
  if (!Report.empty())
    this->write(Report, Out);
}

void Machine::keepTransaction(const proto::Done &D) {
  Transaction &Tx = this->State.Tx;
  bool Open = D.tx_status() == 'T' || D.tx_status() == 'E';
  if (!Open) {
    Tx = Transaction{};
    return;
  }
  Tx.Status = static_cast<char>(D.tx_status());
  Tx.Lease = LeaseId(D.lease());
  Tx.Owner = this->Request->Owner;
  // Without a lease the transaction cannot be continued.
  if (D.lease() == 0)
    Tx = {.Status = 'E', .LossUntold = true};
}

// Ends the request for the caller.
void Machine::finishRequest(bool Failed, Instant Now, Actions &Out) {
  if (Failed)
    this->dropUnconfirmed();
  Out.emplace_back(
      LatencyAction{.Class = this->Request->Class, .Elapsed = Now - this->Request->Started});
  bool Flush = this->Request->End == BatchEnd::Flush;
  this->Request.reset();
  if (!Flush)
    this->write(wire::readyForQuery(this->State.Tx.Status), Out);
  else if (Failed)
    this->Collecting.skipToSync();
}

// Forgets statements whose Parse the target has not confirmed.
void Machine::dropUnconfirmed() {
  const Running &R = *this->Request;
  for (size_t I = R.ParsesConfirmed; I < R.Defined.size(); ++I) {
    auto It = this->State.Statements.find(R.Defined[I].first);
    if (It == this->State.Statements.end() || It->second != R.Defined[I].second)
      continue;
    this->State.StatementBytes -= It->second->ParseFrame.size();
    this->State.Statements.erase(It);
  }
}

void Machine::releaseLease(LeaseId Lease, const InstanceId &Owner, Actions &Out) {
  if (Lease.Value == 0)
    return;
  SendAction Send{.To = Owner};
  Send.Message.mutable_release()->set_lease(Lease.Value);
  Out.emplace_back(std::move(Send));
}

void Machine::sendCancel(Actions &Out) {
  SendAction Send{.To = this->Request->Owner};
  Send.Message.mutable_cancel()->set_request_id(this->Request->Exec.request_id());
  Out.emplace_back(std::move(Send));
}

} // namespace toucan::session
