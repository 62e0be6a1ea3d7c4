#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]
