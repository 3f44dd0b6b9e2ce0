#include "standin.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace review {

using nlohmann::json;

namespace {

constexpr size_t HttpThreads = 64;
constexpr int64_t StoreAnswerMs = 4;

std::string encode(const std::string &In) {
  static const char *const Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < In.size(); I += 3) {
    uint32_t Bits = 0;
    for (size_t K = 0; K < 3; ++K)
      Bits = (Bits << 8) | (I + K < In.size() ? static_cast<unsigned char>(In[I + K]) : 0U);
    for (size_t K = 0; K < 4; ++K)
      Out += I + K > In.size() ? '=' : Letters[(Bits >> (18 - 6 * K)) & 63U];
  }
  return Out;
}

std::string decode(const std::string &In) {
  std::string Out;
  uint32_t Bits = 0;
  int Count = 0;
  for (char C : In) {
    uint32_t Value = 0;
    if (C >= 'A' && C <= 'Z')
      Value = static_cast<uint32_t>(C - 'A');
    else if (C >= 'a' && C <= 'z')
      Value = static_cast<uint32_t>(C - 'a' + 26);
    else if (C >= '0' && C <= '9')
      Value = static_cast<uint32_t>(C - '0' + 52);
    else if (C == '+' || C == '/')
      Value = C == '+' ? 62 : 63;
    else
      break;
    Bits = (Bits << 6) | Value;
    if ((Count += 6) >= 8) {
      Count -= 8;
      Out += static_cast<char>((Bits >> Count) & 255U);
    }
  }
  return Out;
}

json rowJson(const Row &R) {
  json Out{{"table", R.Table}, {"part", ""}, {"key", R.Key}, {"ver", R.Version}};
  if (R.Deleted)
    Out["tombstone"] = true;
  else
    Out["value"] = encode(R.Value);
  return Out;
}

json rowsJson(const std::vector<Row> &Rows) {
  json Out = json::array();
  for (const Row &R : Rows)
    Out.push_back(rowJson(R));
  return Out;
}

} // namespace

std::vector<Row> Store::list(const std::string &Table, uint64_t &Version) {
  std::lock_guard Lock(this->Mutex);
  Version = this->Newest;
  std::vector<Row> Out;
  for (const auto &[Key, R] : this->Rows)
    if (R.Table == Table && !R.Deleted)
      Out.push_back(R);
  return Out;
}

std::optional<std::vector<Row>> Store::feed(const std::string &Table, uint64_t After,
                                            int64_t WaitMs, uint64_t &Version) {
  std::unique_lock Lock(this->Mutex);
  std::vector<Row> Out;
  this->Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs), [&] {
    Out.clear();
    for (const auto &[Key, R] : this->Rows)
      if (R.Table == Table && R.Version > After)
        Out.push_back(R);
    return this->IsDown || !Out.empty();
  });
  if (this->IsDown)
    return std::nullopt;
  std::sort(Out.begin(), Out.end(),
            [](const Row &A, const Row &B) { return A.Version < B.Version; });
  Version = this->Newest;
  return Out;
}

std::optional<Row> Store::write(const std::string &Table, const std::string &Key,
                                const std::string &Value, std::optional<uint64_t> Expected) {
  std::lock_guard Lock(this->Mutex);
  Row &R = this->Rows[{Table, Key}];
  if (Expected && *Expected != (R.Deleted ? 0 : R.Version)) {
    Row Out = R;
    Out.Table = Table;
    Out.Key = Key;
    return Out;
  }
  R = {.Table = Table, .Key = Key, .Value = Value, .Version = ++this->Newest};
  this->Changed.notify_all();
  return std::nullopt;
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Rows.find({Table, Key});
  if (It == this->Rows.end() || It->second.Deleted)
    return;
  It->second.Deleted = true;
  It->second.Version = ++this->Newest;
  this->Changed.notify_all();
}

void Store::setDown(bool Down) {
  std::lock_guard Lock(this->Mutex);
  this->IsDown = Down;
  this->Changed.notify_all();
}

std::string Store::value(const std::string &Table, const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Rows.find({Table, Key});
  return It == this->Rows.end() || It->second.Deleted ? std::string() : It->second.Value;
}

uint64_t Store::version() {
  std::lock_guard Lock(this->Mutex);
  return this->Newest;
}

struct Platform::Impl {
  Store &Rows;
  httplib::Server Http;
  std::thread Thread;

  explicit Impl(Store &Rows) : Rows(Rows) {}

  static void reply(httplib::Response &Out, int Status, json Body) {
    Body["nowMs"] = nowMs() + 1000000;
    Out.status = Status;
    Out.set_content(Body.dump(), "application/json");
  }

  bool refused(httplib::Response &Out) const {
    sleepMs(StoreAnswerMs);
    if (!this->Rows.down())
      return false;
    Out.status = 503;
    return true;
  }

  void write(const httplib::Request &In, httplib::Response &Out) {
    if (this->refused(Out))
      return;
    json Body = json::parse(In.body, nullptr, false);
    std::optional<uint64_t> Expected;
    for (const json &E : Body["expected"])
      Expected = E["ver"].get<uint64_t>();
    const json &Put = Body["puts"][0];
    std::optional<Row> Found = this->Rows.write(Put["table"], Put["key"],
                                                decode(Put["value"].get<std::string>()), Expected);
    json Answer{{"ver", this->Rows.version()}};
    if (Found)
      Answer["rows"] = json::array({rowJson(*Found)});
    else {
      // The version of the row that was just written.
      uint64_t Newest = 0;
      for (const Row &R : this->Rows.list(Put["table"], Newest))
        if (R.Key == Put["key"].get<std::string>())
          Answer["ver"] = R.Version;
    }
    reply(Out, Found ? 412 : 200, std::move(Answer));
  }
};

Platform::Platform(Store &Rows, Group &Database, Record &Book)
    : State(std::make_unique<Impl>(Rows)) {
  Impl &S = *this->State;
  S.Http.new_task_queue = [] { return new httplib::ThreadPool(HttpThreads); };
  S.Http.Get("/v1/rows-get", [&S, &Rows](const httplib::Request &In, httplib::Response &Out) {
    if (S.refused(Out))
      return;
    uint64_t Version = 0;
    json Found = rowsJson(Rows.list(In.get_param_value("table"), Version));
    Impl::reply(Out, 200, {{"rows", Found}, {"ver", Version}, {"hasMore", false}});
  });
  S.Http.Get("/v1/rows-feed", [&S, &Rows](const httplib::Request &In, httplib::Response &Out) {
    if (S.refused(Out))
      return;
    uint64_t Version = 0;
    auto Found =
        Rows.feed(In.get_param_value("table"),
                  std::strtoull(In.get_param_value("after").c_str(), nullptr, 10),
                  std::strtoll(In.get_param_value("waitMs").c_str(), nullptr, 10), Version);
    if (!Found) {
      Out.status = 503;
      return;
    }
    Impl::reply(Out, 200, {{"rows", rowsJson(*Found)}, {"ver", Version}});
  });
  S.Http.Post("/v1/rows-tx",
              [&S](const httplib::Request &In, httplib::Response &Out) { S.write(In, Out); });
  S.Http.Post("/promote", [this, &Database](const httplib::Request &In, httplib::Response &Out) {
    json Body = json::parse(In.body, nullptr, false);
    auto Id = Body["id"].get<std::string>();
    uint64_t Token = std::strtoull(In.get_header_value("Fence-Token").c_str(), nullptr, 10);
    std::string Holder = In.get_header_value("Duty-Holder");
    if (this->OnOrder && !this->OnOrder(Id, Token, Holder)) {
      sleepMs(5000); // longer than any client waits
      return;
    }
    auto [Status, Text] = Database.promote(Id, Token, Holder);
    Out.status = Status;
    Out.set_content(Text, "application/json");
  });
  this->Port = static_cast<uint16_t>(S.Http.bind_to_any_port("127.0.0.1"));
  S.Thread = std::thread([&S] { S.Http.listen_after_bind(); });
  Book.line("the platform listens at port " + std::to_string(this->Port));
}

Platform::~Platform() {
  this->State->Rows.setDown(true); // ends the waits of the feeds
  this->State->Http.stop();
  this->State->Thread.join();
}

std::string configurationText(uint64_t Version, const std::string &Service,
                              const std::vector<RouteSpec> &Routes) {
  json Out{{"version", Version}, {"routes", json::array()}, {"limits", {{"txIdleMs", 3000}}}};
  for (const RouteSpec &R : Routes) {
    json Route{{"name", "r-" + R.Name}, {"hostname", R.Name}, {"prefix", "/"},
               {"type", R.Type},        {"timeoutMs", 800},   {"targetLatencyMs", 400},
               {"priority", 1},         {"service", Service}, {"attempts", 2}};
    if (R.Type != "primary")
      Route["maxStalenessMs"] = R.Type == "read_own_writes" ? 2500 : 1500;
    Out["routes"].push_back(Route);
  }
  Out["services"] = json::array(
      {{{"name", Service}, {"maxConns", 30}, {"protocol", "own"}, {"syncReplicas", 1}}});
  return Out.dump();
}

} // namespace review
