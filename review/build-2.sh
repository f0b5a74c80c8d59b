#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs no network once the
# build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin-2
