#include "cluster.h"

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

namespace toucan::test {

namespace {

constexpr auto PlatformName = "platform";

uint64_t number(const std::string &Text) { return std::strtoull(Text.c_str(), nullptr, 10); }

std::vector<std::string> joined(std::vector<std::string> First,
                                const std::vector<std::string> &More) {
  First.insert(First.end(), More.begin(), More.end());
  return First;
}

std::string fileText(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

} // namespace

Cluster::Cluster(ClusterOptions O) : Options(std::move(O)) {
  this->Platform = std::make_unique<Process>(
      "standin-platform", std::vector<std::string>{"--port=0"}, this->Dir.file(PlatformName));
  this->PlatformPort = this->Platform->port("port");
  REQUIRE(this->PlatformPort != 0);
  if (this->Options.Relays) {
    this->PlatformFront = std::make_unique<Relay>();
    this->PlatformFront->setTarget(this->PlatformPort);
  }
  for (int I = 1; I <= this->Options.Servers; ++I) {
    Member &M = this->Servers.emplace_back();
    M.Name = absl::StrFormat("%s-%d", this->Options.Database, I);
    this->startServer(M);
  }
  for (int I = 1; I <= this->Options.Proxies; ++I)
    this->startNextProxy();
  this->publish();
}

void Cluster::startNextProxy(uint16_t PlatformAt) {
  Member &M = this->Proxies.emplace_back();
  M.Name = absl::StrFormat("entry-%d", this->Proxies.size());
  this->startProxy(M, PlatformAt != 0 ? PlatformAt
                                      : shownPort(this->PlatformFront, this->PlatformPort));
  this->relayLinks();
}

void Cluster::addProxy(uint16_t PlatformAt) {
  REQUIRE(!this->Options.Relays); // it would tell others its own address before relayLinks()
  this->startNextProxy(PlatformAt);
  this->publish();
}

uint16_t Cluster::shownPort(const std::unique_ptr<Relay> &Front, uint16_t Port) {
  return Front ? Front->port() : Port;
}

// Heartbeats carry the address that a proxy has bound. The relays put their own in its place, so
// that no proxy learns of a way around them.
void Cluster::relayLinks() {
  if (!this->Options.Relays)
    return;
  for (const Member &Through : this->Proxies)
    for (const Member &M : this->Proxies)
      Through.Front->replace(absl::StrFormat("127.0.0.1:%d", M.Link),
                             absl::StrFormat("127.0.0.1:%d", M.Front->port()));
}

void Cluster::startServer(Member &M) {
  std::vector<std::string> Flags = {
      "--id=" + M.Name,
      "--database=" + this->Options.Database,
      absl::StrFormat("--port=%d", M.Port),
      "--data-dir=" + this->Dir.file(M.Name),
      absl::StrFormat("--slots=%d", this->Options.Slots),
      absl::StrFormat("--connections=%d", this->Options.Connections),
      "--connect-delay-ms=1",
  };
  M.P = std::make_unique<Process>("standin-db", joined(Flags, this->Options.ServerFlags),
                                  this->Dir.file(M.Name));
  M.Port = M.P->port("port");
  REQUIRE(M.Port != 0);
  if (this->Options.Relays && !M.Front)
    M.Front = std::make_unique<Relay>();
  if (M.Front)
    M.Front->setTarget(M.Port);
}

void Cluster::startProxy(Member &M, uint16_t PlatformAt) {
  std::vector<std::string> Flags = {
      "--instance-id=" + M.Name,
      "--data-centre=dc1",
      "--region=region1",
      "--listen-port=0",
      "--link-port=0",
      "--http-port=0",
      "--token-key=0123456789abcdef0123456789abcdef",
      absl::StrFormat("--platform-url=http://127.0.0.1:%d", PlatformAt),
  };
  // Relays tell the proxies apart by this name.
  if (this->Options.Relays)
    Flags.push_back("--target-user=" + M.Name);
  M.P = std::make_unique<Process>("toucanrund", joined(Flags, this->Options.ProxyFlags),
                                  this->Dir.file(M.Name));
  M.Port = M.P->port("port");
  M.Link = M.P->port("link");
  M.Http = M.P->port("http");
  REQUIRE(M.Port != 0);
  if (this->Options.Relays) {
    M.Front = std::make_unique<Relay>();
    M.Front->setTarget(M.Link);
  }
}

void Cluster::listLeaving(size_t Server) {
  this->Servers[Server].State = "leaving";
  this->publish();
}

void Cluster::restartServer(size_t I) { this->startServer(this->Servers[I]); }

void Cluster::put(const std::string &Path, const std::string &Body) const {
  httplib::Client Http("127.0.0.1", this->PlatformPort);
  auto Answer = Http.Put(Path, Body, "application/json");
  REQUIRE(Answer);
  REQUIRE(Answer->status == 200);
}

std::string Cluster::platformGet(const std::string &Path) const {
  httplib::Client Http("127.0.0.1", this->PlatformPort);
  auto Answer = Http.Get(Path);
  return Answer && Answer->status == 200 ? Answer->body : "";
}

void Cluster::publish() const {
  std::vector<std::string> Instances;
  for (const Member &M : this->Proxies)
    Instances.push_back(absl::StrFormat(R"({"id":"%s","link":"127.0.0.1:%d","data_centre":"dc1",)"
                                        R"("region":"region1","state":"live"})",
                                        M.Name, shownPort(M.Front, M.Link)));
  std::vector<std::string> Targets;
  for (const Member &M : this->Servers)
    Targets.push_back(absl::StrFormat(R"({"id":"%s","host":"127.0.0.1","port":%d,)"
                                      R"("data_centre":"dc1","region":"region1","state":"%s"})",
                                      M.Name, shownPort(M.Front, M.Port), M.State));
  this->put("/admin/instances",
            absl::StrFormat(R"({"instances":[%s]})", absl::StrJoin(Instances, ",")));
  this->put(
      "/admin/groups",
      absl::StrFormat(R"({"groups":[{"name":"%s","slots":%d,"connections":%d,"targets":[%s]}]})",
                      this->Options.Database, this->Options.Slots, this->Options.Connections,
                      absl::StrJoin(Targets, ",")));
}

bool Cluster::healthy(size_t Proxy) const {
  httplib::Client Http("127.0.0.1", this->Proxies[Proxy].Http);
  auto Answer = Http.Get("/health");
  return Answer && Answer->status == 200;
}

uint64_t Cluster::metric(size_t Proxy, const std::string &Name) const {
  httplib::Client Http("127.0.0.1", this->Proxies[Proxy].Http);
  auto Answer = Http.Get("/metrics");
  if (!Answer || Answer->status != 200)
    return 0;
  size_t At = Answer->body.find("\n" + Name + " ");
  return At == std::string::npos ? 0 : number(Answer->body.substr(At + Name.size() + 2));
}

void Cluster::setRules(const std::string &Text) const {
  httplib::Client Http("127.0.0.1", this->PlatformPort);
  auto Answer = Http.Post("/v1/table",
                          absl::StrFormat(R"({"checks":[{"key":"config/rules","version":0}],)"
                                          R"("puts":[{"key":"config/rules","value":"%s"}]})",
                                          Text),
                          "application/json");
  REQUIRE(Answer);
  REQUIRE(Answer->status == 200);
  for (size_t I = 0; I < this->Proxies.size(); ++I)
    REQUIRE(eventually([&] { return this->metric(I, "toucanrun_rules_version") == 1; }));
}

void Cluster::waitReady() {
  for (size_t I = 0; I < this->Proxies.size(); ++I)
    REQUIRE_MESSAGE(eventually([&] { return this->healthy(I); }),
                    this->Proxies[I].Name << " is not ready");
  for (size_t I = 0; I < this->Proxies.size(); ++I) {
    Answer Last;
    auto Write = [&] {
      Last = this->client(I).run("create table if not exists ready(a integer)");
      return Last.ok();
    };
    REQUIRE_MESSAGE(eventually(Write), "no write through proxy " << I << ": " << Last.Message);
  }
}

CtlResult Cluster::ctl(std::vector<std::string> Arguments) const {
  std::string Prefix = this->Dir.file(absl::StrFormat("ctl-%d", ++this->CtlRuns));
  Arguments.push_back(absl::StrFormat("--platform-url=http://127.0.0.1:%d", this->PlatformPort));
  Process Run("toucanctl", Arguments, Prefix);
  int Code = Run.wait().value_or(-1);
  return {.Code = Code, .Out = fileText(Prefix + ".out"), .Err = fileText(Prefix + ".err")};
}

std::string Cluster::writeFile(const std::string &Name, const std::string &Text) const {
  std::ofstream(this->Dir.file(Name)) << Text;
  return this->Dir.file(Name);
}

Client Cluster::client(size_t Proxy, const std::string &Settings) const {
  return Client(
      {.Port = this->proxyPort(Proxy), .Database = this->Options.Database, .Options = Settings});
}

Client Cluster::direct(size_t Server, uint64_t Term) const {
  return Client({.Port = this->serverPort(Server),
                 .Database = this->Options.Database,
                 .Options = Term == 0 ? "" : absl::StrFormat("-c group_term=%d", Term)});
}

ServerStatus Cluster::status(size_t Server) const {
  Answer A = this->direct(Server).run("SELECT * FROM group_status()");
  if (!A.ok() || A.Rows.size() != 1 || A.Rows[0].size() != 9)
    return {};
  const std::vector<std::string> &Row = A.Rows[0];
  return {.Known = true,
          .Term = number(Row[1]),
          .Role = Row[3],
          .Received = number(Row[5]),
          .Applied = number(Row[6])};
}

size_t Cluster::primary() const {
  size_t Found = this->servers();
  eventually([&] {
    uint64_t Highest = 0;
    Found = this->servers();
    for (size_t I = 0; I < this->servers(); ++I) {
      ServerStatus S = this->status(I);
      if (S.Role == "primary" && S.Term > Highest) {
        Highest = S.Term;
        Found = I;
      }
    }
    return Found < this->servers();
  });
  return Found;
}

SingleServer::SingleServer()
    : P(std::make_unique<Process>("standin-db",
                                  std::vector<std::string>{"--id=single", "--port=0",
                                                           "--data-dir=" + this->Dir.file("data")},
                                  this->Dir.file("single"))),
      Port(this->P->port("port")) {
  REQUIRE(this->Port != 0);
  Client Control({.Port = this->Port});
  REQUIRE(Control.run("SELECT * FROM group_accept_term(1, 'test')").ok());
  REQUIRE(Control.run("SELECT * FROM group_promote(1, 'test')").ok());
}

Client SingleServer::client() const {
  return Client({.Port = this->Port, .Options = "-c group_term=1"});
}

} // namespace toucan::test
