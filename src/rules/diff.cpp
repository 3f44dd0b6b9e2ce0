#include "rules/rules.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace toucan::rules {

namespace {

// Splits a text into lines without their line feeds. Text after the last line feed is a line if it
// is not empty.
std::vector<std::string> splitLines(std::string_view Text) {
  std::vector<std::string> Lines;
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    Lines.emplace_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Lines;
}

// Pairs the n-th occurrence of a line in Old with its n-th occurrence in New. Returns the index in
// New for each line of Old, or -1.
std::vector<int> pairEqualLines(const std::vector<std::string> &Old,
                                const std::vector<std::string> &New) {
  absl::flat_hash_map<std::string, std::vector<int>> Positions;
  for (size_t I = New.size(); I > 0; --I)
    Positions[New[I - 1]].push_back(static_cast<int>(I - 1));
  std::vector<int> Pairs(Old.size(), -1);
  for (size_t I = 0; I < Old.size(); ++I) {
    auto It = Positions.find(Old[I]);
    if (It == Positions.end() || It->second.empty())
      continue;
    Pairs[I] = It->second.back();
    It->second.pop_back();
  }
  return Pairs;
}

// Keeps the longest increasing subsequence of the pairs, so that the kept lines have the same order
// in both texts. Sets all other pairs to -1. Takes O(n log n) time, since a rules file may have
// 10,000 changed lines.
void keepLongestIncreasing(std::vector<int> &Pairs) {
  std::vector<size_t> Tails; // Tails[L]: index of the pair with the smallest value that ends a
                             // subsequence of length L + 1
  std::vector<int> Previous(Pairs.size(), -1);
  for (size_t I = 0; I < Pairs.size(); ++I) {
    if (Pairs[I] < 0)
      continue;
    auto It = std::lower_bound(Tails.begin(), Tails.end(), Pairs[I],
                               [&](size_t Tail, int Value) { return Pairs[Tail] < Value; });
    if (It != Tails.begin())
      Previous[I] = static_cast<int>(*(It - 1));
    if (It == Tails.end())
      Tails.push_back(I);
    else
      *It = I;
  }
  std::vector<bool> IsKept(Pairs.size(), false);
  for (int I = Tails.empty() ? -1 : static_cast<int>(Tails.back()); I >= 0; I = Previous[I])
    IsKept[I] = true;
  for (size_t I = 0; I < Pairs.size(); ++I)
    if (!IsKept[I])
      Pairs[I] = -1;
}

void appendLine(std::string &Out, char Sign, size_t Index, const std::string &Line) {
  absl::StrAppendFormat(&Out, "%c%d: %s\n", Sign, Index + 1, Line);
}

} // namespace

std::string diff(std::string_view Old, std::string_view New) {
  std::vector<std::string> OldLines = splitLines(Old);
  std::vector<std::string> NewLines = splitLines(New);
  std::vector<int> Pairs = pairEqualLines(OldLines, NewLines);
  keepLongestIncreasing(Pairs);
  std::string Out;
  size_t NextNew = 0;
  for (size_t I = 0; I < OldLines.size(); ++I) {
    if (Pairs[I] < 0) {
      appendLine(Out, '-', I, OldLines[I]);
      continue;
    }
    for (; NextNew < static_cast<size_t>(Pairs[I]); ++NextNew)
      appendLine(Out, '+', NextNew, NewLines[NextNew]);
    ++NextNew;
  }
  for (; NextNew < NewLines.size(); ++NextNew)
    appendLine(Out, '+', NextNew, NewLines[NextNew]);
  return Out;
}

} // namespace toucan::rules
