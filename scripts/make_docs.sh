#!/usr/bin/env bash
# Regenerates the pages in docs/ that are built from tables in the code. reference_writer_test fails if they are outdated.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${PRESET:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target amaranthladder_docs
"build/$preset/amaranthladder_docs" docs
