#include "ctl/table.h"

#include <algorithm>
#include <cassert>

namespace toucan::ctl {

namespace {

// Replaces control characters, which must not reach the operator's terminal: callers choose some of
// the texts, such as user names. Returns "-" for an empty text.
std::string printable(std::string_view Text) {
  std::string Out(Text);
  for (char &C : Out)
    if (static_cast<unsigned char>(C) < ' ' || C == 0x7F)
      C = '?';
  return Out.empty() ? "-" : Out;
}

// Truncates to whole milliseconds below a minute, and to whole seconds from a minute on.
std::string durationText(absl::Duration D) {
  return absl::FormatDuration(
      absl::Trunc(D, D < absl::Minutes(1) ? absl::Milliseconds(1) : absl::Seconds(1)));
}

void appendRow(std::string &Out, const std::vector<std::string> &Row,
               const std::vector<size_t> &Widths) {
  std::string Line;
  for (size_t I = 0; I < Row.size(); ++I) {
    Line += Row[I];
    if (I + 1 < Row.size())
      Line.append(Widths[I] - Row[I].size() + 2, ' ');
  }
  Out += Line;
  Out += '\n';
}

} // namespace

Cell::Cell(std::string_view Value) : Text(printable(Value)), Value(std::string(Value)) {}

Cell Cell::duration(uint64_t Microseconds) {
  Cell Out(Microseconds);
  Out.Text = durationText(absl::Microseconds(Microseconds));
  return Out;
}

std::string alignedText(const std::vector<Column> &Columns,
                        const std::vector<std::vector<Cell>> &Rows) {
  std::vector<std::vector<std::string>> Texts(1);
  for (const Column &C : Columns)
    Texts[0].emplace_back(C.Title);
  for (const auto &Row : Rows) {
    assert(Row.size() == Columns.size());
    Texts.emplace_back();
    for (const Cell &C : Row)
      Texts.back().push_back(C.Text);
  }
  std::vector<size_t> Widths(Columns.size(), 0);
  for (const auto &Row : Texts)
    for (size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Out;
  for (const auto &Row : Texts)
    appendRow(Out, Row, Widths);
  return Out;
}

Json rowsJson(const std::vector<Column> &Columns, const std::vector<std::vector<Cell>> &Rows) {
  Json Out = Json::array();
  for (const auto &Row : Rows) {
    assert(Row.size() == Columns.size());
    Json Object = Json::object();
    for (size_t I = 0; I < Row.size(); ++I)
      Object[std::string(Columns[I].Key)] = Row[I].Value;
    Out.push_back(std::move(Object));
  }
  return Out;
}

std::string jsonText(const Json &Value) {
  return Value.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace toucan::ctl
