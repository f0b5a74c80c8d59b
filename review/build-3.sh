#!/usr/bin/env bash
# Builds the stand-ins and drivers of the third review's scripts. The daemons themselves are built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/standin-3
