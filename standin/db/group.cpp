#include "group.h"

#include "replication.h"

#include "base/log.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace toucan::standin {

namespace {

// Longest uninterrupted wait. Waits check for an interrupt or a stop after each interval.
constexpr std::chrono::milliseconds InterruptPollInterval{50};
// A log request is answered after this time even without new entries.
constexpr std::chrono::milliseconds LogRequestTimeout{200};
constexpr size_t MaxSliceBytes = 1 << 20;

SqlError fencedError(uint64_t Requested, uint64_t Accepted, Role CurrentRole) {
  return {.State = "57P01",
          .Message = absl::StrFormat("server is not in term %d: accepted term %d, role %s",
                                     Requested, Accepted, roleName(CurrentRole)),
          .Fatal = true};
}

// Aborts the process if a rebuild or a replay of the database failed: a server must not run with a
// database that does not match its log.
void abortOnFailure(const Captured<Unit> &Outcome) {
  if (Outcome)
    return;
  LogEvent(LogLevel::Error, "rebuild_failed").kv("cause", Outcome.Problem.Message);
  std::abort();
}

} // namespace

const char *roleName(Role R) {
  switch (R) {
  case Role::Primary:
    return "primary";
  case Role::Replica:
    return "replica";
  case Role::Fenced:
    break;
  }
  return "fenced";
}

Group::Group(GroupOptions Options) : Options(std::move(Options)) {}

Group::~Group() { this->stop(); }

Result<void> Group::open() {
  BOOST_LEAF_CHECK(this->Log.open(this->Options.DataDir));
  this->Data = std::make_unique<Database>(this->Options.DataDir);
  BOOST_LEAF_CHECK(this->Data->rebuild());
  return this->applyPendingEntries();
}

void Group::stop() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopped = true;
    this->Changed.notify_all();
  }
  std::lock_guard Control(this->ControlMutex);
  this->ActiveReplication.reset();
}

GroupStatus Group::statusLocked() const {
  uint64_t Received = this->receivedPositionLocked();
  return {.Server = this->Options.Server,
          .AcceptedTerm = this->Log.termRecord().Term,
          .Proposer = this->Log.termRecord().Proposer,
          .CurrentRole = this->CurrentRole,
          .LogTerm = this->Log.termAt(Received),
          .Received = Received,
          .Applied = std::min(this->Applied, Received),
          .Accepted = true,
          .Following = this->PrimaryAddress};
}

GroupStatus Group::controlResultLocked(bool Accepted) const {
  GroupStatus S = this->statusLocked();
  S.Accepted = Accepted;
  return S;
}

uint64_t Group::receivedPositionLocked() const {
  return this->CurrentRole == Role::Replica ? this->MatchedPosition : this->Log.lastPosition();
}

bool Group::isFollowingLocked(uint64_t Term) const {
  return !this->Stopped && this->CurrentRole == Role::Replica &&
         this->Log.termRecord().Term == Term;
}

GroupStatus Group::status() {
  std::lock_guard Lock(this->Mutex);
  return this->statusLocked();
}

GroupStatus Group::acceptTerm(uint64_t Term, const std::string &Proposer) {
  std::lock_guard Control(this->ControlMutex);
  {
    std::lock_guard Lock(this->Mutex);
    const TermRecord &R = this->Log.termRecord();
    bool Repeated = Term == R.Term && Proposer == R.Proposer && R.CurrentPhase == Phase::Accepted;
    if (Term <= R.Term)
      return this->controlResultLocked(Repeated && Term > 0);
    this->Log.saveTermRecord({.Term = Term, .Proposer = Proposer, .CurrentPhase = Phase::Accepted});
    this->CurrentRole = Role::Fenced;
    this->PrimaryAddress.clear();
    this->Changed.notify_all();
  }
  if (this->OnTermChange)
    this->OnTermChange(Term);
  this->ActiveReplication.reset();
  return this->status();
}

GroupStatus Group::promote(uint64_t Term, const std::string &Proposer) {
  std::lock_guard Control(this->ControlMutex);
  {
    std::lock_guard Lock(this->Mutex);
    const TermRecord &R = this->Log.termRecord();
    // A server that followed in this term knows that the term has a primary. Promoting this server
    // would create a second one.
    bool Allowed =
        Term > 0 && R.Term == Term && R.Proposer == Proposer && R.CurrentPhase != Phase::Replica;
    if (!Allowed || this->CurrentRole == Role::Primary)
      return this->controlResultLocked(Allowed);
  }
  // Log and role cannot change here because the server is fenced and ControlMutex is held.
  abortOnFailure(capture([this] { return this->applyPendingEntries(); }));
  std::lock_guard Lock(this->Mutex);
  this->Log.saveTermRecord({.Term = Term, .Proposer = Proposer, .CurrentPhase = Phase::Primary});
  this->Log.append({.Term = Term, .Position = this->Log.lastPosition() + 1, .Sql = ""});
  this->Applied = this->Log.lastPosition();
  this->CurrentRole = Role::Primary;
  this->Changed.notify_all();
  return this->statusLocked();
}

GroupStatus Group::follow(uint64_t Term, const std::string &Host, uint16_t Port) {
  std::string Address = absl::StrFormat("%s:%d", Host, Port);
  std::lock_guard Control(this->ControlMutex);
  bool NewTerm = false;
  {
    std::lock_guard Lock(this->Mutex);
    const TermRecord &R = this->Log.termRecord();
    if (Term == 0 || Term < R.Term || (Term == R.Term && R.CurrentPhase == Phase::Primary))
      return this->controlResultLocked(false);
    if (this->isFollowingLocked(Term) && this->PrimaryAddress == Address)
      return this->controlResultLocked(true);
    NewTerm = Term > R.Term;
  }
  // Ends the old replication first, so that its entries do not count as received from the new
  // primary.
  this->ActiveReplication.reset();
  {
    std::lock_guard Lock(this->Mutex);
    std::string Proposer = NewTerm ? "" : this->Log.termRecord().Proposer;
    this->Log.saveTermRecord({.Term = Term, .Proposer = Proposer, .CurrentPhase = Phase::Replica});
    this->CurrentRole = Role::Replica;
    this->MatchedPosition = 0;
    this->PrimaryAddress = Address;
    this->Changed.notify_all();
  }
  if (NewTerm && this->OnTermChange)
    this->OnTermChange(Term);
  this->ActiveReplication = std::make_unique<Replication>(
      *this, ReplicationOptions{
                 .Term = Term, .Host = Host, .Port = Port, .ShipDelay = this->Options.ShipDelay});
  return this->status();
}

GroupStatus Group::wait(uint64_t Term, uint64_t Position, std::chrono::milliseconds Timeout,
                        const Interrupt &I) {
  SteadyTime Deadline = std::chrono::steady_clock::now() + Timeout;
  std::unique_lock Lock(this->Mutex);
  for (;;) {
    uint64_t Accepted = this->Log.termRecord().Term;
    if (Accepted == Term && this->CurrentRole != Role::Fenced &&
        this->receivedPositionLocked() >= Position)
      return this->controlResultLocked(true);
    SteadyTime Now = std::chrono::steady_clock::now();
    if (Accepted > Term || Now >= Deadline || this->Stopped || I.interrupted())
      return this->controlResultLocked(false);
    this->Changed.wait_until(Lock, std::min(Deadline, Now + InterruptPollInterval));
  }
}

std::optional<SqlError> Group::connectionError(uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  if (this->CurrentRole == Role::Fenced || this->Log.termRecord().Term != Term)
    return fencedError(Term, this->Log.termRecord().Term, this->CurrentRole);
  // The database may still contain entries that the primary's log does not have.
  if (this->CurrentRole == Role::Replica && this->Applied > this->MatchedPosition)
    return SqlError{.State = "57P03",
                    .Message = "replica has not yet compared its log with the primary's",
                    .Fatal = true};
  return std::nullopt;
}

std::optional<SqlError> Group::writeError(uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  if (this->CurrentRole == Role::Fenced || this->Log.termRecord().Term != Term)
    return fencedError(Term, this->Log.termRecord().Term, this->CurrentRole);
  if (this->CurrentRole == Role::Replica)
    return SqlError{.State = "25006", .Message = "cannot execute a write on a replica"};
  return std::nullopt;
}

uint64_t Group::appliedPosition() {
  std::lock_guard Lock(this->Mutex);
  return this->Applied;
}

std::pair<std::string, uint64_t> Group::database() {
  std::lock_guard Lock(this->Mutex);
  return {this->Data->path(), this->Data->generation()};
}

std::optional<SqlError> Group::commit(uint64_t Term, std::string Sql,
                                      const std::function<std::optional<SqlError>()> &Commit) {
  std::lock_guard Lock(this->Mutex);
  if (this->CurrentRole != Role::Primary || this->Log.termRecord().Term != Term)
    return fencedError(Term, this->Log.termRecord().Term, this->CurrentRole);
  if (std::optional<SqlError> E = Commit())
    return E;
  this->Log.append({.Term = Term, .Position = this->Log.lastPosition() + 1, .Sql = std::move(Sql)});
  this->Applied = this->Log.lastPosition();
  this->Changed.notify_all();
  return std::nullopt;
}

std::optional<LogSlice> Group::slice(const SliceRequest &R, const Interrupt &I) {
  SteadyTime Deadline = std::chrono::steady_clock::now() + LogRequestTimeout;
  std::unique_lock Lock(this->Mutex);
  for (;;) {
    if (this->CurrentRole != Role::Primary || this->Log.termRecord().Term != R.Term)
      return std::nullopt;
    uint64_t Last = this->Log.lastPosition();
    if (R.After > Last || this->Log.termAt(R.After) != R.LastTerm) {
      uint64_t Hint = this->Log.lastPositionAtMost(R.After, R.LastTerm);
      return LogSlice{.Matches = false,
                      .HintPosition = Hint,
                      .HintTerm = this->Log.termAt(Hint),
                      .Entries = {}};
    }
    SteadyTime Now = std::chrono::steady_clock::now();
    if (Last > R.After || Now >= Deadline || this->Stopped || I.interrupted())
      break;
    this->Changed.wait_until(Lock, std::min(Deadline, Now + InterruptPollInterval));
  }
  LogSlice Out{.Matches = true};
  size_t Bytes = 0;
  for (uint64_t P = R.After + 1;
       P <= this->Log.lastPosition() && Out.Entries.size() < R.Limit && Bytes < MaxSliceBytes;
       ++P) {
    Out.Entries.push_back(this->Log.at(P));
    Bytes += Out.Entries.back().Sql.size();
  }
  return Out;
}

bool Group::receive(uint64_t Term, uint64_t After, std::vector<LogEntry> Entries) {
  std::lock_guard Lock(this->Mutex);
  if (!this->isFollowingLocked(Term))
    return false;
  this->MatchedPosition = std::max(this->MatchedPosition, After);
  for (LogEntry &E : Entries) {
    uint64_t Position = E.Position;
    bool Present = Position <= this->Log.lastPosition();
    if (Present && this->Log.termAt(Position) != E.Term) {
      this->truncateLocked(Position - 1);
      Present = false;
    }
    if (!Present) {
      E.ReceivedAt = std::chrono::steady_clock::now();
      this->Log.append(std::move(E));
    }
    this->MatchedPosition = std::max(this->MatchedPosition, Position);
  }
  this->Changed.notify_all();
  return true;
}

void Group::truncateLocked(uint64_t Position) {
  LogEvent(LogLevel::Info, "log_truncated")
      .kv("server", this->Options.Server)
      .kv("after", Position)
      .kv("last", this->Log.lastPosition());
  this->Log.truncateAfter(Position);
  if (this->Applied <= Position)
    return;
  abortOnFailure(capture([this] { return this->Data->rebuild(); }));
  this->Applied = 0;
}

bool Group::applyNext(uint64_t Term) {
  std::unique_lock Lock(this->Mutex);
  if (!this->isFollowingLocked(Term))
    return false;
  SteadyTime Now = std::chrono::steady_clock::now();
  SteadyTime Due = Now + InterruptPollInterval;
  if (this->Applied < this->MatchedPosition)
    Due = std::min(Due, this->Log.at(this->Applied + 1).ReceivedAt + this->Options.Lag);
  if (Due > Now) {
    this->Changed.wait_until(Lock, Due);
    return true;
  }
  std::string Sql = this->Log.at(this->Applied + 1).Sql;
  Lock.unlock();
  if (std::optional<SqlError> E = this->applyEntry(Sql)) {
    // The primary committed the same text on the same data, so a failure here means that the
    // replica's data differs.
    LogEvent(LogLevel::Error, "apply_failed").kv("cause", E->Message).kv("sql", Sql);
    std::abort();
  }
  return true;
}

std::optional<SqlError> Group::applyEntry(const std::string &Sql) {
  const auto Source = this->database();
  const uint64_t Generation = Source.second;
  if (!this->ApplyHandle || this->ApplyGeneration != Generation) {
    auto Handle = capture([&] { return openSqlite(Source.first, nullptr); });
    if (!Handle)
      return SqlError{.State = "58000", .Message = Handle.Problem.Message};
    this->ApplyHandle = std::move(*Handle);
    this->ApplyGeneration = Generation;
  }
  sqlite3 *Handle = this->ApplyHandle.get();
  if (!Sql.empty())
    if (std::optional<SqlError> E = runSql(Handle, "BEGIN IMMEDIATE;" + Sql))
      return E;
  // Mutex is held over the commit, so that the applied position changes together with the data.
  std::lock_guard Lock(this->Mutex);
  bool Current = this->Data->generation() == Generation;
  if (!Sql.empty())
    if (std::optional<SqlError> E = runSql(Handle, Current ? "COMMIT" : "ROLLBACK"))
      return E;
  if (Current) {
    ++this->Applied;
    this->Changed.notify_all();
  }
  return std::nullopt;
}

Result<void> Group::applyPendingEntries() {
  for (;;) {
    std::string Sql;
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Applied == this->Log.lastPosition())
        return {};
      Sql = this->Log.at(this->Applied + 1).Sql;
    }
    if (std::optional<SqlError> E = this->applyEntry(Sql))
      return failure(absl::StrFormat("log entry cannot be applied: %s", E->Message));
  }
}

Group::EntryId Group::logEnd() {
  std::lock_guard Lock(this->Mutex);
  return {.Position = this->Log.lastPosition(), .Term = this->Log.lastTerm()};
}

Group::EntryId Group::lastEntryAtMost(EntryId Limit) {
  std::lock_guard Lock(this->Mutex);
  uint64_t Position = this->Log.lastPositionAtMost(Limit.Position, Limit.Term);
  return {.Position = Position, .Term = this->Log.termAt(Position)};
}

} // namespace toucan::standin
