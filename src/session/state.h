// State of a session that outlives a request.
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

// A prepared statement of the extended protocol. Target connections are shared, so it is parsed
// again, by hidden frames, in each request that uses it.
struct Prepared {
  std::string ParseFrame;
  std::shared_ptr<const sql::Classified> What;
  std::string RequestKey; // of a request id comment
};
using PreparedPtr = std::shared_ptr<const Prepared>;

struct Transaction {
  char Status = 'I'; // 'I' idle, 'T' in a transaction, 'E' in a failed transaction
  LeaseId Lease;     // target connection pinned by the transaction; 0: none
  InstanceId Owner;  // instance that holds the lease
  // The transaction was lost between two requests and the caller has not been told.
  bool LossUntold = false;

  bool open() const { return this->Status != 'I'; }
  // The target connection has ended. Everything but the end of the transaction is refused, so that
  // statements meant for the transaction do not run on their own.
  bool lost() const { return this->Status == 'E' && this->Lease.Value == 0; }
};

struct SessionState {
  SessionSettings Settings;
  // Before the first change by the open transaction, which is undone by its rollback.
  std::optional<SessionSettings> SettingsBefore;
  Transaction Tx;
  std::map<std::string, PreparedPtr> Statements; // by name; the unnamed one under ""
  size_t StatementBytes = 0;                     // of all Parse frames
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_STATE_H
