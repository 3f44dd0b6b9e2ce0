// State of the stand-in platform: table service, object store, lagging lists and faults.
#ifndef TOUCAN_STANDIN_PLATFORM_STORE_H
#define TOUCAN_STANDIN_PLATFORM_STORE_H

#include "base/ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::standin {

// Rows with versions that start at 1 and grow by 1 with each write.
class Table {
public:
  struct Row {
    uint64_t Version = 0;
    std::string Value;
  };
  struct Check {
    std::string Key;
    uint64_t Version = 0; // 0: the row must not exist
  };
  struct Put {
    std::string Key, Value;
  };

  std::optional<Row> get(const std::string &Key) const;
  // Returns the first check that failed, with the version found; then nothing was written.
  std::optional<Check> failedCheck(const std::vector<Check> &Checks) const;
  // Writes all rows and returns their new versions.
  std::map<std::string, uint64_t> put(const std::vector<Put> &Puts);

private:
  std::map<std::string, Row> Rows;
};

// A list whose changes become visible after a lag.
class LaggingList {
public:
  explicit LaggingList(nlohmann::json Initial) : Shown(std::move(Initial)) {}
  // A later change never becomes visible before an earlier one.
  void change(nlohmann::json Value, Instant VisibleAt);
  const nlohmann::json &at(Instant Now);

private:
  nlohmann::json Shown;
  std::vector<std::pair<Instant, nlohmann::json>> Pending;
};

struct Faults {
  bool Down = false;
  int64_t DelayMs = 0;
  int64_t LoseAnswers = 0;
  int64_t ListLagMs = 0;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_PLATFORM_STORE_H
