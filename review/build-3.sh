#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3. The build of
# deploy/system.toml comes first; its packages are enough.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c -o "$out/lab.o" review/lab-3/lab.cc
for source in review/lab-3/case-*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" -o "$out/$name" "$source" "$out/lab.o"
done
