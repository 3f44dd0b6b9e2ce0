// Collects the frames of a caller into requests: up to a Query, a Sync or a Flush.
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

// One request of a caller.
struct Batch {
  BatchEnd End = BatchEnd::Sync;
  std::string LocalReply;   // frames answered here; sent before those of the target
  bool NeedsTarget = false; // Frames go to a target
  std::string Frames;       // with hidden frames, ends with Query or Sync
  std::vector<uint32_t> Hidden;
  uint32_t FrameCount = 0;

  bool BeginsTransaction = false;         // has BEGIN
  bool EndsTransaction = false;           // has COMMIT or ROLLBACK
  bool ReadOnly = true;                   // every statement is a read
  bool Writes = false;                    // has a statement that may write
  bool Executes = false;                  // has Bind or Execute
  std::vector<rules::RequestFacts> Facts; // one for each statement, without the database
  bool TablesUnknown = false;             // a statement could not be parsed
  std::string RequestKey;
  // Statements defined by visible Parse frames, in order.
  std::vector<std::pair<std::string, PreparedPtr>> DefinedStatements;
};

// What became of one frame.
struct FrameResult {
  enum class Status : uint8_t { NeedMore, Complete, Rejected, Terminate, Violation };
  Status Code = Status::NeedMore;
  LocalError Error; // for Fail; and for Violation, which ends the connection
};

class Collector {
public:
  // Classifies a text of SQL.
  using ClassifyFn = std::function<std::shared_ptr<const sql::Classified>(const std::string &Sql)>;

  Collector(SessionState &State, ClassifyFn Classify, size_t MaxRequestBytes)
      : State(State), Classify(std::move(Classify)), MaxRequestBytes(MaxRequestBytes) {}

  FrameResult onFrame(const wire::Frame &F);
  // The request, after Complete. Starts a new one.
  Batch take();
  // Drops the frames collected so far, and ignores further ones up to a Sync.
  void skipToSync();
  // No frame of an unfinished request has been collected.
  bool empty() const { return !this->Skipping && !this->Started; }

private:
  struct Portal {
    PreparedPtr Statement;
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
  FrameResult routeStatements(const sql::Classified &Classification, Route &Destination);
  FrameResult defineStatement(const std::string &Name, PreparedPtr Statement, Route Destination);
  FrameResult queryLocal(const sql::Classified &Classification);
  FrameResult findStatement(const std::string &Name, PreparedPtr &Out);
  FrameResult finish(BatchEnd End);
  void appendHidden(std::string_view Frame);
  void append(std::string_view Frame);
  void ensureParsed(const std::string &Name, const Prepared &P);
  void recordStatements(const sql::Classified &Classification);
  bool inTransaction() const { return this->State.Tx.open() || this->Current.BeginsTransaction; }

  SessionState &State;
  ClassifyFn Classify;
  size_t MaxRequestBytes;
  Batch Current;
  bool Started = false;
  bool Skipping = false;
  std::set<std::string> ParsedInRequest; // statements that the target knows within this request
  std::map<std::string, Portal> Portals;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_COLLECTOR_H
