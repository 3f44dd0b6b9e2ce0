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

// One value of a table, as text and as JSON.
struct Cell {
  std::string Text;
  Json Value;

  Cell() : Text("-") {} // unknown value; null in JSON
  Cell(std::string_view Value);
  Cell(const std::string &Value) : Cell(std::string_view(Value)) {}
  Cell(const char *Value) : Cell(std::string_view(Value)) {}
  Cell(uint64_t Number) : Text(std::to_string(Number)), Value(Number) {}
  Cell(uint32_t Number) : Cell(uint64_t{Number}) {}
  // The text is in the style of 3h12m, the JSON value is the number of microseconds.
  static Cell duration(uint64_t Microseconds);
};

struct Column {
  std::string_view Title;
  std::string_view Key; // key in the JSON objects
};

// Returns a header line and one line for each row, with two spaces between the columns.
std::string alignedText(const std::vector<Column> &Columns,
                        const std::vector<std::vector<Cell>> &Rows);
// Returns an array with one object for each row.
Json rowsJson(const std::vector<Column> &Columns, const std::vector<std::vector<Cell>> &Rows);
// Returns JSON text that ends with a line feed. Bytes that are not UTF-8 are replaced.
std::string jsonText(const Json &Value);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_TABLE_H
