#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisyglade ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 --program target/daisyglade --record "review/10/record.txt" route
