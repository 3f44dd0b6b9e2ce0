#include "settings_map.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

#include <array>
#include <string_view>

namespace toucan::standin {

namespace {

struct SettingInfo {
  std::string_view Name; // spelled as in ParameterStatus
  std::string_view Default;
  bool IsReported = false; // sent to the client as ParameterStatus
  bool IsFixed = false;    // SET is refused
};

constexpr std::array KnownSettings = {
    SettingInfo{"server_version", "15.0 (standin)", true, true},
    SettingInfo{"server_encoding", "UTF8", true, true},
    SettingInfo{"client_encoding", "UTF8", true},
    SettingInfo{"application_name", "", true},
    SettingInfo{"DateStyle", "ISO, MDY", true},
    SettingInfo{"IntervalStyle", "postgres", true},
    SettingInfo{"TimeZone", "UTC", true},
    SettingInfo{"integer_datetimes", "on", true, true},
    SettingInfo{"standard_conforming_strings", "on", true},
    SettingInfo{"is_superuser", "off", true, true},
    SettingInfo{"session_authorization", "standin", true, true},
    SettingInfo{"default_transaction_read_only", "off", true},
    SettingInfo{"in_hot_standby", "off", true, true},
    SettingInfo{"transaction_isolation", "read committed"},
    SettingInfo{"default_transaction_isolation", "read committed"},
    SettingInfo{"transaction_read_only", "off"},
    SettingInfo{"statement_timeout", "0"},
    SettingInfo{"lock_timeout", "0"},
    SettingInfo{"idle_in_transaction_session_timeout", "0"},
    SettingInfo{"search_path", "\"$user\", public"},
    SettingInfo{"extra_float_digits", "1"},
    SettingInfo{"work_mem", "4MB"},
    SettingInfo{"bytea_output", "hex"},
    SettingInfo{"client_min_messages", "notice"},
    SettingInfo{"group_term", ""},
};

std::string lower(std::string_view Name) {
  return absl::AsciiStrToLower(absl::string_view(Name.data(), Name.size()));
}

const SettingInfo *findSetting(const std::string &Name) {
  for (const SettingInfo &K : KnownSettings)
    if (lower(K.Name) == Name)
      return &K;
  return nullptr;
}

SqlError unknownSettingError(const std::string &Name) {
  return {.State = "42704",
          .Message = absl::StrFormat("unrecognized configuration parameter \"%s\"", Name)};
}

} // namespace

SettingsMap::SettingsMap() {
  for (const SettingInfo &K : KnownSettings)
    this->Values[lower(K.Name)] = K.Default;
  this->StartValues = this->Values;
}

std::optional<SqlError> SettingsMap::setStartValue(const std::string &Name,
                                                   const std::string &Value) {
  if (findSetting(Name) == nullptr && Name.find('.') == std::string::npos)
    return unknownSettingError(Name);
  this->Values[Name] = this->StartValues[Name] = Value;
  return std::nullopt;
}

std::optional<SqlError> SettingsMap::set(const std::string &Name, const std::string &Value,
                                         bool Local) {
  const SettingInfo *K = findSetting(Name);
  if (K == nullptr && Name.find('.') == std::string::npos)
    return unknownSettingError(Name);
  if (K != nullptr && (K->IsFixed || Name == "group_term"))
    return SqlError{.State = "55P02",
                    .Message = absl::StrFormat("parameter \"%s\" cannot be changed", Name)};
  std::string Upper = absl::AsciiStrToUpper(Value);
  bool Default = Value.empty() || Upper == "DEFAULT";
  if (Name == "client_encoding" && !Default && Upper != "UTF8" && Upper != "UTF-8" &&
      Upper != "UNICODE")
    return SqlError{.State = "22023",
                    .Message = absl::StrFormat("client_encoding \"%s\" is not supported", Value)};
  const std::string &New = Default ? this->StartValues[Name] : Value;
  this->Values[Name] = New;
  if (this->ValuesAfterCommit && !Local)
    (*this->ValuesAfterCommit)[Name] = New;
  return std::nullopt;
}

std::optional<std::string> SettingsMap::get(const std::string &Name) const {
  auto At = this->Values.find(Name);
  return At == this->Values.end() ? std::nullopt : std::optional(At->second);
}

void SettingsMap::reset(const std::string &Name) {
  if (Name == "all") {
    this->Values = this->StartValues;
    if (this->ValuesAfterCommit)
      this->ValuesAfterCommit = this->StartValues;
  } else {
    this->set(Name, "", false);
  }
}

void SettingsMap::endBlock(bool Committed) {
  if (this->ValuesAtBegin)
    this->Values = Committed ? *this->ValuesAfterCommit : *this->ValuesAtBegin;
  this->ValuesAtBegin = this->ValuesAfterCommit = std::nullopt;
}

std::vector<std::pair<std::string, std::string>> SettingsMap::takeChangedSettings() {
  std::vector<std::pair<std::string, std::string>> Out;
  for (const SettingInfo &K : KnownSettings) {
    const std::string &Value = this->Values[lower(K.Name)];
    auto At = this->ReportedValues.find(lower(K.Name));
    if (!K.IsReported || (At != this->ReportedValues.end() && At->second == Value))
      continue;
    this->ReportedValues[lower(K.Name)] = Value;
    Out.emplace_back(K.Name, Value);
  }
  return Out;
}

} // namespace toucan::standin
