#!/usr/bin/env bash
# The stand-ins are Python scripts that need the standard library only.
# Compiles them in memory, and checks what the scripts need.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standins.py review/*/case.py <<'PY'
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PY
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
