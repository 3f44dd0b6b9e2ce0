#include "server.h"

#include "base/ids.h"
#include "store.h"

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <mutex>
#include <optional>
#include <thread>

namespace toucan::standin {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

// Each keep-alive connection and each delayed response occupies a thread.
constexpr size_t ServerThreadCount = 128;
constexpr int64_t MaxFaultMs = 3'600'000;
constexpr int64_t MaxLostAnswers = 1'000'000;
constexpr int MaxDescriptors = 4096;
constexpr absl::Duration DelaySlice = absl::Milliseconds(5); // how long stop() waits for a delay

void setJsonResponse(Response &Out, int Status, const json &Body) {
  Out.status = Status;
  Out.set_content(Body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

int portOf(const sockaddr_storage &Address) {
  if (Address.ss_family == AF_INET)
    return ntohs(reinterpret_cast<const sockaddr_in &>(Address).sin_port);
  return -1;
}

// Shuts down the connection of a request, so that the response is lost. cpp-httplib does not expose
// the descriptor of the connection, so this searches for it by its two ports.
void dropConnection(const Request &In, int ServerPort) {
  for (int Fd = 0; Fd < MaxDescriptors; ++Fd) {
    sockaddr_storage Peer{}, Self{};
    socklen_t PeerSize = sizeof Peer, SelfSize = sizeof Self;
    if (getpeername(Fd, reinterpret_cast<sockaddr *>(&Peer), &PeerSize) != 0 ||
        getsockname(Fd, reinterpret_cast<sockaddr *>(&Self), &SelfSize) != 0)
      continue;
    if (portOf(Peer) == In.remote_port && portOf(Self) == ServerPort)
      shutdown(Fd, SHUT_RDWR);
  }
}

int64_t parseFaultValue(const json &Body, const char *Name, int64_t Max) {
  int64_t Value = Body.value(Name, int64_t{0});
  if (Value < 0 || Value > Max)
    throw std::invalid_argument(
        absl::StrFormat("%s is %d, not an integer from 0 to %d", Name, Value, Max));
  return Value;
}

Faults parseFaults(const json &Body) {
  return {.Down = Body.value("down", false),
          .DelayMs = parseFaultValue(Body, "delay_ms", MaxFaultMs),
          .LoseAnswers = parseFaultValue(Body, "lose_answers", MaxLostAnswers),
          .ListLagMs = parseFaultValue(Body, "list_lag_ms", MaxFaultMs)};
}

} // namespace

struct PlatformServer::Impl {
  httplib::Server Http;
  std::thread Listener;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  // Guards the members below. This is not an absl::Mutex because Debian builds Abseil without the
  // thread sanitizer, which then reports races on data that an absl::Mutex guards.
  std::mutex Mutex;
  Table Rows;
  std::map<std::string, std::string> Objects;
  DelayedList Instances{json{{"instances", json::array()}}};
  DelayedList Groups{json{{"groups", json::array()}}};
  Faults ActiveFaults;
  std::map<std::string, uint64_t> Counts;

  void addTableRoutes();
  void addObjectRoutes();
  void addListRoutes(const std::string &Name, DelayedList &List);
  void addAdminRoutes();
  void addFaultHandlers();
  void runTransaction(const Request &In, Response &Out);
  void delayResponse(const Request &In);
};

// Runs one transaction: writes all rows if all version checks pass. Drops the connection instead of
// answering while the lose_answers fault is active.
void PlatformServer::Impl::runTransaction(const Request &In, Response &Out) {
  json Body = json::parse(In.body);
  std::vector<Table::Check> Checks;
  std::vector<Table::Put> Puts;
  for (const json &C : Body.value("checks", json::array()))
    Checks.push_back({.Key = C.at("key"), .Version = C.at("version")});
  for (const json &P : Body.value("puts", json::array()))
    Puts.push_back({.Key = P.at("key"), .Value = P.at("value")});
  std::lock_guard Lock(this->Mutex);
  if (auto Failed = this->Rows.firstFailedCheck(Checks)) {
    setJsonResponse(Out, 409, {{"key", Failed->Key}, {"version", Failed->Version}});
    return;
  }
  setJsonResponse(Out, 200, {{"versions", this->Rows.put(Puts)}});
  if (this->ActiveFaults.LoseAnswers > 0) {
    --this->ActiveFaults.LoseAnswers;
    dropConnection(In, this->Port);
  }
}

void PlatformServer::Impl::addTableRoutes() {
  this->Http.Get("/v1/table/(.+)", [this](const Request &In, Response &Out) {
    std::lock_guard Lock(this->Mutex);
    auto Row = this->Rows.get(In.matches[1]);
    if (Row)
      setJsonResponse(Out, 200, {{"version", Row->Version}, {"value", Row->Value}});
    else
      setJsonResponse(Out, 404, {{"error", "no such row"}});
  });
  this->Http.Post("/v1/table",
                  [this](const Request &In, Response &Out) { this->runTransaction(In, Out); });
}

void PlatformServer::Impl::addObjectRoutes() {
  this->Http.Get("/v1/objects/(.+)", [this](const Request &In, Response &Out) {
    std::lock_guard Lock(this->Mutex);
    auto It = this->Objects.find(In.matches[1]);
    if (It == this->Objects.end())
      setJsonResponse(Out, 404, {{"error", "no such object"}});
    else
      Out.set_content(It->second, "application/octet-stream");
  });
  this->Http.Put("/v1/objects/(.+)", [this](const Request &In, Response &Out) {
    std::lock_guard Lock(this->Mutex);
    this->Objects[In.matches[1]] = In.body;
    setJsonResponse(Out, 200, json::object());
  });
}

void PlatformServer::Impl::addListRoutes(const std::string &Name, DelayedList &List) {
  this->Http.Get("/v1/" + Name, [this, &List](const Request &, Response &Out) {
    std::lock_guard Lock(this->Mutex);
    setJsonResponse(Out, 200, List.visibleAt(monotonicNow()));
  });
  this->Http.Put("/admin/" + Name, [this, Name, &List](const Request &In, Response &Out) {
    json Body = json::parse(In.body);
    if (!Body.is_object() || !Body.contains(Name) || !Body.at(Name).is_array())
      throw std::invalid_argument(absl::StrFormat("request body has no array \"%s\"", Name));
    std::lock_guard Lock(this->Mutex);
    List.replace(std::move(Body),
                 monotonicNow() + absl::Milliseconds(this->ActiveFaults.ListLagMs));
    setJsonResponse(Out, 200, json::object());
  });
}

void PlatformServer::Impl::addAdminRoutes() {
  this->Http.Put("/admin/faults", [this](const Request &In, Response &Out) {
    Faults New = parseFaults(json::parse(In.body));
    std::lock_guard Lock(this->Mutex);
    this->ActiveFaults = New;
    setJsonResponse(Out, 200, json::object());
  });
  this->Http.Get("/admin/counts", [this](const Request &, Response &Out) {
    std::lock_guard Lock(this->Mutex);
    setJsonResponse(Out, 200, json(this->Counts));
  });
}

// Waits for the delay set by the delay_ms fault, or until the server stops.
void PlatformServer::Impl::delayResponse(const Request &In) {
  if (In.path.starts_with("/admin"))
    return;
  Instant Deadline = monotonicNow();
  {
    std::lock_guard Lock(this->Mutex);
    Deadline += absl::Milliseconds(this->ActiveFaults.DelayMs);
  }
  while (!this->Stopping && monotonicNow() < Deadline)
    absl::SleepFor(std::min(DelaySlice, Deadline - monotonicNow()));
}

void PlatformServer::Impl::addFaultHandlers() {
  this->Http.set_pre_routing_handler([this](const Request &In, Response &Out) {
    if (In.path.starts_with("/admin"))
      return httplib::Server::HandlerResponse::Unhandled;
    std::lock_guard Lock(this->Mutex);
    ++this->Counts[In.path];
    if (!this->ActiveFaults.Down)
      return httplib::Server::HandlerResponse::Unhandled;
    setJsonResponse(Out, 503, {{"error", "down"}});
    return httplib::Server::HandlerResponse::Handled;
  });
  this->Http.set_post_routing_handler(
      [this](const Request &In, Response &) { this->delayResponse(In); });
  this->Http.set_exception_handler(
      [](const Request &, Response &Out, const std::exception_ptr &Thrown) {
        try {
          std::rethrow_exception(Thrown);
        } catch (const std::exception &E) {
          setJsonResponse(Out, 400, {{"error", E.what()}});
        }
      });
}

PlatformServer::PlatformServer() : State(std::make_unique<Impl>()) {
  Impl &S = *this->State;
  S.Http.new_task_queue = [] { return new httplib::ThreadPool(ServerThreadCount); };
  S.Http.set_tcp_nodelay(true);
  S.addTableRoutes();
  S.addObjectRoutes();
  S.addListRoutes("instances", S.Instances);
  S.addListRoutes("groups", S.Groups);
  S.addAdminRoutes();
  S.addFaultHandlers();
}

PlatformServer::~PlatformServer() { this->stop(); }

Result<int> PlatformServer::start(int Port) {
  Impl &S = *this->State;
  S.Port = Port;
  if (Port == 0)
    S.Port = S.Http.bind_to_any_port("127.0.0.1");
  else if (!S.Http.bind_to_port("127.0.0.1", Port))
    S.Port = -1;
  if (S.Port < 0)
    return failure(absl::StrFormat("cannot bind 127.0.0.1:%d: %s", Port, std::strerror(errno)));
  S.Listener = std::thread([&S] { S.Http.listen_after_bind(); });
  while (!S.Http.is_running())
    absl::SleepFor(absl::Milliseconds(1));
  return S.Port;
}

void PlatformServer::stop() {
  Impl &S = *this->State;
  S.Stopping = true;
  S.Http.stop();
  if (S.Listener.joinable())
    S.Listener.join();
}

} // namespace toucan::standin
