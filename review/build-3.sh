#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin-3
