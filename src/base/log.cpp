#include "base/log.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>

namespace toucan {

namespace {

struct LevelRow {
  std::string_view Name;
  LogLevel Level;
  int Log4cplusLevel;
};

constexpr std::array<LevelRow, 4> Levels = {{
    {"debug", LogLevel::Debug, log4cplus::DEBUG_LOG_LEVEL},
    {"info", LogLevel::Info, log4cplus::INFO_LOG_LEVEL},
    {"warn", LogLevel::Warn, log4cplus::WARN_LOG_LEVEL},
    {"error", LogLevel::Error, log4cplus::ERROR_LOG_LEVEL},
}};

const LevelRow &row(LogLevel Level) { return Levels[static_cast<size_t>(Level)]; }

std::unique_ptr<log4cplus::Initializer> Library;
std::string InstancePair;

log4cplus::Logger &logger() {
  static log4cplus::Logger Root = log4cplus::Logger::getInstance("toucanrun");
  return Root;
}

// Writes lines to standard output without waiting for its reader.
class OutputAppender : public log4cplus::Appender {
public:
  OutputAppender() { fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }
  ~OutputAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::string Line = this->formatEvent(Event);
    if (this->Dropped > 0)
      Line = absl::StrFormat("event=log_lines_dropped count=%d\n%s", this->Dropped, Line);
    // A pipe takes a line of this size whole or not at all.
    if (Line.size() > PIPE_BUF) {
      Line.resize(PIPE_BUF - 1);
      Line += '\n';
    }
    if (write(STDOUT_FILENO, Line.data(), Line.size()) < 0)
      ++this->Dropped;
    else
      this->Dropped = 0;
  }

private:
  uint64_t Dropped = 0;
};

bool needsQuotes(std::string_view Text) {
  return Text.empty() || Text.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

} // namespace

Result<void> startLogging(const LogOptions &Options) {
  for (const LevelRow &Row : Levels) {
    if (Row.Name != Options.Level)
      continue;
    Library = std::make_unique<log4cplus::Initializer>();
    log4cplus::SharedAppenderPtr Console;
    if (Options.ToStandardOutput)
      Console = new OutputAppender();
    else // immediate flush, to standard error
      Console = new log4cplus::ConsoleAppender(true, true);
    Console->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    logger().setAdditivity(false);
    logger().removeAllAppenders();
    logger().addAppender(Console);
    logger().setLogLevel(Row.Log4cplusLevel);
    InstancePair = Options.Instance.empty() ? "" : absl::StrCat(" instance=", Options.Instance);
    return {};
  }
  return failure(
      absl::StrFormat("log level \"%s\" is not one of debug, info, warn, error", Options.Level));
}

void stopLogging() {
  if (!Library)
    return;
  logger().removeAllAppenders();
  Library.reset();
}

bool RequestLog::allows(Instant Now) {
  double Refill = this->FilledAt == absl::InfinitePast()
                      ? RequestLinesPerS
                      : absl::ToDoubleSeconds(Now - this->FilledAt) * RequestLinesPerS;
  this->FilledAt = Now;
  this->Tokens = std::min(this->Tokens + Refill, RequestLinesPerS);
  if (this->Tokens < 1) {
    ++this->Suppressed;
    return false;
  }
  this->Tokens -= 1;
  if (this->Suppressed > 0)
    LogEvent(LogLevel::Warn, "request_lines_suppressed").kv("count", this->Suppressed);
  this->Suppressed = 0;
  return true;
}

// Without startLogging (unit tests) nothing is written.
LogEvent::LogEvent(LogLevel Level, std::string_view Event)
    : Level(Level), Enabled(Library && logger().isEnabledFor(row(Level).Log4cplusLevel)) {
  if (this->Enabled)
    this->Line = absl::StrFormat("event=%s%s", Event, InstancePair);
}

LogEvent &LogEvent::kv(std::string_view Key, std::string_view Value) {
  if (!this->Enabled)
    return *this;
  absl::string_view Text(Value.data(), Value.size());
  if (needsQuotes(Value))
    absl::StrAppendFormat(&this->Line, " %s=\"%s\"", Key, absl::CEscape(Text));
  else
    absl::StrAppendFormat(&this->Line, " %s=%s", Key, Text);
  return *this;
}

LogEvent::~LogEvent() {
  if (this->Enabled)
    logger().log(row(this->Level).Log4cplusLevel, this->Line);
}

} // namespace toucan
