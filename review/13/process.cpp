#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point Begun = Clock::now();

const char *const DaemonProgram = "target/toucanrund-hosted";

void setTimeout(int Fd, int Seconds) {
  timeval Limit{.tv_sec = Seconds, .tv_usec = 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
}

int connectTo(const std::string &Ip, uint16_t Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
  int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  setTimeout(Fd, 3);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0)
    return Fd;
  ::close(Fd);
  return -1;
}

} // namespace

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Begun).count();
}

void sleepMs(int64_t Ms) { std::this_thread::sleep_for(std::chrono::milliseconds(Ms)); }

Record::Record(const std::string &Path)
    : Fd(::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

Record::~Record() { ::close(this->Fd); }

void Record::line(const std::string &Text) {
  std::string Line = std::to_string(nowMs()) + " ms: " + Text + "\n";
  std::lock_guard Lock(this->Mutex);
  [[maybe_unused]] ssize_t Written = ::write(this->Fd, Line.data(), Line.size());
}

uint16_t freePort() {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t Size = sizeof At;
  bool Bound = ::bind(Fd, reinterpret_cast<sockaddr *>(&At), Size) == 0 &&
               ::getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size) == 0;
  ::close(Fd);
  return Bound ? ntohs(At.sin_port) : uint16_t{0};
}

Daemon::Daemon(DaemonOptions Given, std::string Directory)
    : Options(std::move(Given)), Directory(std::move(Directory)), CallerPort(freePort()),
      ReadinessPort(freePort()), LinkPort(freePort()), MetricsPort(freePort()) {}

Daemon::~Daemon() { this->kill(); }

void Daemon::start() {
  std::string Settings = this->Directory + "/" + this->Options.Name + ".yaml";
  auto At = [this](uint16_t Port) {
    return "\"" + this->Options.Ip + ":" + std::to_string(Port) + "\"\n";
  };
  std::string Store = "\"127.0.0.1:" + std::to_string(this->Options.StorePort) + "\"\n";
  std::ofstream(Settings) << "nodeName: \"" << this->Options.Name << "\"\nrole: \"front\"\n"
                          << "machineClass: \"front\"\nserves:\n  - \"front\"\n"
                          << "ip: \"" << this->Options.Ip << "\"\nzone: \"" << this->Options.Zone
                          << "\"\nregion: \"region-" << this->Options.Zone << "\"\n"
                          << "zones:\n  z0: \"region-z0\"\n  z1: \"region-z1\"\n"
                          << "  z2: \"region-z2\"\nbindAddrs:\n  frontend: " << At(this->CallerPort)
                          << "  readiness: " << At(this->ReadinessPort) << "portRange:\n  - "
                          << this->LinkPort << "\n  - " << this->LinkPort << "\n"
                          << "bootstrap: " << (this->Starts == 0 ? "true" : "false")
                          << "\nlimits:\n  cpuShare: 0.5\n  cpuCores: 1\n  memoryMb: 520\n"
                          << "  maxFds: 8600\n  linkMbps: 2000.0\n  diskMb: 0\ndataDir: null\n"
                          << "discovery: \"platform\"\nheartbeatMs: 1200\n"
                          << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  stableMs: 5000\n"
                          << "  ackTimeoutMs: 6000\n  catchUpS: 4\n  drainMs: 7000\n  graceS: 6\n"
                          << "  lossSlackMs: 200\n  configApplyMs: 3000\n  downgradeSlackMs: 250\n"
                          << "  maxSkewMs: 15000\n  recoveryS: 12\n  fencingRequired: "
                          << (this->Options.TokensChecked ? "true" : "false")
                          << "\n  thawSlackMs: 300\nplatform:\n  address: " << Store
                          << "  form: \"table\"\n  writesPerS: 400\n  readsPerS: 2000\n"
                          << "cloudApi:\n  address: " << Store;
  std::string Output =
      this->Directory + "/" + this->Options.Name + "-" + std::to_string(this->Starts++) + ".log";
  this->Ending.clear();
  std::string Metrics = std::to_string(this->MetricsPort);
  int Child = ::fork();
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
    int Fd = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(Fd, 1);
    ::dup2(Fd, 2);
    ::setenv("TOUCANRUN_CONFIG", Settings.c_str(), 1);
    ::setenv("TOUCANRUN_METRICS_PORT", Metrics.c_str(), 1);
    ::execl(DaemonProgram, DaemonProgram, static_cast<char *>(nullptr));
    ::_exit(127);
  }
  this->Pid = Child;
}

void Daemon::signal(int Number) const {
  if (this->Pid > 0)
    ::kill(this->Pid, Number);
}

void Daemon::kill() {
  if (!this->running())
    return;
  ::kill(this->Pid, SIGKILL);
  int Status = 0;
  ::waitpid(this->Pid, &Status, 0);
  this->Pid = -1;
}

bool Daemon::running() {
  if (this->Pid <= 0)
    return false;
  int Status = 0;
  if (::waitpid(this->Pid, &Status, WNOHANG) != this->Pid)
    return true;
  this->Ending = WIFSIGNALED(Status) ? "signal " + std::to_string(WTERMSIG(Status))
                                     : "exit code " + std::to_string(WEXITSTATUS(Status));
  this->Pid = -1;
  return false;
}

bool Daemon::ready() const {
  int Fd = connectTo(this->Options.Ip, this->ReadinessPort);
  if (Fd < 0)
    return false;
  std::string Ask = "GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  std::array<char, 256> Buffer{};
  bool Out = ::send(Fd, Ask.data(), Ask.size(), MSG_NOSIGNAL) > 0 &&
             ::recv(Fd, Buffer.data(), Buffer.size() - 1, 0) > 12 &&
             std::string(Buffer.data()).substr(9, 3) == "200";
  ::close(Fd);
  return Out;
}

Client::~Client() { this->close(); }

void Client::close() {
  if (this->Fd >= 0)
    ::close(this->Fd);
  this->Fd = -1;
  this->Input.clear();
}

bool Client::open(const std::string &Ip, uint16_t Port, const std::string &Database) {
  this->close();
  this->Fd = connectTo(Ip, Port);
  if (this->Fd < 0)
    return false;
  std::string Start = "START " + Database + " u1\r\n";
  if (::send(this->Fd, Start.data(), Start.size(), MSG_NOSIGNAL) < 0)
    this->close();
  Reply R = this->read();
  if (!R.Complete || !R.Error.empty())
    this->close();
  return this->isOpen();
}

Reply Client::query(const std::string &Id, const std::string &Text) {
  std::string Line = "QUERY " + Id + " " + Text + "\r\n";
  if (this->Fd < 0 || ::send(this->Fd, Line.data(), Line.size(), MSG_NOSIGNAL) < 0) {
    this->close();
    return {};
  }
  return this->read();
}

// An answer ends with READY. An error without it, or the end of the connection, closes the session.
Reply Client::read() {
  Reply Out;
  std::array<char, 8192> Buffer;
  while (this->Fd >= 0) {
    size_t End = this->Input.find("\r\n");
    if (End == std::string::npos) {
      ssize_t Got = ::recv(this->Fd, Buffer.data(), Buffer.size(), 0);
      if (Got <= 0) {
        this->close();
        return Out;
      }
      this->Input.append(Buffer.data(), static_cast<size_t>(Got));
      continue;
    }
    std::string Line = this->Input.substr(0, End);
    this->Input.erase(0, End + 2);
    if (Line.rfind("ROW ", 0) == 0)
      Out.Rows.push_back(Line.substr(4));
    else if (Line.rfind("ERR ", 0) == 0)
      Out.Error = Line.substr(4, Line.find(' ', 4) - 4);
    else if (Line.rfind("READY ", 0) == 0) {
      Out.State = Line.substr(6, 1);
      Out.Complete = true;
      return Out;
    }
  }
  return Out;
}

} // namespace review
