#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file, whose
# libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly OUT=target/review
mkdir -p "$OUT"

compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized \
    -Wno-mismatched-new-delete -include utility -I. -Isrc -Istandins \
    -Ireview/standins -c "$1" -o "$OUT/$(basename "$1" .cc).o"
}

compile standins/platform_store.cc &
compile review/standins/review_site.cc &
for source in review/standins/*.cc; do
  [ "$source" = review/standins/review_site.cc ] || compile "$source" &
done
for job in $(jobs -p); do wait "$job"; done
for source in review/standins/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = review_site ] && continue
  g++ -o "$OUT/$name" "$OUT/$name.o" "$OUT/review_site.o" \
    "$OUT/platform_store.o" target/libgeranium_runtime.a \
    target/libgeranium_core.a target/libgeranium_web_socket.a \
    -lprometheus-cpp-core -llog4cplus -lxxhash -lpthread
done
