#include "ctl/query.h"

#include "absl/strings/str_format.h"

#include <sys/resource.h>
#include <zmq.hpp>

#include <algorithm>
#include <chrono>

namespace toucan::ctl {

namespace {

constexpr int SpareSockets = 16;

// Raises the soft limit of descriptors to the hard limit. Each instance needs a socket and a
// connection, and with thousands of instances these exceed the usual soft limit of 1,024.
void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

// One call of queryAll(). Each peer has a socket, which is closed when the answer has arrived.
class QueryRound {
public:
  QueryRound(const std::vector<Peer> &Peers, proto::Envelope::BodyCase Expected)
      : Peers(Peers), Expected(Expected), Answers(Peers.size()) {
    this->Context.set(zmq::ctxopt::max_sockets, static_cast<int>(Peers.size()) + SpareSockets);
  }

  void send(const std::string &Bytes) {
    for (size_t I = 0; I < this->Peers.size(); ++I) {
      this->Answers[I].Id = this->Peers[I].Id;
      this->Sockets.emplace_back();
      try {
        zmq::socket_t Socket(this->Context, zmq::socket_type::dealer);
        Socket.set(zmq::sockopt::linger, 0);
        Socket.connect(absl::StrFormat("tcp://%s", this->Peers[I].LinkEndpoint));
        if (Socket.send(zmq::buffer(Bytes), zmq::send_flags::dontwait))
          this->Sockets.back() = std::move(Socket);
        else
          this->Answers[I].Problem = this->problemAt(I, "the request could not be queued");
      } catch (const zmq::error_t &E) {
        this->Answers[I].Problem = this->problemAt(I, E.what());
      }
    }
  }

  std::vector<Answer> receive(Instant Start, Instant Deadline) {
    while (this->poll(Deadline)) {
    }
    absl::Duration Waited =
        std::max(absl::ZeroDuration(), absl::Ceil(Deadline - Start, absl::Milliseconds(1)));
    for (size_t I = 0; I < this->Peers.size(); ++I)
      if (this->Sockets[I])
        this->Answers[I].Problem = this->problemAt(
            I, absl::StrFormat("no answer within %d ms", absl::ToInt64Milliseconds(Waited)));
    return std::move(this->Answers);
  }

private:
  std::string problemAt(size_t I, std::string_view Cause) const {
    return absl::StrFormat("tcp://%s: %s", this->Peers[I].LinkEndpoint, Cause);
  }

  // Waits for the next answers and records them. Returns false if no answer is outstanding or the
  // deadline has passed.
  bool poll(Instant Deadline) {
    std::vector<zmq::pollitem_t> Items;
    std::vector<size_t> Indexes;
    for (size_t I = 0; I < this->Sockets.size(); ++I) {
      if (!this->Sockets[I])
        continue;
      Items.push_back({this->Sockets[I].handle(), 0, ZMQ_POLLIN, 0});
      Indexes.push_back(I);
    }
    absl::Duration Left = Deadline - monotonicNow();
    if (Items.empty() || Left <= absl::ZeroDuration())
      return false;
    zmq::poll(Items, std::chrono::milliseconds(absl::ToInt64Milliseconds(Left) + 1));
    for (size_t N = 0; N < Items.size(); ++N)
      if (Items[N].revents & ZMQ_POLLIN)
        this->receiveAnswer(Indexes[N]);
    return true;
  }

  void receiveAnswer(size_t I) {
    zmq::message_t Frame;
    if (!this->Sockets[I].recv(Frame, zmq::recv_flags::dontwait))
      return;
    Answer &A = this->Answers[I];
    proto::Envelope Message;
    if (Frame.more() || !Message.ParseFromArray(Frame.data(), static_cast<int>(Frame.size())))
      A.Problem = this->problemAt(I, "the answer is not one frame with an Envelope");
    else if (!Message.from().empty() && Message.from() != A.Id.Value)
      A.Problem = this->problemAt(
          I, absl::StrFormat("instance \"%s\" answers at this address", Message.from()));
    else if (Message.body_case() != this->Expected)
      A.Problem = this->problemAt(I, absl::StrFormat("answer with body %d, expected %d",
                                                     static_cast<int>(Message.body_case()),
                                                     static_cast<int>(this->Expected)));
    else
      A.Message = std::move(Message);
    this->Sockets[I].close();
  }

  const std::vector<Peer> &Peers;
  proto::Envelope::BodyCase Expected;
  zmq::context_t Context;
  std::vector<zmq::socket_t> Sockets; // empty socket: the peer has answered or failed
  std::vector<Answer> Answers;
};

} // namespace

std::vector<Answer> queryAll(const std::vector<Peer> &Peers, const proto::Envelope &Request,
                             proto::Envelope::BodyCase Expected, Instant Deadline) {
  Instant Start = monotonicNow();
  raiseDescriptorLimit();
  QueryRound R(Peers, Expected);
  R.send(Request.SerializeAsString());
  return R.receive(Start, Deadline);
}

} // namespace toucan::ctl
