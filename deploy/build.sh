#!/bin/sh
# What an instance runs, under target/ or a folder that is given: the libraries
# and the packages as bytecode, which no start needs to compile.
set -eu
target=${1:-target}
python=${PYTHON:-python3}
if [ -z "${1:-}" ] && ! [ "$target/deps" -nt requirements-entry.txt ]; then
	"$python" -m pip install -q -U --no-deps --target "$target/deps" \
		-r requirements-entry.txt
	touch "$target/deps"
fi
rm -rf "$target/app"
mkdir -p "$target/app"
for name in core membership dispatch edge transport platform entry; do
	cp -r "packages/$name/src/." "$target/app"
done
find "$target/app" -name __pycache__ -prune -exec rm -rf {} +
# Times of files change with each copy, so the bytecode does not name them.
PYTHONDONTWRITEBYTECODE= "$python" -m compileall -q \
	--invalidation-mode unchecked-hash "$target/app"
