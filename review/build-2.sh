#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs the
# packages of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra qt <<<"$(pkg-config --cflags --libs Qt6Core)"
g++ -std=c++20 -O1 -Wall -Wextra -fPIC -pthread review/fleet-2/main.cpp \
  -o target/review-2/fleet "${qt[@]}"
read -ra network <<<"$(pkg-config --cflags --libs Qt6Network)"
g++ -std=c++20 -O1 -Wall -Wextra -fPIC review/10/new_life.cpp \
  -o target/review-2/new_life "${network[@]}"
