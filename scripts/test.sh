#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs the tests. The README's test command.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${PRESET:-release}
scripts/install_packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
scripts/check_format.sh
scripts/lint.sh
# Tests listed in KNOWN-RED.txt ("test: NAME" lines) have known faults with an open issue: they run and are printed, but
# do not affect the result. Each of them must still exist.
mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null || true)
if [ "${#known_red[@]}" -gt 0 ]; then
  pattern="^($(IFS='|'; echo "${known_red[*]}"))$"
  echo "known red: ${known_red[*]}"
  ctest --test-dir "build/$preset" --no-tests=error -R "$pattern" -j4 || true
  ctest --test-dir "build/$preset" --no-tests=error --output-on-failure -E "$pattern" -j4
else
  ctest --test-dir "build/$preset" --no-tests=error --output-on-failure -j4
fi
