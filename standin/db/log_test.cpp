#include "test_client.h"

#include <doctest/doctest.h>

#include <fstream>

using namespace toucan;
using namespace toucan::standin;

namespace {

void openLog(GroupLog &L, const std::string &Dir) {
  auto Opened = capture([&] { return L.open(Dir); });
  REQUIRE_MESSAGE(Opened, Opened.Problem.Message);
}

void appendEntry(GroupLog &L, uint64_t Term, const std::string &Sql) {
  L.append({.Term = Term, .Position = L.lastPosition() + 1, .Sql = Sql});
}

} // namespace

// Guards against a restart that loses log entries or the accepted term.
TEST_CASE("log and term record are read back after a restart") {
  TemporaryDir Dir;
  {
    GroupLog L;
    openLog(L, Dir.path());
    CHECK(L.termRecord().Term == 0);
    appendEntry(L, 1, "");
    appendEntry(L, 2, std::string("a;\n\0b", 5));
    L.saveTermRecord(
        {.Term = 7, .Proposer = "proposer with blanks", .CurrentPhase = Phase::Primary});
  }
  GroupLog L;
  openLog(L, Dir.path());
  REQUIRE(L.lastPosition() == 2);
  CHECK(L.at(2).Sql == std::string("a;\n\0b", 5));
  CHECK(L.lastTerm() == 2);
  CHECK(L.termRecord().Term == 7);
  CHECK(L.termRecord().Proposer == "proposer with blanks");
  CHECK(L.termRecord().CurrentPhase == Phase::Primary);
}

// Guards against a start that fails or reads garbage after the process was killed during a write.
TEST_CASE("an incomplete record at the end of the log is removed") {
  TemporaryDir Dir;
  {
    GroupLog L;
    openLog(L, Dir.path());
    appendEntry(L, 1, "first");
    appendEntry(L, 1, "second");
  }
  std::string Path = Dir.path() + "/log";
  std::filesystem::resize_file(Path, std::filesystem::file_size(Path) - 3);
  {
    GroupLog L;
    openLog(L, Dir.path());
    CHECK(L.lastPosition() == 1);
    appendEntry(L, 2, "third");
  }
  GroupLog L;
  openLog(L, Dir.path());
  REQUIRE(L.lastPosition() == 2);
  CHECK(L.at(2).Sql == "third");
}

// Guards against truncated entries that reappear after a restart.
TEST_CASE("truncation removes entries from the file") {
  TemporaryDir Dir;
  {
    GroupLog L;
    openLog(L, Dir.path());
    for (int I = 0; I < 5; ++I)
      appendEntry(L, 1, "old");
    L.truncateAfter(2);
    appendEntry(L, 3, "new");
  }
  GroupLog L;
  openLog(L, Dir.path());
  REQUIRE(L.lastPosition() == 3);
  CHECK(L.at(3).Sql == "new");
  CHECK(L.termAt(2) == 1);
  CHECK(L.termAt(3) == 3);
}

// Replicas use this search to find the log prefix that they share with the primary. Guards against
// a search that makes no progress or goes back too far.
TEST_CASE("the log finds its last entry up to a given position and term") {
  TemporaryDir Dir;
  GroupLog L;
  openLog(L, Dir.path());
  for (uint64_t Term : {1, 1, 3, 3, 5})
    appendEntry(L, Term, "");
  CHECK(L.lastPositionAtMost(5, 5) == 5);
  CHECK(L.lastPositionAtMost(9, 4) == 4);
  CHECK(L.lastPositionAtMost(3, 3) == 3);
  CHECK(L.lastPositionAtMost(5, 2) == 2);
  CHECK(L.lastPositionAtMost(5, 0) == 0);
}
