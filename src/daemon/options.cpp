#include "daemon/options.h"

#include "absl/strings/str_format.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>

namespace toucan::daemon {

namespace {

constexpr int64_t MaxPort = 65535;
constexpr int64_t HourMs = 3'600'000;
constexpr int64_t DayMs = 24 * HourMs;

constexpr Setting portSetting(std::string_view Name, std::string_view Default,
                              std::string_view Help) {
  return {.Name = Name,
          .Kind = SettingKind::Integer,
          .Default = Default,
          .Min = 0,
          .Max = MaxPort,
          .Help = Help};
}

constexpr Setting numberSetting(std::string_view Name, std::string_view Default, int64_t Min,
                                int64_t Max, std::string_view Help) {
  return {.Name = Name,
          .Kind = SettingKind::Integer,
          .Default = Default,
          .Min = Min,
          .Max = Max,
          .Help = Help};
}

constexpr Setting textSetting(std::string_view Name, std::string_view Default, bool Required,
                              std::string_view Help) {
  return {.Name = Name,
          .Default = Default,
          .Required = Required,
          .Min = Required ? 1 : 0,
          .Max = 256,
          .Help = Help};
}

constexpr Setting SettingsTable[] = {
    textSetting("instance-id", "", true,
                "Name of this instance, the same as in the platform's list."),
    textSetting("data-centre", "", true, "Data centre of this instance."),
    textSetting("region", "", true, "Region of this instance."),
    textSetting("platform-url", "http://127.0.0.1:8500", false, "Address of the platform."),
    {.Name = "token-key",
     .Required = true,
     .Min = 16,
     .Max = 256,
     .Help = "Key of the session tokens, the same on all instances; better set by environment."},
    textSetting("listen-host", "127.0.0.1", false, "IP number for callers."),
    portSetting("listen-port", "6432", "Port for callers; 0: chosen by the system."),
    textSetting("link-host", "127.0.0.1", false, "IP number for other instances and toucanctl."),
    portSetting("link-port", "6433",
                "Port for other instances and toucanctl; 0: chosen by the system."),
    textSetting("http-host", "127.0.0.1", false, "IP number for /health and /metrics."),
    portSetting("http-port", "6434", "Port for /health and /metrics; 0: chosen by the system."),
    textSetting("target-user", "toucanrun", false, "User name at the targets."),
    textSetting("target-password", "", false,
                "Password at the targets; better set by environment."),
    numberSetting("max-callers", "20000", 1, 1'000'000,
                  "Largest number of callers connected at the same time."),
    numberSetting("max-frame-bytes", "16777216", 1024, 1'073'741'824,
                  "Largest message of a caller, bytes."),
    numberSetting("memory-limit-mb", "0", 0, 16'777'216,
                  "Memory limit of the process, MB; a quarter of it is for callers; 0: the "
                  "memory of the machine."),
    numberSetting("descriptor-limit", "0", 0, 10'000'000,
                  "File descriptors of the process, a quarter of which, at least 32, is not for "
                  "callers; 0: the limit of the system."),
    numberSetting("startup-timeout-ms", "10000", 100, HourMs,
                  "Time from the connection of a caller to its start-up packet, ms."),
    numberSetting("message-timeout-ms", "120000", 100, HourMs,
                  "Time from the first byte of a caller's message to its end, ms."),
    numberSetting("answer-timeout-ms", "60000", 100, HourMs,
                  "Time in which a caller takes 256 KB of its answers, or all that is left, ms."),
    numberSetting("request-timeout-ms", "30000", 10, DayMs,
                  "Deadline of a request of class short, ms."),
    numberSetting("long-request-timeout-ms", "3600000", 10, DayMs,
                  "Deadline of a request of class long, ms."),
    numberSetting("queue-limit", "1000", 1, 1'000'000,
                  "Largest number of queued requests for each database and class."),
    numberSetting("idle-in-transaction-ms", "60000", 100, DayMs,
                  "Time a transaction may be idle before it is rolled back, ms."),
    numberSetting("confirm-timeout-ms", "5000", 10, HourMs,
                  "Time a majority may take to confirm a write, ms."),
    numberSetting("probe-interval-ms", "300", 10, 60'000,
                  "Interval of status probes of a target, ms."),
    numberSetting("platform-timeout-ms", "2000", 10, 60'000,
                  "Time the platform may take to answer, ms."),
    numberSetting("drain-notice-ms", "1000", 0, HourMs,
                  "Time between not ready and the end of accepting callers, ms."),
    numberSetting("drain-timeout-ms", "30000", 0, DayMs,
                  "Time for requests and transactions under way at shutdown, ms."),
    {.Name = "policy",
     .Kind = SettingKind::Choice,
     .Default = "toucan",
     .Choices = "toucan|baseline",
     .Help = "Strategies for queues and reads after a write; baseline is for comparison only."},
    {.Name = "learn",
     .Kind = SettingKind::Choice,
     .Default = "on",
     .Choices = "on|off",
     .Help = "Derive the class of requests without a class rule from the run times of their "
             "statement."},
    {.Name = "log-level",
     .Kind = SettingKind::Choice,
     .Default = "info",
     .Choices = "debug|info|warn|error",
     .Help = "Lowest level that is logged."},
};

absl::Duration milliseconds(const SettingValues &Values, std::string_view Name) {
  return absl::Milliseconds(Values.integer(Name));
}

uint16_t port(const SettingValues &Values, std::string_view Name) {
  return static_cast<uint16_t>(Values.integer(Name));
}

constexpr uint64_t BytesPerMb = uint64_t{1} << 20;

uint64_t memoryLimitBytes(const SettingValues &Values) {
  auto Given = static_cast<uint64_t>(Values.integer("memory-limit-mb"));
  if (Given > 0)
    return Given * BytesPerMb;
  long Pages = sysconf(_SC_PHYS_PAGES);
  long PageBytes = sysconf(_SC_PAGESIZE);
  return Pages > 0 && PageBytes > 0
             ? static_cast<uint64_t>(Pages) * static_cast<uint64_t>(PageBytes)
             : 0;
}

uint64_t descriptorLimit(const SettingValues &Values) {
  auto Given = static_cast<uint64_t>(Values.integer("descriptor-limit"));
  rlimit System{};
  if (getrlimit(RLIMIT_NOFILE, &System) != 0 || System.rlim_cur == RLIM_INFINITY)
    return Given;
  return Given > 0 ? std::min<uint64_t>(Given, System.rlim_cur) : System.rlim_cur;
}

} // namespace

const std::string_view Usage = R"(toucanrund: database proxy with session consistency.

Usage:
  toucanrund [options]
  toucanrund --help
  toucanrund --version

Exit codes: 0 shut down after all requests finished, 1 start failed or requests were interrupted at
the drain deadline, 2 wrong setting or command line.
)";

std::span<const Setting> settingsTable() { return SettingsTable; }

Result<void> checkLimits(const SettingValues &V) {
  // A message of the largest size, with its copies, fits into the quarter for callers.
  constexpr int64_t Divisor = 16;
  int64_t Mb = V.integer("memory-limit-mb");
  int64_t Frame = V.integer("max-frame-bytes");
  int64_t Allowed = Mb * static_cast<int64_t>(BytesPerMb) / Divisor;
  if (Mb == 0 || Frame <= Allowed)
    return {};
  return failure(absl::StrFormat("setting \"max-frame-bytes\": value \"%d\" is not allowed with "
                                 "memory-limit-mb %d; allowed: at most %d",
                                 Frame, Mb, Allowed));
}

DaemonOptions makeOptions(const SettingValues &V, uint64_t Incarnation) {
  InstanceId Self(V.text("instance-id"));
  const Policy *ChosenPolicy = policyNamed(V.text("policy"));
  assert(ChosenPolicy && "the setting policy must be a name in the policy table");
  return {
      .Self = Self,
      .Incarnation = Incarnation,
      .At = {.Dc = DataCentre(V.text("data-centre")), .InRegion = Region(V.text("region"))},
      .LogLevel = V.text("log-level"),
      .HttpHost = V.text("http-host"),
      .HttpPort = port(V, "http-port"),
      .LinkHost = V.text("link-host"),
      .DrainNotice = milliseconds(V, "drain-notice-ms"),
      .DrainTimeout = milliseconds(V, "drain-timeout-ms"),
      .Entry = {.Self = Self,
                .ListenHost = V.text("listen-host"),
                .ListenPort = port(V, "listen-port"),
                .MaxCallers = static_cast<size_t>(V.integer("max-callers")),
                .MaxFrameBytes = static_cast<size_t>(V.integer("max-frame-bytes")),
                .MemoryLimitBytes = memoryLimitBytes(V),
                .DescriptorLimit = descriptorLimit(V),
                .TokenKey = V.text("token-key"),
                .RequestTimeout = milliseconds(V, "request-timeout-ms"),
                .LongRequestTimeout = milliseconds(V, "long-request-timeout-ms"),
                .StartupTimeout = milliseconds(V, "startup-timeout-ms"),
                .MessageTimeout = milliseconds(V, "message-timeout-ms"),
                .AnswerTimeout = milliseconds(V, "answer-timeout-ms"),
                .Seed = Incarnation,
                .Reads = ChosenPolicy->Reads},
      .Pool = {.Self = Self,
               .TargetUser = V.text("target-user"),
               .TargetPassword = V.text("target-password"),
               .QueueLimit = static_cast<size_t>(V.integer("queue-limit")),
               .ConfirmTimeout = milliseconds(V, "confirm-timeout-ms"),
               .IdleInTransaction = milliseconds(V, "idle-in-transaction-ms"),
               .LearnWorkClass = V.text("learn") == "on",
               .Seed = Incarnation,
               .Order = ChosenPolicy->Order},
      .Group = {.Self = Self,
                .Incarnation = Incarnation,
                .TargetUser = V.text("target-user"),
                .TargetPassword = V.text("target-password"),
                .ProbeInterval = milliseconds(V, "probe-interval-ms"),
                .ProbeTimeout = milliseconds(V, "probe-interval-ms"),
                .Seed = Incarnation},
      .Link = {.Self = Self,
               .Incarnation = Incarnation,
               .Host = V.text("link-host"),
               .Port = port(V, "link-port")},
      .Platform = {.Url = V.text("platform-url"),
                   .Timeout = milliseconds(V, "platform-timeout-ms")},
  };
}

} // namespace toucan::daemon
