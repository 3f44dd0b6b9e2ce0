#include "ctl/ctl.h"

#include "ctl/commands.h"

#include "absl/strings/str_format.h"

#include <iterator>

namespace toucan::ctl {

namespace {

// docopt parses the section that starts with "Usage:". The text before it is only printed by
// --help.
constexpr std::string_view Usage =
    R"(toucanctl: tool for operators of toucanrun.

Commands:
  status         state, rules version and load of all instances; sums of their counters
  targets        state, role, positions and load of all targets
  sessions       callers' sessions of all instances
  rules check    check a rules file
  rules diff     show the difference from the rules in force to a file
  rules apply    replace version VERSION of the rules by a file and wait until all instances have it
  rules show     print the rules in force; the version goes to standard error
  drain          let an instance finish its work and stop

Exit codes:
  0  done; for "rules apply": all live instances have the version
  1  refused, or not confirmed by all live instances
  2  wrong command line, setting, file name or instance name
  3  the platform or an instance cannot be reached

Usage:
  toucanctl status [options]
  toucanctl targets [options]
  toucanctl sessions [options]
  toucanctl rules check FILE [options]
  toucanctl rules diff FILE [options]
  toucanctl rules apply FILE --base=VERSION [options]
  toucanctl rules show [options]
  toucanctl drain INSTANCE [options]
)";

constexpr Setting Settings[] = {
    {.Name = "platform-url",
     .Default = "http://127.0.0.1:8500",
     .Min = 8,
     .Max = 200,
     .Help = "URL of the platform, http://IP:PORT."},
    {.Name = "timeout-ms",
     .Kind = SettingKind::Integer,
     .Default = "2000",
     .Min = 10,
     .Max = 600'000,
     .Help = "Time in ms for a platform call, and for the answers of all instances together."},
    // The design goal is that a change is in force on all instances within 6 s.
    {.Name = "confirm-ms",
     .Kind = SettingKind::Integer,
     .Default = "10000",
     .Min = 10,
     .Max = 600'000,
     .Help = "Time in ms for all instances to confirm new rules."},
    {.Name = "output",
     .Kind = SettingKind::Choice,
     .Default = "text",
     .Choices = "text|json",
     .Help = "Format of the output."},
    {.Name = "base",
     .Kind = SettingKind::Integer,
     .Min = 0,
     .Max = INT64_MAX,
     .Help = "Version of the rules that FILE was made from, 0 if there are none; required by "
             "rules apply; no other command accepts it."},
};

struct Command {
  std::string_view FirstWord, SecondWord;
  int (*Run)(Context &);
};

constexpr Command Commands[] = {
    {"status", "", showStatus},     {"targets", "", showTargets}, {"sessions", "", showSessions},
    {"rules", "check", checkRules}, {"rules", "diff", diffRules}, {"rules", "apply", applyRules},
    {"rules", "show", showRules},   {"drain", "", drain},
};

int dispatch(Context &C) {
  auto IsGiven = [&](std::string_view Word) {
    return Word.empty() || C.Line.Arguments.contains(std::string(Word));
  };
  for (const Command &Candidate : Commands)
    if (IsGiven(Candidate.FirstWord) && IsGiven(Candidate.SecondWord))
      return Candidate.Run(C);
  return C.reportError(ExitUsage, Usage);
}

} // namespace

int Context::reportError(int Code, std::string_view Text) const {
  this->Err << "toucanctl: " << Text << "\n";
  return Code;
}

void Context::print(const std::string &Text, const Json &Value) const {
  this->Out << (this->AsJson ? jsonText(Value) : Text) << std::flush;
}

int run(const std::vector<std::string> &Args, std::ostream &Out, std::ostream &Err) {
  auto Line = capture(
      [&] { return parseCommandLine(Usage, Settings, "TOUCANCTL_", "toucanctl 0.1.0", Args); });
  if (!Line) {
    Err << "toucanctl: " << Line.Problem.Message << "\n";
    return ExitUsage;
  }
  if (Line->Print) {
    Out << *Line->Print << std::flush;
    return ExitDone;
  }
  absl::Duration Timeout = absl::Milliseconds(Line->Settings.integer("timeout-ms"));
  Context C{.Out = Out,
            .Err = Err,
            .Platform =
                platform::Client({.Url = Line->Settings.text("platform-url"), .Timeout = Timeout}),
            .Timeout = Timeout,
            .ConfirmTimeout = absl::Milliseconds(Line->Settings.integer("confirm-ms")),
            .AsJson = Line->Settings.text("output") == "json",
            .Line = *Line};
  return dispatch(C);
}

} // namespace toucan::ctl
