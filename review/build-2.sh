#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it
# after the build of the deploy file; it needs none but that build's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -Wall -Wextra -o target/review-2/review-site review/standins-2/scenarios.cc
