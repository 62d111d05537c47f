#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are written in
# Python with its standard library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
