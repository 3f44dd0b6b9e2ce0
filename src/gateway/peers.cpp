#include "gateway/peers.h"
#include "gateway/socket.h"

#include <utility>

namespace toucan::gateway {

PeerLink::PeerLink(Loop &InLoop, Metrics &Counters, PeerLinkOptions Options)
    : InLoop(InLoop), Counters(Counters), Options(std::move(Options)) {
  this->handle(Kind::kPeerHello, [this](const InstanceId &From, const proto::Envelope &M) {
    this->onHello(From, M);
  });
}

Result<void> PeerLink::start() {
  if (this->Options.Host.empty())
    return {};
  this->Link = std::make_unique<link::LinkService>(
      this->InLoop,
      link::LinkOptions{.Self = this->Options.Self,
                        .Incarnation = this->Options.Incarnation,
                        .Host = this->Options.Host,
                        .Port = this->Options.Port},
      link::LinkHandlers{
          .OnMessage = [this](const InstanceId &From,
                              const proto::Envelope &M) { this->onMessage(From, M); },
          .OnAdmin =
              [this](const proto::Envelope &, const std::function<void(proto::Envelope)> &) {
                this->Counters.add("link_malformed_total");
              },
          .OnPeerLost = [](const InstanceId &) {}},
      this->Counters);
  return this->Link->bind();
}

std::string PeerLink::endpoint() const {
  return this->Link ? this->Options.Host + ":" + std::to_string(this->Link->port()) : "";
}

void PeerLink::handle(Kind Of, Handler OnMessage) { this->Handlers[Of] = std::move(OnMessage); }

void PeerLink::onMessage(const InstanceId &From, const proto::Envelope &Message) {
  auto It = this->Handlers.find(Message.body_case());
  if (It == this->Handlers.end()) {
    this->Counters.add("link_malformed_total");
    return;
  }
  It->second(From, Message);
}

bool PeerLink::send(const InstanceId &To, proto::Envelope Message) {
  return this->Link && this->Link->send(To, std::move(Message));
}

void PeerLink::setPeers(const std::map<InstanceId, InstanceAddress> &Alive) {
  if (!this->Link)
    return;
  auto Former = std::exchange(this->Addresses, {});
  for (const auto &[Id, Address] : Alive)
    if (Id != this->Options.Self && !Address.Endpoint.empty())
      this->Addresses[Id] = {.Endpoint = Address.Endpoint, .Incarnation = Address.Incarnation};
  this->applyPeers();
  for (const auto &[Id, Address] : this->Addresses) {
    auto Known = Former.find(Id);
    if (Known != Former.end() && Known->second.Incarnation == Address.Incarnation)
      continue;
    proto::Envelope Message;
    Message.mutable_peer_hello()->set_endpoint(this->endpoint());
    this->send(Id, std::move(Message));
  }
}

// An instance that started after the rows were read here is known from its own message until the
// next read of the rows.
void PeerLink::onHello(const InstanceId &From, const proto::Envelope &Message) {
  const std::string &Endpoint = Message.peer_hello().endpoint();
  auto Known = this->Addresses.find(From);
  bool Newer = Known == this->Addresses.end() || Known->second.Incarnation < Message.incarnation();
  if (From == this->Options.Self || !isSocketAddress(Endpoint) || !Newer)
    return;
  this->Addresses[From] = {.Endpoint = Endpoint, .Incarnation = Message.incarnation()};
  LogEvent(LogLevel::Info, "peer_known").kv("peer", From.Value).kv("endpoint", Endpoint);
  this->applyPeers();
}

void PeerLink::applyPeers() {
  this->Peers.clear();
  for (const auto &[Id, Address] : this->Addresses)
    this->Peers.push_back(Id);
  this->Link->setPeers(this->Addresses);
}

} // namespace toucan::gateway
