// Settings of a program: one table, from which come the flags, the environment variables, the
// checks and the text of --help.
#ifndef TOUCAN_BASE_SETTINGS_H
#define TOUCAN_BASE_SETTINGS_H

#include "base/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace toucan {

enum class SettingKind : uint8_t {
  Text,    // any text; Min and Max bound its length
  Integer, // Min <= value <= Max
  Choice,  // one of the words in Choices, separated by '|'
};

// One row of the settings table. The flag is --<Name>; the environment variable is the prefix,
// then Name in upper case with underscores. A flag goes before the variable.
struct Setting {
  std::string_view Name;
  SettingKind Kind = SettingKind::Text;
  std::string_view Default; // empty and Required: must be given
  bool Required = false;
  int64_t Min = 0;
  int64_t Max = 0;
  std::string_view Choices;
  std::string_view Help; // with the unit
};

// Checked values of all settings.
class SettingValues {
public:
  std::map<std::string, std::string, std::less<>> Values;

  const std::string &text(std::string_view Name) const;
  int64_t integer(std::string_view Name) const;
};

// Text of the options for --help: flag, default, allowed range and environment variable.
std::string settingsHelp(std::span<const Setting> Table, std::string_view EnvironmentPrefix);

// Checks one value; the error names the setting, the value and the allowed range.
Result<void> checkSetting(const Setting &S, std::string_view Value);

// Merges flags over environment over defaults and checks every value.
// Flags and Environment map names (flag name, variable name) to values.
Result<SettingValues> resolveSettings(std::span<const Setting> Table,
                                      std::string_view EnvironmentPrefix,
                                      const std::map<std::string, std::string> &Flags,
                                      const std::map<std::string, std::string> &Environment);

// A parsed command line.
struct CommandLine {
  SettingValues Settings;
  std::map<std::string, std::string> Arguments; // docopt positionals and commands ("true")
  std::optional<std::string> Print;             // text of --help or --version; exit with 0
};

// Parses with docopt. Usage holds the "Usage:" section; the options section comes from the table.
// Fails with docopt's message and the usage on an unknown flag or a missing argument.
Result<CommandLine> parseCommandLine(std::string_view Usage, std::span<const Setting> Table,
                                     std::string_view EnvironmentPrefix, std::string_view Version,
                                     const std::vector<std::string> &Args);

} // namespace toucan

#endif // TOUCAN_BASE_SETTINGS_H
