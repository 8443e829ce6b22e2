#!/usr/bin/env bash
# Demonstrates two moves with real processes: a faulty version that is rolled back and a good one that is completed by
# its deadline.
exec "$(dirname "$0")/../bench/move.py" --build "$(dirname "$0")/../build/${PRESET:-release}" "$@"
