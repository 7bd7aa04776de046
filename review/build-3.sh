#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. To be run after
# the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -Wno-mismatched-new-delete -include utility -Ireview/standins-3 -Istandins -Isrc -I."
objects=()
pids=()
for source in review/standins-3/*.cc standins/sized_worker.cc \
  standins/platform_store.cc; do
  object="$out/$(basename "$source" .cc).o"
  objects+=("$object")
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "${objects[@]}" target/libgeranium_runtime.a target/libgeranium_core.a \
  target/libgeranium_web_socket.a -lprometheus-cpp-core -llog4cplus -lxxhash \
  -lpthread -o "$out/site"
