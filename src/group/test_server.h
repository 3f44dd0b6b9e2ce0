// Test double of a database server with the control calls of docs/platform.md, without I/O.
#ifndef TOUCAN_GROUP_TEST_SERVER_H
#define TOUCAN_GROUP_TEST_SERVER_H

#include "group/status.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>
#include <string>
#include <vector>

namespace toucan::group {

struct TestEntry {
  uint8_t InTerm = 0;
  int8_t WriteId = -1; // number of the write; -1 marks the first entry of a term
  friend auto operator<=>(const TestEntry &, const TestEntry &) = default;
};

// Log of fixed capacity, so that the model check copies states without allocations.
class SmallLog {
public:
  size_t size() const { return this->Count; }
  bool empty() const { return this->Count == 0; }
  const TestEntry &operator[](size_t I) const { return this->Entries[I]; }
  const TestEntry &back() const { return this->Entries[this->Count - 1]; }
  const TestEntry *begin() const { return this->Entries.data(); }
  const TestEntry *end() const { return this->Entries.data() + this->Count; }
  void push_back(TestEntry E) { // NOLINT(readability-identifier-naming): as in containers
    assert(this->Count < this->Entries.size());
    this->Entries[this->Count++] = E;
  }
  void truncate(size_t Size) {
    while (this->Count > Size)
      this->Entries[--this->Count] = TestEntry();
  }
  // The eight entries as two words. Two logs are equal exactly if their words are.
  std::array<uint64_t, 2> packed() const {
    std::array<uint64_t, 2> Words{};
    std::memcpy(Words.data(), this->Entries.data(), sizeof Words);
    return Words;
  }

private:
  size_t Count = 0;
  std::array<TestEntry, 8> Entries{};
};

// Log without a size limit, for the simulation and the socket tests.
struct LongLog : std::vector<TestEntry> {
  void truncate(size_t Size) { this->resize(std::min(Size, this->size())); }
};

template <class LogType> struct BasicServer {
  uint64_t Accepted = 0;
  std::string Proposer;
  Role CurrentRole = Role::Fenced;
  bool Promoted = false; // the proposer of the accepted term has promoted this server
  LogType Log;
  size_t Matched = 0; // length of the log prefix known to equal the followed primary's log
  size_t Applied = 0;
  std::string Following;

  Status status(bool CallAccepted) const {
    Status S;
    S.Accepted = Term(this->Accepted);
    S.Proposer = this->Proposer;
    S.ServerRole = this->CurrentRole;
    S.LogTerm = Term(this->Log.empty() ? 0 : this->Log.back().InTerm);
    S.Received = this->CurrentRole == Role::Replica ? this->Matched : this->Log.size();
    S.Applied = this->Applied;
    S.CallAccepted = CallAccepted;
    S.Following = this->Following;
    return S;
  }

  // Accepts a new term, or repeats the answer to the same proposer, and fences the server.
  Status accept(uint64_t T, const std::string &FromProposer) {
    bool IsAccepted = T > this->Accepted ||
                      (T == this->Accepted && FromProposer == this->Proposer && !this->Promoted);
    if (IsAccepted) {
      this->Accepted = T;
      this->Proposer = FromProposer;
      this->CurrentRole = Role::Fenced;
      this->Promoted = false;
      this->Following.clear();
    }
    return this->status(IsAccepted);
  }

  // Makes the server primary of the accepted term, once and only for that term's proposer.
  Status promote(uint64_t T, const std::string &FromProposer) {
    if (T != this->Accepted || FromProposer != this->Proposer || this->Promoted)
      return this->status(false);
    this->Promoted = true;
    this->CurrentRole = Role::Primary;
    this->append(-1);
    this->Applied = this->Log.size();
    return this->status(true);
  }

  void append(int WriteId) {
    this->Log.push_back(
        {.InTerm = static_cast<uint8_t>(this->Accepted), .WriteId = static_cast<int8_t>(WriteId)});
  }

  // Makes the server a replica of the primary at this address, unless its term is later.
  Status follow(uint64_t T, const std::string &Address) {
    if (T < this->Accepted || (T == this->Accepted && this->CurrentRole == Role::Primary))
      return this->status(false);
    if (T == this->Accepted && this->CurrentRole == Role::Replica && this->Following == Address)
      return this->status(true);
    if (T > this->Accepted)
      this->Proposer.clear();
    this->Accepted = T;
    this->Promoted = false;
    this->CurrentRole = Role::Replica;
    this->Following = Address;
    this->Matched = 0;
    return this->status(true);
  }

  // Receives the next entry of the primary's log. If the own log differs there, it is truncated
  // before the entry is appended. Returns false if there is nothing to receive.
  bool receive(const LogType &Primary) {
    if (this->CurrentRole != Role::Replica || this->Matched >= Primary.size())
      return false;
    const TestEntry &Next = Primary[this->Matched];
    if (this->Matched < this->Log.size() && this->Log[this->Matched] != Next)
      this->Log.truncate(this->Matched);
    if (this->Matched == this->Log.size())
      this->Log.push_back(Next);
    ++this->Matched;
    return true;
  }

  Status serve(const Call &Request) {
    switch (Request.Kind) {
    case CallKind::Accept:
      return this->accept(Request.InTerm.Value, Request.Proposer);
    case CallKind::Promote:
      return this->promote(Request.InTerm.Value, Request.Proposer);
    case CallKind::Follow:
      return this->follow(Request.InTerm.Value, formatAddress(Request.Host, Request.Port));
    case CallKind::Wait:
      return this->status(this->Accepted == Request.InTerm.Value &&
                          this->CurrentRole != Role::Fenced &&
                          this->status(false).Received >= Request.Position);
    case CallKind::Status:
      break;
    }
    return this->status(false);
  }
};

using TestServer = BasicServer<LongLog>;
using ModelServer = BasicServer<SmallLog>;

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_SERVER_H
