#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the project's own program: one program a case,
# with the stand-ins in it. Needs what the build of deploy/system.toml needs, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/lab/*.cc; do
  object=target/review/$(basename "$source" .cc).o
  g++ -std=c++20 -O1 -Wall -pthread -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread "$source" "${objects[@]}" -o "target/review/case$number"
done
