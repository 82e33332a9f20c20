#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need and that are
# not installed yet.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev
  capnproto libcapnp-dev libboost-dev libabsl-dev libgoogle-glog-dev
  libexpected-dev librapidcheck-dev liburcu-dev libxxhash-dev
  libgtest-dev libgmock-dev libbenchmark-dev liblua5.4-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "packages: all ${#packages[@]} are installed"
  exit 0
fi
sudo=''
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >/dev/null
echo "packages: installed ${missing[*]}"
