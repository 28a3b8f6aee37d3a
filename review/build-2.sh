#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
