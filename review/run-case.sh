#!/usr/bin/env bash
# Runs the case in the given folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/bin/hyssopwick-entry ]; then
    echo "build the programs (the build line of deploy/system.toml) and review/build.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 118 "$program" "$folder" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
