#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network: the module has no
# dependencies. The program holds no path of the machine that built it.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -trimpath -o ../target/standin .
