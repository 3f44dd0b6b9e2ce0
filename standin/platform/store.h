// State of the stand-in platform: rows of the table service, lists with delayed changes, and
// injected faults.
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

// Rows of the table service. The version of a row starts at 1 and grows by 1 with each write.
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
  // Returns the key and actual version of the first row without the expected version, if any.
  std::optional<Check> firstFailedCheck(const std::vector<Check> &Checks) const;
  // Writes all rows and returns their new versions.
  std::map<std::string, uint64_t> put(const std::vector<Put> &Puts);

private:
  std::map<std::string, Row> Rows;
};

// A list whose changes become visible after a delay.
class DelayedList {
public:
  explicit DelayedList(nlohmann::json Initial) : Visible(std::move(Initial)) {}
  // Replaces the list from VisibleAt on, but never before an earlier replacement becomes visible.
  void replace(nlohmann::json Value, Instant VisibleAt);
  // Returns the list that is visible at Now.
  const nlohmann::json &visibleAt(Instant Now);

private:
  nlohmann::json Visible;
  std::vector<std::pair<Instant, nlohmann::json>> Pending;
};

// Faults that PUT /admin/faults injects.
struct Faults {
  bool Down = false;       // every request is answered with status 503
  int64_t DelayMs = 0;     // delay before each response
  int64_t LoseAnswers = 0; // number of next writes that take effect without a response
  int64_t ListLagMs = 0;   // delay before a change of a list becomes visible
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_PLATFORM_STORE_H
