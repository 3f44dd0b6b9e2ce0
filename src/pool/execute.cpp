// Execution of a request on a target connection: start, relay, confirmation and completion.
#include "pool/service.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cassert>

namespace toucan::pool {

// Executes the actions of the dispatcher. A nested call makes the outer one run another pass.
void PoolService::Impl::runDispatcher(DatabaseState &D) {
  D.DispatchAgain = true;
  if (D.Dispatching)
    return;
  D.Dispatching = true;
  while (D.DispatchAgain) {
    D.DispatchAgain = false;
    std::vector<Action> Actions = D.Dispatch.next(this->InLoop.now());
    // Assign the connections first, because the dispatcher already counts them as in use.
    for (const Action &A : Actions)
      if (A.Kind == ActionKind::Start)
        this->assign(D, A);
    for (const Action &A : Actions) {
      if (A.Kind == ActionKind::Start)
        this->startRequest(A.Request);
      else if (A.Kind == ActionKind::Open)
        this->openConnection(D, A.Target);
      else if (Request *R = this->find(A.Request))
        this->refuseWaiting(*R, A.Why);
    }
  }
  D.Dispatching = false;
  this->reportUse(D);
  this->InLoop.cancel(D.DispatchTimer);
  Instant Wake = D.Dispatch.wakeAt(this->InLoop.now());
  if (Wake != absl::InfiniteFuture())
    D.DispatchTimer = this->InLoop.at(Wake, [this, &D] { this->runDispatcher(D); });
}

// Fails a request that the dispatcher refuses. If an earlier attempt may have run, the request is
// not reported as not run, so it is not sent to another instance either.
void PoolService::Impl::refuseWaiting(Request &R, Reason Why) {
  if (!R.EarlierAttemptMayHaveRun)
    this->fail(R, Why, Verdict::NotRun);
  else
    this->fail(R, Why == Reason::PrimaryNotReached ? Reason::TargetLost : Why, Verdict::MayHaveRun);
}

void PoolService::Impl::assign(DatabaseState &D, const Action &A) {
  Request *R = this->find(A.Request);
  assert(R && R->CurrentStage == Stage::Queued);
  if (A.ReplicaWasBehind)
    this->Counters.count(Reason::RetryReplicaBehind);
  Connection *C = nullptr;
  if (R->Exec.lease() != 0) {
    C = this->Leases.find(LeaseId(R->Exec.lease()))->second.Conn;
  } else {
    auto It = std::find_if(D.Idle.rbegin(), D.Idle.rend(),
                           [&](const Connection *C) { return C->options().Target == A.Target; });
    assert(It != D.Idle.rend());
    C = *It;
    D.Idle.erase(std::next(It).base());
  }
  C->Request = R->Id;
  R->Conn = C;
  R->CurrentStage = Stage::Running;
  R->Sent = false;
  R->Target = A.Target;
  R->AtPrimary = C->AtPrimary || D.Primary == A.Target;
  R->Started = this->InLoop.now();
}

void PoolService::Impl::startRequest(PoolRequestId Id) {
  Request *R = this->find(Id);
  if (!R || !R->Conn || R->Abandoned)
    return;
  Connection &C = *R->Conn;
  if (!C.usable()) {
    this->closeConnection(C, false, "closed by the target while idle");
    return;
  }
  std::string First = R->Keyed ? R->Keyed->begin() : "";
  R->Reply = this->newRelay(*R, C.LastPosition);
  R->Timer = this->InLoop.at(R->Deadline, [this, Id] { this->onRequestDeadline(Id); });
  R->Sent = true;
  C.send(R->Keyed ? First : R->Exec.frames());
}

std::unique_ptr<Relay> PoolService::Impl::newRelay(const Request &R, LogPosition Last) const {
  return std::make_unique<Relay>(R.Keyed ? R.Keyed->plan() : R.Plan,
                                 RelayOptions{.ChunkBytes = this->Options.ChunkBytes,
                                              .CreditBytes = this->Options.CreditBytes,
                                              .AtPrimary = R.AtPrimary,
                                              .LastPosition = Last,
                                              .Confirmed = R.Database->Confirmed,
                                              .Collect = R.Keyed != nullptr});
}

bool PoolService::Impl::sendNextStep(Request &R) {
  if (!R.Keyed || R.Abandoned)
    return false;
  std::string Next = R.Keyed->onReply({.Frames = R.Reply->takeAll(),
                                       .ErrorState = R.Reply->errorState(),
                                       .CommandTag = R.Reply->commandTag(),
                                       .Status = R.Reply->status()});
  if (Next.empty()) {
    R.Reply->setAnswer(R.Keyed->answer());
    return false;
  }
  R.Reply = this->newRelay(R, R.Reply->position());
  R.Conn->send(Next);
  return true;
}

// Sends a CancelRequest for the request on a connection. Repeated cancels are sent again, because a
// cancel that reaches the target before its request has no effect.
void PoolService::Impl::cancelAtTarget(Connection &C) {
  C.CancelSent = true;
  this->Counters.add("pool_cancels_sent_total");
  this->Cancels.send(C.options().Host, C.options().Port, C.processId(), C.secretKey());
}

void PoolService::Impl::onRequestDeadline(PoolRequestId Id) {
  Request *R = this->find(Id);
  if (!R || !R->Conn || R->Abandoned)
    return;
  bool Complete = R->Sent && R->Conn->written() && (!R->Keyed || R->Keyed->mayHaveCommitted());
  if (Complete) {
    this->fail(*R, Reason::RequestDeadline, Verdict::MayHaveRun);
    return;
  }
  // The target cannot have run the request, so it is requeued, and the queue refuses it as not run.
  this->closeConnection(*R->Conn, false, "the target did not take the request before its deadline");
}

void PoolService::Impl::onInput(Connection &C) {
  Request *R = this->find(C.Request);
  if (!R || !R->Conn) {
    this->onIdleInput(C);
    return;
  }
  PoolRequestId Id = R->Id;
  wire::Frame F;
  wire::ReadStatus Status = wire::ReadStatus::NeedMore;
  while ((Status = C.nextFrame(F)) == wire::ReadStatus::Ready) {
    RelayStep Step = R->Reply->onFrame(F);
    if (Step == RelayStep::Finished && this->sendNextStep(*R))
      continue;
    if (Step == RelayStep::Finished) {
      this->onAnswerComplete(*R);
      this->advance(Id);
      return;
    }
    if (Step == RelayStep::Fatal) {
      // 57P01: the target ended the connection because it no longer serves this term.
      this->closeConnection(C, R->Reply->errorState() == "57P01", R->Reply->fatalText());
      return;
    }
    if (Step == RelayStep::Malformed) {
      this->closeConnection(C, false, absl::StrFormat("unexpected frame of type %c", F.Type));
      return;
    }
  }
  if (Status == wire::ReadStatus::NeedMore)
    this->advance(Id);
  else
    this->closeConnection(C, false, "malformed or too large frame");
}

// Handles input on a connection without a running request. Between the requests of a transaction
// the target may send a parameter or a notice; any other input closes the connection.
void PoolService::Impl::onIdleInput(Connection &C) {
  wire::Frame F;
  wire::ReadStatus Status = wire::ReadStatus::NeedMore;
  while ((Status = C.nextFrame(F)) == wire::ReadStatus::Ready)
    if (C.Lease.Value == 0 || !readAsyncMessage(F, C.LastPosition))
      break;
  bool Clean = Status == wire::ReadStatus::NeedMore && (C.Lease.Value != 0 || C.unread() == 0);
  if (!Clean)
    this->closeConnection(C, false, "unexpected input while idle");
}

// Requests the confirmations that are needed, sends the available chunks, and finishes the request
// once its reply is complete.
void PoolService::Impl::advance(PoolRequestId Id) {
  Request *R = this->find(Id);
  if (!R || !R->Reply)
    return;
  if (!R->Abandoned && !R->Reply->collecting()) {
    this->confirm(*R);
    R = this->find(Id); // the callback may have ended the request
    if (!R || !R->Reply)
      return;
  }
  this->sendChunks(*R);
  if (R->Reply->complete() || (R->Abandoned && !R->Conn)) {
    this->finish(*R);
    return;
  }
  if (R->Conn)
    R->Conn->setReading(R->Abandoned || R->Reply->wantsInput());
}

void PoolService::Impl::confirm(Request &R) {
  PoolRequestId Id = R.Id;
  DatabaseState &D = *R.Database;
  while (std::optional<LogPosition> P = R.Reply->takeUnconfirmed()) {
    if (coveredBy(D.Confirmed, *P)) {
      R.Reply->confirmed();
      continue;
    }
    Instant Deadline = std::min(R.Deadline, this->InLoop.now() + this->Options.ConfirmTimeout);
    this->Groups.confirm(
        D.Group.Name, *P, Deadline,
        [Weak = std::weak_ptr(this->SelfHandle), Id, P = *P](group::ConfirmResult Result) {
          if (auto Self = Weak.lock())
            (*Self)->onConfirmed(Id, P, Result);
        });
    return;
  }
}

void PoolService::Impl::onConfirmed(PoolRequestId Id, LogPosition Position,
                                    group::ConfirmResult Result) {
  Request *R = this->find(Id);
  if (R && Result == group::ConfirmResult::Confirmed)
    R->Database->Confirmed = std::max(R->Database->Confirmed, Position);
  if (!R || R->Abandoned || !R->Reply)
    return;
  if (Result == group::ConfirmResult::Confirmed) {
    R->Reply->confirmed();
    this->advance(Id);
    return;
  }
  bool Retry = R->CurrentStage == Stage::Confirming && R->repeatable() && R->Lease == 0 &&
               R->Reply->chunksSent() == 0 && this->InLoop.now() < R->Deadline;
  if (Retry && this->Budget.take()) {
    this->Counters.count(Reason::RetryTargetLost);
    R->EarlierAttemptMayHaveRun = true;
    this->requeue(*R);
    this->runDispatcher(*R->Database);
    return;
  }
  Reason Why =
      Result == group::ConfirmResult::TermChanged ? Reason::TermChanged : Reason::ConfirmDeadline;
  this->fail(*R, Why, Verdict::MayHaveRun);
}

void PoolService::Impl::sendChunks(Request &R) {
  while (std::optional<std::string> Chunk = R.Reply->takeChunk()) {
    if (R.Abandoned) {
      R.Reply->credit(Chunk->size());
      continue;
    }
    proto::Envelope E;
    E.set_to_incarnation(R.Incarnation);
    proto::Chunk &M = *E.mutable_chunk();
    M.set_request_id(R.Exec.request_id());
    M.set_sequence(R.Reply->chunksSent() - 1);
    M.set_frames(std::move(*Chunk));
    this->Send(R.From, std::move(E));
  }
}

// Handles the end of a target's answer: the connection becomes idle, stays pinned to the
// transaction, or is closed.
void PoolService::Impl::onAnswerComplete(Request &R) {
  Connection &C = *R.Conn;
  DatabaseState &D = *R.Database;
  this->InLoop.cancel(R.Timer);
  R.Conn = nullptr;
  R.CurrentStage = Stage::Confirming;
  C.Request = PoolRequestId();
  C.LastPosition = R.Reply->position();
  D.Dispatch.observe(R.Target, C.LastPosition);
  D.Dispatch.ended(R.Target, R.Class, this->InLoop.now() - R.Started);
  this->recordRunTime(R, C.CancelSent ? RunEnd::Interrupted : RunEnd::Completed);
  bool Clean = C.unread() == 0 && C.written();
  if (R.Reply->status() != 'I' && Clean && !R.Abandoned) {
    this->pinConnection(R, C);
  } else if (R.Reply->status() == 'I' && Clean && !C.CancelSent) {
    this->release(C, D);
  } else {
    // Return a lease id that is not in use, so that the caller's next request in this ended
    // transaction is refused.
    if (R.Reply->status() != 'I')
      R.Lease = this->NextLease++;
    this->closeConnection(C, false,
                          C.CancelSent ? "a cancel was sent" : "the connection is not clean");
    return;
  }
  this->runDispatcher(D);
}

void PoolService::Impl::recordRunTime(const Request &R, RunEnd End) {
  if (this->Options.LearnWorkClass && R.learnsWorkClass())
    R.Database->StatementRunTimes.record(R.Exec.fingerprint(), this->InLoop.now() - R.Started, End);
}

void PoolService::Impl::finish(Request &R) {
  if (R.Abandoned) {
    this->Requests.erase(R.Id);
    return;
  }
  proto::Envelope E;
  proto::Done &D = *E.mutable_done();
  D.set_request_id(R.Exec.request_id());
  D.set_verdict(proto::RAN);
  D.set_tx_status(static_cast<uint32_t>(R.Reply->status()));
  D.set_lease(R.Lease);
  D.mutable_observed()->set_term(R.Reply->position().InTerm.Value);
  D.mutable_observed()->set_position(R.Reply->position().Position);
  // The outcome of a recorded request is a write, even if another request produced it.
  bool Recorded = R.Keyed && R.Exec.lease() == 0;
  D.set_wrote(R.AtPrimary && !R.isRead() && (Recorded || R.Reply->sawNewPosition()));
  D.set_target(R.Target.Value);
  D.set_by_replica(!R.AtPrimary);
  D.set_chunks(R.Reply->chunksSent());
  this->Counters.add(!R.isRead()   ? "pool_served_writes_total"
                     : R.AtPrimary ? "pool_served_reads_primary_total"
                                   : "pool_served_reads_replica_total");
  E.set_to_incarnation(R.Incarnation);
  InstanceId To = R.From;
  this->erase(R);
  this->Send(To, std::move(E));
}

// Requeues, retries or fails a request whose connection has ended.
void PoolService::Impl::onConnectionEnd(Request &R, bool TermOver, bool Written,
                                        const std::string &Cause) {
  DatabaseState &D = *R.Database;
  R.Conn = nullptr;
  this->InLoop.cancel(R.Timer);
  if (R.CurrentStage == Stage::Queued) {
    D.Dispatch.remove(R.Id);
    this->fail(R, Reason::LeaseUnknown, Verdict::NotRun, Cause);
    return;
  }
  D.Dispatch.ended(R.Target, R.Class, std::nullopt);
  if (R.Abandoned) {
    this->recordRunTime(R, RunEnd::Interrupted);
    this->Requests.erase(R.Id);
    return;
  }
  // Until its COMMIT, a request with an id is rolled back when the connection ends.
  bool Complete = R.Sent && Written && (!R.Keyed || R.Keyed->mayHaveCommitted());
  LossOutcome Outcome = outcomeOfLoss({.Written = Complete,
                                       .Relayed = R.Reply && R.Reply->chunksSent() > 0,
                                       .Repeatable = R.repeatable(),
                                       .InTransaction = R.Exec.lease() != 0,
                                       .TermOver = TermOver});
  bool Retry = Outcome.Step == LossStep::Requeue;
  if (Outcome.Step == LossStep::Retry && this->Budget.take()) {
    this->Counters.count(Reason::RetryTargetLost);
    R.EarlierAttemptMayHaveRun = true;
    Retry = true;
  }
  if (Retry)
    this->requeue(R);
  else
    this->fail(R, Outcome.Why, Outcome.Outcome, Cause);
}

void PoolService::Impl::requeue(Request &R) {
  R.CurrentStage = Stage::Queued;
  R.Reply.reset();
  R.Sent = false;
  R.Database->Dispatch.requeue(this->dispatchRequestOf(R));
}

} // namespace toucan::pool
