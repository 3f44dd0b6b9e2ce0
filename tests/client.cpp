#include "client.h"

#include "process.h"

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

#include <poll.h>

#include <cstdlib>
#include <utility>

namespace toucan::test {

namespace {

constexpr int PollMs = 100;

using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

void keepNotice(void *To, const char *Text) { *static_cast<std::string *>(To) = Text; }

Answer answerOf(const PGresult *R) {
  Answer Out;
  ExecStatusType Status = PQresultStatus(R);
  if (Status != PGRES_COMMAND_OK && Status != PGRES_TUPLES_OK && Status != PGRES_EMPTY_QUERY) {
    const char *State = PQresultErrorField(R, PG_DIAG_SQLSTATE);
    Out.State = State != nullptr ? State : "lost";
    Out.Message = PQresultErrorMessage(R);
  }
  Out.Tag = PQcmdStatus(const_cast<PGresult *>(R));
  for (int C = 0; C < PQnfields(R); ++C)
    Out.Types.push_back(PQftype(R, C));
  for (int Row = 0; Row < PQntuples(R); ++Row) {
    std::vector<std::string> &To = Out.Rows.emplace_back();
    for (int C = 0; C < PQnfields(R); ++C)
      To.push_back(
          PQgetisnull(R, Row, C) != 0
              ? "NULL"
              : std::string(PQgetvalue(R, Row, C), static_cast<size_t>(PQgetlength(R, Row, C))));
  }
  return Out;
}

} // namespace

bool Answer::notRun() const { return absl::StrContains(this->Message, "has not run"); }

std::string Answer::value() const {
  return this->Rows.empty() || this->Rows[0].empty() ? "" : this->Rows[0][0];
}

Client::Client(const ClientOptions &O)
    : C(PQconnectdb(absl::StrFormat("hostaddr=127.0.0.1 port=%d user=test dbname=%s "
                                    "connect_timeout=20 gssencmode=disable options='%s'",
                                    O.Port, O.Database, O.Options)
                        .c_str()),
        &PQfinish) {
  PQsetNoticeProcessor(this->C.get(), keepNotice, this->LastNotice.get());
}

bool Client::waitResult() {
  auto Deadline = std::chrono::steady_clock::now() + WaitLimit;
  while (PQisBusy(this->C.get()) != 0) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    pollfd P{PQsocket(this->C.get()), POLLIN, 0};
    if (::poll(&P, 1, PollMs) > 0 && PQconsumeInput(this->C.get()) != 1)
      return true; // PQgetResult returns the error
  }
  return true;
}

bool Client::busy() { return PQconsumeInput(this->C.get()) == 1 && PQisBusy(this->C.get()) != 0; }

Answer Client::finish() {
  Answer Last{.Tag = "", .State = "lost", .Message = "no result"};
  for (;;) {
    if (!this->waitResult())
      return {.Tag = "", .State = "timeout", .Message = "no answer in time"};
    ResultPtr R(PQgetResult(this->C.get()), &PQclear);
    if (!R)
      return this->explained(std::move(Last));
    // After a FATAL error libpq adds a result for the lost connection.
    if (Answer Next = answerOf(R.get()); Next.State != "lost" || Last.ok() || Last.State == "lost")
      Last = std::move(Next);
  }
}

// A FATAL error between two requests is a notice to libpq. It is the answer to the next request.
Answer Client::explained(Answer A) const {
  if (A.State == "lost" && absl::StartsWith(*this->LastNotice, "FATAL"))
    A = {.Tag = "", .State = "57P01", .Message = *this->LastNotice};
  return A;
}

Answer Client::after(int Sent) {
  if (Sent != 1)
    return this->explained({.Tag = "", .State = "lost", .Message = this->error()});
  return this->finish();
}

Answer Client::run(const std::string &Sql) {
  return this->after(PQsendQuery(this->C.get(), Sql.c_str()));
}

Answer Client::runWith(const std::string &Sql, const std::vector<const char *> &Values,
                       int Format) {
  return this->after(PQsendQueryParams(this->C.get(), Sql.c_str(), static_cast<int>(Values.size()),
                                       nullptr, Values.data(), nullptr, nullptr, Format));
}

Answer Client::prepare(const std::string &Name, const std::string &Sql) {
  return this->after(PQsendPrepare(this->C.get(), Name.c_str(), Sql.c_str(), 0, nullptr));
}

Answer Client::runPrepared(const std::string &Name, const std::vector<const char *> &Values) {
  return this->after(PQsendQueryPrepared(this->C.get(), Name.c_str(),
                                         static_cast<int>(Values.size()), Values.data(), nullptr,
                                         nullptr, 0));
}

Client::Sums Client::stream(const std::string &Sql) {
  Sums Out;
  if (!this->send(Sql) || PQsetSingleRowMode(this->C.get()) != 1) {
    Out.State = "lost";
    return Out;
  }
  for (;;) {
    if (!this->waitResult()) {
      Out.State = "timeout";
      return Out;
    }
    ResultPtr R(PQgetResult(this->C.get()), &PQclear);
    if (!R)
      return Out;
    if (PQresultStatus(R.get()) == PGRES_SINGLE_TUPLE) {
      ++Out.Rows;
      Out.Sum += std::strtoull(PQgetvalue(R.get(), 0, 0), nullptr, 10);
      continue;
    }
    Answer A = answerOf(R.get());
    Out.Tag = A.Tag;
    Out.State = A.State;
  }
}

bool Client::cancel() const {
  std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> Request(PQgetCancel(this->C.get()),
                                                             &PQfreeCancel);
  char Problem[256];
  return Request && PQcancel(Request.get(), Problem, sizeof Problem) == 1;
}

char Client::state() const {
  switch (PQtransactionStatus(this->C.get())) {
  case PQTRANS_IDLE:
    return 'I';
  case PQTRANS_INTRANS:
    return 'T';
  case PQTRANS_INERROR:
    return 'E';
  default:
    return '?';
  }
}

std::string Client::parameter(const std::string &Name) const {
  const char *Value = PQparameterStatus(this->C.get(), Name.c_str());
  return Value == nullptr ? "" : Value;
}

} // namespace toucan::test
