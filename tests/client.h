// libpq client of the process tests. No call waits longer than WaitLimit.
#ifndef TOUCAN_TESTS_CLIENT_H
#define TOUCAN_TESTS_CLIENT_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <libpq-fe.h>

namespace toucan::test {

struct Answer {
  std::string Tag;     // command tag; empty on an error
  std::string State;   // SQLSTATE of an error, "lost" without one, "timeout" at the limit
  std::string Message; // of an error
  std::vector<std::vector<std::string>> Rows;
  std::vector<uint32_t> Types;

  bool ok() const { return this->State.empty(); }
  // The server says that the request has not run.
  bool notRun() const;
  // First value; empty when there is none.
  std::string value() const;
};

struct ClientOptions {
  uint16_t Port = 0;
  std::string Database = "orders";
  std::string Options; // start-up options
};

class Client {
public:
  explicit Client(const ClientOptions &O);

  bool connected() const { return PQstatus(this->C.get()) == CONNECTION_OK; }
  std::string error() const { return PQerrorMessage(this->C.get()); }
  // Simple query; the last result counts.
  Answer run(const std::string &Sql);
  // Extended query with text parameters and text (0) or binary (1) results.
  Answer runWith(const std::string &Sql, const std::vector<const char *> &Values, int Format = 0);
  Answer prepare(const std::string &Name, const std::string &Sql);
  Answer runPrepared(const std::string &Name, const std::vector<const char *> &Values);
  // Sends a simple query; finish() takes its answer.
  bool send(const std::string &Sql) { return PQsendQuery(this->C.get(), Sql.c_str()) == 1; }
  Answer finish();
  // False when finish() has a result to take.
  bool busy();
  // Runs a query in single-row mode; returns the number of rows, and their sum of the first column.
  struct Sums {
    uint64_t Rows = 0;
    uint64_t Sum = 0;
    std::string Tag;
    std::string State;
  };
  Sums stream(const std::string &Sql);

  bool cancel() const;
  char state() const; // I, T, E, or ? when the connection is lost
  std::string parameter(const std::string &Name) const;

private:
  // Waits for a result that can be taken without blocking.
  bool waitResult();
  Answer after(int Sent);
  Answer explained(Answer A) const;

  std::unique_ptr<std::string> LastNotice = std::make_unique<std::string>();
  std::unique_ptr<PGconn, decltype(&PQfinish)> C;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_CLIENT_H
