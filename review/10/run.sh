#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
number="$(basename "$folder")"
cd "$folder/../.." || exit 2
[ -x "target/review-2/case-$number" ] && [ -x target/bin/pimentohollow ] || exit 2
exec timeout --signal=KILL 110 "target/review-2/case-$number" "$folder"
