// Socket of one client: reads protocol messages, and buffers and sends responses.
#ifndef TOUCAN_STANDIN_DB_CHANNEL_H
#define TOUCAN_STANDIN_DB_CHANNEL_H

#include "interrupt.h"

#include "wire/wire.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::standin {

// Not thread-safe except for stopReading(): only the thread of the connection may use it.
class Channel {
public:
  // Takes ownership of Fd.
  Channel(int Fd, const Interrupt &SessionInterrupt);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  // Wait for a complete message. False when the client has disconnected or sent an invalid message,
  // or after stopReading().
  bool readStartup(wire::StartupPacket &Out);
  bool read(wire::Frame &Out);

  // Appends to the output buffer and flushes it when it is large. False when sending has failed.
  bool write(std::string_view Bytes);
  bool flush();
  bool canSend() const { return !this->SendFailed; }

  // Makes readStartup() and read() return false. May be called from any thread while the object
  // exists.
  void stopReading() const;

private:
  bool receive();

  int Fd;
  const Interrupt &SessionInterrupt;
  wire::FrameReader Reader;
  std::string Out;
  bool SendFailed = false;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_CHANNEL_H
