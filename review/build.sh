#!/bin/sh
# Builds the stand-ins that the scripts in this folder start, in target/review.
set -eu
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
ninja -C target/review review_case
