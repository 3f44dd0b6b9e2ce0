// Messages between the gateways of live instances. Owns the link and passes each kind of message
// to the part that registered for it.
#ifndef TOUCAN_GATEWAY_PEERS_H
#define TOUCAN_GATEWAY_PEERS_H

#include "gateway/instances.h"
#include "link/link.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::gateway {

struct PeerLinkOptions {
  InstanceId Self;
  uint64_t Incarnation = 0; // start of this process
  std::string Host;         // IP address that other instances reach; empty: no link
  uint16_t Port = 0;        // 0: ephemeral port
};

// All calls happen on the loop's thread.
class PeerLink {
public:
  using Kind = proto::Envelope::BodyCase;
  using Handler = std::function<void(const InstanceId &From, const proto::Envelope &Message)>;

  PeerLink(Loop &InLoop, Metrics &Counters, PeerLinkOptions Options);

  // Binds the port. The error names the address and the cause.
  Result<void> start();
  bool enabled() const { return this->Link != nullptr; }
  const InstanceId &self() const { return this->Options.Self; }
  // Where other instances reach this one; empty without a link.
  std::string endpoint() const;
  uint64_t incarnation() const { return this->Options.Incarnation; }

  // Sets the handler of one kind of message.
  void handle(Kind Of, Handler OnMessage);
  // The live instances according to the store. Peers that are new here are told of this instance,
  // because they read the store's rows only every 25 s.
  void setPeers(const std::map<InstanceId, InstanceAddress> &Alive);
  // The other instances that messages can be sent to, in order of their ids.
  const std::vector<InstanceId> &peers() const { return this->Peers; }
  // False if the message was certainly not sent.
  bool send(const InstanceId &To, proto::Envelope Message);

private:
  void onMessage(const InstanceId &From, const proto::Envelope &Message);
  void onHello(const InstanceId &From, const proto::Envelope &Message);
  void applyPeers();

  Loop &InLoop;
  Metrics &Counters;
  PeerLinkOptions Options;
  std::unique_ptr<link::LinkService> Link;
  std::map<Kind, Handler> Handlers;
  std::map<InstanceId, link::PeerAddress> Addresses;
  std::vector<InstanceId> Peers;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_PEERS_H
