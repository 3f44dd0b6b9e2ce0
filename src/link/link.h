// Public header of the link library: ZeroMQ transport between daemons and to toucanctl.
#ifndef TOUCAN_LINK_LINK_H
#define TOUCAN_LINK_LINK_H

#include "base/base.h"
#include "proto/link.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucan::link {

struct LinkOptions {
  InstanceId Self;
  uint64_t Incarnation = 0;
  std::string Host = "127.0.0.1"; // IP address
  uint16_t Port = 0;              // 0: ephemeral port
  absl::Duration PingInterval = absl::Seconds(1);
  absl::Duration PeerTimeout = absl::Seconds(3); // silence of a pinged peer before it is lost
  // The socket of a peer is closed when nothing, not even a heartbeat, has been sent to it for this
  // long. With 3 heartbeats a second to random members about 15 sockets stay open, independent of
  // the number of members; ZeroMQ keep-alives on a socket per member would form a full mesh.
  absl::Duration IdleTimeout = absl::Seconds(5);
  int SendQueueMessages = 2048; // 64 MiB per peer with 32 KiB chunks
};

struct PeerAddress {
  std::string Endpoint; // host:port
  uint64_t Incarnation = 0;
};

struct LinkHandlers {
  // Called for a message from another daemon.
  std::function<void(const InstanceId &From, proto::Envelope Message)> OnMessage;
  // Called for a request from toucanctl; the reply may be sent later, from the link loop.
  std::function<void(proto::Envelope Request, std::function<void(proto::Envelope)> Reply)> OnAdmin;
  // Called when a peer does not answer, reports a loss, or has restarted, moved or been removed.
  std::function<void(const InstanceId &Peer)> OnPeerLost;
};

// One ROUTER socket receives from all peers; one DEALER socket per peer only sends. When a peer is
// lost, its DEALER socket is closed and its queued messages are discarded, so that nothing is
// delivered after the sender has abandoned the request. Each message carries the link epoch (the
// number of losses), so that the other end declares the same loss before it handles the first
// message of the new connection, and drops late messages of the old one. Messages are numbered: a
// gap counts as a loss. All calls happen in the link loop.
class LinkService {
public:
  LinkService(Loop &InLoop, LinkOptions Options, LinkHandlers Handlers, Metrics &Counters);
  ~LinkService();

  // Binds the port. The error names the address and the cause.
  Result<void> bind();
  uint16_t port() const;

  // Sets the peers that messages can be sent to. The links to all others are dropped.
  void setPeers(std::map<InstanceId, PeerAddress> Peers);
  // Returns false if the message was certainly not sent: the peer is unknown, the queue is full, or
  // the message is a request and the peer has not been heard from yet; that peer is then pinged.
  bool send(const InstanceId &To, proto::Envelope Message);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::link

#endif // TOUCAN_LINK_LINK_H
