#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2. They need the compiler and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source="review/$number/case.cpp"
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/harness-2 "$source" -o "target/review-2/case-$number"
done
