#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2. They use parts of the
# soak; the programs that they start come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
shared=(
    review/common-2/Lab.cc
    modules/hyssopwick_core/values/Rendezvous.cpp
    tests/platform/soak/HttpMessage.cpp
    tests/platform/soak/HttpServer.cpp
    tests/platform/soak/LoopbackNetwork.cpp
)
cases=(PagedRead SlowReaders LongBodies)
pids=()
for source in "${shared[@]}" "${cases[@]/%/.cc}"; do
    [ -f "$source" ] || source=review/common-2/$source
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -c "$source" -o "$out/$(basename "${source%.*}").o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
objects=()
for source in "${shared[@]}"; do
    objects+=("$out/$(basename "${source%.*}").o")
done
for name in "${cases[@]}"; do
    g++ -pthread "$out/$name.o" "${objects[@]}" -lcrypto -o "$out/$name"
done
