#!/usr/bin/env bash
# Builds the programs of the cases that use the stand-ins in this folder into
# target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/../.."
mkdir -p target/review
read -r -a compile_flags <<< "$(pkg-config --cflags Qt6Network)"
read -r -a link_flags <<< "$(pkg-config --libs Qt6Network)"
for source in review/*/new_life.cpp review/*/cancelled.cpp \
  review/*/other_writer.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -fPIC "${compile_flags[@]}" "$source" \
    -o "target/review/$(basename "$source" .cpp)" "${link_flags[@]}"
done
