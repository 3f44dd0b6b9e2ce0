// Callback for sending an envelope to an instance.
#ifndef TOUCAN_MEMBER_SEND_H
#define TOUCAN_MEMBER_SEND_H

#include "base/ids.h"
#include "proto/link.pb.h"

#include <functional>

namespace toucan::member {

// Sends an envelope to an instance, which may be this one. Returns false if the instance is
// unknown; the envelope was then certainly not sent. An ExecRequest that is accepted but cannot be
// sent later is answered by a Done with NOT_RUN and Reason::LinkDown.
using SendFn = std::function<bool(const InstanceId &To, proto::Envelope Message)>;

} // namespace toucan::member

#endif // TOUCAN_MEMBER_SEND_H
