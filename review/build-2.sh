#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, beside the programs of the deploy file. All their stand-ins are
# Python files in review/stand_ins_2, which need CPython 3 with its standard library and nothing else; this compiles them
# once, so that a syntax that this Python does not know shows here and not in a case.
set -eu
cd "$(dirname "$0")"
exec env PYTHONDONTWRITEBYTECODE=1 python3 - stand_ins_2/*.py */case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files read")
PYTHON
