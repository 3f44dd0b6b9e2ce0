#include "standin/hosted/group.h"

#include <algorithm>
#include <chrono>

namespace toucan::standin {

namespace {

constexpr int64_t PromoteMs = 200;
// A commit without a replica's receipt is given up after this time.
constexpr std::chrono::milliseconds ReceiptLimit{700};
// Share of the steps in which a replica receives.
constexpr double ReceiveShare = 0.6;

} // namespace

DatabaseGroup::DatabaseGroup(std::string Name, std::vector<std::string> Ids, uint64_t Seed)
    : Name(std::move(Name)), Random(Seed) {
  for (std::string &Id : Ids)
    this->Servers.push_back({.Id = std::move(Id)});
  this->Servers[0].Leads = true;
}

void DatabaseGroup::note(std::string What) {
  this->Violations.push_back(this->Name + ": " + std::move(What));
}

ServerState DatabaseGroup::state(size_t Server) const {
  std::lock_guard Lock(this->Mutex);
  ServerState Out = this->Servers[Server];
  Out.Log.clear();
  return Out;
}

Position DatabaseGroup::position(size_t Server) const {
  std::lock_guard Lock(this->Mutex);
  return this->positionOf(this->Servers[Server]);
}

std::string DatabaseGroup::read(size_t Server, const std::string &Item) const {
  std::lock_guard Lock(this->Mutex);
  const std::vector<Commit> &Log = this->Servers[Server].Log;
  for (auto C = Log.rbegin(); C != Log.rend(); ++C)
    for (auto W = C->Writes.rbegin(); W != C->Writes.rend(); ++W)
      if (W->first == Item)
        return W->second;
  return {};
}

bool DatabaseGroup::holds(size_t Server, Position At) const {
  std::lock_guard Lock(this->Mutex);
  const ServerState &S = this->Servers[Server];
  return S.Term >= At.Term && S.Log.size() >= At.Number;
}

CommitResult DatabaseGroup::commit(size_t Server, Commit New) {
  std::unique_lock Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  if (!S.Up || !S.Leads)
    return CommitResult::ReadOnly;
  uint64_t Run = S.Run;
  New.Term = S.Term;
  std::string Id = New.CallerId;
  S.Log.push_back(std::move(New));
  uint64_t Number = S.Log.size();
  uint64_t Term = S.Term;
  auto Lost = [&] { return S.Run != Run || !S.Up || !S.Leads || S.Term != Term; };
  auto Received = [&] {
    return std::any_of(this->Servers.begin(), this->Servers.end(), [&](const ServerState &R) {
      return &R != &S && R.Term == Term && R.Log.size() >= Number;
    });
  };
  this->Changed.wait_for(Lock, ReceiptLimit, [&] { return Lost() || Received(); });
  if (Lost() || !Received())
    return CommitResult::Unknown;
  this->Acknowledged.emplace_back(Number, Id);
  return CommitResult::Done;
}

void DatabaseGroup::pause(size_t Server, uint64_t Term) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  if (!S.Leads && Term > S.Term)
    S.Held = std::max(S.Held, Term);
}

void DatabaseGroup::resume(size_t Server) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].Held = 0;
}

PromoteResult DatabaseGroup::promote(const std::string &Id, uint64_t Token) {
  std::lock_guard Lock(this->Mutex);
  if (Token < this->HighestToken)
    return PromoteResult::FenceTooLow;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    if (this->Servers[I].Id != Id || !this->Servers[I].Up)
      continue;
    this->HighestToken = Token;
    if (!this->Servers[I].Leads)
      this->Orders.push_back({.DueMs = this->NowMs + PromoteMs, .Server = I});
    return PromoteResult::Ordered;
  }
  return PromoteResult::NotRunning;
}

// Rolls back what the new primary lacks, and checks that nothing acknowledged is among it.
void DatabaseGroup::lead(size_t Server) {
  ServerState &S = this->Servers[Server];
  if (!S.Up || S.Leads)
    return;
  for (const auto &[Number, Id] : this->Acknowledged)
    if (S.Log.size() < Number || S.Log[Number - 1].CallerId != Id)
      this->note("promotion of " + S.Id + " loses acknowledged commit " + Id);
  ++this->NewestTerm;
  for (ServerState &Other : this->Servers) {
    Other.Leads = false;
    Other.Held = 0;
    if (!Other.Up)
      continue;
    Other.Term = this->NewestTerm;
    if (Other.Log.size() > S.Log.size())
      Other.Log = S.Log;
  }
  S.Leads = true;
  std::set<std::string> Once;
  for (const Commit &C : S.Log)
    if (!Once.insert(C.CallerId).second)
      this->note("statement " + C.CallerId + " is committed twice");
}

void DatabaseGroup::crash(size_t Server) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].Up = false;
  this->Changed.notify_all();
}

void DatabaseGroup::start(size_t Server, int64_t Now) {
  std::lock_guard Lock(this->Mutex);
  ServerState &S = this->Servers[Server];
  S.Up = true;
  S.Leaving = false;
  S.Held = 0;
  S.BornMs = Now;
  ++S.Run;
  // A primary that crashed returns as one only if no other leads.
  if (S.Term < this->NewestTerm)
    S.Leads = false;
}

void DatabaseGroup::setLeaving(size_t Server, bool Is) {
  std::lock_guard Lock(this->Mutex);
  this->Servers[Server].Leaving = Is;
}

void DatabaseGroup::step(int64_t SteadyMs) {
  std::lock_guard Lock(this->Mutex);
  this->NowMs = SteadyMs;
  std::vector<Order> Due;
  std::erase_if(this->Orders, [&](const Order &O) {
    if (O.DueMs > SteadyMs)
      return false;
    Due.push_back(O);
    return true;
  });
  for (const Order &O : Due)
    this->lead(O.Server);
  for (ServerState &P : this->Servers) {
    if (!P.Up || !P.Leads)
      continue;
    for (ServerState &R : this->Servers) {
      bool Receives = &R != &P && R.Up && !R.Leads && R.Held <= R.Term && R.Term <= P.Term;
      if (!Receives || !std::bernoulli_distribution(ReceiveShare)(this->Random))
        continue;
      if (R.Term != P.Term || R.Log.size() > P.Log.size())
        R.Log = P.Log;
      else
        R.Log.insert(R.Log.end(), P.Log.begin() + static_cast<std::ptrdiff_t>(R.Log.size()),
                     P.Log.end());
      R.Term = P.Term;
    }
  }
  this->Changed.notify_all();
}

std::vector<Commit> DatabaseGroup::primaryLog() const {
  std::lock_guard Lock(this->Mutex);
  const ServerState *Best = nullptr;
  for (const ServerState &S : this->Servers)
    if (S.Leads && (!Best || S.Term > Best->Term))
      Best = &S;
  return Best ? Best->Log : std::vector<Commit>();
}

std::vector<std::string> DatabaseGroup::violations() const {
  std::lock_guard Lock(this->Mutex);
  return this->Violations;
}

} // namespace toucan::standin
