#include "base/settings.h"

#include <doctest/doctest.h>

using namespace toucan;

namespace {

constexpr Setting Table[] = {
    {.Name = "instance-id", .Required = true, .Min = 1, .Max = 64, .Help = "Name."},
    {.Name = "max-callers",
     .Kind = SettingKind::Integer,
     .Default = "100",
     .Min = 1,
     .Max = 1000,
     .Help = "Callers."},
    {.Name = "log-level",
     .Kind = SettingKind::Choice,
     .Default = "info",
     .Choices = "debug|info|warn|error",
     .Help = "Level."},
};

std::string errorOf(const std::vector<std::string> &Args) {
  auto Line = capture(
      [&] { return parseCommandLine("Usage: prog [options]\n", Table, "PROG_", "1.0", Args); });
  return Line ? "" : Line.Problem.Message;
}

} // namespace

// Guards against a start with a value outside its range, and against an error that does not say
// which setting, which value and which range.
TEST_CASE("a wrong value names the setting, the value and the range") {
  std::string Text = errorOf({"--instance-id=a", "--max-callers=5000"});
  CHECK(Text == "setting \"max-callers\": value \"5000\" is not allowed; allowed: 1 to 1000");
  CHECK(errorOf({"--instance-id=a", "--log-level=loud"}).find("debug, info, warn, error") !=
        std::string::npos);
}

TEST_CASE("a missing required setting names the flag and the variable") {
  std::string Text = errorOf({});
  CHECK(Text.find("--instance-id") != std::string::npos);
  CHECK(Text.find("PROG_INSTANCE_ID") != std::string::npos);
}

TEST_CASE("a flag goes before the environment, which goes before the default") {
  std::map<std::string, std::string> Flags = {{"instance-id", "f"}};
  std::map<std::string, std::string> Env = {{"PROG_INSTANCE_ID", "e"}, {"PROG_MAX_CALLERS", "7"}};
  auto Values = capture([&] { return resolveSettings(Table, "PROG_", Flags, Env); });
  REQUIRE(Values);
  CHECK(Values->text("instance-id") == "f");
  CHECK(Values->integer("max-callers") == 7);
  CHECK(Values->text("log-level") == "info");
}

TEST_CASE("an unknown flag is an error, --help is not") {
  CHECK(errorOf({"--no-such-flag=1"}).find("command line") != std::string::npos);
  auto Line = capture([] {
    return parseCommandLine("Usage: prog [options]\n", Table, "PROG_", "1.0", {"--help"});
  });
  REQUIRE(Line);
  REQUIRE(Line->Print.has_value());
  CHECK(Line->Print->find("PROG_MAX_CALLERS") != std::string::npos);
}
