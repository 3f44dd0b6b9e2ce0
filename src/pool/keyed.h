// Idempotent execution of an unrepeatable request with a request id. The id is recorded in the same
// transaction at the target, so that a repetition returns the first outcome and does not run again.
// Performs no I/O.
#ifndef TOUCAN_POOL_KEYED_H
#define TOUCAN_POOL_KEYED_H

#include "pool/relay.h"

#include <string>
#include <string_view>
#include <vector>

namespace toucan::pool {

// The reply to one step, collected by a Relay.
struct StepReply {
  std::string Frames;
  std::string ErrorState; // SQLSTATE; empty without an error
  std::string CommandTag; // of the last CommandComplete
  char Status = 'I';
};

// Returns whether the request executes a statement; only then its id may be consumed.
bool executes(const std::vector<Expected> &Plan);

// The transaction in which a request with an id runs.
enum class KeyedMode : uint8_t {
  OwnTransaction,  // BEGIN and COMMIT are added
  OpenTransaction, // in the caller's transaction, with a savepoint
};

// Runs a request in three steps:
//   BEGIN and INSERT of the id; the request; UPDATE of the outcome and COMMIT.
// In the caller's transaction a savepoint replaces BEGIN and COMMIT. If the id exists already, the
// steps are ROLLBACK and SELECT of the outcome. A missing table is created. After an error of the
// request the transaction is rolled back, by the caller if it is the caller's, and the id is not
// consumed.
class KeyedRequest {
public:
  KeyedRequest(KeyedMode Mode, std::string_view Key, std::string Frames,
               std::vector<Expected> Plan);

  // Starts or restarts at the first step, on any connection; returns its frames.
  std::string begin();
  // Processes the reply to a step and returns the frames of the next step; empty when the answer
  // is final.
  std::string onReply(const StepReply &Reply);
  // The replies expected for the current step.
  std::vector<Expected> plan() const;
  // Returns whether a COMMIT may have been sent. Until then, the end of the connection rolls
  // everything back. In the caller's transaction the request itself may contain the COMMIT.
  bool mayHaveCommitted() const {
    return this->Current == Step::Commit ||
           (this->Current == Step::Run && this->Mode == KeyedMode::OpenTransaction);
  }
  // Frames for the caller, without ReadyForQuery.
  const std::string &answer() const { return this->Answer; }

private:
  enum class Step : uint8_t { Record, CreateTable, Run, Commit, ReadOutcome, Rollback };

  std::string runStep(Step Next, std::string_view Sql);
  std::string afterRecord(const StepReply &Reply);
  std::string afterRun(const StepReply &Reply);
  std::string afterReadOutcome(const StepReply &Reply);
  std::string finishWith(std::string Frames, char Status);
  std::string outcomeAnswer(std::string_view Outcome) const;

  KeyedMode Mode;
  std::string Key; // as an SQL literal
  std::string Frames;
  std::vector<Expected> Plan;
  Step Current = Step::Record;
  int Restarts = 0;
  std::string Answer;
};

} // namespace toucan::pool

#endif // TOUCAN_POOL_KEYED_H
