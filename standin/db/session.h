// Serves one client connection: start-up, and the simple and extended query protocols of
// PostgreSQL.
#ifndef TOUCAN_STANDIN_DB_SESSION_H
#define TOUCAN_STANDIN_DB_SESSION_H

#include "channel.h"
#include "group.h"
#include "interrupt.h"
#include "portal.h"
#include "settings_map.h"
#include "transaction.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::standin {

struct ServerOptions {
  std::string Id = "standin";
  std::string Database = "standin";
  uint16_t Port = 0; // 0: the operating system chooses a free port
  std::string DataDir;
  int64_t Slots = 3;
  int64_t Connections = 25;
  std::chrono::milliseconds ConnectDelay{0}; // wait before AuthenticationOk
  std::chrono::milliseconds Lag{0};
  std::chrono::milliseconds ShipDelay{0};
  // Added to the run time of each statement, while it holds a slot.
  std::chrono::milliseconds WorkDelay{0};
};

// State and callbacks of the server that all its sessions share.
struct SessionContext {
  const ServerOptions &Options;
  Group &G;
  Slots WorkSlots;
  // Adds a connection with a group_term to the count of work connections. False, without adding it,
  // when the limit is reached.
  std::function<bool()> AddWorkConnection;
  std::function<void()> RemoveWorkConnection;
  std::function<void(uint32_t ProcessId, uint32_t SecretKey)> CancelSession;
};

// Identifies a session in a CancelRequest.
struct SessionKey {
  uint32_t ProcessId = 0;
  uint32_t SecretKey = 0;
};

class Session : private SqlHooks {
public:
  // Takes ownership of Fd.
  Session(SessionContext &Context, int Fd, SessionKey Key);
  ~Session() override;

  // Serves the client until it disconnects, a fatal error occurs or end() is called.
  void run();

  // end() and cancel() may be called from any thread while the object exists. Reason is the text of
  // the FATAL error that the client receives.
  void end(const std::string &Reason);
  void cancel() { this->SessionInterrupt.cancel(); }
  const SessionKey &key() const { return this->Key; }
  // Value of group_term; 0 for a control connection and before start-up.
  uint64_t term() const { return this->Term; }

private:
  // session_startup.cpp
  bool startUp();
  std::optional<SqlError> admit(const wire::StartupPacket &Packet);
  std::optional<SqlError> readParameters(const wire::StartupPacket &Packet);

  // session.cpp
  bool handleMessage(const wire::Frame &F);
  void simpleQuery(const std::string &Sql);
  std::optional<SqlError> runSimple(const std::string &Text, bool Last);
  void sendReady();
  void sendError(const SqlError &E);
  void sendNotice(std::string_view Severity, std::string_view State, std::string_view Text);
  void reportPosition();
  std::optional<SqlError> openHandle();
  bool sleep(std::chrono::milliseconds Time) override { return this->SessionInterrupt.sleep(Time); }
  void notice(std::string_view Text) override;
  bool isReplica() override { return this->Context.G.status().CurrentRole == Role::Replica; }
  bool interrupted() override { return this->SessionInterrupt.interrupted(); }

  // session_execute.cpp
  std::optional<SqlError> checkNotFailed(const Command &C) const;
  std::optional<SqlError> execute(Portal &P, int32_t MaxRows, bool Last);
  std::optional<SqlError> executeSql(Portal &P, int32_t MaxRows, bool Last);
  std::optional<SqlError> sendRows(Portal &P, int32_t MaxRows, bool &Suspended);
  std::optional<SqlError> completeCommand(const std::string &Tag, bool Last);
  std::optional<SqlError> runTransaction(const Command &C, std::string &Tag);
  void warnIfOutsideBlock();
  std::optional<SqlError> runSetting(const Command &C);
  std::optional<SqlError> runGroupCall(const Command &C);
  std::optional<SqlError> runLogCall(const Command &C);
  void sendGroupStatus(const GroupStatus &S);
  std::optional<SqlError> endTransaction(bool Commit);

  // session_extended.cpp
  std::optional<SqlError> handleExtended(const wire::Frame &F);
  std::optional<SqlError> parse(std::string_view Body);
  std::optional<SqlError> bind(std::string_view Body);
  std::optional<SqlError> describe(std::string_view Body);
  std::optional<SqlError> executeMessage(std::string_view Body);
  std::optional<SqlError> closeMessage(std::string_view Body);
  void sync();

  SessionContext &Context;
  const SessionKey Key;
  Interrupt SessionInterrupt;
  Channel Io;
  std::atomic<uint64_t> Term = 0;
  bool CountedAsWork = false;   // included in the count of work connections
  bool SkippingToSync = false;  // after an extended-protocol error: discard messages up to Sync
  bool SentFatal = false;       // a FATAL error was sent
  std::string ReportedPosition; // last group_position reported to the client
  SettingsMap Settings;
  Transaction Txn;
  SqliteHandle Handle;
  uint64_t HandleGeneration = 0; // generation of the database that Handle is open on
  std::map<std::string, PreparedStatement> Statements;
  std::map<std::string, Portal> Portals;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SESSION_H
