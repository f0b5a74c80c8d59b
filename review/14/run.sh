#!/usr/bin/env bash
# Case 14. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. KEEP=1 keeps the daemons' logs.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/hemlockmastd" ] && [ -x "$root/target/review-3" ] || exit 2
exec timeout -k 5 110 "$root/target/review-3" unnamed-service "$root" "$here/record.txt"
