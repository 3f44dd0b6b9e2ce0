// Non-blocking TCP sockets.
#ifndef TOUCAN_GATEWAY_SOCKET_H
#define TOUCAN_GATEWAY_SOCKET_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace toucan::gateway {

// Splits IP:PORT at the last colon. Empty if the port is not a number from 1 to 65535.
std::optional<std::pair<std::string, uint16_t>> splitAddress(const std::string &Address);
// Whether connectTo() can use the address: an IPv4 address and a port.
bool isSocketAddress(const std::string &Address);
// Starts a connection. The socket becomes writable once it is connected or the attempt has failed.
Result<int> connectTo(const std::string &Address);
Result<int> listenOn(const std::string &Address);
// Sets TCP_NODELAY, keep-alive, and the time after which unacknowledged bytes break the connection.
void setSocketOptions(int Fd);

enum class Transfer : uint8_t { Done, WouldBlock, Closed };

// Reads the bytes available, up to a limit per call, and appends them to Out.
Transfer readInto(int Fd, std::string &Out);
// The same with a limit, about which the last read may go by its size. Sets PeerEnded and returns
// Done if the peer shut down its sending side; it may still receive.
Transfer readInto(int Fd, std::string &Out, size_t Limit, bool &PeerEnded);
// Sets the sizes of the kernel's buffers, and segments that fit into them. Accepted sockets inherit
// both from a listening one.
void setBufferSizes(int Fd, int Bytes);
// Whether the peer has acknowledged all that was sent, and the connection has not failed.
bool allAcknowledged(int Fd);
// Returns the memory of a buffer that was large and is at most half full. Without it, each link and
// caller keeps the memory of its largest message.
void releaseSpareCapacity(std::string &Buffer);
// Writes from the front of Out and erases the bytes written.
Transfer writeFrom(int Fd, std::string &Out);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SOCKET_H
