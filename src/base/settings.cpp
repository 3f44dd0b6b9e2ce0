#include "base/settings.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace toucan {

namespace {

// Debian builds Abseil with a string_view of its own.
absl::string_view toAbsl(std::string_view Text) { return {Text.data(), Text.size()}; }

std::string environmentName(std::string_view Prefix, std::string_view Name) {
  std::string Upper = absl::AsciiStrToUpper(toAbsl(Name));
  return absl::StrFormat("%s%s", Prefix, absl::StrReplaceAll(Upper, {{"-", "_"}}));
}

// Words for the allowed range of a setting.
std::string rangeText(const Setting &S) {
  switch (S.Kind) {
  case SettingKind::Integer:
    return absl::StrFormat("%d to %d", S.Min, S.Max);
  case SettingKind::Choice:
    return absl::StrReplaceAll(toAbsl(S.Choices), {{"|", ", "}});
  case SettingKind::Text:
    return S.Max > 0 ? absl::StrFormat("%d to %d characters", S.Min, S.Max) : "any text";
  }
  return "";
}

// Decides whether a value lies in the allowed range.
bool inRange(const Setting &S, std::string_view Value) {
  switch (S.Kind) {
  case SettingKind::Integer: {
    int64_t Number = 0;
    return absl::SimpleAtoi(toAbsl(Value), &Number) && Number >= S.Min && Number <= S.Max;
  }
  case SettingKind::Choice: {
    std::vector<std::string> Words = absl::StrSplit(toAbsl(S.Choices), '|');
    return std::find(Words.begin(), Words.end(), Value) != Words.end();
  }
  case SettingKind::Text: {
    int64_t Length = static_cast<int64_t>(Value.size());
    return S.Max == 0 || (Length >= S.Min && Length <= S.Max);
  }
  }
  return false;
}

std::map<std::string, std::string> environmentOf(std::span<const Setting> Table,
                                                 std::string_view Prefix) {
  std::map<std::string, std::string> Found;
  for (const Setting &S : Table) {
    std::string Name = environmentName(Prefix, S.Name);
    if (const char *Value = std::getenv(Name.c_str()))
      Found[Name] = Value;
  }
  return Found;
}

// Moves what docopt found into flags (by setting name) and arguments.
void sortArguments(const std::map<std::string, docopt::value> &Parsed,
                   std::map<std::string, std::string> &Flags,
                   std::map<std::string, std::string> &Arguments) {
  for (const auto &[Name, Value] : Parsed) {
    bool IsFlag = Name.starts_with("--");
    std::string Key = IsFlag ? Name.substr(2) : Name;
    auto &Into = IsFlag ? Flags : Arguments;
    if (Value.isString())
      Into[Key] = Value.asString();
    else if (Value.isBool() && Value.asBool())
      Into[Key] = "true";
    else if (Value.isStringList() && !Value.asStringList().empty())
      Into[Key] = absl::StrJoin(Value.asStringList(), " ");
  }
}

} // namespace

const std::string &SettingValues::text(std::string_view Name) const {
  auto It = this->Values.find(Name);
  assert(It != this->Values.end());
  return It->second;
}

int64_t SettingValues::integer(std::string_view Name) const {
  int64_t Number = 0;
  [[maybe_unused]] bool Ok = absl::SimpleAtoi(this->text(Name), &Number);
  assert(Ok);
  return Number;
}

std::string settingsHelp(std::span<const Setting> Table, std::string_view EnvironmentPrefix) {
  std::string Out = "Options:\n";
  for (const Setting &S : Table) {
    std::string Flag = absl::StrFormat("--%s=VALUE", S.Name);
    // docopt reads "[default: x]" itself, so the default is written in other words.
    std::string Default = S.Required          ? "required"
                          : S.Default.empty() ? "default empty"
                                              : absl::StrFormat("default %s", S.Default);
    absl::StrAppendFormat(&Out, "  %-28s  %s (%s; %s; %s)\n", Flag, S.Help, rangeText(S), Default,
                          environmentName(EnvironmentPrefix, S.Name));
  }
  absl::StrAppendFormat(&Out, "  %-28s  %s\n", "--help", "Print this text and exit.");
  absl::StrAppendFormat(&Out, "  %-28s  %s\n", "--version", "Print the version and exit.");
  return Out;
}

Result<void> checkSetting(const Setting &S, std::string_view Value) {
  if (inRange(S, Value))
    return {};
  return failure(absl::StrFormat("setting \"%s\": value \"%s\" is not allowed; allowed: %s", S.Name,
                                 Value, rangeText(S)));
}

Result<SettingValues> resolveSettings(std::span<const Setting> Table,
                                      std::string_view EnvironmentPrefix,
                                      const std::map<std::string, std::string> &Flags,
                                      const std::map<std::string, std::string> &Environment) {
  SettingValues Out;
  for (const Setting &S : Table) {
    std::string Variable = environmentName(EnvironmentPrefix, S.Name);
    std::string Value(S.Default);
    bool Given = true;
    if (auto Flag = Flags.find(std::string(S.Name)); Flag != Flags.end())
      Value = Flag->second;
    else if (auto Env = Environment.find(Variable); Env != Environment.end())
      Value = Env->second;
    else
      Given = false;
    if (!Given && S.Required)
      return failure(absl::StrFormat("setting \"%s\" is missing; give --%s or %s; allowed: %s",
                                     S.Name, S.Name, Variable, rangeText(S)));
    if (Given)
      BOOST_LEAF_CHECK(checkSetting(S, Value));
    Out.Values.emplace(S.Name, Value);
  }
  return Out;
}

Result<CommandLine> parseCommandLine(std::string_view Usage, std::span<const Setting> Table,
                                     std::string_view EnvironmentPrefix, std::string_view Version,
                                     const std::vector<std::string> &Args) {
  CommandLine Out;
  std::string Text = absl::StrFormat("%s\n%s", Usage, settingsHelp(Table, EnvironmentPrefix));
  for (const std::string &Arg : Args) {
    if (Arg == "--help")
      Out.Print = Text;
    else if (Arg == "--version")
      Out.Print = absl::StrFormat("%s\n", Version);
  }
  if (Out.Print)
    return Out;
  std::map<std::string, std::string> Flags;
  try {
    sortArguments(docopt::docopt_parse(Text, Args, false, false), Flags, Out.Arguments);
  } catch (const std::exception &E) {
    return failure(absl::StrFormat("command line: %s\n%s", E.what(), Usage));
  }
  BOOST_LEAF_AUTO(Values, resolveSettings(Table, EnvironmentPrefix, Flags,
                                          environmentOf(Table, EnvironmentPrefix)));
  Out.Settings = std::move(Values);
  return Out;
}

} // namespace toucan
