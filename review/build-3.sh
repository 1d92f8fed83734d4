#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python files that use the
# standard library alone, so it is enough that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit3.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as stream:
        compile(stream.read(), path, 'exec')
print('built')
PY
