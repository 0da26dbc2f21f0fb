#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2. They use the soak's
# stand-ins; the programs that they start come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
soak=tests/platform/soak
sources=(review/common-2/Lab.cc modules/hyssopwick_core/values/Rendezvous.cpp)
for name in EngineStandIn HttpMessage HttpServer Journal LoopbackNetwork PlainService StoreStandIn Weights ClientConnection AddressBook Caller FleetSettings; do
    sources+=("$soak/$name.cpp")
done
compile() { g++ -std=c++17 -O1 -Wall -Wextra -pthread -c "$1" -o "$2"; }
objects=()
pids=()
for source in "${sources[@]}" review/common-2/*.cc; do
    [ "$source" = review/common-2/Lab.cc ] && [ ${#objects[@]} -gt 0 ] && continue
    object=$out/$(basename "${source%.*}").o
    compile "$source" "$object" &
    pids+=($!)
    case "$source" in
    review/common-2/Lab.cc | modules/* | tests/*) objects+=("$object") ;;
    esac
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for main in review/common-2/*.cc; do
    name=$(basename "${main%.cc}")
    [ "$name" = Lab ] && continue
    g++ -pthread "$out/$name.o" "${objects[@]}" -lcrypto -o "$out/$name"
done
