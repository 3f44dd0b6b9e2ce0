#include "group/confirm.h"

#include <algorithm>

namespace toucan::group {

void Confirmer::add(uint64_t Ticket, LogPosition At, Instant Deadline) {
  this->WaitingWrites.emplace(At, Write{.Ticket = Ticket, .Deadline = Deadline});
}

void Confirmer::onRow(size_t Server, const Status &Row) {
  ServerProgress &K = this->Servers[Server];
  K.Accepted = std::max(K.Accepted, Row.Accepted);
  // A replica reports in `received` only entries that it shares with the primary of its accepted
  // term.
  if (Row.ServerRole == Role::Replica)
    K.HeldPosition =
        std::max(K.HeldPosition, LogPosition{.InTerm = Row.Accepted, .Position = Row.Received});
}

// Decides whether a majority has the position. The primary counts as one of them, because it
// reported the position itself.
bool Confirmer::majorityHolds(LogPosition At) const {
  size_t Holders = 1;
  for (const ServerProgress &K : this->Servers)
    Holders += K.HeldPosition.InTerm == At.InTerm && K.HeldPosition.Position >= At.Position ? 1 : 0;
  return Holders >= this->Quorum(this->Servers.size());
}

// Decides whether a majority has accepted a later term.
bool Confirmer::majorityLeftTerm(Term T) const {
  size_t Higher = 0;
  for (const ServerProgress &K : this->Servers)
    Higher += K.Accepted > T ? 1 : 0;
  return Higher >= this->Quorum(this->Servers.size());
}

std::vector<Confirmer::Completion> Confirmer::takeCompleted(Instant Now) {
  std::vector<Completion> Out;
  for (auto It = this->WaitingWrites.begin(); It != this->WaitingWrites.end();) {
    std::optional<ConfirmResult> Result;
    if (this->majorityHolds(It->first))
      Result = ConfirmResult::Confirmed;
    else if (this->majorityLeftTerm(It->first.InTerm))
      Result = ConfirmResult::TermChanged;
    else if (It->second.Deadline <= Now)
      Result = ConfirmResult::DeadlineExceeded;
    if (Result)
      Out.push_back({.Ticket = It->second.Ticket, .Result = *Result});
    It = Result ? this->WaitingWrites.erase(It) : std::next(It);
  }
  return Out;
}

std::optional<LogPosition> Confirmer::lowestUnconfirmed(size_t Server) const {
  const ServerProgress &K = this->Servers[Server];
  // A server that has accepted a later term cannot confirm a position of an earlier one.
  for (auto It = this->WaitingWrites.upper_bound(K.HeldPosition); It != this->WaitingWrites.end();
       ++It)
    if (It->first.InTerm >= K.Accepted)
      return It->first;
  return std::nullopt;
}

Instant Confirmer::nextDeadline() const {
  Instant Next = absl::InfiniteFuture();
  for (const auto &[At, W] : this->WaitingWrites)
    Next = std::min(Next, W.Deadline);
  return Next;
}

void Verifier::add(uint64_t Ticket, Instant Deadline) {
  if (this->Batches.empty() || this->Batches.back().LastEarlierProbe != this->LastProbe) {
    this->Batches.push_back({.LastEarlierProbe = this->LastProbe, .Tickets = {}, .Rows = {}});
    this->Batches.back().Rows.resize(this->Servers);
  }
  this->Batches.back().Tickets.emplace_back(Ticket, Deadline);
}

uint64_t Verifier::beginProbe() { return ++this->LastProbe; }

void Verifier::onRow(size_t Server, uint64_t Probe, const Status &Row) {
  for (Batch &B : this->Batches)
    if (Probe > B.LastEarlierProbe)
      B.Rows[Server] = Row;
}

// Returns the position of a primary whose term a majority has confirmed. The primary's last entry
// must be of its own term. Before its term-start entry, its log may contain entries that are not
// applied yet.
std::optional<LogPosition> Verifier::verifiedPosition(const Batch &B) const {
  for (const std::optional<Status> &Row : B.Rows) {
    if (!Row || Row->ServerRole != Role::Primary || Row->LogTerm != Row->Accepted)
      continue;
    size_t InSameTerm = std::count_if(B.Rows.begin(), B.Rows.end(), [&](const auto &Other) {
      return Other && Other->Accepted == Row->Accepted;
    });
    if (InSameTerm >= this->Quorum(this->Servers))
      return LogPosition{.InTerm = Row->Accepted, .Position = Row->Received};
  }
  return std::nullopt;
}

std::vector<Verifier::Completion> Verifier::takeCompleted(Instant Now) {
  std::vector<Completion> Out;
  for (Batch &B : this->Batches) {
    std::optional<LogPosition> At = this->verifiedPosition(B);
    std::erase_if(B.Tickets, [&](const std::pair<uint64_t, Instant> &T) {
      bool IsComplete = At || T.second <= Now;
      if (IsComplete)
        Out.push_back({.Ticket = T.first, .At = At});
      return IsComplete;
    });
  }
  std::erase_if(this->Batches, [](const Batch &B) { return B.Tickets.empty(); });
  return Out;
}

void Verifier::resize(size_t Count) {
  this->Servers = Count;
  for (Batch &B : this->Batches)
    B.Rows.assign(Count, std::nullopt);
}

bool Verifier::needsAnswerFrom(size_t Server) const {
  return std::any_of(this->Batches.begin(), this->Batches.end(),
                     [&](const Batch &B) { return !B.Rows[Server]; });
}

Instant Verifier::nextDeadline() const {
  Instant Next = absl::InfiniteFuture();
  for (const Batch &B : this->Batches)
    for (const auto &[Ticket, Deadline] : B.Tickets)
      Next = std::min(Next, Deadline);
  return Next;
}

} // namespace toucan::group
