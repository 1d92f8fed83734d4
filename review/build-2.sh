#!/bin/sh
# Builds the stand-ins of review/6 to review/10: they are Python files of the
# standard library alone, so that they only have to compile.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path('.').glob('**/*.py')):
    compile(path.read_bytes(), str(path), 'exec')
END
