#include "session/settings.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

#include <algorithm>
#include <array>

namespace toucan::session {

namespace {

constexpr size_t MaxValueBytes = 256;

struct SettingSpec {
  std::string_view Name;
  std::string_view ReportName; // name in ParameterStatus; empty: not reported
  std::string_view Default;
  // Allowed values in lower case, separated by '|'; empty: any value.
  std::string_view Allowed;
};

// A setting with a list of allowed values is fixed to what a target uses; another value would
// change query results.
constexpr std::array<SettingSpec, 19> Specs = {{
    {"application_name", "application_name", "", ""},
    {"bytea_output", "", "hex", "hex"},
    {"client_encoding", "client_encoding", "UTF8", "utf8|utf-8|unicode|'utf8'|'utf-8'"},
    {"client_min_messages", "", "notice", ""},
    {"datestyle", "DateStyle", "ISO, MDY", "iso|iso, mdy|iso,mdy"},
    {"default_transaction_isolation", "", "read committed", "read committed"},
    {"default_transaction_read_only", "default_transaction_read_only", "off", "off|false|0"},
    {"extra_float_digits", "", "1", "1|2|3"},
    {"integer_datetimes", "integer_datetimes", "on", "on"},
    {"intervalstyle", "IntervalStyle", "postgres", "postgres"},
    {"lock_timeout", "", "0", "0"},
    {"row_security", "", "on", "on"},
    {"search_path", "", "\"$user\", public", "public|\"$user\", public|$user, public"},
    {"server_encoding", "server_encoding", "UTF8", "utf8"},
    {"server_version", "server_version", "15.0", "15.0"},
    {"standard_conforming_strings", "standard_conforming_strings", "on", "on|true|1"},
    {"statement_timeout", "", "0", ""},
    {"timezone", "TimeZone", "UTC", "utc|etc/utc|gmt"},
    {"toucanrun.request_id", "", "", ""},
}};

const SettingSpec *findSpec(std::string_view Name) {
  const auto *It = std::find_if(Specs.begin(), Specs.end(),
                                [&](const SettingSpec &Spec) { return Spec.Name == Name; });
  return It == Specs.end() ? nullptr : &*It;
}

bool isAllowed(std::string_view List, std::string_view Value) {
  if (List.empty())
    return true;
  while (true) {
    size_t Bar = List.find('|');
    if (List.substr(0, Bar) == Value)
      return true;
    if (Bar == std::string_view::npos)
      return false;
    List.remove_prefix(Bar + 1);
  }
}

// Parses a timeout in PostgreSQL syntax: a number with the unit ms, s, min or h; without a unit it
// is in milliseconds.
std::optional<absl::Duration> parseTimeout(const std::string &Text) {
  size_t Digits = std::min(Text.find_first_not_of("0123456789"), Text.size());
  int64_t Number = 0;
  if (Digits == 0 || !absl::SimpleAtoi(Text.substr(0, Digits), &Number))
    return std::nullopt;
  std::string Unit = Text.substr(Digits);
  absl::StripAsciiWhitespace(&Unit);
  if (Unit.empty() || Unit == "ms")
    return absl::Milliseconds(Number);
  if (Unit == "s")
    return absl::Seconds(Number);
  if (Unit == "min")
    return absl::Minutes(Number);
  return Unit == "h" ? std::optional(absl::Hours(Number)) : std::nullopt;
}

} // namespace

SessionSettings::Outcome SessionSettings::set(const std::string &Name, const std::string &Value) {
  const SettingSpec *Spec = findSpec(Name);
  if (!Spec)
    return Outcome::UnknownName;
  std::string Lower = Value;
  absl::AsciiStrToLower(&Lower);
  bool Valid = Value.size() <= MaxValueBytes && Value.find('\0') == std::string::npos &&
               isAllowed(Spec->Allowed, Lower);
  if (!Valid || (Name == "statement_timeout" && !parseTimeout(Value)))
    return Outcome::UnsupportedValue;
  // Other spellings of a fixed value are not stored, so that SHOW returns the canonical spelling.
  if (Spec->Allowed.empty() || Name == "extra_float_digits" || Name == "search_path")
    this->Values[Name] = Value;
  return Outcome::Done;
}

SessionSettings::Outcome SessionSettings::reset(const std::string &Name) {
  if (Name == "all") {
    this->resetAll();
    return Outcome::Done;
  }
  if (!findSpec(Name))
    return Outcome::UnknownName;
  this->Values.erase(Name);
  return Outcome::Done;
}

std::optional<std::string> SessionSettings::get(const std::string &Name) const {
  const SettingSpec *Spec = findSpec(Name);
  if (!Spec)
    return std::nullopt;
  auto It = this->Values.find(Name);
  return It == this->Values.end() ? std::string(Spec->Default) : It->second;
}

std::string_view SessionSettings::reportName(const std::string &Name) {
  const SettingSpec *Spec = findSpec(Name);
  return Spec ? Spec->ReportName : std::string_view();
}

absl::Duration SessionSettings::statementTimeout() const {
  auto It = this->Values.find("statement_timeout");
  if (It == this->Values.end())
    return absl::ZeroDuration();
  return parseTimeout(It->second).value_or(absl::ZeroDuration());
}

} // namespace toucan::session
