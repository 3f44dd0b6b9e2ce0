#include "settings_map.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

#include <array>
#include <string_view>

namespace toucan::standin {

namespace {

struct Known {
  std::string_view Name; // spelled as in ParameterStatus
  std::string_view Default;
  bool Reported = false; // sent to the client as ParameterStatus
  bool Fixed = false;    // SET is refused
};

constexpr std::array KnownSettings = {
    Known{"server_version", "15.0 (standin)", true, true},
    Known{"server_encoding", "UTF8", true, true},
    Known{"client_encoding", "UTF8", true},
    Known{"application_name", "", true},
    Known{"DateStyle", "ISO, MDY", true},
    Known{"IntervalStyle", "postgres", true},
    Known{"TimeZone", "UTC", true},
    Known{"integer_datetimes", "on", true, true},
    Known{"standard_conforming_strings", "on", true},
    Known{"is_superuser", "off", true, true},
    Known{"session_authorization", "standin", true, true},
    Known{"default_transaction_read_only", "off", true},
    Known{"in_hot_standby", "off", true, true},
    Known{"transaction_isolation", "read committed"},
    Known{"default_transaction_isolation", "read committed"},
    Known{"transaction_read_only", "off"},
    Known{"statement_timeout", "0"},
    Known{"lock_timeout", "0"},
    Known{"idle_in_transaction_session_timeout", "0"},
    Known{"search_path", "\"$user\", public"},
    Known{"extra_float_digits", "1"},
    Known{"work_mem", "4MB"},
    Known{"bytea_output", "hex"},
    Known{"client_min_messages", "notice"},
    Known{"group_term", ""},
};

std::string lower(std::string_view Name) {
  return absl::AsciiStrToLower(absl::string_view(Name.data(), Name.size()));
}

const Known *find(const std::string &Name) {
  for (const Known &K : KnownSettings)
    if (lower(K.Name) == Name)
      return &K;
  return nullptr;
}

SqlError unknown(const std::string &Name) {
  return {.State = "42704",
          .Message = absl::StrFormat("unrecognized configuration parameter \"%s\"", Name)};
}

} // namespace

SettingsMap::SettingsMap() {
  for (const Known &K : KnownSettings)
    this->Values[lower(K.Name)] = K.Default;
  this->AtStart = this->Values;
}

std::optional<SqlError> SettingsMap::start(const std::string &Name, const std::string &Value) {
  if (find(Name) == nullptr && Name.find('.') == std::string::npos)
    return unknown(Name);
  this->Values[Name] = this->AtStart[Name] = Value;
  return std::nullopt;
}

std::optional<SqlError> SettingsMap::set(const std::string &Name, const std::string &Value,
                                         bool Local) {
  const Known *K = find(Name);
  if (K == nullptr && Name.find('.') == std::string::npos)
    return unknown(Name);
  if (K != nullptr && (K->Fixed || Name == "group_term"))
    return SqlError{.State = "55P02",
                    .Message = absl::StrFormat("parameter \"%s\" cannot be changed", Name)};
  std::string Upper = absl::AsciiStrToUpper(Value);
  bool Default = Value.empty() || Upper == "DEFAULT";
  if (Name == "client_encoding" && !Default && Upper != "UTF8" && Upper != "UTF-8" &&
      Upper != "UNICODE")
    return SqlError{.State = "22023",
                    .Message = absl::StrFormat("client_encoding \"%s\" is not supported", Value)};
  const std::string &New = Default ? this->AtStart[Name] : Value;
  this->Values[Name] = New;
  if (this->AfterCommit && !Local)
    (*this->AfterCommit)[Name] = New;
  return std::nullopt;
}

std::optional<std::string> SettingsMap::get(const std::string &Name) const {
  auto At = this->Values.find(Name);
  return At == this->Values.end() ? std::nullopt : std::optional(At->second);
}

void SettingsMap::reset(const std::string &Name) {
  if (Name == "all") {
    this->Values = this->AtStart;
    if (this->AfterCommit)
      this->AfterCommit = this->AtStart;
  } else {
    this->set(Name, "", false);
  }
}

void SettingsMap::endBlock(bool Committed) {
  if (this->AtBegin)
    this->Values = Committed ? *this->AfterCommit : *this->AtBegin;
  this->AtBegin = this->AfterCommit = std::nullopt;
}

std::vector<std::pair<std::string, std::string>> SettingsMap::takeChanges() {
  std::vector<std::pair<std::string, std::string>> Out;
  for (const Known &K : KnownSettings) {
    const std::string &Value = this->Values[lower(K.Name)];
    auto At = this->Reported.find(lower(K.Name));
    if (!K.Reported || (At != this->Reported.end() && At->second == Value))
      continue;
    this->Reported[lower(K.Name)] = Value;
    Out.emplace_back(K.Name, Value);
  }
  return Out;
}

} // namespace toucan::standin
