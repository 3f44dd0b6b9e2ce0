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
// Writes from the front of Out and erases the bytes written.
Transfer writeFrom(int Fd, std::string &Out);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SOCKET_H
