#include "session/entry_impl.h"

#include <sys/epoll.h>

#include <utility>

namespace toucan::session {

EntryService::EntryService(Loop &InLoop, EntryOptions Options, member::SendFn Send,
                           Metrics &Counters)
    : State(std::make_unique<Impl>(InLoop, std::move(Options), std::move(Send), Counters)) {}

EntryService::~EntryService() = default;

Result<void> EntryService::listen() { return this->State->listen(); }

uint16_t EntryService::port() const { return this->State->Port; }

void EntryService::onView(member::ViewPtr View) { this->State->Common.View = std::move(View); }

void EntryService::onEnvelope(const InstanceId &From, proto::Envelope Message) {
  this->State->deferOrRun([S = this->State.get(), From, Message = std::move(Message)] {
    S->onEnvelope(From, Message);
  });
}

void EntryService::onPeerLost(const InstanceId &Peer) {
  this->State->deferOrRun([S = this->State.get(), Peer] {
    S->Common.removeObserver(Peer);
    S->handleEventForAll(
        [&](Machine &M, Actions &Out) { M.onPeerLost(Peer, S->EventLoop.now(), Out); });
  });
}

void EntryService::beginDrain(Instant Deadline) { this->State->beginDrain(Deadline); }

bool EntryService::drained() const {
  return this->State->Common.Draining && this->State->Callers.empty() && !this->State->Interrupted;
}

size_t EntryService::callers() const { return this->State->Callers.size(); }

proto::SessionsReply EntryService::sessions() const {
  proto::SessionsReply Reply;
  for (const auto &[Id, C] : this->State->Callers)
    *Reply.add_sessions() = C->M->status();
  return Reply;
}

} // namespace toucan::session
