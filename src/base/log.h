// Structured logs: one event a line, key=value pairs, through log4cplus.
#ifndef TOUCAN_BASE_LOG_H
#define TOUCAN_BASE_LOG_H

#include "base/error.h"
#include "base/ids.h"

#include "absl/strings/str_cat.h"

#include <string>
#include <string_view>
#include <type_traits>

namespace toucan {

enum class LogLevel { Debug, Info, Warn, Error };

struct LogOptions {
  std::string Level = "info"; // debug, info, warn or error
  std::string Instance;       // added to each line as instance=
  // Standard output, without blocking: a line that a full pipe does not take is dropped and
  // counted. Otherwise standard error.
  bool ToStandardOutput = false;
};

// Sends log lines to standard error. Fails on an unknown level.
Result<void> startLogging(const LogOptions &Options);
// Flushes and closes the appender.
void stopLogging();

// Bounds the lines about single requests, which a burst would otherwise multiply: RequestLinesPerS
// in a second, and as many again at once. Suppressed lines are counted in a line of their own. Used
// by one thread.
class RequestLog {
public:
  // Whether the line may be written now.
  bool allows(Instant Now);

private:
  double Tokens = 0;
  Instant FilledAt = absl::InfinitePast();
  uint64_t Suppressed = 0;
};

// Lines about requests in a second; a burst of failures fills a few seconds of log at this rate.
inline constexpr double RequestLinesPerS = 50;

// Builds one log line and writes it when destroyed:
//   LogEvent(LogLevel::Info, "caller_open").kv("session", 7).kv("address", Address);
class LogEvent {
public:
  LogEvent(LogLevel Level, std::string_view Event);
  ~LogEvent();
  LogEvent(const LogEvent &) = delete;
  LogEvent &operator=(const LogEvent &) = delete;

  // Adds a pair; text with a blank, quote, equals sign or control character is quoted.
  LogEvent &kv(std::string_view Key, std::string_view Value);
  LogEvent &kv(std::string_view Key, const char *Value) {
    return this->kv(Key, std::string_view(Value));
  }
  template <class Number>
  requires std::is_arithmetic_v<Number> LogEvent &kv(std::string_view Key, Number Value) {
    if constexpr (std::is_same_v<Number, bool>)
      return this->kv(Key, std::string_view(Value ? "true" : "false"));
    else
      return this->kv(Key, std::string_view(absl::StrCat(Value)));
  }

private:
  LogLevel Level;
  bool Enabled;
  std::string Line;
};

} // namespace toucan

#endif // TOUCAN_BASE_LOG_H
