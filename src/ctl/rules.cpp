// Commands on rules: check, diff, show, apply.
#include "rules/rules.h"
#include "ctl/apply.h"
#include "ctl/commands.h"
#include "ctl/ctl.h"

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>
#include <utility>

namespace toucan::ctl {

namespace {

constexpr std::string_view RulesKey = "config/rules";
constexpr absl::Duration RetryInterval = absl::Milliseconds(200);
constexpr absl::Duration ListReadInterval = absl::Seconds(1); // between reads of the instance list
// An instance that does not answer must not delay the next round for the others by more than this.
constexpr absl::Duration MaxRoundDuration = absl::Seconds(1);

struct RulesFile {
  std::string Text;
  int Problem = 0; // exit code if the file is unusable
};

// Reads a whole file. Returns nullopt and sets errno if that fails, for example for a directory.
std::optional<std::string> readFile(const std::string &Name) {
  std::FILE *File = std::fopen(Name.c_str(), "rb");
  if (!File)
    return std::nullopt;
  std::string Text;
  char Buffer[4096];
  while (size_t Size = std::fread(Buffer, 1, sizeof Buffer, File))
    Text.append(Buffer, Size);
  bool Ok = std::ferror(File) == 0;
  int Cause = errno;
  std::fclose(File);
  errno = Cause;
  return Ok ? std::optional(std::move(Text)) : std::nullopt;
}

// Reads and checks FILE. Reports a problem on Err.
RulesFile loadFile(const Context &C) {
  const std::string &Name = C.Line.Arguments.at("FILE");
  std::optional<std::string> Text = readFile(Name);
  if (!Text)
    return {.Text = {},
            .Problem = C.reportError(ExitUsage, absl::StrFormat("file \"%s\" cannot be read: %s",
                                                                Name, std::strerror(errno)))};
  RulesFile Out{.Text = std::move(*Text)};
  auto Rules = capture([&] { return rules::RuleSet::parse(Out.Text, Name); });
  if (!Rules)
    Out.Problem = C.reportError(ExitRefused, Rules.Problem.Message);
  return Out;
}

Captured<platform::Row> readRules(Context &C) {
  return capture([&] { return C.Platform.read(std::string(RulesKey)); });
}

// Number of past versions whose texts are stored as objects, to show what changed since a base
// version. Slots are reused, because the object store has no call to delete an object.
constexpr uint64_t HistorySlots = 1000;

std::string historyName(uint64_t Version) {
  return absl::StrFormat("%s/%d", RulesKey, Version % HistorySlots);
}

// Returns the first line of a stored object. It identifies the version, because slots are reused.
std::string historyHeader(uint64_t Version) { return absl::StrFormat("version %d\n", Version); }

// Returns the text of a past version, or nullopt if its slot does not have it.
std::optional<std::string> loadHistory(Context &C, uint64_t Version) {
  if (Version == 0)
    return "";
  auto Stored = capture([&] { return C.Platform.getObject(historyName(Version)); });
  std::string Header = historyHeader(Version);
  if (!Stored || !Stored->starts_with(Header))
    return std::nullopt;
  return Stored->substr(Header.size());
}

// Stores the text of a version. A failure is only reported, because the rules are already written.
void storeHistory(Context &C, uint64_t Version, const std::string &Text) {
  std::string Object = absl::StrFormat("%s%s", historyHeader(Version), Text);
  auto Stored = capture([&] { return C.Platform.putObject(historyName(Version), Object); });
  if (!Stored)
    C.reportError(
        0, absl::StrFormat(
               "the text of version %d was not stored, so later conflicts cannot show it: %s",
               Version, Stored.Problem.Message));
}

ApplyReport conflictReport(Context &C, ApplyReport R, const platform::Row &InForce,
                           const std::string &Text) {
  R.Result = ApplyResult::Conflict;
  R.Version = InForce.Version;
  R.InForceText = InForce.Value;
  R.Difference = rules::diff(InForce.Value, Text);
  R.BaseText = loadHistory(C, R.Base);
  return R;
}

// After a write without an answer, reads the rules until they show the write or another change, or
// until the timeout has passed. Returns R in its final state, or as NotConfirmed if the write took
// effect.
ApplyReport readBack(Context &C, ApplyReport R, const std::string &Text) {
  Instant Deadline = monotonicNow() + C.Timeout;
  R.Result = ApplyResult::WriteUnknown;
  for (;;) {
    auto Found = readRules(C);
    R.Unreachable = !Found;
    if (Found) {
      switch (classifyReadBack(R.Base, Text, *Found)) {
      case ReadBackResult::TextInForce:
        R.Result = ApplyResult::NotConfirmed;
        R.Version = Found->Version;
        return R;
      case ReadBackResult::Conflict:
        return conflictReport(C, std::move(R), *Found, Text);
      case ReadBackResult::LaterVersion:
        R.Detail = absl::StrFormat("version %d with another text is in force", Found->Version);
        return R;
      case ReadBackResult::BaseInForce:
        break;
      }
    }
    if (monotonicNow() + RetryInterval >= Deadline) {
      if (Found)
        absl::StrAppendFormat(&R.Detail, "; version %d is still in force", Found->Version);
      return R;
    }
    absl::SleepFor(RetryInterval);
  }
}

// Writes the text by compare-and-set. The result is NotConfirmed if the text was written.
ApplyReport writeRules(Context &C, ApplyReport R, const std::string &Text) {
  platform::WriteOutcome W = C.Platform.compareAndSet(std::string(RulesKey), R.Base, Text);
  R.Detail = W.Detail;
  switch (W.Status) {
  case platform::WriteStatus::Written:
    R.Result = ApplyResult::NotConfirmed;
    R.Version = W.Version;
    return R;
  case platform::WriteStatus::NotWritten:
    R.Unreachable = true;
    return R;
  case platform::WriteStatus::Unknown:
    return readBack(C, std::move(R), Text);
  case platform::WriteStatus::Conflict:
    break;
  }
  if (auto InForce = readRules(C))
    return conflictReport(C, std::move(R), *InForce, Text);
  R.Detail = absl::StrFormat("version %d is in force, not the base version %d", W.Version, R.Base);
  return R;
}

std::vector<Peer> livePeers(const std::vector<platform::InstanceRow> &Instances) {
  std::vector<Peer> Out;
  for (const platform::InstanceRow &Row : Instances)
    if (!Row.Leaving)
      Out.push_back(peerOf(Row));
  return Out;
}

// Queries the instances until all live ones have the version or the confirm timeout has passed.
void waitForConfirmation(Context &C, ApplyReport &R) {
  Instant Deadline = monotonicNow() + C.ConfirmTimeout;
  Instant NextList = monotonicNow();
  proto::Envelope Request;
  Request.mutable_status_request();
  Confirmation State(R.Version);
  R.Unreachable = true;
  for (;;) {
    State.beginRound();
    if (monotonicNow() >= NextList) {
      auto Instances = capture([&] { return C.Platform.instances(); });
      R.Detail = Instances ? "" : Instances.Problem.Message;
      R.Unreachable = R.Unreachable && !Instances;
      if (Instances)
        State.setListed(livePeers(*Instances));
      NextList = monotonicNow() + ListReadInterval;
    }
    Instant RoundEnd = std::min(Deadline, monotonicNow() + std::min(C.Timeout, MaxRoundDuration));
    for (const Answer &A :
         queryAll(State.peersToQuery(), Request, proto::Envelope::kStatusReply, RoundEnd))
      State.recordAnswer(A);
    State.endRound();
    // A last round too short for answers would replace the causes from earlier answers by
    // time-outs.
    if (State.complete() || monotonicNow() + 2 * RetryInterval >= Deadline)
      break;
    absl::SleepFor(RetryInterval);
  }
  R.Result = State.complete() ? ApplyResult::InForce : ApplyResult::NotConfirmed;
  R.LiveCount = State.instanceCount();
  R.Unconfirmed = State.unconfirmed();
}

void printProgress(const Context &C, const std::string &Text) {
  if (!C.AsJson)
    C.Out << Text << std::flush;
}

int printReport(const Context &C, const ApplyReport &R) {
  C.print(applyText(R), applyJson(R));
  return applyExitCode(R);
}

} // namespace

int checkRules(Context &C) {
  RulesFile File = loadFile(C);
  if (File.Problem)
    return File.Problem;
  C.print(absl::StrFormat("%s: correct\n", C.Line.Arguments.at("FILE")),
          {{"file", C.Line.Arguments.at("FILE")}, {"correct", true}});
  return ExitDone;
}

int diffRules(Context &C) {
  RulesFile File = loadFile(C);
  if (File.Problem)
    return File.Problem;
  auto InForce = readRules(C);
  if (!InForce)
    return C.reportError(ExitUnreachable, InForce.Problem.Message);
  std::string Difference = rules::diff(InForce->Value, File.Text);
  std::string Text =
      absl::StrFormat("difference from version %d to %s:\n%s", InForce->Version,
                      C.Line.Arguments.at("FILE"), Difference.empty() ? "none\n" : Difference);
  C.print(Text, {{"version", InForce->Version}, {"difference", Difference}});
  return ExitDone;
}

// Prints the version to Err, so that standard output has only the rules and can be edited and
// applied.
int showRules(Context &C) {
  auto InForce = readRules(C);
  if (!InForce)
    return C.reportError(ExitUnreachable, InForce.Problem.Message);
  C.print(InForce->Value, {{"version", InForce->Version}, {"text", InForce->Value}});
  if (!C.AsJson)
    C.Err << absl::StrFormat("version %d\n", InForce->Version);
  return ExitDone;
}

int applyRules(Context &C) {
  RulesFile File = loadFile(C);
  if (File.Problem)
    return File.Problem;
  ApplyReport R{.Base = static_cast<uint64_t>(C.Line.Settings.integer("base"))};
  auto InForce = readRules(C);
  if (!InForce)
    return C.reportError(ExitUnreachable, InForce.Problem.Message);
  // This is also the case if the command is repeated after an unknown outcome.
  if (InForce->Version > 0 && InForce->Value == File.Text) {
    R.Version = InForce->Version;
    printProgress(
        C, absl::StrFormat("version %d has this text already; nothing is written\n", R.Version));
  } else if (InForce->Version != R.Base) {
    return printReport(C, conflictReport(C, std::move(R), *InForce, File.Text));
  } else {
    R.Difference = rules::diff(InForce->Value, File.Text);
    printProgress(C, absl::StrFormat("difference from version %d:\n%s", R.Base, R.Difference));
    R = writeRules(C, std::move(R), File.Text);
    if (R.Result != ApplyResult::NotConfirmed)
      return printReport(C, R);
    printProgress(C, absl::StrFormat("written as version %d; waiting for instances\n", R.Version));
    storeHistory(C, R.Version, File.Text);
  }
  waitForConfirmation(C, R);
  return printReport(C, R);
}

} // namespace toucan::ctl
