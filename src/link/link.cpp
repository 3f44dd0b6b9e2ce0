#include "link/link.h"

#include "absl/strings/str_format.h"

#include <sys/epoll.h>
#include <zmq.hpp>

#include <cassert>

namespace toucan::link {

namespace {

constexpr int IoThreads = 1;
// Pings to a peer stop when no payload has been sent to it for this long.
constexpr absl::Duration PingIdleTimeout = absl::Seconds(10);
// Minimum interval between pings that notify a peer of a link epoch it does not know yet.
constexpr absl::Duration EpochNotifyInterval = absl::Milliseconds(100);
// Limit per event-loop iteration, so that other descriptors are served as well.
constexpr int MaxMessagesPerRound = 256;

// Messages that belong to a request. The sender abandons the request when it declares the link
// lost.
bool isRequestMessage(const proto::Envelope &M) {
  return M.has_exec() || M.has_chunk() || M.has_done() || M.has_credit() || M.has_cancel() ||
         M.has_release();
}

} // namespace

struct LinkService::Impl {
  struct Peer {
    PeerAddress Address;
    std::unique_ptr<zmq::socket_t> Dealer;
    Instant LastPayloadSent = absl::InfinitePast(); // requests, replies and rules only
    Instant LastUsed = absl::InfinitePast();        // any message
    bool KnowsSelf = false;                         // the peer knows this instance
    uint32_t Epoch = 0; // number of losses of the link; a peer with a lower epoch is notified
    uint64_t SentSequence = 0;     // messages sent in this epoch
    uint64_t ReceivedSequence = 0; // last sequence number received in this epoch
    // The epoch began while the peer knew this instance, so its first message must have number 1.
    bool ExpectFirstSequence = false;
    Instant EpochNotifiedAt = absl::InfinitePast(); // last epoch notification
    // Start of the silence: the first payload or ping sent since the peer was last heard from.
    Instant SilentSince = absl::InfiniteFuture();
  };

  Loop &InLoop;
  LinkOptions Options;
  LinkHandlers Handlers;
  Metrics &Counters;
  zmq::context_t Context{IoThreads};
  zmq::socket_t Router{Context, zmq::socket_type::router};
  uint16_t BoundPort = 0;
  int RouterFd = -1;
  std::map<InstanceId, Peer> Peers;
  uint64_t PingCount = 0;
  TimerId PingTimer;

  Impl(Loop &L, LinkOptions O, LinkHandlers H, Metrics &M)
      : InLoop(L), Options(std::move(O)), Handlers(std::move(H)), Counters(M) {}

  Result<void> bind();
  void onReadable();
  bool receiveOne();
  void dispatch(const std::string &RoutingId, proto::Envelope Message);
  void reply(const std::string &RoutingId, const proto::Envelope &Message);
  bool send(const InstanceId &To, proto::Envelope Message);
  bool sendTo(Peer &P, proto::Envelope &Message);
  void ping(Peer &P);
  void connect(Peer &P);
  void markLost(const InstanceId &Id, std::string_view Cause);
  bool rejectStale(const InstanceId &From, Peer &P, const proto::Envelope &Message);
  bool detectGap(Peer &P, uint64_t Sequence);
  void notifyEpoch(Peer &P);
  void pingPeers();
  void schedulePing();
};

Result<void> LinkService::Impl::bind() {
  std::string Address =
      absl::StrFormat("tcp://%s:%s", this->Options.Host,
                      this->Options.Port == 0 ? "*" : absl::StrFormat("%d", this->Options.Port));
  try {
    this->Router.set(zmq::sockopt::linger, 0);
    this->Router.set(zmq::sockopt::sndhwm, this->Options.SendQueueMessages);
    this->Router.bind(Address);
    std::string Bound = this->Router.get(zmq::sockopt::last_endpoint);
    this->BoundPort = static_cast<uint16_t>(std::stoi(Bound.substr(Bound.rfind(':') + 1)));
    this->RouterFd = this->Router.get(zmq::sockopt::fd);
  } catch (const zmq::error_t &E) {
    return failure(absl::StrFormat("link address %s cannot be bound: %s", Address, E.what()));
  }
  this->InLoop.watch(this->RouterFd, EPOLLIN, [this](uint32_t) { this->onReadable(); });
  this->schedulePing();
  return {};
}

// The descriptor of a ZeroMQ socket is edge-triggered: messages must be read until none is left, or
// the next event is missed.
void LinkService::Impl::onReadable() {
  for (int I = 0; I < MaxMessagesPerRound; ++I)
    if (!this->receiveOne())
      return;
  this->InLoop.post([this] { this->onReadable(); });
}

bool LinkService::Impl::receiveOne() {
  zmq::message_t RoutingId;
  zmq::message_t Body;
  if (!this->Router.recv(RoutingId, zmq::recv_flags::dontwait))
    return false;
  if (!RoutingId.more())
    return true;
  [[maybe_unused]] auto Size = this->Router.recv(Body, zmq::recv_flags::dontwait);
  bool Extra = Body.more();
  while (Extra) {
    zmq::message_t Rest;
    [[maybe_unused]] auto More = this->Router.recv(Rest, zmq::recv_flags::dontwait);
    Extra = Rest.more();
  }
  this->Counters.add("link_received_bytes_total", Body.size());
  proto::Envelope Message;
  if (!Message.ParseFromArray(Body.data(), static_cast<int>(Body.size()))) {
    this->Counters.add("link_malformed_total");
    LogEvent(LogLevel::Warn, "link_malformed_message").kv("bytes", Body.size());
    return true;
  }
  this->dispatch(RoutingId.to_string(), std::move(Message));
  return true;
}

void LinkService::Impl::dispatch(const std::string &RoutingId, proto::Envelope Message) {
  if (Message.from().empty()) {
    this->Handlers.OnAdmin(std::move(Message), [this, RoutingId](const proto::Envelope &Answer) {
      this->reply(RoutingId, Answer);
    });
    return;
  }
  InstanceId From(Message.from());
  auto It = this->Peers.find(From);
  if (It != this->Peers.end()) {
    It->second.KnowsSelf = true;
    It->second.SilentSince = absl::InfiniteFuture();
    if (this->rejectStale(From, It->second, Message))
      return;
  }
  if (Message.has_ping()) {
    proto::Envelope Answer;
    Answer.mutable_pong()->set_sequence(Message.ping().sequence());
    this->send(From, std::move(Answer));
    return;
  }
  if (Message.has_pong())
    return;
  this->Handlers.OnMessage(From, std::move(Message));
}

// Compares the link epoch of a message with the local one. A higher epoch means a loss that this
// end has not detected: everything sent since then went into a dead connection. Returns true if the
// message must not be delivered, because its sender or this end has abandoned the request.
bool LinkService::Impl::rejectStale(const InstanceId &From, Peer &P,
                                    const proto::Envelope &Message) {
  bool SameProcess = P.Address.Incarnation == 0 || P.Address.Incarnation == Message.incarnation();
  if (!SameProcess)
    return false;
  if (Message.link_epoch() > P.Epoch) {
    P.Epoch = Message.link_epoch();
    this->markLost(From, "reported by the peer");
  }
  if (Message.link_epoch() == P.Epoch) {
    if (!this->detectGap(P, Message.link_sequence()))
      return false;
    ++P.Epoch;
    this->markLost(From, "gap in the message sequence");
    this->notifyEpoch(P);
  }
  if (!isRequestMessage(Message))
    return false;
  this->Counters.add("link_late_messages_total");
  this->notifyEpoch(P);
  return true;
}

// Returns true if messages before this one were lost. ZeroMQ reconnects silently after a connection
// is cut, and messages in flight are lost.
bool LinkService::Impl::detectGap(Peer &P, uint64_t Sequence) {
  if (Sequence == 0)
    return false;
  bool Expected =
      Sequence == P.ReceivedSequence + 1 || (P.ReceivedSequence == 0 && !P.ExpectFirstSequence);
  P.ReceivedSequence = Sequence;
  return !Expected;
}

void LinkService::Impl::notifyEpoch(Peer &P) {
  if (this->InLoop.now() < P.EpochNotifiedAt + EpochNotifyInterval)
    return;
  P.EpochNotifiedAt = this->InLoop.now();
  this->ping(P);
}

void LinkService::Impl::reply(const std::string &RoutingId, const proto::Envelope &Message) {
  zmq::message_t Id(RoutingId.data(), RoutingId.size());
  std::string Bytes = Message.SerializeAsString();
  // The ROUTER socket drops a reply to a client that has disconnected.
  this->Router.send(Id, zmq::send_flags::sndmore | zmq::send_flags::dontwait);
  this->Router.send(zmq::message_t(Bytes.data(), Bytes.size()), zmq::send_flags::dontwait);
}

bool LinkService::Impl::send(const InstanceId &To, proto::Envelope Message) {
  auto It = this->Peers.find(To);
  if (It == this->Peers.end())
    return false;
  Peer &P = It->second;
  // A peer that does not know this instance yet cannot send it answers, so the request would wait
  // until its deadline. A peer that has sent a message knows this instance.
  if (Message.has_exec() && !P.KnowsSelf) {
    P.LastPayloadSent = this->InLoop.now();
    this->ping(P);
    return false;
  }
  // Pings, pongs and heartbeats are not payload: otherwise two idle peers would ping each other
  // forever.
  bool Use = !Message.has_pong() && !Message.has_ping() && !Message.has_heartbeat();
  if (!this->sendTo(P, Message))
    return false;
  if (Use) {
    P.LastPayloadSent = this->InLoop.now();
    if (P.SilentSince == absl::InfiniteFuture())
      P.SilentSince = this->InLoop.now();
  }
  return true;
}

bool LinkService::Impl::sendTo(Peer &P, proto::Envelope &Message) {
  P.LastUsed = this->InLoop.now();
  Message.set_from(this->Options.Self.Value);
  Message.set_incarnation(this->Options.Incarnation);
  Message.set_link_epoch(P.Epoch);
  Message.set_link_sequence(P.SentSequence + 1);
  std::string Bytes = Message.SerializeAsString();
  bool Sent = false;
  try {
    if (!P.Dealer)
      this->connect(P);
    Sent = P.Dealer->send(zmq::message_t(Bytes.data(), Bytes.size()), zmq::send_flags::dontwait)
               .has_value();
  } catch (const zmq::error_t &E) {
    LogEvent(LogLevel::Warn, "link_send_failed")
        .kv("peer", P.Address.Endpoint)
        .kv("cause", E.what());
    P.Dealer.reset();
  }
  P.SentSequence += Sent ? 1 : 0;
  this->Counters.add(Sent ? "link_sent_bytes_total" : "link_send_failures_total",
                     Sent ? Bytes.size() : 1);
  return Sent;
}

void LinkService::Impl::connect(Peer &P) {
  P.Dealer = std::make_unique<zmq::socket_t>(this->Context, zmq::socket_type::dealer);
  P.Dealer->set(zmq::sockopt::linger, 0);
  P.Dealer->set(zmq::sockopt::sndhwm, this->Options.SendQueueMessages);
  P.Dealer->set(zmq::sockopt::connect_timeout,
                static_cast<int>(absl::ToInt64Milliseconds(this->Options.PeerTimeout)));
  P.Dealer->set(zmq::sockopt::heartbeat_ivl,
                static_cast<int>(absl::ToInt64Milliseconds(this->Options.PingInterval)));
  P.Dealer->set(zmq::sockopt::heartbeat_timeout,
                static_cast<int>(absl::ToInt64Milliseconds(this->Options.PeerTimeout)));
  P.Dealer->connect(absl::StrFormat("tcp://%s", P.Address.Endpoint));
}

// Closes the DEALER socket of a peer, resets the link state and reports the loss.
void LinkService::Impl::markLost(const InstanceId &Id, std::string_view Cause) {
  Peer &P = this->Peers.at(Id);
  P.Dealer.reset();
  P.SilentSince = absl::InfiniteFuture();
  P.LastPayloadSent = absl::InfinitePast();
  P.LastUsed = absl::InfinitePast();
  P.SentSequence = 0;
  P.ReceivedSequence = 0;
  P.ExpectFirstSequence = true;
  P.EpochNotifiedAt = absl::InfinitePast();
  this->Counters.add("link_lost_total");
  LogEvent(LogLevel::Warn, "link_lost").kv("peer", Id.Value).kv("cause", Cause);
  this->Handlers.OnPeerLost(Id);
}

void LinkService::Impl::ping(Peer &P) {
  proto::Envelope Ping;
  Ping.mutable_ping()->set_sequence(++this->PingCount);
  this->sendTo(P, Ping);
  if (P.SilentSince == absl::InfiniteFuture())
    P.SilentSince = this->InLoop.now();
}

void LinkService::Impl::pingPeers() {
  // Reads messages that arrived while this process was stopped before checking for silent peers.
  this->onReadable();
  Instant Now = this->InLoop.now();
  std::vector<InstanceId> Lost;
  for (auto &[Id, P] : this->Peers) {
    if (P.SilentSince + this->Options.PeerTimeout <= Now) {
      Lost.push_back(Id);
      continue;
    }
    if (P.LastUsed + this->Options.IdleTimeout < Now)
      P.Dealer.reset();
    if (P.LastPayloadSent + PingIdleTimeout < Now)
      continue;
    this->ping(P);
  }
  for (const InstanceId &Id : Lost) {
    ++this->Peers.at(Id).Epoch;
    this->markLost(Id, "silent");
    this->notifyEpoch(this->Peers.at(Id));
  }
  int64_t Open = 0;
  for (const auto &[Id, P] : this->Peers)
    Open += P.Dealer ? 1 : 0;
  this->Counters.set("link_sockets", Open);
  this->schedulePing();
}

void LinkService::Impl::schedulePing() {
  this->PingTimer = this->InLoop.at(this->InLoop.now() + this->Options.PingInterval,
                                    [this] { this->pingPeers(); });
}

LinkService::LinkService(Loop &InLoop, LinkOptions Options, LinkHandlers Handlers,
                         Metrics &Counters)
    : State(std::make_unique<Impl>(InLoop, std::move(Options), std::move(Handlers), Counters)) {}

LinkService::~LinkService() {
  this->State->InLoop.cancel(this->State->PingTimer);
  if (this->State->RouterFd >= 0)
    this->State->InLoop.unwatch(this->State->RouterFd);
}

Result<void> LinkService::bind() { return this->State->bind(); }

uint16_t LinkService::port() const { return this->State->BoundPort; }

void LinkService::setPeers(std::map<InstanceId, PeerAddress> NewPeers) {
  auto &Peers = this->State->Peers;
  std::vector<InstanceId> Lost;
  for (auto &[Id, P] : Peers) {
    auto It = NewPeers.find(Id);
    bool Removed = It == NewPeers.end();
    bool Moved = !Removed && It->second.Endpoint != P.Address.Endpoint;
    bool Restarted =
        !Removed && P.Address.Incarnation != 0 && It->second.Incarnation != P.Address.Incarnation;
    if (Removed || Moved || Restarted)
      Lost.push_back(Id);
  }
  for (const InstanceId &Id : Lost) {
    this->State->markLost(Id, "restarted, moved or removed");
    Peers.erase(Id);
  }
  for (auto &[Id, Address] : NewPeers)
    Peers[Id].Address = Address;
}

bool LinkService::send(const InstanceId &To, proto::Envelope Message) {
  return this->State->send(To, std::move(Message));
}

} // namespace toucan::link
