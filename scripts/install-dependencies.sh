#!/usr/bin/env bash
# Installs everything that the build, the tests, the linter and the demo need on Debian 12.
# Does nothing when all packages are present, so that a repeated run needs no registry.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache git
  clang-format-19 clang-tidy-19 clang-19 libclang-rt-19-dev
  libevent-dev libssl-dev libmsgpack-cxx-dev libboost-dev libcli11-dev libspdlog-dev libfmt-dev
  catch2 libtrompeloeil-cpp-dev libxxhash-dev nlohmann-json3-dev libcsv-dev
  librapidcheck-dev libpcg-cpp-dev libbenchmark-dev gnuplot-nox curl
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "install-dependencies: all ${#packages[@]} packages are present"
  exit 0
fi
echo "install-dependencies: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
