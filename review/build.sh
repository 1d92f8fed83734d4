#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile.  They use the standard
# library alone; nothing else has to be built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig.py ./*/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as stream:
        compile(stream.read(), path, 'exec')
PY
