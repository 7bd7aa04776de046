#!/usr/bin/env bash
# Runs a scenario of review-site for the case in FOLDER: run.sh SCENARIO FOLDER.
# Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -uo pipefail
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
for program in target/geranium-entry target/geranium-agent target/review-2/review-site; do
  [ -x "$program" ] || { echo "missing: $program; build first"; exit 2; }
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 target/review-2/review-site "$1" "$case_folder/record.txt" "$folder" &
running=$!
# What the program started ends with it.
trap 'kill "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT HUP
wait "$running"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$folder"/*.log "$KEEP_LOGS"/; fi
[ "$result" -le 2 ] || result=2
echo "exit $result"
exit "$result"
