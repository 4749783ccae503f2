#!/usr/bin/env bash
# Builds the stand-ins and the drivers of all cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
pids=()
for it in harness/*.cpp; do
    g++ "${flags[@]}" -c "$it" -o "build/$(basename "$it" .cpp).o" &
    pids+=($!)
done
for it in "${pids[@]}"; do
    wait "$it"
done
for it in [1-5]/case.cpp; do
    g++ "${flags[@]}" "$it" build/*.o -o "build/case-${it%%/*}"
done
