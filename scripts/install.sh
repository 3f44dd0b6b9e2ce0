#!/usr/bin/env bash
# Installs the Debian packages that scripts/packages.txt lists, if one of them is missing.
set -euo pipefail
cd "$(dirname "$0")"
missing=0
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing=1
done <packages.txt
[ "$missing" = 1 ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
xargs -a packages.txt apt-get install -y -qq --no-install-recommends >/dev/null
