#include "daemon/options.h"

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
                .TokenKey = V.text("token-key"),
                .RequestTimeout = milliseconds(V, "request-timeout-ms"),
                .LongRequestTimeout = milliseconds(V, "long-request-timeout-ms"),
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
