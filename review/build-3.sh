#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into
# target/review-3, with the compiler that the build of the deploy file uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/fleet-3/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall \
    -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
