#!/usr/bin/env bash
# Installs dependencies, builds, checks the format, runs the linter and all tests. Prints a closing line with the counts.
# SKIP_LINT=1 leaves the linter out for quick local runs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
scripts/format.sh --check
cmake --preset release >/dev/null
cmake --build --preset release
[ "${SKIP_LINT:-0}" = 1 ] || scripts/lint.sh
exec scripts/run-tests.sh build/release
