#!/usr/bin/env bash
# Formats all C++ files; with --check, reports files that differ and exits with 1.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard -- '*.cc' '*.h' |
  while read -r file; do if [ -e "$file" ]; then printf '%s\0' "$file"; fi; done |
  xargs -0 -r -n 16 -P 8 clang-format-19 "${mode[@]}"
