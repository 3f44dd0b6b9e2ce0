#include "pool/keyed.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <array>

namespace toucan::pool {

namespace {

constexpr std::string_view UniqueViolation = "23505";
constexpr std::string_view UndefinedTable = "42P01";
// Restarts allowed after a missing table or a record that was removed between INSERT and SELECT.
constexpr int MaxRestarts = 2;

// SQL statements around a request; Modes is indexed by KeyedMode.
struct ModeStatements {
  std::string_view Open;  // before the INSERT of the id
  std::string_view Undo;  // after a failed INSERT, before the next statement
  std::string_view Close; // after the UPDATE of the outcome
  std::string_view Tag;   // command tag of Close
};

constexpr std::array<ModeStatements, 2> Modes = {{
    {"BEGIN", "ROLLBACK", "COMMIT", "COMMIT"},
    {"SAVEPOINT toucanrun_request",
     "ROLLBACK TO SAVEPOINT toucanrun_request; RELEASE SAVEPOINT toucanrun_request",
     "RELEASE SAVEPOINT toucanrun_request", "RELEASE"},
}};

const ModeStatements &statements(KeyedMode Mode) { return Modes[static_cast<size_t>(Mode)]; }

std::string quoteLiteral(std::string_view Text) {
  std::string Out = "'";
  for (char C : Text)
    Out.append(C == '\'' ? 2 : 1, C);
  return Out + "'";
}

// Returns the value of the first row; empty without a row, for NULL or for several columns.
std::optional<std::string> firstValue(std::string_view Frames) {
  wire::FrameReader Reader(Frames.size());
  Reader.append(Frames);
  wire::Frame F;
  while (Reader.next(F) == wire::ReadStatus::Ready) {
    if (F.Type != 'D')
      continue;
    wire::BodyReader Body(F.Body);
    int16_t Columns = Body.int16();
    int32_t Length = Body.int32();
    if (Columns != 1 || Length < 0)
      return std::nullopt;
    return std::string(Body.bytes(static_cast<size_t>(Length)));
  }
  return std::nullopt;
}

} // namespace

bool executes(const std::vector<Expected> &Plan) {
  return std::any_of(Plan.begin(), Plan.end(), [](const Expected &E) {
    return !E.Hidden && (E.Type == 'Q' || E.Type == 'E');
  });
}

KeyedRequest::KeyedRequest(KeyedMode Mode, std::string_view Key, std::string Frames,
                           std::vector<Expected> Plan)
    : Mode(Mode), Key(quoteLiteral(Key)), Frames(std::move(Frames)), Plan(std::move(Plan)) {}

std::string KeyedRequest::runStep(Step Next, std::string_view Sql) {
  this->Current = Next;
  return wire::query(Sql);
}

std::string KeyedRequest::begin() {
  this->Answer.clear();
  return this->runStep(
      Step::Record,
      absl::StrFormat("%s; INSERT INTO toucanrun_requests (id, outcome) VALUES (%s, '')",
                      statements(this->Mode).Open, this->Key));
}

std::vector<Expected> KeyedRequest::plan() const {
  if (this->Current == Step::Run)
    return this->Plan;
  return {{.Type = 'Q', .Hidden = false}};
}

std::string KeyedRequest::onReply(const StepReply &Reply) {
  switch (this->Current) {
  case Step::Record:
    return this->afterRecord(Reply);
  case Step::CreateTable:
    // Errors are ignored: another instance may have created the table concurrently, and any other
    // error shows at the next INSERT.
    return this->begin();
  case Step::Run:
    return this->afterRun(Reply);
  case Step::Commit:
    if (!Reply.ErrorState.empty())
      return this->finishWith(Reply.Frames, Reply.Status);
    if (Reply.CommandTag != statements(this->Mode).Tag)
      this->Answer = wire::error("ERROR", "40000", "the transaction was rolled back");
    return "";
  case Step::ReadOutcome:
    return this->afterReadOutcome(Reply);
  case Step::Rollback:
    return "";
  }
  return "";
}

std::string KeyedRequest::afterRecord(const StepReply &Reply) {
  if (Reply.ErrorState.empty()) {
    this->Current = Step::Run;
    return this->Frames;
  }
  if (Reply.ErrorState == UniqueViolation)
    return this->runStep(Step::ReadOutcome,
                         absl::StrFormat("%s; SELECT outcome FROM toucanrun_requests WHERE id = %s",
                                         statements(this->Mode).Undo, this->Key));
  if (Reply.ErrorState == UndefinedTable && this->Restarts++ < MaxRestarts)
    return this->runStep(Step::CreateTable,
                         absl::StrFormat("%s; CREATE TABLE IF NOT EXISTS toucanrun_requests "
                                         "(id text PRIMARY KEY, outcome text NOT NULL)",
                                         statements(this->Mode).Undo));
  return this->finishWith(Reply.Frames, Reply.Status);
}

std::string KeyedRequest::afterRun(const StepReply &Reply) {
  if (!Reply.ErrorState.empty())
    return this->finishWith(Reply.Frames, Reply.Status);
  this->Answer = Reply.Frames;
  // The request itself ended the caller's transaction; its id is recorded without an outcome.
  if (Reply.Status != 'T')
    return "";
  return this->runStep(
      Step::Commit,
      absl::StrFormat("UPDATE toucanrun_requests SET outcome = %s WHERE id = %s; %s",
                      quoteLiteral(Reply.CommandTag), this->Key, statements(this->Mode).Close));
}

std::string KeyedRequest::afterReadOutcome(const StepReply &Reply) {
  if (!Reply.ErrorState.empty())
    return this->finishWith(Reply.Frames, Reply.Status);
  std::optional<std::string> Outcome = firstValue(Reply.Frames);
  if (Outcome) {
    this->Answer = this->outcomeAnswer(*Outcome);
    return "";
  }
  if (this->Restarts++ < MaxRestarts)
    return this->begin();
  return this->finishWith(wire::error("ERROR", "40001", "the record of the request id is unstable"),
                          Reply.Status);
}

// Sets the final answer, and rolls back first if the own transaction is still open.
std::string KeyedRequest::finishWith(std::string Frames, char Status) {
  this->Answer = std::move(Frames);
  if (Status == 'I' || this->Mode == KeyedMode::OpenTransaction) {
    this->Current = Step::Rollback;
    return "";
  }
  return this->runStep(Step::Rollback, "ROLLBACK");
}

// Builds the replies of the request from the recorded outcome, without rows.
std::string KeyedRequest::outcomeAnswer(std::string_view Outcome) const {
  std::string Out;
  for (const Expected &E : this->Plan) {
    if (E.Hidden)
      continue;
    if (E.Type == 'P')
      Out += wire::emptyMessage('1');
    else if (E.Type == 'B')
      Out += wire::emptyMessage('2');
    else if (E.Type == 'C')
      Out += wire::emptyMessage('3');
    else if (E.Type == 'D')
      Out += wire::emptyMessage('n');
    else if (E.Type != 'S')
      Out += wire::commandComplete(Outcome);
  }
  return Out;
}

} // namespace toucan::pool
