#include "primary_connection.h"

#include "absl/strings/str_format.h"

#include <poll.h>

#include <cstdlib>
#include <string_view>

namespace toucan::standin {

namespace {

// A primary answers a log request after at most 200 ms, also without new entries.
constexpr std::chrono::seconds ResponseTimeout{2};
constexpr int StopPollIntervalMs = 20;

using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

uint64_t integerColumn(const PGresult *R, int Row, int Column) {
  return std::strtoull(PQgetvalue(R, Row, Column), nullptr, 10);
}

// Parses the result of group_log. Columns: kind, term, position, sql. The first row has kind
// "match" or "differs".
std::optional<LogSlice> parseLogSlice(const PGresult *R) {
  if (PQresultStatus(R) != PGRES_TUPLES_OK || PQntuples(R) < 1 || PQnfields(R) != 4)
    return std::nullopt;
  LogSlice Out{.Matches = std::string_view(PQgetvalue(R, 0, 0)) == "match",
               .HintPosition = integerColumn(R, 0, 2),
               .HintTerm = integerColumn(R, 0, 1),
               .Entries = {}};
  for (int Row = 1; Row < PQntuples(R); ++Row)
    Out.Entries.push_back(
        {.Term = integerColumn(R, Row, 1),
         .Position = integerColumn(R, Row, 2),
         .Sql = std::string(PQgetvalue(R, Row, 3), static_cast<size_t>(PQgetlength(R, Row, 3)))});
  return Out;
}

} // namespace

bool PrimaryConnection::waitForSocket(short Events, SteadyTime Deadline) const {
  while (!this->Stopping && std::chrono::steady_clock::now() < Deadline) {
    pollfd P{PQsocket(this->Connection.get()), Events, 0};
    if (::poll(&P, 1, StopPollIntervalMs) > 0)
      return true;
  }
  return false;
}

bool PrimaryConnection::open(const std::string &Host, uint16_t Port) {
  SteadyTime Deadline = std::chrono::steady_clock::now() + ResponseTimeout;
  this->Connection.reset(PQconnectStart(
      absl::StrFormat("hostaddr=%s port=%d user=replica dbname=replica sslmode=disable "
                      "gssencmode=disable",
                      Host, Port)
          .c_str()));
  if (!this->Connection || PQstatus(this->Connection.get()) == CONNECTION_BAD)
    return false;
  // Drops notices: by default libpq prints them to stderr when the primary stops.
  PQsetNoticeProcessor(
      this->Connection.get(), [](void *, const char *) {}, nullptr);
  short Events = POLLOUT;
  while (this->waitForSocket(Events, Deadline)) {
    PostgresPollingStatusType Status = PQconnectPoll(this->Connection.get());
    if (Status == PGRES_POLLING_OK || Status == PGRES_POLLING_FAILED)
      return Status == PGRES_POLLING_OK;
    Events = Status == PGRES_POLLING_READING ? POLLIN : POLLOUT;
  }
  return false;
}

std::optional<LogSlice> PrimaryConnection::fetch(const SliceRequest &R) {
  PGconn *C = this->Connection.get();
  std::string Sql = absl::StrFormat("SELECT * FROM group_log(%d, %d, %d, %d)", R.Term, R.After,
                                    R.LastTerm, R.Limit);
  if (PQsendQuery(C, Sql.c_str()) != 1)
    return std::nullopt;
  SteadyTime Deadline = std::chrono::steady_clock::now() + ResponseTimeout;
  std::optional<LogSlice> Out;
  for (;;) {
    while (PQisBusy(C) != 0) {
      if (!this->waitForSocket(POLLIN, Deadline) || PQconsumeInput(C) != 1)
        return std::nullopt;
      Deadline = std::chrono::steady_clock::now() + ResponseTimeout;
    }
    ResultPtr Answer(PQgetResult(C), &PQclear);
    if (!Answer)
      return Out;
    Out = parseLogSlice(Answer.get());
  }
}

} // namespace toucan::standin
