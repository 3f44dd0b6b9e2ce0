// Session state that is kept between requests.
#ifndef TOUCAN_SESSION_STATE_H
#define TOUCAN_SESSION_STATE_H

#include "base/ids.h"
#include "session/settings.h"
#include "sql/sql.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace toucan::session {

// A prepared statement of the extended protocol. Target connections are shared, so each
// request that uses the statement parses it again through hidden frames.
struct PreparedStatement {
  std::string ParseFrame;
  std::shared_ptr<const sql::Classification> Classification;
  std::string RequestKey; // from a request id comment
};
using PreparedStatementPtr = std::shared_ptr<const PreparedStatement>;

struct Transaction {
  char Status = 'I';      // 'I' idle, 'T' in a transaction, 'E' in a failed transaction
  LeaseId Lease;          // target connection pinned by the transaction; 0: none
  InstanceId LeaseHolder; // instance that holds the lease
  // The transaction was lost between two requests and the loss has not been reported to the caller.
  bool LossUnreported = false;

  bool open() const { return this->Status != 'I'; }
  // True when the target connection has ended. All statements except the end of the transaction are
  // refused, so that statements of the transaction do not run outside it.
  bool lost() const { return this->Status == 'E' && this->Lease.Value == 0; }
};

struct SessionState {
  SessionSettings Settings;
  // Settings before the first change by the open transaction; its rollback restores them.
  std::optional<SessionSettings> SettingsBeforeTransaction;
  Transaction Tx;
  std::map<std::string, PreparedStatementPtr> Statements; // by name; the unnamed one is ""
  size_t StatementBytes = 0;                              // total size of the Parse frames
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_STATE_H
