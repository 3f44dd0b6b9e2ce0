// Settings of one connection (SET, SHOW, RESET).
#ifndef TOUCAN_STANDIN_DB_SETTINGS_MAP_H
#define TOUCAN_STANDIN_DB_SETTINGS_MAP_H

#include "database.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standin {

// Names are lower case. SET in a block that is rolled back has no effect; SET LOCAL ends with it.
class SettingsMap {
public:
  SettingsMap();

  // Values given at start-up; RESET returns to them.
  std::optional<SqlError> start(const std::string &Name, const std::string &Value);
  // An empty value or "default" returns to the value at start-up.
  std::optional<SqlError> set(const std::string &Name, const std::string &Value, bool Local);
  std::optional<std::string> get(const std::string &Name) const;
  void reset(const std::string &Name); // "all": every setting

  void beginBlock() { this->AtBegin = this->AfterCommit = this->Values; }
  void endBlock(bool Committed);

  // Reported settings whose value has changed since the last call, as PostgreSQL spells them.
  std::vector<std::pair<std::string, std::string>> takeChanges();

private:
  using Map = std::map<std::string, std::string>;
  Map Values;
  Map AtStart;
  std::optional<Map> AtBegin;     // values before the block
  std::optional<Map> AfterCommit; // values without SET LOCAL
  Map Reported;
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SETTINGS_MAP_H
