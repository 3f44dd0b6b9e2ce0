// Assembles protocol frames of a caller into requests, each ended by a Query, Sync or Flush.
#ifndef TOUCAN_SESSION_COLLECTOR_H
#define TOUCAN_SESSION_COLLECTOR_H

#include "rules/rules.h"
#include "session/local.h"
#include "session/state.h"
#include "wire/wire.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucan::session {

enum class BatchEnd : uint8_t { Query, Sync, Flush };

// The frames of one request, with what routing needs to know about its statements.
struct Batch {
  BatchEnd End = BatchEnd::Sync;
  std::string LocalReply;       // replies of the session; sent before those of the target
  bool NeedsTarget = false;     // Frames must be sent to a target
  std::string Frames;           // includes hidden frames; ends with Query or Sync
  std::vector<uint32_t> Hidden; // indexes of frames whose replies are not relayed
  uint32_t FrameCount = 0;

  bool BeginsTransaction = false;         // contains BEGIN
  bool EndsTransaction = false;           // contains COMMIT or ROLLBACK
  bool ReadOnly = true;                   // every statement is a read
  bool Writes = false;                    // contains a statement that may write
  bool Executes = false;                  // contains Bind or Execute
  std::vector<rules::RequestFacts> Facts; // one per statement, without the database
  size_t FactBytes = 0;                   // allocated for the tables in Facts
  bool TablesUnknown = false;             // a statement could not be parsed
  std::string RequestKey;
  // Statements defined by the caller's own Parse frames, in order.
  std::vector<std::pair<std::string, PreparedStatementPtr>> DefinedStatements;
};

// Result of processing one frame.
struct FrameResult {
  enum class Status : uint8_t { NeedMore, Complete, Rejected, Terminate, Violation };
  Status Code = Status::NeedMore;
  LocalError Error; // for Rejected, and for Violation, which closes the connection
};

class Collector {
public:
  // Parses and classifies an SQL text.
  using ClassifyFn =
      std::function<std::shared_ptr<const sql::Classification>(const std::string &Sql)>;

  Collector(SessionState &State, ClassifyFn Classify, size_t MaxRequestBytes)
      : State(State), Classify(std::move(Classify)), MaxRequestBytes(MaxRequestBytes) {}

  FrameResult onFrame(const wire::Frame &F);
  // Returns the request after Status::Complete and starts a new one.
  Batch take();
  // Discards the frames of the current request and ignores further frames up to a Sync.
  void skipToSync();
  // True when no request is partially received.
  bool empty() const { return !this->SkippingToSync && !this->RequestStarted; }
  // Estimate of the bytes allocated for the partially received request.
  size_t bytes() const;

private:
  struct Portal {
    PreparedStatementPtr Statement;
    bool Local = false;
  };

  FrameResult onQuery(const wire::Frame &F);
  FrameResult onParse(const wire::Frame &F);
  FrameResult onBind(const wire::Frame &F);
  FrameResult onDescribe(const wire::Frame &F);
  FrameResult onExecute(const wire::Frame &F);
  FrameResult onClose(const wire::Frame &F);
  FrameResult onFlush();
  FrameResult onSync();

  FrameResult appendLocalReply(std::string_view Frames);
  FrameResult appendTargetFrame(std::string_view Frame);
  FrameResult routeStatements(const sql::Classification &Classification, Route &Destination);
  FrameResult defineStatement(const std::string &Name, PreparedStatementPtr Statement,
                              Route Destination);
  FrameResult queryLocal(const sql::Classification &Classification);
  FrameResult findStatement(const std::string &Name, PreparedStatementPtr &Out);
  FrameResult finish(BatchEnd End);
  void appendHidden(std::string_view Frame);
  void append(std::string_view Frame);
  void ensureParsed(const std::string &Name, const PreparedStatement &P);
  void recordStatements(const sql::Classification &Classification);
  bool inTransaction() const { return this->State.Tx.open() || this->Current.BeginsTransaction; }

  SessionState &State;
  ClassifyFn Classify;
  size_t MaxRequestBytes;
  Batch Current;
  bool RequestStarted = false;
  bool SkippingToSync = false;
  std::set<std::string> ParsedInRequest; // statements prepared on the target by this request
  std::map<std::string, Portal> Portals;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_COLLECTOR_H
