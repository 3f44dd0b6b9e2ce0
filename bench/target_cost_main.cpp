// toucan-target-cost: processor time of relaying answers of a target, by raw frames and by libpq.
#include "base/settings.h"
#include "wire/wire.h"

#include "absl/strings/str_format.h"

#include <libpq-fe.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <cstdio>
#include <memory>

using namespace toucan;

namespace {

constexpr std::string_view Usage = R"(toucan-target-cost: cost of relaying answers of a target.

Usage:
  toucan-target-cost [options]
  toucan-target-cost --help

Prints one line of key=value pairs for each way and size. cpu_us is user and system time of this
process for one statement, bytes the size of the frames for the caller. Exit codes: 0 the run ended,
1 the target failed, 2 wrong setting.
)";

constexpr Setting Table[] = {
    {.Name = "host", .Default = "127.0.0.1", .Help = "IP number of the target."},
    {.Name = "port",
     .Kind = SettingKind::Integer,
     .Required = true,
     .Min = 1,
     .Max = 65535,
     .Help = "Port of the target."},
    {.Name = "database", .Default = "orders", .Help = "Database name."},
    {.Name = "term",
     .Kind = SettingKind::Integer,
     .Default = "1",
     .Min = 1,
     .Max = 1000000000,
     .Help = "Term of the group."},
    {.Name = "values",
     .Kind = SettingKind::Integer,
     .Default = "200000",
     .Min = 1,
     .Max = 100000000,
     .Help = "Rows that each way relays, over all statements of a size."},
};

constexpr int Sizes[] = {1, 100, 10000}; // rows of one answer
constexpr size_t MaxFrameBytes = 64 * 1024 * 1024;
constexpr int PollMs = 10'000; // libpq's sockets do not block
constexpr size_t ReadBytes = 64 * 1024;

using Connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

double cpuMicros() {
  rusage Use{};
  getrusage(RUSAGE_SELF, &Use);
  auto Micros = [](const timeval &T) {
    return static_cast<double>(T.tv_sec) * 1e6 + static_cast<double>(T.tv_usec);
  };
  return Micros(Use.ru_utime) + Micros(Use.ru_stime);
}

// The frames as the target sends them; empty when the connection fails.
std::string relayRaw(PGconn *C, const std::string &Sql) {
  std::string Request = wire::query(Sql);
  int Fd = PQsocket(C);
  std::string Out;
  wire::FrameReader Reader(MaxFrameBytes);
  char Bytes[ReadBytes];
  if (::send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Request.size()))
    return "";
  while (true) {
    wire::Frame F;
    while (Reader.next(F) == wire::ReadStatus::Ready) {
      if (F.Type == 'Z')
        return Out;
      if (F.Type == 'E')
        return "";
      if (F.Type != 'S')
        Out += F.Encoded;
    }
    pollfd Wait{.fd = Fd, .events = POLLIN, .revents = 0};
    if (::poll(&Wait, 1, PollMs) <= 0)
      return "";
    ssize_t Count = ::recv(Fd, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return "";
    Reader.append({Bytes, static_cast<size_t>(Count)});
  }
}

void describe(const PGresult *R, wire::Writer &W) {
  int Fields = PQnfields(R);
  W.begin('T').int16(static_cast<int16_t>(Fields));
  for (int I = 0; I < Fields; ++I)
    W.cstring(PQfname(R, I))
        .int32(static_cast<int32_t>(PQftable(R, I)))
        .int16(static_cast<int16_t>(PQftablecol(R, I)))
        .int32(static_cast<int32_t>(PQftype(R, I)))
        .int16(static_cast<int16_t>(PQfsize(R, I)))
        .int32(PQfmod(R, I))
        .int16(static_cast<int16_t>(PQfformat(R, I)));
  W.end();
}

void addRow(const PGresult *R, int Row, wire::Writer &W) {
  int Fields = PQnfields(R);
  W.begin('D').int16(static_cast<int16_t>(Fields));
  for (int I = 0; I < Fields; ++I) {
    if (PQgetisnull(R, Row, I) != 0) {
      W.int32(-1);
      continue;
    }
    int Length = PQgetlength(R, Row, I);
    W.int32(Length).bytes({PQgetvalue(R, Row, I), static_cast<size_t>(Length)});
  }
  W.end();
}

// The frames built anew from libpq's results, row by row, as a proxy that streams would do.
std::string relayLibpq(PGconn *C, const std::string &Sql) {
  if (PQsendQuery(C, Sql.c_str()) == 0 || PQsetSingleRowMode(C) == 0)
    return "";
  wire::Writer W;
  bool Described = false;
  bool Failed = false;
  while (ResultPtr R{PQgetResult(C), &PQclear}) {
    ExecStatusType Status = PQresultStatus(R.get());
    Failed = Failed || (Status != PGRES_SINGLE_TUPLE && Status != PGRES_TUPLES_OK);
    if (!Described)
      describe(R.get(), W);
    Described = true;
    for (int Row = 0; Row < PQntuples(R.get()); ++Row)
      addRow(R.get(), Row, W);
    if (Status == PGRES_TUPLES_OK)
      W.begin('C').cstring(PQcmdStatus(R.get())).end();
  }
  return Failed ? "" : W.take();
}

struct Way {
  std::string_view Name;
  std::string (*Relay)(PGconn *, const std::string &);
};
constexpr Way Ways[] = {{"raw", relayRaw}, {"libpq", relayLibpq}};

// Measures one way with answers of a size; false when the target fails.
bool measure(PGconn *C, const Way &One, int Rows, int Values) {
  std::string Sql =
      absl::StrFormat("with recursive n(i) as (select 1 union all select i + 1 from n "
                      "where i < %d) select i, 'kerb 915 mm' from n",
                      Rows);
  int Statements = std::max(1, Values / Rows / (Rows == 1 ? 10 : 1));
  size_t Size = One.Relay(C, Sql).size();
  double Before = cpuMicros();
  for (int I = 0; I < Statements; ++I)
    if (One.Relay(C, Sql).size() != Size || Size == 0)
      return false;
  std::printf("way=%s rows=%d statements=%d bytes=%zu cpu_us=%.2f\n", One.Name.data(), Rows,
              Statements, Size, (cpuMicros() - Before) / Statements);
  return true;
}

int run(const SettingValues &V) {
  std::string Info =
      absl::StrFormat("host=%s port=%d dbname=%s user=toucanrun sslmode=disable "
                      "options='-c group_term=%d'",
                      V.text("host"), V.integer("port"), V.text("database"), V.integer("term"));
  for (int Rows : Sizes) {
    for (const Way &One : Ways) {
      // A connection of its own: libpq must not find bytes that it has not asked for.
      Connection C(PQconnectdb(Info.c_str()), &PQfinish);
      if (PQstatus(C.get()) != CONNECTION_OK ||
          !measure(C.get(), One, Rows, static_cast<int>(V.integer("values")))) {
        std::fprintf(stderr, "toucan-target-cost: the target failed: %s\n",
                     PQerrorMessage(C.get()));
        return 1;
      }
    }
  }
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Args(Argv + 1, Argv + Argc);
  auto Line = capture([&] { return parseCommandLine(Usage, Table, "TOUCANCOST_", "0.1.0", Args); });
  if (!Line) {
    std::fprintf(stderr, "toucan-target-cost: %s\n", Line.Problem.Message.c_str());
    return 2;
  }
  if (Line->Print) {
    std::fputs(Line->Print->c_str(), stdout);
    return 0;
  }
  return run(Line->Settings);
}
