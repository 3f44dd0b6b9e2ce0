// Session settings that the proxy stores per caller, since target connections are shared.
#ifndef TOUCAN_SESSION_SETTINGS_H
#define TOUCAN_SESSION_SETTINGS_H

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::session {

// Supports settings that have no effect on the target, and settings of which only the value that
// the target already uses is allowed.
class SessionSettings {
public:
  enum class Outcome : unsigned char { Done, UnknownName, UnsupportedValue };

  // Names must be in lower case. The settings are unchanged unless the outcome is Done.
  Outcome set(const std::string &Name, const std::string &Value);
  Outcome reset(const std::string &Name);
  void resetAll() { this->Values.clear(); }

  // Returns the current value, or nullopt when the setting is not supported.
  std::optional<std::string> get(const std::string &Name) const;
  // Returns the name used in ParameterStatus; empty when changes are not reported to the caller.
  static std::string_view reportName(const std::string &Name);

  // Returns the value of statement_timeout; zero when no timeout is set.
  absl::Duration statementTimeout() const;

private:
  std::map<std::string, std::string> Values; // set by the caller, by name
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SETTINGS_H
