#include "session/local.h"
#include "session/machine.h"

#include "absl/strings/str_format.h"

#include <cassert>

namespace toucan::session {

namespace {

constexpr absl::Duration FirstRetryDelay = absl::Milliseconds(25);
constexpr absl::Duration MaxRetryDelay = absl::Seconds(1);
constexpr uint32_t MaxDoublings = 6;
// Time to wait for chunks that are still missing when Done has arrived.
constexpr absl::Duration MissingChunksTimeout = absl::Seconds(5);
// Limits the memory of out-of-order chunks; the credit window allows 8 chunks.
constexpr size_t MaxOutOfOrderChunks = 64;
constexpr size_t FrameHeaderBytes = 5;
constexpr const char *RequestIdSetting = "toucanrun.request_id";

// Returns the reason under which a retry is counted, or None when the request must not be retried.
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

// Verdict and reason of a Done message. Unknown values from another version count as an unknown
// outcome.
Verdict verdictOf(const proto::Done &D) {
  bool Known = D.verdict() == proto::NOT_RUN || D.verdict() == proto::RAN;
  return Known ? static_cast<Verdict>(D.verdict()) : Verdict::MayHaveRun;
}

Reason reasonOf(const proto::Done &D) {
  if (D.reason() < ReasonCount)
    return static_cast<Reason>(D.reason());
  return verdictOf(D) == Verdict::NotRun ? Reason::TargetUnreachable : Reason::TargetLost;
}

// Builds the ErrorResponse for the caller. The text never promises more than the verdict. A retry
// hint of the pool goes into the hint field as "retry after N ms", rounded up.
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
  ++this->RequestCount;
  this->write(std::move(B.LocalReply), Out);
  if (!B.NeedsTarget) {
    if (B.End != BatchEnd::Flush)
      this->write(wire::readyForQuery(this->State.Tx.Status), Out);
    return;
  }
  this->Common.Budget.onRequest();
  this->Request.emplace();
  this->Request->End = B.End;
  this->Request->BeginsTransaction = B.BeginsTransaction;
  this->Request->EndsTransaction = B.EndsTransaction;
  this->Request->Started = Now;
  this->fillExec(B, Now);
  this->Request->Defined = std::move(B.DefinedStatements);
  if (auto Refusal = this->refusalReason())
    return this->endWithError(Verdict::NotRun, *Refusal, this->Database.Value, Now, Out);
  this->dispatch(Now, Out);
}

// Combines the policies of all statements of a request: the strictest value of each field applies.
rules::Policy Machine::combinedPolicy(const Batch &B) const {
  rules::Policy All;
  bool First = true;
  for (rules::RequestFacts Facts : B.Facts) {
    Facts.Database = this->Database;
    rules::Policy P = this->Common.View->Rules->policyFor(Facts);
    All.MaxAge = First ? P.MaxAge : std::min(All.MaxAge, P.MaxAge);
    All.RunsAtMostOnce = All.RunsAtMostOnce || P.RunsAtMostOnce;
    if (P.Class == rules::WorkClass::Long)
      All.Class = P.Class;
    All.HasClassRule = All.HasClassRule || P.HasClassRule;
    First = false;
  }
  return All;
}

// Returns whether the reads-after-write policy lets a replica serve the request; the rules and the
// floor apply in addition.
bool Machine::replicaMayServe(const ActiveRequest &R) const {
  bool ReadsAtPrimary =
      this->Common.Options.Reads == ReadsAfterWrite::AtPrimary && this->HasWritten;
  return R.IsRead && !ReadsAtPrimary;
}

void Machine::fillExec(const Batch &B, Instant Now) {
  ActiveRequest &R = *this->Request;
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
  E.set_class_by_rule(P.HasClassRule);
  this->HasWritten = this->HasWritten || B.Writes;
  E.set_max_age_us(this->replicaMayServe(R) ? absl::ToInt64Microseconds(P.MaxAge) : 0);
  E.set_lease(Tx.Lease.Value);
  R.RequestKeyFromSetting = B.RequestKey.empty() && B.Writes;
  E.set_request_key(R.RequestKeyFromSetting ? *this->State.Settings.get(RequestIdSetting)
                                            : B.RequestKey);
  // A statement that could not be parsed may use a table that a rule names.
  E.set_once(P.RunsAtMostOnce || (B.TablesUnknown && !E.request_key().empty()));
  E.set_fairness_key(this->Options.Address);
  E.set_fingerprint(B.Facts.size() == 1 ? B.Facts[0].Fingerprint : 0);
  bool Executes = B.Executes || B.End == BatchEnd::Query;
  E.set_verify_floor(!this->FloorKnown && Executes && Tx.Lease.Value == 0 &&
                     E.kind() != proto::WRITE);
}

// Returns why this instance must refuse new requests. Requests with a lease are always accepted.
std::optional<Reason> Machine::refusalReason() const {
  if (this->State.Tx.Lease.Value != 0)
    return std::nullopt;
  if (!this->Common.View->RulesKnown)
    return Reason::RulesUnknown;
  if (!this->Common.View->findGroup(this->Database))
    return Reason::UnknownDatabase;
  return std::nullopt;
}

// Sends the request to the instance that holds the lease, or else to the owner of the database. A
// request that needs the primary goes to the observer instead while a hint is valid.
void Machine::dispatch(Instant Now, Actions &Out) {
  ActiveRequest &R = *this->Request;
  bool Leased = this->State.Tx.Lease.Value != 0;
  std::optional<InstanceId> Destination =
      Leased ? this->State.Tx.LeaseHolder : this->Common.View->ownerOf(this->Database);
  if (Now >= R.Deadline)
    return this->endWithError(Verdict::NotRun, Reason::QueueDeadline, "", Now, Out);
  if (!Destination)
    return this->failAttempt(Verdict::NotRun, Reason::NoOwner, this->Database.Value,
                             absl::ZeroDuration(), Now, Out);
  if (!Leased && R.needsPrimary())
    if (auto Observer = this->Common.observerOf(this->Database, Now)) {
      R.Redirected = true;
      Destination = Observer;
    }
  this->sendTo(*Destination, Now, Out);
}

void Machine::sendTo(const InstanceId &Destination, Instant Now, Actions &Out) {
  ActiveRequest &R = *this->Request;
  ++R.Attempts;
  R.Destination = Destination;
  R.Sent = true;
  // Each attempt has its own id, so that late answers to an earlier attempt are recognized.
  R.Exec.set_request_id(uint64_t{this->Options.Session} << 32 | this->NextAttempt++);
  R.Exec.set_budget_us(static_cast<uint64_t>(absl::ToInt64Microseconds(R.Deadline - Now)));
  R.Exec.mutable_floor()->set_term(this->Floor.InTerm.Value);
  R.Exec.mutable_floor()->set_position(this->Floor.Position);
  SendAction Send{.To = Destination};
  *Send.Message.mutable_exec() = R.Exec;
  Out.emplace_back(std::move(Send));
  this->armTimer(R.Deadline + DeadlineGrace, Out);
}

// Sends a request that the owner has refused to the observer of the primary, immediately and
// without using the retry budget, at most once for each request. A second hint is only stored for
// the next attempt, which is delayed like any other, so that hints cannot create a forwarding loop.
bool Machine::redirect(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  ActiveRequest &R = *this->Request;
  bool NotRun = verdictOf(D) == Verdict::NotRun && !R.EarlierAttemptMayHaveRun;
  if (reasonOf(D) != Reason::PrimaryNotReached || !NotRun || this->State.Tx.Lease.Value != 0)
    return false;
  ObserverHint Hint{.Id = InstanceId(D.observer()),
                    .Until = Now + absl::Microseconds(D.observer_valid_us())};
  if (!this->Common.recordObserver(this->Database, From, Hint, Now) || R.Redirected ||
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

void Machine::onSendFailed(uint64_t RequestId, Instant Now, Actions &Out) {
  if (!this->Request || this->Request->Exec.request_id() != RequestId)
    return;
  this->failAttempt(Verdict::NotRun, Reason::LinkDown, this->Request->Destination.Value,
                    absl::ZeroDuration(), Now, Out);
  this->resumeInput(Now, Out);
}

void Machine::onPeerLost(const InstanceId &Peer, Instant Now, Actions &Out) {
  if (this->closed())
    return;
  bool LeaseLost = this->State.Tx.Lease.Value != 0 && this->State.Tx.LeaseHolder == Peer;
  if (this->Request && this->Request->Sent && this->Request->Destination == Peer) {
    this->failAttempt(Verdict::MayHaveRun, Reason::LinkLost, Peer.Value, absl::ZeroDuration(), Now,
                      Out);
    this->resumeInput(Now, Out);
  } else if (LeaseLost) {
    this->State.Tx = {.Status = 'E', .LossUnreported = true};
  }
}

// An attempt has failed without an answer from the target: schedules a retry or reports the error.
void Machine::failAttempt(Verdict V, Reason R, const std::string &Detail, absl::Duration RetryAfter,
                          Instant Now, Actions &Out) {
  ActiveRequest &Active = *this->Request;
  // An observer that is unreachable or draining gets no further requests.
  if (R == Reason::LinkDown || R == Reason::LinkLost || R == Reason::Draining)
    this->Common.removeObserver(Active.Destination);
  absl::Duration Delay = this->retryDelay(RetryAfter);
  if (!this->mayRetry(V, R, Delay, Now)) {
    Active.RetryAfter = RetryAfter;
    return this->endWithError(V, R, Detail, Now, Out);
  }
  Reason Counted = retryReason(V, R, Active.repeatable());
  this->count(Counted, Out);
  Out.emplace_back(LogAction{.Level = LogLevel::Debug,
                             .Event = "request_retry",
                             .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                       {"reason", std::string(reasonName(Counted))},
                                       {"cause", std::string(reasonName(R))},
                                       {"attempt", absl::StrFormat("%d", Active.Attempts)}}});
  Active.EarlierAttemptMayHaveRun = Active.EarlierAttemptMayHaveRun || V != Verdict::NotRun;
  Active.Sent = false;
  Active.RetryAt = Now + Delay;
  Active.OutOfOrderChunks.clear();
  Active.PendingDone.reset();
  this->armTimer(Active.RetryAt, Out);
}

bool Machine::mayRetry(Verdict V, Reason R, absl::Duration Delay, Instant Now) {
  const ActiveRequest &Active = *this->Request;
  return retryReason(V, R, Active.repeatable()) != Reason::None && Active.NextChunk == 0 &&
         this->State.Tx.Lease.Value == 0 && Now + Delay < Active.Deadline &&
         this->Common.Budget.tryTake();
}

// Exponential backoff; the jitter spreads the retries of callers that failed at the same time.
absl::Duration Machine::retryDelay(absl::Duration RetryAfter) {
  uint32_t Doublings = std::min(std::max(this->Request->Attempts, 1U) - 1, MaxDoublings);
  absl::Duration Base = std::min(FirstRetryDelay * (1 << Doublings), MaxRetryDelay);
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  return std::max(RetryAfter, Base) * Jitter(this->Common.Random);
}

void Machine::endWithError(Verdict V, Reason R, const std::string &Detail, Instant Now,
                           Actions &Out) {
  ActiveRequest &Active = *this->Request;
  // An earlier attempt may have run although the last one has not.
  if (Active.EarlierAttemptMayHaveRun)
    V = Verdict::MayHaveRun;
  bool PartOfRead = Active.IsRead && Active.NextChunk > 0;
  if (PartOfRead && (R == Reason::LinkLost || R == Reason::TargetLost))
    R = Reason::AnswerIncomplete;
  this->write(errorFor(V, R, Detail, Active.RetryAfter), Out);
  this->count(R, Out);
  this->logRefusal(R, Detail, Out);
  Active.ErrorRelayed = true;
  bool Ends = this->Request->EndsTransaction;
  this->endTransactionAfterError(Out);
  // After COMMIT or ROLLBACK the transaction is over, whatever its outcome.
  if (Ends) {
    this->State.Tx = Transaction{};
    this->finishTransactionSettings(true, Out);
  }
  this->finishRequest(true, Now, Out);
}

// Aborts the open transaction after an error of the proxy. The target connection is closed, which
// rolls it back, and the session stays in a failed transaction until the caller ends it.
void Machine::endTransactionAfterError(Actions &Out) {
  Transaction &Tx = this->State.Tx;
  if (!Tx.open())
    return;
  this->releaseLease(Tx.Lease, Tx.LeaseHolder, Out);
  Tx = {.Status = 'E'};
}

void Machine::onChunk(const proto::Chunk &C, Instant Now, Actions &Out) {
  if (!this->Request || !this->Request->Sent || this->Request->Exec.request_id() != C.request_id())
    return;
  ActiveRequest &R = *this->Request;
  if (C.sequence() < R.NextChunk || R.OutOfOrderChunks.contains(C.sequence()))
    return;
  if (R.OutOfOrderChunks.size() >= MaxOutOfOrderChunks)
    this->failIncompleteAnswer("too many parts of the answer arrived out of order", Now, Out);
  else
    this->acceptChunk(C, Now, Out);
  this->resumeInput(Now, Out);
}

// Relays a chunk, and the buffered chunks that follow it, in the order of their sequence numbers.
void Machine::acceptChunk(const proto::Chunk &C, Instant Now, Actions &Out) {
  ActiveRequest &R = *this->Request;
  if (C.sequence() == R.NextChunk) {
    ++R.NextChunk;
    this->relayChunk(C.frames(), Now, Out);
  } else {
    R.OutOfOrderChunks.emplace(C.sequence(), C.frames());
  }
  // A malformed chunk ends the request and thereby the loop.
  while (this->Request && !R.OutOfOrderChunks.empty() &&
         R.OutOfOrderChunks.begin()->first == R.NextChunk) {
    auto Node = R.OutOfOrderChunks.extract(R.OutOfOrderChunks.begin());
    ++R.NextChunk;
    this->relayChunk(Node.mapped(), Now, Out);
  }
  if (this->Request && R.PendingDone && R.PendingDone->chunks() <= R.NextChunk) {
    proto::Done Pending = *R.PendingDone;
    this->completeRequest(Pending, Now, Out);
  }
}

void Machine::relayChunk(const std::string &Frames, Instant Now, Actions &Out) {
  if (!this->inspectChunk(Frames))
    return this->failIncompleteAnswer("a part of the answer was malformed", Now, Out);
  this->write(Frames, Out);
  this->UnwrittenChunks.push_back({.EndOffset = this->BytesOut,
                                   .RequestId = this->Request->Exec.request_id(),
                                   .Bytes = Frames.size()});
}

// Records errors and confirmed Parse messages; returns false when the chunk does not consist of
// complete frames.
bool Machine::inspectChunk(std::string_view Frames) {
  ActiveRequest &R = *this->Request;
  while (!Frames.empty()) {
    if (Frames.size() < FrameHeaderBytes)
      return false;
    wire::BodyReader Header(Frames.substr(1, FrameHeaderBytes - 1));
    auto Length = static_cast<uint32_t>(Header.int32());
    if (Length < FrameHeaderBytes - 1 || Frames.size() - 1 < Length)
      return false;
    R.ErrorRelayed = R.ErrorRelayed || Frames[0] == 'E';
    if (R.EndsTransaction && Frames[0] == 'C')
      R.LastTag = wire::BodyReader(Frames.substr(FrameHeaderBytes)).cstring();
    R.ParsesConfirmed += Frames[0] == '1' ? 1 : 0;
    Frames.remove_prefix(size_t{Length} + 1);
  }
  return true;
}

// Fails a request whose remaining answer cannot be relayed.
void Machine::failIncompleteAnswer(const std::string &Detail, Instant Now, Actions &Out) {
  this->sendCancel(Out);
  // Later reads must see the write even though its answer was not relayed.
  if (this->Request->PendingDone)
    this->raiseFloor(*this->Request->PendingDone, Out);
  this->endWithError(Verdict::MayHaveRun, Reason::AnswerIncomplete, Detail, Now, Out);
}

void Machine::onDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  bool Current =
      this->Request && this->Request->Sent && this->Request->Exec.request_id() == D.request_id();
  if (!Current) {
    // The transaction of an abandoned request must not stay open.
    if (D.lease() != this->State.Tx.Lease.Value)
      this->releaseLease(LeaseId(D.lease()), From, Out);
    return;
  }
  this->processDone(From, D, Now, Out);
  this->resumeInput(Now, Out);
}

void Machine::processDone(const InstanceId &From, const proto::Done &D, Instant Now, Actions &Out) {
  ActiveRequest &R = *this->Request;
  if (reasonOf(D) != Reason::None) {
    if (D.lease() != this->State.Tx.Lease.Value)
      this->releaseLease(LeaseId(D.lease()), From, Out);
    if (this->redirect(From, D, Now, Out))
      return;
    // The text is cut at a null byte, which an ErrorResponse field cannot contain.
    return this->failAttempt(verdictOf(D), reasonOf(D), std::string(D.detail().c_str()),
                             absl::Microseconds(D.retry_after_us()), Now, Out);
  }
  if (D.chunks() > R.NextChunk) {
    R.PendingDone = D;
    R.MissingChunksDeadline = Now + MissingChunksTimeout;
    return this->armTimer(R.MissingChunksDeadline, Out);
  }
  this->completeRequest(D, Now, Out);
}

// Handles Done after the whole answer of the target has been relayed.
void Machine::completeRequest(const proto::Done &D, Instant Now, Actions &Out) {
  this->Request->PendingDone = D;
  if (D.chunks() < this->Request->NextChunk)
    return this->failIncompleteAnswer("more parts of the answer arrived than were sent", Now, Out);
  this->raiseFloor(D, Out);
  this->updateTransaction(D);
  // The server answers COMMIT of a failed transaction with the tag ROLLBACK.
  if (this->Request->EndsTransaction)
    this->finishTransactionSettings(
        this->Request->ErrorRelayed || this->Request->LastTag == "ROLLBACK", Out);
  // The request id identifies one write; another write with the same id would count as its
  // repetition. It is kept until a write has succeeded, since the caller may send the request
  // again.
  if (this->Request->RequestKeyFromSetting && !this->Request->ErrorRelayed)
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

void Machine::finishTransactionSettings(bool RolledBack, Actions &Out) {
  std::string Report = endTransactionSettings(this->State, RolledBack);
  if (!Report.empty())
    this->write(Report, Out);
}

void Machine::updateTransaction(const proto::Done &D) {
  Transaction &Tx = this->State.Tx;
  bool Open = D.tx_status() == 'T' || D.tx_status() == 'E';
  if (!Open) {
    Tx = Transaction{};
    return;
  }
  Tx.Status = static_cast<char>(D.tx_status());
  Tx.Lease = LeaseId(D.lease());
  Tx.LeaseHolder = this->Request->Destination;
  // An open transaction without a lease cannot continue.
  if (D.lease() == 0)
    Tx = {.Status = 'E', .LossUnreported = true};
}

// Ends the request: records its latency and writes ReadyForQuery, except after Flush.
void Machine::finishRequest(bool Failed, Instant Now, Actions &Out) {
  if (Failed)
    this->dropUnconfirmedStatements();
  Out.emplace_back(
      LatencyAction{.Class = this->Request->Class, .Elapsed = Now - this->Request->Started});
  bool Flush = this->Request->End == BatchEnd::Flush;
  this->Request.reset();
  if (!Flush)
    this->write(wire::readyForQuery(this->State.Tx.Status), Out);
  else if (Failed)
    this->RequestCollector.skipToSync();
}

// Removes the prepared statements whose Parse the target has not confirmed.
void Machine::dropUnconfirmedStatements() {
  const ActiveRequest &R = *this->Request;
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
  SendAction Send{.To = this->Request->Destination};
  Send.Message.mutable_cancel()->set_request_id(this->Request->Exec.request_id());
  Out.emplace_back(std::move(Send));
}

} // namespace toucan::session
