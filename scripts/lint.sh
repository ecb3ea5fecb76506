#!/usr/bin/env bash
# Runs clang-tidy over the files given, or over all sources of the release build. JOBS sets the number of processes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null
if [ "$#" -gt 0 ]; then
  patterns=("$@")
else
  patterns=("$PWD/(src|platform|tests|bench)/.*\.cc$")
fi
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! run-clang-tidy-19 -quiet -j "${JOBS:-$(nproc)}" -p build/release "${patterns[@]}" >"$log" 2>&1; then
  grep -E '(error|warning):' "$log" | sort -u | head -n 100
  echo "lint: faults found"
  exit 1
fi
echo "lint: clean"
