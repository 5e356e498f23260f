#!/bin/sh
# Prepares the cases. Their stand-ins are Python without packages and need no build: this only checks that they can run.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
[ $? -eq 0 ] || exit 1
[ -x ../target/release/mallowgauge ] || { echo "build the program first, with the deploy file's command" >&2; exit 1; }
