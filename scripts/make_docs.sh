#!/usr/bin/env bash
# Rewrites the pages in docs/ that are generated from tables in the code. A test fails while they differ.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${PRESET:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target amaranthladder_docs
"build/$preset/amaranthladder_docs" docs
