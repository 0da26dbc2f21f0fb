#!/usr/bin/env bash
# Builds the programs that the cases start beside those of the deploy file. Some of the
# soak's stand-ins are a part of it. Usage: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
soak=tests/platform/soak
out=target/review-3
mkdir -p "$out"
sources=("$soak"/{ClientConnection,FleetSettings,HttpMessage,HttpServer,Journal,LoopbackNetwork,ProcessControl,StoreStandIn}.cpp review/common-3/{Deployment,Worker}.cc)
cases=(review/common-3/case_*.cc)
compile() { g++ -std=c++17 -O2 -Wall -Wextra -Itests/platform/soak -Ireview/common-3 -c "$1" -o "target/review-3/$(basename "$1").o"; }
export -f compile
printf '%s\n' "${sources[@]}" "${cases[@]}" | xargs -P 6 -I{} bash -c 'compile {}'
objects=()
for source in "${sources[@]}"; do
    objects+=("$out/$(basename "$source").o")
done
for case in "${cases[@]}"; do
    name=$(basename "$case" .cc)
    g++ "$out/$(basename "$case").o" "${objects[@]}" -lcrypto -lpthread -o "$out/$name"
done
