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
  std::string LocalReply; // frames answered here; sent before those of the target
  bool Remote = false;    // Frames go to a target
  std::string Frames;     // with hidden frames, ends with Query or Sync
  std::vector<uint32_t> Hidden;
  uint32_t FrameCount = 0;

  bool Begins = false;                    // has BEGIN
  bool Ends = false;                      // has COMMIT or ROLLBACK
  bool AllRead = true;                    // every statement is a read
  bool Writes = false;                    // has a statement that may write
  bool Executes = false;                  // has Bind or Execute
  std::vector<rules::RequestFacts> Facts; // one for each statement, without the database
  bool TablesUnknown = false;             // a statement could not be parsed
  std::string RequestKey;
  // Statements defined by visible Parse frames, in order.
  std::vector<std::pair<std::string, PreparedStatementPtr>> Defined;
};

// What became of one frame.
struct Collected {
  enum class Next : uint8_t { More, Complete, Fail, Terminate, Violation };
  Next Is = Next::More;
  LocalError Error; // for Fail; and for Violation, which ends the connection
};

class Collector {
public:
  // Classifies a text of SQL.
  using ClassifyFn = std::function<std::shared_ptr<const sql::Classified>(const std::string &Sql)>;

  Collector(SessionState &State, ClassifyFn Classify, size_t MaxRequestBytes)
      : State(State), Classify(std::move(Classify)), MaxRequestBytes(MaxRequestBytes) {}

  Collected onFrame(const wire::Frame &F);
  // The request, after Complete. Starts a new one.
  Batch take();
  // Drops the frames collected so far, and ignores further ones up to a Sync.
  void skipToSync();
  // No frame of an unfinished request has been collected.
  bool empty() const { return !this->Skipping && !this->Started; }

private:
  struct Portal {
    PreparedStatementPtr Of;
    bool Local = false;
  };

  Collected onQuery(const wire::Frame &F);
  Collected onParse(const wire::Frame &F);
  Collected onBind(const wire::Frame &F);
  Collected onDescribe(const wire::Frame &F);
  Collected onExecute(const wire::Frame &F);
  Collected onClose(const wire::Frame &F);
  Collected onFlush();
  Collected onSync();

  Collected answerLocal(std::string_view Frames);
  Collected sendRemote(std::string_view Frame);
  Collected placeAll(const sql::Classified &What, Place &Where);
  Collected defineStatement(const std::string &Name, PreparedStatementPtr Statement, Place Where);
  Collected queryLocal(const sql::Classified &What);
  Collected useStatement(const std::string &Name, PreparedStatementPtr &Out);
  Collected finish(BatchEnd End);
  void appendHidden(std::string_view Frame);
  void append(std::string_view Frame);
  void ensureParsed(const std::string &Name, const PreparedStatement &P);
  void noteRemote(const sql::Classified &What);
  bool inBlock() const { return this->State.Tx.open() || this->Current.Begins; }

  SessionState &State;
  ClassifyFn Classify;
  size_t MaxRequestBytes;
  Batch Current;
  bool Started = false;
  bool Skipping = false;
  std::set<std::string> ParsedHere; // statements that the target knows within this request
  std::map<std::string, Portal> Portals;
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_COLLECTOR_H
