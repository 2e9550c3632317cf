#!/bin/bash
# Runs the case; exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../../.." && pwd)
standins=$root/target/review-2/standins-2
[ -x "$standins" ] && [ -x "$root/target/release/jasminepass-platform" ] || exit 2
temp=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 2 110 "$standins" late "$root" "$case_dir" "$temp" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
[ "${KEEP:-}" ] && cp "$temp"/*.log "$KEEP"
rm -rf "$temp"
[ "$code" -le 2 ] && exit "$code"
exit 2
