// Test helpers: temporary directories, libpq clients and servers in the test process.
#ifndef TOUCAN_STANDIN_DB_TEST_CLIENT_H
#define TOUCAN_STANDIN_DB_TEST_CLIENT_H

#include "standin_db.h"

#include "absl/strings/str_format.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <libpq-fe.h>

namespace toucan::standin {

// Temporary directory that the destructor removes.
class TemporaryDir {
public:
  TemporaryDir() {
    std::string Pattern = std::filesystem::temp_directory_path() / "standin-db-XXXXXX";
    REQUIRE(mkdtemp(Pattern.data()) != nullptr);
    this->Path = Pattern;
  }
  ~TemporaryDir() { std::filesystem::remove_all(this->Path); }
  TemporaryDir(const TemporaryDir &) = delete;
  TemporaryDir &operator=(const TemporaryDir &) = delete;
  const std::string &path() const { return this->Path; }
  std::string createSubdirectory(const std::string &Name) const {
    std::filesystem::create_directories(this->Path + "/" + Name);
    return this->Path + "/" + Name;
  }

private:
  std::string Path;
};

// Polls until Condition holds. False after 30 s, far longer than a slow machine needs.
inline bool eventually(const std::function<bool()> &Condition) {
  auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (std::chrono::steady_clock::now() < Limit) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

// Result of a query.
struct QueryResult {
  std::string Tag;
  std::string State; // SQLSTATE of an error
  std::vector<std::vector<std::string>> Rows;
  std::vector<uint32_t> Types;
};

inline QueryResult toQueryResult(const PGresult *R) {
  QueryResult Out;
  if (const char *State = PQresultErrorField(R, PG_DIAG_SQLSTATE))
    Out.State = State;
  Out.Tag = PQcmdStatus(const_cast<PGresult *>(R));
  for (int C = 0; C < PQnfields(R); ++C)
    Out.Types.push_back(PQftype(R, C));
  for (int Row = 0; Row < PQntuples(R); ++Row) {
    auto &To = Out.Rows.emplace_back();
    for (int C = 0; C < PQnfields(R); ++C)
      To.emplace_back(
          PQgetisnull(R, Row, C) != 0
              ? "NULL"
              : std::string(PQgetvalue(R, Row, C), static_cast<size_t>(PQgetlength(R, Row, C))));
  }
  return Out;
}

using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

// libpq connection. Term 0 opens a control connection.
class Client {
public:
  Client(uint16_t Port, uint64_t Term, const std::string &ExtraOptions = "")
      : C(PQconnectdb(absl::StrFormat("hostaddr=127.0.0.1 port=%d user=u dbname=d sslmode=disable "
                                      "options='%s' %s",
                                      Port,
                                      Term > 0 ? absl::StrFormat("-c group_term=%d", Term) : "",
                                      ExtraOptions)
                          .c_str()),
          &PQfinish) {
    PQsetNoticeProcessor(
        this->C.get(), [](void *To, const char *Text) { *static_cast<std::string *>(To) += Text; },
        this->Notices.get());
  }

  bool connected() const { return PQstatus(this->C.get()) == CONNECTION_OK; }
  std::string error() const { return PQerrorMessage(this->C.get()); }
  const std::string &notices() const { return *this->Notices; }
  PGconn *get() const { return this->C.get(); }

  QueryResult run(const std::string &Sql) const {
    return toQueryResult(ResultPtr(PQexec(this->C.get(), Sql.c_str()), &PQclear).get());
  }
  // Runs Sql in the extended protocol with text parameters.
  QueryResult runWithParameters(const std::string &Sql,
                                const std::vector<const char *> &Values) const {
    return toQueryResult(
        ResultPtr(PQexecParams(this->C.get(), Sql.c_str(), static_cast<int>(Values.size()), nullptr,
                               Values.data(), nullptr, nullptr, 0),
                  &PQclear)
            .get());
  }
  // Transaction status as in ReadyForQuery: I, T or E; '?' if there is none.
  char transactionStatus() const {
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
  std::string parameter(const char *Name) const {
    const char *Value = PQparameterStatus(this->C.get(), Name);
    return Value == nullptr ? "" : Value;
  }
  // Sends a cancel request. True if libpq could send it.
  bool cancel() const {
    std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> Request(PQgetCancel(this->C.get()),
                                                               &PQfreeCancel);
    char Problem[256];
    return PQcancel(Request.get(), Problem, sizeof Problem) == 1;
  }

private:
  std::unique_ptr<PGconn, decltype(&PQfinish)> C;
  std::unique_ptr<std::string> Notices = std::make_unique<std::string>();
};

// Starts a server in this process.
inline std::unique_ptr<Server> startServer(ServerOptions Options) {
  auto S = std::make_unique<Server>(std::move(Options));
  auto Started = capture([&] { return S->start(); });
  REQUIRE_MESSAGE(Started, Started.Problem.Message);
  return S;
}

// Starts a server that is the primary of term 1 and the only member of its group.
inline std::unique_ptr<Server> startPrimary(ServerOptions Options) {
  auto S = startServer(std::move(Options));
  REQUIRE(S->group().acceptTerm(1, "test").Accepted);
  REQUIRE(S->group().promote(1, "test").Accepted);
  return S;
}

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_TEST_CLIENT_H
