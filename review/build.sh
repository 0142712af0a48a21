#!/usr/bin/env bash
# The stand-ins are Python scripts that need the standard library only: there is
# nothing to build. Checks that the Python at hand can compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PY'
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PY
