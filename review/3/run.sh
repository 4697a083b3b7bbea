#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
program="$root/target/review/review-case"
if [ ! -x "$program" ]; then
    echo "$program is missing; run review/build.sh first" >&2
    exit 2
fi
timeout 110 "$program" unreadable-report "$root" "$PWD/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
