#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python modules of the standard library only: compiled, no more.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-2
