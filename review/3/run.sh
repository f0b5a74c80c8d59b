#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# same runs without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/hemlockmastd ] || [ ! -x target/review/standin ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
TROUBLE=${TROUBLE:-1} exec timeout -k 2 110 target/review/standin replace "$folder/record.txt"
