// Requests to instances over ZeroMQ.
#ifndef TOUCAN_CTL_QUERY_H
#define TOUCAN_CTL_QUERY_H

#include "base/ids.h"
#include "proto/link.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace toucan::ctl {

struct Peer {
  InstanceId Id;
  std::string LinkEndpoint; // host:port
};

// The answer of one instance: either Message or Problem is set.
struct Answer {
  InstanceId Id;
  std::optional<proto::Envelope> Message;
  std::string Problem;
};

// Sends a request to all peers and waits until each has answered or the deadline has passed.
// The answers have the order of the peers. An answer with another body than Expected, or from
// another instance than the peer, is a problem.
std::vector<Answer> queryAll(const std::vector<Peer> &Peers, const proto::Envelope &Request,
                             proto::Envelope::BodyCase Expected, Instant Deadline);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_QUERY_H
