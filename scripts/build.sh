#!/usr/bin/env bash
# Configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build
