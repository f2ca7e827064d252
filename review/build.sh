#!/bin/bash
# The stand-ins need nothing but Python's standard library: this checks that each can be compiled, and writes no file.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
