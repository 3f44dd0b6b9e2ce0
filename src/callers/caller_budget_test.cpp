#include "callers/caller_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace toucan;
using namespace toucan::callers;

namespace {

constexpr uint64_t SmallMachine = uint64_t{112} << 20;
constexpr size_t MessageBytes = size_t{1} << 20;
constexpr int Rounds = 2000; // of the event loop

// Callers as the budget sees them. In each round, a caller sends as much as is read from it and is
// answered as far as its statements are processed.
struct Load {
  CallerBudget Budget{callerLimits(SmallMachine)};
  std::map<uint64_t, CallerBytes> Callers;
  bool Decides = true; // false: nothing is paused or closed, as before the budget
  size_t Peak = 0;
  size_t Closed = 0;

  explicit Load(size_t Count) {
    for (uint64_t I = 1; I <= Count; ++I)
      this->report(I);
  }
  void report(uint64_t I) {
    this->Budget.update(SessionId(I), this->Callers[I]);
    this->Peak = std::max(this->Peak, this->Budget.totalBytes());
  }
  bool reads(uint64_t I) const { return !this->Decides || this->Budget.mayRead(SessionId(I)); }
  bool processes(uint64_t I) const {
    return !this->Decides || this->Budget.mayProcess(SessionId(I));
  }
  void closeHeaviest() {
    while (std::optional<SessionId> Id = this->Decides ? this->Budget.toClose() : std::nullopt) {
      this->Budget.remove(*Id);
      this->Callers.erase(Id->Value);
      ++this->Closed;
    }
  }
  // What the last allocation before the budget is spent may add: one read of one caller, in a
  // buffer that doubles.
  size_t bound() const {
    return this->Budget.limits().TotalBytes + 2 * this->Budget.limits().CallerBytes;
  }
};

// 60 callers send small statements and take one byte of their answers in a round.
Load floodWithSlowReading(bool Decides) {
  Load L(60);
  L.Decides = Decides;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<uint64_t> Ids;
    for (const auto &[I, B] : L.Callers)
      Ids.push_back(I);
    for (uint64_t I : Ids) {
      CallerBytes &B = L.Callers[I];
      if (L.reads(I))
        B.Input += 4096;
      L.report(I);
      if (L.processes(I)) {
        B.Unsent += 4 * std::exchange(B.Input, 0);
        B.Unsent -= std::min<size_t>(B.Unsent, 1);
      }
      L.report(I);
    }
    L.closeHeaviest();
  }
  return L;
}

// 159 callers send statements that wait; one is answered in a round.
Load floodThatWaits(bool Decides) {
  Load L(159);
  L.Decides = Decides;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<uint64_t> Ids;
    for (const auto &[I, B] : L.Callers)
      Ids.push_back(I);
    for (uint64_t I : Ids) {
      CallerBytes &B = L.Callers[I];
      if (L.reads(I) && B.Input < 2 * MessageBytes)
        B.Input += MaxCallerReadBytes;
      B.Input -= std::min<size_t>(B.Input, 16);
      L.report(I);
    }
    L.closeHeaviest();
  }
  return L;
}

// 400 callers send a message of the largest size without its end.
Load incompleteMessages(bool Decides) {
  Load L(400);
  L.Decides = Decides;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<uint64_t> Ids;
    for (const auto &[I, B] : L.Callers)
      Ids.push_back(I);
    for (uint64_t I : Ids) {
      CallerBytes &B = L.Callers[I];
      if (L.reads(I) && B.Input + MaxCallerReadBytes < MessageBytes)
        B.Input += MaxCallerReadBytes;
      L.report(I);
    }
    L.closeHeaviest();
  }
  return L;
}

} // namespace

// Each load is replayed with and without the decisions. Without them it passes the machine's
// memory, as it did in the reviews.
TEST_CASE("callers that flood and read slowly stay within the budget") {
  Load L = floodWithSlowReading(true);
  CHECK(L.Peak <= L.bound());
  CHECK(L.Budget.mayAccept());
  CHECK(floodWithSlowReading(false).Peak > SmallMachine);
}

TEST_CASE("callers that flood with statements that wait stay within the budget") {
  Load L = floodThatWaits(true);
  CHECK(L.Peak <= L.bound());
  CHECK(L.Budget.mayAccept());
  CHECK(floodThatWaits(false).Peak > SmallMachine);
}

TEST_CASE("callers that stop half-way in a message stay within the budget") {
  Load L = incompleteMessages(true);
  CHECK(L.Peak <= L.bound());
  CHECK(L.Budget.mayAccept());
  CHECK(incompleteMessages(false).Peak > SmallMachine);
}

// Guards against a budget that makes ordinary callers pay for the heavy ones.
TEST_CASE("a light caller is read and processed whatever the others hold") {
  Load L = floodWithSlowReading(true);
  L.Callers[1000] = {.Input = 8 * 1024, .Unsent = 1024};
  L.report(1000);
  CHECK(L.reads(1000));
  CHECK(L.processes(1000));
  L.Callers[1001] = {.Input = 2 * L.Budget.limits().TotalBytes};
  L.report(1001);
  CHECK(L.Budget.toClose() == SessionId(1001));
  CHECK_FALSE(L.Budget.mayAccept());
  L.closeHeaviest();
  CHECK(L.Callers.contains(1000));
  CHECK(L.Budget.mayAccept());
}

// Guards against a share that is smaller than one legal message, which would never be complete.
TEST_CASE("a message of the largest size fits into each share") {
  for (uint64_t Mb : {16, 112, 512, 4096}) {
    CallerLimits Limits = callerLimits(Mb << 20);
    CHECK(Limits.CallerBytes >= 2 * (MessageBytes + MaxCallerReadBytes));
    CallerBudget B(Limits);
    B.update(SessionId(1), {.Input = 2 * (MessageBytes + MaxCallerReadBytes)});
    CHECK(B.mayRead(SessionId(1)));
  }
  CHECK(callerLimits(0).TotalBytes == callerLimits(AssumedMemoryBytes).TotalBytes);
}

// Guards against an answer of a target that blocks its caller: it is larger than the share, is
// delivered whole, and the next statement waits only until enough of it is sent.
TEST_CASE("an answer larger than the share holds back the next statement only") {
  CallerBudget B(callerLimits(SmallMachine));
  size_t Share = B.limits().CallerBytes;
  B.update(SessionId(1), {.Unsent = 2 * Share});
  CHECK_FALSE(B.mayProcess(SessionId(1)));
  CHECK_FALSE(B.mayRead(SessionId(1)));
  CHECK_FALSE(B.toClose().has_value());
  B.update(SessionId(1), {.Unsent = Share});
  CHECK(B.mayProcess(SessionId(1)));
  CHECK(B.mayRead(SessionId(1)));
}

// Guards against callers that stay paused for ever: the allowance for the buffer that is not read
// kept each caller above its share, and all of them together kept the pressure up.
TEST_CASE("callers that hold nothing are read although all of them were paused") {
  CallerBudget B(callerLimits(SmallMachine));
  constexpr uint64_t Count = 400;
  for (uint64_t I = 1; I <= Count; ++I)
    B.update(SessionId(I), {.Input = 15, .Unread = FullKernelBufferBytes});
  for (uint64_t I = 1; I <= Count; ++I)
    CHECK(B.mayRead(SessionId(I)));
  CHECK_FALSE(B.toClose().has_value());
}

// As before, with sessions whose values are above the share. Not reading them frees nothing.
TEST_CASE("sessions with many values are read under pressure") {
  CallerBudget B(callerLimits(SmallMachine));
  constexpr uint64_t Count = 200;
  for (uint64_t I = 1; I <= Count; ++I)
    B.update(SessionId(I),
             {.Input = 100, .State = size_t{120} * 1024, .Unread = FullKernelBufferBytes});
  CHECK(B.pressed());
  for (uint64_t I = 1; I <= Count; ++I)
    CHECK(B.mayRead(SessionId(I)));
}

// Guards against callers that are closed because they were not read, while the ones that hold the
// memory stay: each of these is light, and sends nothing more.
TEST_CASE("many callers that each hold little are closed before those that hold nothing") {
  CallerBudget B(callerLimits(SmallMachine));
  constexpr uint64_t Light = 2000;
  constexpr uint64_t Ordinary = 20;
  for (uint64_t I = 1; I <= Light; ++I)
    B.update(SessionId(I), {.State = size_t{15} * 1024});
  for (uint64_t I = 1; I <= Ordinary; ++I)
    B.update(SessionId(Light + I), {.Input = 100, .Unread = FullKernelBufferBytes});
  CHECK_FALSE(B.mayAccept());
  size_t ClosedOrdinary = 0;
  while (std::optional<SessionId> Id = B.toClose()) {
    ClosedOrdinary += Id->Value > Light ? 1 : 0;
    B.remove(*Id);
  }
  CHECK(ClosedOrdinary == 0);
  CHECK(B.mayAccept());
}

// Guards against sums that keep what was released.
TEST_CASE("the sums follow updates and removals") {
  CallerBudget B(callerLimits(SmallMachine));
  size_t Empty = B.totalBytes();
  B.update(SessionId(1), {.Input = 5, .Statement = 4, .State = 3, .Unsent = 2, .Kernel = 1});
  B.update(SessionId(2), {.Input = 7});
  B.update(SessionId(1), {.Input = 1});
  CHECK(B.sum() == CallerBytes{.Input = 8});
  B.remove(SessionId(1));
  B.remove(SessionId(2));
  B.remove(SessionId(2));
  CHECK(B.totalBytes() == Empty);
}

TEST_CASE("a part of the descriptors is not for callers") {
  CHECK(maxCallers(2810) == 2108);
  CHECK(maxCallers(56) == 24);
  CHECK(maxCallers(10) == 1);
}

// Guards against time bounds that a caller within the limits meets.
TEST_CASE("time bounds leave idle sessions and slow links alone") {
  CallerTimes Times;
  Instant Start = absl::FromUnixSeconds(1000);
  CallerDeadlines Idle(Start);
  for (int S = 0; S < 100000; S += 10)
    CHECK(Idle.check(Start + absl::Seconds(S), {.Opened = true, .Messages = 5}, Times).empty());
  // Messages of 1 MiB one after the other, and answers, at 2 Mbit/s.
  constexpr uint64_t BytesPerS = 250000;
  CallerDeadlines Slow(Start);
  for (uint64_t S = 0; S < 1000; ++S)
    CHECK(Slow.check(Start + absl::Seconds(S),
                     {.Opened = true,
                      .InMessage = true,
                      .Messages = S * BytesPerS / MessageBytes,
                      .HasUnsent = true,
                      .SentBytes = S * BytesPerS},
                     Times)
              .empty());
}

TEST_CASE("time bounds close callers that stop half-way") {
  CallerTimes Times;
  Instant Start = absl::FromUnixSeconds(1000);
  auto CauseAfter = [&](absl::Duration Limit, const CallerProgress &P) {
    CallerDeadlines D(Start);
    CHECK(D.check(Start, P, Times).empty());
    CHECK(D.check(Start + Limit, P, Times).empty());
    return D.check(Start + Limit + absl::Milliseconds(1), P, Times);
  };
  CHECK(CauseAfter(Times.Open, {}) == "open_timeout");
  CHECK(CauseAfter(Times.Open, {.InMessage = true}) == "open_timeout");
  CHECK(CauseAfter(Times.Message, {.Opened = true, .InMessage = true}) == "message_timeout");
  CHECK(CauseAfter(Times.DrainWindow, {.Opened = true, .HasUnsent = true, .SentBytes = 9}) ==
        "drain_timeout");
}

// Guards against callers that are closed because the process was suspended.
TEST_CASE("time bounds leave out the time in which the process did not run") {
  CallerTimes Times;
  Instant Start = absl::FromUnixSeconds(1000);
  constexpr absl::Duration Stalled = absl::Minutes(5);
  std::vector<std::pair<CallerProgress, absl::Duration>> Cases = {
      {{}, Times.Open},
      {{.Opened = true, .InMessage = true}, Times.Message},
      {{.Opened = true, .HasUnsent = true}, Times.DrainWindow}};
  for (const auto &[P, Limit] : Cases) {
    CallerDeadlines D(Start);
    CHECK(D.check(Start, P, Times).empty());
    D.postpone(Stalled);
    CHECK(D.check(Start + Stalled + Limit, P, Times).empty());
    CHECK_FALSE(D.check(Start + Stalled + Limit + absl::Milliseconds(1), P, Times).empty());
  }
  // A caller that is idle has no bound after it either.
  CallerDeadlines Idle(Start);
  Idle.postpone(Stalled);
  CHECK(Idle.check(Start + absl::Hours(1), {.Opened = true}, Times).empty());
}

// Guards against a share that is too small for one message where messages may be large.
TEST_CASE("a caller's share follows the largest message") {
  constexpr size_t Large = size_t{16} << 20;
  CHECK(callerLimits(SmallMachine).CallerBytes == MessageBytes / 2 * 5);
  CHECK(callerLimits(SmallMachine, Large).CallerBytes == Large / 2 * 5);
  CHECK(callerLimits(uint64_t{16} << 30, MessageBytes).CallerBytes == size_t{4} << 20);
  CHECK(callerSocketBytes(callerLimits(SmallMachine)) == CallerSocketBytes);
  CHECK(callerSocketBytes(callerLimits(uint64_t{512} << 20)) == 128 * 1024);
  CHECK(callerSocketBytes(callerLimits(uint64_t{16} << 30)) == 256 * 1024);
}
