#!/bin/bash
# See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 newcomer review/7/record.txt
