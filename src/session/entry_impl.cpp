#include "session/entry_impl.h"

#include <openssl/rand.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace toucan::session {

namespace {

constexpr size_t ReadBytes = 64 * 1024;
constexpr uint32_t HashShift = 16;
// Time to write the final messages to the sockets before the process exits at the deadline.
constexpr absl::Duration DrainMargin = absl::Milliseconds(100);

void writeLog(const LogAction &Log) {
  LogEvent Event(Log.Level, Log.Event);
  for (const auto &[Key, Value] : Log.Pairs)
    Event.kv(Key, Value);
}

uint32_t randomBits() {
  std::array<unsigned char, sizeof(uint32_t)> Bytes{};
  [[maybe_unused]] int Ok = RAND_bytes(Bytes.data(), Bytes.size());
  assert(Ok == 1);
  uint32_t Out = 0;
  for (unsigned char B : Bytes)
    Out = Out << 8 | B;
  return Out;
}

} // namespace

EntryService::Impl::Impl(Loop &EventLoop, EntryOptions Options, member::SendFn Send,
                         Metrics &Counters)
    : EventLoop(EventLoop), Send(std::move(Send)), Counters(Counters), Common(std::move(Options)),
      SelfHash(instanceHash(Common.Options.Self)), ReadBuffer(ReadBytes),
      Budget(callers::callerLimits(Common.Options.MemoryLimitBytes, Common.Options.MaxFrameBytes)),
      // The session itself applies the bound on the start-up packet.
      Times{.Open = absl::InfiniteDuration(),
            .Message = Common.Options.MessageTimeout,
            .DrainWindow = Common.Options.AnswerTimeout},
      FullKernelBytes(2 * static_cast<size_t>(callers::callerSocketBytes(Budget.limits()))) {
  this->checkCallers();
}

EntryService::Impl::~Impl() {
  this->closeListener();
  for (TimerId Id : this->Timers)
    this->EventLoop.cancel(Id);
  if (this->CheckTimer)
    this->EventLoop.cancel(*this->CheckTimer);
  while (!this->Callers.empty())
    this->removeCaller(this->Callers.begin()->first);
  if (this->ResumeTimer)
    this->EventLoop.cancel(*this->ResumeTimer);
}

void EntryService::Impl::beginDrain(Instant Deadline) {
  this->Common.Draining = true;
  this->closeListener();
  for (uint32_t Session : this->sessions()) {
    // A request may have arrived that the loop has not read yet.
    if (auto It = this->Callers.find(Session); It != this->Callers.end() && !It->second->Paused)
      this->readCaller(Session, *It->second);
    this->handleEvent(Session, [](Machine &M, Actions &Out) { M.onDrain(Out); });
  }
  this->Timers.push_back(this->EventLoop.at(Deadline - DrainMargin, [this] {
    this->handleEventForAll([this](Machine &M, Actions &Out) {
      this->Interrupted = this->Interrupted || !M.closed();
      M.onDrainDeadline(Out);
    });
    // Does not wait for callers that do not read the final messages.
    while (!this->Callers.empty())
      this->removeCaller(this->Callers.begin()->first);
  }));
}

void EntryService::Impl::onEnvelope(const InstanceId &From, const proto::Envelope &Message) {
  Instant Now = this->EventLoop.now();
  if (Message.has_chunk()) {
    const proto::Chunk &C = Message.chunk();
    this->handleEvent(Machine::sessionOf(C.request_id()),
                      [&](Machine &M, Actions &Out) { M.onChunk(C, Now, Out); });
  } else if (Message.has_done()) {
    const proto::Done &D = Message.done();
    uint32_t Session = Machine::sessionOf(D.request_id());
    if (this->Callers.contains(Session)) {
      this->handleEvent(Session, [&](Machine &M, Actions &Out) { M.onDone(From, D, Now, Out); });
    } else if (D.lease() != 0) {
      // The caller disconnected while its transaction was being opened.
      proto::Envelope Release;
      Release.mutable_release()->set_lease(D.lease());
      this->Send(From, std::move(Release));
    }
  } else if (Message.has_cancel_caller()) {
    this->onCancel(Message.cancel_caller().process_id(), Message.cancel_caller().secret_key(),
                   false);
  }
}

// Cancels the request of the session with this key, or forwards the key to the instance that issued
// it.
void EntryService::Impl::onCancel(uint32_t ProcessId, uint32_t SecretKey, bool Forward) {
  uint32_t Hash = SecretKey >> HashShift;
  auto It = this->SessionByProcessId.find(ProcessId);
  if (Hash == this->SelfHash && It != this->SessionByProcessId.end()) {
    this->handleEvent(It->second, [&](Machine &M, Actions &Out) {
      if (M.options().SecretKey == SecretKey)
        M.onCancel(this->EventLoop.now(), Out);
    });
    return;
  }
  if (!Forward || !this->Common.View)
    return;
  for (const member::Member &M : this->Common.View->Members) {
    if (M.Id == this->Common.Options.Self || instanceHash(M.Id) != Hash)
      continue;
    proto::Envelope Message;
    Message.mutable_cancel_caller()->set_process_id(ProcessId);
    Message.mutable_cancel_caller()->set_secret_key(SecretKey);
    this->Send(M.Id, std::move(Message));
  }
}

void EntryService::Impl::handleEvent(uint32_t Session, const EventHandler &Handler) {
  auto It = this->Callers.find(Session);
  if (It == this->Callers.end())
    return;
  Caller &C = *It->second;
  ++this->HandlingDepth;
  C.M->setHeld(!this->Budget.mayProcess(SessionId(Session)));
  Actions Pending;
  Handler(*C.M, Pending);
  this->executeActions(C, Pending);
  --this->HandlingDepth;
  if (C.ConnectionFailed || (C.Closing && C.WriteBuffer.empty()))
    this->removeCaller(Session);
  else
    this->updateRestriction(Session);
  // Not left to the next iteration of the loop: one iteration may relay many parts of answers.
  if (this->HandlingDepth == 0)
    this->closeHeaviest();
  this->runDeferred();
}

void EntryService::Impl::runDeferred() {
  // A task calls handleEvent(), which calls this function again; without the check the stack would
  // grow with each task.
  if (this->HandlingDepth > 0 || this->RunningDeferred)
    return;
  this->RunningDeferred = true;
  while (!this->Deferred.empty()) {
    auto Task = std::move(this->Deferred.front());
    this->Deferred.pop_front();
    Task();
  }
  this->RunningDeferred = false;
}

std::vector<uint32_t> EntryService::Impl::sessions() const {
  std::vector<uint32_t> Out;
  Out.reserve(this->Callers.size());
  for (const auto &[Session, C] : this->Callers)
    Out.push_back(Session);
  return Out;
}

void EntryService::Impl::handleEventForAll(const EventHandler &Handler) {
  for (uint32_t Session : this->sessions())
    this->handleEvent(Session, Handler);
}

void EntryService::Impl::deferOrRun(std::function<void()> Task) {
  if (this->HandlingDepth > 0 || this->RunningDeferred)
    this->Deferred.push_back(std::move(Task));
  else
    Task();
}

// Executes actions and the actions that they produce, then writes the output to the caller.
void EntryService::Impl::executeActions(Caller &C, Actions &Pending) {
  size_t Next = 0;
  while (true) {
    while (Next < Pending.size()) {
      Action Current = std::move(Pending[Next++]);
      this->executeAction(C, Current, Pending);
    }
    size_t Before = Pending.size();
    this->flush(C, Pending);
    if (Pending.size() == Before)
      break;
  }
  this->account(C);
  if (!C.ConnectionFailed)
    this->updateWatch(C);
}

void EntryService::Impl::executeAction(Caller &C, Action &ToExecute, Actions &Pending) {
  if (auto *Write = std::get_if<WriteAction>(&ToExecute))
    C.WriteBuffer += Write->Bytes;
  else if (auto *Sent = std::get_if<SendAction>(&ToExecute))
    this->send(C, *Sent, Pending);
  else if (std::holds_alternative<CloseAction>(ToExecute))
    C.Closing = true;
  else if (auto *Timer = std::get_if<TimerAction>(&ToExecute))
    this->setTimer(C, Timer->At);
  else if (auto *Count = std::get_if<CountAction>(&ToExecute))
    this->Counters.count(Count->Counted);
  else if (auto *Latency = std::get_if<LatencyAction>(&ToExecute))
    this->Counters.latency(rules::workClassName(Latency->Class), Latency->Elapsed);
  else if (auto *Log = std::get_if<LogAction>(&ToExecute))
    writeLog(*Log);
  else if (auto *Cancel = std::get_if<CancelAction>(&ToExecute))
    this->onCancel(Cancel->ProcessId, Cancel->SecretKey, true);
  else if (auto *Pause = std::get_if<PauseAction>(&ToExecute))
    C.Paused = Pause->Paused;
}

void EntryService::Impl::send(Caller &C, SendAction &Sent, Actions &Pending) {
  uint64_t Exec = Sent.Message.has_exec() ? Sent.Message.exec().request_id() : 0;
  bool Accepted = this->Send(Sent.To, std::move(Sent.Message));
  if (!Accepted && Exec != 0)
    C.M->onSendFailed(Exec, this->EventLoop.now(), Pending);
}

void EntryService::Impl::setTimer(Caller &C, Instant At) {
  if (C.Timer)
    this->EventLoop.cancel(*C.Timer);
  uint32_t Session = C.M->options().Session;
  C.Timer = this->EventLoop.at(At, [this, Session] {
    this->handleEvent(Session,
                      [this](Machine &M, Actions &Out) { M.onTimer(this->EventLoop.now(), Out); });
  });
}

// Writes as much output as the socket accepts.
void EntryService::Impl::flush(Caller &C, Actions &Pending) {
  size_t Start = C.WriteOffset;
  while (!C.ConnectionFailed && C.WriteOffset < C.WriteBuffer.size()) {
    ssize_t Count = ::send(C.Fd, C.WriteBuffer.data() + C.WriteOffset,
                           C.WriteBuffer.size() - C.WriteOffset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Count <= 0)
      C.ConnectionFailed = true;
    else
      C.WriteOffset += static_cast<size_t>(Count);
  }
  size_t Written = C.WriteOffset - Start;
  C.WrittenBytes += Written;
  if (C.WriteOffset == C.WriteBuffer.size()) {
    // Frees the buffer, since there may be many idle callers.
    std::string().swap(C.WriteBuffer);
    C.WriteOffset = 0;
  } else if (C.WriteOffset > ReadBytes) {
    C.WriteBuffer.erase(0, C.WriteOffset);
    C.WriteOffset = 0;
  }
  if (C.ConnectionFailed)
    C.M->onDisconnected(Pending);
  else if (Written > 0)
    C.M->onWritten(Written, this->EventLoop.now(), Pending);
}

void EntryService::Impl::updateWatch(Caller &C) {
  bool Read = !C.Paused && !C.Closing && this->Budget.mayRead(SessionId(C.M->options().Session));
  uint32_t Events =
      (Read ? uint32_t{EPOLLIN} : 0U) | (C.WriteBuffer.empty() ? 0U : uint32_t{EPOLLOUT});
  if (Events == C.WatchedEvents)
    return;
  C.WatchedEvents = Events;
  this->EventLoop.rewatch(C.Fd, Events);
  this->account(C);
}

MachineOptions EntryService::Impl::newMachineOptions(std::string Address) {
  MachineOptions M;
  while (this->NextSession == 0 || this->Callers.contains(this->NextSession))
    ++this->NextSession;
  M.Session = this->NextSession++;
  // Client drivers treat the process id as signed, and some reject zero.
  do
    M.ProcessId = randomBits() >> 1;
  while (M.ProcessId == 0 || this->SessionByProcessId.contains(M.ProcessId));
  M.SecretKey = uint32_t{this->SelfHash} << HashShift | (randomBits() & 0xffffU);
  M.Address = std::move(Address);
  M.OverLimit = this->Callers.size() >= this->maxCallers() || !this->Budget.mayAccept();
  return M;
}

} // namespace toucan::session
