// Settings of a caller that the session keeps itself, since a target connection is shared.
#ifndef TOUCAN_SESSION_SETTINGS_H
#define TOUCAN_SESSION_SETTINGS_H

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::session {

// A setting is carried when it has no effect on the target, or when only the value that the target
// uses anyway is allowed.
class SessionSettings {
public:
  enum class Outcome : unsigned char { Done, UnknownName, UnsupportedValue };

  // Names are lower case. An outcome other than Done changes nothing.
  Outcome set(const std::string &Name, const std::string &Value);
  Outcome reset(const std::string &Name);
  void resetAll() { this->Values.clear(); }

  // The value in force; empty optional when the setting is not carried.
  std::optional<std::string> get(const std::string &Name) const;
  // The name as sent in ParameterStatus; empty when changes are not reported.
  static std::string_view reportName(const std::string &Name);

  // From statement_timeout; zero when there is none.
  absl::Duration statementTimeout() const;

private:
  std::map<std::string, std::string> Values; // those set by the caller
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_SETTINGS_H
