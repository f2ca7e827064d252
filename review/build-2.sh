#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are Python without further needs, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins2.py [4-8]/case.py
