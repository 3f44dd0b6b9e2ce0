#include "rules/rules.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <random>

using namespace toucan;
using namespace toucan::rules;

namespace {

constexpr std::string_view Sample =
    "# rules of the example\n"
    "\n"
    "read database=rounds table=clearances max_age=30s # map may lag: Moana\n"
    "read database=rounds table=streets max_age=500ms # map\n"
    "read max_age=1h database=rounds fingerprint=0x1f # report: accounts\n"
    "once database=rounds table=callouts # call centre\n"
    "class database=orders fingerprint=0x1234abcd class=long # reconciliation\n"
    "class database=orders table=ledger class=long# reconciliation\n"
    "class database=orders fingerprint=0x2 class=short # one booking\r\n"
    "target database=orders target=orders-2 state=leaving # disk: operations";

RuleSet parseRules(std::string_view Text) {
  auto Rules = capture([&] { return RuleSet::parse(Text, "f"); });
  REQUIRE_MESSAGE(Rules, Rules.Problem.Message);
  return *Rules;
}

std::string parseError(std::string_view Text) {
  auto Rules = capture([&] { return RuleSet::parse(Text, "f"); });
  return Rules ? "accepted" : Rules.Problem.Message;
}

RequestFacts facts(std::string Database, std::vector<std::string> Tables,
                   uint64_t Fingerprint = 0) {
  return {.Database = DatabaseName(std::move(Database)),
          .Tables = std::move(Tables),
          .Fingerprint = Fingerprint};
}

} // namespace

TEST_CASE("lookup of policies and target states in a sample rules file") {
  RuleSet R = parseRules(Sample);
  CHECK(R.text() == Sample);
  CHECK(R.policyFor(facts("rounds", {"clearances"})).MaxAge == absl::Seconds(30));
  // Guards against a join that reads one of its tables at an age above the limit of its rule.
  CHECK(R.policyFor(facts("rounds", {"clearances", "streets"})).MaxAge == absl::Milliseconds(500));
  CHECK(R.policyFor(facts("rounds", {"clearances", "callouts"})).MaxAge == absl::ZeroDuration());
  CHECK(R.policyFor(facts("rounds", {})).MaxAge == absl::ZeroDuration());
  CHECK(R.policyFor(facts("rounds", {"callouts"}, 0x1f)).MaxAge == absl::Hours(1));
  CHECK(R.policyFor(facts("rounds", {"streets", "callouts"})).RunsAtMostOnce);
  CHECK_FALSE(R.policyFor(facts("orders", {"callouts"})).RunsAtMostOnce);
  CHECK(R.policyFor(facts("orders", {"sites"}, 0x1234abcd)).Class == WorkClass::Long);
  CHECK(R.policyFor(facts("orders", {"sites", "ledger"})).Class == WorkClass::Long);
  CHECK(R.policyFor(facts("orders", {"ledger"}, 2)).Class == WorkClass::Short);
  // Guards against a learned class that overrides the class of a rule.
  CHECK(R.policyFor(facts("orders", {"sites"}, 0x1234abcd)).HasClassRule);
  CHECK(R.policyFor(facts("orders", {"sites", "ledger"})).HasClassRule);
  CHECK(R.policyFor(facts("orders", {"ledger"}, 2)).HasClassRule);
  CHECK_FALSE(R.policyFor(facts("orders", {"sites"})).HasClassRule);
  CHECK(R.targetState(DatabaseName("orders"), TargetId("orders-2")) == TargetState::Leaving);
  CHECK(R.targetState(DatabaseName("rounds"), TargetId("orders-2")) == TargetState::Active);
  CHECK(RuleSet().policyFor(facts("rounds", {"clearances"})).MaxAge == absl::ZeroDuration());
}

// Guards against an error that points at the wrong word or line.
TEST_CASE("parse errors report file, line, column and cause") {
  const std::pair<std::string_view, std::string_view> Cases[] = {
      {"\n  reads database=a table=b max_age=1s # x", "f:2:3: unknown rule \"reads\""},
      {"once database=a table=b colour=red # x", "f:1:25: unknown key \"colour\""},
      {"once database=a table=b max_age=1s # x", "f:1:25: unknown key \"max_age\""},
      {"once database=a database=b table=c # x", "f:1:17: repeated key \"database\""},
      {"once table=b # x", "f:1:1: missing key \"database\""},
      {"once database=a # x", "f:1:1: missing key \"table\" or \"fingerprint\""},
      {"once database=a table=b fingerprint=0x1 # x", "f:1:25: table= and fingerprint= exclude"},
      {"read database=a table=b max_age=0s # x", "f:1:25: value \"0s\" of max_age"},
      {"read database=a table=b max_age=25h # x", "f:1:25: value \"25h\" of max_age"},
      {"read database=a table=b max_age=30 # x", "f:1:25: value \"30\" of max_age"},
      {"read database=a table=b max_age=99999999999999999999s # x", "f:1:25: value"},
      {"once database= table=b # x", "f:1:6: value \"\" of database"},
      {"once database=a table=Public.B # x", "f:1:17: value \"Public.B\" of table"},
      {"once database=a fingerprint=12 # x", "f:1:17: value \"12\" of fingerprint"},
      {"once database=a fingerprint=0x11112222333344445 # x", "f:1:17: value"},
      {"class database=a table=b class=big # x", "f:1:26: value \"big\" of class"},
      {"target database=a target=b state=gone # x", "f:1:28: value \"gone\" of state"},
      {"once database=a table=b  ", "f:1:24: missing comment"},
      {"once database=a table=b # ", "f:1:25: empty comment"},
      {"once database=a table=b by call centre", "f:1:25: \"by\" is neither key=value nor"},
      {"once database=a table=b # x\nonce database=a table=b # y", "f:2:1: repeated rule"},
      {"# \xff", "f:1:3: byte 0xff is not valid UTF-8"},
      {"# a\x01", "f:1:4: control character 0x01"},
  };
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    CHECK(parseError(Case.first).substr(0, Case.second.size()) == Case.second);
  }
}

TEST_CASE("lines over 1000 characters and files over 10,000 rules are refused") {
  CHECK(parseError(absl::StrFormat("# %s", std::string(998, 'x'))) == "accepted");
  CHECK(parseError(absl::StrFormat("# %s", std::string(999, 'x'))) ==
        "f:1:1001: line longer than 1000 characters");
  std::string Text;
  for (int I = 0; I < 10'000; ++I)
    absl::StrAppendFormat(&Text, "once database=d%d table=t%d # x\n", I % 100, I);
  CHECK(parseRules(Text).policyFor(facts("d99", {"t9999"})).RunsAtMostOnce);
  Text += "once database=d table=t # x\n";
  CHECK(parseError(Text) == "f:10001:1: more than 10000 rules");
}

TEST_CASE("diff shows removed and added lines with their numbers") {
  CHECK(diff("a\nb\nc\n", "a\nb\nc") == "");
  CHECK(diff("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n") == "-2: b\n+2: x\n+5: e\n");
  CHECK(diff("", "a\n") == "+1: a\n");
  CHECK(diff("a\nb\n", "") == "-1: a\n-2: b\n");
  // Guards against a moved line that is shown as unchanged.
  CHECK(diff("a\nb\nc\n", "b\nc\na\n") == "-1: a\n+3: a\n");
  // A comment names who asked for the rule, so a changed comment is a difference.
  CHECK(diff("r # x\n", "r # y\n") == "-1: r # x\n+1: r # y\n");
}

// Guards against crashes on malformed text, and against error positions outside of the text.
TEST_CASE("randomly edited text is parsed, or refused at a position inside the text") {
  std::mt19937_64 Random(20261204);
  const std::string Bytes = "=#\n \t\r\"0xas9\xc3\xa9\xff\x01";
  int Refused = 0;
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Text(Sample);
    for (int Edits = 1 + static_cast<int>(Random() % 4); Edits > 0; --Edits) {
      size_t At = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.erase(At, 1 + Random() % 9);
      else
        Text.insert(At, 1, Bytes[Random() % Bytes.size()]);
      Text += Text.empty() ? "x" : "";
    }
    std::string Message = parseError(Text);
    if (Message == "accepted")
      continue;
    ++Refused;
    size_t Line = 0, Column = 0;
    CAPTURE(Text);
    CAPTURE(Message);
    REQUIRE(std::sscanf(Message.c_str(), "f:%zu:%zu: ", &Line, &Column) == 2);
    size_t Start = 0;
    for (size_t I = 1; I < Line; ++I) {
      size_t Feed = Text.find('\n', Start);
      REQUIRE(Feed != std::string::npos);
      Start = Feed + 1;
    }
    size_t Length = std::min(Text.find('\n', Start), Text.size()) - Start;
    REQUIRE(Column >= 1);
    REQUIRE(Column <= Length + 1);
  }
  CHECK(Refused > 10'000);
}
