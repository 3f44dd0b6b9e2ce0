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
  std::string Host = "127.0.0.1"; // IP number
  uint16_t Port = 0;              // 0: chosen by the system
  absl::Duration PingInterval = absl::Seconds(1);
  absl::Duration PeerTimeout = absl::Seconds(3); // silence of a peer that is being pinged
  // A peer that was sent nothing, not even a heartbeat, for this long loses its socket. With 3
  // heartbeats a second to random members about 15 sockets stay open, however many members there
  // are; ZeroMQ's keep-alive for a socket to every member would be a full mesh of its own.
  absl::Duration IdleTimeout = absl::Seconds(5);
  int SendQueueMessages = 2048; // with 32 KiB chunks this is 64 MiB for each peer
};

// Where a peer can be reached.
struct PeerAddress {
  std::string Endpoint; // host:port
  uint64_t Incarnation = 0;
};

struct LinkHandlers {
  // A message of another daemon.
  std::function<void(const InstanceId &From, proto::Envelope Message)> OnMessage;
  // A request of toucanctl; the reply may be sent later, in the link loop.
  std::function<void(proto::Envelope Request, std::function<void(proto::Envelope)> Reply)> OnAdmin;
  // Nothing was heard from a peer that messages were sent to, or it has restarted.
  std::function<void(const InstanceId &Peer)> OnPeerLost;
};

// One ROUTER socket receives from everybody; one DEALER socket for each peer only sends. When a
// peer is lost its DEALER is closed with the messages still queued in it, so that nothing is
// delivered after the sender has given the request up. Each message carries the number of losses of
// the link, so that the other end declares the same loss before it handles the first message of the
// next connection, and drops late messages of the last one. Messages are numbered: a gap is a loss.
// All calls happen in the link loop.
class LinkService {
public:
  LinkService(Loop &InLoop, LinkOptions Options, LinkHandlers Handlers, Metrics &Counters);
  ~LinkService();

  // Binds the port; the error names the address and the cause.
  Result<void> bind();
  uint16_t port() const;

  // The peers that may be sent to; others are dropped.
  void setPeers(std::map<InstanceId, PeerAddress> Peers);
  // Returns false when the message was certainly not sent: unknown peer, full queue, or a request
  // to a peer that has not been heard from yet; that peer is then pinged.
  bool send(const InstanceId &To, proto::Envelope Message);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::link

#endif // TOUCAN_LINK_LINK_H
