// Model of one service for searches and random walks: servers, two daemons that change the primary
// and tell callers of commits, the claim's row, the list of registrations and the platform. The
// decisions are those of PrimaryChange, claimState(), roster::replaceMembers() and
// placement::CommitEvidence themselves.
//
// Left out: a group size that grows, the time before the row names members, positions that are
// applied later than they are received, and a store that serves one daemon only.
#ifndef TOUCAN_PROMOTION_MODEL_WORLD_TEST_H
#define TOUCAN_PROMOTION_MODEL_WORLD_TEST_H

#include "placement/placement.h"
#include "promotion/promotion.h"

#include <array>
#include <deque>
#include <string>
#include <vector>

namespace toucan::promotion::model {

inline constexpr size_t FirstServers = 3;
inline constexpr size_t ServerSlots = 4; // the last one is free for a server that joins
inline constexpr size_t DaemonCount = 2;
inline constexpr uint32_t Copies = 1;
// States that differ in times by less are taken for the same.
inline constexpr absl::Duration TimeResolution = absl::Seconds(1);

struct Contract {
  bool TokensChecked = true;
  bool ReplacedPrimaryGoesOn = false; // until it is told to step down or learns of the new one
  // Callers are told of a commit once CommitEvidence covers it; otherwise once it is acknowledged.
  bool Gate = true;
  bool RereadsTargets = true; // a change reads the list between its claim and onClaim()
};

// Kinds of events that a run can be limited to.
enum Fault : uint32_t {
  Join = 1U << 0,       // a server joins
  Leave = 1U << 1,      // a server drains and is gone
  Lapse = 1U << 2,      // the registration of a live server expires
  Crash = 1U << 3,      // a server crashes
  Cut = 1U << 4,        // servers are cut off
  Late = 1U << 5,       // an order is executed late, or its answer is lost
  Lost = 1U << 6,       // a command, or the answer to a write or a question, is lost
  Delayed = 1U << 7,    // answers to a daemon that asks for positions or the row arrive late
  Standstill = 1U << 8, // no daemon acts until claims expire
  Early = 1U << 9,      // a deadline passes before an answer arrives
  Forgets = 1U << 10,   // a daemon restarts
  LogLoss = 1U << 11,   // a server restarts without its log, see Model::toleratesLoss()
  Outage = 1U << 12,    // the store is down until all registrations have expired
  AllFaults = (1U << 13) - 1,
};

// Events that a run may hold.
struct Budget {
  int Commits = 1;
  int Changes = 2; // changes that a daemon begins
  int Waits = 3;   // deadlines that pass while a daemon waits for nothing else
  int Faults = 1;
  uint32_t Kinds = AllFaults;
  bool Switchovers = true;
  bool Overtaking = true; // commands of a daemon to different targets overtake each other
};

struct Entry {
  uint8_t Commit; // id
  uint8_t InTerm;
  bool operator==(const Entry &) const = default;
};

// A server, named by its slot and the number of ids that were used there before.
struct Server {
  bool Exists = false;
  bool Up = false;
  bool Leads = false;
  bool Leaving = false;
  bool Lapsed = false; // expired in an outage of the store and not registered again yet
  uint8_t Generation = 0;
  uint8_t Process = 0; // number of starts
  // Commits below this number were made before all daemons knew that it leaves; 0: not known yet.
  uint8_t DrainKnownAt = 0;
  uint64_t Term = 0;
  uint64_t Held = 0;
  uint64_t LedTerm = 0; // last term that it was promoted to lead
  std::vector<Entry> Log;

  bool holds(uint8_t Commit) const;
  LogPosition position() const;
};

// A row of the list of registrations.
struct Registration {
  uint8_t Slot = 0;
  uint8_t Generation = 0;
  bool WasPrimary = false; // last report of an id that is not in use any more
  bool operator==(const Registration &) const = default;
};

struct Order {
  TargetId To;
  uint64_t Token = 0;
  bool Late = false; // its call has timed out at the daemon
  size_t From = 0;
  int64_t SentMs = 0;
  int64_t SentTick = 0;
};

// An action that was sent and not executed yet.
struct SentAction {
  Action What;
  bool Ended = false; // its change has ended; the answer is ignored
};

// What a daemon knows of a server. The fields after Term repeat the state of its CommitEvidence,
// which has no accessor, to tell states apart.
struct Listed {
  uint8_t Slot = 0;
  uint8_t Generation = 0;
  uint8_t Process = 0; // as listed
  bool Vanished = false;
  bool Leaving = false;
  bool Primary = false;
  uint64_t Term = 0;
  int Connected = -1; // process that the daemon is connected to
  int64_t SinceTick = 0;
  int64_t CountsFromTick = -1;
  uint64_t CountsIn = 0;
  LogPosition Known;
  LogPosition Counted;

  TargetId id() const;
};

struct AnswerOnItsWay {
  uint8_t Slot = 0;
  uint8_t Generation = 0;
  uint8_t Process = 0;
  LogPosition Received;
  int64_t SentTick = 0;
};

struct RowOnItsWay {
  std::optional<ClaimRow> Row;
  uint64_t Version = 0;
  int64_t StoreNowMs = 0;
  int64_t AskedTick = 0;
};

// Members that a daemon is about to name in the claim's row.
struct NamedMembers {
  roster::Members Next;
  uint64_t Version = 0; // of the row that it read before
};

struct Daemon {
  std::optional<PrimaryChange> Change;
  std::deque<SentAction> Pending;
  std::vector<Listed> List;
  uint64_t KnownTerm = 0;
  uint64_t KnownVersion = 0; // of the claim's row
  std::optional<ClaimRow> KnownRow;
  bool HasClaim = false;
  std::optional<ClaimResult> Granted;    // the targets are being read
  std::optional<uint64_t> EndsClaim;     // version at which the claim is about to be ended
  std::optional<TermStart> EndsWith;     // start of the term that its change saw begin
  std::optional<RowOnItsWay> EndsOthers; // an abandoned claim that is about to be ended
  std::optional<AnswerOnItsWay> Answer;
  std::optional<RowOnItsWay> RowAnswer;
  std::optional<roster::Members> Members; // of the newest row that was read
  uint64_t MembersVersion = 0;
  std::optional<NamedMembers> Names;
  placement::CommitEvidence Evidence;
};

struct Commit {
  uint8_t Daemon = 0;
  uint8_t Slot = 0; // of the primary
  uint8_t Generation = 0;
  uint64_t InTerm = 0;
  uint64_t Position = 0;
  bool Acknowledged = false;
  bool Answered = false; // the daemon has the acknowledgement
  bool Told = false;
  int64_t ToldTick = 0;
};

TargetId idOf(size_t Slot, size_t Generation = 0);

struct World {
  std::array<Server, ServerSlots> Servers;
  std::array<Daemon, DaemonCount> Daemons;
  std::vector<Registration> Registrations;
  std::vector<Order> Orders; // sent to the platform and not executed yet
  std::optional<ClaimRow> Row;
  uint64_t RowVersion = 0;
  uint64_t HighestToken = 0;
  uint64_t NewestTerm = 1;       // of the last promotion
  std::vector<Commit> Commits;   // the id is the index
  std::vector<Entry> Kept;       // log of the last promoted server when it was promoted
  std::optional<size_t> CutWith; // the first server is cut off with this daemon
  bool CutDaemon = false;        // that daemon is cut off from the other servers
  Budget Left;
  int64_t NowMs = 0;
  int64_t Tick = 0; // number of events, which is the clock of the daemons' evidence
  int Promotions = 0;
  std::string Violation;

  Instant now() const { return absl::UnixEpoch() + absl::Milliseconds(this->NowMs); }
  static Instant tickTime(int64_t T) { return absl::UnixEpoch() + absl::Milliseconds(T); }
  bool serversConnected(size_t A, size_t B) const;
  bool reaches(size_t D, size_t Slot) const;
  // Slot of the server that runs under Id; nothing if none does.
  std::optional<size_t> running(const TargetId &Id) const;
  bool holdsTold(const Server &S) const;
  void fail(std::string Text);
  // Equal for states that behave alike, also if the two daemons are swapped. Servers are not
  // swapped, because a change prefers the lower id among equal candidates.
  uint64_t fingerprint() const;

private:
  void appendDaemon(std::string &T, size_t D) const;
  std::string text(bool Swapped) const;
};

enum class EventKind : uint8_t {
  Write,         // A: server, B: daemon
  Receive,       // A: primary, B: replica
  Learn,         // A: replaced primary
  Perform,       // A: daemon, B: index of the action, C: 1 the answer, 2 the command is lost
  Continue,      // A: daemon, C: 1 the targets cannot be read
  EndClaim,      // A: daemon, C: 1 the write is lost
  EndOthers,     // A: daemon
  Begin,         // A: daemon, B: 1 switchover
  Deadline,      // A: daemon
  ReadList,      // A: daemon
  Forget,        // A: daemon, B: index in its list
  Ask,           // A: daemon, B: index in its list, C: 1 the answer is on its way
  AnswerArrives, // A: daemon
  ReadRow,       // A: daemon, C: 1 the answer is on its way
  RowArrives,    // A: daemon
  CheckMembers,  // A: daemon
  NameMembers,   // A: daemon, C: 1 the write is lost
  Tell,          // A: commit
  Execute,       // A: index of the order, C: 1 the answer is lost, 2 later
  Join,          // A: slot, B: 1 with the log of the former server
  Register,      // A: slot
  Drain,         // A: slot
  Leave,         // A: slot
  Expire,        // A: index of the registration
  Crash,         // A: slot
  Return,        // A: slot, B: see Model::returnServer()
  Cut,           // A: daemon, B: 1 the daemon is cut off from the other servers
  Heal,          //
  StandStill,    //
  Outage,        //
  Restart,       // A: daemon
};

// One event that can happen next.
struct Event {
  EventKind Kind;
  uint8_t A = 0;
  uint8_t B = 0;
  uint8_t C = 0;
  uint32_t Costs = 0; // kind of fault
};

class Model {
public:
  explicit Model(Contract Rules) : Rules(Rules) {}

  World start(const Budget &Limits) const;
  std::vector<Event> events(const World &W) const;
  // Executes E and checks the invariants; W.Violation tells what is broken.
  void apply(World &W, const Event &E) const;
  static std::string describe(const World &W, const Event &E);
  // Runs the system without further faults. Returns what is broken: no primary that leads the
  // newest term, or one that lacks a commit of which a caller was told.
  std::string recovery(World W) const;

private:
  void run(World &W, const Event &E) const;
  void runCommit(World &W, const Event &E) const;
  void runServer(World &W, const Event &E) const;
  void runDaemon(World &W, const Event &E) const;
  void runEvidence(World &W, const Event &E) const;
  void checkInvariants(World &W) const;

  void addReplication(const World &W, std::vector<Event> &Out) const;
  void addDaemons(const World &W, std::vector<Event> &Out) const;
  void addChange(const World &W, uint8_t D, std::vector<Event> &Out) const;
  void addPending(const World &W, uint8_t D, std::vector<Event> &Out) const;
  void addEvidence(const World &W, uint8_t D, std::vector<Event> &Out) const;
  void addPlatform(const World &W, std::vector<Event> &Out) const;
  void addServers(const World &W, std::vector<Event> &Out) const;
  void addReturns(const World &W, uint8_t S, std::vector<Event> &Out) const;
  void addCuts(const World &W, std::vector<Event> &Out) const;

  void returnServer(World &W, size_t S, size_t Index) const;
  void join(World &W, size_t S, bool WithLog) const;
  void endClaim(World &W, const Event &E) const;
  void resolveMembers(World &W, size_t D) const;
  roster::Roster group(const Daemon &X) const;
  bool mayCheckMembers(const World &W, size_t D) const;
  void noteMembers(World &W, size_t D, const roster::Members &Named, uint64_t Version) const;
  void checkMembers(World &W, size_t D) const;
  void nameMembers(World &W, const Event &E) const;
  void restartDaemon(World &W, size_t D) const;

  void replicate(World &W, size_t L, size_t R) const;
  void tell(World &W, uint8_t Id) const;

  void begin(World &W, size_t D, ChangeKind Kind) const;
  void enqueue(World &W, size_t D, const std::vector<Action> &Actions) const;
  void sendOrder(World &W, size_t D, const Action &A) const;
  void perform(World &W, size_t D, size_t K, bool AnswerLost) const;
  void command(World &W, size_t D, const Action &A, bool Ended) const;
  void askObserver(World &W, size_t D, const Action &A, bool Ended, bool AnswerLost) const;
  void writeRow(World &W, size_t D, const Action &A, bool AnswerLost) const;
  void continueClaim(World &W, size_t D, bool Failed) const;
  void passTime(World &W, size_t D) const;
  void readList(World &W, size_t D) const;
  void updateListed(World &W, size_t D, const Registration &R) const;
  void notePrimary(World &W, size_t D, const std::optional<TargetId> &Former) const;
  void readRow(World &W, size_t D, const RowOnItsWay &R) const;

  void executeOrder(World &W, size_t K, bool AnswerLost) const;
  void promote(World &W, size_t To) const;
  void answerOrder(World &W, size_t From, PromoteOutcome R) const;

  Contract Rules;
};

} // namespace toucan::promotion::model

#endif // TOUCAN_PROMOTION_MODEL_WORLD_TEST_H
