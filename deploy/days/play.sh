#!/usr/bin/env bash
# Plays every day in this folder on the given site files, four at a time, and prints one line a day.
# Usage: FLEETBENCH=path-of-the-bench deploy/days/play.sh SITE... (from the root of the repository)
set -euo pipefail
: "${FLEETBENCH:?set FLEETBENCH to the program of the bench}"
logs=$(mktemp -d)
play () {
  local site=$1 day=$2 name
  name="$(basename "$site" .toml)/$(basename "$day" .toml)"
  "$FLEETBENCH" run "$site" "$day" --log all --why "own day ${name}" > "$3/${name//\//-}.log" 2>&1 || true
  printf '%-60s %s\n' "$name" "$(sed -n "s/^$(basename "$day" .toml)  *//p" "$3/${name//\//-}.log" | head -1)"
}
export -f play
export FLEETBENCH
for site in "$@"; do
  for day in "$(dirname "$0")"/*.toml; do
    printf '%s\0%s\0' "$site" "$day"
  done
done | xargs -0 -n 2 -P 4 bash -c 'play "$1" "$2" '"$logs"' ' _
echo "logs: $logs"
