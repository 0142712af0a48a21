#!/bin/sh
# Builds the stand-ins of review/4 and later: plain Python, so this only checks
# that they and what they use can be imported after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review:. python3 -B -c 'import standins_2'
