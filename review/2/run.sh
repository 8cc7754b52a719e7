#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")" || exit 2
if [ ! -e ../../target/worksward-entry.cjs ] || ! ../build.sh; then
  exit 2
fi
exec node case.mjs
