#include "standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace review {

namespace {

constexpr int64_t StepMs = 2;
constexpr int64_t CommitLimitMs = 10000;
constexpr int ServerBacklog = 256;

int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string takeWord(std::string &Text) {
  size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? std::string() : Text.substr(Blank + 1);
  return Word;
}

uint64_t number(const std::string &Text) { return std::strtoull(Text.c_str(), nullptr, 10); }

std::string errorLine(const std::string &Code, const std::string &Text) {
  return "ERR " + Code + " " + Text + "\r\n";
}

// Cuts the log of a replica to what it has in common with that of the primary.
void rollBack(Server &Replica, const Server &Primary) {
  size_t Common = 0;
  while (Common < Replica.Log.size() && Common < Primary.Log.size() &&
         Replica.Log[Common].Id == Primary.Log[Common].Id &&
         Replica.Log[Common].Term == Primary.Log[Common].Term)
    ++Common;
  Replica.Log.resize(Common);
}

} // namespace

struct Group::Session {
  enum class Tx : uint8_t { None, Open, ReadOnly, Failed } State = Tx::None;
  std::vector<std::pair<std::string, std::string>> Writes;
  std::map<std::string, std::string> Values;
  std::map<std::string, std::pair<bool, std::string>> Prepared;
};

Group::Group(Store &Rows, Record &Book, GroupOptions Options)
    : Rows(Rows), Book(Book), Options(std::move(Options)) {
  this->Stepper = std::thread([this] {
    while (!this->Stopping) {
      this->step();
      sleepMs(StepMs);
    }
  });
}

Group::~Group() {
  this->Stopping = true;
  this->Changed.notify_all();
  this->Stepper.join();
  {
    std::lock_guard Lock(this->Mutex);
    for (auto &[Id, S] : this->Servers)
      for (int Fd : S->Sockets)
        ::shutdown(Fd, SHUT_RDWR);
  }
  while (this->Threads > 0)
    sleepMs(StepMs);
}

Server *Group::find(const std::string &Id) {
  auto It = this->Servers.find(Id);
  return It == this->Servers.end() ? nullptr : It->second.get();
}

void Group::add(const std::string &Id, const std::string &Zone, bool Leads,
                int64_t ReceiveDelayMs) {
  auto S = std::make_unique<Server>();
  S->Id = Id;
  S->Zone = Zone;
  S->ReceiveDelayMs = ReceiveDelayMs;
  S->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof At;
  if (::bind(S->Listener, reinterpret_cast<sockaddr *>(&At), Size) != 0 ||
      ::listen(S->Listener, ServerBacklog) != 0 ||
      ::getsockname(S->Listener, reinterpret_cast<sockaddr *>(&At), &Size) != 0)
    std::abort();
  S->Port = ntohs(At.sin_port);
  std::lock_guard Lock(this->Mutex);
  S->Up = true;
  S->Leads = Leads;
  // A server that joins has nothing until the primary's log has reached it.
  S->Term = Leads || this->Servers.empty() ? this->CurrentTerm : 0;
  S->Process = 1;
  S->BornMs = unixMs();
  Server &Added = *S;
  this->Servers[Id] = std::move(S);
  ++this->Threads;
  std::thread([this, &Added] { this->accept(Added); }).detach();
}

void Group::drain(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  this->find(Id)->Draining = true;
  this->Book.line("server " + Id + " drains");
}

void Group::crash(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  Server *S = this->find(Id);
  S->Up = false;
  for (int Fd : S->Sockets)
    ::shutdown(Fd, SHUT_RDWR);
  this->Book.line("server " + Id + " crashes");
  this->Changed.notify_all();
}

void Group::restart(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  Server *S = this->find(Id);
  S->Up = true;
  ++S->Process;
  S->BornMs = unixMs();
  S->HeldTerm = 0;
  S->HeartbeatAtMs = 0;
  S->Leads = S->Leads && S->Term == this->CurrentTerm;
  this->Book.line("server " + Id + " starts again as " + (S->Leads ? "primary" : "replica"));
}

void Group::setDeaf(const std::string &Id, bool Deaf) {
  std::lock_guard Lock(this->Mutex);
  this->find(Id)->Deaf = Deaf;
  this->Book.line("server " + Id + (Deaf ? " receives nothing" : " receives again"));
}

void Group::silence(const std::string &Id, int64_t UntilMs) {
  std::lock_guard Lock(this->Mutex);
  this->find(Id)->SilentUntilMs = UntilMs;
}

std::vector<Entry> Group::logOf(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  return this->find(Id)->Log;
}

std::string Group::leader() {
  std::lock_guard Lock(this->Mutex);
  std::string Out;
  uint64_t Newest = 0;
  for (auto &[Id, S] : this->Servers)
    if (S->Up && S->Leads && S->Term >= Newest) {
      Out = Id;
      Newest = S->Term;
    }
  return Out;
}

std::string Group::describe() {
  std::lock_guard Lock(this->Mutex);
  std::string Out;
  for (auto &[Id, S] : this->Servers)
    Out += " " + Id + ":" + (S->Up ? S->Leads ? "primary" : "replica" : "down") +
           ":term=" + std::to_string(S->Term) + ":held=" + std::to_string(S->HeldTerm) + ":" +
           positionOf(*S) + (S->Draining ? ":draining" : "");
  return Out;
}

std::pair<int, std::string> Group::promote(const std::string &Id, uint64_t Token,
                                           const std::string &Holder) {
  std::lock_guard Lock(this->Mutex);
  std::string Told = "order to promote " + Id + " by " + Holder + " token " + std::to_string(Token);
  if (Token < this->HighestToken) {
    this->Book.line(Told + ": 409, a higher one was seen");
    return {409, "{\"error\":\"a higher fence was seen\"}"};
  }
  this->HighestToken = Token;
  Server *S = this->find(Id);
  if (!S || !S->Up) {
    this->Book.line(Told + ": 409, not running");
    return {409, "{\"error\":\"the server is not running\"}"};
  }
  this->Book.line(Told + ": 200");
  if (!(S->Leads && S->Term == this->CurrentTerm))
    this->Due.emplace_back(nowMs() + this->Options.PromoteMs, Id);
  return {200, "{}"};
}

void Group::promoteLater(const std::string &Id, uint64_t Token, int64_t AtMs) {
  std::lock_guard Lock(this->Mutex);
  this->Late.push_back({.AtMs = AtMs, .Id = Id, .Token = Token});
  this->Book.line("order to promote " + Id + " token " + std::to_string(Token) +
                  ": no answer, executed at " + std::to_string(AtMs));
}

// The named server leads the next term with what it has received. Whoever is reached follows it.
void Group::execute(const std::string &Id) {
  Server *S = this->find(Id);
  if (!S || !S->Up || (S->Leads && S->Term == this->CurrentTerm))
    return;
  ++this->CurrentTerm;
  this->Book.line("server " + Id + " leads term " + std::to_string(this->CurrentTerm) +
                  " from position " + positionOf(*S));
  if (this->OnPromoted)
    this->OnPromoted(Id, S->Log);
  for (auto &[Other, R] : this->Servers) {
    R->Leads = false;
    if (!R->Up)
      continue;
    R->HeldTerm = 0;
    R->Term = this->CurrentTerm;
    rollBack(*R, *S);
  }
  S->Leads = true;
  this->Changed.notify_all();
}

void Group::step() {
  int64_t Now = nowMs();
  std::vector<LateOrder> Orders;
  {
    std::lock_guard Lock(this->Mutex);
    std::erase_if(this->Late, [&](const LateOrder &O) {
      if (O.AtMs > Now)
        return false;
      Orders.push_back(O);
      return true;
    });
  }
  for (const LateOrder &O : Orders)
    this->promote(O.Id, O.Token, "late");
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> Ready;
  std::erase_if(this->Due, [&](const auto &D) {
    if (D.first > Now)
      return false;
    Ready.push_back(D.second);
    return true;
  });
  for (const std::string &Id : Ready)
    this->execute(Id);
  this->replicate(Now);
  for (auto &[Id, S] : this->Servers)
    this->heartbeat(*S, Now);
}

void Group::replicate(int64_t Now) {
  bool Any = false;
  for (auto &[LeaderId, P] : this->Servers) {
    if (!P->Up || !P->Leads)
      continue;
    for (auto &[Id, R] : this->Servers) {
      bool Held = R->HeldTerm > R->Term;
      if (R.get() == P.get() || !R->Up || R->Leads || R->Deaf || Held || R->Term > P->Term)
        continue;
      // What it has and the primary of a newer term lacks is rolled back.
      if (R->Term != P->Term)
        rollBack(*R, *P);
      R->Term = P->Term;
      for (size_t I = R->Log.size(); I < P->Log.size(); ++I) {
        if (P->Log[I].AtMs + R->ReceiveDelayMs > Now)
          break;
        R->Log.push_back(P->Log[I]);
        Any = true;
      }
    }
  }
  if (Any)
    this->Changed.notify_all();
}

// Writes the registration every HeartbeatMs and at a change. An entry lapses after three intervals
// of silence, also while the store is down.
void Group::heartbeat(Server &S, int64_t Now) {
  if (S.AcceptedAtMs >= 0 && Now - S.AcceptedAtMs >= 3 * this->Options.HeartbeatMs) {
    this->Rows.remove("servers", S.Id);
    this->Book.line("the entry of server " + S.Id + " lapses");
    S.AcceptedAtMs = -1;
  }
  if (!S.Up || Now < S.SilentUntilMs || this->Rows.down())
    return;
  std::string Text = "\"service\":\"" + this->Options.Service +
                     "\",\"address\":\"127.0.0.1:" + std::to_string(S.Port) + "\",\"zone\":\"" +
                     S.Zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
                     (S.Draining ? "draining" : "ready") +
                     "\",\"coldRemainingMs\":0,\"dbRole\":\"" + (S.Leads ? "primary" : "replica") +
                     "\",\"born\":" + std::to_string(S.BornMs);
  if (Now < S.HeartbeatAtMs && Text == S.LastWritten && S.AcceptedAtMs >= 0)
    return;
  if (S.AcceptedAtMs < 0 || Text != S.LastWritten)
    this->Book.line("the store accepts the entry of server " + S.Id + ": " +
                    (S.Draining ? "draining " : "ready ") + (S.Leads ? "primary" : "replica"));
  S.LastWritten = Text;
  S.HeartbeatAtMs = Now + this->Options.HeartbeatMs;
  S.AcceptedAtMs = Now;
  this->Rows.write("servers", S.Id, "{" + Text + ",\"seqNum\":" + std::to_string(Now) + "}",
                   std::nullopt);
}

void Group::accept(Server &S) {
  while (!this->Stopping) {
    pollfd Wait{.fd = S.Listener, .events = POLLIN, .revents = 0};
    if (::poll(&Wait, 1, 20) <= 0)
      continue;
    int Fd = ::accept4(S.Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      continue;
    std::lock_guard Lock(this->Mutex);
    if (!S.Up) {
      ::close(Fd);
      continue;
    }
    int On = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    S.Sockets.insert(Fd);
    ++this->Threads;
    std::thread([this, &S, Fd, Process = S.Process] {
      this->serve(S, Fd, Process);
      {
        std::lock_guard Guard(this->Mutex);
        S.Sockets.erase(Fd);
      }
      ::close(Fd);
      --this->Threads;
    }).detach();
  }
  ::close(S.Listener);
  --this->Threads;
}

void Group::serve(Server &S, int Fd, uint64_t Process) {
  Session C;
  bool Started = false;
  std::string Input;
  std::array<char, 8192> Buffer;
  while (true) {
    ssize_t Got = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Got <= 0)
      return;
    Input.append(Buffer.data(), static_cast<size_t>(Got));
    for (size_t End = 0; (End = Input.find("\r\n")) != std::string::npos;) {
      std::string Line = Input.substr(0, End);
      Input.erase(0, End + 2);
      std::string Out;
      if (Started) {
        Out = this->answer(S, C, Line);
      } else {
        std::string Word = takeWord(Line);
        std::string Service = takeWord(Line);
        takeWord(Line);
        std::string Id = takeWord(Line);
        Started = Word == "START" && Service == this->Options.Service && (Id.empty() || Id == S.Id);
        std::lock_guard Lock(this->Mutex);
        Out = Started ? this->ready(S, C) : errorLine("MISDIRECT", S.Id);
      }
      {
        std::lock_guard Lock(this->Mutex);
        if (!S.Up || S.Process != Process)
          return;
      }
      if (Out.empty() || ::send(Fd, Out.data(), Out.size(), MSG_NOSIGNAL) < 0 || !Started)
        return;
    }
  }
}

std::string Group::positionOf(const Server &S) {
  uint64_t Term = S.Log.empty() ? std::min<uint64_t>(S.Term, 1) : S.Log.back().Term;
  return std::to_string(Term) + "." + std::to_string(S.Log.size());
}

std::string Group::ready(const Server &S, const Session &C) const {
  std::string State = C.State == Session::Tx::None     ? "I"
                      : C.State == Session::Tx::Failed ? "E"
                                                       : "T";
  return "READY " + State + " " + positionOf(S) + "\r\n";
}

std::string Group::answer(Server &S, Session &C, const std::string &Line) {
  std::string Rest = Line;
  if (takeWord(Rest) != "QUERY")
    return {};
  std::string Id = takeWord(Rest);
  std::string Body = Id == "-" ? this->control(S, C, Rest) : this->statement(S, C, Id, Rest);
  if (Body.empty())
    return {};
  std::lock_guard Lock(this->Mutex);
  return Body + this->ready(S, C);
}

std::string Group::control(Server &S, Session &C, std::string Text) {
  std::lock_guard Lock(this->Mutex);
  std::string Command = Text;
  std::string Word = takeWord(Text);
  if (Word == "AFTER") {
    std::string At = takeWord(Text);
    uint64_t Term = number(At);
    uint64_t Number = number(At.substr(At.find('.') + 1));
    uint64_t LogTerm = S.Log.empty() ? 1 : S.Log.back().Term;
    if (LogTerm < Term || (LogTerm == Term && S.Log.size() < Number))
      return errorLine("LAGGING", S.Id);
    Word = takeWord(Text);
  }
  if (Word == "BEGIN") {
    if (Text != "READ" && !S.Leads)
      return errorLine("READONLY", S.Id);
    C.State = Text == "READ" ? Session::Tx::ReadOnly : Session::Tx::Open;
    C.Writes.clear();
    return "DONE -\r\n";
  }
  if (Word == "ROLLBACK") {
    C.State = Session::Tx::None;
    C.Writes.clear();
    return "DONE -\r\n";
  }
  if (Word == "RESET") {
    C.Values.clear();
    C.Prepared.clear();
    return "DONE -\r\n";
  }
  if (Word == "SET") {
    std::string Name = takeWord(Text);
    C.Values[Name] = Text;
    return "DONE -\r\n";
  }
  if (Word == "PREPARE") {
    std::string Name = takeWord(Text);
    bool Writes = takeWord(Text) == "WRITE";
    C.Prepared[Name] = {Writes, Text};
    return "DONE -\r\n";
  }
  if (this->OnCommand)
    this->OnCommand(S.Id, Command);
  if (Word == "PAUSE") {
    if (!S.Leads && number(Text) > S.Term)
      S.HeldTerm = std::max(S.HeldTerm, number(Text));
  } else if (Word == "STEPDOWN") {
    if (S.Leads && S.Term < number(Text)) {
      S.Leads = false;
      this->Book.line("server " + S.Id + " steps down at " + positionOf(S));
      this->Changed.notify_all();
    }
  } else if (Word != "STATUS") {
    return errorLine("MALFORMED", S.Id);
  }
  return std::string("ROW ") + (S.Leads ? "primary " : "replica ") + std::to_string(S.Term) + " " +
         positionOf(S) + " " + std::to_string(S.HeldTerm) + " 0 0 1\r\nDONE -\r\n";
}

std::string Group::statement(Server &S, Session &C, const std::string &Id, std::string Text) {
  std::unique_lock Lock(this->Mutex);
  std::string Signature = "DONE " + S.Id + "." + Id + "\r\n";
  std::string Whole = Text;
  std::string Word = takeWord(Text);
  if (Word == "AFTER") {
    std::string At = takeWord(Text);
    uint64_t Term = number(At);
    uint64_t Number = number(At.substr(At.find('.') + 1));
    uint64_t LogTerm = S.Log.empty() ? 1 : S.Log.back().Term;
    if (LogTerm < Term || (LogTerm == Term && S.Log.size() < Number))
      return errorLine("LAGGING", S.Id);
    Whole = Text;
    Word = takeWord(Text);
  }
  if (C.State == Session::Tx::Failed)
    return errorLine("MALFORMED", S.Id);
  if (C.State == Session::Tx::Open && !S.Leads && !(Word == "COMMIT" && C.Writes.empty())) {
    C.State = Word == "COMMIT" ? Session::Tx::None : Session::Tx::Failed;
    C.Writes.clear();
    return errorLine("READONLY", S.Id);
  }
  bool Writes = Word == "WRITE";
  if (Word == "EXEC") {
    auto It = C.Prepared.find(takeWord(Text));
    if (It == C.Prepared.end())
      return errorLine("NOSTMT", S.Id);
    Writes = It->second.first;
    Word = Writes ? "WRITE" : "READ";
  }
  if (this->OnRun)
    this->OnRun(S.Id, Id, Whole);
  if (Word == "READ") {
    std::string Item = takeWord(Text);
    std::string Data = "-";
    for (const Entry &E : S.Log)
      if (E.Item == Item)
        Data = E.Data;
    for (const auto &[Name, Value] : C.Writes)
      if (Name == Item)
        Data = Value;
    return "ROW " + Data + "\r\n" + Signature;
  }
  if (Writes) {
    std::string Item = takeWord(Text);
    if (C.State == Session::Tx::Open) {
      C.Writes.emplace_back(Item, Text);
      return Signature;
    }
    if (C.State == Session::Tx::ReadOnly || !S.Leads)
      return errorLine("READONLY", S.Id);
    return this->commit(Lock, S, Id, {{Item, Text}});
  }
  if (Word != "COMMIT")
    return errorLine("MALFORMED", S.Id);
  C.State = Session::Tx::None;
  auto Written = std::exchange(C.Writes, {});
  return Written.empty() ? Signature : this->commit(Lock, S, Id, Written);
}

// Returns nothing, which ends the connection, if the server lost the lead meanwhile.
std::string Group::commit(std::unique_lock<std::mutex> &Lock, Server &S, const std::string &Id,
                          const std::vector<std::pair<std::string, std::string>> &Writes) {
  uint64_t Process = S.Process;
  uint64_t Term = S.Term;
  for (const auto &[Item, Data] : Writes)
    S.Log.push_back({.Term = Term, .Id = Id, .Item = Item, .Data = Data, .AtMs = nowMs()});
  size_t Number = S.Log.size();
  auto Lost = [&] {
    return this->Stopping || !S.Up || S.Process != Process || !S.Leads || S.Term != Term;
  };
  auto Received = [&] {
    return std::any_of(this->Servers.begin(), this->Servers.end(), [&](const auto &R) {
      return R.second.get() != &S && R.second->Up && R.second->Log.size() >= Number &&
             R.second->Log[Number - 1].Id == Id;
    });
  };
  this->Changed.wait_for(Lock, std::chrono::milliseconds(CommitLimitMs),
                         [&] { return Lost() || Received(); });
  return Lost() || !Received() ? std::string() : "DONE " + S.Id + "." + Id + "\r\n";
}

} // namespace review
