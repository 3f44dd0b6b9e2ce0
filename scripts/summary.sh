#!/usr/bin/env bash
# Reads the output of scripts/measure.sh from standard input and prints a Markdown table. A row is a
# case and stream; a cell is the median and the range (lowest to highest) over the runs. For an even
# number of runs the median is the lower of the two middle values. A column that is zero in every row
# is left out, except "missing".
set -euo pipefail
awk '
function add(name, value) { n[key, name]++; v[key, name, n[key, name]] = value + 0; names[name] = 1 }
function cell(k, name,   c, i, j, t) {
  c = n[k, name]
  if (!c) return "-"
  for (i = 1; i <= c; i++) s[i] = v[k, name, i]
  for (i = 2; i <= c; i++)
    for (j = i; j > 1 && s[j - 1] > s[j]; j--) { t = s[j]; s[j] = s[j - 1]; s[j - 1] = t }
  return sprintf("%g (%g to %g)", s[int((c + 1) / 2)], s[1], s[c])
}
/^measure=/ {
  base = ""; key = ""; order = 0
  for (i = 1; i <= NF; i++) {
    split($i, p, "=")
    if (p[1] == "run") continue
    if (p[1] == "measure" || p[1] == "policy" || p[1] == "lag_ms" || p[1] == "writes" || p[1] == "long" || p[1] == "factor" || p[1] == "at" || p[1] == "fault") { base = base (base == "" ? "" : " ") $i; key = base; continue }
    if (p[1] == "stream") { key = base " " $i; continue }
    if (!(key in seen)) { seen[key] = 1; keys[++count] = key }
    add(p[1], p[2])
    if (p[2] + 0 != 0) used[p[1]] = 1
  }
}
END {
  columns = split("gap_ms missing sent good late not_run may_have_run failed lost unanswered reads share bound p50 p99 max refused_p99", want, " ")
  for (c = 1; c <= columns; c++) if ((want[c] in used) || (want[c] == "missing" && (want[c] in names))) shown[++shownCount] = want[c]
  printf "| case | runs |"
  for (c = 1; c <= shownCount; c++) printf " %s |", shown[c]
  printf "\n| --- | --- |"
  for (c = 1; c <= shownCount; c++) printf " --- |"
  printf "\n"
  for (k = 1; k <= count; k++) {
    key = keys[k]
    runs = n[key, "sent"] ? n[key, "sent"] : n[key, "gap_ms"]
    printf "| %s | %d |", key, runs
    for (c = 1; c <= shownCount; c++) printf " %s |", cell(key, shown[c])
    printf "\n"
  }
}'
