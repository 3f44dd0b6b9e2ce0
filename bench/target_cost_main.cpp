// toucan-target-cost: compares the processor time of relaying a target's answers as raw frames and
// through libpq.
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

constexpr std::string_view Usage =
    R"(toucan-target-cost: processor time of relaying a target's answers.

Usage:
  toucan-target-cost [options]
  toucan-target-cost --help

Prints one line of key=value pairs for each way and number of rows. cpu_us is the user and system
time of this process per statement, bytes the size of the frames for the caller. way=raw forwards
frames as received; way=libpq builds them again from libpq's results.
Exit codes: 0 the run ended, 1 the target failed, 2 invalid setting.
)";

constexpr Setting Table[] = {
    {.Name = "host", .Default = "127.0.0.1", .Help = "IP address of the target."},
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
     .Help = "Current term of the database group."},
    {.Name = "values",
     .Kind = SettingKind::Integer,
     .Default = "200000",
     .Min = 1,
     .Max = 100000000,
     .Help = "Rows that each way relays in total, for each number of rows per statement."},
};

constexpr int RowCounts[] = {1, 100, 10000}; // rows of one answer
constexpr size_t MaxFrameBytes = 64 * 1024 * 1024;
constexpr int PollTimeoutMs = 10'000; // limit for one wait, since libpq's sockets do not block
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

// Runs a statement and returns the frames for the caller as the target sent them. Returns an empty
// string if the statement or the connection fails.
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
    if (::poll(&Wait, 1, PollTimeoutMs) <= 0)
      return "";
    ssize_t Count = ::recv(Fd, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return "";
    Reader.append({Bytes, static_cast<size_t>(Count)});
  }
}

// Writes a RowDescription frame.
void writeRowDescription(const PGresult *R, wire::Writer &W) {
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

// Writes a DataRow frame.
void writeDataRow(const PGresult *R, int Row, wire::Writer &W) {
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

// Runs a statement and builds the frames for the caller from libpq's results, row by row, as a
// proxy that streams results would do. Returns an empty string if the statement fails.
std::string relayLibpq(PGconn *C, const std::string &Sql) {
  if (PQsendQuery(C, Sql.c_str()) == 0 || PQsetSingleRowMode(C) == 0)
    return "";
  wire::Writer W;
  bool DescriptionWritten = false;
  bool Failed = false;
  while (ResultPtr R{PQgetResult(C), &PQclear}) {
    ExecStatusType Status = PQresultStatus(R.get());
    Failed = Failed || (Status != PGRES_SINGLE_TUPLE && Status != PGRES_TUPLES_OK);
    if (!DescriptionWritten)
      writeRowDescription(R.get(), W);
    DescriptionWritten = true;
    for (int Row = 0; Row < PQntuples(R.get()); ++Row)
      writeDataRow(R.get(), Row, W);
    if (Status == PGRES_TUPLES_OK)
      W.begin('C').cstring(PQcmdStatus(R.get())).end();
  }
  return Failed ? "" : W.take();
}

struct RelayMethod {
  std::string_view Name;
  std::string (*Relay)(PGconn *, const std::string &);
};
constexpr RelayMethod RelayMethods[] = {{"raw", relayRaw}, {"libpq", relayLibpq}};

// Measures one way with answers of this many rows and prints the result. Returns false if the
// target fails or the size of an answer differs from that of the first one.
bool measure(PGconn *C, const RelayMethod &Method, int Rows, int Values) {
  std::string Sql =
      absl::StrFormat("with recursive n(i) as (select 1 union all select i + 1 from n "
                      "where i < %d) select i, 'kerb 915 mm' from n",
                      Rows);
  int Statements = std::max(1, Values / Rows / (Rows == 1 ? 10 : 1));
  size_t Size = Method.Relay(C, Sql).size();
  double Before = cpuMicros();
  for (int I = 0; I < Statements; ++I)
    if (Method.Relay(C, Sql).size() != Size || Size == 0)
      return false;
  std::printf("way=%s rows=%d statements=%d bytes=%zu cpu_us=%.2f\n", Method.Name.data(), Rows,
              Statements, Size, (cpuMicros() - Before) / Statements);
  return true;
}

int run(const SettingValues &V) {
  std::string ConnectionString =
      absl::StrFormat("host=%s port=%d dbname=%s user=toucanrun sslmode=disable "
                      "options='-c group_term=%d'",
                      V.text("host"), V.integer("port"), V.text("database"), V.integer("term"));
  for (int Rows : RowCounts) {
    for (const RelayMethod &Method : RelayMethods) {
      // Each measurement uses a new connection. The raw way reads from the socket without libpq,
      // whose state would be wrong on a shared connection.
      Connection C(PQconnectdb(ConnectionString.c_str()), &PQfinish);
      if (PQstatus(C.get()) != CONNECTION_OK ||
          !measure(C.get(), Method, Rows, static_cast<int>(V.integer("values")))) {
        std::fprintf(stderr, "toucan-target-cost: connection or statement failed: %s\n",
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
