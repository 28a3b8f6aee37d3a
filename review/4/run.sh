#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
program="$folder/../target/standin"
if [ ! -x "$program" ]; then
  echo "the stand-ins are not built: run review/build.sh" >&2
  exit 2
fi
TROUBLE="${TROUBLE:-1}" exec "$program" hangup "$folder"
