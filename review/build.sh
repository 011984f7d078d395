#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python programs that use the
# standard library only, so that this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py ../testsuite/soak/*.py [1-9]/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
