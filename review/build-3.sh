#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are one module of Python's standard
# library only, so this checks that it can be compiled. The program itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export PYTHONPYCACHEPREFIX="$out"
python3 -m py_compile review/standins-3/world.py
for script in review/1[1-5]/run.py; do
    [ -e "$script" ] && python3 -m py_compile "$script"
done
echo "stand-ins of the review: built"
