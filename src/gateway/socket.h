// Non-blocking TCP sockets.
#ifndef TOUCAN_GATEWAY_SOCKET_H
#define TOUCAN_GATEWAY_SOCKET_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace toucan::gateway {

// Splits IP:PORT; empty if the port is no number.
std::optional<std::pair<std::string, uint16_t>> splitAddress(const std::string &Address);
// Starts to connect; the socket becomes writable when it is connected or has failed.
Result<int> connectTo(const std::string &Address);
Result<int> listenOn(const std::string &Address);
// Sets no delay, keep-alive and the time after which unacknowledged bytes break the connection.
void setSocketOptions(int Fd);

enum class Transfer : uint8_t { Done, WouldBlock, Closed };

// Reads what is there, up to a bound, and appends it to Out.
Transfer readInto(int Fd, std::string &Out);
// Writes from the front of Out and erases what was written.
Transfer writeFrom(int Fd, std::string &Out);

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SOCKET_H
