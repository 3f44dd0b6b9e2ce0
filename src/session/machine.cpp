#include "session/machine.h"

#include "absl/strings/str_format.h"

#include <cassert>
#include <utility>

namespace toucan::session {

namespace {

// Above this amount of unwritten output, no further requests of the caller are processed.
constexpr uint64_t MaxUnreadBytes = 1024 * 1024;

// Credit is returned once this many bytes have been written to the caller. The value is less than a
// chunk, so that a large answer never stops for lack of credit, and more than a short answer, which
// needs no credit.
constexpr uint64_t CreditStepBytes = 16 * 1024;

// What the pool holds of an answer that its caller does not take: as much as the default credit.
constexpr uint64_t HeldAnswerBytes = 256 * 1024;
// Unwritten output from which on the pool is assumed to hold a part of the answer back.
constexpr uint64_t SlowOutputBytes = 64 * 1024;

// Copies of a request: of the session, of the queue of the pool, and of the target connection.
constexpr size_t RequestCopies = 3;
// Map entry, shared object and classification of a prepared statement with a short text.
constexpr size_t PreparedStatementBytes = 512;

} // namespace

Machine::Machine(SharedState &Common, MachineOptions Options, Instant Now, Actions &Out)
    : Common(Common), Options(std::move(Options)),
      StartupDeadline(Now + Common.Options.StartupTimeout), Reader(Common.Options.MaxFrameBytes),
      RequestCollector(
          this->State,
          [&Common](const std::string &Sql) { return Common.Classifier.classify(Sql); },
          Common.Options.MaxFrameBytes) {
  this->armTimer(this->StartupDeadline, Out);
}

void Machine::onBytes(std::string_view Bytes, Instant Now, Actions &Out) {
  if (this->closed())
    return;
  this->Reader.append(Bytes);
  this->processInput(Now, Out);
}

void Machine::onWritten(size_t Bytes, Instant Now, Actions &Out) {
  bool WasOutputBlocked = this->isOutputBlocked();
  this->BytesWritten += Bytes;
  assert(this->BytesWritten <= this->BytesOut);
  uint64_t ActiveRequestId = this->Request ? this->Request->Exec.request_id() : 0;
  while (!this->UnwrittenChunks.empty() &&
         this->UnwrittenChunks.front().EndOffset <= this->BytesWritten) {
    if (this->UnwrittenChunks.front().RequestId == ActiveRequestId)
      this->Request->UncreditedBytes += this->UnwrittenChunks.front().Bytes;
    this->UnwrittenChunks.pop_front();
  }
  if (this->Request && this->Request->Sent && this->Request->UncreditedBytes >= CreditStepBytes) {
    SendAction Send{.To = this->Request->Destination};
    Send.Message.mutable_credit()->set_request_id(ActiveRequestId);
    Send.Message.mutable_credit()->set_bytes(this->Request->UncreditedBytes);
    this->Request->UncreditedBytes = 0;
    Out.emplace_back(std::move(Send));
  }
  if (WasOutputBlocked && !this->isOutputBlocked() && !this->closed())
    this->processInput(Now, Out);
}

void Machine::onDisconnected(Actions &Out) {
  if (this->closed())
    return;
  this->close("caller_gone", Out);
}

void Machine::onTimer(Instant Now, Actions &Out) {
  this->TimerAt = absl::InfiniteFuture();
  if (this->closed())
    return;
  if (this->Phase == PhaseKind::Startup) {
    if (Now >= this->StartupDeadline)
      this->fatal(Reason::ProtocolViolation, "no start-up packet before the deadline", Out);
    else
      this->armTimer(this->StartupDeadline, Out);
    return;
  }
  if (!this->Request)
    return this->resumeInput(Now, Out);
  ActiveRequest &R = *this->Request;
  if (!R.Sent) {
    if (Now >= R.RetryAt)
      this->dispatch(Now, Out);
    else
      this->armTimer(R.RetryAt, Out);
  } else if (R.PendingDone && Now >= R.MissingChunksDeadline) {
    this->failIncompleteAnswer("a part of the answer did not arrive", Now, Out);
  } else if (Now >= R.Deadline + DeadlineGrace) {
    this->sendCancel(Out);
    this->endWithError(Verdict::MayHaveRun, Reason::RequestDeadline, "", Now, Out);
  } else {
    this->armTimer(R.PendingDone ? std::min(R.MissingChunksDeadline, R.Deadline + DeadlineGrace)
                                 : R.Deadline + DeadlineGrace,
                   Out);
  }
  this->resumeInput(Now, Out);
}

void Machine::onCancel(Instant Now, Actions &Out) {
  if (!this->Request)
    return;
  if (this->Request->Sent)
    this->sendCancel(Out);
  else
    this->endWithError(Verdict::NotRun, Reason::Canceled, "", Now, Out);
  this->resumeInput(Now, Out);
}

void Machine::onDrain(Actions &Out) {
  if (this->closed())
    return;
  bool Busy = this->Request || this->State.Tx.open() || this->Reader.pending() > 0 ||
              !this->RequestCollector.empty();
  if (!Busy || this->Phase == PhaseKind::Startup)
    this->fatal(Reason::Draining, reasonText(Reason::Draining, ""), Out);
}

void Machine::onDrainDeadline(Actions &Out) {
  if (this->closed())
    return;
  // The outcome of a request that has been sent to the pool and is interrupted here is unknown.
  bool MayHaveRun =
      this->Request && (this->Request->Sent || this->Request->EarlierAttemptMayHaveRun);
  std::string Text = MayHaveRun ? "the instance is shutting down; the request may have run"
                                : reasonText(Reason::Draining, "");
  this->fatal(Reason::Draining, Text, Out);
}

void Machine::onResume(Instant Now, Actions &Out) { this->resumeInput(Now, Out); }

void Machine::onLimit(Reason R, const std::string &Detail, bool AnswersWritten, Actions &Out) {
  if (this->closed())
    return;
  if (AnswersWritten && !this->Request)
    return this->fatal(R, reasonText(R, Detail), Out);
  this->count(R, Out);
  this->close(reasonName(R), Out);
}

size_t Machine::requestBytes() const {
  size_t Bytes = this->RequestCollector.bytes();
  if (!this->Request)
    return Bytes;
  Bytes += this->Request->Exec.frames().size() * RequestCopies;
  for (const auto &[Sequence, Frames] : this->Request->OutOfOrderChunks)
    Bytes += Frames.size();
  if (this->BytesOut - this->BytesWritten > SlowOutputBytes)
    Bytes += HeldAnswerBytes;
  return Bytes;
}

// The classification is counted as large as the text.
size_t Machine::stateBytes() const {
  return this->State.StatementBytes * 2 + this->State.Statements.size() * PreparedStatementBytes;
}

bool Machine::inMessage() const {
  return this->Phase == PhaseKind::Ready && !this->Request && !this->isOutputBlocked() &&
         !this->Held && !this->HasMoreInput && this->Reader.pending() > 0;
}

proto::SessionStatus Machine::status() const {
  proto::SessionStatus S;
  S.set_session_id(this->Options.Session);
  S.set_caller(this->Options.Address);
  S.set_database(this->Database.Value);
  S.set_user(this->User);
  const char *Name = this->Phase == PhaseKind::Startup       ? "startup"
                     : this->Request && !this->Request->Sent ? "retrying"
                     : this->Request                         ? "running"
                     : this->State.Tx.open()                 ? "in_transaction"
                                                             : "idle";
  S.set_state(Name);
  S.mutable_floor()->set_term(this->Floor.InTerm.Value);
  S.mutable_floor()->set_position(this->Floor.Position);
  S.set_requests(this->RequestCount);
  return S;
}

void Machine::write(std::string Bytes, Actions &Out) {
  if (Bytes.empty())
    return;
  this->BytesOut += Bytes.size();
  if (!Out.empty())
    if (auto *Last = std::get_if<WriteAction>(&Out.back())) {
      Last->Bytes += Bytes;
      return;
    }
  Out.emplace_back(WriteAction{.Bytes = std::move(Bytes)});
}

// Writes a FATAL error to the caller and closes the session.
void Machine::fatal(Reason R, const std::string &Text, Actions &Out) {
  this->write(wire::error("FATAL", reasonSqlState(R), Text), Out);
  this->count(R, Out);
  this->logRefusal(R, Text, Out);
  this->close(reasonName(R), Out);
}

void Machine::close(std::string_view Cause, Actions &Out) {
  this->abortRequestAndTransaction(Out);
  if (this->Phase == PhaseKind::Ready)
    Out.emplace_back(LogAction{.Level = LogLevel::Debug,
                               .Event = "caller_close",
                               .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                         {"cause", std::string(Cause)}}});
  this->Phase = PhaseKind::Closed;
  Out.emplace_back(CloseAction{});
}

// Cancels the active request and releases the lease of a session that is being closed.
void Machine::abortRequestAndTransaction(Actions &Out) {
  if (this->Request && this->Request->Sent)
    this->sendCancel(Out);
  this->Request.reset();
  this->releaseLease(this->State.Tx.Lease, this->State.Tx.LeaseHolder, Out);
  this->State.Tx = Transaction{};
}

// Sets the timer unless an earlier one is already set; onTimer() sets it again when it fires early.
void Machine::armTimer(Instant At, Actions &Out) {
  if (At >= this->TimerAt)
    return;
  this->TimerAt = At;
  Out.emplace_back(TimerAction{.At = At});
}

void Machine::count(Reason R, Actions &Out) { Out.emplace_back(CountAction{.Counted = R}); }

void Machine::logRefusal(Reason R, const std::string &Detail, Actions &Out) {
  Out.emplace_back(LogAction{.Level = LogLevel::Info,
                             .Event = "request_refused",
                             .Pairs = {{"session", absl::StrFormat("%d", this->Options.Session)},
                                       {"database", this->Database.Value},
                                       {"reason", std::string(reasonName(R))},
                                       {"detail", Detail}}});
}

bool Machine::isOutputBlocked() const {
  return this->BytesOut - this->BytesWritten > MaxUnreadBytes;
}

} // namespace toucan::session
