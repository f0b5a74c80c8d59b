#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt are skipped, and their entries
# are printed. KNOWN-RED.txt has one entry per line:
# test | command | seed | seen | issue.
set -euo pipefail
cd "$(dirname "$0")/.."

entries=$(grep -v -E '^(#|[[:space:]]*$)' KNOWN-RED.txt || true)
skip=$(cut -d'|' -f1 <<<"$entries" | tr -d ' ' | paste -sd'|' -)
if [ -n "$skip" ]; then
  echo "known red, passed over:"
  echo "$entries"
  go test -count=1 -timeout 8m -skip "^(${skip})\$" ./...
else
  go test -count=1 -timeout 8m ./...
fi
