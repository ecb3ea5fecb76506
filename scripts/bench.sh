#!/usr/bin/env bash
# Builds and runs the benchmarks: scripts/bench.sh [routing|placement|state|leader|capacity ...], all without an argument.
# Each prints a readable table with ratios to its baselines and writes build/bench/<name>.json.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(routing placement state leader capacity)
cmake --preset release >/dev/null
mkdir -p build/bench
for name in "${names[@]}"; do
  if [ ! -d "bench/$name" ]; then
    echo "bench: unknown part '$name'; parts are routing, placement, state, leader and capacity" >&2
    exit 2
  fi
  cmake --build --preset release --target "bench_$name" >/dev/null
  echo "== $name"
  "build/release/bench/$name/bench_$name" --json "build/bench/$name.json"
  if [ "$name" = capacity ]; then
    cmake --build --preset release --target mangoroadd standin_target >/dev/null
    bench/capacity/entry_slope.sh | tee build/bench/entry_slope.md
  fi
done
