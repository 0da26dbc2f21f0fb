#!/usr/bin/env bash
# Installs missing Debian packages listed in scripts/packages.txt.
set -euo pipefail
list="$(dirname "$0")/packages.txt"
missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <"$list"
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
