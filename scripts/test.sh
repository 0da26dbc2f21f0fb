#!/usr/bin/env bash
# Builds everything and runs all tests. Usage: scripts/test.sh [PRESET]
# PRESET: asan (address and undefined behaviour) or tsan (threads), each with its own build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-}
case "$preset" in
"")
    scripts/build.sh
    exec build/bin/hyssopwick-tests
    ;;
asan) sanitizers=address,undefined ;;
tsan) sanitizers=thread ;;
*)
    echo "usage: scripts/test.sh [asan|tsan]" >&2
    exit 2
    ;;
esac
scripts/install-packages.sh
cmake -S . -B "build-$preset" -G Ninja -DHYSSOPWICK_SANITIZE="$sanitizers" >/dev/null
cmake --build "build-$preset" --target hyssopwick-tests
exec "build-$preset/bin/hyssopwick-tests"
