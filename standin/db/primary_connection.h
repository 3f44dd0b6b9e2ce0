// Connection of a replica to its primary.
#ifndef TOUCAN_STANDIN_DB_PRIMARY_CONNECTION_H
#define TOUCAN_STANDIN_DB_PRIMARY_CONNECTION_H

#include "group.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <libpq-fe.h>

namespace toucan::standin {

// Every wait ends when Stopping becomes true or when the primary sends nothing for ResponseTimeout.
class PrimaryConnection {
public:
  explicit PrimaryConnection(const std::atomic<bool> &Stopping) : Stopping(Stopping) {}

  bool open(const std::string &Host, uint16_t Port);
  // Empty if the connection is broken or the primary refuses the request. The connection must not
  // be used afterwards.
  std::optional<LogSlice> fetch(const SliceRequest &R);

private:
  struct CloseConnection {
    void operator()(PGconn *C) const { PQfinish(C); }
  };
  bool waitForSocket(short Events, SteadyTime Deadline) const;

  const std::atomic<bool> &Stopping;
  std::unique_ptr<PGconn, CloseConnection> Connection;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_PRIMARY_CONNECTION_H
