// Settings of one connection, changed by SET and RESET and read by SHOW.
#ifndef TOUCAN_STANDIN_DB_SETTINGS_MAP_H
#define TOUCAN_STANDIN_DB_SETTINGS_MAP_H

#include "database.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standin {

// Names are lower case. A rollback undoes each SET of its transaction block. SET LOCAL lasts until
// the end of the block.
class SettingsMap {
public:
  SettingsMap();

  // Sets a value given at start-up, which is also the value that RESET restores.
  std::optional<SqlError> setStartValue(const std::string &Name, const std::string &Value);
  // An empty value or "default" restores the start-up value.
  std::optional<SqlError> set(const std::string &Name, const std::string &Value, bool Local);
  std::optional<std::string> get(const std::string &Name) const;
  void reset(const std::string &Name); // "all" resets every setting

  void beginBlock() { this->ValuesAtBegin = this->ValuesAfterCommit = this->Values; }
  void endBlock(bool Committed);

  // Returns the settings to report (ParameterStatus) that have changed since the last call, with
  // their names as PostgreSQL spells them.
  std::vector<std::pair<std::string, std::string>> takeChangedSettings();

private:
  using Map = std::map<std::string, std::string>;
  Map Values;
  Map StartValues;
  std::optional<Map> ValuesAtBegin;     // values at the start of the block
  std::optional<Map> ValuesAfterCommit; // values that a commit keeps: those without SET LOCAL
  Map ReportedValues;                   // values last returned by takeChangedSettings()
};

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SETTINGS_MAP_H
