#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 14. They are Python scripts without dependencies, so that there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing; scripts/install-packages installs it" >&2; exit 1; }
python3 -c 'import sys
for it in sys.argv[1:]:
    with open(it, encoding="utf-8") as source:
        compile(source.read(), it, "exec")' harness-3/lab.py 1[1-4]/case.py
