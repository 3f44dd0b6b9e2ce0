// Socket of one client: reads messages, buffers and sends answers.
#ifndef TOUCAN_STANDIN_DB_CHANNEL_H
#define TOUCAN_STANDIN_DB_CHANNEL_H

#include "interrupt.h"

#include "wire/wire.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucan::standin {

// Used by the thread of the connection, except for wake().
class Channel {
public:
  // Owns Fd.
  Channel(int Fd, const Interrupt &I);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  // Wait for a whole message; false when the client is gone, sent garbage, or wake() was called.
  bool readStartup(wire::StartupPacket &Out);
  bool read(wire::Frame &Out);

  // Adds to the buffer and sends it when it is long. False when the client is gone.
  bool write(std::string_view Bytes);
  bool flush();
  bool good() const { return !this->Broken; }

  // Makes read() return false. Callable from any thread while the object exists.
  void wake() const;

private:
  bool readMore();

  int Fd;
  const Interrupt &I;
  wire::FrameReader Reader;
  std::string Out;
  bool Broken = false;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_CHANNEL_H
