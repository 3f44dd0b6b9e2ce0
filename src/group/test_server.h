// A server of a database group as docs/platform.md describes it, without I/O, for tests.
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
  int8_t Write = -1; // -1: term-start entry
  friend auto operator<=>(const TestEntry &, const TestEntry &) = default;
};

// Fixed size, so that the model check copies states without allocations.
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
  // Eight entries in two words, equal only for equal logs.
  std::array<uint64_t, 2> packed() const {
    std::array<uint64_t, 2> Words{};
    std::memcpy(Words.data(), this->Entries.data(), sizeof Words);
    return Words;
  }

private:
  size_t Count = 0;
  std::array<TestEntry, 8> Entries{};
};

struct LongLog : std::vector<TestEntry> {
  void truncate(size_t Size) { this->resize(std::min(Size, this->size())); }
};

template <class LogType> struct BasicServer {
  uint64_t Accepted = 0;
  std::string Proposer;
  Role Is = Role::Fenced;
  bool Promoted = false; // the proposer of the accepted term has promoted this server
  LogType Log;
  size_t Matched = 0; // entries known to be the same as in the log of the followed primary
  size_t Applied = 0;
  std::string Following;

  Status row(bool CallAccepted) const {
    Status S;
    S.Accepted = Term(this->Accepted);
    S.Proposer = this->Proposer;
    S.ServerRole = this->Is;
    S.LogTerm = Term(this->Log.empty() ? 0 : this->Log.back().InTerm);
    S.Received = this->Is == Role::Replica ? this->Matched : this->Log.size();
    S.Applied = this->Applied;
    S.CallAccepted = CallAccepted;
    S.Following = this->Following;
    return S;
  }

  Status accept(uint64_t T, const std::string &By) {
    bool Ok =
        T > this->Accepted || (T == this->Accepted && By == this->Proposer && !this->Promoted);
    if (Ok) {
      this->Accepted = T;
      this->Proposer = By;
      this->Is = Role::Fenced;
      this->Promoted = false;
      this->Following.clear();
    }
    return this->row(Ok);
  }

  Status promote(uint64_t T, const std::string &By) {
    if (T != this->Accepted || By != this->Proposer || this->Promoted)
      return this->row(false);
    this->Promoted = true;
    this->Is = Role::Primary;
    this->append(-1);
    this->Applied = this->Log.size();
    return this->row(true);
  }

  void append(int Write) {
    this->Log.push_back(
        {.InTerm = static_cast<uint8_t>(this->Accepted), .Write = static_cast<int8_t>(Write)});
  }

  Status follow(uint64_t T, const std::string &Address) {
    if (T < this->Accepted || (T == this->Accepted && this->Is == Role::Primary))
      return this->row(false);
    if (T == this->Accepted && this->Is == Role::Replica && this->Following == Address)
      return this->row(true);
    if (T > this->Accepted)
      this->Proposer.clear();
    this->Accepted = T;
    this->Promoted = false;
    this->Is = Role::Replica;
    this->Following = Address;
    this->Matched = 0;
    return this->row(true);
  }

  // Receives the next entry of the primary's log. The first one found to differ removes the rest
  // of the own log.
  bool receive(const LogType &Primary) {
    if (this->Is != Role::Replica || this->Matched >= Primary.size())
      return false;
    const TestEntry &Next = Primary[this->Matched];
    if (this->Matched < this->Log.size() && this->Log[this->Matched] != Next)
      this->Log.truncate(this->Matched);
    if (this->Matched == this->Log.size())
      this->Log.push_back(Next);
    ++this->Matched;
    return true;
  }

  Status serve(const Call &What) {
    switch (What.Kind) {
    case CallKind::Accept:
      return this->accept(What.InTerm.Value, What.Proposer);
    case CallKind::Promote:
      return this->promote(What.InTerm.Value, What.Proposer);
    case CallKind::Follow:
      return this->follow(What.InTerm.Value, formatAddress(What.Host, What.Port));
    case CallKind::Wait:
      return this->row(this->Accepted == What.InTerm.Value && this->Is != Role::Fenced &&
                       this->row(false).Received >= What.Position);
    case CallKind::Status:
      break;
    }
    return this->row(false);
  }
};

using TestServer = BasicServer<LongLog>;
using ModelServer = BasicServer<SmallLog>;

} // namespace toucan::group

#endif // TOUCAN_GROUP_TEST_SERVER_H
