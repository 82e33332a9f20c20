#!/usr/bin/env bash
# Fails when a C++ source file is not formatted according to .clang-format.
# Generated Cap'n Proto files are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h' |
  grep -v 'capnp\.')
clang-format --dry-run -Werror "${files[@]}"
echo "format: ${#files[@]} files are clean"
