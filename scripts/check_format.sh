#!/usr/bin/env bash
# Fails if a source file is not formatted according to .clang-format. With --fix, formats the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'bench/*.cpp' 'bench/*.h' \
  'fuzz/*.cpp')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
