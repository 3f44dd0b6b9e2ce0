#include "platform/platform.h"

#include "absl/strings/str_format.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>

namespace toucan::platform {

namespace {

using nlohmann::json;

constexpr size_t MaxQuotedBodyBytes = 200; // bytes of a response body that an error message quotes

// Result of one HTTP request.
struct HttpResponse {
  int Status = 0;        // HTTP status code; 0: no response
  bool MayBeSent = true; // false: the platform cannot have received the request
  std::string Body;
  std::string Cause; // why there is no response
};

// Percent-encodes a key or name for a URL path. Slashes are kept because keys contain them.
std::string percentEncode(std::string_view Text) {
  std::string Out;
  for (char C : Text) {
    bool Plain = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') ||
                 std::string_view("-._~/").find(C) != std::string_view::npos;
    if (Plain)
      Out += C;
    else
      absl::StrAppendFormat(&Out, "%%%02X", static_cast<unsigned char>(C));
  }
  return Out;
}

// Returns the error message for a failed request or for a status other than 200.
std::string errorCause(const HttpResponse &Response) {
  if (Response.Status == 0)
    return Response.Cause;
  return absl::StrFormat("HTTP status %d: %s", Response.Status,
                         Response.Body.substr(0, MaxQuotedBodyBytes));
}

// Reads the state of an instance or target; throws if it is neither "live" nor "leaving".
bool parseLeaving(const json &Row) {
  std::string State = Row.at("state");
  if (State != "live" && State != "leaving")
    throw std::invalid_argument(absl::StrFormat("unknown state \"%s\"", State));
  return State == "leaving";
}

member::Place parsePlace(const json &Row) {
  return {.Dc = DataCentre(Row.at("data_centre").get<std::string>()),
          .InRegion = Region(Row.at("region").get<std::string>())};
}

// Text of a value for an error message. dump() recurses, so that a deeply nested value of another
// writer would exhaust the stack.
std::string quoted(const json &Value) {
  return Value.is_structured() ? Value.type_name() : Value.dump();
}

// Reads an integer and checks its range. The JSON library's own conversion would silently drop the
// high bits.
uint32_t parseInteger(const json &Row, const char *Name, uint32_t Min, uint32_t Max) {
  const json &Value = Row.at(Name);
  if (!Value.is_number_integer() || Value < Min || Value > Max)
    throw std::invalid_argument(
        absl::StrFormat("%s is %s, not an integer from %d to %d", Name, quoted(Value), Min, Max));
  return Value.get<uint32_t>();
}

uint64_t parseVersion(const json &Value) {
  if (!Value.is_number_unsigned())
    throw std::invalid_argument(
        absl::StrFormat("row version is %s, not an unsigned integer", quoted(Value)));
  return Value.get<uint64_t>();
}

InstanceRow parseInstance(const json &Row) {
  return {.Id = InstanceId(Row.at("id").get<std::string>()),
          .LinkEndpoint = Row.at("link").get<std::string>(),
          .At = parsePlace(Row),
          .Leaving = parseLeaving(Row)};
}

member::Target parseTarget(const json &Row) {
  return {.Id = TargetId(Row.at("id").get<std::string>()),
          .Host = Row.at("host").get<std::string>(),
          .Port = static_cast<uint16_t>(parseInteger(Row, "port", 1, 65535)),
          .At = parsePlace(Row),
          .Status = parseLeaving(Row) ? rules::TargetState::Leaving : rules::TargetState::Active};
}

member::Group parseGroup(const json &Row) {
  constexpr uint32_t MaxPerTarget = 1'000'000;
  member::Group Out{.Name = DatabaseName(Row.at("name").get<std::string>()),
                    .Targets = {},
                    .SlotsPerTarget = parseInteger(Row, "slots", 1, MaxPerTarget),
                    .ConnectionsPerTarget = parseInteger(Row, "connections", 1, MaxPerTarget)};
  for (const json &Target : Row.at("targets"))
    Out.Targets.push_back(parseTarget(Target));
  return Out;
}

// Returns the body of a transaction that writes one row. dump() throws if the value is not UTF-8.
std::string singleRowTransaction(const std::string &Key, uint64_t Version,
                                 const std::string &Value) {
  json Body;
  Body["checks"] = json::array({{{"key", Key}, {"version", Version}}});
  Body["puts"] = json::array({{{"key", Key}, {"value", Value}}});
  return Body.dump();
}

} // namespace

struct Client::Impl {
  ClientOptions Options;

  std::string url(std::string_view Path) const {
    return absl::StrFormat("%s%s", this->Options.Url, Path);
  }
  boost::leaf::error_id fail(std::string_view Path, std::string_view Cause) const {
    return failure(absl::StrFormat("%s: %s", this->url(Path), Cause));
  }
  HttpResponse call(const char *Method, const std::string &Path,
                    const std::string &Body = "") const;
  HttpResponse callOrThrow(const char *Method, const std::string &Path,
                           const std::string &Body) const;
  WriteOutcome writeOutcome(const HttpResponse &Response, const std::string &Key) const;

  // Applies Read to the parsed body of a GET response. Exceptions become errors.
  template <class Fn>
  auto get(const std::string &Path, const HttpResponse &Response, Fn &&Read) const {
    using T = decltype(Read(json()));
    if (Response.Status != 200)
      return Result<T>(this->fail(Path, errorCause(Response)));
    try {
      return Result<T>(Read(json::parse(Response.Body)));
    } catch (const std::exception &E) {
      return Result<T>(this->fail(Path, absl::StrFormat("invalid response: %s", E.what())));
    }
  }
};

HttpResponse Client::Impl::callOrThrow(const char *Method, const std::string &Path,
                                       const std::string &Body) const {
  httplib::Client Http(this->Options.Url);
  if (!Http.is_valid())
    return {.MayBeSent = false, .Body = {}, .Cause = "the URL is not of the form http://IP:PORT"};
  auto Timeout = absl::ToChronoMicroseconds(this->Options.Timeout);
  Http.set_connection_timeout(Timeout);
  Http.set_read_timeout(Timeout);
  Http.set_write_timeout(Timeout);
  Http.set_tcp_nodelay(true);
  httplib::Request In;
  In.method = Method;
  In.path = Path;
  In.body = Body;
  if (!Body.empty())
    In.set_header("Content-Type", "application/octet-stream");
  // The library's timeout restarts with each part of a response; this deadline does not.
  Instant Deadline = monotonicNow() + 2 * this->Options.Timeout;
  In.progress = [Deadline](uint64_t, uint64_t) { return monotonicNow() < Deadline; };
  httplib::Result Out = Http.send(In);
  if (Out)
    return {.Status = Out->status, .Body = Out->body, .Cause = {}};
  bool Connected =
      Out.error() != httplib::Error::Connection && Out.error() != httplib::Error::ConnectionTimeout;
  return {.MayBeSent = Connected,
          .Body = {},
          .Cause = absl::StrFormat("no response: %s (timeout %s)", httplib::to_string(Out.error()),
                                   absl::FormatDuration(this->Options.Timeout))};
}

HttpResponse Client::Impl::call(const char *Method, const std::string &Path,
                                const std::string &Body) const {
  if (!this->Options.Url.starts_with("http://"))
    return {.MayBeSent = false, .Body = {}, .Cause = "the URL does not start with http://"};
  try {
    return this->callOrThrow(Method, Path, Body);
  } catch (const std::exception &E) {
    return {.Body = {}, .Cause = E.what()};
  }
}

// Decides whether a write took effect. After an invalid response, as after none, this is unknown.
WriteOutcome Client::Impl::writeOutcome(const HttpResponse &Response,
                                        const std::string &Key) const {
  std::string Detail = absl::StrFormat("%s: %s", this->url("/v1/table"), errorCause(Response));
  bool Refused = Response.Status == 503 ||
                 (Response.Status >= 400 && Response.Status < 500 && Response.Status != 409);
  if (!Response.MayBeSent || Refused)
    return {.Status = WriteStatus::NotWritten, .Detail = Detail};
  if (Response.Status != 200 && Response.Status != 409)
    return {.Status = WriteStatus::Unknown, .Detail = Detail};
  try {
    json Body = json::parse(Response.Body);
    if (Response.Status == 200)
      return {.Status = WriteStatus::Written,
              .Version = parseVersion(Body.at("versions").at(Key)),
              .Detail = {}};
    return {
        .Status = WriteStatus::Conflict, .Version = parseVersion(Body.at("version")), .Detail = {}};
  } catch (const std::exception &E) {
    return {.Status = WriteStatus::Unknown,
            .Detail =
                absl::StrFormat("%s: invalid response: %s", this->url("/v1/table"), E.what())};
  }
}

Client::Client(ClientOptions Options) : State(std::make_unique<Impl>()) {
  std::signal(SIGPIPE, SIG_IGN);
  while (Options.Url.ends_with('/'))
    Options.Url.pop_back();
  this->State->Options = std::move(Options);
}

Client::~Client() = default;

Result<std::vector<InstanceRow>> Client::instances() {
  HttpResponse Response = this->State->call("GET", "/v1/instances");
  return this->State->get("/v1/instances", Response, [](const json &Body) {
    std::vector<InstanceRow> Out;
    for (const json &Row : Body.at("instances"))
      Out.push_back(parseInstance(Row));
    return Out;
  });
}

Result<Directory> Client::directory() {
  Directory Out;
  BOOST_LEAF_ASSIGN(Out.Instances, this->instances());
  HttpResponse Response = this->State->call("GET", "/v1/groups");
  BOOST_LEAF_ASSIGN(Out.Groups, this->State->get("/v1/groups", Response, [](const json &Body) {
    std::vector<member::Group> Groups;
    for (const json &Row : Body.at("groups"))
      Groups.push_back(parseGroup(Row));
    return Groups;
  }));
  return Out;
}

Result<Row> Client::read(const std::string &Key) {
  std::string Path = absl::StrFormat("/v1/table/%s", percentEncode(Key));
  HttpResponse Response = this->State->call("GET", Path);
  if (Response.Status == 404)
    return Row{};
  return this->State->get(Path, Response, [](const json &Body) {
    return Row{.Version = parseVersion(Body.at("version")),
               .Value = Body.at("value").get<std::string>()};
  });
}

WriteOutcome Client::compareAndSet(const std::string &Key, uint64_t ExpectedVersion,
                                   const std::string &Value) {
  std::string Body;
  try {
    Body = singleRowTransaction(Key, ExpectedVersion, Value);
  } catch (const std::exception &E) {
    return {.Status = WriteStatus::NotWritten,
            .Detail = absl::StrFormat("cannot encode the value of %s: %s", Key, E.what())};
  }
  return this->State->writeOutcome(this->State->call("POST", "/v1/table", Body), Key);
}

Result<std::string> Client::getObject(const std::string &Name) {
  std::string Path = absl::StrFormat("/v1/objects/%s", percentEncode(Name));
  HttpResponse Response = this->State->call("GET", Path);
  if (Response.Status != 200)
    return this->State->fail(Path, errorCause(Response));
  return Response.Body;
}

Result<void> Client::putObject(const std::string &Name, const std::string &Value) {
  std::string Path = absl::StrFormat("/v1/objects/%s", percentEncode(Name));
  HttpResponse Response = this->State->call("PUT", Path, Value);
  if (Response.Status != 200)
    return this->State->fail(Path, errorCause(Response));
  return {};
}

} // namespace toucan::platform
