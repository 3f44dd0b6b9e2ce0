#include "gateway/link.h"
#include "gateway/socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <utility>

namespace toucan::gateway {

TargetLink::TargetLink(Loop &InLoop, Codec &Protocol, LinkOwner &Owner, LinkOptions Options)
    : IdleSince(InLoop.now()), RequestedAt(InLoop.now()), InLoop(InLoop), Protocol(Protocol),
      Owner(Owner), Options(std::move(Options)) {}

TargetLink::~TargetLink() {
  this->InLoop.cancel(this->OpenTimer);
  this->InLoop.cancel(this->WriteFailureTimer);
  if (this->Fd >= 0) {
    this->InLoop.unwatch(this->Fd);
    ::close(this->Fd);
  }
}

void TargetLink::open() {
  Captured<int> Socket = capture([&] { return connectTo(this->Options.Address); });
  if (!Socket) {
    this->disconnect(Socket.Problem.Message, std::nullopt);
    return;
  }
  this->Fd = *Socket;
  this->WantsWrite = true;
  this->InLoop.watch(this->Fd, EPOLLIN | EPOLLOUT, [this](uint32_t E) { this->onEvents(E); });
  this->OpenTimer = this->InLoop.at(this->Options.OpenDeadline, [this] {
    bool Connected = this->CurrentPhase == Phase::Starting;
    if (Connected || this->CurrentPhase == Phase::Connecting)
      this->disconnect("session not opened in time", std::nullopt, Connected);
  });
}

void TargetLink::submit(std::vector<LinkRequest> Requests, Instant AnswerDeadline) {
  if (this->CurrentPhase == Phase::Closed) {
    for (LinkRequest &R : Requests)
      R.OnAnswer(nullptr);
    return;
  }
  for (LinkRequest &R : Requests) {
    this->Protocol.appendTargetRequest(this->Out, R.Request);
    this->Pending.push_back({.OnAnswer = std::move(R.OnAnswer),
                             .SentAt = this->InLoop.now(),
                             .AnswerDeadline = AnswerDeadline});
  }
  this->flush();
}

Instant TargetLink::answerDeadline() const {
  return this->Pending.empty() ? absl::InfiniteFuture() : this->Pending.front().AnswerDeadline;
}

Instant TargetLink::lastAnswerDeadline() const {
  return this->Pending.empty() ? absl::InfinitePast() : this->Pending.back().AnswerDeadline;
}

void TargetLink::close(std::string_view Cause) { this->disconnect(Cause, std::nullopt); }

void TargetLink::onEvents(uint32_t Events) {
  if (this->CurrentPhase == Phase::Connecting && !this->finishConnect())
    return;
  if (Events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    this->readMessages();
  if (this->CurrentPhase != Phase::Closed && (Events & EPOLLOUT))
    this->flush();
}

bool TargetLink::finishConnect() {
  int Problem = 0;
  socklen_t Size = sizeof Problem;
  getsockopt(this->Fd, SOL_SOCKET, SO_ERROR, &Problem, &Size);
  if (Problem != 0) {
    this->disconnect(std::strerror(Problem), std::nullopt);
    return false;
  }
  this->CurrentPhase = Phase::Starting;
  std::string Start;
  this->Protocol.appendTargetStart(Start, this->Options.Service, this->Options.Account,
                                   this->Options.Target);
  this->Out.insert(0, Start);
  this->flush();
  return this->CurrentPhase != Phase::Closed;
}

void TargetLink::readMessages() {
  Transfer T = readInto(this->Fd, this->In);
  size_t Offset = 0;
  while (this->CurrentPhase != Phase::Closed) {
    std::optional<TargetMessage> Message = this->Protocol.takeTargetMessage(this->In, Offset);
    if (!Message)
      break;
    this->onMessage(std::move(*Message));
  }
  if (this->CurrentPhase == Phase::Closed)
    return;
  this->In.erase(0, Offset);
  releaseSpareCapacity(this->In);
  if (T == Transfer::Closed)
    this->disconnect("closed by the target", std::nullopt);
}

void TargetLink::flush() {
  if (this->CurrentPhase == Phase::Connecting)
    return;
  if (writeFrom(this->Fd, this->Out) == Transfer::Closed) {
    // Closes from the loop, because the handlers of lost requests must not run inside submit().
    this->InLoop.cancel(this->WriteFailureTimer);
    this->WriteFailureTimer = this->InLoop.at(this->InLoop.now(), [this] {
      this->disconnect("write to the target failed", std::nullopt);
    });
    return;
  }
  releaseSpareCapacity(this->Out);
  bool Wants = !this->Out.empty();
  if (Wants == this->WantsWrite)
    return;
  this->WantsWrite = Wants;
  this->InLoop.rewatch(this->Fd, EPOLLIN | (Wants ? static_cast<uint32_t>(EPOLLOUT) : 0U));
}

void TargetLink::onMessage(TargetMessage &&Message) {
  switch (Message.Kind) {
  case TargetMessageKind::Row:
    this->Partial.Rows.push_back(std::move(Message.Text));
    return;
  case TargetMessageKind::Done:
    this->Partial.Signature = std::move(Message.Text);
    return;
  case TargetMessageKind::Error:
    this->Partial.Error = std::move(Message.Error);
    if (this->CurrentPhase == Phase::Starting) {
      std::optional<StatementError> Refusal = this->Partial.Error;
      this->disconnect("refused", Refusal);
    }
    return;
  case TargetMessageKind::Ready:
    this->finishAnswer(std::move(Message));
    return;
  case TargetMessageKind::Malformed:
    this->disconnect("malformed message from the target", std::nullopt);
    return;
  }
}

void TargetLink::finishAnswer(TargetMessage &&Ready) {
  Answer Reply = std::exchange(this->Partial, {});
  Reply.State = Ready.State;
  Reply.Position = Ready.Position;
  this->State = Ready.State;
  if (this->CurrentPhase == Phase::Starting) {
    this->CurrentPhase = Phase::Open;
    this->IdleSince = this->InLoop.now();
    this->InLoop.cancel(this->OpenTimer);
    this->Owner.onLinkAnswer(*this, Reply, this->InLoop.now());
    this->Owner.onLinkOpen(*this);
    return;
  }
  if (this->Pending.empty() || (!Reply.Error && Reply.Signature.empty())) {
    this->disconnect("answer without a pending request, or without a result", std::nullopt);
    return;
  }
  PendingRequest First = std::move(this->Pending.front());
  this->Pending.pop_front();
  this->Owner.onLinkAnswer(*this, Reply, First.SentAt);
  First.OnAnswer(&Reply);
  if (this->CurrentPhase == Phase::Open && this->Pending.empty()) {
    this->IdleSince = this->InLoop.now();
    this->Owner.onLinkDrained(*this);
  }
}

void TargetLink::disconnect(std::string_view Cause, const std::optional<StatementError> &Refusal,
                            bool TargetBusy) {
  if (this->CurrentPhase == Phase::Closed)
    return;
  this->OpenFailed = this->CurrentPhase != Phase::Open && !TargetBusy;
  this->CurrentPhase = Phase::Closed;
  this->CloseCause = std::string(Cause);
  this->InLoop.cancel(this->OpenTimer);
  if (this->Fd >= 0) {
    this->InLoop.unwatch(this->Fd);
    ::close(this->Fd);
    this->Fd = -1;
  }
  std::deque<PendingRequest> Lost;
  Lost.swap(this->Pending);
  for (PendingRequest &R : Lost)
    R.OnAnswer(nullptr);
  if (std::function<void()> Handler = std::exchange(this->OnLostWhilePinned, nullptr))
    Handler();
  this->Owner.onLinkClosed(*this, Refusal);
}

} // namespace toucan::gateway
