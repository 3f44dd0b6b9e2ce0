// Output of lists as aligned columns or as JSON.
#ifndef TOUCAN_CTL_TABLE_H
#define TOUCAN_CTL_TABLE_H

#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucan::ctl {

using Json = nlohmann::ordered_json;

// One value, as text for people and as JSON.
struct Cell {
  std::string Text;
  Json Value;

  Cell() : Text("-") {} // unknown
  Cell(std::string_view Value);
  Cell(const std::string &Value) : Cell(std::string_view(Value)) {}
  Cell(const char *Value) : Cell(std::string_view(Value)) {}
  Cell(uint64_t Number) : Text(std::to_string(Number)), Value(Number) {}
  Cell(uint32_t Number) : Cell(uint64_t{Number}) {}
  // Text such as 3h12m; in JSON the number of microseconds.
  static Cell duration(uint64_t Microseconds);
};

struct Column {
  std::string_view Title;
  std::string_view Key; // in JSON
};

// Lines with a header; columns are separated by two blanks.
std::string alignedText(const std::vector<Column> &Columns,
                        const std::vector<std::vector<Cell>> &Rows);
// An array with one object a row.
Json rowsJson(const std::vector<Column> &Columns, const std::vector<std::vector<Cell>> &Rows);
// JSON text with a line feed; bytes that are not UTF-8 are replaced.
std::string jsonText(const Json &Value);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_TABLE_H
