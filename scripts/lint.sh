#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources, or on the files given as arguments.
# The directory build must be configured. clang-tidy skips a file if neither its preprocessed text nor
# .clang-tidy has changed since its last clean clang-tidy run. A stamp file, whose name is a hash of
# both, marks that run. Clones of the repository on one machine share the stamps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"
export stamps="${XDG_CACHE_HOME:-$HOME/.cache}/toucanrun-tidy"
mkdir -p "$stamps"
tidy_one() {
  local file=$1 key stamp
  # The key hashes the preprocessed text because that changes with any included header.
  key=$(g++ -std=c++20 -I. -Isrc -Ibuild/generated -Itests -Itests/soak -Iplatform -DTOUCAN_SOURCE_DIR='""' -DTOUCAN_BIN_DIR='""' \
    -I"$(pg_config --includedir 2>/dev/null || echo /usr/include/postgresql)" -E -P "$file" 2>/dev/null |
    cat - .clang-tidy | sha256sum | cut -d' ' -f1)
  stamp="$stamps/$key"
  [ -e "$stamp" ] && return 0
  if clang-tidy -p build --quiet "$file" >"$stamp.out" 2>/dev/null; then
    rm -f "$stamp.out"
    touch "$stamp"
  else
    head -n 60 "$stamp.out"
    rm -f "$stamp.out"
    echo "clang-tidy failed: $file"
    return 1
  fi
}
export -f tidy_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'tidy_one {}'
