#!/bin/sh
# Builds the stand-ins of review/4 to review/8: Python 3.11 and its standard
# library are all that they need, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q lib-2 [4-8]
